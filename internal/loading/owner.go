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

const (
	// planInterval is how often demand and the models on the engines are evaluated.
	planInterval = 50 * time.Millisecond
	// remoteRateShare is the share of the weight store's load rate that is used.
	remoteRateShare = 0.9
	// remoteBurst is the number of loads that may start at once after a pause.
	remoteBurst = 2
	// adapterRetryDelay is the minimum time between two attempts to load the same adapter.
	adapterRetryDelay = 200 * time.Millisecond
)

// Settings are the parameters of an Owner.
type Settings struct {
	// Service is the service whose engines the owner controls.
	Service string
	// Holder names this node in its orders.
	Holder string
}

// Owner plans which engines of one service load which models and adapters, and
// sends them the orders while this node holds the lease. It is safe for concurrent
// use.
type Owner struct {
	settings Settings
	lease    *Lease
	engines  Engines
	targets  *registry.Registry
	demand   *Demand
	// class returns the current configuration of the engines, if there is one.
	class   func() (mimosatide.EngineClass, bool)
	publish func(mimosatide.Instance)
	log     logr.Logger
	wake    chan struct{}

	lock    sync.Mutex
	term    mimosatide.FencingToken
	workers map[string]*worker
	// loading counts the loads under way by model.
	loading map[string]int
	// remoteLoads counts the loads from the weight store under way, which are bounded
	// by remoteLimit and by a token bucket at the store's load rate.
	remoteLoads    int
	remoteLimit    remoteLoadLimit
	remoteTokens   float64
	remoteTokensAt time.Time
	// retryAt is the earliest time of the next attempt to load an adapter.
	retryAt map[Need]time.Time
}

// New returns an owner that sends no orders before Run is called. class returns the
// current configuration of the engines, publish announces the state of an engine
// to all nodes.
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

// Demand returns the demand that the owner plans for.
func (owner *Owner) Demand() *Demand {
	return owner.demand
}

// Lease returns the lease that the owner's orders are sent under.
func (owner *Owner) Lease() *Lease {
	return owner.lease
}

// Need records that a request waits for a model or an adapter. It does not block.
func (owner *Owner) Need(need Need, now time.Time) {
	if owner.demand.AddNeed(need, now) {
		select {
		case owner.wake <- struct{}{}:
		default:
		}
	}
}

