// Package registry tracks the targets of every service: which incarnations are
// live or leaving, and which models and adapters each of them holds.
//
// Each target describes itself in its row in the store. The owner of a service,
// the node that holds the lease on the orders to its targets, knows earlier what
// they hold. The holdings that the owner reports therefore override the row until
// the target has had the time to update it. That an incarnation leaves is final, whether
// its row, its answers or a peer said so.
//
// # Usage
//
//	targets := registry.New(log)
//	targets.Put(instance)
//	targets.Delete(id, row, recovering, time.Now())
//	for _, instance := range targets.View().Service("translate") { ... }
package registry

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
)

// reportTTL is how long reported holdings override the target's own row: it covers
// one heartbeat of the target and the store's lag.
const reportTTL = 3 * time.Second

// removalDelay is how long a target is kept whose row was deleted while the store
// recovered from an outage.
const removalDelay = 2500 * time.Millisecond

// maxLoggedTargets is how many new targets of one change of the table are logged one by one.
const maxLoggedTargets = 8

// refutationTTL is how long a refutation overrides the target's row and its owner's
// report: the owner has queried the target by then.
const refutationTTL = time.Second

// ReportedHoldings are what the owner of a target's service knows of the target.
type ReportedHoldings struct {
	Instance string
	Born     time.Time
	// Orders is the number of accepted orders that the holdings reflect. A report
	// with fewer orders of the same incarnation is out of date.
	Orders   int64
	Holdings []mimosatide.Holding
	InMemory []string
	OnDisk   []string
}

// timedHoldings are reported holdings with the time at which they were received.
type timedHoldings struct {
	ReportedHoldings
	at time.Time
}

// View is an immutable snapshot of all targets.
type View struct {
	services map[string][]mimosatide.Instance
	// evacuated holds the targets of each service that only the evacuation of their zone keeps from requests.
	evacuated map[string][]mimosatide.Instance
	byID      map[string]*mimosatide.Instance
}

// Evacuated returns the targets of a service that are not leaving, but whose zone is evacuated,
// sorted by id.
func (view *View) Evacuated(service string) []mimosatide.Instance {
	return view.evacuated[service]
}

// Service returns the targets of a service that may be sent requests, sorted by id: they are not
// leaving, and their zone is not evacuated.
func (view *View) Service(name string) []mimosatide.Instance {
	return view.services[name]
}

// Holders returns the ids of the targets of a service that hold a model and may be sent requests.
func (view *View) Holders(model HeldModel) []string {
	var holders []string
	for _, instance := range view.services[model.Service] {
		if slices.ContainsFunc(instance.Holdings, func(holding mimosatide.Holding) bool { return holding.Model == model.Model }) {
			holders = append(holders, instance.ID)
		}
	}
	return holders
}

// All returns all targets of a service, sorted by id: also those that may be sent no requests.
func (view *View) All(service string) []mimosatide.Instance {
	var all []mimosatide.Instance
	for _, id := range slices.Sorted(maps.Keys(view.byID)) {
		if instance := view.byID[id]; instance.Service == service {
			all = append(all, *instance)
		}
	}
	return all
}

// Instance returns the target with the given id, including one that is leaving.
func (view *View) Instance(id string) (mimosatide.Instance, bool) {
	instance, found := view.byID[id]
	if !found {
		return mimosatide.Instance{}, false
	}
	return *instance, true
}

// Software returns the versions of the software that the targets of a service have, including
// those that are leaving.
func (view *View) Software(service string) []string {
	versions := map[string]bool{}
	for _, instance := range view.byID {
		if instance.Service == service {
			versions[instance.Software] = true
		}
	}
	return slices.Sorted(maps.Keys(versions))
}

