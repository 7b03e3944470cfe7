package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
)

// A request is deferred for at most these shares of its route's latency objective
// and of the time between its arrival and its deadline. The rest is left for
// reading its prompt and streaming its events.
const (
	objectiveDeferralShare = 0.5
	deadlineDeferralShare  = 0.25
)

// selectTarget returns a target for the request. A long prompt is deferred while the
// target already reads as many long prompts as the gap objective of its streams
// allows: sent at once, it would slow those streams and not be read any sooner.
func (handler *requestHandler) selectTarget(ctx context.Context) (mimosatide.Instance, mimosatide.Refusal) {
	if handler.triaged {
		return handler.selectByRank(ctx)
	}
	until := handler.deferralEnd()
	deferredFor, release := "", func() {}
	defer func() { release() }()
	for {
		instance, refusal := handler.findTarget(ctx)
		if refusal.Refused() {
			return instance, refusal
		}
		if !time.Now().Before(until) || handler.mayPrefill(instance) {
			permitted, refusal := handler.awaitPermit(ctx, instance)
			if permitted || refusal.Refused() {
				return instance, refusal
			}
			continue
		}
		if deferredFor != instance.ID {
			release()
			deferredFor, release = instance.ID, handler.gateway.Tracker.Defer(instance.ID)
		}
		started := time.Now()
		proceed := handler.wait(ctx, nil, balance.DeferralPoll)
		handler.deferred += time.Since(started)
		if !proceed {
			return mimosatide.Instance{}, handler.waitRefusal(ctx)
		}
	}
}

// deferralEnd returns the time after which the request is no longer deferred. A
// request of a route without a latency objective is never deferred.
func (handler *requestHandler) deferralEnd() time.Time {
	byObjective := time.Duration(float64(handler.route.LatencyObjective) * objectiveDeferralShare)
	byDeadline := time.Duration(float64(handler.deadline.Sub(handler.arrived)) * deadlineDeferralShare)
	return handler.arrived.Add(min(byObjective, byDeadline))
}

// mayPrefill reports whether the request's prompt may be sent to a target now. Of
// several deferred requests, each is sent with the probability that the free slots allow.
func (handler *requestHandler) mayPrefill(instance mimosatide.Instance) bool {
	if handler.gapObjective <= 0 || !handler.gateway.Tracker.IsLongPrefill(handler.query(), instance.ID) {
		return true
	}
	if !handler.gateway.Tracker.FitsGap(handler.query(), instance, handler.gapObjective, time.Now()) {
		return false
	}
	slots := handler.gateway.Tracker.PrefillSlots(instance.ID, handler.gapObjective, time.Now())
	return rand.Float64() < slots.SendProbability()
}
