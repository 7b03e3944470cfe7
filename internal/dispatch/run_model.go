package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/metric"
)

// modelRun is the state of one model request.
type modelRun struct {
	service *Service
	request Request
	onEvent func(mimosatide.Event) error
	// sent says that an attempt was made before.
	sent bool
	// delivered is the index of the last event that was passed to the caller.
	delivered int
	// events is the number of events passed to the caller, without the final one.
	events int
	// coldStart is set when no replica was ready on arrival.
	coldStart bool
	// mayHaveRun is set once an attempt may have reached a target.
	mayHaveRun bool
	// stopReason is why this node ended the answer, if it did.
	stopReason mimosatide.Reason
}

// RunModel serves a request to a model. It passes each event of the answer to
// onEvent, whose error ends the request.
func (service *Service) RunModel(ctx context.Context, request Request, onEvent func(mimosatide.Event) error) Result {
	ctx, end, refusal := service.admit(ctx, request)
	if refusal.Refused() {
		result := refused(refusal)
		service.recordResult(request, result)
		return result
	}
	defer end()
	result := service.serveModel(ctx, &modelRun{service: service, request: request, onEvent: onEvent})
	service.recordResult(request, result)
	return result
}

// serveModel runs an admitted request until it is answered, refused or out of attempts.
func (service *Service) serveModel(ctx context.Context, run *modelRun) Result {
	if refusal := service.checkRate(run.request); refusal.Refused() {
		return refused(refusal)
	}
	waiter := &waiter{request: run.request, granted: make(chan grant, 1), failed: map[string]time.Duration{}}
	run.coldStart = !service.hasCandidate(run.request)
	for attempt := 1; ; attempt++ {
		granted, refusal := service.acquire(ctx, waiter)
		if refusal.Refused() {
			return refused(refusal.WithRun(run.runState()))
		}
		if refusal := service.recheckAdmission(run.request); refusal.Refused() {
			service.releaseGrant(run, granted, 0)
			return refused(refusal.WithRun(run.runState()))
		}
		if attempt == 1 {
			service.recordWait(run.request, service.clock.Now()-run.request.Arrived)
			service.earnRetries(run.request.Account.Name, granted.candidate.Target)
		}
		answer, tokens := run.send(ctx, granted)
		service.releaseGrant(run, granted, tokens)
		if answer.Failure == mimosatide.CallSucceeded && !isEngineRefusal(answer) {
			return Result{Answer: answer, Tokens: tokens}
		}
		retry, result := run.handleFailure(ctx, granted, answer, attempt)
		if !retry {
			return result
		}
		waiter.failed[granted.candidate.Target] = service.clock.Now()
		waiter.granted = make(chan grant, 1)
	}
}

