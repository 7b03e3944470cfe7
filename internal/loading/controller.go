package loading

import (
	"context"
	"maps"
	"slices"
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
	// planRest is the time between two plans, in times that the last one took: needs come many times a
	// second, and planning must leave most of a small host's processor to requests.
	planRest = 4
	// remoteRateFraction is the fraction of the weight store's load rate that is used.
	remoteRateFraction = 0.9
	// remoteBurst is the number of loads that may start at once after a pause.
	remoteBurst = 2
	// settlingTime is how long after the lease was taken the engines, and what they hold, may
	// still be unknown in part.
	settlingTime = 3 * time.Second
	// aheadInterval is the time between two plans that may load models that nobody waits for.
	aheadInterval = time.Second
	// adapterRetryDelay is the minimum time between two attempts to load the same adapter.
	adapterRetryDelay = 200 * time.Millisecond
)

// Settings are the parameters of a Controller.
type Settings struct {
	// Service is the service whose engines the controller sends orders to.
	Service string
	// Holder names this node in its orders.
	Holder string
	// LateOrders is how long after the end of a send its order may arrive at an engine; zero if
	// the engines check fencing tokens, so that late orders have no effect.
	LateOrders time.Duration
}

// Controller plans which engines of one service load which models and adapters, and
// sends them the orders while this node holds the lease. It is safe for concurrent
// use.
type Controller struct {
	settings Settings
	lease    *Lease
	engines  Engines
	late     *lateOrders
	targets  *registry.Registry
	demand   *Demand
	// class returns the current configuration of the engines, if there is one.
	class func() (mimosatide.EngineClass, bool)
	// pausedUntil returns until when an engine has asked this node to send nothing.
	pausedUntil func(mimosatide.Instance) time.Time
	// limited reports whether an engine limits its requests.
	limited func(mimosatide.Instance) bool
	publish func(mimosatide.Instance)
	log     logr.Logger
	wake    chan struct{}

	lock sync.Mutex
	// fencingToken is the one under which the workers and loads below were started.
	fencingToken mimosatide.FencingToken
	workers      map[string]*worker
	// loading counts the loads under way by model, underWay holds them by engine.
	loading  map[string]int
	underWay map[string]loadUnderWay
	// busyUntil holds, by engine, when loads of the holder before were expected to end, adopted
	// their models.
	busyUntil map[string]time.Time
	adopted   map[string]string
	// observed is the progress that another holder of the lease last reported, at observedAt.
	observed   Progress
	observedAt time.Time
	// remoteLoads counts the loads from the weight store under way, which are bounded
	// by remoteLimit and by a token bucket that fills at remoteRateFraction of the store's
	// load rate, loadsPerSecond.
	remoteLoads    int
	remoteLimit    remoteLoadLimit
	loadsPerSecond float64
	remoteTokens   float64
	remoteTokensAt time.Time
	// missing is the number of models without a replica that requests waited for at the last plan.
	missing int
	// waiters is the number of requests that waited for models without a replica at the last plan.
	waiters int
	// copiesLogged says that the copies at the engines were logged since the lease was taken, at
	// takenAt.
	copiesLogged bool
	takenAt      time.Time
	// aheadAt is when the last plan was made that could load models that nobody waits for.
	aheadAt time.Time
	// retryAt is the earliest time of the next attempt to load an adapter.
	retryAt map[Need]time.Time
}

// New returns a controller that sends no orders before Run is called. class returns the
// current configuration of the engines, pausedUntil until when an engine has asked this
// node to send nothing, zero if it has not; limited reports whether an engine limits its
// requests; publish announces the state of an engine to all nodes.
func New(
	settings Settings, lease *Lease, engines Engines, targets *registry.Registry,
	class func() (mimosatide.EngineClass, bool), pausedUntil func(mimosatide.Instance) time.Time,
	limited func(mimosatide.Instance) bool, publish func(mimosatide.Instance), log logr.Logger,
) *Controller {
	return &Controller{
		settings:    settings,
		lease:       lease,
		engines:     engines,
		late:        newLateOrders(settings.LateOrders),
		targets:     targets,
		demand:      NewDemand(),
		class:       class,
		pausedUntil: pausedUntil,
		limited:     limited,
		publish:     publish,
		log:         log,
		wake:        make(chan struct{}, 1),
		workers:     map[string]*worker{},
		loading:     map[string]int{},
		underWay:    map[string]loadUnderWay{},
		busyUntil:   map[string]time.Time{},
		adopted:     map[string]string{},
		retryAt:     map[Need]time.Time{},
	}
}

