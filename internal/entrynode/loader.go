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

// ownerTimeout is how long after an owner's last digest it is still sent needs and usage.
const ownerTimeout = 1500 * time.Millisecond

// The largest values of a need from another node: far beyond any deadline and any model's context.
const (
	maxLeavesMillis = int64(time.Hour / time.Millisecond)
	maxPromptTokens = 10_000_000
)

// serviceState is what this node knows about loading models on the engines of one service.
type serviceState struct {
	name       string
	controller *loading.Controller
	// ownerAddress is the peer address of the last known lease holder, ownerTerm its
	// term, and ownerSeenAt when its last digest arrived.
	ownerAddress string
	ownerTerm    uint64
	ownerSeenAt  time.Time
	// expected is when models are expected to be loaded, as the owner said at expectedAt.
	expected   map[string]time.Time
	expectedAt time.Time
	// prefillSeconds are this node's running totals of prefill time by model.
	prefillSeconds map[string]float64
	// usedAdapters and usedModels are those used since the last usage report; of the models with the
	// prefill time in seconds.
	usedAdapters map[loading.AdapterAt]bool
	// runningRequests counts this node's requests that use an adapter at a target.
	runningRequests map[loading.AdapterAt]int
	usedModels      map[string]float64
}

// loader sends needs and usage to the owner of each service: the holder of the
// lease on the orders to its engines, which may be this node.
type loader struct {
	node *Node

	lock sync.Mutex
	// ctx is nil until run is called; a deployment that arrives before waits in pendingDeployment.
	ctx               context.Context
	services          map[string]*serviceState
	pendingDeployment *mimosatide.Deployment
}

func newLoader(node *Node) *loader {
	return &loader{node: node, services: map[string]*serviceState{}}
}

// run lets the controllers work until ctx is cancelled.
func (loader *loader) run(ctx context.Context) {
	loader.lock.Lock()
	loader.ctx = ctx
	deployment := loader.pendingDeployment
	loader.lock.Unlock()
	if deployment != nil {
		loader.configure(deployment)
	}
	<-ctx.Done()
}

// configure starts a controller for each service with engines that has none yet.
func (loader *loader) configure(deployment *mimosatide.Deployment) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	if loader.ctx == nil {
		loader.pendingDeployment = deployment
		return
	}
	for name, configured := range deployment.Services {
		if configured.Engine == nil || loader.services[name] != nil {
			continue
		}
		loader.services[name] = loader.startController(name)
	}
}

// startController starts the controller of a service and its lease.
func (loader *loader) startController(name string) *serviceState {
	node := loader.node
	// A machine that replaces another one may have the same name, so the holder
	// contains the address too.
	holder := node.settings.Node + "@" + node.settings.IP
	lateOrders := time.Duration(0)
	if !node.settings.Bounds.FencingChecked {
		lateOrders = lateOrderTime
	}
	lease := loading.NewLease(loading.LeaseSettings{
		Key: "orders/" + name, Holder: holder, HandoverDelay: node.settings.Bounds.Lease, LateOrders: lateOrders,
	}, node.store.Table(leaseTable), bootClock{}, node.storeAnsweredAt, node.log)
	engineClass := func() (mimosatide.EngineClass, bool) {
		deployment := node.deployment.Load()
		if deployment == nil || deployment.Services[name].Engine == nil {
			return mimosatide.EngineClass{}, false
		}
		return *deployment.Services[name].Engine, true
	}
	pausedUntil := func(engine mimosatide.Instance) time.Time { return node.tracker.PausedUntil(engine, time.Now()) }
	limited := func(engine mimosatide.Instance) bool {
		_, limited := node.limits.Rate(engine)
		return limited
	}
	settings := loading.Settings{Service: name, Holder: node.settings.Node, LateOrders: lateOrders}
	controller := loading.New(settings, lease, node.engines, node.targets, engineClass, pausedUntil, limited, loader.publish, node.log)
	ctx := loader.ctx
	go lease.Run(ctx, node.fleet.rank)
	go controller.Run(ctx)
	return &serviceState{
		name:            name,
		controller:      controller,
		prefillSeconds:  map[string]float64{},
		usedAdapters:    map[loading.AdapterAt]bool{},
		runningRequests: map[loading.AdapterAt]int{},
		usedModels:      map[string]float64{},
	}
}