// isEngineRefusal reports whether the status means that the engine did not run the request.
func isEngineRefusal(answer mimosatide.Answer) bool {
	switch answer.Status {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// runState returns whether the request may have run so far.
func (run *modelRun) runState() mimosatide.RunState {
	if run.mayHaveRun {
		return mimosatide.RunUnknown
	}
	return mimosatide.NotRun
}

// hasCandidate reports whether a replica that can run the request is known to be ready.
func (service *Service) hasCandidate(request Request) bool {
	service.lock.Lock()
	defer service.lock.Unlock()
	modelQueue, known := service.modelQueues[request.Model.Name]
	return known && len(service.candidates(modelQueue, request)) > 0
}

// checkRate refuses a request at once that the account's rate and burst can't
// cover within the wait limit.
func (service *Service) checkRate(request Request) mimosatide.Refusal {
	account := request.Account
	if request.Tokens > service.limiter.FleetCeiling(account) {
		return mimosatide.Refuse(mimosatide.ReasonLargerThanBurst, "the request may cost more tokens than the account's burst")
	}
	service.lock.Lock()
	defer service.lock.Unlock()
	queued := 0.0
	for _, modelQueue := range service.modelQueues {
		_, tokens := modelQueue.pending.Waiting(account.Name)
		queued += tokens
	}
	// Any node may lend its tokens, so that only the fleet-wide rate bounds the wait.
	wait := time.Duration((queued + request.Tokens - service.limiter.FleetCeiling(account)) / account.Rate * float64(time.Second))
	if wait <= request.WaitLimit {
		return mimosatide.Refusal{}
	}
	return mimosatide.Refuse(mimosatide.ReasonOverRate, "the account's waiting requests use up its rate for longer than the wait limit").
		WithRetryAfter(wait - request.WaitLimit)
}

// recheckAdmission checks that a request may still run after it has waited or an
// attempt has failed.
func (service *Service) recheckAdmission(request Request) mimosatide.Refusal {
	if reason := service.gate.Admit(request.Key, request.Account.Name); reason != "" {
		return mimosatide.Refuse(reason, "the key's request may not run any more")
	}
	service.lock.Lock()
	defer service.lock.Unlock()
	if service.crashTracker.IsPoison(service.clock.Now(), request.Digest) {
		return mimosatide.Refuse(mimosatide.ReasonPoisonRequest, "targets have crashed under this request")
	}
	return mimosatide.Refusal{}
}

// releaseGrant frees the slot and refunds the unused tokens. Borrowed tokens count
// as spent first and are not refunded.
func (service *Service) releaseGrant(run *modelRun, granted grant, tokens float64) {
	now := service.clock.Now()
	borrowed := run.request.Tokens - granted.receipt.Tokens()
	unused := granted.receipt.Tokens() - max(0, tokens-borrowed)
	service.limiter.Refund(now, run.request.Account.Name, granted.receipt, unused)
	service.lock.Lock()
	defer service.lock.Unlock()
	modelQueue := service.queueFor(run.request.Model)
	modelQueue.releaseSlot(granted.candidate.Placement)
	service.crashTracker.Finish(granted.candidate.Target, run.request.Digest)
	if tokens > 0 {
		service.affinity.record(run.request, granted.candidate.Target)
	}
	service.grantSlots(modelQueue)
}

// send runs the request at a replica and returns the answer and its cost in tokens.
// It resumes a broken stream while the replica still has the request.
func (run *modelRun) send(ctx context.Context, granted grant) (mimosatide.Answer, float64) {
	service := run.service
	service.journalDecision(run.request, "Sent", "", "Target", granted.candidate.Target, "Placement", granted.candidate.Placement)
	call := mimosatide.Call{
		Request:      run.request.ID,
		Placement:    granted.candidate.Placement,
		Method:       http.MethodPost,
		Path:         run.request.Path,
		Headers:      run.request.Headers,
		Body:         run.request.Body,
		Priority:     run.request.Account.Priority,
		FencingToken: granted.candidate.FencingToken,
		Stream:       true,
		// A rejection of an earlier attempt names this request too.
		FreshConnection: run.sent,
	}
	run.sent = true
	callCtx, firstEventTimer := run.withFirstEventTimeout(ctx)
	defer firstEventTimer.Stop()
	answer := service.targets.Run(callCtx, granted.spec, call, run.forwardEvents(ctx, firstEventTimer))
	for resumes := 0; resumes < maxAttempts && run.stopReason == "" && resumable(answer.Failure) && callCtx.Err() == nil; resumes++ {
		service.meter.CountRetry(metric.RetryResume)
		service.journalDecision(run.request, "Resumed", string(answer.Failure), "Target", granted.candidate.Target)
		answer = service.targets.Run(callCtx, granted.spec, run.resumeCall(call), run.forwardEvents(ctx, firstEventTimer))
		if answer.Failure == mimosatide.CallNotSent || answer.Failure == mimosatide.CallSucceeded && answer.Status != http.StatusOK {
			// The answer to the resumption says nothing about the request, which may have run.
			answer = mimosatide.Answer{
				Failure: mimosatide.CallCut, Detail: "the stream could not be resumed: status " + strconv.Itoa(answer.Status),
			}
			break
		}
	}
	if run.stopReason == "" && ctx.Err() == nil {
		service.recordAnswer(granted.candidate.Target, answer)
	}
	if answer.Failure != mimosatide.CallSucceeded && answer.Failure != mimosatide.CallNotSent {
		go service.targets.Cancel(context.WithoutCancel(ctx), granted.spec, run.request.ID)
	}
	return answer, run.cost()
}

func resumable(failure mimosatide.CallFailure) bool {
	return failure == mimosatide.CallCut || failure == mimosatide.CallSilent
}

// resumeCall returns the call that continues the stream after the last delivered event.
func (run *modelRun) resumeCall(call mimosatide.Call) mimosatide.Call {
	call.Method = http.MethodGet
	call.Path = "/v1/requests/" + run.request.ID + "/events"
	call.Body = nil
	call.Resume = true
	call.After = run.delivered
	call.FreshConnection = true
	return call
}

// withFirstEventTimeout returns a context that ends when the wait limit is over,
// and its timer, which the first event stops.
func (run *modelRun) withFirstEventTimeout(ctx context.Context) (context.Context, *time.Timer) {
	callCtx, cancel := context.WithCancelCause(ctx)
	remaining := run.request.Arrived + run.request.WaitLimit - run.service.clock.Now()
	timer := time.AfterFunc(max(remaining, minFirstEventTimeout), func() {
		cancel(cancelCause{reason: mimosatide.ReasonWaitExpired})
	})
	if run.delivered > 0 {
		timer.Stop()
	}
	return callCtx, timer
}

// forwardEvents returns a callback that passes each event to the caller once and
// in order. It drops the events that a resumed stream repeats, and holds the others
// back until the node's configuration is confirmed to be fresh.
func (run *modelRun) forwardEvents(ctx context.Context, firstEventTimer *time.Timer) func(mimosatide.Event) error {
	return func(event mimosatide.Event) error {
		if event.Index > 0 && event.Index <= run.delivered {
			return nil
		}
		if !run.service.gate.WaitFresh(ctx) {
			return run.stop(mimosatide.ReasonNotFresh)
		}
		if run.events == 0 {
			firstEventTimer.Stop()
			run.recordFirstEvent()
		}
		if !event.Last {
			run.events++
			run.delivered = max(run.delivered, event.Index)
		}
		if err := run.onEvent(event); err != nil {
			return run.stop(mimosatide.ReasonCallerGone)
		}
		return nil
	}
}

// stop records why this node ends the answer and returns it as an error.
func (run *modelRun) stop(reason mimosatide.Reason) error {
	run.stopReason = reason
	return cancelCause{reason: reason}
}

// recordFirstEvent records the time to first token, and the cold start if it was one.
func (run *modelRun) recordFirstEvent() {
	wait := run.service.clock.Now() - run.request.Arrived
	run.service.meter.ObserveFirstToken(wait)
	if run.coldStart {
		run.service.meter.ObserveColdStart(wait)
	}
}

// cost returns the cost of the request in tokens: its prompt plus one token per
// event, or zero without any event.
func (run *modelRun) cost() float64 {
	if run.events == 0 {
		return 0
	}
	return run.request.PromptTokens + float64(run.events)
}

// handleFailure decides after a failed attempt whether to retry. If not, it
// returns the result.
func (run *modelRun) handleFailure(ctx context.Context, granted grant, answer mimosatide.Answer, attempt int) (bool, Result) {
	service, request := run.service, run.request
	run.mayHaveRun = run.mayHaveRun || runStateAfter(answer) == mimosatide.RunUnknown
	reason := retryReason(answer)
	service.journalDecision(request, "Failed", string(reason)+" "+answer.Detail, "Target", granted.candidate.Target)
	if run.stopReason != "" {
		return false, refused(mimosatide.Refuse(run.stopReason, "the answer was ended").WithRun(mimosatide.RunUnknown))
	}
	if ctx.Err() != nil {
		return false, refused(mimosatide.Refuse(service.cancelReason(ctx), "the request was ended").WithRun(mimosatide.RunUnknown))
	}
	if service.clock.Now() >= request.Arrived+request.WaitLimit && run.events == 0 {
		refusal := mimosatide.Refuse(mimosatide.ReasonWaitExpired, "the target gave no token within the wait limit")
		return false, refused(refusal.WithRun(run.runState()))
	}
	if run.targetCrashed(ctx, granted, answer) {
		reason = metric.RetryCrash
		service.reportCrash(request, granted.candidate.Placement)
	}
	if run.events > 0 {
		refusal := mimosatide.Refuse(mimosatide.ReasonTargetFailed, "the target failed in the middle of the answer")
		return false, refused(refusal.WithRun(mimosatide.RunUnknown))
	}
	if refusal := service.recheckAdmission(request); refusal.Refused() {
		return false, refused(refusal.WithRun(run.runState()))
	}
	if attempt >= maxAttempts || !service.mayRetry(request.Account.Name, granted.candidate.Target, reason) {
		refusal := mimosatide.Refuse(mimosatide.ReasonTargetFailed, "the target failed and no retry is left: "+answer.Detail)
		return false, refused(refusal.WithRun(run.runState()).WithRetryAfter(time.Second))
	}
	return true, Result{}
}

// runStateAfter returns whether the request may have run in the answered attempt.
func runStateAfter(answer mimosatide.Answer) mimosatide.RunState {
	if answer.Failure == mimosatide.CallNotSent || (answer.Failure == mimosatide.CallSucceeded && isEngineRefusal(answer)) {
		return mimosatide.NotRun
	}
	return mimosatide.RunUnknown
}

func retryReason(answer mimosatide.Answer) metric.RetryReason {
	switch answer.Failure {
	case mimosatide.CallNotSent:
		return metric.RetryNotSent
	case mimosatide.CallSilent:
		return metric.RetrySilent
	case mimosatide.CallMismatched:
		return metric.RetryMismatch
	case mimosatide.CallSucceeded:
		if answer.Status == http.StatusConflict {
			return metric.RetryNotLoaded
		}
		return metric.RetryBusy
	default:
		return metric.RetryCut
	}
}

// targetCrashed reports whether the engine crashed during the request: the call
// failed midway, and the engine does not answer or no longer has the placement.
func (run *modelRun) targetCrashed(ctx context.Context, granted grant, answer mimosatide.Answer) bool {
	if answer.Failure != mimosatide.CallCut && answer.Failure != mimosatide.CallSilent {
		return false
	}
	report, err := run.service.targets.GetReport(ctx, granted.spec)
	if err != nil {
		return true
	}
	_, held := report.Placements[granted.candidate.Placement]
	return !held
}
