package placement

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/configuration"
	"mimosatide.example/mimosatide/internal/journal"
)

// Settings are the parameters of a Controller.
type Settings struct {
	// Self is the address of this node's peer port.
	Self string
	Zone string
	// KeepFactor is how long an idle model stays loaded, in multiples of its load time.
	KeepFactor float64
	// MinKeep is the minimum time that an idle model stays loaded.
	MinKeep time.Duration
}

// The defaults of the controller's settings.
const (
	DefaultKeepFactor = 20
	DefaultMinKeep    = 30 * time.Second
)

// Controller makes and carries out the decisions about the models whose home is this
// node, and tells the nodes that use these models where they are served.
type Controller struct {
	settings          Settings
	clock             mimosatide.Clock
	table             mimosatide.Table
	targets           mimosatide.Target
	store             *configuration.Store
	fleet             Fleet
	peers             Messenger
	journal           *journal.Journal
	log               logr.Logger
	submitToPool      func(work func()) error
	newID             func() string
	onModelPlacements func(ModelPlacements)

	// woken makes Run tick at once.
	woken chan struct{}

	// watched are the engines to poll; the list is rebuilt at watchedUntil.
	watched      []mimosatide.TargetSpec
	watchedUntil time.Duration
	// lock guards all fields that change, except homes.
	lock         sync.Mutex
	models       map[string]*modelState
	engines      map[string]*engineState
	rowCache     map[string]cachedRow
	orders       map[string]*orderState
	remoteStakes map[string]remoteStake
	// leaving and lost are the targets that are leaving and those whose host is lost, by name.
	leaving  map[string]bool
	lost     map[string]bool
	quiesced map[quiescedKey]bool
	// staleFencingTokens holds the newest fencing token that an engine rejected as stale, by placement.
	staleFencingTokens map[string]mimosatide.FencingToken
	// newestIncarnation is the newest process at each address that sent a QuiesceConfirmation.
	newestIncarnation map[string]uint64
	// endedAt is when this node learned that a process had ended.
	endedAt map[Orderer]time.Duration
	// loadsStopped are placements for which this process sends no more load orders.
	loadsStopped   map[string]bool
	lastStakesSent time.Duration
	// nextDiscovery is when the configuration is next searched for new models.
	nextDiscovery time.Duration
	homes         homeCache
}

// Dependencies are the components that a Controller uses.
type Dependencies struct {
	Clock   mimosatide.Clock
	Table   mimosatide.Table
	Targets mimosatide.Target
	Store   *configuration.Store
	Fleet   Fleet
	Peers   Messenger
	Journal *journal.Journal
	Log     logr.Logger
	// Submit runs work on a bounded pool, or returns an error if the pool is full.
	Submit func(work func()) error
	// NewID returns a string that differs at every call on every node.
	NewID func() string
	// OnModelPlacements receives the lists of placements that this node, as a home node, sends to itself.
	OnModelPlacements func(ModelPlacements)
}

// New returns a controller; Run starts it.
func New(settings Settings, dependencies Dependencies) *Controller {
	return &Controller{
		settings:           settings,
		clock:              dependencies.Clock,
		table:              dependencies.Table,
		targets:            dependencies.Targets,
		store:              dependencies.Store,
		fleet:              dependencies.Fleet,
		peers:              dependencies.Peers,
		journal:            dependencies.Journal,
		log:                dependencies.Log,
		submitToPool:       dependencies.Submit,
		newID:              dependencies.NewID,
		onModelPlacements:  dependencies.OnModelPlacements,
		woken:              make(chan struct{}, 1),
		models:             map[string]*modelState{},
		engines:            map[string]*engineState{},
		rowCache:           map[string]cachedRow{},
		orders:             map[string]*orderState{},
		remoteStakes:       map[string]remoteStake{},
		leaving:            map[string]bool{},
		lost:               map[string]bool{},
		quiesced:           map[quiescedKey]bool{},
		loadsStopped:       map[string]bool{},
		endedAt:            map[Orderer]time.Duration{},
		newestIncarnation:  map[string]uint64{},
		staleFencingTokens: map[string]mimosatide.FencingToken{},
	}
}