// Registry holds the known targets. It is safe for concurrent use.
type Registry struct {
	log logr.Logger
	// view is nil after a change and is rebuilt on demand: in a large fleet targets
	// change far more often than a node reads them.
	view atomic.Pointer[View]

	lock      sync.Mutex
	instances map[string]mimosatide.Instance
	reported  map[string]timedHoldings
	removals  map[string]pendingRemoval
	// refutations holds, by target, the end of each refutation.
	refutations map[string]map[holdingKey]time.Time
	// leaving holds, by target, the newest incarnation that is known to leave.
	leaving map[string]leavingMark
	// removed holds, by target, the incarnation that was last removed, heldBack until when
	// removed targets are kept away whose rows came back with a restore of the store.
	removed  map[string]removedMark
	heldBack map[string]time.Time
	// disputed are the targets whose incarnation has named two versions of its software.
	disputed map[string]bool
	// cold holds, by target, until when an incarnation counts as cold.
	cold map[string]coldMark
	// evacuations holds the evacuated availability zones, returns when the evacuation of a zone ended.
	evacuations map[string]evacuation
	returns     map[string]time.Time
	// assumedAt is when all zones were taken for ones whose evacuation has ended, zero if they are not.
	assumedAt time.Time
	changed   chan struct{}
}

// pendingRemoval is the deletion of a row that may only be an effect of an outage of
// the store, during which targets can't renew their rows.
type pendingRemoval struct {
	// row is the version of the deletion.
	row mimosatide.RowVersion
	// until is the time up to which the target is kept.
	until time.Time
}

// holdingKey names a model or, if adapter is set, an adapter of it.
type holdingKey struct {
	model   string
	adapter string
}

// New returns an empty registry.
func New(log logr.Logger) *Registry {
	registry := &Registry{
		log:         log,
		instances:   map[string]mimosatide.Instance{},
		reported:    map[string]timedHoldings{},
		removals:    map[string]pendingRemoval{},
		refutations: map[string]map[holdingKey]time.Time{},
		leaving:     map[string]leavingMark{},
		removed:     map[string]removedMark{},
		heldBack:    map[string]time.Time{},
		disputed:    map[string]bool{},
		cold:        map[string]coldMark{},
		evacuations: map[string]evacuation{},
		returns:     map[string]time.Time{},
		changed:     make(chan struct{}),
	}
	return registry
}

// View returns a snapshot of the current targets.
func (registry *Registry) View() *View {
	if view := registry.view.Load(); view != nil {
		return view
	}
	registry.lock.Lock()
	defer registry.lock.Unlock()
	// A change wakes many requests at once: the first one builds the view for all.
	if view := registry.view.Load(); view != nil {
		return view
	}
	view := registry.buildView()
	registry.view.Store(view)
	return view
}

// Changed returns a channel that is closed at the next change.
func (registry *Registry) Changed() <-chan struct{} {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	return registry.changed
}

// Put adds or updates a target as its own row describes it.
func (registry *Registry) Put(instance mimosatide.Instance) {
	registry.PutAll([]mimosatide.Instance{instance})
}

// PutAll adds or updates targets as their own rows describe them. Of many new ones it logs
// the number, and each of them as a detail.
func (registry *Registry) PutAll(instances []mimosatide.Instance) {
	if len(instances) == 0 {
		return
	}
	registry.lock.Lock()
	defer registry.lock.Unlock()
	registry.putAllLocked(instances)
}

func (registry *Registry) putAllLocked(instances []mimosatide.Instance) {
	var known []mimosatide.Instance
	for _, instance := range instances {
		if registry.putLocked(instance) {
			known = append(known, instance)
		}
	}
	registry.markChanged()
	log := registry.log
	if len(known) > maxLoggedTargets {
		log.Info("targets known", "count", len(known), "all", len(registry.instances))
		log = log.V(1)
	}
	for _, instance := range known {
		log.Info("target known", "target", instance.ID, "service", instance.Service,
			"address", instance.Address, "zone", instance.Zone, "software", instance.Software, "leaving", instance.Leaving)
	}
}

