package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/buffer"
	"mimosatide.example/mimosatide/internal/exchange"
	"mimosatide.example/mimosatide/internal/loading"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/internal/quarantine"
	"mimosatide.example/mimosatide/platform"
)

const (
	// maxSends is the largest number of sends of one request, including those that no
	// target ran. The route's Attempts bounds those that may have run.
	maxSends = 4
)

// requestHandler is the state of one request while it is served.
type requestHandler struct {
	gateway *Gateway
	writer  http.ResponseWriter
	// incoming is the request as the server has it, with the body.
	incoming *http.Request
	// bodyPending says that the body has not been read to its end.
	bodyPending bool
	// bodyLimit is the size of the largest body; zero before it is known.
	bodyLimit int64
	request   mimosatide.CallerRequest
	route     mimosatide.PathRoute
	service   mimosatide.Service
	// gapObjective is the longest gap between two events that the streams of the
	// service's targets may have; zero if there is no such objective.
	gapObjective time.Duration
	account      mimosatide.AccountLimit
	priority     int
	// triaged says that the routes to the service differ in rank, so that requests are ordered by it.
	triaged bool
	// version is that of the configuration, versionAge the age of this node's copy of it.
	version       int64
	versionAge    time.Duration
	arrived       time.Time
	deadline      time.Time
	chargedTokens float64
	features      quarantine.Features
	// sent is when the current send began.
	sent time.Time
	// waitingSince is when the request began to wait for its model.
	waitingSince time.Time
	// loadRequested says that the owner of the targets was told that the request needs its model.
	loadRequested bool

	// tried are the ids of the targets that the request was sent to, triedAddresses their
	// addresses: a target may have another id at the same address.
	tried          map[string]bool
	triedAddresses map[string]bool
	// sends counts all sends, possibleRuns those that a target may have run.
	sends        int
	possibleRuns int
	// waited is the time from arrival to the first send, deferred the part of it in
	// which a long prompt was deferred.
	waited   time.Duration
	deferred time.Duration
	// instance and inFlight belong to the current send.
	instance mimosatide.Instance
	inFlight *balance.InFlight
	// watch gives up the current send if its target stalls; nil if the request may not be moved.
	watch *stallWatch
	// releaseAdapter ends the use of the adapter at the current target.
	releaseAdapter func()
	// answerBegan is when the current target began to send its answer, after the head.
	// acquitted says that a target has answered the request without a crash.
	answerBegan time.Time
	acquitted   bool
	// buffer holds the current target's answer, or an event of it.
	buffer *buffer.Buffer
	// continues says that the request goes on with a stream that targets of version software
	// have begun, within this answer or another.
	continues bool
	software  string
	// began is the target that has sent the first event of the stream that the request begins.
	began mimosatide.Instance
	// confirmedAt is when the target's incarnation was asked for before a stream goes on there.
	confirmedAt time.Time
	// headSent says that the answer to the caller has begun.
	headSent    bool
	lastEventID string
	// firstEvent is the time from arrival to the first event.
	firstEvent    time.Duration
	lastEventTime time.Time
	longestGap    time.Duration
}

// sendOutcome is the result of one send.
type sendOutcome struct {
	// reply is nil if the send failed.
	reply   *exchange.Reply
	head    platform.AnswerHead
	failure mimosatide.CallFailure
	// notRun says that the target certainly did not run the request.
	notRun bool
	detail string
	reason metric.RetryReason
	// moved says that the send was given up for another target, and a retry was taken for it.
	moved bool
	// targetAnswer is the target's own error answer; the caller gets it if the
	// request is not retried.
	targetAnswer *bufferedAnswer
}

// bufferedAnswer is a complete answer that has not been sent to the caller. Its body is
// the request's buffer.
type bufferedAnswer struct {
	head platform.AnswerHead
	body *buffer.Buffer
}

func (outcome sendOutcome) failed() bool {
	return outcome.reply == nil
}

// serve sends the request to targets until it is answered or may not be retried.
func (handler *requestHandler) serve(ctx context.Context) {
	gateway := handler.gateway
	defer func() { handler.releaseAdapter() }()
	defer func() { handler.releaseWatch() }()
	handler.buffer = gateway.Answers.NewBuffer(maxBufferedBytes)
	defer handler.buffer.Release()
	gateway.RetryBudget.RecordRequest(handler.service.Name)
	if handler.service.Engine != nil {
		gateway.Loader.RecordUsage(handler.service.Name, handler.request.Model, handler.query().PrefillTime())
	}
	if refusal := handler.bindSoftware(ctx); refusal.Refused() {
		handler.refuse(refusal)
		return
	}
	for {
		instance, refusal := handler.selectTarget(ctx)
		if refusal.Refused() {
			handler.refuse(refusal.WithRun(handler.runState()))
			return
		}
		if handler.quarantined() {
			handler.refuse(poisonRefusal().WithRun(handler.runState()))
			return
		}
		// What the request waited for may have lasted until now.
		if handler.possibleRuns == 0 && handler.endsTooSoon() {
			handler.refuse(drainRefusal())
			return
		}
		outcome := handler.send(ctx, instance)
		if !outcome.failed() {
			outcome = handler.relay(ctx, outcome)
		}
		if !outcome.failed() {
			return
		}
		handler.releaseWatch()
		if !handler.checkOrigin(ctx) || !handler.mayRetry(ctx, outcome) {
			handler.answerFailure(ctx, outcome)
			return
		}
		handler.buffer.Reset()
		gateway.Meter.CountRetry(outcome.reason)
	}
}

