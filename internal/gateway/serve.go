package gateway

import (
	"context"
	"net/http"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/exchange"
	"mimosatide.example/mimosatide/internal/loading"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/platform"
)

// The bounds of the sends of one request.
const (
	// maxSends bounds the sends of a request that no target has run.
	maxSends = 4
)

// passage is one request on its way through the gateway.
type passage struct {
	gate    *Gateway
	writer  http.ResponseWriter
	entry   mimosatide.Entry
	route   mimosatide.PathRoute
	service mimosatide.Service
	// eventGap is the shortest pause that a stream of the service's targets may make, zero if any is allowed.
	eventGap time.Duration
	account  mimosatide.AccountLimit
	rank     int
	version  int64
	arrived  time.Time
	deadline time.Time
	charged  float64
	digest   uint64
	// waitingSince is when the request began to wait for its model.
	waitingSince time.Time

	// tried are the targets that the request was sent to; sends and runs count
	// the sends, and those that may have run.
	tried map[string]bool
	sends int
	runs  int
	// waited is the time until the first send, held the part of it for which a long
	// prompt was held back.
	waited time.Duration
	held   time.Duration
	// instance and ticket belong to the present send.
	instance mimosatide.Instance
	ticket   *balance.InFlight
	// endUse ends the use of the adapter at the present target.
	endUse func()
	// headSent says that the answer to the caller has begun; lastEvent is its last event.
	headSent  bool
	lastEvent string
	// first is the time until the first event; eventAt is when the last one came and pause the longest time between two.
	first   time.Duration
	eventAt time.Time
	pause   time.Duration
}

// sent is the outcome of one send.
type sent struct {
	reply   *exchange.Reply
	head    platform.AnswerHead
	failure mimosatide.CallFailure
	// notRun says that the target has certainly not run the request.
	notRun bool
	detail string
	reason metric.RetryReason
	// held is the target's own answer of a failure, for when the request is not sent again.
	held *heldAnswer
}

// heldAnswer is a whole answer that was read and not yet passed on.
type heldAnswer struct {
	head platform.AnswerHead
	body []byte
}

func (outcome sent) failed() bool {
	return outcome.reply == nil
}

// serve sends the request until it is answered.
func (passage *passage) serve(ctx context.Context) {
	gate := passage.gate
	defer func() { passage.endUse() }()
	gate.Repeats.Request(passage.service.Name)
	if passage.service.Engine != nil {
		gate.Loader.Use(passage.service.Name, passage.entry.Model, passage.query().PrefillTime())
	}
	for {
		instance, refusal := passage.findRoom(ctx)
		if refusal.Refused() {
			passage.refuse(refusal.WithRun(passage.runState()))
			return
		}
		outcome := passage.send(ctx, instance)
		if !outcome.failed() {
			outcome = passage.relay(ctx, outcome)
		}
		if !outcome.failed() {
			return
		}
		if !passage.mayRepeat(ctx, outcome) {
			passage.end(ctx, outcome)
			return
		}
		gate.Meter.CountRetry(outcome.reason)
	}
}

func (passage *passage) runState() mimosatide.RunState {
	if passage.runs > 0 {
		return mimosatide.RunUnknown
	}
	return mimosatide.NotRun
}

// send sends the request to a target and judges the head of its answer.
func (passage *passage) send(ctx context.Context, instance mimosatide.Instance) sent {
	passage.instance = instance
	passage.tried[instance.ID] = true
	passage.sends++
	if passage.sends == 1 {
		passage.waited = time.Since(passage.arrived)
	}
	query := passage.query()
	passage.ticket = passage.gate.Tracker.Begin(instance.ID, query, time.Now())
	if passage.entry.Adapter != "" {
		passage.endUse()
		passage.endUse = passage.gate.Loader.UseAdapter(passage.service.Name, loading.AdapterAt{
			Instance: instance.ID, Model: passage.entry.Model, Adapter: passage.entry.Adapter,
		})
	}
	lastEvent := passage.lastEvent
	if lastEvent == "" {
		lastEvent = passage.entry.LastEvent
	}
	message := platform.AppendOffer(nil, platform.Offer{
		Entry:     passage.entry,
		Instance:  instance.ID,
		Account:   passage.account.Name,
		Left:      time.Until(passage.deadline),
		Priority:  passage.engineRank(),
		LastEvent: lastEvent,
	})
	reply, failure, err := passage.gate.Exchange.Send(ctx, exchange.Call{
		Address:    instance.Address,
		Method:     passage.entry.Method,
		Message:    message,
		LimitReuse: !passage.route.Repeatable(),
	})
	if failure != mimosatide.CallSucceeded {
		if failure != mimosatide.CallNotSent {
			passage.runs++
		}
		if failure == mimosatide.CallCut {
			go passage.gate.checkCrash(passage.digest, passage.entry.ID, instance)
		}
		return passage.failed(ctx, failure, err.Error())
	}
	return passage.judge(reply)
}

