package loading

import (
	"math"
	"time"
)

// The weight store serves a number of concurrent loads at full speed that it does
// not publish; beyond that number all loads slow down in proportion.
const (
	initialRemoteLoads = 2
	// A load that takes more than slowLoadRatio times its expected time shows that the
	// store had too many loads at once; one that takes less than normalLoadRatio times
	// its expected time shows that it did not.
	slowLoadRatio   = 1.25
	normalLoadRatio = 1.15
	// fullSpeedRatio allows for the interval at which a load's end is seen. A load above it
	// shows that the store's capacity is near.
	fullSpeedRatio = 1.05
	// normalLoadsToRaise is the number of loads below normalLoadRatio that started at
	// the limit after which the limit is raised. A single one is not enough, as it may
	// have run beside a load that was about to end.
	normalLoadsToRaise = 2
	// maxLoadRatio bounds how far one slow load lowers the limit: its engine may be slow.
	maxLoadRatio = 2
	// tooManyTTL is how long a limit that was too high is not tried again.
	tooManyTTL = time.Minute
)

// remoteLoadLimit is the limit on concurrent loads from the weight store. It is
// learned from how long the loads take.
type remoteLoadLimit struct {
	current int
	// raise is by how much the limit is raised next. It doubles with each raise and starts
	// again at one after a slow load.
	raise int
	// changedAt is when the limit last changed; loads that began earlier are ignored.
	changedAt time.Time
	// normalLoads counts the loads at normal speed that started at the limit since then.
	normalLoads int
	// tooMany is the limit that was last found to be too high, at tooManyAt.
	tooMany   int
	tooManyAt time.Time
}

func newRemoteLoadLimit() remoteLoadLimit {
	return remoteLoadLimit{current: initialRemoteLoads, raise: 1}
}

// observe adjusts the limit to the duration of a finished load and reports whether
// the limit has changed. No more loads than may begin while one runs, at loadsPerSecond,
// can be under way at once.
func (limit *remoteLoadLimit) observe(step finishedStep, loadsPerSecond float64, now time.Time) bool {
	if step.begun.Before(limit.changedAt) {
		return false
	}
	ratio := step.loadDuration.Seconds() / step.LoadTime.Seconds()
	if ratio > slowLoadRatio {
		limit.tooMany, limit.tooManyAt = limit.current, now
		limit.raise = 1
		if !step.atLimit {
			return limit.set(limit.current-1, now)
		}
		// The store's speed is shared equally, so that the ratio says how many it serves.
		return limit.set(int(math.Round(float64(limit.current)/min(ratio, maxLoadRatio))), now)
	}
	if ratio < normalLoadRatio && step.atLimit {
		limit.normalLoads++
		if ratio > fullSpeedRatio {
			limit.raise = 1
		}
	}
	if limit.normalLoads < normalLoadsToRaise {
		return false
	}
	next := min(limit.current+limit.raise, int(math.Ceil(loadsPerSecond*step.LoadTime.Seconds())))
	if now.Sub(limit.tooManyAt) < tooManyTTL {
		next = min(next, limit.tooMany-1)
	}
	if next <= limit.current {
		return false
	}
	limit.raise *= 2
	return limit.set(next, now)
}

// set changes the limit to at least one and reports whether it has changed.
func (limit *remoteLoadLimit) set(loads int, now time.Time) bool {
	loads = max(loads, 1)
	if loads == limit.current {
		return false
	}
	limit.current = loads
	limit.changedAt = now
	limit.normalLoads = 0
	return true
}

// RemoteCounts are the numbers of loads from the weight store under way, and of models without
// a replica that requests wait for.
type RemoteCounts struct {
	Loads   int
	Limit   int
	Missing int
	// Waiters is the number of requests that wait for models, as far as their hosts say so.
	Waiters int
}

// RemoteCounts returns the counts of the last plan.
func (controller *Controller) RemoteCounts() RemoteCounts {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	return RemoteCounts{Loads: controller.remoteLoads, Limit: controller.remoteLimit.current, Missing: controller.missing, Waiters: controller.waiters}
}