func (handler *requestHandler) runState() mimosatide.RunState {
	if handler.possibleRuns > 0 {
		return mimosatide.RunUnknown
	}
	return mimosatide.NotRun
}

// send sends the request to a target, skips late answers to earlier requests and checks the
// head of the answer.
func (handler *requestHandler) send(ctx context.Context, instance mimosatide.Instance) sendOutcome {
	handler.instance = instance
	handler.sent = time.Now()
	repeated := handler.triedAddresses[instance.Address]
	handler.tried[instance.ID], handler.triedAddresses[instance.Address] = true, true
	handler.sends++
	handler.recordSend(instance)
	handler.answerBegan = time.Time{}
	if handler.sends == 1 {
		handler.waited = time.Since(handler.arrived)
	}
	query := handler.query()
	handler.inFlight = handler.gateway.Tracker.Begin(instance.ID, query, time.Now())
	if handler.request.Adapter != "" {
		handler.releaseAdapter()
		handler.releaseAdapter = handler.gateway.Loader.UseAdapter(handler.service.Name, loading.AdapterAt{
			Instance: instance.ID, Model: handler.request.Model, Adapter: handler.request.Adapter,
		})
	}
	handler.confirmedAt = time.Time{}
	if err := handler.confirmIncarnation(ctx, instance); err != nil {
		handler.inFlight.End(balance.Withdrawn, time.Now())
		return handler.failSend(ctx, mimosatide.CallNotSent, err.Error())
	}
	lastEvent := handler.lastEventID
	if lastEvent == "" {
		lastEvent = handler.request.LastEvent
	}
	message := platform.AppendTargetHeader(nil, platform.TargetRequest{
		CallerRequest:  handler.request,
		Instance:       instance.ID,
		Account:        handler.account.Name,
		TimeToDeadline: time.Until(handler.deadline),
		Priority:       handler.enginePriority(),
		LastEvent:      lastEvent,
	})
	if handler.tellsPace() {
		handler.inFlight.MarkSent(instance, time.Now())
	}
	watched := handler.watchStall(ctx)
	reply, failure, err := handler.gateway.Client.Send(watched, exchange.Call{
		Address:       instance.Address,
		Method:        handler.request.Method,
		Request:       handler.request.ID,
		Message:       message,
		Body:          handler.request.Body,
		LimitReuse:    !handler.route.Repeatable(),
		NewConnection: repeated,
		Permitted: func() bool {
			return handler.gateway.permits(instance) && !handler.quarantined() && handler.isConfirmed()
		},
	})
	if failure != mimosatide.CallSucceeded {
		if failure != mimosatide.CallNotSent {
			handler.possibleRuns++
		}
		if handler.endWatch() && ctx.Err() == nil {
			return handler.failMoved(failure)
		}
		handler.countOversize(err, metric.OversizeHead)
		handler.countBroken(err)
		if failedDial(err) && ctx.Err() == nil {
			handler.recordNotLoaded()
		}
		if errors.Is(err, exchange.ErrNotPermitted) {
			handler.inFlight.End(balance.Withdrawn, time.Now())
		}
		return handler.failSend(ctx, failure, err.Error())
	}
	if err := handler.skipLateAnswers(reply); err != nil {
		reply.Abort()
		handler.possibleRuns++
		if handler.endWatch() && ctx.Err() == nil {
			return handler.failMoved(mimosatide.CallCut)
		}
		handler.countBroken(err)
		return handler.failSend(ctx, mimosatide.CallCut, err.Error())
	}
	outcome := handler.checkAnswer(reply)
	if outcome.failed() || handler.streams(outcome) || !handler.endWatch() {
		return outcome
	}
	outcome.reply.Abort()
	return handler.failMoved(mimosatide.CallCut)
}

// tellsPace reports whether the time until the answer tells the target's pace: that of an engine's
// first event depends on the prompt, that of its other answers on their length, and that of a
// stream that goes on also on what came before.
func (handler *requestHandler) tellsPace() bool {
	if handler.service.Engine == nil {
		return true
	}
	return handler.route.Kind == mimosatide.StreamRoute && handler.lastEventID == "" && handler.request.LastEvent == ""
}

