package triage

import (
	"slices"
	"time"
)

const (
	// floorShare is the share of the recent places at a target that every account, model and size gets while it
	// waits there, so that requests of a lower rank are served late but not starved.
	floorShare = 0.1
	// recentPlaces is the number of places that count as recent: as few as show a share of floorShare.
	recentPlaces = 20
)

// Request is what the order of waiting requests depends on.
type Request struct {
	Account string
	Model   string
	// Large says that its prompt takes long to read.
	Large bool
	// Priority is its rank; zero is the most urgent.
	Priority int
	Arrived  time.Time
	// Objective is until when its first event should arrive.
	Objective time.Time
	// Work is the expected time from its send to its first event.
	Work time.Duration
	// Begun says that its caller already has a part of its stream.
	Begun bool
}

// timeLeft returns how long the request may still wait and meet its objective.
func (request Request) timeLeft(now time.Time) time.Duration {
	return request.Objective.Sub(now) - request.Work
}

// Before reports whether a request goes before another: one whose stream has begun, since all work for it
// would be lost; one that can still meet its objective; the more urgent one; the one with less time left; the
// older one.
func (request Request) Before(other Request, now time.Time) bool {
	if request.Begun != other.Begun {
		return request.Begun
	}
	left, otherLeft := request.timeLeft(now), other.timeLeft(now)
	if timely := left >= 0; timely != (otherLeft >= 0) {
		return timely
	}
	if request.Priority != other.Priority {
		return request.Priority < other.Priority
	}
	if left != otherLeft {
		return left < otherLeft
	}
	return request.Arrived.Before(other.Arrived)
}

// Order returns the indexes of the waiting requests in the order in which they are sent. recent holds the
// requests that got the last places. Those of an account, a model or a size that got less than its floor go first.
func Order(waiting, recent []Request, now time.Time) []int {
	starved := starvedRequests(waiting, recent)
	order := make([]int, len(waiting))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case starved[a] != starved[b]:
			if starved[a] {
				return -1
			}
			return 1
		case waiting[a].Before(waiting[b], now):
			return -1
		case waiting[b].Before(waiting[a], now):
			return 1
		}
		return 0
	})
	return order
}

// starvedRequests reports which waiting requests are below a floor.
func starvedRequests(waiting, recent []Request) []bool {
	starved := make([]bool, len(waiting))
	if len(recent) < recentPlaces {
		return starved
	}
	for _, classOf := range []func(Request) string{
		func(request Request) string { return request.Account },
		func(request Request) string { return request.Model },
		func(request Request) string {
			if request.Large {
				return "large"
			}
			return "small"
		},
	} {
		places, waits := map[string]int{}, map[string]bool{}
		for _, request := range recent {
			places[classOf(request)]++
		}
		for _, request := range waiting {
			waits[classOf(request)] = true
		}
		// With many classes, each has a floor of at most half of an equal share.
		floor := min(floorShare, 0.5/float64(len(waits))) * float64(len(recent))
		for index, request := range waiting {
			if len(waits) > 1 && float64(places[classOf(request)]) < floor {
				starved[index] = true
			}
		}
	}
	return starved
}
