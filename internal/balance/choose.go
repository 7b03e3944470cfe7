package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/pace"
)

// The cost terms of a choice, each as expected time to the first byte.
const (
	// zoneCost accounts for the price of traffic between zones.
	zoneCost = 15 * time.Millisecond
	// adapterCost is the time until a missing adapter is usable.
	adapterCost = 40 * time.Millisecond
	// failureCost is added for a target with a failure rate of 1.
	failureCost = 2 * time.Second
	// slotCost is added for a plain service whose slots are all taken.
	slotCost = 400 * time.Millisecond
	// limitedCost is added for a target that limits its requests because it is in need.
	limitedCost = 100 * time.Millisecond
	// runningCost is the delay that each running request adds to a prefill.
	runningCost = time.Millisecond
	// prefillTokensPerSecond is the number of prompt tokens that an engine reads per second.
	prefillTokensPerSecond = 40_000
)

// Query describes a request for which a target is chosen.
type Query struct {
	Request mimosatide.CallerRequest
	// Engine says that the target is a model engine.
	Engine bool
	// Tried are the ids of the targets that the request was already sent to.
	Tried map[string]bool
	// GapObjective is the longest gap between two events that the streams of an engine's service
	// may have; zero if there is no such objective.
	GapObjective time.Duration
	// Limited reports whether a target limits its requests; nil if none does.
	Limited func(mimosatide.Instance) bool
}

// prefixKey identifies the shared prompt prefix in a target's cache; empty if the
// prompt shares nothing with other requests.
func (query Query) prefixKey() string {
	shared := query.Request.SharedPrefixID()
	if shared == "" {
		return ""
	}
	return query.Request.Model + "/" + query.Request.Adapter + "#" + shared
}

// affinityKey selects the preferred target without communication between nodes:
// requests with the same key prefer the same target.
func (query Query) affinityKey() string {
	if query.Request.Adapter != "" {
		return query.Request.Model + "/" + query.Request.Adapter
	}
	return query.prefixKey()
}

// PrefillTime returns the time that an engine takes to read the whole prompt when
// none of it is cached.
func (query Query) PrefillTime() time.Duration {
	return time.Duration(query.Request.PromptTokens) * time.Second / prefillTokensPerSecond
}

func (query Query) sharedPrefillTime() time.Duration {
	return time.Duration(query.Request.SharedPrefixTokens()) * time.Second / prefillTokensPerSecond
}

// expectedPrefill is the time that a target takes to read the prompt, less the
// prefix that it probably has in its cache.
func (query Query) expectedPrefill(state *targetState) time.Duration {
	if !query.Engine {
		return 0
	}
	full := query.PrefillTime()
	if _, cached := state.prefixes[query.prefixKey()]; cached {
		return full - query.sharedPrefillTime()
	}
	return full
}

// Choose returns the candidate with the lowest cost, and that cost. Targets in
// Query.Tried are skipped while there are others.
// The last result is false if there is no candidate.
func (tracker *Tracker) Choose(
	query Query, candidates []mimosatide.Instance, now time.Time,
) (mimosatide.Instance, time.Duration, bool) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	preferred := rendezvousTarget(query.affinityKey(), candidates)
	untried := slices.ContainsFunc(candidates, func(candidate mimosatide.Instance) bool { return !query.Tried[candidate.ID] })
	tracker.expirePeers(now)
	best, least := -1, time.Duration(0)
	for index, candidate := range candidates {
		if untried && query.Tried[candidate.ID] {
			continue
		}
		cost := tracker.cost(query, candidate, candidate.ID == preferred, now).Total()
		if best < 0 || cost < least {
			best, least = index, cost
		}
	}
	if best < 0 {
		return mimosatide.Instance{}, 0, false
	}
	return candidates[best], least, true
}

// Cost is the cost of a candidate by its parts, each as expected time to the first byte.
type Cost struct {
	// Failures is that of recent failures, Zone that of traffic between zones, less the preference for
	// one target, Limited that of a target that limits its requests or is cold.
	Failures time.Duration
	Zone     time.Duration
	Limited  time.Duration
	// Work is the time until the target has read the prompts in flight and this one, or has a free slot,
	// at its pace.
	Work time.Duration
	// Adapter is the time until a missing adapter is usable.
	Adapter time.Duration
	// Gap is the cost of the gaps between events that the request sees and causes; see gapCost.
	Gap time.Duration
	// Factor is that of the target's pace.
	Factor float64
}

// Total returns the sum of the parts.
func (cost Cost) Total() time.Duration {
	return cost.Failures + cost.Zone + cost.Limited + cost.Work + cost.Adapter + cost.Gap
}

// cost returns the cost of a candidate, by the loads of the peers that Choose has left.
func (tracker *Tracker) cost(query Query, candidate mimosatide.Instance, preferred bool, now time.Time) Cost {
	state := tracker.state(candidate.ID)
	load := state.load.plus(tracker.peerSums[candidate.ID])
	cost := Cost{
		Failures: time.Duration(state.failureRateAt(now) * float64(failureCost)),
		Factor:   tracker.pace.Factor(paceTarget(candidate), now),
	}
	if now.Before(state.backoffUntil) {
		cost.Failures += failureCost + state.backoffUntil.Sub(now)
	}
	if candidate.Zone != tracker.zone {
		cost.Zone = zoneCost
	}
	if query.Limited != nil && query.Limited(candidate) {
		cost.Limited = limitedCost
	}
	if !query.Engine {
		cost.Work = atPace(time.Duration(load.Running)*slotCost/time.Duration(max(candidate.Slots, 1)), cost.Factor)
		return cost
	}
	prefill := query.expectedPrefill(state)
	if preferred {
		// The other nodes prefer this target too, so it probably has the prefix cached.
		if _, cached := state.prefixes[query.prefixKey()]; !cached {
			prefill -= query.sharedPrefillTime()
		}
		cost.Zone -= zoneCost
	}
	cost.Work = atPace(load.Prefill+time.Duration(load.Running)*runningCost+prefill, cost.Factor)
	cost.Gap = gapCost(load, prefill, query.GapObjective, cost.Factor)
	if query.Request.Adapter != "" && !candidate.HoldsAdapter(query.Request.Model, query.Request.Adapter) {
		cost.Adapter = adapterCost
	}
	return cost
}

// atPace returns the time that work takes at a target whose pace has the given factor. The time
// that a factor adds or saves is that of pace.Floor at least: an idle target with the factor 8
// keeps even the shortest request waiting.
func atPace(work time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return work
	}
	return work + time.Duration((factor-1)*float64(max(work, pace.Floor)))
}

// rendezvousTarget returns the id of the candidate that rendezvous hashing selects
// for a key; empty if the key is empty.
func rendezvousTarget(key string, candidates []mimosatide.Instance) string {
	if key == "" {
		return ""
	}
	best, highest := "", uint64(0)
	for _, candidate := range candidates {
		weight := xxhash.Sum64String(key + "@" + candidate.ID)
		if best == "" || weight > highest {
			best, highest = candidate.ID, weight
		}
	}
	return best
}

// Ready returns the candidates that hold the request's model, and those of them
// that also hold its adapter, if it names one.
func Ready(request mimosatide.CallerRequest, candidates []mimosatide.Instance) (withModel, withAdapter []mimosatide.Instance) {
	for _, candidate := range candidates {
		if !candidate.Holds(request.Model) {
			continue
		}
		withModel = append(withModel, candidate)
		if request.Adapter == "" || candidate.HoldsAdapter(request.Model, request.Adapter) {
			withAdapter = append(withAdapter, candidate)
		}
	}
	return withModel, withAdapter
}
