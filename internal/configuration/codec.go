package configuration

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// The wire types define the document's JSON encoding. Operators write their field
// names; the tags hold the checks of single fields.

type accountWire struct {
	RateTokensPerSecond float64 `validate:"gt=0,lte=1e9"`
	BurstTokens         float64 `validate:"gt=0,lte=1e10"`
	Weight              float64 `validate:"gt=0,lte=1000"`
	Priority            int     `validate:"gte=0,lte=100"`
}

type keyWire struct {
	Account   string `validate:"required"`
	Withdrawn bool
}

type adapterWire struct {
	Version     string `validate:"required"`
	MemoryBytes int64  `validate:"gt=0"`
}

type modelWire struct {
	Version     string                 `validate:"required"`
	MemoryBytes int64                  `validate:"gt=0"`
	LoadTime    string                 `validate:"required"`
	WaitLimit   string                 `validate:"required"`
	MaxReplicas int                    `validate:"gte=1,lte=10000"`
	Concurrency int                    `validate:"gte=1,lte=10000"`
	Adapters    map[string]adapterWire `validate:"dive"`
}

type routeWire struct {
	Open          bool
	Idempotent    bool
	WaitLimit     string   `validate:"required"`
	TokensPerCall float64  `validate:"gte=0"`
	Targets       []string `validate:"min=1"`
}

type targetWire struct {
	Kind          string `validate:"oneof=Engine Service"`
	Address       string `validate:"required,hostname_port"`
	Host          string `validate:"required"`
	Zone          string `validate:"required"`
	MemoryBytes   int64  `validate:"gte=0"`
	ChecksFencing bool
}

type budgetWire struct {
	LoadSlots    int `validate:"gte=1"`
	AdapterSlots int `validate:"gte=1"`
}

type changeWire struct {
	Section string
	Name    string
	Value   json.RawMessage `json:",omitempty"`
}

// decodeStrictly decodes a wire value and fails on unknown fields.
func decodeStrictly(data []byte, wire any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return errors.Trace(decoder.Decode(wire))
}

func parsePositiveDuration(text string) (time.Duration, error) {
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if duration <= 0 {
		return 0, errors.NotValidf("duration %q", text)
	}
	return duration, nil
}

func decodeAccount(name string, data []byte) (mimosatide.Account, error) {
	var wire accountWire
	if err := decodeStrictly(data, &wire); err != nil {
		return mimosatide.Account{}, err
	}
	return mimosatide.Account{
		Name:     name,
		Rate:     wire.RateTokensPerSecond,
		Burst:    wire.BurstTokens,
		Weight:   wire.Weight,
		Priority: wire.Priority,
	}, nil
}

func encodeAccount(account mimosatide.Account) any {
	return accountWire{
		RateTokensPerSecond: account.Rate,
		BurstTokens:         account.Burst,
		Weight:              account.Weight,
		Priority:            account.Priority,
	}
}

func decodeKey(name string, data []byte) (mimosatide.Key, error) {
	var wire keyWire
	if err := decodeStrictly(data, &wire); err != nil {
		return mimosatide.Key{}, err
	}
	return mimosatide.Key{Digest: mimosatide.KeyDigest(name), Account: wire.Account, Withdrawn: wire.Withdrawn}, nil
}

func encodeKey(key mimosatide.Key) any {
	return keyWire{Account: key.Account, Withdrawn: key.Withdrawn}
}

func decodeModel(name string, data []byte) (mimosatide.Model, error) {
	var wire modelWire
	if err := decodeStrictly(data, &wire); err != nil {
		return mimosatide.Model{}, err
	}
	loadTime, err := parsePositiveDuration(wire.LoadTime)
	if err != nil {
		return mimosatide.Model{}, errors.Annotate(err, "LoadTime")
	}
	waitLimit, err := parsePositiveDuration(wire.WaitLimit)
	if err != nil {
		return mimosatide.Model{}, errors.Annotate(err, "WaitLimit")
	}
	model := mimosatide.Model{
		Name:        name,
		Version:     wire.Version,
		Memory:      wire.MemoryBytes,
		LoadTime:    loadTime,
		WaitLimit:   waitLimit,
		MaxReplicas: wire.MaxReplicas,
		Concurrency: wire.Concurrency,
		Adapters:    map[string]mimosatide.Adapter{},
	}
	for adapter, value := range wire.Adapters {
		model.Adapters[adapter] = mimosatide.Adapter{Name: adapter, Version: value.Version, Memory: value.MemoryBytes}
	}
	return model, nil
}

func encodeModel(model mimosatide.Model) any {
	wire := modelWire{
		Version:     model.Version,
		MemoryBytes: model.Memory,
		LoadTime:    model.LoadTime.String(),
		WaitLimit:   model.WaitLimit.String(),
		MaxReplicas: model.MaxReplicas,
		Concurrency: model.Concurrency,
		Adapters:    map[string]adapterWire{},
	}
	for name, adapter := range model.Adapters {
		wire.Adapters[name] = adapterWire{Version: adapter.Version, MemoryBytes: adapter.Memory}
	}
	return wire
}

