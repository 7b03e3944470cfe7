package loading

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/registry"
)

// The figures of loads.
const (
	// planEvery is how often the owner looks at demand and holdings.
	planEvery = 50 * time.Millisecond
	// remoteShare is the part of the weight store's rate that is used.
	remoteShare = 0.9
	// remoteBurst is the most loads that begin at once after a pause.
	remoteBurst = 2
	// quietTime is how long a step or need that failed is not tried again.
	quietTime = 200 * time.Millisecond
)

// Settings are the parameters of an Owner.
type Settings struct {
	Service string
	Holder  string
}

// Owner orders the engines of one service while it holds the lease.
type Owner struct {
	settings Settings
	lease    *Lease
	engines  Engines
	targets  *registry.Registry
	demand   *Demand
	// class returns the present configuration of the engines.
	class   func() (mimosatide.EngineClass, bool)
	publish func(mimosatide.Instance)
	log     logr.Logger
	wake    chan struct{}

	lock    sync.Mutex
	term    mimosatide.FencingNumber
	workers map[string]*worker
	loading map[string]int
	// remote counts the loads from the weight store under way, lanes bounds them.
	remote  int
	lanes   lanes
	tokens  float64
	tokenAt time.Time
	// retryAt is when an adapter that could not be loaded is tried again.
	retryAt map[Need]time.Time
}

// New returns an owner that does not hold its lease yet.
func New(
	settings Settings, lease *Lease, engines Engines, targets *registry.Registry,
	class func() (mimosatide.EngineClass, bool), publish func(mimosatide.Instance), log logr.Logger,
) *Owner {
	return &Owner{
		settings: settings,
		lease:    lease,
		engines:  engines,
		targets:  targets,
		demand:   NewDemand(),
		class:    class,
		publish:  publish,
		log:      log,
		wake:     make(chan struct{}, 1),
		workers:  map[string]*worker{},
		loading:  map[string]int{},
		retryAt:  map[Need]time.Time{},
	}
}

// Demand returns what is asked for.
func (owner *Owner) Demand() *Demand {
	return owner.demand
}

// Lease returns the lease on the orders.
func (owner *Owner) Lease() *Lease {
	return owner.lease
}

// Need asks for a model or an adapter.
func (owner *Owner) Need(need Need, now time.Time) {
	if owner.demand.Need(need, now) {
		select {
		case owner.wake <- struct{}{}:
		default:
		}
	}
}

// Run plans while this node holds the lease.
func (owner *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-owner.wake:
		}
		term, held := owner.lease.Term()
		class, known := owner.class()
		if held && known {
			owner.plan(ctx, term, class, time.Now())
		}
	}
}

// plan starts the steps that are due.
func (owner *Owner) plan(ctx context.Context, term mimosatide.FencingNumber, class mimosatide.EngineClass, now time.Time) {
	owner.lock.Lock()
	defer owner.lock.Unlock()
	owner.follow(ctx, term)
	picture := Picture{
		Class:       class,
		Demand:      owner.demand.Models(now),
		Loading:     owner.loading,
		RemoteLoads: owner.remoteLoads(class, now),
		Now:         now,
	}
	for _, worker := range owner.workers {
		known, occupied, placedAt := worker.view()
		picture.Engines = append(picture.Engines, Engine{Instance: known, Occupied: occupied, PlacedAt: placedAt})
	}
	sort.Slice(picture.Engines, func(i, j int) bool {
		return picture.Engines[i].Instance.ID < picture.Engines[j].Instance.ID
	})
	for _, step := range Plan(picture) {
		owner.start(class, step)
	}
	owner.startAdapters(class, now)
}

// follow keeps a worker for each engine that may be sent requests. What a worker
// does for an engine that is gone or leaves ends at once, so that a model that it
// was loading can be loaded elsewhere.
func (owner *Owner) follow(ctx context.Context, term mimosatide.FencingNumber) {
	if term != owner.term {
		// Another node may have ordered in between.
		owner.term = term
		for _, known := range owner.workers {
			known.stop()
		}
		owner.workers = map[string]*worker{}
		owner.loading = map[string]int{}
		owner.remote = 0
		owner.lanes = newLanes()
		owner.tokens = 0
	}
	present := map[string]bool{}
	for _, instance := range owner.targets.View().Service(owner.settings.Service) {
		present[instance.ID] = true
		known, found := owner.workers[instance.ID]
		if found && known.instance.Born.Equal(instance.Born) && known.instance.Address == instance.Address {
			continue
		}
		if found {
			known.stop()
		}
		owner.workers[instance.ID] = owner.worker(ctx, instance)
	}
	for id, known := range owner.workers {
		if !present[id] {
			known.stop()
			delete(owner.workers, id)
		}
	}
}