// failedDial reports whether a send failed because no connection to the target could be opened.
func failedDial(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// permits reports whether a target may still be sent requests: its incarnation is known, does
// not leave, is in no evacuated zone and has not asked this node for a pause.
func (gateway *Gateway) permits(instance mimosatide.Instance) bool {
	known, found := gateway.Targets.View().Instance(instance.ID)
	return found && !known.Leaving && !known.Evacuated && known.Born.Equal(instance.Born) &&
		gateway.Tracker.PausedUntil(instance, time.Now()).IsZero()
}

// recordWishes records what an answer says about further requests: that its target
// leaves, or that it wants none for some time.
func (handler *requestHandler) recordWishes(wishes platform.Wishes) {
	now := time.Now()
	if wishes.Leaving {
		handler.gateway.Targets.MarkLeaving(handler.instance, now)
	}
	if wishes.Pause > 0 {
		handler.gateway.Tracker.Pause(handler.instance, now.Add(wishes.Pause), now)
		handler.gateway.log.Info("target asks for a pause", "target", handler.instance.ID, "service", handler.service.Name,
			"request", handler.request.ID, "pause", wishes.Pause)
	}
	if wishes.Cold > 0 {
		handler.gateway.Targets.MarkCold(handler.instance, now.Add(wishes.Cold), now)
	}
	if wishes.Rate > 0 && handler.gateway.Limits.Name(handler.instance, wishes.Rate, now) {
		handler.gateway.log.Info("target names a limit", "target", handler.instance.ID, "service", handler.service.Name,
			"request", handler.request.ID, "rate", wishes.Rate)
	}
}

// recordUnlimited records that the target's own answer to the request names no limit.
func (handler *requestHandler) recordUnlimited() {
	if handler.gateway.Limits.End(handler.instance, handler.sent, time.Now()) {
		handler.gateway.log.Info("target names no limit any more", "target", handler.instance.ID, "service", handler.service.Name,
			"request", handler.request.ID)
	}
}

// enginePriority returns the priority that is sent to an engine; -1 sends none to a
// plain service.
func (handler *requestHandler) enginePriority() int {
	if handler.service.Engine == nil {
		return -1
	}
	return handler.priority
}

// failSend ends a send without an answer. It counts against the target unless the
// request's context has ended. A crash is checked for before the request may be retried.
func (handler *requestHandler) failSend(ctx context.Context, failure mimosatide.CallFailure, detail string) sendOutcome {
	outcome := sendOutcome{failure: failure, detail: detail, reason: metric.RetryCut}
	if failure == mimosatide.CallNotSent {
		outcome.notRun = true
		outcome.reason = metric.RetryNotSent
	}
	if ctx.Err() != nil {
		handler.inFlight.End(balance.Withdrawn, time.Now())
	} else {
		handler.inFlight.End(balance.Failed, time.Now())
	}
	if failure == mimosatide.CallCut {
		handler.checkCrash(ctx)
	}
	return outcome
}

// recordNotLoaded records that the target lacks the request's model or adapter, or can't be
// reached, so that the request waits for the load or goes to another target instead of being
// sent to the same target again.
func (handler *requestHandler) recordNotLoaded() {
	if handler.service.Engine == nil {
		return
	}
	handler.gateway.Targets.Refute(handler.instance.ID, handler.request.Model, handler.request.Adapter, time.Now())
}

// mayRetry reports whether the request may be sent again. Unless no byte of it reached
// the target, the retry is taken from the service's retry budget; that of a moved request has
// been taken.
func (handler *requestHandler) mayRetry(ctx context.Context, outcome sendOutcome) bool {
	if ctx.Err() != nil || handler.sends >= maxSends || handler.quarantined() {
		return false
	}
	if handler.continues && !handler.gateway.Origins.Continues(handler.service.Name, handler.software) {
		return false
	}
	if outcome.moved || outcome.failure == mimosatide.CallNotSent {
		return true
	}
	if handler.possibleRuns > 0 && (!handler.route.Repeatable() || handler.possibleRuns >= handler.route.Attempts) {
		return false
	}
	return handler.gateway.RetryBudget.TakeRetry(handler.service.Name)
}

// answerFailure answers a request that is not retried: with the target's error
// answer if there is one, otherwise with a refusal.
func (handler *requestHandler) answerFailure(ctx context.Context, outcome sendOutcome) {
	if outcome.targetAnswer == nil {
		handler.refuseFailed(ctx, outcome)
		return
	}
	handler.writeBuffered(outcome.targetAnswer)
	handler.gateway.Meter.ObserveAnswer(time.Since(handler.arrived))
	handler.log(outcome.targetAnswer.head.Status, "FailedByTarget", "")
}

// refuseFailed refuses a request whose last send failed, or aborts its answer if
// that has begun.
func (handler *requestHandler) refuseFailed(ctx context.Context, outcome sendOutcome) {
	if handler.headSent {
		handler.abort(outcome)
	}
	refusal := mimosatide.Refuse(mimosatide.ReasonTargetFailed, outcome.detail).WithRun(handler.runState())
	switch {
	case ctx.Err() == context.Canceled:
		refusal.Reason = mimosatide.ReasonCallerGone
	case ctx.Err() != nil:
		refusal.Reason = mimosatide.ReasonWaitExpired
	case handler.quarantined():
		refusal = poisonRefusal().WithRun(refusal.Run)
	case refusal.Run == mimosatide.NotRun:
		refusal.Reason = mimosatide.ReasonOverloaded
		refusal.RetryAfter = noCapacityRetryAfter
	}
	handler.refuse(refusal)
}
