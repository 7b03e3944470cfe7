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
	"sort"
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
	byID     map[string]mimosatide.Instance
}

// Service returns the targets of a service that may be sent requests, by id.
func (view *View) Service(name string) []mimosatide.Instance {
	return view.services[name]
}

// Instance returns a target by its id.
func (view *View) Instance(id string) (mimosatide.Instance, bool) {
	instance, found := view.byID[id]
	return instance, found
}

// Registry follows the targets' rows.
type Registry struct {
	log  logr.Logger
	view atomic.Pointer[View]

	lock       sync.Mutex
	instances  map[string]mimosatide.Instance
	placements map[string]placed
	lapsed     map[string]time.Time
	changed    chan struct{}
}

// New returns an empty registry.
func New(log logr.Logger) *Registry {
	registry := &Registry{
		log:        log,
		instances:  map[string]mimosatide.Instance{},
		placements: map[string]placed{},
		lapsed:     map[string]time.Time{},
		changed:    make(chan struct{}),
	}
	registry.view.Store(&View{})
	return registry
}

// View returns the present picture.
func (registry *Registry) View() *View {
	return registry.view.Load()
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
	registry.rebuild()
}

// Delete takes out a target whose row is gone. While the store recovers from an
// outage the row may only have lapsed: the target is then kept for a moment.
func (registry *Registry) Delete(id string, recovering bool, now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	instance, found := registry.instances[id]
	if !found {
		return
	}
	if recovering && !instance.Leaving {
		registry.lapsed[id] = now.Add(lapseTime)
		registry.log.Info("target row lapsed", "target", id, "service", instance.Service)
		return
	}
	registry.remove(id)
	registry.rebuild()
}

// Expire takes out the targets whose rows did not come back after an outage.
func (registry *Registry) Expire(now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	expired := false
	for id, until := range registry.lapsed {
		if now.After(until) {
			registry.remove(id)
			expired = true
		}
	}
	if expired {
		registry.rebuild()
	}
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
	registry.rebuild()
}

func (registry *Registry) remove(id string) {
	registry.log.Info("target gone", "target", id, "service", registry.instances[id].Service)
	delete(registry.instances, id)
	delete(registry.placements, id)
	delete(registry.lapsed, id)
}

// rebuild makes a new picture and wakes whoever waits for one.
func (registry *Registry) rebuild() {
	view := &View{services: map[string][]mimosatide.Instance{}, byID: map[string]mimosatide.Instance{}}
	for id, instance := range registry.instances {
		instance = withPlacement(instance, registry.placements[id])
		view.byID[id] = instance
		if !instance.Leaving {
			view.services[instance.Service] = append(view.services[instance.Service], instance)
		}
	}
	for _, list := range view.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	registry.view.Store(view)
	close(registry.changed)
	registry.changed = make(chan struct{})
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
