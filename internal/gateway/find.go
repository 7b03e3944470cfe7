package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/loading"
)

// The times of finding a target.
const (
	// loadRequestInterval is how often a waiting request asks again for its model or adapter.
	loadRequestInterval = 300 * time.Millisecond
	// adapterWait is how long a request waits for its adapter at the chosen target
	// before it takes any target that has the adapter.
	adapterWait = 250 * time.Millisecond
	// loadOverhead is the time of a load beyond the transfer of the weights.
	loadOverhead = 300 * time.Millisecond
	// startupRetryAfter is the Retry-After of a node that has no configuration yet, or
	// that must not serve because its configuration is stale.
	startupRetryAfter = 500 * time.Millisecond
	// drainingRetryAfter is the Retry-After of a draining node; the retry reaches another node.
	drainingRetryAfter = 50 * time.Millisecond
	// pauseWaitShare is the share of the time until its deadline for which a request waits
	// for the end of a pause that all its targets have asked for. A longer pause refuses it
	// at once, since a retry reaches another node.
	pauseWaitShare = 0.25
	// returnSpread is the time over which the requests that waited for the end of a pause,
	// or were refused because of it, return.
	returnSpread = 100 * time.Millisecond
	// returnShare is the share of the time until their deadline after which callers return at the
	// latest, whatever Retry-After they are told.
	returnShare = 0.33
	// noCapacityRetryAfter is the Retry-After when there is no usable target.
	noCapacityRetryAfter = time.Second
)

// findTarget returns a target for the request. If the service runs on model engines,
// it waits until one holds the model.
func (handler *requestHandler) findTarget(ctx context.Context) (mimosatide.Instance, mimosatide.Refusal) {
	if handler.service.Engine == nil {
		return handler.findServiceTarget(ctx)
	}
	if handler.request.Model == "" {
		return mimosatide.Instance{}, mimosatide.Refuse(mimosatide.ReasonMalformed, "the request names no model")
	}
	for {
		changed := handler.gateway.Targets.Changed()
		candidates := handler.candidates()
		ready, _ := balance.Ready(handler.request, candidates)
		unpaused, pausedUntil := handler.gateway.Tracker.Unpaused(ready, time.Now())
		if len(unpaused) > 0 {
			return handler.findAdapterTarget(ctx, unpaused)
		}
		if !pausedUntil.IsZero() {
			if refusal := handler.awaitPause(ctx, changed, pausedUntil); refusal.Refused() {
				return mimosatide.Instance{}, refusal
			}
			continue
		}
		if refusal := handler.refuseUnloadable(candidates); refusal.Refused() {
			return mimosatide.Instance{}, refusal
		}
		handler.requestLoad(handler.modelNeed())
		if !handler.wait(ctx, changed, loadRequestInterval) {
			return mimosatide.Instance{}, handler.waitRefusal(ctx)
		}
	}
}

// findServiceTarget returns a target of a plain service.
func (handler *requestHandler) findServiceTarget(ctx context.Context) (mimosatide.Instance, mimosatide.Refusal) {
	for {
		changed := handler.gateway.Targets.Changed()
		candidates := handler.candidates()
		unpaused, pausedUntil := handler.gateway.Tracker.Unpaused(candidates, time.Now())
		if pausedUntil.IsZero() {
			instance, _, found := handler.gateway.Tracker.Choose(handler.query(), unpaused, time.Now())
			if !found {
				return mimosatide.Instance{}, mimosatide.Refuse(mimosatide.ReasonNoCapacity, "the service has no target").WithRetryAfter(noCapacityRetryAfter)
			}
			return instance, mimosatide.Refusal{}
		}
		if refusal := handler.awaitPause(ctx, changed, pausedUntil); refusal.Refused() {
			return mimosatide.Instance{}, refusal
		}
	}
}

