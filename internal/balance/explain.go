package balance

import (
	"time"

	"mimosatide.example/mimosatide"
)

// Estimate is what a tracker believes of a candidate for a request.
type Estimate struct {
	Cost Cost
	// Load is the load of all nodes at the candidate.
	Load Load
	// BlockedUntil is until when the candidate takes no requests of this node, because it has asked
	// for a pause or its limit allows none; the zero time if it takes them now.
	BlockedUntil time.Time
}

// Explain returns the estimates of the candidates by which Choose would decide now.
func (tracker *Tracker) Explain(query Query, candidates []mimosatide.Instance, now time.Time) []Estimate {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	tracker.expirePeers(now)
	preferred := rendezvousTarget(&query, candidates)
	estimates := make([]Estimate, 0, len(candidates))
	paces := tracker.pace.Read(now)
	defer paces.Close()
	work := query.work()
	for index, candidate := range candidates {
		blocked := pausedUntil(tracker.pauses, candidate, now)
		if exhausted := pausedUntil(tracker.exhausted, candidate, now); exhausted.After(blocked) {
			blocked = exhausted
		}
		cost := tracker.cost(&work, &candidates[index], index == preferred, paces, now)
		if query.Connected != nil && !query.Connected(candidate.Address) {
			cost.Connection = connectionCost
		}
		estimates = append(estimates, Estimate{
			Cost:         cost,
			Load:         tracker.total(candidate.ID, now),
			BlockedUntil: blocked,
		})
	}
	return estimates
}
