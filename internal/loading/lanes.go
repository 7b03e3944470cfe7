package loading

import "time"

// The figures of loads at once. The weight store serves a number of loads at full
// speed that is not told; beyond it all of them get slower in proportion.
const (
	firstLanes = 3
	mostLanes  = 8
	// slowLoad and soundLoad are the parts of its expected time above and below which
	// a load shows that the store had too many, or no more than enough, at once.
	slowLoad  = 1.25
	soundLoad = 1.15
	// soundLoads is the number of sound loads that took the last lane after which one
	// more is tried: beside a load that is about to end a single one shows little.
	soundLoads = 2
	// lanesMemory is how long a number of loads that was too many is not tried again.
	lanesMemory = time.Minute
)

// lanes is the number of loads from the weight store that may be under way,
// learned from how long they take.
type lanes struct {
	limit int
	// changed is when the limit last changed; loads that began before say nothing of it.
	changed time.Time
	// sound counts the sound loads that took the last lane since then.
	sound int
	// tooMany is the least number that was too many, at a time.
	tooMany   int
	tooManyAt time.Time
}

func newLanes() lanes {
	return lanes{limit: firstLanes}
}

// learn takes the time of a load and says whether that has changed the limit.
func (lanes *lanes) learn(step endedStep, now time.Time) bool {
	if step.begun.Before(lanes.changed) {
		return false
	}
	part := step.loaded.Seconds() / step.LoadTime.Seconds()
	if part > slowLoad {
		lanes.tooMany, lanes.tooManyAt = lanes.limit, now
		return lanes.set(lanes.limit-1, now)
	}
	if part < soundLoad && step.full {
		lanes.sound++
	}
	forbidden := lanes.tooMany == lanes.limit+1 && now.Sub(lanes.tooManyAt) < lanesMemory
	if lanes.sound < soundLoads || forbidden {
		return false
	}
	return lanes.set(lanes.limit+1, now)
}

// set changes the limit and says whether it has.
func (lanes *lanes) set(limit int, now time.Time) bool {
	limit = min(max(limit, 1), mostLanes)
	if limit == lanes.limit {
		return false
	}
	lanes.limit = limit
	lanes.changed = now
	lanes.sound = 0
	return true
}
