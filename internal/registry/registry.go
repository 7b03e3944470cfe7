// Package registry knows the targets of every service: which incarnations live
// or leave, and which models and adapters each of them holds.
//
// What a target says of itself comes from its row in the store. The node that
// orders a target knows sooner what it holds; its word counts until the target
// has had the time to tell the same itself.
//
// # Usage
//
//	targets := registry.New(log)
//	targets.Apply(changes, recovering, time.Now())
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

// placementAge is after how long a target's own row counts again before the
// word of its orderer: a heartbeat and the store's lag have passed by then.
const placementAge = 3 * time.Second

// lapseTime is how long a target is kept whose row lapsed during an outage of the store.
const lapseTime = 2500 * time.Millisecond

// refuteTime is how long a target's own word that it lacks a model counts before
// what its row or its orderer say: the orderer has looked at the target by then.
const refuteTime = time.Second

// Placement is what the owner of a target's orders knows of it.
type Placement struct {
	Instance string
	Born     time.Time
	// Orders is the number of accepted orders that the placement reflects.
	Orders   int64
	Holdings []mimosatide.Holding
	InMemory []string
	OnDisk   []string
}

type placed struct {
	Placement
	at time.Time
}

// View is an immutable picture of all targets.
type View struct {
	services map[string][]mimosatide.Instance
	byID     map[string]*mimosatide.Instance
}

// Service returns the targets of a service that may be sent requests, by id.
func (view *View) Service(name string) []mimosatide.Instance {
	return view.services[name]
}

// Instance returns a target by its id.
func (view *View) Instance(id string) (mimosatide.Instance, bool) {
	instance, found := view.byID[id]
	if !found {
		return mimosatide.Instance{}, false
	}
	return *instance, true
}

// Registry follows the targets' rows.
type Registry struct {
	log logr.Logger
	// view is nil after a change, until the picture is asked for: in a large fleet
	// targets change far more often than a node looks at them.
	view atomic.Pointer[View]

	lock       sync.Mutex
	instances  map[string]mimosatide.Instance
	placements map[string]placed
	lapsed     map[string]lapse
	// refuted are the models and adapters that targets have denied, and until when that counts.
	refuted map[string]map[denial]time.Time
	changed chan struct{}
}

// lapse is the end of a row that may only be an effect of an outage of the store.
type lapse struct {
	// row is the version of the end; until is how long the target is kept.
	row   mimosatide.RowVersion
	until time.Time
}

// denial is a model, or an adapter of it, that a target does not hold.
type denial struct {
	model   string
	adapter string
}

// New returns an empty registry.
func New(log logr.Logger) *Registry {
	registry := &Registry{
		log:        log,
		instances:  map[string]mimosatide.Instance{},
		placements: map[string]placed{},
		lapsed:     map[string]lapse{},
		refuted:    map[string]map[denial]time.Time{},
		changed:    make(chan struct{}),
	}
	return registry
}

// View returns the present picture.
func (registry *Registry) View() *View {
	if view := registry.view.Load(); view != nil {
		return view
	}
	registry.lock.Lock()
	defer registry.lock.Unlock()
	view := registry.build()
	registry.view.Store(view)
	return view
}

// Changed returns a channel that is closed at the next change.
func (registry *Registry) Changed() <-chan struct{} {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	return registry.changed
}

// Put takes what a target says of itself.
func (registry *Registry) Put(instance mimosatide.Instance) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	before, found := registry.instances[instance.ID]
	delete(registry.lapsed, instance.ID)
	registry.instances[instance.ID] = instance
	if time.Since(registry.placements[instance.ID].at) > placementAge {
		delete(registry.placements, instance.ID)
	}
	if !found || before.Leaving != instance.Leaving || !before.Born.Equal(instance.Born) || before.Address != instance.Address {
		registry.log.Info("target known", "target", instance.ID, "service", instance.Service,
			"address", instance.Address, "zone", instance.Zone, "leaving", instance.Leaving)
	}
	registry.touch()
}

// Delete takes out a target whose row is gone. While the store recovers from an
// outage the row may only have lapsed: the target is then kept for a moment.
func (registry *Registry) Delete(id string, row mimosatide.RowVersion, recovering bool, now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	instance, found := registry.instances[id]
	if !found {
		return
	}
	if recovering && !instance.Leaving {
		registry.lapsed[id] = lapse{row: row, until: now.Add(lapseTime)}
		registry.log.Info("target row lapsed", "target", id, "service", instance.Service, "row", row)
		return
	}
	registry.remove(id)
	registry.touch()
}