// publish applies what a target holds, and reports it to all other nodes.
func (loader *loader) publish(instance mimosatide.Instance) {
	message := gossip.HoldingsReport{
		Instance: instance.ID,
		Born:     instance.Born.UnixMilli(),
		Orders:   instance.Orders,
		InMemory: instance.InMemory,
		OnDisk:   instance.OnDisk,
	}
	for _, holding := range instance.Holdings {
		message.Holdings = append(message.Holdings, gossip.Holding{Model: holding.Model, Adapters: holding.Adapters})
	}
	loader.handleHoldingsReport(message)
	loader.node.fleet.broadcast(gossip.Batch{HoldingsReports: []gossip.HoldingsReport{message}})
}

// handleHoldingsReport applies what the owner of a target reports of its holdings.
func (loader *loader) handleHoldingsReport(message gossip.HoldingsReport) {
	reported := registry.ReportedHoldings{
		Instance: message.Instance,
		Born:     message.BornTime(),
		Orders:   message.Orders,
		InMemory: message.InMemory,
		OnDisk:   message.OnDisk,
	}
	for _, holding := range message.Holdings {
		reported.Holdings = append(reported.Holdings, mimosatide.Holding{Model: holding.Model, Adapters: holding.Adapters})
	}
	loader.node.targets.SetHoldings(reported)
}

// AddNeed asks the owner of a service to load a model or an adapter; first says that it is the
// request's first report of it. Without a known
// lease holder the need is kept here, in case this node takes the lease.
func (loader *loader) AddNeed(need loading.Need, first bool) {
	loader.lock.Lock()
	service, found := loader.services[need.Service]
	if !found {
		loader.lock.Unlock()
		return
	}
	ownerAddress, fresh := service.ownerAddress, time.Since(service.ownerSeenAt) < ownerTimeout
	loader.lock.Unlock()
	_, _, held := service.controller.Lease().Held()
	if held || !fresh {
		service.controller.AddNeed(need, first, time.Now())
		return
	}
	loader.node.hub.Send(ownerAddress, encodeNeed(need, first))
}

// handleNeed takes a need that another node sent to this one as the owner of the service.
func (loader *loader) handleNeed(message gossip.Need, now time.Time) {
	loader.lock.Lock()
	service, found := loader.services[message.Service]
	loader.lock.Unlock()
	if found {
		service.controller.AddNeed(decodeNeed(message), message.First, now)
	}
}

func encodeNeed(need loading.Need, first bool) gossip.Need {
	message := gossip.Need{
		Service: need.Service, Model: need.Model, Adapter: need.Adapter, Instance: need.Instance, First: first, Software: need.Software,
		LeavesMillis: need.Leaves.Milliseconds(), PromptTokens: need.PromptTokens, Request: need.Request,
	}
	if need.HasPriority {
		message.Rank = need.Priority + 1
	}
	return message
}

// decodeNeed returns a need as another node states it, within bounds that no sum exceeds.
func decodeNeed(message gossip.Need) loading.Need {
	return loading.Need{
		Service: message.Service, Model: message.Model, Adapter: message.Adapter, Instance: message.Instance, Software: message.Software,
		Request: message.Request, Priority: message.Rank - 1, HasPriority: message.Rank > 0,
		Leaves:       time.Duration(min(max(message.LeavesMillis, 0), maxLeavesMillis)) * time.Millisecond,
		PromptTokens: min(max(message.PromptTokens, 0), maxPromptTokens),
	}
}

// RecordUsage adds the prefill time of a prompt to the totals of its model.
func (loader *loader) RecordUsage(serviceName, model string, prefill time.Duration) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	if service, found := loader.services[serviceName]; found {
		service.prefillSeconds[model] += prefill.Seconds()
		service.usedModels[model] += prefill.Seconds()
	}
}

// UseAdapter records that a request uses an adapter at a target until the returned function is called.
func (loader *loader) UseAdapter(serviceName string, adapter loading.AdapterAt) func() {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	service, found := loader.services[serviceName]
	if !found {
		return func() {}
	}
	service.usedAdapters[adapter] = true
	service.runningRequests[adapter]++
	return func() { loader.releaseAdapter(service, adapter) }
}

