package gateway

import (
	"context"
	"sync"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/metric"
)

// maxTimerDelay is how late a timer may fire before the process itself counts as held up: all targets look stalled
// then. A host with a share of a processor gets its time in periods of 100 ms.
const maxTimerDelay = 100 * time.Millisecond

// movedDetail describes the end of a send that was given up because its target stalled.
const movedDetail = "the target sent no first event and the request was moved to another one"

// stallWatch gives up a send to a target that has sent no first event for too long. The lock is held while it
// decides, so that the request either gets its first event or is moved.
type stallWatch struct {
	lock   sync.Mutex
	timer  *time.Timer
	cancel context.CancelFunc
	hang   balance.Hang
	// planned is when the timer is to fire.
	planned time.Time
	ended   bool
	moved   bool
}

// watchStall watches a send that begins now, and returns its context. A request is only moved if it may run
// more than once, none of its answer has reached the caller and its target's pace is known.
func (handler *requestHandler) watchStall(ctx context.Context) context.Context {
	handler.watch = nil
	if !handler.tellsPace() || handler.headSent || handler.continues || handler.route.LatencyObjective <= 0 || !handler.mayRunAgain() {
		return ctx
	}
	usual, known := handler.inFlight.UsualTime()
	if !known {
		return ctx
	}
	watched, cancel := context.WithCancel(ctx)
	now := time.Now()
	watch := &stallWatch{cancel: cancel, hang: balance.Hang{
		Arrived: handler.arrived, Sent: now, Leaves: handler.leavesAt(handler.arrived),
		Objective: handler.route.LatencyObjective, Engine: handler.service.Engine != nil, Usual: usual,
	}}
	watch.lock.Lock()
	defer watch.lock.Unlock()
	handler.watch = watch
	watch.planned = watch.hang.Due()
	watch.timer = time.AfterFunc(watch.planned.Sub(now), func() { handler.checkStall(watch) })
	return watched
}

// mayRunAgain reports whether the request may be sent again even if the target of the current send runs it.
func (handler *requestHandler) mayRunAgain() bool {
	return handler.route.Repeatable() && handler.possibleRuns+1 < handler.route.Attempts && handler.sends < maxSends
}

// checkStall gives up the send if the request is served sooner elsewhere. It runs beside the request's goroutine,
// which changes none of the fields that are read here before the end of the watch.
func (handler *requestHandler) checkStall(watch *stallWatch) {
	watch.lock.Lock()
	defer watch.lock.Unlock()
	if watch.ended {
		return
	}
	now := time.Now()
	wait := watch.hang.NextCheck(now)
	if late := now.Sub(watch.planned); late > maxTimerDelay {
		watch.hang.Sent = watch.hang.Sent.Add(late)
		wait = max(wait, late)
	} else if other, expected, found := handler.findElsewhere(now); found && watch.hang.Moves(expected, now) &&
		!handler.quarantined() && handler.gateway.RetryBudget.TakeRetry(handler.service.Name) {
		watch.ended, watch.moved = true, true
		handler.gateway.log.Info("request moved from a stalled target", "request", handler.request.ID, "target", handler.instance.ID,
			"service", handler.service.Name, "other", other.ID, "expectedThere", expected, "usual", watch.hang.Usual,
			"after", now.Sub(watch.hang.Sent))
		watch.cancel()
		return
	}
	watch.planned = now.Add(wait)
	watch.timer.Reset(wait)
}

// findElsewhere returns the best target that the request has not been sent to and that can serve it at once, and
// the expected time to the first byte there.
func (handler *requestHandler) findElsewhere(now time.Time) (mimosatide.Instance, time.Duration, bool) {
	candidates := handler.candidates()
	if handler.service.Engine != nil {
		_, candidates = balance.Ready(handler.request, candidates)
	}
	candidates, _ = handler.gateway.Tracker.Unpaused(candidates, now)
	other, expected, found := handler.gateway.Tracker.Choose(handler.query(), candidates, now)
	if !found || handler.tried[other.ID] || handler.triedAddresses[other.Address] || handler.limited(other) {
		return mimosatide.Instance{}, 0, false
	}
	return other, expected, true
}

// endWatch ends the watch of the current send, and reports whether the request was moved before.
func (handler *requestHandler) endWatch() bool {
	if handler.watch == nil {
		return false
	}
	handler.watch.lock.Lock()
	defer handler.watch.lock.Unlock()
	handler.watch.ended = true
	handler.watch.timer.Stop()
	return handler.watch.moved
}

// releaseWatch releases the context of the watched send, whose answer is relayed or given up.
func (handler *requestHandler) releaseWatch() {
	if handler.endWatch(); handler.watch != nil {
		handler.watch.cancel()
	}
}

// failMoved ends a send that was given up because its target stalled, after failure. Its connection is closed.
func (handler *requestHandler) failMoved(failure mimosatide.CallFailure) sendOutcome {
	handler.inFlight.End(balance.Stalled, time.Now())
	return sendOutcome{
		failure: failure, notRun: failure == mimosatide.CallNotSent, detail: movedDetail, reason: metric.RetryStall, moved: true,
	}
}
