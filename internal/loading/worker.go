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

const (
	// engineTimeout bounds the sends of an order to an engine, and a request for its report.
	engineTimeout = 600 * time.Millisecond
	// reportInterval is how often an engine with an order under way is asked for its report.
	reportInterval = 100 * time.Millisecond
	// maxReportLag is how long an engine's report may lag behind the end of an order: an
	// engine that stays idle for longer without the order's effect carried out another one.
	maxReportLag = time.Second
	// adapterLoadTime is the expected time of loading an adapter.
	adapterLoadTime = 8 * time.Millisecond
	// unloadTimeout bounds the wait for the running requests of a model that is evicted.
	unloadTimeout = 10 * time.Second
	// loadTimeoutSlack is how much longer than expected a load may take.
	loadTimeoutSlack = 20 * time.Second
	// localLoadMargin is added to the expected time of a load from a copy at the target.
	localLoadMargin = 15 * time.Millisecond
	// engineBackoff is how long an engine is left out of plans after it did not answer
	// or was busy with an earlier order. Such an order waits for running requests,
	// which take about as long.
	engineBackoff = time.Second
	// adapterInUse is how long an adapter counts as in use after it was used; nodes
	// report the adapters in use several times within it.
	adapterInUse = 500 * time.Millisecond
)

// Engines sends orders to engines and asks them for their reports.
type Engines interface {
	Order(ctx context.Context, instance mimosatide.Instance, order mimosatide.ModelOrder) (mimosatide.OrderOutcome, error)
	Report(ctx context.Context, instance mimosatide.Instance) (mimosatide.InstanceReport, error)
}

// errNotHolder says that this node may not send orders now.
var errNotHolder = errors.New("this node does not hold the lease, or may not send orders yet")

// errBusy says that an earlier order is still under way, so that no order was sent.
var errBusy = errors.New("the engine is busy with an earlier order")

// errConflict says that the engine has another order under way or has accepted one
// that this node does not know of.
var errConflict = errors.New("the engine did not accept the order because of another order")

// errLateOrder says that an order of an earlier term may still arrive at the engine.
var errLateOrder = errors.New("an order of an earlier term may still arrive at the engine")

// errPaused says that the engine has asked this node to send nothing for some time.
var errPaused = errors.New("the engine has asked for a pause")

// worker sends the orders to one incarnation of an engine, one at a time.
type worker struct {
	instance mimosatide.Instance
	// ctx ends when the engine may no longer be sent orders; cancel ends it.
	ctx     context.Context
	cancel  context.CancelFunc
	holder  string
	engines Engines
	late    *lateOrders
	// fencingToken returns the fencing token if this node may send orders now.
	fencingToken func() (mimosatide.FencingToken, bool)
	// paused reports whether the engine has asked this node to send nothing now.
	paused  func() bool
	publish func(mimosatide.Instance)
	// recordOrder is called before each order is sent.
	recordOrder func()
	log         logr.Logger

	// slot is a semaphore that is held while orders are sent; lock guards the fields below.
	slot chan struct{}
	lock sync.Mutex
	// known is the state of the engine after the orders that it has accepted.
	known mimosatide.Instance
	// synced says that known is up to date.
	synced   bool
	occupied bool
	// placedAt is when a report of the engine was last applied: after a model was placed, or by
	// sync.
	placedAt time.Time
	// backoffAt is when the engine last did not answer or was found busy.
	backoffAt time.Time
	// busy says that the engine carries out an order that this worker did not send.
	busy bool
	// down says that the engine did not answer when it was last checked, at checkedAt.
	down      bool
	checkedAt time.Time
}

// awaitsLateOrder reports whether an order of an earlier term of this node may still arrive at
// the engine.
func (worker *worker) awaitsLateOrder() bool {
	token, held := worker.fencingToken()
	return held && worker.late.expected(worker.instance.ID, token)
}

