package loading

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// The times of orders.
const (
	// orderTimeout is how long an engine's answer to an order is waited for.
	orderTimeout = 600 * time.Millisecond
	// reportEvery is how often an engine with an order under way is asked for its state.
	reportEvery = 100 * time.Millisecond
	// adapterTime is how long an adapter takes to arrive.
	adapterTime = 8 * time.Millisecond
	// unloadTimeout bounds the wait for the runs of a model that makes way.
	unloadTimeout = 10 * time.Second
	// loadSlack is how much longer than expected a load may take.
	loadSlack = 20 * time.Second
	// loadMargin is added to the time of a load from copies at the target.
	loadMargin = 15 * time.Millisecond
	// passOverTime is for how long an engine is not planned with that gave no answer
	// or is busy with an order of before, which waits for runs that last about as long.
	passOverTime = time.Second
	// usedNow is how recently an adapter must have been used to count as in use;
	// nodes tell of those in use several times within it.
	usedNow = 500 * time.Millisecond
)

// Engines gives orders to engines.
type Engines interface {
	Order(ctx context.Context, instance mimosatide.Instance, order mimosatide.ModelOrder) (mimosatide.OrderOutcome, error)
	Report(ctx context.Context, instance mimosatide.Instance) (mimosatide.InstanceReport, error)
}

// errNoTerm says that this node may not order at this moment.
var errNoTerm = errors.New("this node does not hold the lease")

// errBusy says that an order of before is still under way, so that none was given.
var errBusy = errors.New("the engine is busy with an order of before")

// errConflict says that the engine has another order under way or has accepted one unknown to this node.
var errConflict = errors.New("the engine is busy with another order")

// worker gives the orders to one incarnation of an engine, one at a time.
type worker struct {
	instance mimosatide.Instance
	// working ends when the engine may no longer be ordered; stop ends it.
	working context.Context
	stop    context.CancelFunc
	holder  string
	engines Engines
	term    func() (mimosatide.FencingNumber, bool)
	publish func(mimosatide.Instance)
	// ordered is told of each order before it leaves.
	ordered func()
	log     logr.Logger

	// turn holds a token while orders are given; state guards what is known.
	turn  chan struct{}
	state sync.Mutex
	// known is the engine as the accepted orders have left it.
	known    mimosatide.Instance
	synced   bool
	occupied bool
	placedAt time.Time
	// passedOverAt is when the engine last gave no answer or was found busy.
	passedOverAt time.Time
}

func (worker *worker) view() (known mimosatide.Instance, occupied bool, placedAt time.Time) {
	worker.state.Lock()
	defer worker.state.Unlock()
	passedOver := time.Since(worker.passedOverAt) < passOverTime
	return worker.known, worker.occupied || passedOver, worker.placedAt
}

// claim marks the engine as occupied; it fails if it was.
func (worker *worker) claim() bool {
	worker.state.Lock()
	defer worker.state.Unlock()
	if worker.occupied {
		return false
	}
	worker.occupied = true
	return true
}

func (worker *worker) free() {
	worker.state.Lock()
	defer worker.state.Unlock()
	worker.occupied = false
}

