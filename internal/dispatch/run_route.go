package dispatch

import (
	"context"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/limit"
	"mimosatide.example/mimosatide/internal/metric"
)

// serviceSlots bounds this node's requests at one plain service.
const serviceSlots = 256

// RunRoute serves a request to a plain service.
func (service *Service) RunRoute(ctx context.Context, request Request) Result {
	ctx, end, refusal := service.begin(ctx, request)
	if refusal.Refused() {
		result := refused(refusal)
		service.record(request, result)
		return result
	}
	defer end()
	ctx, cancel := context.WithTimeoutCause(ctx, request.WaitLimit, endCause{reason: mimosatide.ReasonWaitExpired})
	defer cancel()
	result := service.serveRoute(ctx, request)
	service.record(request, result)
	return result
}

func (service *Service) serveRoute(ctx context.Context, request Request) Result {
	receipt, refusal := service.pay(ctx, request)
	if refusal.Refused() {
		return refused(refusal)
	}
	service.noteWait(request, service.clock.Now()-request.Arrived)
	if refusal := service.recheck(request); refusal.Refused() {
		service.bank.Refund(service.clock.Now(), request.Account.Name, receipt, receipt.Tokens())
		return refused(refusal)
	}
	result := service.callRoute(ctx, request)
	if result.Refusal.Run == mimosatide.NotRun {
		service.bank.Refund(service.clock.Now(), request.Account.Name, receipt, receipt.Tokens())
		return result
	}
	result.Tokens = request.Tokens
	return result
}

// pay debits what one call costs its account; open routes cost nothing.
func (service *Service) pay(ctx context.Context, request Request) (limit.Receipt, mimosatide.Refusal) {
	if request.Key == "" || request.Tokens == 0 {
		return limit.Receipt{}, mimosatide.Refusal{}
	}
	if request.Tokens > service.bank.FleetCeiling(request.Account) {
		return limit.Receipt{}, mimosatide.Refuse(mimosatide.ReasonLargerThanBurst, "one call costs more tokens than the account's burst")
	}
	for {
		receipt, paid, wait := service.tryPay(ctx, request)
		if paid {
			return receipt, mimosatide.Refusal{}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			reason := service.endReason(ctx)
			if reason == mimosatide.ReasonWaitExpired {
				reason = mimosatide.ReasonOverRate
			}
			return limit.Receipt{}, mimosatide.Refuse(reason, "the account's rate was used up for the whole wait limit")
		}
	}
}

// tryPay spends from this node's part, or from a loan of the peers.
func (service *Service) tryPay(ctx context.Context, request Request) (limit.Receipt, bool, time.Duration) {
	now := service.clock.Now()
	if receipt, paid := service.bank.Spend(now, request.Account.Name, request.Tokens); paid {
		return receipt, true, 0
	}
	service.lock.Lock()
	id := service.newLoanID()
	loan, asks, wait := service.bank.Borrow(now, id, request.Account.Name, request.Tokens, service.peers.Lenders())
	if loan == nil {
		service.lock.Unlock()
		return limit.Receipt{}, false, min(max(wait, minBlock), maxBlock)
	}
	answered := make(chan struct{})
	service.payments[id] = answered
	service.lock.Unlock()
	for _, ask := range asks {
		service.peers.Send(ask.To, ask.Ask)
	}
	if len(asks) > 0 {
		waitFor(ctx, answered, loanGrace)
	}
	service.lock.Lock()
	delete(service.payments, id)
	service.lock.Unlock()
	receipt, paid, returns := service.bank.Close(service.clock.Now(), loan)
	service.sendReturns(returns)
	return receipt, paid, minBlock
}

