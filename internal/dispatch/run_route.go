package dispatch

import (
	"context"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/limit"
	"mimosatide.example/mimosatide/internal/metric"
)

// maxCallsPerService bounds this node's concurrent calls to one plain service.
const maxCallsPerService = 256

// RunRoute serves a request to a plain service within the request's wait limit.
func (service *Service) RunRoute(ctx context.Context, request Request) Result {
	ctx, end, refusal := service.admit(ctx, request)
	if refusal.Refused() {
		result := refused(refusal)
		service.recordResult(request, result)
		return result
	}
	defer end()
	ctx, cancel := context.WithTimeoutCause(ctx, request.WaitLimit, cancelCause{reason: mimosatide.ReasonWaitExpired})
	defer cancel()
	result := service.serveRoute(ctx, request)
	service.recordResult(request, result)
	return result
}

// serveRoute debits, checks and sends an admitted request. The tokens are refunded
// when the request did not run.
func (service *Service) serveRoute(ctx context.Context, request Request) Result {
	receipt, refusal := service.debitRoute(ctx, request)
	if refusal.Refused() {
		return refused(refusal)
	}
	service.recordWait(request, service.clock.Now()-request.Arrived)
	if refusal := service.recheckAdmission(request); refusal.Refused() {
		service.limiter.Refund(service.clock.Now(), request.Account.Name, receipt, receipt.Tokens())
		return refused(refusal)
	}
	result := service.callRoute(ctx, request)
	if result.Refusal.Run == mimosatide.NotRun {
		service.limiter.Refund(service.clock.Now(), request.Account.Name, receipt, receipt.Tokens())
		return result
	}
	result.Tokens = request.Tokens
	return result
}

// debitRoute waits until the account can pay for one call, and debits it. Calls
// without a key, on open routes, cost nothing.
func (service *Service) debitRoute(ctx context.Context, request Request) (limit.Receipt, mimosatide.Refusal) {
	if request.Key == "" || request.Tokens == 0 {
		return limit.Receipt{}, mimosatide.Refusal{}
	}
	if request.Tokens > service.limiter.FleetCeiling(request.Account) {
		return limit.Receipt{}, mimosatide.Refuse(mimosatide.ReasonLargerThanBurst, "one call costs more tokens than the account's burst")
	}
	for {
		receipt, paid, wait := service.tryDebit(ctx, request)
		if paid {
			return receipt, mimosatide.Refusal{}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			reason := service.cancelReason(ctx)
			if reason == mimosatide.ReasonWaitExpired {
				reason = mimosatide.ReasonOverRate
			}
			return limit.Receipt{}, mimosatide.Refuse(reason, "the account's rate was used up for the whole wait limit")
		}
	}
}

// tryDebit debits the call from this node's tokens or from tokens borrowed from
// peers. If both fail, it returns false and the time after which to try again.
func (service *Service) tryDebit(ctx context.Context, request Request) (limit.Receipt, bool, time.Duration) {
	now := service.clock.Now()
	if receipt, paid := service.limiter.Spend(now, request.Account.Name, request.Tokens); paid {
		return receipt, true, 0
	}
	service.lock.Lock()
	id := service.newLoanID()
	loan, loanRequests, wait := service.limiter.Borrow(now, id, request.Account.Name, request.Tokens, service.peers.Lenders())
	if loan == nil {
		service.lock.Unlock()
		return limit.Receipt{}, false, min(max(wait, minBlockTime), maxBlockTime)
	}
	answered := make(chan struct{})
	service.routeLoans[id] = answered
	service.lock.Unlock()
	for _, loanRequest := range loanRequests {
		service.peers.Send(loanRequest.To, loanRequest.Request)
	}
	if len(loanRequests) > 0 {
		waitFor(ctx, answered, loanReplyTimeout)
	}
	service.lock.Lock()
	delete(service.routeLoans, id)
	service.lock.Unlock()
	receipt, paid, returns := service.limiter.Close(service.clock.Now(), loan)
	service.sendReturns(returns)
	return receipt, paid, minBlockTime
}

