package permit

import (
	"math"
	"time"

	"mimosatide.example/mimosatide"
)

const (
	// minAhead is the least time by which permits for a cold target may be issued ahead of their even
	// distribution, so that two requests that arrive together don't both wait.
	minAhead = 10 * time.Millisecond
	// maxIssuers is the largest number of hosts that may issue permits for one cold target at a time, each
	// to its side of a divided fleet: each adds one permit to what the rate allows in a second. With fewer
	// a fleet that has lost the contact between its availability zones could not use cold targets.
	maxIssuers = 5
)

// Bound is what binds the requests to a target.
type Bound struct {
	// Rate is in requests a second, over all nodes.
	Rate float64
	// Ahead is how far ahead of their even distribution permits may be issued; zero means burstTime.
	Ahead time.Duration
	// Shared says that a home that hears only some of the nodes issues only their part of the rate:
	// the target crashes if the parts of a divided fleet together exceed it.
	Shared bool
	// MinPart is the least part of the rate that a home may issue, so that few homes issue at a time.
	MinPart float64
}

// ColdLimit limits the requests to the cold targets of a service.
type ColdLimit struct {
	// Time is how long a target is cold after its start, or after the evacuation of its zone.
	Time time.Duration
	// Rate is in requests a second, over all nodes.
	Rate float64
	// Ahead is how far ahead of their even distribution permits may be issued.
	Ahead time.Duration
	// MinPart is the least part of the rate that a home may issue.
	MinPart float64
}

// NewColdLimit returns the limit of targets that bear rate requests a second while they are cold, where in
// no second more than rate times overage and slack requests may arrive. The room above the rate is
// used for the permits of answerTimeout, since they may be used later than they are issued by that, for
// one permit of each issuer, and for those that are issued ahead of time.
func NewColdLimit(coldTime time.Duration, rate, overage, slack float64) ColdLimit {
	if rate <= 0 {
		return ColdLimit{}
	}
	room := rate*(overage-1) + slack - rate*answerTimeout.Seconds()
	issuers := math.Floor(room - rate*minAhead.Seconds())
	issuers = min(max(issuers, 1), maxIssuers)
	ahead := time.Duration((room - issuers) / rate * float64(time.Second))
	return ColdLimit{Time: coldTime, Rate: rate, Ahead: min(max(ahead, minAhead), burstTime), MinPart: 1 / issuers}
}

// appliesTo reports whether a target is cold at a time. After the evacuation of its zone it counts as cold
// even if its row doesn't say so yet.
func (cold ColdLimit) appliesTo(instance mimosatide.Instance, now time.Time) bool {
	if cold.Rate <= 0 {
		return false
	}
	return now.Before(instance.ColdUntil) || !instance.ReturnedAt.IsZero() && now.Before(instance.ReturnedAt.Add(cold.Time))
}
