package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
)

// permitWait is how long a request waits for its turn at a target that limits its requests
// while there are other targets for it. Without them it waits as for the end of a pause.
const permitWait = 50 * time.Millisecond

const (
	// maxExhausted bounds the time for which a target is left out because it had no permit: its limit may
	// end or rise meanwhile.
	maxExhausted = 500 * time.Millisecond
	// turnPoll is how often a request that waits for its turn checks whether the limit has ended.
	turnPoll = 250 * time.Millisecond
)

// awaitPermit waits until the request may be sent to a target that limits its requests. It
// returns false if its turn is too far away: the request then needs another target.
func (handler *requestHandler) awaitPermit(ctx context.Context, instance mimosatide.Instance) (bool, mimosatide.Refusal) {
	patience := time.Duration(float64(time.Until(handler.deadline)) * pauseWaitShare)
	spare := handler.hasOtherTarget(instance)
	if spare {
		patience = min(patience, permitWait)
	}
	verdict := handler.gateway.Permits.Acquire(ctx, instance, patience, spare)
	if ctx.Err() != nil {
		return false, handler.waitRefusal(ctx)
	}
	if !verdict.Granted {
		now := time.Now()
		handler.gateway.Tracker.MarkExhausted(instance, now.Add(min(verdict.Wait, maxExhausted)), now)
		return false, mimosatide.Refusal{}
	}
	return handler.awaitTurn(ctx, instance, time.Now().Add(verdict.Wait))
}

// awaitTurn waits until a request's permit may be used, or until the target has no limit any more. It
// returns false if the target may be sent no requests meanwhile.
func (handler *requestHandler) awaitTurn(ctx context.Context, instance mimosatide.Instance, turn time.Time) (bool, mimosatide.Refusal) {
	for {
		changed := handler.gateway.Targets.Changed()
		left := time.Until(turn)
		if left <= 0 {
			return true, mimosatide.Refusal{}
		}
		if !handler.gateway.permits(instance) {
			return false, mimosatide.Refusal{}
		}
		if !handler.limited(instance) {
			turn = time.Now().Add(min(rand.N(returnSpread), left))
			handler.wait(ctx, nil, time.Until(turn))
			return true, mimosatide.Refusal{}
		}
		if !handler.wait(ctx, changed, min(left, turnPoll)) {
			return false, handler.waitRefusal(ctx)
		}
	}
}

// hasOtherTarget reports whether another target than instance can take the request now.
func (handler *requestHandler) hasOtherTarget(instance mimosatide.Instance) bool {
	candidates := handler.candidates()
	if handler.service.Engine != nil {
		candidates, _ = balance.Ready(handler.request, candidates)
	}
	candidates, _ = handler.gateway.Tracker.Unpaused(candidates, time.Now())
	for _, candidate := range candidates {
		if candidate.ID != instance.ID {
			return true
		}
	}
	return false
}
