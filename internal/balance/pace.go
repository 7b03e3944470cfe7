package balance

import (
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/pace"
)

// maxWaitingInterval is the time since the last call of ObserveWaiting beyond which the process
// itself was held up.
const maxWaitingInterval = 500 * time.Millisecond

// timing compares the time until a request's first event with the expected one.
type timing struct {
	target   pace.Target
	sent     time.Time
	expected time.Duration
	// waiting says that the request is at index position of Tracker.waiting.
	waiting  bool
	position int
	// counted is how many times the waiting request has counted as an observation.
	counted int
}

func paceTarget(instance mimosatide.Instance) pace.Target {
	return pace.Target{ID: instance.ID, Service: instance.Service, Born: instance.Born}
}

// MarkSent records that the request is sent now. It is called for requests whose time until the
// first event tells the target's pace, right before the send, so that what a request waits for at
// this node doesn't count.
func (inFlight *InFlight) MarkSent(instance mimosatide.Instance, now time.Time) {
	tracker := inFlight.tracker
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if inFlight.ended || inFlight.timing.waiting {
		return
	}
	inFlight.timing = timing{
		target: paceTarget(instance), sent: now, expected: inFlight.expectedTime(instance.Slots, now),
		waiting: true, position: len(tracker.waiting),
	}
	tracker.waiting = append(tracker.waiting, inFlight)
}

// expectedTime returns the time until the first event at the usual pace, given what is in flight
// at the target. Of a plain service only the ratio between the times at an idle target and at one
// with more requests than slots is known; its usual time is part of what package pace learns.
func (inFlight *InFlight) expectedTime(slots int, now time.Time) time.Duration {
	load := inFlight.tracker.total(inFlight.id, now)
	if inFlight.engine {
		return load.Prefill + time.Duration(load.Running)*runningCost
	}
	return pace.Floor * time.Duration(max(load.Running, slots, 1)) / time.Duration(max(slots, 1))
}

// MarkAnswered records that the target has read the prompt, and that the first event has arrived or,
// if the response is not a stream, all of it. Only the first call has an effect.
func (inFlight *InFlight) MarkAnswered(now time.Time) {
	tracker := inFlight.tracker
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	inFlight.finishPrefill()
	if timing := inFlight.timing; timing.waiting {
		inFlight.stopWaiting()
		if tracker.heldUp(now) > 0 {
			return
		}
		if timing.counted == 0 {
			tracker.pace.Observe(timing.target, timing.expected, now.Sub(timing.sent), now)
		}
	}
}

// ForgetTiming ends the timing of a request whose answer is sent on while it arrives: from then on it goes
// at the caller's speed.
func (inFlight *InFlight) ForgetTiming() {
	inFlight.tracker.lock.Lock()
	defer inFlight.tracker.lock.Unlock()
	inFlight.stopWaiting()
}

// stopWaiting removes the request from those that wait for their first event.
func (inFlight *InFlight) stopWaiting() {
	if !inFlight.timing.waiting {
		return
	}
	inFlight.timing.waiting = false
	waiting := inFlight.tracker.waiting
	last := len(waiting) - 1
	moved := waiting[last]
	waiting[inFlight.timing.position], moved.timing.position = moved, inFlight.timing.position
	waiting[last] = nil
	inFlight.tracker.waiting = waiting[:last]
}

// ObserveWaiting lets requests that wait for much longer than expected count as observations of
// their targets' pace. It is called several times a second. The time for which the process did
// not run doesn't count: otherwise all targets would look slow after it.
func (tracker *Tracker) ObserveWaiting(now time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	heldUp := tracker.heldUp(now)
	tracker.waitingAt = now
	for _, inFlight := range tracker.waiting {
		timing := &inFlight.timing
		timing.sent = timing.sent.Add(max(0, min(heldUp, now.Sub(timing.sent))))
		if tracker.pace.ObserveWaiting(timing.target, timing.expected, now.Sub(timing.sent), timing.counted, now) {
			timing.counted++
		}
	}
}

// heldUp returns the time since the last call of ObserveWaiting if the process was held up; otherwise zero.
func (tracker *Tracker) heldUp(now time.Time) time.Duration {
	since := now.Sub(tracker.waitingAt)
	if tracker.waitingAt.IsZero() || since <= maxWaitingInterval {
		return 0
	}
	return since
}
