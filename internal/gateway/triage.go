package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/triage"
)

// selectByRank returns a target for the request. While the target has no room for it, the request waits in
// the node's queue for that target, for at most as long as a long prompt is deferred. A request that no target can
// answer before its caller leaves is refused.
func (handler *requestHandler) selectByRank(ctx context.Context) (mimosatide.Instance, mimosatide.Refusal) {
	until := handler.deferralEnd()
	release := func() {}
	defer func() { release() }()
	for {
		release()
		release = func() {}
		instance, refusal := handler.findTarget(ctx)
		if refusal.Refused() {
			return instance, refusal
		}
		if refusal := handler.refuseHopeless(instance); refusal.Refused() {
			return mimosatide.Instance{}, refusal
		}
		if time.Now().Before(until) && !handler.mayGoAhead(instance) {
			placed, refusal := handler.awaitRoom(ctx, instance, until)
			if refusal.Refused() {
				return mimosatide.Instance{}, refusal
			}
			if placed.ID == "" {
				continue
			}
			instance = placed
			release = func() { handler.gateway.Triage.Release(placed.ID) }
		}
		if proceed, refusal := handler.awaitReading(ctx, instance, until); refusal.Refused() {
			return mimosatide.Instance{}, refusal
		} else if !proceed {
			continue
		}
		permitted, refusal := handler.awaitPermit(ctx, instance)
		if permitted || refusal.Refused() {
			return instance, refusal
		}
	}
}

// mayGoAhead reports whether the request needs no place in the queue for a target: it needs no room there, or
// there is room and no request waits for it.
func (handler *requestHandler) mayGoAhead(instance mimosatide.Instance) bool {
	if !handler.needsRoom(instance) {
		return true
	}
	return handler.gateway.Triage.WaitingAt(instance.ID) == 0 && handler.room(instance, 0) == triage.Send
}

// needsRoom reports whether the request is one of those that wait for room at a target: a long prompt at an engine
// whose streams have an event gap objective, and any request at a plain service. Short prompts hardly
// slow an engine, and engines preempt by rank.
func (handler *requestHandler) needsRoom(instance mimosatide.Instance) bool {
	if handler.service.Engine == nil {
		return true
	}
	return handler.gapObjective > 0 && handler.gateway.Tracker.IsLongPrefill(handler.query(), instance.ID)
}

// room looks for room for the request at a target beside requests that have got a place there and are not in
// flight yet.
func (handler *requestHandler) room(instance mimosatide.Instance, granted int) triage.Verdict {
	tracker, now := handler.gateway.Tracker, time.Now()
	engine := handler.service.Engine
	if engine == nil {
		if tracker.HasFreeSlot(instance, granted) {
			return triage.Send
		}
		return triage.NoRoom
	}
	if !tracker.FitsCache(handler.query(), instance.ID, engine.CacheTokens, granted, now) {
		return triage.NoRoom
	}
	if handler.gateway.Turns != nil {
		return triage.Send
	}
	if granted > 0 || !tracker.FitsGap(handler.query(), instance, handler.gapObjective, now) {
		return triage.NoRoom
	}
	slots := tracker.PrefillSlots(instance.ID, handler.gapObjective, now)
	if slots.Free <= 0 {
		return triage.NoRoom
	}
	// One request is tried for all that this node has deferred.
	if rand.Float64() >= slots.SendProbability()*float64(max(slots.OwnDeferred, 1)) {
		return triage.Hold
	}
	return triage.Send
}

// place looks for room for the request at any of its targets; it changes nothing.
func (handler *requestHandler) place(now time.Time, granted func(target string) int) (mimosatide.Instance, triage.Verdict) {
	ready := handler.readyTargets(now)
	chosen, _, found := handler.gateway.Tracker.Choose(handler.query(), ready, now)
	if !found {
		return mimosatide.Instance{}, triage.Choose
	}
	return chosen, handler.room(chosen, granted(chosen.ID))
}

