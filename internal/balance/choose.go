package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide"
)

// The weights of a choice, all as time to the first byte.
const (
	// zoneCost stands for the price of bytes between zones.
	zoneCost = 15 * time.Millisecond
	// adapterCost is the time until an adapter that is absent can be used.
	adapterCost = 40 * time.Millisecond
	// failureCost is what a target that fails every request adds.
	failureCost = 2 * time.Second
	// slotCost is what a plain service with all slots taken adds.
	slotCost = 400 * time.Millisecond
	// runningCost is what one running request slows the reading of a prompt.
	runningCost = time.Millisecond
	// prefillTokens is the number of prompt tokens that an engine reads in a second.
	prefillTokens = 40_000
)

// Query is what a request needs of its target.
type Query struct {
	Entry mimosatide.Entry
	// Engine says that the target is a model engine.
	Engine bool
	// Tried are the targets that the request was sent to already.
	Tried map[string]bool
}

// part names what a target keeps for the next request like this one.
func (query Query) part() string {
	shared := query.Entry.SharedPart()
	if shared == "" {
		return ""
	}
	return query.Entry.Model + "/" + query.Entry.Adapter + "#" + shared
}

// place names what the nodes agree on without talking: requests of the same place go to the same target.
func (query Query) place() string {
	if query.Entry.Adapter != "" {
		return query.Entry.Model + "/" + query.Entry.Adapter
	}
	return query.part()
}

// PrefillTime is how long an engine reads a prompt of which it keeps nothing.
func (query Query) PrefillTime() time.Duration {
	return time.Duration(query.Entry.PromptTokens) * time.Second / prefillTokens
}

func (query Query) sharedTime() time.Duration {
	return time.Duration(query.Entry.SharedTokens()) * time.Second / prefillTokens
}

// prefill is how long a target reads the prompt, given what it is likely to keep.
func (query Query) prefill(known *state) time.Duration {
	if !query.Engine {
		return 0
	}
	full := query.PrefillTime()
	if _, kept := known.parts[query.part()]; kept {
		return full - query.sharedTime()
	}
	return full
}

// Choose returns the target with the least expected time to the first byte.
func (tracker *Tracker) Choose(
	query Query, candidates []mimosatide.Instance, now time.Time,
) (mimosatide.Instance, time.Duration, bool) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	first := preferred(query.place(), candidates)
	best, least := -1, time.Duration(0)
	for index, candidate := range candidates {
		if query.Tried[candidate.ID] && len(candidates) > len(query.Tried) {
			continue
		}
		cost := tracker.cost(query, candidate, candidate.ID == first, now)
		if best < 0 || cost < least {
			best, least = index, cost
		}
	}
	if best < 0 {
		return mimosatide.Instance{}, 0, false
	}
	return candidates[best], least, true
}

func (tracker *Tracker) cost(query Query, candidate mimosatide.Instance, first bool, now time.Time) time.Duration {
	known := tracker.state(candidate.ID)
	load := tracker.total(candidate.ID, now)
	cost := time.Duration(known.rate(now) * float64(failureCost))
	if now.Before(known.pausedTo) {
		cost += failureCost + known.pausedTo.Sub(now)
	}
	if candidate.Zone != tracker.zone {
		cost += zoneCost
	}
	if !query.Engine {
		return cost + time.Duration(load.Running)*slotCost/time.Duration(max(candidate.Slots, 1))
	}
	cost += load.Prefill + time.Duration(load.Running)*runningCost + query.prefill(known)
	if first {
		// The other nodes send requests like this one there, too.
		if _, kept := known.parts[query.part()]; !kept {
			cost -= query.sharedTime()
		}
		cost -= zoneCost
	}
	if query.Entry.Adapter != "" && !candidate.HoldsAdapter(query.Entry.Model, query.Entry.Adapter) {
		cost += adapterCost
	}
	return cost
}

// preferred is the rendezvous choice among the candidates.
func preferred(place string, candidates []mimosatide.Instance) string {
	if place == "" {
		return ""
	}
	best, highest := "", uint64(0)
	for _, candidate := range candidates {
		weight := xxhash.Sum64String(place + "@" + candidate.ID)
		if best == "" || weight > highest {
			best, highest = candidate.ID, weight
		}
	}
	return best
}

// Ready returns the candidates that hold the request's model, and those that also hold its adapter.
func Ready(entry mimosatide.Entry, candidates []mimosatide.Instance) (model, adapter []mimosatide.Instance) {
	for _, candidate := range candidates {
		if !candidate.Holds(entry.Model) {
			continue
		}
		model = append(model, candidate)
		if entry.Adapter == "" || candidate.HoldsAdapter(entry.Model, entry.Adapter) {
			adapter = append(adapter, candidate)
		}
	}
	return model, adapter
}
