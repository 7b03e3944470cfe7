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

// Settings are the parameters of a Keeper.
type Settings struct {
	Self string
	Zone string
	// KeepFactor is how many load times an idle model stays loaded.
	KeepFactor float64
	// MinKeep is the shortest time that an idle model stays loaded.
	MinKeep time.Duration
}

// The defaults of the keeper's settings.
const (
	DefaultKeepFactor = 20
	DefaultMinKeep    = 30 * time.Second
)

// Keeper carries out the decisions about the models whose home is this node,
// and knows where all models that this node uses are served.
type Keeper struct {
	settings Settings
	clock    mimosatide.Clock
	table    mimosatide.Table
	targets  mimosatide.Target
	store    *configuration.Store
	fleet    Fleet
	peers    Messenger
	journal  *journal.Journal
	log      logr.Logger
	run      func(work func()) error
	newID    func() string
	// onList is called when the list of a model's placements has changed.
	onList func(List)

	woken chan struct{}

	// interest is the engines to watch until the next pick.
	interest     []mimosatide.TargetSpec
	nextInterest time.Duration
	lock         sync.Mutex
	models       map[string]*modelState
	engines      map[string]*engineState
	rows         map[string]cachedRow
	orders       map[string]*orderState
	stakes       map[string]stakeOf
	leaving      map[string]bool
	lost         map[string]bool
	harmless     map[harmlessKey]bool
	// stale is the newest number of a placement's orders that its engine refused as old.
	stale map[string]mimosatide.FencingNumber
	// incarnations are the newest processes at other addresses that sent a promise.
	incarnations map[string]uint64
	// ended is when this node first knew that a process had ended.
	ended map[Orderer]time.Duration
	// closed are placements for which this process never orders a load again.
	closed     map[string]bool
	stakesSent time.Duration
	// nextDiscovery is when the configured models are looked through for new ones.
	nextDiscovery time.Duration
	homes         homeCache
}

// Dependencies are what a Keeper works with.
type Dependencies struct {
	Clock   mimosatide.Clock
	Table   mimosatide.Table
	Targets mimosatide.Target
	Store   *configuration.Store
	Fleet   Fleet
	Peers   Messenger
	Journal *journal.Journal
	Log     logr.Logger
	// Submit runs work soon, on a bounded pool.
	Submit func(work func()) error
	NewID  func() string
	OnList func(List)
}

// New returns a keeper that has not started.
func New(settings Settings, parts Dependencies) *Keeper {
	return &Keeper{
		settings:     settings,
		clock:        parts.Clock,
		table:        parts.Table,
		targets:      parts.Targets,
		store:        parts.Store,
		fleet:        parts.Fleet,
		peers:        parts.Peers,
		journal:      parts.Journal,
		log:          parts.Log,
		run:          parts.Submit,
		newID:        parts.NewID,
		onList:       parts.OnList,
		woken:        make(chan struct{}, 1),
		models:       map[string]*modelState{},
		engines:      map[string]*engineState{},
		rows:         map[string]cachedRow{},
		orders:       map[string]*orderState{},
		stakes:       map[string]stakeOf{},
		leaving:      map[string]bool{},
		lost:         map[string]bool{},
		harmless:     map[harmlessKey]bool{},
		closed:       map[string]bool{},
		ended:        map[Orderer]time.Duration{},
		incarnations: map[string]uint64{},
		stale:        map[string]mimosatide.FencingNumber{},
	}
}

// Run works until the context ends.
func (keeper *Keeper) Run(ctx context.Context) {
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-keeper.woken:
		}
		keeper.Tick(ctx)
		timer.Reset(keeper.pace())
	}
}

// pace is how long the next look for work may wait.
func (keeper *Keeper) pace() time.Duration {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	if len(keeper.busyEngines()) > 0 {
		return tickEvery
	}
	return restEvery
}

// wake lets Run look for work at once.
func (keeper *Keeper) wake() {
	select {
	case keeper.woken <- struct{}{}:
	default:
	}
}

// Tick starts the work that is due.
func (keeper *Keeper) Tick(ctx context.Context) {
	now := keeper.clock.Now()
	for _, engine := range keeper.dueEngines(now) {
		keeper.submit(func() { keeper.askReport(ctx, engine) })
	}
	for _, model := range keeper.dueModels(now) {
		keeper.submit(func() { keeper.Tend(ctx, model) })
	}
	keeper.sendStakes(now)
}

// submit runs work on the pool. The work clears flags that keep it from being
// started twice, so that it runs beside a full pool rather than never.
func (keeper *Keeper) submit(work func()) {
	if err := keeper.run(work); err != nil {
		go work()
	}
}

// HomeOf returns the member that decides about a model.
func HomeOf(model string, live []string) string {
	return slices.MaxFunc(live, func(left, right string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(model+" "+left), xxhash.Sum64String(model+" "+right)), cmp.Compare(left, right))
	})
}

// home returns the member that decides about a model; it is worked out once for each list of live members.
func (keeper *Keeper) home(model string) string {
	live := keeper.fleet.Live()
	if len(live) == 0 {
		return keeper.settings.Self
	}
	keeper.homes.lock.Lock()
	defer keeper.homes.lock.Unlock()
	if keeper.homes.live != &live[0] || keeper.homes.count != len(live) {
		keeper.homes.live, keeper.homes.count = &live[0], len(live)
		keeper.homes.known = map[string]string{}
	}
	home, known := keeper.homes.known[model]
	if !known {
		home = HomeOf(model, live)
		keeper.homes.known[model] = home
	}
	return home
}