// Demand returns the demand that the controller plans for.
func (controller *Controller) Demand() *Demand {
	return controller.demand
}

// Lease returns the lease that the controller's orders are sent under.
func (controller *Controller) Lease() *Lease {
	return controller.lease
}

// AddNeed records that a request waits for a model or an adapter; first says that it is the
// request's first report of it. It does not block.
func (controller *Controller) AddNeed(need Need, first bool, now time.Time) {
	if controller.demand.AddNeed(need, first, now) {
		select {
		case controller.wake <- struct{}{}:
		default:
		}
	}
}

// Run plans and starts steps while this node holds the lease, until ctx is cancelled.
func (controller *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-controller.lease.Renewed():
			controller.runHolder(ctx)
		}
	}
}

// runHolder plans and starts steps until this node no longer holds the lease.
func (controller *Controller) runHolder(ctx context.Context) {
	// Nodes report to a holder from before its first plan.
	controller.demand.ForgetTotals()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-controller.wake:
		}
		if _, _, held := controller.lease.Held(); !held {
			return
		}
		fencingToken, held := controller.lease.FencingToken()
		class, known := controller.class()
		if held && known {
			begun := time.Now()
			controller.plan(ctx, fencingToken, class, begun)
			sleep(ctx, min(planRest*time.Since(begun), planInterval))
		}
	}
}

// plan starts the steps that are due.
func (controller *Controller) plan(ctx context.Context, fencingToken mimosatide.FencingToken, class mimosatide.EngineClass, now time.Time) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	controller.syncWorkers(ctx, fencingToken)
	snapshot := Snapshot{
		Class:              class,
		Demand:             controller.demand.Models(now),
		Loading:            controller.allLoading(),
		RemoteLoadsToStart: controller.remoteLoadsToStart(class, now),
		Displaced:          controller.displaced(),
		Now:                now,
	}
	for id, worker := range controller.workers {
		known, occupied, placedAt := worker.view()
		freeIn, _ := controller.freeIn(id, worker, now)
		if controller.overdue(id, now) {
			freeIn = 0
		}
		snapshot.Engines = append(snapshot.Engines, Engine{
			Instance: known, Occupied: occupied, Limited: controller.limited(worker.instance), PlacedAt: placedAt, FreeIn: freeIn,
			Loading: controller.loadingAt(id), Down: worker.isDown(),
		})
	}
	sort.Slice(snapshot.Engines, func(i, j int) bool {
		return snapshot.Engines[i].Instance.ID < snapshot.Engines[j].Instance.ID
	})
	controller.checkHolders(snapshot)
	if now.Sub(controller.aheadAt) > aheadInterval && now.Sub(controller.takenAt) > settlingTime {
		controller.aheadAt = now
		snapshot.LoadAhead, snapshot.Quiet = true, len(snapshot.Demand) == 0
	}
	planner := newPlanner(snapshot)
	controller.missing, controller.waiters = len(planner.missing()), countWaiters(snapshot.Demand)
	planner.plan()
	if !controller.copiesLogged && now.Sub(controller.takenAt) > settlingTime {
		controller.copiesLogged = true
		controller.logCopies(snapshot)
	}
	for _, step := range planner.steps {
		controller.start(class, step)
	}
	controller.startAdapters(class, now)
}

// checkHolders has the engines checked that are known to hold a model for which requests wait
// nevertheless, and those that did not answer the last check.
func (controller *Controller) checkHolders(snapshot Snapshot) {
	for _, engine := range snapshot.Engines {
		waitedFor := func(holding mimosatide.Holding) bool {
			demand := snapshot.Demand[holding.Model]
			_, bound := demand.Bound[engine.Instance.Software]
			return demand.Waiting || bound
		}
		if engine.Down || slices.ContainsFunc(engine.Instance.Holdings, waitedFor) {
			controller.workers[engine.Instance.ID].check()
		}
	}
}

