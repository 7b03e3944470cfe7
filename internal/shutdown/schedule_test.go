package shutdown_test

import (
	"sync/atomic"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/shutdown"
)

// fakeClock is a clock of a machine that a test suspends.
type fakeClock struct{ reading atomic.Int64 }

func (clock *fakeClock) Now() time.Duration { return time.Duration(clock.reading.Load()) }

func (clock *fakeClock) advance(by time.Duration) { clock.reading.Add(int64(by)) }

func newSchedule() (*shutdown.Schedule, *fakeClock) {
	clock := &fakeClock{}
	clock.advance(time.Hour)
	return shutdown.New(shutdown.Settings{
		Grace: 8 * time.Second, Margin: 500 * time.Millisecond, Rotation: 2500 * time.Millisecond, Stall: 1500 * time.Millisecond,
	}, clock), clock
}

// wantEnd checks how long a schedule still answers requests, and whether it refuses longer ones.
func wantEnd(t *testing.T, what string, schedule *shutdown.Schedule, remaining time.Duration, refusing bool) {
	t.Helper()
	endsBy, got := schedule.EndsBy()
	if got != refusing {
		t.Errorf("%s: got requests refused %t, want %t", what, got, refusing)
		return
	}
	if until := time.Until(endsBy); refusing && (until > remaining || until < remaining-time.Second) {
		t.Errorf("%s: got %v left for answers, want %v", what, until, remaining)
	}
}

// A machine that is suspended in a stop is not given its time back: requests that it takes by a
// clock that stood still would be cut.
func TestRequestsAreNotTakenForTheTimeOfASuspension(t *testing.T) {
	schedule, clock := newSchedule()
	wantEnd(t, "no stop", schedule, 0, false)
	schedule.Begin()
	wantEnd(t, "stop just begun", schedule, 0, false)
	clock.advance(4 * time.Second)
	wantEnd(t, "after a suspension of 4 s", schedule, 3500*time.Millisecond, true)
	clock.advance(4 * time.Second)
	wantEnd(t, "after one of 8 s", schedule, -500*time.Millisecond, true)
}

// A signal that comes while the process stands still is handled late, but its grace period has
// begun.
func TestRequestsAreNotTakenForTheTimeThatASignalWaited(t *testing.T) {
	for _, swept := range []bool{false, true} {
		schedule, clock := newSchedule()
		schedule.Awake()
		clock.advance(3 * time.Second)
		if swept {
			schedule.Awake()
		}
		schedule.Begin()
		wantEnd(t, "handled at the end of a stall of 3 s", schedule, 4500*time.Millisecond, true)
	}
	schedule, clock := newSchedule()
	schedule.Awake()
	clock.advance(3 * time.Second)
	schedule.Awake()
	clock.advance(time.Second)
	schedule.Begin()
	wantEnd(t, "handled long after a stall", schedule, 0, false)
}

func TestShortGracePeriodIsSharedWithTheRotation(t *testing.T) {
	clock := &fakeClock{}
	schedule := shutdown.New(shutdown.Settings{Grace: 2500 * time.Millisecond, Margin: 500 * time.Millisecond, Rotation: 2500 * time.Millisecond}, clock)
	schedule.Begin()
	clock.advance(time.Second)
	wantEnd(t, "half of the time passed", schedule, time.Second, true)
}