// awaitPause waits until the first target of the request takes requests again, or until
// the targets change. It refuses the request at once if the pause is too long.
func (handler *requestHandler) awaitPause(ctx context.Context, changed <-chan struct{}, until time.Time) mimosatide.Refusal {
	remaining := time.Until(until) + rand.N(returnSpread)
	if remaining > time.Duration(float64(time.Until(handler.deadline))*pauseWaitShare) {
		return mimosatide.Refuse(mimosatide.ReasonNoCapacity, "all targets have asked for a pause or have reached their limits").WithRetryAfter(remaining)
	}
	if !handler.wait(ctx, changed, remaining) {
		return handler.waitRefusal(ctx)
	}
	return mimosatide.Refusal{}
}

// findAdapterTarget chooses among the targets that hold the model. If the chosen
// target lacks the request's adapter, it asks for the adapter there and waits. After
// adapterWait it takes any target that has the adapter. If there is none, or if the
// chosen target is gone, it chooses again and asks for the adapter there.
func (handler *requestHandler) findAdapterTarget(ctx context.Context, ready []mimosatide.Instance) (mimosatide.Instance, mimosatide.Refusal) {
	chosen, _, found := handler.gateway.Tracker.Choose(handler.query(), ready, time.Now())
	if !found {
		return mimosatide.Instance{}, mimosatide.Refuse(mimosatide.ReasonNoCapacity, "no target may be tried again").WithRetryAfter(noCapacityRetryAfter)
	}
	if handler.request.Adapter == "" {
		return chosen, mimosatide.Refusal{}
	}
	until := time.Now().Add(adapterWait)
	for {
		changed := handler.gateway.Targets.Changed()
		candidates := handler.candidates()
		_, complete := balance.Ready(handler.request, candidates)
		complete, _ = handler.gateway.Tracker.Unpaused(complete, time.Now())
		for _, candidate := range complete {
			if candidate.ID == chosen.ID {
				return candidate, mimosatide.Refusal{}
			}
		}
		if time.Now().After(until) && len(complete) > 0 {
			other, _, found := handler.gateway.Tracker.Choose(handler.query(), complete, time.Now())
			if found {
				return other, mimosatide.Refusal{}
			}
		}
		handler.requestLoad(loading.Need{
			Service: handler.service.Name, Model: handler.request.Model, Adapter: handler.request.Adapter, Instance: chosen.ID,
		})
		if !handler.wait(ctx, changed, loadRequestInterval) {
			return mimosatide.Instance{}, handler.waitRefusal(ctx)
		}
		if !handler.gateway.permits(chosen) || time.Now().After(until) {
			ready, _ := balance.Ready(handler.request, handler.candidates())
			ready, _ = handler.gateway.Tracker.Unpaused(ready, time.Now())
			if len(ready) == 0 {
				return handler.findTarget(ctx)
			}
			chosen, _, _ = handler.gateway.Tracker.Choose(handler.query(), ready, time.Now())
		}
	}
}

// refuseUnloadable refuses a request whose model can't be loaded before its caller leaves, as
// the owner of the targets expects. If it has not said so, the load is assumed to have begun
// when the request began to wait, and to come from the fastest cache tier of any candidate.
func (handler *requestHandler) refuseUnloadable(candidates []mimosatide.Instance) mimosatide.Refusal {
	model, known := handler.service.Engine.Models[handler.request.Model]
	if !known {
		return mimosatide.Refuse(mimosatide.ReasonUnknownModel, "the model is not configured").WithRetryAfter(noCapacityRetryAfter)
	}
	if len(candidates) == 0 {
		return mimosatide.Refuse(mimosatide.ReasonNoCapacity, "the service has no target").WithRetryAfter(noCapacityRetryAfter)
	}
	least := model.LoadTime
	for _, candidate := range candidates {
		_, loadTime := loading.Tier(candidate, model)
		least = min(least, loadTime)
	}
	if handler.waitingSince.IsZero() {
		handler.waitingSince = time.Now()
	}
	detail := "the model can't be loaded in time"
	expected := handler.waitingSince.Add(least + loadOverhead)
	// What the owner expects may be a load at another version.
	if told, known := handler.gateway.Loader.ExpectedLoad(handler.service.Name, model.Name); known && !handler.continues {
		expected = told
		detail = "other models are loaded before this one, which is expected in " + time.Until(expected).Round(time.Millisecond).String()
	}
	if !handler.leavesAt(handler.arrived).Before(expected) {
		return mimosatide.Refusal{}
	}
	// The load is requested anyway, so that a retry of the caller finds the model.
	need := handler.modelNeed()
	need.Leaves = 0
	handler.requestLoad(need)
	return mimosatide.Refuse(mimosatide.ReasonNoCapacity, detail).WithRetryAfter(handler.returnAfter(expected, time.Now()))
}

