package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
)

// holdPart is the part of a request's latency objective for which it is held back
// at most, and holdWaitPart the same of the time that its caller waits: the rest is
// left for reading its prompt and for its events.
const (
	holdPart     = 0.5
	holdWaitPart = 0.25
)

// findRoom returns a target for the request. A long prompt is held back while the
// target already reads as many as the streams beside them can bear: it would only
// slow those, and be read no sooner itself.
func (passage *passage) findRoom(ctx context.Context) (mimosatide.Instance, mimosatide.Refusal) {
	until := passage.holdEnd()
	held, release := "", func() {}
	defer func() { release() }()
	for {
		instance, refusal := passage.find(ctx)
		if refusal.Refused() || !time.Now().Before(until) || passage.hasRoom(instance) {
			return instance, refusal
		}
		if held != instance.ID {
			release()
			held, release = instance.ID, passage.gate.Tracker.Defer(instance.ID)
		}
		began := time.Now()
		proceed := passage.wait(ctx, nil, balance.DeferralPoll)
		passage.held += time.Since(began)
		if !proceed {
			return mimosatide.Instance{}, passage.waitedOut(ctx)
		}
	}
}

// holdEnd is until when the request may be held back.
func (passage *passage) holdEnd() time.Time {
	objective := time.Duration(float64(passage.route.LatencyObjective) * holdPart)
	waits := time.Duration(float64(passage.deadline.Sub(passage.arrived)) * holdWaitPart)
	return passage.arrived.Add(min(objective, waits))
}

// hasRoom says whether a target may read the request's prompt now.
func (passage *passage) hasRoom(instance mimosatide.Instance) bool {
	if passage.eventGap <= 0 || !passage.gate.Tracker.IsLongPrefill(passage.query(), instance.ID) {
		return true
	}
	slots := passage.gate.Tracker.PrefillSlots(instance.ID, passage.eventGap, time.Now())
	return rand.Float64() < slots.SendProbability()
}
