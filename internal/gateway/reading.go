package gateway

import (
	"context"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/reading"
)

// readingShare is the share of the allowed gap between two events of a stream for which an engine may have long
// prompts to read, unless it reads a single one. With less, prompts wait longer and streams have shorter gaps; which of
// the two matters more differs between deployments.
const readingShare = 0.5

// Turns lets the long prompts of all nodes take turns at the engines.
type Turns interface {
	// Await waits until it is the turn of a prompt, at most for its patience.
	Await(ctx context.Context, turn reading.Turn) reading.Outcome
}

// awaitReading waits for the turn of a long prompt at an engine, until it has been deferred for as long as it may
// be. It returns false if the request needs another choice of its target.
func (handler *requestHandler) awaitReading(ctx context.Context, instance mimosatide.Instance, until time.Time) (bool, mimosatide.Refusal) {
	if handler.gateway.Turns == nil || handler.service.Engine == nil || !handler.needsRoom(instance) {
		return true, mimosatide.Refusal{}
	}
	now := time.Now()
	work := handler.gateway.Tracker.Reading(handler.query(), instance, now)
	turn := reading.Turn{
		Target: instance.ID, Born: instance.Born, Cost: work.Own, Shared: work.Shared, Prefix: uint32(work.Prefix),
		Room: time.Duration(float64(handler.gapObjective) * readingShare), Patience: max(until.Sub(now), 0), Rank: handler.rank(instance),
	}
	outcome := handler.gateway.Turns.Await(ctx, turn)
	handler.deferred += time.Since(now)
	handler.gateway.Meter.CountTriage(string(outcome))
	if ctx.Err() != nil {
		return false, handler.waitRefusal(ctx)
	}
	return handler.gateway.permits(instance) || !time.Now().Before(until), mimosatide.Refusal{}
}