// view returns the known state of the engine, whether it is occupied or left out
// after a failure, during a pause or because of a late order, and placedAt.
func (worker *worker) view() (known mimosatide.Instance, occupied bool, placedAt time.Time) {
	paused := worker.paused() || worker.awaitsLateOrder()
	worker.lock.Lock()
	defer worker.lock.Unlock()
	backingOff := time.Since(worker.backoffAt) < engineBackoff
	return worker.known, worker.occupied || worker.busy || worker.down || backingOff || paused, worker.placedAt
}

// isDown reports whether the engine did not answer when it was last checked.
func (worker *worker) isDown() bool {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	return worker.down
}

// check asks the engine for its report if it was not checked within engineBackoff, and publishes
// what it holds: requests wait for a model that it is known to hold. It returns at once.
func (worker *worker) check() {
	worker.lock.Lock()
	due := time.Since(worker.checkedAt) >= engineBackoff && !worker.occupied && !worker.busy
	if due {
		worker.checkedAt = time.Now()
	}
	worker.lock.Unlock()
	if !due || worker.paused() {
		return
	}
	go func() {
		report, err := worker.report(worker.ctx)
		worker.lock.Lock()
		worker.down = err != nil
		worker.lock.Unlock()
		if err == nil && !report.Busy && report.Orders >= worker.current().Orders {
			worker.applyReport(report)
		}
	}()
}

// isBusy reports whether the engine carries out an order that this worker did not send.
func (worker *worker) isBusy() bool {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	return worker.busy
}

// awaitIdle leaves the engine out of plans until its report says that it carries out no
// order, and publishes what it then holds. It returns at once.
func (worker *worker) awaitIdle() {
	worker.lock.Lock()
	waiting := worker.busy
	worker.busy = true
	worker.lock.Unlock()
	if waiting {
		return
	}
	go func() {
		for sleep(worker.ctx, engineBackoff); worker.ctx.Err() == nil; sleep(worker.ctx, engineBackoff) {
			report, err := worker.report(worker.ctx)
			if err != nil || report.Busy {
				continue
			}
			if report.Orders >= worker.current().Orders {
				worker.applyReport(report)
			}
			break
		}
		worker.lock.Lock()
		defer worker.lock.Unlock()
		worker.busy, worker.synced = false, false
	}()
}

// claim marks the engine as occupied. It reports false if it already was.
func (worker *worker) claim() bool {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	if worker.occupied {
		return false
	}
	worker.occupied = true
	return true
}

func (worker *worker) free() {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	worker.occupied = false
}