// logCopies logs how many of the configured models the engines hold, have a copy of, or would
// have to load from the weight store.
func (controller *Controller) logCopies(snapshot Snapshot) {
	held, copied := map[string]bool{}, map[string]bool{}
	for _, engine := range snapshot.Engines {
		for _, holding := range engine.Instance.Holdings {
			held[holding.Model] = true
		}
		for _, name := range slices.Concat(engine.Instance.InMemory, engine.Instance.OnDisk) {
			copied[name] = true
		}
	}
	copiedOnly, absent := 0, 0
	for name := range snapshot.Class.Models {
		switch {
		case held[name]:
		case copied[name]:
			copiedOnly++
		default:
			absent++
		}
	}
	controller.log.Info("models at engines", "service", controller.settings.Service, "engines", len(snapshot.Engines),
		"models", len(snapshot.Class.Models), "held", len(held), "copiedOnly", copiedOnly, "absent", absent)
}

// syncWorkers keeps one worker for each engine that may be sent requests. The
// worker of an engine that is gone or leaving stops at once, so that a model that
// it was loading can be loaded elsewhere.
func (controller *Controller) syncWorkers(ctx context.Context, fencingToken mimosatide.FencingToken) {
	taken := fencingToken != controller.fencingToken
	if taken {
		// Another node may have sent orders in the meantime.
		controller.fencingToken = fencingToken
		for _, existing := range controller.workers {
			existing.cancel()
		}
		controller.workers = map[string]*worker{}
		controller.loading = map[string]int{}
		controller.underWay = map[string]loadUnderWay{}
		controller.busyUntil = map[string]time.Time{}
		controller.adopted = map[string]string{}
		controller.copiesLogged, controller.takenAt = false, time.Now()
		controller.remoteLoads = 0
		controller.remoteLimit = newRemoteLoadLimit()
		controller.remoteTokens = 0
	}
	present := map[string]bool{}
	for _, instance := range controller.targets.View().Service(controller.settings.Service) {
		present[instance.ID] = true
		existing, found := controller.workers[instance.ID]
		if found && existing.instance.Born.Equal(instance.Born) && existing.instance.Address == instance.Address {
			continue
		}
		if found {
			existing.cancel()
		}
		controller.workers[instance.ID] = controller.newWorker(ctx, instance)
	}
	for id, existing := range controller.workers {
		if !present[id] {
			existing.cancel()
			delete(controller.workers, id)
		}
	}
	if taken {
		controller.adoptProgress(time.Now())
	}
}

func (controller *Controller) newWorker(ctx context.Context, instance mimosatide.Instance) *worker {
	known := instance
	known.Orders = 0
	workerCtx, cancel := context.WithCancel(ctx)
	return &worker{
		ctx:          workerCtx,
		cancel:       cancel,
		instance:     instance,
		slot:         make(chan struct{}, 1),
		known:        known,
		holder:       controller.settings.Holder,
		engines:      controller.engines,
		late:         controller.late,
		fencingToken: controller.lease.FencingToken,
		paused:       func() bool { return !controller.pausedUntil(instance).IsZero() },
		publish:      controller.publish,
		recordOrder:  controller.lease.RecordOrder,
		log:          controller.log,
	}
}

// loadingAt returns the model that an engine is loading; empty if there is none.
func (controller *Controller) loadingAt(id string) string {
	if load, loads := controller.underWay[id]; loads {
		return load.Model
	}
	return controller.adopted[id]
}

// allLoading counts the loads under way by model, including those of the holder before.
func (controller *Controller) allLoading() map[string]int {
	loading := maps.Clone(controller.loading)
	for id, model := range controller.adopted {
		if worker := controller.workers[id]; worker == nil || !worker.isBusy() {
			delete(controller.adopted, id)
			continue
		}
		loading[model]++
	}
	return loading
}

// remoteLoadsToStart refills the token bucket and returns the number of loads from
// the weight store that may start now.
func (controller *Controller) remoteLoadsToStart(class mimosatide.EngineClass, now time.Time) int {
	if !controller.remoteTokensAt.IsZero() {
		controller.remoteTokens += class.LoadsPerSecond * remoteRateFraction * now.Sub(controller.remoteTokensAt).Seconds()
		controller.remoteTokens = min(controller.remoteTokens, remoteBurst)
	}
	controller.remoteTokensAt = now
	controller.loadsPerSecond = class.LoadsPerSecond
	// The engines that carry out orders of an earlier holder may load from the weight store.
	underWay := controller.remoteLoads
	for _, worker := range controller.workers {
		if worker.isBusy() {
			underWay++
		}
	}
	return min(int(controller.remoteTokens), controller.remoteLimit.current-underWay)
}

