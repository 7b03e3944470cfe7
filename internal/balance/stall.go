package balance

import "time"

const (
	// stallRatio is how many times the usual time a request waits for its first event before it counts
	// as hanging. It is more than the three times at which package pace first counts the wait,
	// so that the target's factor is known when the request is moved.
	stallRatio = 4
	// stallObjectiveShare is the share of its objective that has to have passed: before, the request
	// can still be answered in time where it is, and a second run costs the fleet.
	stallObjectiveShare = 0.5
	// engineStallRatio and engineStallShare are those of requests at engines: what has been read of their prompts
	// is lost by a move, and prompts of other nodes that this one has not heard of explain several times the usual time.
	engineStallRatio = 10
	engineStallShare = 1
	// minStallCheck is the least time between two checks of a hanging request.
	minStallCheck = 50 * time.Millisecond
	// stallCheckShare is the time until the next check as a share of the time since the send, so that
	// a request that hangs for long is checked ever more rarely.
	stallCheckShare = 0.25
)

// Hang describes a request that has been sent to a target and has no first event yet.
type Hang struct {
	Arrived time.Time
	Sent    time.Time
	// Leaves is until when the request's caller waits.
	Leaves time.Time
	// Objective is the latency objective of the request's route.
	Objective time.Duration
	// Engine says that the target is a model engine.
	Engine bool
	// Usual is the time to the first event that is usual with what is in flight at the target.
	Usual time.Duration
}

// Due returns from when on the request counts as hanging.
func (hang Hang) Due() time.Time {
	ratio, share := time.Duration(stallRatio), stallObjectiveShare
	if hang.Engine {
		ratio, share = engineStallRatio, engineStallShare
	}
	due := hang.Sent.Add(ratio * hang.Usual)
	passed := hang.Arrived.Add(time.Duration(share * float64(hang.Objective)))
	if passed.After(due) {
		return passed
	}
	return due
}

// Moves reports whether the request is to be sent to another target, at which elsewhere is the expected time
// to the first byte. A request that has hung for a time goes on hanging for about as
// long: it is moved if it is served sooner elsewhere, and before its caller leaves.
func (hang Hang) Moves(elsewhere time.Duration, now time.Time) bool {
	return !now.Before(hang.Due()) && elsewhere < now.Sub(hang.Sent) && now.Add(elsewhere).Before(hang.Leaves)
}

// NextCheck returns when to look again at a request that can't be moved now.
func (hang Hang) NextCheck(now time.Time) time.Duration {
	return max(minStallCheck, time.Duration(stallCheckShare*float64(now.Sub(hang.Sent))))
}

// UsualTime returns the time to the first event that is usual for the request after MarkSent, by what was in
// flight at its target and the pace of its service; false if that is not known.
func (inFlight *InFlight) UsualTime() (time.Duration, bool) {
	tracker := inFlight.tracker
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if !inFlight.timing.waiting {
		return 0, false
	}
	return tracker.pace.Usual(inFlight.timing.target.Service, inFlight.timing.expected)
}