// leavesAt returns until when a caller waits whose request arrives at the given time.
func (handler *requestHandler) leavesAt(arrival time.Time) time.Time {
	leaves := arrival.Add(handler.route.Patience)
	if handler.route.Patience <= 0 || leaves.After(handler.deadline) {
		return handler.deadline
	}
	return leaves
}

// returnAfter returns when the caller of a refused request should return, if its model is
// expected to be loaded at the given time. A caller that is told to return before the load, as
// late as callers accept, can wait for the rest of it.
func (handler *requestHandler) returnAfter(expected, now time.Time) time.Duration {
	wait := expected.Sub(now)
	latest := time.Duration(float64(handler.deadline.Sub(now)) * returnShare)
	if wait > latest && !handler.leavesAt(now.Add(latest)).Before(expected.Add(loadOverhead)) {
		return latest
	}
	return wait
}

// modelNeed returns the need for the request's model, at a target that the request may be sent to.
func (handler *requestHandler) modelNeed() loading.Need {
	need := loading.Need{
		Service: handler.service.Name, Model: handler.request.Model, Priority: handler.priority, HasPriority: true,
		Leaves: max(time.Until(handler.leavesAt(handler.arrived)), 0), PromptTokens: handler.request.PromptTokens,
	}
	if handler.request.ID != "" {
		need.Request = xxhash.Sum64String(handler.request.ID)
	}
	if handler.continues {
		need.Software = handler.software
	}
	return need
}

func (handler *requestHandler) requestLoad(need loading.Need) {
	first := need.Adapter == "" && !handler.loadRequested
	handler.loadRequested = handler.loadRequested || first
	handler.gateway.Loader.AddNeed(need, first)
}

func (handler *requestHandler) query() balance.Query {
	return balance.Query{
		Request: handler.request, Engine: handler.service.Engine != nil, Tried: handler.tried, Limited: handler.limited,
		GapObjective: handler.gapObjective, Connected: handler.connected,
	}
}

// limited reports whether a target limits its requests, or is cold.
func (handler *requestHandler) limited(instance mimosatide.Instance) bool {
	_, limited := handler.gateway.Limits.Bound(instance, time.Now())
	return limited
}

// connected reports whether the request can be sent to an address over an idle connection.
func (handler *requestHandler) connected(address string) bool {
	return handler.gateway.Client.HasIdle(address, !handler.route.Repeatable())
}

// waitRefusal returns the refusal of a request for which wait returned false.
func (handler *requestHandler) waitRefusal(ctx context.Context) mimosatide.Refusal {
	if ctx.Err() == context.Canceled {
		return mimosatide.Refuse(mimosatide.ReasonCallerGone, "the caller left while the request waited")
	}
	if ctx.Err() == nil {
		return mimosatide.Refuse(mimosatide.ReasonDraining, "the node ends before the request could be served").WithRetryAfter(drainingRetryAfter)
	}
	return mimosatide.Refuse(mimosatide.ReasonWaitExpired, "no target became ready in time").WithRetryAfter(noCapacityRetryAfter)
}

// wait blocks until changed is closed or the timeout has passed. It returns false
// if the request must stop waiting: its context has ended or the node drains.
func (handler *requestHandler) wait(ctx context.Context, changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-handler.gateway.Draining:
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}