func (owner *Owner) worker(ctx context.Context, instance mimosatide.Instance) *worker {
	known := instance
	known.Orders = 0
	working, stop := context.WithCancel(ctx)
	return &worker{
		working:  working,
		stop:     stop,
		instance: instance,
		turn:     make(chan struct{}, 1),
		known:    known,
		holder:   owner.settings.Holder,
		engines:  owner.engines,
		term:     owner.lease.Term,
		publish:  owner.publish,
		ordered:  owner.lease.Ordered,
		log:      owner.log,
	}
}

// remoteLoads is the number of loads from the weight store that may begin.
func (owner *Owner) remoteLoads(class mimosatide.EngineClass, now time.Time) int {
	if !owner.tokenAt.IsZero() {
		owner.tokens += class.LoadsPerSecond * remoteShare * now.Sub(owner.tokenAt).Seconds()
		owner.tokens = min(owner.tokens, remoteBurst)
	}
	owner.tokenAt = now
	return min(int(owner.tokens), owner.lanes.limit-owner.remote)
}

func (owner *Owner) start(class mimosatide.EngineClass, step Step) {
	worker := owner.workers[step.Instance]
	if worker == nil || !worker.claim() {
		return
	}
	term := owner.term
	owner.loading[step.Model]++
	remote := step.Tier == mimosatide.TierRemote
	full := false
	if remote {
		owner.remote++
		owner.tokens--
		full = owner.remote >= owner.lanes.limit
	}
	owner.log.Info("placement decided", "service", owner.settings.Service, "target", step.Instance, "model", step.Model,
		"victims", step.Victims, "tier", step.Tier, "reason", step.Reason)
	go func() {
		begun := time.Now()
		loaded, err := worker.place(worker.working, class, step)
		owner.log.Info("placement ended", "target", step.Instance, "model", step.Model, "took", time.Since(begun),
			"load", loaded, "reason", text(err))
		worker.free()
		ended := endedStep{Step: step, remote: remote, full: full, begun: begun, loaded: loaded, unordered: errors.Is(err, errBusy)}
		owner.ended(ended, term)
	}()
}

// endedStep is a step that is no longer under way.
type endedStep struct {
	Step
	// remote says that it was a load from the weight store, full that it took the last lane.
	remote bool
	full   bool
	begun  time.Time
	// loaded is how long the load took, zero if it was not seen to end.
	loaded time.Duration
	// unordered says that no order was given, so that nothing was taken of the store's rate.
	unordered bool
}

// ended takes a step off what is under way in the term in which it began.
func (owner *Owner) ended(step endedStep, term mimosatide.FencingNumber) {
	owner.lock.Lock()
	defer owner.lock.Unlock()
	if owner.term != term {
		return
	}
	if owner.loading[step.Model] > 0 {
		owner.loading[step.Model]--
	}
	if owner.loading[step.Model] == 0 {
		delete(owner.loading, step.Model)
	}
	if !step.remote {
		return
	}
	owner.remote = max(owner.remote-1, 0)
	if step.unordered {
		owner.tokens++
	}
	if before := owner.lanes.limit; step.loaded > 0 && owner.lanes.learn(step, time.Now()) {
		owner.log.Info("loads at once", "service", owner.settings.Service, "before", before, "limit", owner.lanes.limit,
			"model", step.Model, "took", step.loaded, "expected", step.LoadTime)
	}
}

// startAdapters loads the adapters that requests wait for.
func (owner *Owner) startAdapters(class mimosatide.EngineClass, now time.Time) {
	for _, need := range owner.demand.Needs(now) {
		worker := owner.workers[need.Instance]
		if need.Adapter == "" || worker == nil || now.Before(owner.retryAt[need]) {
			continue
		}
		if _, occupied, _ := worker.view(); occupied {
			continue
		}
		owner.retryAt[need] = now.Add(quietTime)
		go func() {
			idle := func(adapter AdapterAt) time.Duration { return owner.demand.AdapterIdle(adapter, time.Now()) }
			owner.demand.UseAdapter(AdapterAt{Instance: need.Instance, Model: need.Model, Adapter: need.Adapter}, time.Now())
			if err := worker.loadAdapter(worker.working, class, need.Model, need.Adapter, idle); err != nil {
				owner.log.Info("adapter not loaded", "target", need.Instance, "model", need.Model, "adapter", need.Adapter,
					"reason", err.Error())
				return
			}
			owner.demand.Met(need)
		}()
	}
	for need, at := range owner.retryAt {
		if now.Sub(at) > needAge {
			delete(owner.retryAt, need)
		}
	}
}
