package configuration

import (
	"maps"
	"slices"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// Section names one part of the document.
type Section string

// The sections of a document.
const (
	AccountSection     Section = "Accounts"
	KeySection         Section = "Keys"
	ModelSection       Section = "Models"
	RouteSection       Section = "Routes"
	TargetSection      Section = "Targets"
	WeightStoreSection Section = "WeightStore"
)

// sections lists all sections in the order in which changes are listed.
var sections = []Section{AccountSection, KeySection, ModelSection, RouteSection, TargetSection, WeightStoreSection}

// The weight store's budget if the document sets none.
const (
	// DefaultLoadSlots is the number of models that can load at full speed at once.
	DefaultLoadSlots = 4
	// DefaultAdapterSlots is the number of adapters that can load at full speed at once.
	DefaultAdapterSlots = 30
	// budgetName is the name of the only entity in the weight store's section.
	budgetName = "Budget"
)

// WeightStoreBudget bounds the concurrent loads from the weight store over the whole fleet.
type WeightStoreBudget struct {
	LoadSlots    int
	AdapterSlots int
}

// Change replaces one entity of the document, or deletes it when Value is empty.
type Change struct {
	Section Section
	Name    string
	// Value is the entity in its JSON encoding.
	Value []byte
}

// Document is one version of the configuration. It is immutable and safe for concurrent use.
type Document struct {
	accounts map[string]mimosatide.Account
	keys     map[mimosatide.KeyDigest]mimosatide.Key
	models   map[string]mimosatide.Model
	routes   map[string]mimosatide.Route
	targets  map[string]mimosatide.TargetSpec
	budget   WeightStoreBudget
}

// NewDocument returns an empty document.
func NewDocument() *Document {
	return &Document{
		accounts: map[string]mimosatide.Account{},
		keys:     map[mimosatide.KeyDigest]mimosatide.Key{},
		models:   map[string]mimosatide.Model{},
		routes:   map[string]mimosatide.Route{},
		targets:  map[string]mimosatide.TargetSpec{},
		budget:   WeightStoreBudget{LoadSlots: DefaultLoadSlots, AdapterSlots: DefaultAdapterSlots},
	}
}

// GetAccount returns the account with the given name.
func (document *Document) GetAccount(name string) (mimosatide.Account, bool) {
	account, found := document.accounts[name]
	return account, found
}

// GetKeyByDigest returns the key with the given digest.
func (document *Document) GetKeyByDigest(digest mimosatide.KeyDigest) (mimosatide.Key, bool) {
	key, found := document.keys[digest]
	return key, found
}

// GetModel returns the model with the given name.
func (document *Document) GetModel(name string) (mimosatide.Model, bool) {
	model, found := document.models[name]
	return model, found
}

// GetRoute returns the route with the given name.
func (document *Document) GetRoute(name string) (mimosatide.Route, bool) {
	route, found := document.routes[name]
	return route, found
}

// GetTarget returns the target with the given name.
func (document *Document) GetTarget(name string) (mimosatide.TargetSpec, bool) {
	target, found := document.targets[name]
	return target, found
}

// Accounts returns all accounts, sorted by name.
func (document *Document) Accounts() []mimosatide.Account {
	return sortedByName(document.accounts)
}

// Models returns all models, sorted by name.
func (document *Document) Models() []mimosatide.Model {
	return sortedByName(document.models)
}

// Engines returns the model engines, sorted by name.
func (document *Document) Engines() []mimosatide.TargetSpec {
	targets := sortedByName(document.targets)
	return slices.DeleteFunc(targets, func(target mimosatide.TargetSpec) bool {
		return target.Kind != mimosatide.EngineTarget
	})
}

// Targets returns all targets, sorted by name.
func (document *Document) Targets() []mimosatide.TargetSpec {
	return sortedByName(document.targets)
}

// Budget returns the weight store's budget.
func (document *Document) Budget() WeightStoreBudget {
	return document.budget
}

func sortedByName[Value any](values map[string]Value) []Value {
	ordered := make([]Value, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		ordered = append(ordered, values[name])
	}
	return ordered
}

// WithChanges returns a copy of the document with the changes applied. It fails on
// unknown sections and on entities that can't be decoded.
func (document *Document) WithChanges(changes []Change) (*Document, error) {
	changed := document.cloneSections(changes)
	for _, change := range changes {
		if err := changed.apply(change); err != nil {
			return nil, errors.Annotatef(err, "%s/%s", change.Section, change.Name)
		}
	}
	return changed, nil
}

// cloneSections returns a copy of the document in which the sections that the
// changes affect are cloned; the other ones are shared.
func (document *Document) cloneSections(changes []Change) *Document {
	copied := *document
	cloned := map[Section]bool{}
	for _, change := range changes {
		if cloned[change.Section] {
			continue
		}
		cloned[change.Section] = true
		switch change.Section {
		case AccountSection:
			copied.accounts = maps.Clone(document.accounts)
		case KeySection:
			copied.keys = maps.Clone(document.keys)
		case ModelSection:
			copied.models = maps.Clone(document.models)
		case RouteSection:
			copied.routes = maps.Clone(document.routes)
		case TargetSection:
			copied.targets = maps.Clone(document.targets)
		}
	}
	return &copied
}

func (document *Document) apply(change Change) error {
	switch change.Section {
	case AccountSection:
		return setEntity(document.accounts, change.Name, change, decodeAccount)
	case KeySection:
		return setEntity(document.keys, mimosatide.KeyDigest(change.Name), change, decodeKey)
	case ModelSection:
		return setEntity(document.models, change.Name, change, decodeModel)
	case RouteSection:
		return setEntity(document.routes, change.Name, change, decodeRoute)
	case TargetSection:
		return setEntity(document.targets, change.Name, change, decodeTarget)
	case WeightStoreSection:
		return document.applyBudget(change)
	default:
		return errors.NotValidf("section %q", change.Section)
	}
}

func (document *Document) applyBudget(change Change) error {
	document.budget = NewDocument().budget
	if len(change.Value) == 0 {
		return nil
	}
	budget, err := decodeBudget(change.Name, change.Value)
	if err != nil {
		return errors.Trace(err)
	}
	document.budget = budget
	return nil
}

// setEntity applies a change to the entities of a section.
func setEntity[Name ~string, Value any](
	values map[Name]Value, name Name, change Change, decode func(string, []byte) (Value, error),
) error {
	if len(change.Value) == 0 {
		delete(values, name)
		return nil
	}
	value, err := decode(change.Name, change.Value)
	if err != nil {
		return errors.Trace(err)
	}
	values[name] = value
	return nil
}