// homeCache holds the homes of models under one list of live members.
type homeCache struct {
	lock  sync.Mutex
	live  *string
	count int
	known map[string]string
}

func (keeper *Keeper) isHome(model string) bool {
	return keeper.home(model) == keeper.settings.Self && keeper.fleet.Self().Incarnation > 0
}

func (keeper *Keeper) dueModels(now time.Duration) []string {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	if now >= keeper.nextDiscovery {
		keeper.nextDiscovery = now + quietEvery
		for _, model := range keeper.store.View().Document.Models() {
			keeper.state(model.Name)
		}
	}
	var due []string
	for name, state := range keeper.models {
		if !state.busy && now >= state.due && keeper.isHome(name) {
			state.busy = true
			state.due = now + quietEvery
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// Tend carries one model on until nothing is to be done at present.
func (keeper *Keeper) Tend(ctx context.Context, model string) {
	for range maxStepsAtOnce {
		if !keeper.tendOnce(ctx, model) {
			break
		}
	}
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	state := keeper.state(model)
	state.busy = false
	if state.again {
		state.again = false
		state.due = keeper.clock.Now()
		keeper.wake()
	}
}

// maxStepsAtOnce bounds the decisions about one model in a row.
const maxStepsAtOnce = 8

// tendOnce makes one decision and says whether another may follow at once.
func (keeper *Keeper) tendOnce(ctx context.Context, model string) bool {
	situation, err := keeper.gather(ctx, model)
	if err != nil {
		if keeper.hold(model, string(mimosatide.ReasonStoreUnavailable)) {
			keeper.log.Info("placement put off", "model", model, "reason", err.Error())
		}
		keeper.publish(model)
		return false
	}
	decision, err := Decide(situation)
	if err != nil {
		keeper.log.Error(err, "placement not decided", "model", model)
		return false
	}
	more := keeper.carryOut(ctx, situation, decision)
	keeper.sendOrders(ctx, model)
	keeper.publish(model)
	return more
}

// carryOut writes a decision, and says whether another may follow at once.
func (keeper *Keeper) carryOut(ctx context.Context, situation Situation, decision Decision) bool {
	keeper.noteHoldup(situation, decision)
	if !decision.Writes() {
		keeper.askForRoom(decision.Victims)
		return false
	}
	outcome := keeper.table.Commit(ctx, decision.Transaction)
	keeper.recordDecision(situation, decision, outcome)
	if outcome != mimosatide.CommitDone {
		// What was written is read back: another process may have decided, or the answer was lost.
		keeper.forgetRows(decision.Transaction)
		return outcome == mimosatide.CommitConflict
	}
	keeper.rememberRows(decision.Transaction)
	switch decision.Kind {
	case MarkLoaded, MarkAdapter:
		keeper.tellSlotFreed()
	case ReleaseMemory, ForgetLost:
		keeper.forgetPlacement(decision.Placement)
	}
	return true
}

func (keeper *Keeper) noteHoldup(situation Situation, decision Decision) {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	state := keeper.state(situation.Name)
	state.slotWait = decision.Kind == WaitForSlot
	if decision.Kind == WaitForMemory {
		state.skipped += candidateLimit
	}
	state.holdup = ""
	if decision.Kind == WaitForSlot || decision.Kind == WaitForMemory {
		state.holdup = string(decision.Kind)
	}
	busy := situation.Demand.Waiting > 0 || slices.ContainsFunc(situation.Row.Placements, Placement.needsOrder)
	if busy || decision.Writes() {
		state.due = keeper.clock.Now() + busyEvery
	}
}

// hold notes why the model can't be decided about, and says whether that is news.
func (keeper *Keeper) hold(model, reason string) bool {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	state := keeper.state(model)
	news := state.holdup != reason
	state.holdup = reason
	state.due = keeper.clock.Now() + busyEvery
	return news
}

func (keeper *Keeper) recordDecision(situation Situation, decision Decision, outcome mimosatide.CommitOutcome) {
	keeper.log.Info("placement decided",
		"kind", string(decision.Kind), "model", situation.Name, "placement", decision.Placement.ID,
		"target", decision.Placement.Target, "outcome", outcome.String(), "reason", decision.Reason)
	entry := journal.NewEntry(keeper.clock.Now(), "Placement"+string(decision.Kind), decision.Reason).
		With("Model", situation.Name).
		With("Target", decision.Placement.Target).
		With("Outcome", outcome.String()).
		With("DecidedBy", keeper.settings.Self).
		WithNumber("Version", uint64(situation.Configuration))
	for _, weighed := range decision.Weighed {
		entry = entry.With("Weighed/"+weighed.Target, weighed.String())
	}
	keeper.journal.Add(decision.Placement.ID, entry)
}

// String returns a candidate's cost, or why it was excluded.
func (weighed Weighed) String() string {
	if weighed.Excluded != "" {
		return weighed.Excluded
	}
	return weighed.Cost.String()
}
