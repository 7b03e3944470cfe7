package balance

import (
	"time"

	"mimosatide.example/mimosatide"
)

// An engine reads all its pending prompts concurrently, a chunk of each between
// two decoding steps of its streams. Every long prompt therefore lengthens the
// gaps between the events of those streams, and long prompts are deferred.
const (
	// longPrefill is the shortest prefill that counts as long; a shorter prompt is
	// only one or two chunks.
	longPrefill = 25 * time.Millisecond
	// gapPerLongPrefill is what each long prefill adds to the gap between two events
	// of a stream at the same engine; see docs/MEASUREMENTS.md.
	gapPerLongPrefill = 100 * time.Millisecond
	// prefillGapShare is the share of the allowed gap that the prompts which a target has yet to read
	// may take together; the rest is left to the decoding steps of an event.
	prefillGapShare = 0.75
	// pollsPerUpdate is the number of polls of a deferred request between two load
	// updates from another node.
	pollsPerUpdate = 10
)

// DeferralPoll is the interval at which a deferred request checks whether it may be sent.
const DeferralPoll = 25 * time.Millisecond

// IsLongPrefill reports whether a target would take long enough to read the request's
// prompt to slow the streams that it serves.
func (tracker *Tracker) IsLongPrefill(query Query, id string) bool {
	if !query.Engine {
		return false
	}
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	return query.expectedPrefill(tracker.state(id)) >= longPrefill
}

// FitsGap reports whether a target can read the request's prompt beside those that it has yet to read,
// at its pace, within the share of gap that is left to prompts. A target that reads no long prompt can.
func (tracker *Tracker) FitsGap(query Query, instance mimosatide.Instance, gap time.Duration, now time.Time) bool {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	load := tracker.total(instance.ID, now)
	if load.LongPrefills <= 0 {
		return true
	}
	pending := load.Prefill + query.expectedPrefill(tracker.state(instance.ID))
	return atPace(pending, tracker.pace.Factor(paceTarget(instance), now)) <= time.Duration(float64(gap)*prefillGapShare)
}

// PrefillSlots describes how many long prompts a target may still read at once.
type PrefillSlots struct {
	// Free is the number of further long prompts that the target may read; not
	// positive if there is none. The limit is at least one prompt, and otherwise as
	// many as fill half of the allowed gap: half, because the load known of other
	// nodes is stale.
	Free int
	// Deferred counts the requests deferred for the target on all nodes, OwnDeferred
	// those on this node.
	Deferred    int
	OwnDeferred int
}

// PrefillSlots returns the slots of a target at which the gap between two events of
// a stream may be at most gap.
func (tracker *Tracker) PrefillSlots(id string, gap time.Duration, now time.Time) PrefillSlots {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	load := tracker.total(id, now)
	return PrefillSlots{
		Free:        max(int(gap/gapPerLongPrefill)/2, 1) - load.LongPrefills,
		Deferred:    load.Deferred,
		OwnDeferred: tracker.state(id).load.Deferred,
	}
}

// SendProbability is the probability with which a deferred request is sent at one
// poll. With it, all nodes together send about as many requests as there are free
// slots before they learn of each other's sends. With a free slot and no requests
// deferred on other nodes it is 1.
func (slots PrefillSlots) SendProbability() float64 {
	if slots.Free <= 0 {
		return 0
	}
	if slots.Deferred <= slots.OwnDeferred {
		return 1
	}
	return min(1, float64(slots.Free)/float64(slots.Deferred)/pollsPerUpdate)
}

// Defer counts a request as deferred for a target until the returned function is called.
func (tracker *Tracker) Defer(id string) func() {
	tracker.addDeferred(id, 1)
	return func() { tracker.addDeferred(id, -1) }
}

func (tracker *Tracker) addDeferred(id string, change int) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	tracker.state(id).load.Deferred += change
}
