package gateway

import (
	"context"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
)

// permitWait is how long a request waits for its turn at a target that limits its requests
// while there are other targets for it. Without them it waits as for the end of a pause.
const permitWait = 50 * time.Millisecond

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
		handler.gateway.Tracker.MarkExhausted(instance, now.Add(verdict.Wait), now)
		return false, mimosatide.Refusal{}
	}
	if verdict.Wait > 0 && !handler.wait(ctx, nil, verdict.Wait) {
		return false, handler.waitRefusal(ctx)
	}
	return true, mimosatide.Refusal{}
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
