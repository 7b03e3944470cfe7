package balance

import "time"

// The figures of holding back. An engine reads all prompts that it was sent at
// once, a piece of each between two steps of its streams.
const (
	// longPrompt is the reading time from which a prompt counts: a shorter one is a piece or two.
	longPrompt = 25 * time.Millisecond
	// pauseOfPrompt is what a prompt that is being read adds to the pause between two
	// events of a stream beside it (measured: 0.1 s each, docs/MEASUREMENTS.md).
	pauseOfPrompt = 100 * time.Millisecond
	// newsPolls is the number of polls of a held request between two digests of the other nodes.
	newsPolls = 10
)

// HoldPoll is how often a request that is held back looks whether it may be sent.
const HoldPoll = 25 * time.Millisecond

// Long says whether a request's prompt takes an engine so long to read that it
// slows the streams beside it.
func (tracker *Tracker) Long(query Query, id string) bool {
	if !query.Engine {
		return false
	}
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	return query.prefill(tracker.state(id)) >= longPrompt
}

// Room is what is known of the places for long prompts at a target.
type Room struct {
	// Free is how many more the target may read: one at least, and as many as fill half
	// of the longest pause, since what is known of other nodes is late.
	Free int
	// Waiting are the requests held back for it on all nodes, Own those on this node.
	Waiting int
	Own     int
}

// Room returns the places at a target whose streams may pause for gap at most.
func (tracker *Tracker) Room(id string, gap time.Duration, now time.Time) Room {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	load := tracker.total(id, now)
	return Room{
		Free:    max(int(gap/pauseOfPrompt)/2, 1) - load.Reading,
		Waiting: load.Waiting,
		Own:     tracker.state(id).load.Waiting,
	}
}

// Chance is the probability with which one request is to be sent at a poll, so
// that all that wait take about as many places as are free.
func (room Room) Chance() float64 {
	if room.Free <= 0 {
		return 0
	}
	if room.Waiting <= room.Own {
		return 1
	}
	return min(1, float64(room.Free)/float64(room.Waiting)/newsPolls)
}

// Hold counts a request that is held back from a target until the returned function is called.
func (tracker *Tracker) Hold(id string) func() {
	tracker.hold(id, 1)
	return func() { tracker.hold(id, -1) }
}

func (tracker *Tracker) hold(id string, change int) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	tracker.state(id).load.Waiting += change
}