// readyTargets returns the targets that could be sent the request now.
func (handler *requestHandler) readyTargets(now time.Time) []mimosatide.Instance {
	candidates := handler.candidates()
	if handler.service.Engine != nil {
		withModel, withAdapter := balance.Ready(handler.request, candidates)
		candidates = withModel
		if handler.request.Adapter != "" {
			candidates = withAdapter
		}
	}
	candidates, _ = handler.gateway.Tracker.Unpaused(candidates, now)
	return candidates
}

// awaitRoom waits in the queue for a target. It returns the target that has room; none if the request needs another
// choice, also because it has waited for as long as it may.
func (handler *requestHandler) awaitRoom(ctx context.Context, instance mimosatide.Instance, until time.Time) (mimosatide.Instance, mimosatide.Refusal) {
	release := handler.gateway.Tracker.Defer(instance.ID)
	defer release()
	started := time.Now()
	defer func() { handler.deferred += time.Since(started) }()
	entry := triage.Entry{Request: handler.rank(instance), Place: handler.place}
	placed, outcome := handler.gateway.Triage.Wait(ctx, handler.gateway.Draining, instance.ID, entry, until)
	handler.gateway.Meter.CountTriage(string(outcome))
	switch outcome {
	case triage.Ended:
		return mimosatide.Instance{}, handler.waitRefusal(ctx)
	case triage.Full:
		if !handler.wait(ctx, nil, balance.DeferralPoll) {
			return mimosatide.Instance{}, handler.waitRefusal(ctx)
		}
	}
	return placed, mimosatide.Refusal{}
}

// rank returns what the order of waiting requests depends on.
func (handler *requestHandler) rank(instance mimosatide.Instance) triage.Request {
	engine := handler.service.Engine != nil
	ranked := triage.Request{
		Account: handler.account.Name, Model: handler.request.Model, Priority: handler.priority, Arrived: handler.arrived,
		Objective: handler.arrived.Add(handler.route.LatencyObjective),
		Large:     engine && handler.gateway.Tracker.IsLongPrefill(handler.query(), instance.ID),
		Begun:     handler.continues || handler.request.LastEvent != "",
	}
	if engine {
		ranked.Work = handler.belief(instance, time.Now()).Expected()
	}
	return ranked
}

// belief returns what the node believes of the time until an engine sends the request's first event.
func (handler *requestHandler) belief(instance mimosatide.Instance, now time.Time) triage.Belief {
	query := handler.query()
	estimate := handler.gateway.Tracker.Explain(query, []mimosatide.Instance{instance}, now)[0]
	return triage.Belief{
		Pending: estimate.Load.Prefill, Prompts: estimate.Load.LongPrefills,
		Own: query.UnsharedPrefillTime(), Factor: estimate.Cost.Factor,
	}
}

// refuseHopeless refuses a request if no engine that holds its model can send its first event before its caller
// leaves. Nothing of it has been sent yet.
func (handler *requestHandler) refuseHopeless(chosen mimosatide.Instance) mimosatide.Refusal {
	if handler.service.Engine == nil || handler.sends > 0 || handler.continues || handler.request.LastEvent != "" {
		return mimosatide.Refusal{}
	}
	now := time.Now()
	left := handler.leavesAt(handler.arrived).Sub(now)
	belief := handler.belief(chosen, now)
	beliefs := []triage.Belief{belief}
	if _, hopeless := triage.Hopeless(beliefs, left); !hopeless {
		return mimosatide.Refusal{}
	}
	for _, other := range handler.readyTargets(now) {
		beliefs = append(beliefs, handler.belief(other, now))
	}
	late, hopeless := triage.Hopeless(beliefs, left)
	if !hopeless {
		return mimosatide.Refusal{}
	}
	handler.gateway.Meter.CountTriage("Refused")
	returnAt := handler.gateway.Triage.Return(handler.service.Name, now.Add(late), belief.Own, now)
	latest := time.Duration(float64(handler.deadline.Sub(now)) * returnShare)
	detail := "no target can send the first event before the caller leaves"
	return mimosatide.Refuse(mimosatide.ReasonNoCapacity, detail).WithRetryAfter(min(returnAt.Sub(now), latest))
}
