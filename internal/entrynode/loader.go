package entrynode

import (
	"context"
	"sync"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/loading"
	"mimosatide.example/mimosatide/internal/registry"
)

// ownerHeard is how recently an owner must have been heard to be told of needs.
const ownerHeard = 1500 * time.Millisecond

// service is what the node knows of the loading of one service's engines.
type service struct {
	name  string
	owner *loading.Owner
	// peer is the address of the node that was last heard to hold the lease.
	peer  string
	term  uint64
	heard time.Time
	// use holds this node's running totals of prompts, and adapters used since the last report.
	use      map[string]float64
	adapters map[loading.AdapterAt]bool
	// running counts this node's requests that use an adapter at a target.
	running map[loading.AdapterAt]int
	changed map[string]bool
}

// loader leads needs to the owner of each service, which may be this node.
type loader struct {
	node *Node

	lock     sync.Mutex
	ctx      context.Context
	services map[string]*service
	pending  *mimosatide.Deployment
}

func newLoader(node *Node) *loader {
	return &loader{node: node, services: map[string]*service{}}
}

// run keeps the context in which owners work.
func (loader *loader) run(ctx context.Context) {
	loader.lock.Lock()
	loader.ctx = ctx
	pending := loader.pending
	loader.lock.Unlock()
	if pending != nil {
		loader.configure(pending)
	}
	<-ctx.Done()
}

// configure starts an owner for each service with engines.
func (loader *loader) configure(deployment *mimosatide.Deployment) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	if loader.ctx == nil {
		loader.pending = deployment
		return
	}
	for name, configured := range deployment.Services {
		if configured.Engine == nil || loader.services[name] != nil {
			continue
		}
		loader.services[name] = loader.start(name)
	}
}

func (loader *loader) start(name string) *service {
	node := loader.node
	// A machine that comes in the place of another one may have its name.
	machine := node.settings.Node + "@" + node.settings.IP
	lease := loading.NewLease("orders/"+name, machine, node.settings.Bounds.Lease,
		node.store.Table(leaseTable), bootClock{}, node.log)
	class := func() (mimosatide.EngineClass, bool) {
		deployment := node.deployment.Load()
		if deployment == nil || deployment.Services[name].Engine == nil {
			return mimosatide.EngineClass{}, false
		}
		return *deployment.Services[name].Engine, true
	}
	settings := loading.Settings{Service: name, Holder: node.settings.Node}
	owner := loading.New(settings, lease, node.engines, node.targets, class, loader.publish, node.log)
	ctx := loader.ctx
	go lease.Run(ctx, node.fleet.rank)
	go owner.Run(ctx)
	return &service{
		name:     name,
		owner:    owner,
		use:      map[string]float64{},
		adapters: map[loading.AdapterAt]bool{},
		running:  map[loading.AdapterAt]int{},
		changed:  map[string]bool{},
	}
}

// publish tells all nodes what a target holds.
func (loader *loader) publish(instance mimosatide.Instance) {
	message := gossip.Placement{
		Instance: instance.ID,
		Born:     instance.Born.UnixMilli(),
		Orders:   instance.Orders,
		InMemory: instance.InMemory,
		OnDisk:   instance.OnDisk,
	}
	for _, holding := range instance.Holdings {
		message.Holdings = append(message.Holdings, gossip.Holding{Model: holding.Model, Adapters: holding.Adapters})
	}
	loader.hearPlacement(message)
	loader.node.fleet.tell(gossip.Batch{Placements: []gossip.Placement{message}})
}

func (loader *loader) hearPlacement(message gossip.Placement) {
	placement := registry.Placement{
		Instance: message.Instance,
		Born:     message.BornTime(),
		Orders:   message.Orders,
		InMemory: message.InMemory,
		OnDisk:   message.OnDisk,
	}
	for _, holding := range message.Holdings {
		placement.Holdings = append(placement.Holdings, mimosatide.Holding{Model: holding.Model, Adapters: holding.Adapters})
	}
	loader.node.targets.Place(placement)
}

// Need asks the owner of a service for a model or an adapter.
func (loader *loader) Need(need loading.Need) {
	loader.lock.Lock()
	known, found := loader.services[need.Service]
	if !found {
		loader.lock.Unlock()
		return
	}
	peer, fresh := known.peer, time.Since(known.heard) < ownerHeard
	loader.lock.Unlock()
	_, _, own := known.owner.Lease().Held()
	if own || !fresh {
		known.owner.Need(need, time.Now())
		return
	}
	loader.node.hub.Send(peer, gossip.Need{
		Service: need.Service, Model: need.Model, Adapter: need.Adapter, Instance: need.Instance,
	})
}

func (loader *loader) hearNeed(message gossip.Need, now time.Time) {
	loader.lock.Lock()
	known, found := loader.services[message.Service]
	loader.lock.Unlock()
	if found {
		known.owner.Need(loading.Need{
			Service: message.Service, Model: message.Model, Adapter: message.Adapter, Instance: message.Instance,
		}, now)
	}
}

