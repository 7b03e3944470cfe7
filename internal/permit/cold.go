package permit

import (
	"time"

	"mimosatide.example/mimosatide"
)

// minAhead is the least time by which permits for a cold target may be issued ahead of their even
// distribution, so that two requests that arrive together don't both wait.
const minAhead = 10 * time.Millisecond

// Bound is what binds the requests to a target.
type Bound struct {
	// Rate is in requests a second, over all nodes.
	Rate float64
	// Ahead is how far ahead of their even distribution permits may be issued; zero means burstTime.
	Ahead time.Duration
	// Shared says that a home that hears only some of the nodes issues only their part of the rate:
	// the target crashes if the parts of a divided fleet together exceed it.
	Shared bool
}

// ColdLimit limits the requests to the cold targets of a service.
type ColdLimit struct {
	// Time is how long a target is cold after its start, or after the evacuation of its zone.
	Time time.Duration
	// Rate is in requests a second, over all nodes.
	Rate float64
	// Ahead is how far ahead of their even distribution permits may be issued.
	Ahead time.Duration
}

// NewColdLimit returns the limit of targets that bear rate requests a second while they are cold, where in
// no second more than rate times overage and slack requests may arrive. Half of the room above the
// rate is left for permits that are issued one after the other and used at the same time.
func NewColdLimit(coldTime time.Duration, rate, overage, slack float64) ColdLimit {
	if rate <= 0 {
		return ColdLimit{}
	}
	room := (overage - 1) + (slack-1)/rate
	ahead := time.Duration(room / 2 * float64(time.Second))
	return ColdLimit{Time: coldTime, Rate: rate, Ahead: min(max(ahead, minAhead), burstTime)}
}

// appliesTo reports whether a target is cold at a time. After the evacuation of its zone it counts as cold
// even if its row doesn't say so yet.
func (cold ColdLimit) appliesTo(instance mimosatide.Instance, now time.Time) bool {
	if cold.Rate <= 0 {
		return false
	}
	return now.Before(instance.ColdUntil) || !instance.ReturnedAt.IsZero() && now.Before(instance.ReturnedAt.Add(cold.Time))
}
