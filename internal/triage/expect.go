package triage

import "time"

// unreadShare is the part of the prompts in flight that is still to be read, on average: a node knows only when a
// prompt has been read as a whole.
const unreadShare = 0.5

// hopeMargin is how many times the time left the expected time of a request has to be before it counts as
// hopeless: the pace of targets is known to about a quarter.
const hopeMargin = 1.25

// Belief is what a node believes of the time until a target sends the first event of a request.
type Belief struct {
	// Pending is the time for the prompts that the target has not read to their ends, Prompts the number of long
	// ones among them.
	Pending time.Duration
	Prompts int
	// Own is the least time for the request's prompt.
	Own time.Duration
	// Factor is how many times the usual time the target takes.
	Factor float64
}

// Expected returns the expected time until the first event. A target reads all prompts concurrently, so that a
// short one is read before long ones that came earlier.
func (belief Belief) Expected() time.Duration {
	unread := time.Duration(unreadShare * float64(max(belief.Pending, 0)))
	work := min(unread+belief.Own, belief.Own*time.Duration(max(belief.Prompts, 0)+1))
	return time.Duration(max(belief.Factor, 0) * float64(work))
}

// Hopeless reports whether the first event of a request comes after its caller leaves, which is after left, at
// every usable target, and how much too late it is at the first of them. Without targets nothing is known, and
// the request has hope.
func Hopeless(beliefs []Belief, left time.Duration) (late time.Duration, hopeless bool) {
	for index, belief := range beliefs {
		expected := belief.Expected()
		if float64(expected) <= float64(left)*hopeMargin {
			return 0, false
		}
		if beyond := expected - left; index == 0 || beyond < late {
			late = beyond
		}
	}
	return late, len(beliefs) > 0
}

// NextReturn returns when the caller of a refused request should return. There is room from the time room
// on, for one request after the other, each of which takes work. last is the time that the caller refused before
// this one was told, so that older ones return earlier.
func NextReturn(last, room time.Time, work time.Duration) time.Time {
	if next := last.Add(work); next.After(room) {
		return next
	}
	return room
}