// Use counts a prompt that came for a model.
func (loader *loader) Use(service, model string, prefill time.Duration) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	if known, found := loader.services[service]; found {
		known.use[model] += prefill.Seconds()
		known.changed[model] = true
	}
}

// UseAdapter notes that a request uses an adapter at a target until it calls the returned function.
func (loader *loader) UseAdapter(service string, adapter loading.AdapterAt) func() {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	known, found := loader.services[service]
	if !found {
		return func() {}
	}
	known.adapters[adapter] = true
	known.running[adapter]++
	return func() { loader.endAdapter(known, adapter) }
}

func (loader *loader) endAdapter(known *service, adapter loading.AdapterAt) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	known.adapters[adapter] = true
	known.running[adapter]--
	if known.running[adapter] <= 0 {
		delete(known.running, adapter)
	}
}

// report tells the owners what was asked for since the last report.
func (loader *loader) report(now time.Time) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	for _, known := range loader.services {
		_, _, own := known.owner.Lease().Held()
		fresh := known.peer != "" && now.Sub(known.heard) < ownerHeard
		for adapter := range known.running {
			known.adapters[adapter] = true
		}
		if !own && !fresh || len(known.changed) == 0 && len(known.adapters) == 0 {
			continue
		}
		usage := gossip.Usage{Node: loader.node.settings.Node, Service: known.name, Models: map[string]gossip.ModelUse{}}
		for model := range known.changed {
			usage.Models[model] = gossip.ModelUse{PrefillMillis: known.use[model] * 1000}
		}
		for adapter := range known.adapters {
			usage.Adapters = append(usage.Adapters, gossip.AdapterUse{
				Instance: adapter.Instance, Model: adapter.Model, Adapter: adapter.Adapter,
			})
		}
		clear(known.changed)
		clear(known.adapters)
		if own {
			takeUsage(known, usage, now)
			continue
		}
		loader.node.hub.Send(known.peer, usage)
	}
}

func (loader *loader) hearUsage(message gossip.Usage, now time.Time) {
	loader.lock.Lock()
	known, found := loader.services[message.Service]
	loader.lock.Unlock()
	if found {
		takeUsage(known, message, now)
	}
}

func takeUsage(known *service, message gossip.Usage, now time.Time) {
	demand := known.owner.Demand()
	for model, use := range message.Models {
		demand.Use(message.Node, model, use.PrefillMillis/1000, use.Running, now)
	}
	for _, use := range message.Adapters {
		demand.UseAdapter(loading.AdapterAt{Instance: use.Instance, Model: use.Model, Adapter: use.Adapter}, now)
	}
}

// hearOwners takes a peer's word on the leases that it holds.
func (loader *loader) hearOwners(from string, owned []gossip.Ownership, now time.Time) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	for _, ownership := range owned {
		known, found := loader.services[ownership.Service]
		if !found || ownership.Term < known.term {
			continue
		}
		if known.peer != from || known.term != ownership.Term {
			loader.node.log.Info("owner known", "service", ownership.Service, "peer", from, "term", ownership.Term)
		}
		known.peer = from
		known.term = ownership.Term
		known.heard = now
		known.owner.Lease().Hear(mimosatide.RowVersion(ownership.Row))
	}
}

// owned lists the leases that this node holds.
func (loader *loader) owned() []gossip.Ownership {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	var owned []gossip.Ownership
	for name, known := range loader.services {
		if term, row, held := known.owner.Lease().Held(); held {
			owned = append(owned, gossip.Ownership{Service: name, Term: term, Row: uint64(row)})
		}
	}
	return owned
}

// givenUp lists the leases that this node gave up because the store did not answer it.
func (loader *loader) givenUp() []gossip.Handover {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	var handovers []gossip.Handover
	for name, known := range loader.services {
		if row, idle, given := known.owner.Lease().GivenUp(); given {
			handovers = append(handovers, gossip.Handover{Service: name, Row: uint64(row), IdleMillis: idle.Milliseconds()})
		}
	}
	return handovers
}

func (loader *loader) hearGivenUp(handovers []gossip.Handover) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	for _, handover := range handovers {
		if known, found := loader.services[handover.Service]; found {
			idle := time.Duration(handover.IdleMillis) * time.Millisecond
			known.owner.Lease().HearGivenUp(mimosatide.RowVersion(handover.Row), idle)
		}
	}
}

func (loader *loader) holdsAny() bool {
	return len(loader.owned()) > 0
}

// release gives all leases up.
func (loader *loader) release(ctx context.Context) {
	loader.lock.Lock()
	services := make([]*service, 0, len(loader.services))
	for _, known := range loader.services {
		services = append(services, known)
	}
	loader.lock.Unlock()
	for _, known := range services {
		known.owner.Lease().Release(ctx)
	}
}