func (loader *loader) releaseAdapter(service *serviceState, adapter loading.AdapterAt) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	service.usedAdapters[adapter] = true
	service.runningRequests[adapter]--
	if service.runningRequests[adapter] <= 0 {
		delete(service.runningRequests, adapter)
	}
}

// sendUsage reports to the owners which models and adapters were used since the last report.
func (loader *loader) sendUsage(now time.Time) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	for _, service := range loader.services {
		_, _, held := service.controller.Lease().Held()
		fresh := service.ownerAddress != "" && now.Sub(service.ownerSeenAt) < ownerTimeout
		for adapter := range service.runningRequests {
			service.usedAdapters[adapter] = true
		}
		if !held && !fresh || len(service.usedModels) == 0 && len(service.usedAdapters) == 0 {
			continue
		}
		usage := gossip.Usage{Node: loader.node.settings.Node, Service: service.name, Models: map[string]gossip.ModelUse{}}
		for model, recent := range service.usedModels {
			usage.Models[model] = gossip.ModelUse{PrefillMillis: service.prefillSeconds[model] * 1000, RecentMillis: recent * 1000}
		}
		for adapter := range service.usedAdapters {
			usage.Adapters = append(usage.Adapters, gossip.AdapterUse{
				Instance: adapter.Instance, Model: adapter.Model, Adapter: adapter.Adapter,
			})
		}
		clear(service.usedModels)
		clear(service.usedAdapters)
		if held {
			addUsage(service, usage, now)
			continue
		}
		loader.node.hub.Send(service.ownerAddress, usage)
	}
}

// handleUsage takes the usage that another node reports to this one as the owner of the service.
func (loader *loader) handleUsage(message gossip.Usage, now time.Time) {
	loader.lock.Lock()
	service, found := loader.services[message.Service]
	loader.lock.Unlock()
	if found {
		addUsage(service, message, now)
	}
}

// addUsage adds a usage report to the demand that the controller of a service plans for.
func addUsage(service *serviceState, message gossip.Usage, now time.Time) {
	demand := service.controller.Demand()
	for model, use := range message.Models {
		demand.RecordUsage(message.Node, model, use.PrefillMillis/1000, use.RecentMillis/1000, use.Running, now)
	}
	for _, use := range message.Adapters {
		demand.RecordAdapterUse(loading.AdapterAt{Instance: use.Instance, Model: use.Model, Adapter: use.Adapter}, now)
	}
}

// handleOwnerships records the leases that a peer says it holds, unless a later term is known.
func (loader *loader) handleOwnerships(from string, ownerships []gossip.Ownership, now time.Time) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	for _, ownership := range ownerships {
		service, found := loader.services[ownership.Service]
		if !found || ownership.Term < service.ownerTerm {
			continue
		}
		if service.ownerAddress != from || service.ownerTerm != ownership.Term {
			loader.node.log.Info("owner known", "service", ownership.Service, "peer", from, "term", ownership.Term)
		}
		service.ownerAddress = from
		service.ownerTerm = ownership.Term
		service.ownerSeenAt = now
		service.controller.Lease().ObserveHolder(mimosatide.RowVersion(ownership.Row))
		progress := decodeProgress(ownership)
		service.controller.ObserveProgress(progress, now)
		service.setExpected(progress, now)
	}
}

// setExpected replaces when models are expected to be loaded.
func (service *serviceState) setExpected(progress loading.Progress, now time.Time) {
	service.expectedAt = now
	service.expected = make(map[string]time.Time, len(progress.Expected))
	for model, wait := range progress.Expected {
		service.expected[model] = now.Add(wait)
	}
}

// ExpectedLoad returns when a model is expected to be loaded according to the service's owner,
// and whether the owner has said so recently.
func (loader *loader) ExpectedLoad(serviceName, model string) (time.Time, bool) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	service, found := loader.services[serviceName]
	if !found {
		return time.Time{}, false
	}
	at, expected := service.expected[model]
	return at, expected && time.Since(service.expectedAt) < ownerTimeout
}

