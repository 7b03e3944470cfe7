package reading

import (
	"context"
	"sync"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/triage"
)

const (
	// maxSchedules is the number of schedules from which on those are dropped whose engines have read all.
	maxSchedules = 1024
	// maxCost bounds what one prompt counts for: the longest that are read take about two seconds. maxAhead
	// bounds what an engine is taken to have yet to read, so that wrong costs don't keep it idle for longer.
	maxCost  = 5 * time.Second
	maxAhead = 2 * time.Second
)

// Turn asks for the turn of a long prompt at an engine.
type Turn struct {
	Target string
	// Born is the start of the engine's incarnation.
	Born time.Time
	// Cost is the expected time to read the part of the prompt that no other shares, Shared that for its shared
	// prefix, and Prefix the digest of that; zero if there is none.
	Cost   time.Duration
	Shared time.Duration
	Prefix uint32
	// Room is the time that all long prompts which the engine has yet to read may take together.
	Room time.Duration
	// Patience is how long the request may wait for its turn. Final says that it is sent after that.
	Patience time.Duration
	Final    bool
	// Rank is what the order of the requests that wait depends on.
	Rank triage.Request
}

// Home gives the turns at the engines of which its node is the home. It is safe for concurrent use.
type Home struct {
	queues *triage.Queues
	// ending is closed when the requests that wait are refused.
	ending <-chan struct{}

	lock      sync.Mutex
	schedules map[string]schedule
}

// NewHome returns a home at whose engines nothing is read.
func NewHome(queues *triage.Queues, ending <-chan struct{}) *Home {
	return &Home{queues: queues, ending: ending, schedules: map[string]schedule{}}
}

// Give waits until it is the prompt's turn, at most for Turn.Patience, and reports whether it is.
func (home *Home) Give(ctx context.Context, turn Turn) bool {
	turn.Cost, turn.Shared = min(max(turn.Cost, 0), maxCost), min(max(turn.Shared, 0), maxCost)
	now := time.Now()
	if home.queues.WaitingAt(turn.Target) == 0 && home.Take(turn, now) {
		return true
	}
	place := func(now time.Time, _ func(target string) int) (mimosatide.Instance, triage.Verdict) {
		if home.Take(turn, now) {
			return mimosatide.Instance{ID: turn.Target}, triage.Send
		}
		return mimosatide.Instance{}, triage.NoRoom
	}
	_, outcome := home.queues.Wait(ctx, home.ending, turn.Target, triage.Entry{Request: turn.Rank, Place: place}, now.Add(turn.Patience))
	if outcome == triage.Placed {
		// The schedule counts the prompt.
		home.queues.Release(turn.Target)
		return true
	}
	if turn.Final && outcome != triage.Ended {
		home.record(turn, time.Now())
	}
	return false
}

// Take takes the turn of a prompt if the engine has room for it now.
func (home *Home) Take(turn Turn, now time.Time) bool {
	home.lock.Lock()
	defer home.lock.Unlock()
	known := home.schedules[turn.Target].of(turn)
	if !known.fits(turn, now) {
		return false
	}
	home.set(turn, known, now)
	return true
}

// record records a prompt that is sent without a turn.
func (home *Home) record(turn Turn, now time.Time) {
	home.lock.Lock()
	defer home.lock.Unlock()
	home.set(turn, home.schedules[turn.Target].of(turn), now)
}

func (home *Home) set(turn Turn, known schedule, now time.Time) {
	if _, found := home.schedules[turn.Target]; !found && len(home.schedules) >= maxSchedules {
		home.removeRead(now)
	}
	home.schedules[turn.Target] = known.with(turn, now)
}

func (home *Home) removeRead(now time.Time) {
	for target, known := range home.schedules {
		if !known.readUntil.After(now) {
			delete(home.schedules, target)
		}
	}
}