// acquire waits until this node sends no other orders to the engine.
func (worker *worker) acquire(ctx context.Context) error {
	select {
	case worker.slot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

func (worker *worker) release() {
	<-worker.slot
}

// place evicts the victims of a step and loads its model. It returns how long the
// load took, or zero if the engine already holds the model.
func (worker *worker) place(ctx context.Context, class mimosatide.EngineClass, step Step) (time.Duration, error) {
	if err := worker.acquire(ctx); err != nil {
		return 0, errors.Trace(err)
	}
	defer worker.release()
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
		return 0, errors.Errorf("not enough memory on the engine for model %s", step.Model)
	}
	if err := worker.loadAfterUnload(ctx, step.Model); err != nil {
		return 0, errors.Annotatef(err, "loading %s", step.Model)
	}
	begun := time.Now()
	sleep(ctx, step.LoadTime)
	if step.Tier != mimosatide.TierRemote {
		// Loads from the target's own copies take the expected time, and its report
		// lags, so the new holdings are published before the report confirms them.
		sleep(ctx, localLoadMargin)
		worker.publish(withModel(worker.current(), step.Model))
	}
	err := worker.await(ctx, step.LoadTime+loadTimeoutSlack, func(report mimosatide.InstanceReport) bool {
		return holds(report.Holdings, step.Model)
	})
	if err != nil {
		return 0, errors.Trace(err)
	}
	return time.Since(begun), nil
}

// unload unloads a model from the engine. The other nodes are told before the order
// is sent, so that they stop sending requests for the model.
func (worker *worker) unload(ctx context.Context, model string) error {
	known, _, _ := worker.view()
	if !known.Holds(model) {
		return nil
	}
	worker.publish(withoutModel(known, model))
	if err := worker.order(ctx, mimosatide.ModelOrder{Kind: mimosatide.OrderUnload, Model: model}); err != nil {
		worker.publish(known)
		return errors.Trace(err)
	}
	worker.update(func(known mimosatide.Instance) mimosatide.Instance { return withoutModel(known, model) })
	return nil
}

// loadAfterUnload orders a load and retries it while the engine reports a conflict:
// the engine accepts no load while an unload waits for running requests, so its
// memory is never overcommitted.
func (worker *worker) loadAfterUnload(ctx context.Context, model string) error {
	order := mimosatide.ModelOrder{Kind: mimosatide.OrderLoad, Model: model}
	begun := time.Now()
	for {
		err := worker.order(ctx, order)
		if !errors.Is(err, errConflict) || time.Since(begun) > unloadTimeout || ctx.Err() != nil {
			return errors.Trace(err)
		}
		sleep(ctx, reportInterval)
		report, reportErr := worker.report(ctx)
		if reportErr != nil {
			return errors.Trace(reportErr)
		}
		if report.Orders > worker.current().Orders {
			return errors.Annotate(err, "the engine accepted another order in the meantime")
		}
	}
}

// await asks the engine for its report until the last accepted order is done or the
// timeout has passed.
func (worker *worker) await(ctx context.Context, timeout time.Duration, done func(mimosatide.InstanceReport) bool) error {
	var idleSince time.Time
	for begun := time.Now(); time.Since(begun) < timeout && ctx.Err() == nil; sleep(ctx, reportInterval) {
		report, err := worker.report(ctx)
		if err != nil {
			continue
		}
		known, _, _ := worker.view()
		if report.Orders < known.Orders || report.Busy {
			idleSince = time.Time{}
			continue
		}
		if !done(report) {
			if idleSince.IsZero() {
				idleSince = time.Now()
			}
			if time.Since(idleSince) > maxReportLag {
				break
			}
			continue
		}
		worker.applyReport(report)
		return nil
	}
	worker.markUnsynced()
	return errors.Timeoutf("engine %s was not seen to finish an accepted order:", worker.instance.ID)
}

// loadAdapter loads an adapter next to its model. It evicts the adapters that have
// been idle longest until there is a slot and memory for it.
func (worker *worker) loadAdapter(
	ctx context.Context, class mimosatide.EngineClass, model, adapter string, idle func(AdapterAt) time.Duration,
) error {
	if err := worker.acquire(ctx); err != nil {
		return errors.Trace(err)
	}
	defer worker.release()
	if err := worker.sync(ctx); err != nil {
		return errors.Trace(err)
	}
	known, _, _ := worker.view()
	if !known.Holds(model) || holdsAdapter(known, model, adapter) {
		return nil
	}
	for worker.adapterCount() >= class.AdapterSlots || worker.lacksMemory(class, class.Models[model].AdapterMemoryMB) {
		victim, found := worker.idlestAdapter(idle)
		if !found {
			return errors.Errorf("engine %s has no idle adapter to unload", worker.instance.ID)
		}
		order := mimosatide.ModelOrder{Kind: mimosatide.OrderUnload, Model: victim.Model, Adapter: victim.Adapter}
		worker.publish(withoutAdapter(worker.current(), victim.Model, victim.Adapter))
		if err := worker.order(ctx, order); err != nil {
			worker.publish(worker.current())
			return errors.Annotatef(err, "unloading adapter %s/%s", victim.Model, victim.Adapter)
		}
		worker.update(func(known mimosatide.Instance) mimosatide.Instance {
			return withoutAdapter(known, victim.Model, victim.Adapter)
		})
	}
	order := mimosatide.ModelOrder{Kind: mimosatide.OrderLoadAdapter, Model: model, Adapter: adapter}
	if err := worker.order(ctx, order); err != nil {
		return errors.Annotatef(err, "loading adapter %s/%s", model, adapter)
	}
	worker.update(func(known mimosatide.Instance) mimosatide.Instance {
		return withAdapter(known, model, adapter)
	})
	sleep(ctx, adapterLoadTime)
	worker.publish(worker.current())
	return nil
}

// current returns the known state of the engine.
func (worker *worker) current() mimosatide.Instance {
	known, _, _ := worker.view()
	return known
}

func (worker *worker) adapterCount() int {
	count := 0
	for _, holding := range worker.current().Holdings {
		count += len(holding.Adapters) + len(holding.LoadingAdapters)
	}
	return count
}

func (worker *worker) lacksMemory(class mimosatide.EngineClass, memoryMB float64) bool {
	return UsedMB(class, worker.current())+memoryMB > class.MemoryMB
}

// idlestAdapter returns the adapter that has been idle longest. It reports false if
// there is none or if it is in use.
func (worker *worker) idlestAdapter(idle func(AdapterAt) time.Duration) (AdapterAt, bool) {
	var candidates []AdapterAt
	for _, holding := range worker.current().Holdings {
		for _, adapter := range holding.Adapters {
			candidates = append(candidates, AdapterAt{Instance: worker.instance.ID, Model: holding.Model, Adapter: adapter})
		}
	}
	if len(candidates) == 0 {
		return AdapterAt{}, false
	}
	sort.SliceStable(candidates, func(i, j int) bool { return idle(candidates[i]) > idle(candidates[j]) })
	return candidates[0], idle(candidates[0]) > adapterInUse
}

// sync asks the engine for its report if its known state may be out of date. It
// returns errBusy while an earlier order is under way.
func (worker *worker) sync(ctx context.Context) error {
	worker.lock.Lock()
	synced := worker.synced
	worker.lock.Unlock()
	if synced {
		return nil
	}
	report, err := worker.report(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if report.Busy {
		worker.awaitIdle()
		return errors.Annotate(errBusy, worker.instance.ID)
	}
	if report.Orders < worker.current().Orders {
		worker.backOff()
		return errors.Annotate(errBusy, worker.instance.ID)
	}
	worker.applyReport(report)
	return nil
}

func (worker *worker) report(ctx context.Context) (mimosatide.InstanceReport, error) {
	if worker.paused() {
		return mimosatide.InstanceReport{}, errors.Trace(errPaused)
	}
	bounded, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	report, err := worker.engines.Report(bounded, worker.instance)
	if err != nil {
		worker.backOff()
		worker.log.Info("engine report failed", "target", worker.instance.ID, "reason", err.Error())
	}
	return report, errors.Trace(err)
}

// applyReport replaces the known state with the engine's report and publishes it.
func (worker *worker) applyReport(report mimosatide.InstanceReport) {
	worker.lock.Lock()
	worker.known.Orders = report.Orders
	worker.known.Holdings = report.Holdings
	worker.known.InMemory = report.InMemory
	worker.known.OnDisk = report.OnDisk
	worker.synced = true
	worker.placedAt = time.Now()
	known := worker.known
	worker.lock.Unlock()
	worker.publish(known)
}

func (worker *worker) update(apply func(mimosatide.Instance) mimosatide.Instance) {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	worker.known = apply(worker.known)
}

// markUnsynced makes sync ask the engine for its report again.
func (worker *worker) markUnsynced() {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	worker.synced = false
}

// backOff keeps the engine out of plans for engineBackoff.
func (worker *worker) backOff() {
	worker.lock.Lock()
	defer worker.lock.Unlock()
	worker.backoffAt = time.Now()
}