// decodeProgress returns what an owner says of its loads.
func decodeProgress(ownership gossip.Ownership) loading.Progress {
	progress := loading.Progress{RemoteLimit: ownership.RemoteLimit, Expected: map[string]time.Duration{}}
	for _, load := range ownership.Loads {
		progress.Loads = append(progress.Loads, loading.LoadUnderWay{
			Instance: load.Instance, Model: load.Model, Remaining: time.Duration(load.RemainingMillis) * time.Millisecond,
		})
	}
	for model, wait := range ownership.ExpectedMillis {
		progress.Expected[model] = time.Duration(wait) * time.Millisecond
	}
	return progress
}

// encodeProgress adds what an owner knows of its loads to its message.
func encodeProgress(ownership gossip.Ownership, progress loading.Progress) gossip.Ownership {
	ownership.RemoteLimit = progress.RemoteLimit
	for _, load := range progress.Loads {
		ownership.Loads = append(ownership.Loads, gossip.LoadUnderWay{
			Instance: load.Instance, Model: load.Model, RemainingMillis: load.Remaining.Milliseconds(),
		})
	}
	if len(progress.Expected) > 0 {
		ownership.ExpectedMillis = make(map[string]int64, len(progress.Expected))
	}
	for model, wait := range progress.Expected {
		ownership.ExpectedMillis[model] = wait.Milliseconds()
	}
	return ownership
}

// ownerships returns the leases that this node holds, with the loads under them.
func (loader *loader) ownerships(now time.Time) []gossip.Ownership {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	var ownerships []gossip.Ownership
	for name, service := range loader.services {
		term, row, held := service.controller.Lease().Held()
		if !held {
			continue
		}
		progress := service.controller.Progress(now)
		service.setExpected(progress, now)
		ownerships = append(ownerships, encodeProgress(gossip.Ownership{Service: name, Term: term, Row: uint64(row)}, progress))
	}
	return ownerships
}

// handovers returns the leases that this node gave up because the store did not
// answer it, and those whose release the store did not confirm.
func (loader *loader) handovers() []gossip.Handover {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	var handovers []gossip.Handover
	for name, service := range loader.services {
		if row, idle, gaveUp := service.controller.Lease().GivenUp(); gaveUp {
			handovers = append(handovers, gossip.Handover{Service: name, Row: uint64(row), IdleMillis: idle.Milliseconds()})
		}
	}
	return handovers
}

// handleHandovers takes the leases that a peer gave up, so that this node need not wait for their end.
func (loader *loader) handleHandovers(handovers []gossip.Handover) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	for _, handover := range handovers {
		if service, found := loader.services[handover.Service]; found {
			idle := time.Duration(handover.IdleMillis) * time.Millisecond
			service.controller.Lease().ObserveGivenUp(mimosatide.RowVersion(handover.Row), idle)
		}
	}
}

// recordRemoteLoads sets the gauges of the loads from the weight store, zero for services whose
// lease another node holds.
func (loader *loader) recordRemoteLoads() {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	for name, service := range loader.services {
		counts := loading.RemoteCounts{}
		if _, _, held := service.controller.Lease().Held(); held {
			counts = service.controller.RemoteCounts()
		}
		loader.node.meter.SetServiceGauge(name, "weight_store_loads", float64(counts.Loads))
		loader.node.meter.SetServiceGauge(name, "weight_store_load_limit", float64(counts.Limit))
		loader.node.meter.SetServiceGauge(name, "models_waited_for", float64(counts.Missing))
		loader.node.meter.SetServiceGauge(name, "requests_waiting_for_models", float64(counts.Waiters))
	}
}

func (loader *loader) holdsAnyLease() bool {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	for _, service := range loader.services {
		if _, _, held := service.controller.Lease().Held(); held {
			return true
		}
	}
	return false
}

// releaseAll releases all leases that this node holds, at the same time.
func (loader *loader) releaseAll(ctx context.Context) {
	loader.lock.Lock()
	services := make([]*serviceState, 0, len(loader.services))
	for _, service := range loader.services {
		services = append(services, service)
	}
	loader.lock.Unlock()
	var group sync.WaitGroup
	for _, service := range services {
		group.Go(func() { service.controller.Lease().Release(ctx) })
	}
	group.Wait()
}