// putLocked adds or updates a target and reports whether it is new, or a new incarnation, or
// has a new address or state.
func (registry *Registry) putLocked(instance mimosatide.Instance) bool {
	before, found := registry.instances[instance.ID]
	if found && before.Born.Equal(instance.Born) {
		instance.Software = registry.settleSoftware(before, instance.Software)
	} else {
		delete(registry.disputed, instance.ID)
	}
	delete(registry.removals, instance.ID)
	delete(registry.removed, instance.ID)
	delete(registry.heldBack, instance.ID)
	registry.instances[instance.ID] = instance
	if instance.ColdLeft > 0 {
		now := time.Now()
		registry.markColdLocked(instance, now.Add(instance.ColdLeft), now)
	}
	if mark, marked := registry.leaving[instance.ID]; marked && instance.Born.After(mark.born) {
		delete(registry.leaving, instance.ID)
	}
	if instance.Leaving {
		registry.markLeavingLocked(instance.ID, instance.Born, time.Now(), time.Time{})
	}
	if time.Since(registry.reported[instance.ID].at) > reportTTL {
		delete(registry.reported, instance.ID)
	}
	return !found || before.Leaving != instance.Leaving || !before.Born.Equal(instance.Born) || before.Address != instance.Address
}

// settleSoftware returns the version of an incarnation's software, which can't change: one that its
// row leaves out is the one known before, and of an incarnation whose rows name two it is not known.
func (registry *Registry) settleSoftware(before mimosatide.Instance, software string) string {
	if registry.disputed[before.ID] || software == "" || software == before.Software {
		return before.Software
	}
	if before.Software == "" {
		return software
	}
	registry.disputed[before.ID] = true
	registry.log.Info("target names another software", "target", before.ID, "service", before.Service,
		"software", software, "before", before.Software, "born", before.Born)
	return ""
}

// Delete removes a target whose row was deleted. If the store is recovering from an
// outage, the row may have expired although the target is live; a target that was
// not leaving is then kept until Expire or ConfirmDeletions removes it, or Put
// restores it.
func (registry *Registry) Delete(id string, row mimosatide.RowVersion, recovering bool, now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	instance, found := registry.instances[id]
	if !found {
		return
	}
	if recovering && !registry.isLeaving(instance) {
		registry.removals[id] = pendingRemoval{row: row, until: now.Add(removalDelay)}
		registry.log.Info("target row lapsed", "target", id, "service", instance.Service, "row", row)
		return
	}
	registry.remove(id)
	registry.markChanged()
}

// Expire drops outdated refutations and marks of leaving targets, and removes the targets whose rows did not
// reappear after an outage.
func (registry *Registry) Expire(now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	registry.expireLeaving(now)
	expired := registry.expireRefutations(now)
	expired = registry.expireRemoved(now) || expired
	expired = registry.expireEvacuations(now) || expired
	registry.expireCold(now)
	for id, removal := range registry.removals {
		if now.After(removal.until) {
			registry.remove(id)
			expired = true
		}
	}
	if expired {
		registry.markChanged()
	}
}

// ConfirmDeletions removes the targets whose rows were deleted at or before a version
// that was read while the store had no outage: these deletions are not effects of an
// outage. It has no effect on deletions of another era of the store: a restore may have
// brought their rows back.
func (registry *Registry) ConfirmDeletions(row mimosatide.RowVersion) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	confirmed := false
	for id, removal := range registry.removals {
		if removal.row <= row && removal.row.Era() == row.Era() {
			registry.remove(id)
			confirmed = true
		}
	}
	if confirmed {
		registry.markChanged()
	}
}

// expireRefutations drops outdated refutations and reports whether there were any.
func (registry *Registry) expireRefutations(now time.Time) bool {
	expired := false
	for id, refutations := range registry.refutations {
		for key, until := range refutations {
			if now.After(until) {
				delete(refutations, key)
				expired = true
			}
		}
		if len(refutations) == 0 {
			delete(registry.refutations, id)
		}
	}
	return expired
}

// SetHoldings records the holdings that the target's owner reports, unless they are older
// than the known ones. It ends all refutations of the target.
func (registry *Registry) SetHoldings(holdings ReportedHoldings) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	known, found := registry.reported[holdings.Instance]
	if found && known.Born.Equal(holdings.Born) && known.Orders > holdings.Orders {
		return
	}
	registry.reported[holdings.Instance] = timedHoldings{ReportedHoldings: holdings, at: time.Now()}
	delete(registry.refutations, holdings.Instance)
	registry.markChanged()
}

