package balance

import (
	"time"

	"mimosatide.example/mimosatide"
)

// pause is the time for which an incarnation of a target has asked this node to send nothing.
type pause struct {
	born  time.Time
	until time.Time
}

// Pause records that a target has asked this node to send it no requests until a time.
func (tracker *Tracker) Pause(instance mimosatide.Instance, until, now time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	for id, known := range tracker.pauses {
		if now.After(known.until) {
			delete(tracker.pauses, id)
		}
	}
	known, found := tracker.pauses[instance.ID]
	if found && (known.born.After(instance.Born) || known.born.Equal(instance.Born) && known.until.After(until)) {
		return
	}
	tracker.pauses[instance.ID] = pause{born: instance.Born, until: until}
}

// MarkExhausted records that the limit of a target allows this node no requests until a time.
func (tracker *Tracker) MarkExhausted(instance mimosatide.Instance, until, now time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	for id, known := range tracker.exhausted {
		if now.After(known.until) {
			delete(tracker.exhausted, id)
		}
	}
	tracker.exhausted[instance.ID] = pause{born: instance.Born, until: until}
}

// PausedUntil returns until when this incarnation of a target wants no requests from this
// node; the zero time if it takes them now.
func (tracker *Tracker) PausedUntil(instance mimosatide.Instance, now time.Time) time.Time {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	return pausedUntil(tracker.pauses, instance, now)
}

func pausedUntil(pauses map[string]pause, instance mimosatide.Instance, now time.Time) time.Time {
	known, found := pauses[instance.ID]
	if !found || !known.born.Equal(instance.Born) || !now.Before(known.until) {
		return time.Time{}
	}
	return known.until
}

// Unpaused returns the candidates that take requests now: that have neither asked for a
// pause nor reached their limit. If there are none, it also
// returns when the first of them does; the zero time without candidates.
func (tracker *Tracker) Unpaused(candidates []mimosatide.Instance, now time.Time) ([]mimosatide.Instance, time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if len(tracker.pauses) == 0 && len(tracker.exhausted) == 0 {
		return candidates, time.Time{}
	}
	var unpaused []mimosatide.Instance
	var earliest time.Time
	for _, candidate := range candidates {
		until := pausedUntil(tracker.pauses, candidate, now)
		if exhausted := pausedUntil(tracker.exhausted, candidate, now); exhausted.After(until) {
			until = exhausted
		}
		if until.IsZero() {
			unpaused = append(unpaused, candidate)
		} else if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	if len(unpaused) > 0 {
		return unpaused, time.Time{}
	}
	return nil, earliest
}