// Run plans and starts steps while this node holds the lease, until ctx is cancelled.
func (owner *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
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
func (owner *Owner) plan(ctx context.Context, term mimosatide.FencingToken, class mimosatide.EngineClass, now time.Time) {
	owner.lock.Lock()
	defer owner.lock.Unlock()
	owner.syncWorkers(ctx, term)
	snapshot := Snapshot{
		Class:              class,
		Demand:             owner.demand.Models(now),
		Loading:            owner.loading,
		RemoteLoadsToStart: owner.remoteLoadsToStart(class, now),
		Now:                now,
	}
	for _, worker := range owner.workers {
		known, occupied, placedAt := worker.view()
		snapshot.Engines = append(snapshot.Engines, Engine{Instance: known, Occupied: occupied, PlacedAt: placedAt})
	}
	sort.Slice(snapshot.Engines, func(i, j int) bool {
		return snapshot.Engines[i].Instance.ID < snapshot.Engines[j].Instance.ID
	})
	for _, step := range Plan(snapshot) {
		owner.start(class, step)
	}
	owner.startAdapters(class, now)
}

// syncWorkers keeps one worker for each engine that may be sent requests. The
// worker of an engine that is gone or leaving stops at once, so that a model that
// it was loading can be loaded elsewhere.
func (owner *Owner) syncWorkers(ctx context.Context, term mimosatide.FencingToken) {
	if term != owner.term {
		// Another node may have sent orders in the meantime.
		owner.term = term
		for _, existing := range owner.workers {
			existing.cancel()
		}
		owner.workers = map[string]*worker{}
		owner.loading = map[string]int{}
		owner.remoteLoads = 0
		owner.remoteLimit = newRemoteLoadLimit()
		owner.remoteTokens = 0
	}
	present := map[string]bool{}
	for _, instance := range owner.targets.View().Service(owner.settings.Service) {
		present[instance.ID] = true
		existing, found := owner.workers[instance.ID]
		if found && existing.instance.Born.Equal(instance.Born) && existing.instance.Address == instance.Address {
			continue
		}
		if found {
			existing.cancel()
		}
		owner.workers[instance.ID] = owner.newWorker(ctx, instance)
	}
	for id, existing := range owner.workers {
		if !present[id] {
			existing.cancel()
			delete(owner.workers, id)
		}
	}
}

func (owner *Owner) newWorker(ctx context.Context, instance mimosatide.Instance) *worker {
	known := instance
	known.Orders = 0
	workerCtx, cancel := context.WithCancel(ctx)
	return &worker{
		ctx:         workerCtx,
		cancel:      cancel,
		instance:    instance,
		slot:        make(chan struct{}, 1),
		known:       known,
		holder:      owner.settings.Holder,
		engines:     owner.engines,
		term:        owner.lease.Term,
		publish:     owner.publish,
		recordOrder: owner.lease.RecordOrder,
		log:         owner.log,
	}
}

// remoteLoadsToStart refills the token bucket and returns the number of loads from
// the weight store that may start now.
func (owner *Owner) remoteLoadsToStart(class mimosatide.EngineClass, now time.Time) int {
	if !owner.remoteTokensAt.IsZero() {
		owner.remoteTokens += class.LoadsPerSecond * remoteRateShare * now.Sub(owner.remoteTokensAt).Seconds()
		owner.remoteTokens = min(owner.remoteTokens, remoteBurst)
	}
	owner.remoteTokensAt = now
	return min(int(owner.remoteTokens), owner.remoteLimit.current-owner.remoteLoads)
}

// start carries out a step in the background, unless its engine is gone or occupied.
func (owner *Owner) start(class mimosatide.EngineClass, step Step) {
	worker := owner.workers[step.Instance]
	if worker == nil || !worker.claim() {
		return
	}
	term := owner.term
	owner.loading[step.Model]++
	remote := step.Tier == mimosatide.TierRemote
	atLimit := false
	if remote {
		owner.remoteLoads++
		owner.remoteTokens--
		atLimit = owner.remoteLoads >= owner.remoteLimit.current
	}
	owner.log.Info("placement decided", "service", owner.settings.Service, "target", step.Instance, "model", step.Model,
		"victims", step.Victims, "tier", step.Tier, "reason", step.Reason)
	go func() {
		begun := time.Now()
		loadDuration, err := worker.place(worker.ctx, class, step)
		owner.log.Info("placement ended", "target", step.Instance, "model", step.Model, "took", time.Since(begun),
			"load", loadDuration, "reason", errorText(err))
		worker.free()
		finished := finishedStep{
			Step: step, remote: remote, atLimit: atLimit, begun: begun, loadDuration: loadDuration, notSent: errors.Is(err, errBusy),
		}
		owner.finish(finished, term)
	}()
}

// finishedStep is a step that is no longer under way.
type finishedStep struct {
	Step
	// remote says that the model was loaded from the weight store, and atLimit that
	// the number of such loads reached the limit with this one.
	remote  bool
	atLimit bool
	begun   time.Time
	// loadDuration is zero if the load was not seen to finish.
	loadDuration time.Duration
	// notSent says that no order was sent, so the load did not count against the
	// weight store's rate.
	notSent bool
}

// finish accounts for the end of a step, unless the lease's term has changed since
// it started.
func (owner *Owner) finish(step finishedStep, term mimosatide.FencingToken) {
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
	owner.remoteLoads = max(owner.remoteLoads-1, 0)
	if step.notSent {
		owner.remoteTokens++
	}
	if before := owner.remoteLimit.current; step.loadDuration > 0 && owner.remoteLimit.observe(step, time.Now()) {
		owner.log.Info("loads at once", "service", owner.settings.Service, "before", before, "limit", owner.remoteLimit.current,
			"model", step.Model, "took", step.loadDuration, "expected", step.LoadTime)
	}
}

// startAdapters starts to load the adapters that requests wait for.
func (owner *Owner) startAdapters(class mimosatide.EngineClass, now time.Time) {
	for _, need := range owner.demand.Needs(now) {
		worker := owner.workers[need.Instance]
		if need.Adapter == "" || worker == nil || now.Before(owner.retryAt[need]) {
			continue
		}
		if _, occupied, _ := worker.view(); occupied {
			continue
		}
		owner.retryAt[need] = now.Add(adapterRetryDelay)
		go func() {
			idle := func(adapter AdapterAt) time.Duration { return owner.demand.AdapterIdle(adapter, time.Now()) }
			owner.demand.UseAdapter(AdapterAt{Instance: need.Instance, Model: need.Model, Adapter: need.Adapter}, time.Now())
			if err := worker.loadAdapter(worker.ctx, class, need.Model, need.Adapter, idle); err != nil {
				owner.log.Info("adapter not loaded", "target", need.Instance, "model", need.Model, "adapter", need.Adapter,
					"reason", err.Error())
				return
			}
			owner.demand.RemoveNeed(need)
		}()
	}
	for need, at := range owner.retryAt {
		if now.Sub(at) > needTTL {
			delete(owner.retryAt, need)
		}
	}
}