// Refute records that a target rejected a request because it lacks the model or the
// adapter. The rejection is newer than the target's row and reported holdings, so it
// overrides both until the owner publishes a report or the refutation expires. The
// adapter of a request is refuted first, and the model only if the adapter no longer
// counts as held.
func (registry *Registry) Refute(id, model, adapter string, now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	instance, found := registry.instances[id]
	if !found {
		return
	}
	current := registry.effective(instance, now)
	key := holdingKey{model: model}
	if adapter != "" && current.HoldsAdapter(model, adapter) {
		key.adapter = adapter
	}
	if registry.refutations[id] == nil {
		registry.refutations[id] = map[holdingKey]time.Time{}
	}
	registry.refutations[id][key] = now.Add(refutationTTL)
	registry.log.Info("holding refuted", "target", id, "model", model, "adapter", key.adapter, "orders", current.Orders)
	registry.markChanged()
}

// effective returns a target with its reported holdings and refutations applied.
func (registry *Registry) effective(instance mimosatide.Instance, now time.Time) mimosatide.Instance {
	return withoutRefuted(withReported(instance, registry.reported[instance.ID]), registry.refutations[instance.ID], now)
}

func (registry *Registry) remove(id string) {
	registry.log.Info("target gone", "target", id, "service", registry.instances[id].Service)
	registry.removed[id] = removedMark{born: registry.instances[id].Born, at: time.Now()}
	delete(registry.heldBack, id)
	delete(registry.disputed, id)
	delete(registry.cold, id)
	delete(registry.instances, id)
	delete(registry.reported, id)
	delete(registry.removals, id)
	delete(registry.refutations, id)
}

// markChanged invalidates the view and wakes all goroutines that wait for a change.
func (registry *Registry) markChanged() {
	registry.view.Store(nil)
	close(registry.changed)
	registry.changed = make(chan struct{})
}

func (registry *Registry) buildView() *View {
	now := time.Now()
	view := &View{
		services:  map[string][]mimosatide.Instance{},
		evacuated: map[string][]mimosatide.Instance{},
		byID:      make(map[string]*mimosatide.Instance, len(registry.instances)),
	}
	for _, id := range slices.Sorted(maps.Keys(registry.instances)) {
		instance := registry.effective(registry.instances[id], now)
		instance.Leaving = registry.isLeaving(instance)
		_, instance.Evacuated = registry.evacuations[instance.Zone]
		instance.ReturnedAt = registry.returnedAt(instance.Zone)
		if mark := registry.cold[id]; mark.born.Equal(instance.Born) {
			instance.ColdUntil = mark.until
		}
		view.byID[id] = &instance
		switch {
		case instance.Leaving:
		case instance.Evacuated:
			view.evacuated[instance.Service] = append(view.evacuated[instance.Service], instance)
		default:
			view.services[instance.Service] = append(view.services[instance.Service], instance)
		}
	}
	return view
}

// withReported overrides what the row says with reported holdings of the same incarnation. A report of
// a later one says that the target has started anew since its row was written: it holds nothing of
// what the row says, and may have other software.
func withReported(instance mimosatide.Instance, reported timedHoldings) mimosatide.Instance {
	if reported.Instance != "" && reported.Born.After(instance.Born) {
		instance.Holdings = nil
		return instance
	}
	if reported.Instance == "" || !reported.Born.Equal(instance.Born) {
		return instance
	}
	instance.Orders = reported.Orders
	instance.Holdings = reported.Holdings
	instance.InMemory = reported.InMemory
	instance.OnDisk = reported.OnDisk
	return instance
}

// withoutRefuted leaves out the models and adapters that are refuted.
func withoutRefuted(instance mimosatide.Instance, refutations map[holdingKey]time.Time, now time.Time) mimosatide.Instance {
	if len(refutations) == 0 {
		return instance
	}
	var holdings []mimosatide.Holding
	for _, holding := range instance.Holdings {
		if now.Before(refutations[holdingKey{model: holding.Model}]) {
			continue
		}
		holding.Adapters = slices.DeleteFunc(slices.Clone(holding.Adapters), func(adapter string) bool {
			return now.Before(refutations[holdingKey{model: holding.Model, adapter: adapter}])
		})
		holdings = append(holdings, holding)
	}
	instance.Holdings = holdings
	return instance
}