// Run ticks periodically and when it is woken, until the context ends.
func (controller *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(busyTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-controller.woken:
		}
		controller.Tick(ctx)
		timer.Reset(controller.nextTickDelay())
	}
}

// nextTickDelay returns the time until the next periodic tick.
func (controller *Controller) nextTickDelay() time.Duration {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	if len(controller.busyEngines()) > 0 {
		return busyTickInterval
	}
	return idleTickInterval
}

// wake makes Run tick at once.
func (controller *Controller) wake() {
	select {
	case controller.woken <- struct{}{}:
	default:
	}
}

// Tick submits the engine polls and model reconciliations that are due.
func (controller *Controller) Tick(ctx context.Context) {
	now := controller.clock.Now()
	for _, engine := range controller.dueEngines(now) {
		controller.submit(func() { controller.pollEngine(ctx, engine) })
	}
	for _, model := range controller.dueModels(now) {
		controller.submit(func() { controller.Reconcile(ctx, model) })
	}
	controller.sendStakes(now)
}

// submit runs work on the pool, or in a new goroutine if the pool is full: the
// work must run, because it clears the flag that keeps it from being started twice.
func (controller *Controller) submit(work func()) {
	if err := controller.submitToPool(work); err != nil {
		go work()
	}
}

// HomeOf returns the member that decides about a model, by rendezvous hashing. It panics if live is empty.
func HomeOf(model string, live []string) string {
	return slices.MaxFunc(live, func(left, right string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(model+" "+left), xxhash.Sum64String(model+" "+right)), cmp.Compare(left, right))
	})
}

// home returns the member that decides about a model, or this node if no member is live.
func (controller *Controller) home(model string) string {
	live := controller.fleet.Live()
	if len(live) == 0 {
		return controller.settings.Self
	}
	controller.homes.lock.Lock()
	defer controller.homes.lock.Unlock()
	if controller.homes.live != &live[0] || controller.homes.count != len(live) {
		controller.homes.live, controller.homes.count = &live[0], len(live)
		controller.homes.known = map[string]string{}
	}
	home, known := controller.homes.known[model]
	if !known {
		home = HomeOf(model, live)
		controller.homes.known[model] = home
	}
	return home
}

// homeCache caches the homes of models for one list of live members, which is
// identified by its first element's address and its length.
type homeCache struct {
	lock  sync.Mutex
	live  *string
	count int
	known map[string]string
}

// isHome reports whether this node decides about the model; a process without a lease decides about none.
func (controller *Controller) isHome(model string) bool {
	return controller.home(model) == controller.settings.Self && controller.fleet.Self().Incarnation > 0
}

