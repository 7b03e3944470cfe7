package dispatch

import (
	"context"
	"net/http"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/metric"
)

// run is one model request under way.
type run struct {
	service *Service
	request Request
	onEvent func(mimosatide.Event) error
	// delivered is the index of the last event that the caller has.
	delivered int
	events    int
	cold      bool
	// mayHaveRun is set once a try has reached a target.
	mayHaveRun bool
	// stopped is why this node ended the answer itself.
	stopped mimosatide.Reason
}

// RunModel serves a request to a model and hands each event of the answer to onEvent.
func (service *Service) RunModel(ctx context.Context, request Request, onEvent func(mimosatide.Event) error) Result {
	ctx, end, refusal := service.begin(ctx, request)
	if refusal.Refused() {
		result := refused(refusal)
		service.record(request, result)
		return result
	}
	defer end()
	result := service.serveModel(ctx, &run{service: service, request: request, onEvent: onEvent})
	service.record(request, result)
	return result
}

func (service *Service) serveModel(ctx context.Context, run *run) Result {
	if refusal := service.checkRate(run.request); refusal.Refused() {
		return refused(refusal)
	}
	waiting := &waiter{request: run.request, granted: make(chan grant, 1), failed: map[string]time.Duration{}}
	run.cold = !service.serves(run.request)
	for try := 1; ; try++ {
		given, refusal := service.acquire(ctx, waiting)
		if refusal.Refused() {
			return refused(refusal.WithRun(run.state()))
		}
		if refusal := service.recheck(run.request); refusal.Refused() {
			service.finish(run, given, 0)
			return refused(refusal.WithRun(run.state()))
		}
		if try == 1 {
			service.noteWait(run.request, service.clock.Now()-run.request.Arrived)
			service.earnRetries(run.request.Account.Name, given.candidate.Target)
		}
		answer, tokens := run.send(ctx, given)
		service.finish(run, given, tokens)
		if answer.Failure == mimosatide.CallSucceeded && !isRefusal(answer) {
			return Result{Answer: answer, Tokens: tokens}
		}
		again, result := run.judge(ctx, given, answer, try)
		if !again {
			return result
		}
		waiting.failed[given.candidate.Target] = service.clock.Now()
		waiting.granted = make(chan grant, 1)
	}
}

