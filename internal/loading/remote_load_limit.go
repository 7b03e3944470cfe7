package loading

import "time"

// The weight store serves a number of concurrent loads at full speed that it does
// not publish; beyond that number all loads slow down in proportion.
const (
	initialRemoteLoads = 3
	maxRemoteLoads     = 8
	// A load that takes more than slowLoadRatio times its expected time shows that the
	// store had too many loads at once; one that takes less than normalLoadRatio times
	// its expected time shows that it did not.
	slowLoadRatio   = 1.25
	normalLoadRatio = 1.15
	// normalLoadsToRaise is the number of loads below normalLoadRatio that started at
	// the limit after which the limit is raised. A single one is not enough, as it may
	// have run beside a load that was about to end.
	normalLoadsToRaise = 2
	// tooManyTTL is how long a limit that was too high is not tried again.
	tooManyTTL = time.Minute
)

// remoteLoadLimit is the limit on concurrent loads from the weight store. It is
// learned from how long the loads take.
type remoteLoadLimit struct {
	current int
	// changedAt is when the limit last changed; loads that began earlier are ignored.
	changedAt time.Time
	// normalLoads counts the loads at normal speed that started at the limit since then.
	normalLoads int
	// tooMany is the limit that was last found to be too high, at tooManyAt.
	tooMany   int
	tooManyAt time.Time
}

func newRemoteLoadLimit() remoteLoadLimit {
	return remoteLoadLimit{current: initialRemoteLoads}
}

// observe adjusts the limit to the duration of a finished load and reports whether
// the limit has changed.
func (limit *remoteLoadLimit) observe(step finishedStep, now time.Time) bool {
	if step.begun.Before(limit.changedAt) {
		return false
	}
	ratio := step.loadDuration.Seconds() / step.LoadTime.Seconds()
	if ratio > slowLoadRatio {
		limit.tooMany, limit.tooManyAt = limit.current, now
		return limit.set(limit.current-1, now)
	}
	if ratio < normalLoadRatio && step.atLimit {
		limit.normalLoads++
	}
	blocked := limit.tooMany == limit.current+1 && now.Sub(limit.tooManyAt) < tooManyTTL
	if limit.normalLoads < normalLoadsToRaise || blocked {
		return false
	}
	return limit.set(limit.current+1, now)
}

// set changes the limit within its bounds and reports whether it has changed.
func (limit *remoteLoadLimit) set(loads int, now time.Time) bool {
	loads = min(max(loads, 1), maxRemoteLoads)
	if loads == limit.current {
		return false
	}
	limit.current = loads
	limit.changedAt = now
	limit.normalLoads = 0
	return true
}