func waitFor(ctx context.Context, done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// callRoute sends the call, under a claim when it may run only once.
func (service *Service) callRoute(ctx context.Context, request Request) Result {
	if request.Route.Idempotent {
		return service.callIdempotent(ctx, request)
	}
	if request.IdempotencyKey == "" {
		return service.callOnce(ctx, request)
	}
	held, earlier := service.takeClaim(ctx, request)
	if held == nil {
		return earlier
	}
	service.explain(request, "Claimed", "", "Row", held.key)
	result := service.callOnce(ctx, request)
	switch {
	case !result.Refusal.Refused():
		service.finishClaim(ctx, held, result.Answer)
	case result.Refusal.Run == mimosatide.NotRun:
		service.releaseClaim(ctx, held)
	}
	return result
}

// callOnce sends a call that must not run twice. Another target is tried only
// while no byte can have reached one.
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

// callIdempotent sends a call that may be tried again.
func (service *Service) callIdempotent(ctx context.Context, request Request) Result {
	exclude := map[string]bool{}
	run := mimosatide.NotRun
	for try := 1; ; try++ {
		candidate, spec, found := service.chooseService(request, exclude)
		if !found {
			refusal := mimosatide.Refuse(mimosatide.ReasonTargetFailed, "no target of the route takes calls").WithRetryAfter(time.Second)
			return refused(refusal.WithRun(run))
		}
		if try == 1 {
			service.earnRetries(request.Account.Name, candidate.Target)
		}
		answer := service.callTarget(ctx, request, candidate, spec)
		if answer.Failure == mimosatide.CallSucceeded {
			return Result{Answer: answer}
		}
		if answer.Failure != mimosatide.CallNotSent {
			run = mimosatide.RunUnknown
			service.noteServiceCrash(ctx, request, spec, answer)
		}
		if refusal := service.recheck(request); refusal.Refused() {
			return refused(refusal.WithRun(run))
		}
		again := ctx.Err() == nil && try < maxTries &&
			service.mayRetry(request.Account.Name, candidate.Target, retryReason(answer))
		if !again {
			return refused(service.routeRefusal(ctx, answer).WithRun(run))
		}
		exclude[candidate.Target] = true
	}
}

// noteServiceCrash counts a crash of a plain service under the request.
func (service *Service) noteServiceCrash(ctx context.Context, request Request, spec mimosatide.TargetSpec, answer mimosatide.Answer) {
	if answer.Failure != mimosatide.CallCut || ctx.Err() != nil {
		return
	}
	service.noteCrash(request, spec.Name+" "+request.ID)
}

func (service *Service) routeRefusal(ctx context.Context, answer mimosatide.Answer) mimosatide.Refusal {
	if ctx.Err() != nil {
		return mimosatide.Refuse(service.endReason(ctx), "the request was ended before its answer was whole")
	}
	return mimosatide.Refuse(mimosatide.ReasonTargetFailed, "the target failed: "+string(answer.Failure)+" "+answer.Detail)
}

// callTarget sends one call on a connection of its own.
func (service *Service) callTarget(
	ctx context.Context, request Request, candidate Candidate, spec mimosatide.TargetSpec,
) mimosatide.Answer {
	service.explain(request, "Sent", "", "Target", candidate.Target)
	defer service.leaveService(candidate.Target, request)
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
		service.noteAnswer(candidate.Target, answer)
		return answer
	case <-ctx.Done():
		return mimosatide.Answer{Failure: mimosatide.CallCancelled, Detail: ctx.Err().Error()}
	}
}

// chooseService picks a target of the route and takes a slot there.
func (service *Service) chooseService(request Request, exclude map[string]bool) (Candidate, mimosatide.TargetSpec, bool) {
	document := service.store.View().Document
	service.lock.Lock()
	defer service.lock.Unlock()
	now := service.clock.Now()
	var candidates []Candidate
	for _, name := range request.Route.Targets {
		spec, known := document.GetTarget(name)
		if !known || service.placements.Leaving(name) || !service.suspects.MayStart(now, name, request.Digest) {
			continue
		}
		candidates = append(candidates, Candidate{
			Target:      name,
			Outstanding: service.services[name],
			Limit:       serviceSlots,
			Near:        spec.Zone == service.settings.Zone,
		})
	}
	chosen, found := service.chooser.Choose(service.health.usable(now, candidates), exclude)
	if !found {
		chosen, found = service.chooser.Choose(candidates, exclude)
	}
	if !found {
		return Candidate{}, mimosatide.TargetSpec{}, false
	}
	service.services[chosen.Target]++
	service.suspects.Start(now, chosen.Target, request.Digest)
	spec, _ := document.GetTarget(chosen.Target)
	return chosen, spec, true
}

func (service *Service) leaveService(target string, request Request) {
	service.lock.Lock()
	defer service.lock.Unlock()
	service.services[target]--
	service.suspects.Finish(target, request.Digest)
}
