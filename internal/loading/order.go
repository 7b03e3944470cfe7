package loading

import (
	"context"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

const (
	// orderSends is how often an order is sent at most within engineTimeout.
	orderSends = 3
	// orderResendDelay is how long an order may stay without an answer before it is sent
	// again beside the first send: an engine accepts or refuses an order within milliseconds.
	orderResendDelay = engineTimeout / (orderSends + 1)
)

// order gives the engine one order on the condition that the engine has accepted no order
// that this node does not know of. It returns nil only if the engine has accepted the order.
func (worker *worker) order(ctx context.Context, order mimosatide.ModelOrder) error {
	fencingToken, held := worker.fencingToken()
	if !held {
		return errors.Trace(errNotHolder)
	}
	if worker.paused() {
		return errors.Trace(errPaused)
	}
	if worker.late.expected(worker.instance.ID, fencingToken) {
		return errors.Trace(errLateOrder)
	}
	order.Holder = worker.holder
	order.FencingToken = fencingToken
	order.After = worker.current().Orders
	outcome, sends, err := worker.send(ctx, order)
	if outcome == mimosatide.OrderConflict && sends > 1 && worker.carriesOut(ctx, order) {
		outcome = mimosatide.OrderAccepted
	}
	worker.log.Info("order", "target", worker.instance.ID, "kind", order.Kind, "model", order.Model, "adapter", order.Adapter,
		"after", order.After, "term", order.FencingToken, "sends", sends, "outcome", outcome, "reason", errorText(err))
	switch outcome {
	case mimosatide.OrderAccepted, mimosatide.OrderHolds:
		worker.update(func(known mimosatide.Instance) mimosatide.Instance {
			known.Orders = order.After + 1
			return known
		})
		return nil
	case mimosatide.OrderUnknown:
		worker.markUnsynced()
		worker.backOff()
		return errors.Trace(err)
	case mimosatide.OrderConflict:
		worker.markUnsynced()
		return errors.Annotate(errConflict, worker.instance.ID)
	default:
		worker.markUnsynced()
		worker.backOff()
		return errors.Errorf("engine %s refused the order: %s", worker.instance.ID, outcome)
	}
}

// sendResult is the outcome of one send of an order.
type sendResult struct {
	outcome mimosatide.OrderOutcome
	err     error
}

// send sends an order until the engine answers, at most orderSends times, and returns how
// often. All sends have the same condition, so that the engine carries out at most one.
func (worker *worker) send(ctx context.Context, order mimosatide.ModelOrder) (mimosatide.OrderOutcome, int, error) {
	bounded, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	results := make(chan sendResult, orderSends)
	resend := time.NewTicker(orderResendDelay)
	defer resend.Stop()
	sends, ended := 0, 0
	start := func() {
		sends++
		worker.recordOrder()
		end := worker.late.begin(worker.instance.ID, order.FencingToken)
		go func() {
			outcome, err := worker.engines.Order(bounded, worker.instance, order)
			end(outcome != mimosatide.OrderUnknown)
			results <- sendResult{outcome: outcome, err: err}
		}()
	}
	start()
	for {
		select {
		case result := <-results:
			ended++
			if result.outcome != mimosatide.OrderUnknown || ended == sends {
				return result.outcome, sends, result.err
			}
		case <-resend.C:
			if sends < orderSends && worker.mayOrder(order) {
				start()
			}
		}
	}
}

// mayOrder reports whether an order may still be sent: this node has the same fencing token
// and the engine has not asked for a pause.
func (worker *worker) mayOrder(order mimosatide.ModelOrder) bool {
	fencingToken, held := worker.fencingToken()
	return held && fencingToken == order.FencingToken && !worker.paused()
}

// carriesOut reports whether the engine has accepted exactly one order after those that the
// order's condition names, and shows its effect. Where engines don't check fencing tokens it
// may be a late order of an earlier holder otherwise.
func (worker *worker) carriesOut(ctx context.Context, order mimosatide.ModelOrder) bool {
	report, err := worker.report(ctx)
	if err != nil || report.Orders != order.After+1 {
		return false
	}
	instance := mimosatide.Instance{Holdings: report.Holdings}
	switch {
	case order.Kind == mimosatide.OrderLoadAdapter:
		return holdsAdapter(instance, order.Model, order.Adapter)
	case order.Adapter != "":
		return !holdsAdapter(instance, order.Model, order.Adapter)
	case order.Kind == mimosatide.OrderLoad:
		return report.Busy || instance.Holds(order.Model)
	default:
		return report.Busy || !instance.Holds(order.Model)
	}
}