// waitFor waits until done is closed, the timeout is over or the context ends.
func waitFor(ctx context.Context, done <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// callRoute sends the call. A non-idempotent call with an idempotency key is
// protected by a claim.
func (service *Service) callRoute(ctx context.Context, request Request) Result {
	if request.Route.Idempotent {
		return service.callIdempotent(ctx, request)
	}
	if request.IdempotencyKey == "" {
		return service.callOnce(ctx, request)
	}
	held, earlier := service.acquireClaim(ctx, request)
	if held == nil {
		return earlier
	}
	service.journalDecision(request, "Claimed", "", "Row", held.key)
	result := service.callOnce(ctx, request)
	switch {
	case !result.Refusal.Refused():
		service.completeClaim(ctx, held, result.Answer)
	case result.Refusal.Run == mimosatide.NotRun:
		service.releaseClaim(ctx, held)
	}
	return result
}

// callOnce sends a call that must not run twice. It tries another target only if
// no byte of the call has reached a target.
func (service *Service) callOnce(ctx context.Context, request Request) Result {
	exclude := map[string]bool{}
	for {
		candidate, spec, found := service.chooseService(request, exclude)
		if !found {
			return refused(mimosatide.Refuse(mimosatide.ReasonTargetFailed, "no target of the route takes calls").WithRetryAfter(time.Second))
		}
		answer := service.callTarget(ctx, request, candidate, spec)
		if answer.Failure == mimosatide.CallSucceeded {
			return Result{Answer: answer}
		}
		if answer.Failure != mimosatide.CallNotSent {
			return refused(service.routeRefusal(ctx, answer).WithRun(mimosatide.RunUnknown))
		}
		service.meter.CountRetry(metric.RetryNotSent)
		exclude[candidate.Target] = true
	}
}

// callIdempotent sends a call and retries it at other targets within the retry budgets.
func (service *Service) callIdempotent(ctx context.Context, request Request) Result {
	exclude := map[string]bool{}
	run := mimosatide.NotRun
	for attempt := 1; ; attempt++ {
		candidate, spec, found := service.chooseService(request, exclude)
		if !found {
			refusal := mimosatide.Refuse(mimosatide.ReasonTargetFailed, "no target of the route takes calls").WithRetryAfter(time.Second)
			return refused(refusal.WithRun(run))
		}
		if attempt == 1 {
			service.earnRetries(request.Account.Name, candidate.Target)
		}
		answer := service.callTarget(ctx, request, candidate, spec)
		if answer.Failure == mimosatide.CallSucceeded {
			return Result{Answer: answer}
		}
		if answer.Failure != mimosatide.CallNotSent {
			run = mimosatide.RunUnknown
			service.reportServiceCrash(ctx, request, spec, answer)
		}
		if refusal := service.recheckAdmission(request); refusal.Refused() {
			return refused(refusal.WithRun(run))
		}
		retry := ctx.Err() == nil && attempt < maxAttempts &&
			service.mayRetry(request.Account.Name, candidate.Target, retryReason(answer))
		if !retry {
			return refused(service.routeRefusal(ctx, answer).WithRun(run))
		}
		exclude[candidate.Target] = true
	}
}

// reportServiceCrash records a crash when a plain service cut the connection of
// a call that was not cancelled.
func (service *Service) reportServiceCrash(ctx context.Context, request Request, spec mimosatide.TargetSpec, answer mimosatide.Answer) {
	if answer.Failure != mimosatide.CallCut || ctx.Err() != nil {
		return
	}
	service.reportCrash(request, spec.Name+" "+request.ID)
}

// routeRefusal returns the refusal for a failed call.
func (service *Service) routeRefusal(ctx context.Context, answer mimosatide.Answer) mimosatide.Refusal {
	if ctx.Err() != nil {
		return mimosatide.Refuse(service.cancelReason(ctx), "the request was ended before its answer was whole")
	}
	return mimosatide.Refuse(mimosatide.ReasonTargetFailed, "the target failed: "+string(answer.Failure)+" "+answer.Detail)
}

// callTarget sends one call on a new connection and frees the target's slot. It
// returns as soon as the context ends, even if the target has not answered.
func (service *Service) callTarget(
	ctx context.Context, request Request, candidate Candidate, spec mimosatide.TargetSpec,
) mimosatide.Answer {
	service.journalDecision(request, "Sent", "", "Target", candidate.Target)
	defer service.releaseService(candidate.Target, request)
	call := mimosatide.Call{
		Request:         request.ID,
		Method:          request.Method,
		Path:            request.Path,
		Headers:         request.Headers,
		Body:            request.Body,
		FreshConnection: true,
	}
	done := make(chan mimosatide.Answer, 1)
	go func() { done <- service.targets.Run(ctx, spec, call, nil) }()
	select {
	case answer := <-done:
		service.recordAnswer(candidate.Target, answer)
		return answer
	case <-ctx.Done():
		return mimosatide.Answer{Failure: mimosatide.CallCancelled, Detail: ctx.Err().Error()}
	}
}

// chooseService picks a target of the route and takes a slot there. If the targets
// that are not ejected are all excluded or full, it tries the ejected ones too.
func (service *Service) chooseService(request Request, exclude map[string]bool) (Candidate, mimosatide.TargetSpec, bool) {
	document := service.store.View().Document
	service.lock.Lock()
	defer service.lock.Unlock()
	now := service.clock.Now()
	var candidates []Candidate
	for _, name := range request.Route.Targets {
		spec, known := document.GetTarget(name)
		if !known || service.placements.Leaving(name) || !service.crashTracker.MayStart(now, name, request.Digest) {
			continue
		}
		candidates = append(candidates, Candidate{
			Target:         name,
			Outstanding:    service.callsByService[name],
			MaxOutstanding: maxCallsPerService,
			SameZone:       spec.Zone == service.settings.Zone,
		})
	}
	chosen, found := service.chooser.Choose(service.health.usable(now, candidates), exclude)
	if !found {
		chosen, found = service.chooser.Choose(candidates, exclude)
	}
	if !found {
		return Candidate{}, mimosatide.TargetSpec{}, false
	}
	service.callsByService[chosen.Target]++
	service.crashTracker.Start(now, chosen.Target, request.Digest)
	spec, _ := document.GetTarget(chosen.Target)
	return chosen, spec, true
}

// releaseService frees the slot that chooseService took.
func (service *Service) releaseService(target string, request Request) {
	service.lock.Lock()
	defer service.lock.Unlock()
	service.callsByService[target]--
	service.crashTracker.Finish(target, request.Digest)
}