// start carries out a step in the background, unless its engine is gone or occupied.
func (controller *Controller) start(class mimosatide.EngineClass, step Step) {
	worker := controller.workers[step.Instance]
	if worker == nil || !worker.claim() {
		return
	}
	fencingToken := controller.fencingToken
	controller.loading[step.Model]++
	controller.underWay[step.Instance] = loadUnderWay{Step: step, begun: time.Now()}
	remote := step.Tier == mimosatide.TierRemote
	atLimit := false
	if remote {
		controller.remoteLoads++
		controller.remoteTokens--
		atLimit = controller.remoteLoads >= controller.remoteLimit.current
	}
	controller.log.Info("placement decided", "service", controller.settings.Service, "target", step.Instance, "model", step.Model,
		"victims", step.Victims, "tier", step.Tier, "reason", step.Reason, "waited", step.Waited, "asked", step.Asked, "gain", step.Gain, "loss", step.Loss,
		"missing", controller.missing, "remoteLoads", controller.remoteLoads, "remoteLimit", controller.remoteLimit.current)
	go func() {
		begun := time.Now()
		loadDuration, err := worker.place(worker.ctx, class, step)
		controller.log.Info("placement ended", "target", step.Instance, "model", step.Model, "took", time.Since(begun),
			"load", loadDuration, "reason", errorText(err))
		worker.free()
		finished := finishedStep{
			Step: step, remote: remote, atLimit: atLimit, begun: begun, loadDuration: loadDuration, notSent: errors.Is(err, errBusy),
		}
		controller.finish(finished, fencingToken)
	}()
}

// loadUnderWay is a step under way.
type loadUnderWay struct {
	Step
	begun time.Time
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

// finish accounts for the end of a step, unless the fencing token has changed since
// it started.
func (controller *Controller) finish(step finishedStep, fencingToken mimosatide.FencingToken) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	if controller.fencingToken != fencingToken {
		return
	}
	delete(controller.underWay, step.Instance)
	if step.loadDuration > 0 {
		controller.demand.Met(step.Model)
	}
	if controller.loading[step.Model] > 0 {
		controller.loading[step.Model]--
	}
	if controller.loading[step.Model] == 0 {
		delete(controller.loading, step.Model)
	}
	if !step.remote {
		return
	}
	controller.remoteLoads = max(controller.remoteLoads-1, 0)
	if step.notSent {
		controller.remoteTokens++
	}
	if before := controller.remoteLimit.current; step.loadDuration > 0 && controller.remoteLimit.observe(step, controller.loadsPerSecond, time.Now()) {
		controller.log.Info("loads at once", "service", controller.settings.Service, "before", before, "limit", controller.remoteLimit.current,
			"model", step.Model, "took", step.loadDuration, "expected", step.LoadTime)
	}
}

// startAdapters starts to load the adapters that requests wait for.
func (controller *Controller) startAdapters(class mimosatide.EngineClass, now time.Time) {
	for _, need := range controller.demand.Needs(now) {
		worker := controller.workers[need.Instance]
		if need.Adapter == "" || worker == nil || now.Before(controller.retryAt[need]) {
			continue
		}
		if _, occupied, _ := worker.view(); occupied {
			continue
		}
		controller.retryAt[need] = now.Add(adapterRetryDelay)
		go func() {
			idle := func(adapter AdapterAt) time.Duration { return controller.demand.AdapterIdle(adapter, time.Now()) }
			controller.demand.RecordAdapterUse(AdapterAt{Instance: need.Instance, Model: need.Model, Adapter: need.Adapter}, time.Now())
			if err := worker.loadAdapter(worker.ctx, class, need.Model, need.Adapter, idle); err != nil {
				controller.log.Info("adapter not loaded", "target", need.Instance, "model", need.Model, "adapter", need.Adapter,
					"reason", err.Error())
				return
			}
			controller.demand.RemoveNeed(need)
		}()
	}
	for need, at := range controller.retryAt {
		if now.Sub(at) > needTTL {
			delete(controller.retryAt, need)
		}
	}
}
