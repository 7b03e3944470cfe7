package balance

import (
	"time"

	"mimosatide.example/mimosatide"
)

// cacheTokens returns the tokens of the cache that the request takes at an engine. The shared prefix of its prompt
// doesn't count: an engine holds it once for all requests that share it.
func (query Query) cacheTokens() int {
	if !query.Engine {
		return 0
	}
	return max(query.Request.PromptTokens-query.Request.SharedPrefixTokens()+query.Request.OutputTokens, 0)
}

// FitsCache reports whether the tokens of the request fit the cache of an engine, in tokens, beside those of the
// requests in flight there and of more that are not in flight yet, which count as if they were as large as this
// one. It is true if the capacity is not known, or if there are no other requests.
func (tracker *Tracker) FitsCache(query Query, id string, capacity, more int, now time.Time) bool {
	if capacity <= 0 {
		return true
	}
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	taken := tracker.total(id, now).Tokens + more*query.cacheTokens()
	return taken <= 0 || taken+query.cacheTokens() <= capacity
}

// HasFreeSlot reports whether this node's own requests leave a slot of a target free, beside more that are not in
// flight yet. What other nodes have
// reported is older than requests of a plain service last, and doesn't count.
func (tracker *Tracker) HasFreeSlot(instance mimosatide.Instance, more int) bool {
	if instance.Slots <= 0 {
		return true
	}
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	state, found := tracker.targets[instance.ID]
	if found {
		more += state.load.Running
	}
	return more < instance.Slots
}

// Reading is the work of reading a prompt at an engine.
type Reading struct {
	// Own is the time for the part that no other prompt shares, Shared that for the shared prefix.
	Own    time.Duration
	Shared time.Duration
	// Prefix identifies the shared prefix, for the request's model and adapter; zero if there is none.
	Prefix uint64
}

// Reading returns the work of reading the request's prompt at an engine, at its pace.
func (tracker *Tracker) Reading(query Query, instance mimosatide.Instance, now time.Time) Reading {
	factor := tracker.pace.Factor(paceTarget(instance), now)
	shared := query.sharedPrefillTime()
	return Reading{Own: atPace(query.PrefillTime()-shared, factor), Shared: atPace(shared, factor), Prefix: query.prefixKey()}
}