// engineRank is the rank that an engine is told; a plain service is told none.
func (passage *passage) engineRank() int {
	if passage.service.Engine == nil {
		return -1
	}
	return passage.rank
}

// failed ends a send that brought no answer.
func (passage *passage) failed(ctx context.Context, failure mimosatide.CallFailure, detail string) sent {
	outcome := sent{failure: failure, detail: detail, reason: metric.RetryCut}
	if failure == mimosatide.CallNotSent {
		outcome.notRun = true
		outcome.reason = metric.RetryNotSent
	}
	if ctx.Err() != nil {
		passage.ticket.End(balance.Withdrawn, time.Now())
	} else {
		passage.ticket.End(balance.Failed, time.Now())
	}
	return outcome
}

// checkCrash notes a request whose target can't be reached after it broke off.
func (gate *Gateway) checkCrash(digest uint64, request string, instance mimosatide.Instance) {
	if gate.Exchange.Reachable(instance.Address) {
		return
	}
	count := gate.Suspects.Crashed(digest, time.Now())
	gate.log.Info("target crashed under a request", "request", request, "target", instance.ID, "crashes", count)
}

// judge looks at the head of an answer: whose it is, and whether the target ran the request.
func (passage *passage) judge(reply *exchange.Reply) sent {
	head := platform.DecodeAnswerHead(reply.Response)
	if head.NotRun && (head.RequestID == "" || head.RequestID == passage.entry.ID) {
		reply.Close(drained(reply))
		outcome := sent{failure: mimosatide.CallCut, notRun: true, detail: http.StatusText(head.Status), reason: metric.RetryBusy}
		if head.Status == http.StatusMisdirectedRequest {
			outcome.reason = metric.RetryNotLoaded
			passage.refute()
		}
		passage.ticket.End(balance.Busy, time.Now())
		return outcome
	}
	detail := ""
	switch {
	case head.RequestID != passage.entry.ID:
		detail = "the answer belongs to another request"
	case head.Encoded:
		detail = "the answer is encoded"
	case head.Status < http.StatusMultipleChoices && !head.Signed:
		detail = "the answer is not signed"
	}
	if detail != "" {
		reply.Abort()
		passage.runs++
		passage.ticket.End(balance.Failed, time.Now())
		return sent{failure: mimosatide.CallMismatched, detail: detail, reason: metric.RetryMismatch}
	}
	passage.runs++
	return sent{reply: reply, head: head}
}

// refute notes that the target lacks what the request needs, so that the request
// waits for it or goes elsewhere instead of asking the same target again.
func (passage *passage) refute() {
	if passage.service.Engine == nil {
		return
	}
	passage.gate.Targets.Refute(passage.instance.ID, passage.entry.Model, passage.entry.Adapter, time.Now())
}

// mayRepeat says whether the request may be sent once more.
func (passage *passage) mayRepeat(ctx context.Context, outcome sent) bool {
	if ctx.Err() != nil || passage.sends >= maxSends || passage.gate.Suspects.Suspect(passage.digest) {
		return false
	}
	if outcome.failure == mimosatide.CallNotSent {
		return true
	}
	if passage.runs > 0 && (!passage.route.Repeatable() || passage.runs >= passage.route.Attempts) {
		return false
	}
	return passage.gate.Repeats.Take(passage.service.Name)
}

// end answers a request that is not sent again: with its target's own failure, if it has one.
func (passage *passage) end(ctx context.Context, outcome sent) {
	if outcome.held == nil {
		passage.giveUp(ctx, outcome)
		return
	}
	passage.writeWhole(outcome.held)
	passage.gate.Meter.ObserveAnswer(time.Since(passage.arrived))
	passage.log(outcome.held.head.Status, "FailedByTarget", "")
}

// giveUp answers a request that can't be sent again.
func (passage *passage) giveUp(ctx context.Context, outcome sent) {
	if passage.headSent {
		passage.abort(outcome)
	}
	refusal := mimosatide.Refuse(mimosatide.ReasonTargetFailed, outcome.detail).WithRun(passage.runState())
	switch {
	case ctx.Err() == context.Canceled:
		refusal.Reason = mimosatide.ReasonCallerGone
	case ctx.Err() != nil:
		refusal.Reason = mimosatide.ReasonWaitExpired
	case refusal.Run == mimosatide.NotRun:
		refusal.Reason = mimosatide.ReasonOverloaded
		refusal.RetryAfter = capacityRetry
	}
	passage.refuse(refusal)
}