// Expire takes out the targets whose rows did not come back after an outage.
func (registry *Registry) Expire(now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	expired := registry.forgetDenials(now)
	for id, lapsed := range registry.lapsed {
		if now.After(lapsed.until) {
			registry.remove(id)
			expired = true
		}
	}
	if expired {
		registry.touch()
	}
}

// Confirm takes out the targets whose rows ended up to a version that was read while
// the store had not been away: these rows have not only lapsed.
func (registry *Registry) Confirm(row mimosatide.RowVersion) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	confirmed := false
	for id, lapsed := range registry.lapsed {
		if lapsed.row <= row {
			registry.remove(id)
			confirmed = true
		}
	}
	if confirmed {
		registry.touch()
	}
}

// forgetDenials takes out what targets have denied long ago, and says whether there was any.
func (registry *Registry) forgetDenials(now time.Time) bool {
	forgotten := false
	for id, denied := range registry.refuted {
		for each, until := range denied {
			if now.After(until) {
				delete(denied, each)
				forgotten = true
			}
		}
		if len(denied) == 0 {
			delete(registry.refuted, id)
		}
	}
	return forgotten
}

// Place takes the word of the node that orders a target.
func (registry *Registry) Place(placement Placement) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	known, found := registry.placements[placement.Instance]
	if found && known.Born.Equal(placement.Born) && known.Orders > placement.Orders {
		return
	}
	registry.placements[placement.Instance] = placed{Placement: placement, at: time.Now()}
	delete(registry.refuted, placement.Instance)
	registry.touch()
}

// Refute takes a target's own word that it can't run a request for a model, or for
// an adapter of it: what others say of the target is older. It counts until its
// orderer says more. Of a request with an adapter the adapter is denied first.
func (registry *Registry) Refute(id, model, adapter string, now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	instance, found := registry.instances[id]
	if !found {
		return
	}
	known := registry.present(instance, now)
	denied := denial{model: model}
	if adapter != "" && known.HoldsAdapter(model, adapter) {
		denied.adapter = adapter
	}
	if registry.refuted[id] == nil {
		registry.refuted[id] = map[denial]time.Time{}
	}
	registry.refuted[id][denied] = now.Add(refuteTime)
	registry.log.Info("holding refuted", "target", id, "model", model, "adapter", denied.adapter, "orders", known.Orders)
	registry.touch()
}

// present is a target as it is to be seen now.
func (registry *Registry) present(instance mimosatide.Instance, now time.Time) mimosatide.Instance {
	return withoutDenied(withPlacement(instance, registry.placements[instance.ID]), registry.refuted[instance.ID], now)
}

func (registry *Registry) remove(id string) {
	registry.log.Info("target gone", "target", id, "service", registry.instances[id].Service)
	delete(registry.instances, id)
	delete(registry.placements, id)
	delete(registry.lapsed, id)
	delete(registry.refuted, id)
}

// touch gives the present picture up and wakes whoever waits for a change.
func (registry *Registry) touch() {
	registry.view.Store(nil)
	close(registry.changed)
	registry.changed = make(chan struct{})
}

// build makes a picture of all targets.
func (registry *Registry) build() *View {
	now := time.Now()
	view := &View{
		services: map[string][]mimosatide.Instance{},
		byID:     make(map[string]*mimosatide.Instance, len(registry.instances)),
	}
	for _, id := range slices.Sorted(maps.Keys(registry.instances)) {
		instance := registry.present(registry.instances[id], now)
		view.byID[id] = &instance
		if !instance.Leaving {
			view.services[instance.Service] = append(view.services[instance.Service], instance)
		}
	}
	return view
}

// withPlacement prefers the orderer's word on what the same incarnation holds.
func withPlacement(instance mimosatide.Instance, placement placed) mimosatide.Instance {
	if placement.Instance == "" || !placement.Born.Equal(instance.Born) {
		return instance
	}
	instance.Orders = placement.Orders
	instance.Holdings = placement.Holdings
	instance.InMemory = placement.InMemory
	instance.OnDisk = placement.OnDisk
	return instance
}

// withoutDenied leaves out what the target itself has denied.
func withoutDenied(instance mimosatide.Instance, denied map[denial]time.Time, now time.Time) mimosatide.Instance {
	if len(denied) == 0 {
		return instance
	}
	var holdings []mimosatide.Holding
	for _, holding := range instance.Holdings {
		if now.Before(denied[denial{model: holding.Model}]) {
			continue
		}
		holding.Adapters = slices.DeleteFunc(slices.Clone(holding.Adapters), func(adapter string) bool {
			return now.Before(denied[denial{model: holding.Model, adapter: adapter}])
		})
		holdings = append(holdings, holding)
	}
	instance.Holdings = holdings
	return instance
}