// isRefusal says whether the engine answered that it did not run the request.
func isRefusal(answer mimosatide.Answer) bool {
	switch answer.Status {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// state says whether the request may have run so far.
func (run *run) state() mimosatide.RunState {
	if run.mayHaveRun {
		return mimosatide.RunUnknown
	}
	return mimosatide.NotRun
}

// serves says whether a replica for the request is known to be ready.
func (service *Service) serves(request Request) bool {
	service.lock.Lock()
	defer service.lock.Unlock()
	line, known := service.lines[request.Model.Name]
	return known && len(service.candidates(line, request)) > 0
}

// checkRate refuses at once what the account's limits can't grant within the wait limit.
func (service *Service) checkRate(request Request) mimosatide.Refusal {
	account := request.Account
	if request.Tokens > service.bank.FleetCeiling(account) {
		return mimosatide.Refuse(mimosatide.ReasonLargerThanBurst, "the request may cost more tokens than the account's burst")
	}
	service.lock.Lock()
	defer service.lock.Unlock()
	queued := 0.0
	for _, line := range service.lines {
		_, tokens := line.waiting.Waiting(account.Name)
		queued += tokens
	}
	// All other nodes may lend what they have, so that only the whole rate bounds the wait.
	wait := time.Duration((queued + request.Tokens - service.bank.FleetCeiling(account)) / account.Rate * float64(time.Second))
	if wait <= request.WaitLimit {
		return mimosatide.Refusal{}
	}
	return mimosatide.Refuse(mimosatide.ReasonOverRate, "the account's waiting requests use up its rate for longer than the wait limit").
		WithRetryAfter(wait - request.WaitLimit)
}

// recheck makes sure that a request which has waited may still run.
func (service *Service) recheck(request Request) mimosatide.Refusal {
	if reason := service.gate.Admit(request.Key, request.Account.Name); reason != "" {
		return mimosatide.Refuse(reason, "the key's request may not run any more")
	}
	service.lock.Lock()
	defer service.lock.Unlock()
	if service.suspects.Poisonous(service.clock.Now(), request.Digest) {
		return mimosatide.Refuse(mimosatide.ReasonPoisonRequest, "targets have crashed under this request")
	}
	return mimosatide.Refusal{}
}

// finish gives the slot and the unused tokens back.
func (service *Service) finish(run *run, given grant, tokens float64) {
	now := service.clock.Now()
	borrowed := run.request.Tokens - given.receipt.Tokens()
	unused := given.receipt.Tokens() - max(0, tokens-borrowed)
	service.bank.Refund(now, run.request.Account.Name, given.receipt, unused)
	service.lock.Lock()
	defer service.lock.Unlock()
	line := service.line(run.request.Model)
	line.release(given.candidate.Placement)
	service.suspects.Finish(given.candidate.Target, run.request.Digest)
	if tokens > 0 {
		service.affinity.note(run.request, given.candidate.Target)
	}
	service.pump(line)
}

// send runs the request at a replica, and resumes the stream while the replica still has it.
func (run *run) send(ctx context.Context, given grant) (mimosatide.Answer, float64) {
	service := run.service
	service.explain(run.request, "Sent", "", "Target", given.candidate.Target, "Placement", given.candidate.Placement)
	call := mimosatide.Call{
		Request:   run.request.ID,
		Placement: given.candidate.Placement,
		Method:    http.MethodPost,
		Path:      run.request.Path,
		Headers:   run.request.Headers,
		Body:      run.request.Body,
		Priority:  run.request.Account.Priority,
		Number:    given.candidate.Number,
		Stream:    true,
	}
	limited, watch := run.boundFirstEvent(ctx)
	defer watch.Stop()
	answer := service.targets.Run(limited, given.spec, call, run.take(ctx, watch))
	for resumes := 0; resumes < maxTries && run.stopped == "" && resumable(answer.Failure) && limited.Err() == nil; resumes++ {
		service.meter.CountRetry(metric.RetryResume)
		service.explain(run.request, "Resumed", string(answer.Failure), "Target", given.candidate.Target)
		answer = service.targets.Run(limited, given.spec, run.resume(call), run.take(ctx, watch))
		if answer.Failure == mimosatide.CallNotSent || answer.Status == http.StatusNotFound {
			// The first try did reach the target, so that this is no proof that nothing ran.
			answer = mimosatide.Answer{Failure: mimosatide.CallCut, Detail: "the target no longer has the request"}
			break
		}
	}
	if run.stopped == "" && ctx.Err() == nil {
		service.noteAnswer(given.candidate.Target, answer)
	}
	if answer.Failure != mimosatide.CallSucceeded && answer.Failure != mimosatide.CallNotSent {
		go service.targets.Cancel(context.WithoutCancel(ctx), given.spec, run.request.ID)
	}
	return answer, run.cost()
}

func resumable(failure mimosatide.CallFailure) bool {
	return failure == mimosatide.CallCut || failure == mimosatide.CallSilent
}

func (run *run) resume(call mimosatide.Call) mimosatide.Call {
	call.Method = http.MethodGet
	call.Path = "/v1/requests/" + run.request.ID + "/events"
	call.Body = nil
	call.Resume = true
	call.After = run.delivered
	call.FreshConnection = true
	return call
}

// boundFirstEvent ends a call that has no event when the wait limit is over.
func (run *run) boundFirstEvent(ctx context.Context) (context.Context, *time.Timer) {
	limited, cancel := context.WithCancelCause(ctx)
	left := run.request.Arrived + run.request.WaitLimit - run.service.clock.Now()
	timer := time.AfterFunc(max(left, firstEventGrace), func() {
		cancel(endCause{reason: mimosatide.ReasonWaitExpired})
	})
	if run.delivered > 0 {
		timer.Stop()
	}
	return limited, timer
}

// take hands each event to the caller once and in order.
func (run *run) take(ctx context.Context, watch *time.Timer) func(mimosatide.Event) error {
	return func(event mimosatide.Event) error {
		if event.Index > 0 && event.Index <= run.delivered {
			return nil
		}
		if !run.service.gate.WaitFresh(ctx) {
			return run.stop(mimosatide.ReasonNotFresh)
		}
		if run.events == 0 {
			watch.Stop()
			run.noteFirstEvent()
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

// stop ends the answer from this node's side.
func (run *run) stop(reason mimosatide.Reason) error {
	run.stopped = reason
	return endCause{reason: reason}
}

func (run *run) noteFirstEvent() {
	wait := run.service.clock.Now() - run.request.Arrived
	run.service.meter.ObserveFirstToken(wait)
	if run.cold {
		run.service.meter.ObserveColdStart(wait)
	}
}

// cost is what the request has cost: its prompt and one token an event.
func (run *run) cost() float64 {
	if run.events == 0 {
		return 0
	}
	return run.request.PromptTokens + float64(run.events)
}

// judge decides what follows a failed try.
func (run *run) judge(ctx context.Context, given grant, answer mimosatide.Answer, try int) (bool, Result) {
	service, request := run.service, run.request
	run.mayHaveRun = run.mayHaveRun || runStateAfter(answer) == mimosatide.RunUnknown
	reason := retryReason(answer)
	service.explain(request, "Failed", string(reason)+" "+answer.Detail, "Target", given.candidate.Target)
	if run.stopped != "" {
		return false, refused(mimosatide.Refuse(run.stopped, "the answer was ended").WithRun(mimosatide.RunUnknown))
	}
	if ctx.Err() != nil {
		return false, refused(mimosatide.Refuse(service.endReason(ctx), "the request was ended").WithRun(mimosatide.RunUnknown))
	}
	if service.clock.Now() >= request.Arrived+request.WaitLimit && run.events == 0 {
		refusal := mimosatide.Refuse(mimosatide.ReasonWaitExpired, "the target gave no token within the wait limit")
		return false, refused(refusal.WithRun(run.state()))
	}
	if run.lostTarget(ctx, given, answer) {
		reason = metric.RetryCrash
		service.noteCrash(request, given.candidate.Placement)
	}
	if run.events > 0 {
		refusal := mimosatide.Refuse(mimosatide.ReasonTargetFailed, "the target failed in the middle of the answer")
		return false, refused(refusal.WithRun(mimosatide.RunUnknown))
	}
	if refusal := service.recheck(request); refusal.Refused() {
		return false, refused(refusal.WithRun(run.state()))
	}
	if try >= maxTries || !service.mayRetry(request.Account.Name, given.candidate.Target, reason) {
		refusal := mimosatide.Refuse(mimosatide.ReasonTargetFailed, "the target failed and no retry is left: "+answer.Detail)
		return false, refused(refusal.WithRun(run.state()).WithRetryAfter(time.Second))
	}
	return true, Result{}
}

func runStateAfter(answer mimosatide.Answer) mimosatide.RunState {
	if answer.Failure == mimosatide.CallNotSent || (answer.Failure == mimosatide.CallSucceeded && isRefusal(answer)) {
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

// lostTarget says whether the engine crashed under the request: it was cut and
// the engine no longer answers, or no longer has the placement.
func (run *run) lostTarget(ctx context.Context, given grant, answer mimosatide.Answer) bool {
	if answer.Failure != mimosatide.CallCut && answer.Failure != mimosatide.CallSilent {
		return false
	}
	report, err := run.service.targets.GetReport(ctx, given.spec)
	if err != nil {
		return true
	}
	_, held := report.Placements[given.candidate.Placement]
	return !held
}
