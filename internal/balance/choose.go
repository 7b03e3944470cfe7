package balance

import (
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
	// connectionCost is added for a target without an idle connection. Opening one takes 1 ms; twice that
	// outweighs one running request at an engine (runningCost), and no request in flight at a plain service.
	connectionCost = 2 * time.Millisecond
	// maxConnectionChecks bounds the targets that are asked for an idle connection in one choice; of as many
	// targets of nearly equal cost one has a connection, if connections are reused at all.
	maxConnectionChecks = 32
	// prefillTokensPerSecond is the number of prompt tokens that an engine reads per second.
	prefillTokensPerSecond = 40_000
	// keyBytes is the space for the key of a prefix and the id of a target; longer ones are allocated.
	keyBytes = 256
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
	// Connected reports whether the request could be sent to the target at an address without opening a
	// connection; nil if that is not known.
	Connected func(address string) bool
}

// appendPrefixKey appends the name of the shared prompt prefix in a target's cache; nothing if the
// prompt shares nothing with other requests.
func (query *Query) appendPrefixKey(to []byte) []byte {
	shared := query.Request.SharedPrefixID()
	if shared == "" {
		return to
	}
	to = append(append(to, query.Request.Model...), '/')
	to = append(append(to, query.Request.Adapter...), '#')
	return append(to, shared...)
}

// prefixKey identifies the shared prompt prefix in a target's cache; zero if the prompt shares nothing
// with other requests.
func (query *Query) prefixKey() uint64 {
	var space [keyBytes]byte
	name := query.appendPrefixKey(space[:0])
	if len(name) == 0 {
		return 0
	}
	return xxhash.Sum64(name)
}

// appendAffinityKey appends the key that selects the preferred target without communication between
// nodes: requests with the same key prefer the same target.
func (query *Query) appendAffinityKey(to []byte) []byte {
	if query.Request.Adapter != "" {
		return append(append(append(to, query.Request.Model...), '/'), query.Request.Adapter...)
	}
	return query.appendPrefixKey(to)
}

// PrefillTime returns the time that an engine takes to read the whole prompt when
// none of it is cached.
func (query Query) PrefillTime() time.Duration {
	return time.Duration(query.Request.PromptTokens) * time.Second / prefillTokensPerSecond
}

// UnsharedPrefillTime returns the time that an engine takes to read the part of the prompt that no other request
// shares.
func (query Query) UnsharedPrefillTime() time.Duration {
	return query.PrefillTime() - query.sharedPrefillTime()
}

func (query Query) sharedPrefillTime() time.Duration {
	return time.Duration(query.Request.SharedPrefixTokens()) * time.Second / prefillTokensPerSecond
}

// expectedPrefill is the time that a target takes to read the prompt, less the
// prefix that it probably has in its cache.
func (query Query) expectedPrefill(state *targetState) time.Duration {
	work := query.work()
	return work.expectedPrefill(state)
}

// work is what the costs of all candidates of a request depend on. It is calculated once for a choice.
type work struct {
	query     *Query
	prefixKey uint64
	// prefill is the time to read the whole prompt, shared the part of it for the shared prefix;
	// zero for plain services.
	prefill time.Duration
	shared  time.Duration
}

func (query *Query) work() work {
	if !query.Engine {
		return work{query: query}
	}
	return work{query: query, prefixKey: query.prefixKey(), prefill: query.PrefillTime(), shared: query.sharedPrefillTime()}
}

func (work *work) expectedPrefill(state *targetState) time.Duration {
	if work.caches(state) {
		return work.prefill - work.shared
	}
	return work.prefill
}

// caches reports whether the target probably has the request's prompt prefix in its cache.
func (work *work) caches(state *targetState) bool {
	if work.prefixKey == 0 {
		return false
	}
	_, cached := state.prefixes[work.prefixKey]
	return cached
}

// Choose returns the candidate with the lowest cost, and that cost. Targets in
// Query.Tried are skipped while there are others.
// The last result is false if there is no candidate.
func (tracker *Tracker) Choose(
	query Query, candidates []mimosatide.Instance, now time.Time,
) (mimosatide.Instance, time.Duration, bool) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	preferred := rendezvousTarget(&query, candidates)
	tracker.expirePeers(now)
	paces := tracker.pace.Read(now)
	defer paces.Close()
	work := query.work()
	best, least, bestTried, checks := -1, time.Duration(0), false, 0
	for index := range candidates {
		tried := len(query.Tried) > 0 && query.Tried[candidates[index].ID]
		if tried && best >= 0 && !bestTried {
			continue
		}
		cost := tracker.cost(&work, &candidates[index], index == preferred, paces, now).Total()
		better := best < 0 || bestTried && !tried
		if !better && cost >= least {
			continue
		}
		if query.Connected != nil {
			if checks >= maxConnectionChecks || !query.Connected(candidates[index].Address) {
				cost += connectionCost
			}
			checks++
		}
		if better || cost < least {
			best, least, bestTried = index, cost, tried
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
	// Connection is the time to open a connection, if there is no idle one.
	Connection time.Duration
	// Factor is that of the target's pace.
	Factor float64
}

// Total returns the sum of the parts.
func (cost Cost) Total() time.Duration {
	return cost.Failures + cost.Zone + cost.Limited + cost.Work + cost.Adapter + cost.Gap + cost.Connection
}

// cost returns the cost of a candidate without that of a connection, by the loads of the peers that Choose has left.
func (tracker *Tracker) cost(work *work, candidate *mimosatide.Instance, preferred bool, paces pace.Reader, now time.Time) Cost {
	query, state := work.query, tracker.state(candidate.ID)
	load := state.load.plus(state.peers)
	cost := Cost{
		Failures: time.Duration(state.failureRateAt(now) * float64(failureCost)),
		Factor:   paces.Factor(&state.pace, candidate.ID, candidate.Born),
	}
	if now.Before(state.backoffUntil) {
		cost.Failures += failureCost + state.backoffUntil.Sub(now)
	}
	if candidate.Zone != tracker.zone {
		cost.Zone = zoneCost
	}
	if query.Limited != nil && query.Limited(*candidate) {
		cost.Limited = limitedCost
	}
	if !query.Engine {
		cost.Work = atPace(time.Duration(load.Running)*slotCost/time.Duration(max(candidate.Slots, 1)), cost.Factor)
		return cost
	}
	prefill := work.expectedPrefill(state)
	if preferred {
		// The other nodes prefer this target too, so it probably has the prefix cached.
		prefill = work.prefill - work.shared
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

// rendezvousTarget returns the index of the candidate that rendezvous hashing selects
// for the request; -1 if it prefers none.
func rendezvousTarget(query *Query, candidates []mimosatide.Instance) int {
	var space [keyBytes]byte
	key := query.appendAffinityKey(space[:0])
	if len(key) == 0 {
		return -1
	}
	key = append(key, '@')
	best, highest := -1, uint64(0)
	for index := range candidates {
		weight := xxhash.Sum64(append(key, candidates[index].ID...))
		if best < 0 || weight > highest {
			best, highest = index, weight
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