func decodeRoute(name string, data []byte) (mimosatide.Route, error) {
	var wire routeWire
	if err := decodeStrictly(data, &wire); err != nil {
		return mimosatide.Route{}, err
	}
	waitLimit, err := parsePositiveDuration(wire.WaitLimit)
	if err != nil {
		return mimosatide.Route{}, errors.Annotate(err, "WaitLimit")
	}
	return mimosatide.Route{
		Name:       name,
		Open:       wire.Open,
		Idempotent: wire.Idempotent,
		WaitLimit:  waitLimit,
		Tokens:     wire.TokensPerCall,
		Targets:    wire.Targets,
	}, nil
}

func encodeRoute(route mimosatide.Route) any {
	return routeWire{
		Open:          route.Open,
		Idempotent:    route.Idempotent,
		WaitLimit:     route.WaitLimit.String(),
		TokensPerCall: route.Tokens,
		Targets:       route.Targets,
	}
}

func decodeTarget(name string, data []byte) (mimosatide.TargetSpec, error) {
	var wire targetWire
	if err := decodeStrictly(data, &wire); err != nil {
		return mimosatide.TargetSpec{}, err
	}
	return mimosatide.TargetSpec{
		Name:          name,
		Kind:          mimosatide.TargetKind(wire.Kind),
		Address:       wire.Address,
		Host:          wire.Host,
		Zone:          wire.Zone,
		Memory:        wire.MemoryBytes,
		ChecksFencing: wire.ChecksFencing,
	}, nil
}

func encodeTarget(target mimosatide.TargetSpec) any {
	return targetWire{
		Kind:          string(target.Kind),
		Address:       target.Address,
		Host:          target.Host,
		Zone:          target.Zone,
		MemoryBytes:   target.Memory,
		ChecksFencing: target.ChecksFencing,
	}
}

func decodeBudget(_ string, data []byte) (WeightStoreBudget, error) {
	var wire budgetWire
	if err := decodeStrictly(data, &wire); err != nil {
		return WeightStoreBudget{}, err
	}
	return WeightStoreBudget(wire), nil
}

// EncodeChanges encodes changes as JSON.
func EncodeChanges(changes []Change) ([]byte, error) {
	wires := make([]changeWire, 0, len(changes))
	for _, change := range changes {
		wires = append(wires, changeWire{Section: string(change.Section), Name: change.Name, Value: change.Value})
	}
	data, err := json.Marshal(wires)
	return data, errors.Trace(err)
}

// DecodeChanges decodes changes from JSON; empty data means no changes.
func DecodeChanges(data []byte) ([]Change, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var wires []changeWire
	if err := json.Unmarshal(data, &wires); err != nil {
		return nil, errors.Annotate(err, "changes")
	}
	changes := make([]Change, 0, len(wires))
	for _, wire := range wires {
		changes = append(changes, Change{Section: Section(wire.Section), Name: wire.Name, Value: wire.Value})
	}
	return changes, nil
}

// documentWire is the encoding of a whole document: entities by section and name.
type documentWire map[Section]map[string]json.RawMessage

// Encode encodes the whole document as JSON.
func (document *Document) Encode() ([]byte, error) {
	wire, err := document.entities()
	if err != nil {
		return nil, errors.Trace(err)
	}
	data, err := json.Marshal(wire)
	return data, errors.Trace(err)
}

// Decode decodes a whole document from JSON.
func Decode(data []byte) (*Document, error) {
	var wire documentWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, errors.Annotate(err, "decode configuration document")
	}
	var changes []Change
	for section, entities := range wire {
		for name, value := range entities {
			changes = append(changes, Change{Section: section, Name: name, Value: value})
		}
	}
	document, err := NewDocument().WithChanges(changes)
	return document, errors.Trace(err)
}

// entities returns the document's entities, each in its JSON encoding.
func (document *Document) entities() (documentWire, error) {
	wire := documentWire{}
	err := encodeAll(wire, AccountSection, document.accounts, encodeAccount)
	err = firstError(err, encodeAll(wire, KeySection, document.keys, encodeKey))
	err = firstError(err, encodeAll(wire, ModelSection, document.models, encodeModel))
	err = firstError(err, encodeAll(wire, RouteSection, document.routes, encodeRoute))
	err = firstError(err, encodeAll(wire, TargetSection, document.targets, encodeTarget))
	budget := map[string]WeightStoreBudget{budgetName: document.budget}
	err = firstError(err, encodeAll(wire, WeightStoreSection, budget, func(value WeightStoreBudget) any { return budgetWire(value) }))
	return wire, err
}

func encodeAll[Name ~string, Value any](
	wire documentWire, section Section, values map[Name]Value, encode func(Value) any,
) error {
	wire[section] = map[string]json.RawMessage{}
	for name, value := range values {
		data, err := json.Marshal(encode(value))
		if err != nil {
			return errors.Trace(err)
		}
		wire[section][string(name)] = data
	}
	return nil
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