// dueModels returns the models to reconcile now and marks them as running.
func (controller *Controller) dueModels(now time.Duration) []string {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	if now >= controller.nextDiscovery {
		controller.nextDiscovery = now + idleReconcileInterval
		for _, model := range controller.store.View().Document.Models() {
			controller.state(model.Name)
		}
	}
	var due []string
	for name, state := range controller.models {
		if !state.running && now >= state.nextRun && controller.isHome(name) {
			state.running = true
			state.nextRun = now + idleReconcileInterval
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// Reconcile makes decisions about one model until no further one can follow at once.
func (controller *Controller) Reconcile(ctx context.Context, model string) {
	for range maxDecisionsPerRun {
		if !controller.reconcileOnce(ctx, model) {
			break
		}
	}
	controller.lock.Lock()
	defer controller.lock.Unlock()
	state := controller.state(model)
	state.running = false
	if state.rerun {
		state.rerun = false
		state.nextRun = controller.clock.Now()
		controller.wake()
	}
}

// maxDecisionsPerRun bounds the decisions of one Reconcile call.
const maxDecisionsPerRun = 8

// reconcileOnce makes and applies one decision, sends the orders and the list that are
// then due, and reports whether another decision may follow at once.
func (controller *Controller) reconcileOnce(ctx context.Context, model string) bool {
	situation, err := controller.gather(ctx, model)
	if err != nil {
		if controller.setBlockedReason(model, string(mimosatide.ReasonStoreUnavailable)) {
			controller.log.Info("placement postponed: cannot read the rows that it depends on", "model", model, "reason", err.Error())
		}
		controller.publish(model)
		return false
	}
	decision, err := Decide(situation)
	if err != nil {
		controller.log.Error(err, "placement decision failed", "model", model)
		return false
	}
	more := controller.applyDecision(ctx, situation, decision)
	controller.sendOrders(ctx, model)
	controller.publish(model)
	return more
}

// applyDecision commits a decision, and reports whether another may follow at once.
func (controller *Controller) applyDecision(ctx context.Context, situation Situation, decision Decision) bool {
	controller.recordBlockedReason(situation, decision)
	if !decision.Writes() {
		controller.requestEvictions(decision.Victims)
		return false
	}
	outcome := controller.table.Commit(ctx, decision.Transaction)
	controller.recordDecision(situation, decision, outcome)
	if outcome != mimosatide.CommitDone {
		// Read the rows again: another process may have written them, or the commit's answer was lost.
		controller.invalidateRows(decision.Transaction)
		return outcome == mimosatide.CommitConflict
	}
	controller.cacheWrittenRows(decision.Transaction)
	switch decision.Kind {
	case MarkLoaded, MarkAdapter:
		controller.announceSlotFreed()
	case ReleaseMemory, ForgetLost:
		controller.forgetPlacement(decision.Placement)
	}
	return true
}

// recordBlockedReason records what the model waits for and when it is looked at next.
func (controller *Controller) recordBlockedReason(situation Situation, decision Decision) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	state := controller.state(situation.Name)
	state.waitsForSlot = decision.Kind == WaitForSlot
	if decision.Kind == WaitForMemory {
		state.skippedCandidates += candidateLimit
	}
	state.blockedReason = ""
	if decision.Kind == WaitForSlot || decision.Kind == WaitForMemory {
		state.blockedReason = string(decision.Kind)
	}
	busy := situation.Demand.Waiting > 0 || slices.ContainsFunc(situation.Row.Placements, Placement.needsOrder)
	if busy || decision.Writes() {
		state.nextRun = controller.clock.Now() + busyReconcileInterval
	}
}

// setBlockedReason records why no decision about the model is possible, and reports
// whether the reason changed.
func (controller *Controller) setBlockedReason(model, reason string) bool {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	state := controller.state(model)
	changed := state.blockedReason != reason
	state.blockedReason = reason
	state.nextRun = controller.clock.Now() + busyReconcileInterval
	return changed
}

// recordDecision logs a decision and adds it to the journal.
func (controller *Controller) recordDecision(situation Situation, decision Decision, outcome mimosatide.CommitOutcome) {
	controller.log.Info("placement decided",
		"kind", string(decision.Kind), "model", situation.Name, "placement", decision.Placement.ID,
		"target", decision.Placement.Target, "outcome", outcome.String(), "reason", decision.Reason)
	entry := journal.NewEntry(controller.clock.Now(), "Placement"+string(decision.Kind), decision.Reason).
		With("Model", situation.Name).
		With("Target", decision.Placement.Target).
		With("Outcome", outcome.String()).
		With("DecidedBy", controller.settings.Self).
		WithNumber("Version", uint64(situation.Configuration))
	for _, candidate := range decision.Candidates {
		entry = entry.With("Weighed/"+candidate.Target, candidate.String())
	}
	controller.journal.Add(decision.Placement.ID, entry)
}

// String returns the candidate's cost, or the reason for its exclusion.
func (candidate Candidate) String() string {
	if candidate.Excluded != "" {
		return candidate.Excluded
	}
	return candidate.Cost.String()
}