// takeTurn waits until no other order of this node is being given to the engine.
func (worker *worker) takeTurn(ctx context.Context) error {
	select {
	case worker.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

func (worker *worker) endTurn() {
	<-worker.turn
}

// place makes room for a model and loads it. It returns how long the load took.
func (worker *worker) place(ctx context.Context, class mimosatide.EngineClass, step Step) (time.Duration, error) {
	if err := worker.takeTurn(ctx); err != nil {
		return 0, errors.Trace(err)
	}
	defer worker.endTurn()
	if err := worker.sync(ctx); err != nil {
		return 0, errors.Trace(err)
	}
	for _, victim := range step.Victims {
		if err := worker.unload(ctx, victim); err != nil {
			return 0, errors.Annotatef(err, "unloading %s", victim)
		}
	}
	known, _, _ := worker.view()
	if known.Holds(step.Model) {
		return 0, nil
	}
	if UsedMB(class, known)+class.Models[step.Model].MemoryMB > class.MemoryMB {
		return 0, errors.Errorf("no room for %s", step.Model)
	}
	if err := worker.loadAfterUnload(ctx, step.Model); err != nil {
		return 0, errors.Annotatef(err, "loading %s", step.Model)
	}
	begun := time.Now()
	sleep(ctx, step.LoadTime)
	if step.Tier != mimosatide.TierRemote {
		// The time of a load from the target's own copies is known, and its report lags.
		sleep(ctx, loadMargin)
		worker.publish(withModel(worker.now(), step.Model))
	}
	err := worker.await(ctx, step.LoadTime+loadSlack, func(report mimosatide.InstanceReport) bool {
		return holds(report.Holdings, step.Model)
	})
	if err != nil {
		return 0, errors.Trace(err)
	}
	return time.Since(begun), nil
}

// unload takes a model off the engine; no node sends requests for it from the order on.
func (worker *worker) unload(ctx context.Context, model string) error {
	known, _, _ := worker.view()
	if !known.Holds(model) {
		return nil
	}
	worker.publish(without(known, model))
	if err := worker.order(ctx, mimosatide.ModelOrder{Kind: mimosatide.OrderUnload, Model: model}); err != nil {
		worker.publish(known)
		return errors.Trace(err)
	}
	worker.change(func(known mimosatide.Instance) mimosatide.Instance { return without(known, model) })
	return nil
}

// loadAfterUnload orders a load; while an unload still waits for its runs the
// engine refuses it, so that memory is never promised twice.
func (worker *worker) loadAfterUnload(ctx context.Context, model string) error {
	order := mimosatide.ModelOrder{Kind: mimosatide.OrderLoad, Model: model}
	begun := time.Now()
	for {
		err := worker.order(ctx, order)
		if !errors.Is(err, errConflict) || time.Since(begun) > unloadTimeout || ctx.Err() != nil {
			return errors.Trace(err)
		}
		sleep(ctx, reportEvery)
		report, reportErr := worker.report(ctx)
		if reportErr != nil {
			return errors.Trace(reportErr)
		}
		if report.Orders > worker.now().Orders {
			return errors.Annotate(err, "another order came in between")
		}
	}
}

// await asks the engine for its state until the order that was accepted last is done.
func (worker *worker) await(ctx context.Context, limit time.Duration, done func(mimosatide.InstanceReport) bool) error {
	for begun := time.Now(); time.Since(begun) < limit && ctx.Err() == nil; sleep(ctx, reportEvery) {
		report, err := worker.report(ctx)
		if err != nil {
			continue
		}
		known, _, _ := worker.view()
		if report.Orders < known.Orders || report.Busy || !done(report) {
			continue
		}
		worker.adopt(report)
		return nil
	}
	worker.unsure()
	return errors.Timeoutf("order of %s", worker.instance.ID)
}

// loadAdapter loads an adapter beside its model, in the place of one that is not in use.
func (worker *worker) loadAdapter(
	ctx context.Context, class mimosatide.EngineClass, model, adapter string, idle func(AdapterAt) time.Duration,
) error {
	if err := worker.takeTurn(ctx); err != nil {
		return errors.Trace(err)
	}
	defer worker.endTurn()
	if err := worker.sync(ctx); err != nil {
		return errors.Trace(err)
	}
	known, _, _ := worker.view()
	if !known.Holds(model) || holdsAdapter(known, model, adapter) {
		return nil
	}
	for worker.adapters() >= class.AdapterSlots || worker.lacks(class, class.Models[model].AdapterMemoryMB) {
		victim, found := worker.idlest(idle)
		if !found {
			return errors.Errorf("no adapter of %s is idle", worker.instance.ID)
		}
		order := mimosatide.ModelOrder{Kind: mimosatide.OrderUnload, Model: victim.Model, Adapter: victim.Adapter}
		worker.publish(withoutAdapter(worker.now(), victim.Model, victim.Adapter))
		if err := worker.order(ctx, order); err != nil {
			worker.publish(worker.now())
			return errors.Annotatef(err, "unloading adapter %s/%s", victim.Model, victim.Adapter)
		}
		worker.change(func(known mimosatide.Instance) mimosatide.Instance {
			return withoutAdapter(known, victim.Model, victim.Adapter)
		})
	}
	order := mimosatide.ModelOrder{Kind: mimosatide.OrderLoadAdapter, Model: model, Adapter: adapter}
	if err := worker.order(ctx, order); err != nil {
		return errors.Annotatef(err, "loading adapter %s/%s", model, adapter)
	}
	worker.change(func(known mimosatide.Instance) mimosatide.Instance {
		return withAdapter(known, model, adapter)
	})
	sleep(ctx, adapterTime)
	worker.publish(worker.now())
	return nil
}

func (worker *worker) now() mimosatide.Instance {
	known, _, _ := worker.view()
	return known
}

func (worker *worker) adapters() int {
	count := 0
	for _, holding := range worker.now().Holdings {
		count += len(holding.Adapters) + len(holding.Coming)
	}
	return count
}

func (worker *worker) lacks(class mimosatide.EngineClass, memoryMB float64) bool {
	return UsedMB(class, worker.now())+memoryMB > class.MemoryMB
}

// idlest returns the adapter that has been idle longest.
func (worker *worker) idlest(idle func(AdapterAt) time.Duration) (AdapterAt, bool) {
	var candidates []AdapterAt
	for _, holding := range worker.now().Holdings {
		for _, adapter := range holding.Adapters {
			candidates = append(candidates, AdapterAt{Instance: worker.instance.ID, Model: holding.Model, Adapter: adapter})
		}
	}
	if len(candidates) == 0 {
		return AdapterAt{}, false
	}
	sort.SliceStable(candidates, func(i, j int) bool { return idle(candidates[i]) > idle(candidates[j]) })
	return candidates[0], idle(candidates[0]) > usedNow
}

// order gives one order under the condition that no other was accepted since. It
// returns without an error only when the engine has accepted the order; one that
// got no answer is sent again with the same condition, so that at most one of
// the two is carried out.
func (worker *worker) order(ctx context.Context, order mimosatide.ModelOrder) error {
	term, held := worker.term()
	if !held {
		return errors.Trace(errNoTerm)
	}
	order.Holder = worker.holder
	order.Term = term
	order.After = worker.now().Orders
	worker.ordered()
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	outcome, err := worker.engines.Order(bounded, worker.instance, order)
	cancel()
	worker.log.Info("order", "target", worker.instance.ID, "kind", order.Kind, "model", order.Model, "adapter", order.Adapter,
		"after", order.After, "term", order.Term, "outcome", outcome, "reason", text(err))
	switch outcome {
	case mimosatide.OrderAccepted, mimosatide.OrderHolds:
		worker.change(func(known mimosatide.Instance) mimosatide.Instance {
			known.Orders = order.After + 1
			return known
		})
		return nil
	case mimosatide.OrderUnknown:
		worker.unsure()
		worker.passOver()
		return errors.Trace(err)
	case mimosatide.OrderConflict:
		worker.unsure()
		return errors.Annotate(errConflict, worker.instance.ID)
	default:
		worker.unsure()
		return errors.Errorf("%s: order refused: %s", worker.instance.ID, outcome)
	}
}

// sync asks the engine for its state unless it is known.
func (worker *worker) sync(ctx context.Context) error {
	worker.state.Lock()
	synced := worker.synced
	worker.state.Unlock()
	if synced {
		return nil
	}
	report, err := worker.report(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if report.Busy || report.Orders < worker.now().Orders {
		worker.passOver()
		return errors.Annotate(errBusy, worker.instance.ID)
	}
	worker.adopt(report)
	return nil
}

func (worker *worker) report(ctx context.Context) (mimosatide.InstanceReport, error) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := worker.engines.Report(bounded, worker.instance)
	if err != nil {
		worker.passOver()
		worker.log.Info("report failed", "target", worker.instance.ID, "reason", err.Error())
	}
	return report, errors.Trace(err)
}

// adopt takes the engine's word on its state and tells all nodes.
func (worker *worker) adopt(report mimosatide.InstanceReport) {
	worker.state.Lock()
	worker.known.Orders = report.Orders
	worker.known.Holdings = report.Holdings
	worker.known.InMemory = report.InMemory
	worker.known.OnDisk = report.OnDisk
	worker.synced = true
	worker.placedAt = time.Now()
	known := worker.known
	worker.state.Unlock()
	worker.publish(known)
}

func (worker *worker) change(apply func(mimosatide.Instance) mimosatide.Instance) {
	worker.state.Lock()
	defer worker.state.Unlock()
	worker.known = apply(worker.known)
}

func (worker *worker) unsure() {
	worker.state.Lock()
	defer worker.state.Unlock()
	worker.synced = false
}

// passOver keeps the engine out of plans for a while.
func (worker *worker) passOver() {
	worker.state.Lock()
	defer worker.state.Unlock()
	worker.passedOverAt = time.Now()
}
