// Package shutdown schedules a planned stop of a process that serves callers: until when it takes
// requests of any length, until when it answers, and when it ends. The schedule follows from the
// time of the signal alone, by a clock that runs on while the machine is suspended, and is worked
// out anew for each request, so that it holds for a process that is woken late.
//
// # Usage
//
//	schedule := shutdown.New(shutdown.Settings{...}, clock)
//	schedule.Begin()
//	endsBy, refusing := schedule.EndsBy()
package shutdown

import (
	"context"
	"sync"
	"time"

	"mimosatide.example/mimosatide"
)

const (
	// maxRotationShare is the largest share of the time for the requests in flight that may
	// be spent on waiting for new connections.
	maxRotationShare = 0.5
	// pollInterval is how often waits compare the time: timers don't run while the machine is
	// suspended.
	pollInterval = 50 * time.Millisecond
	// wakeUpTime is how long after a stall ends a signal that has come during it may be handled.
	wakeUpTime = 500 * time.Millisecond
)

// Settings are the parameters of a Schedule.
type Settings struct {
	// Grace is the time between the signal and the forced end of the process.
	Grace time.Duration
	// Margin is the part of Grace that is left for ending the process.
	Margin time.Duration
	// Rotation is how long after the signal new connections may come.
	Rotation time.Duration
	// Stall is the time between two calls of Awake from which on the process has stood still
	// between them.
	Stall time.Duration
}

// Schedule is the schedule of one planned stop. It is safe for concurrent use.
type Schedule struct {
	settings Settings
	clock    mimosatide.Clock

	lock sync.Mutex
	// awake is when the process was last seen awake, stallBegan and stallEnded when it last stood
	// still.
	awake      time.Duration
	stallBegan time.Duration
	stallEnded time.Duration
	begun      bool
	// earliest and latest are when the signal has come at the earliest and at the latest.
	earliest time.Duration
	latest   time.Duration
}

// New returns a schedule of a stop that has not begun. The clock also counts the time during which
// the machine is suspended.
func New(settings Settings, clock mimosatide.Clock) *Schedule {
	settings.Rotation = min(settings.Rotation, time.Duration(float64(settings.Grace-settings.Margin)*maxRotationShare))
	return &Schedule{settings: settings, clock: clock}
}

// Awake records that the process is awake. It is called all the time: a signal that comes while the
// process stands still is handled late.
func (schedule *Schedule) Awake() {
	schedule.lock.Lock()
	defer schedule.lock.Unlock()
	schedule.recordAwake()
}

// recordAwake is Awake for a caller that holds the lock.
func (schedule *Schedule) recordAwake() {
	now := schedule.clock.Now()
	if schedule.awake > 0 && now-schedule.awake > schedule.settings.Stall {
		schedule.stallBegan, schedule.stallEnded = schedule.awake, now
	}
	schedule.awake = now
}

// Begin begins the stop: its signal has just been handled.
func (schedule *Schedule) Begin() {
	schedule.lock.Lock()
	defer schedule.lock.Unlock()
	schedule.recordAwake()
	schedule.begun = true
	schedule.latest = schedule.awake
	schedule.earliest = schedule.latest
	if schedule.stallEnded > 0 && schedule.latest-schedule.stallEnded < wakeUpTime {
		schedule.earliest = schedule.stallBegan
	}
}

// EndsBy returns until when the process answers requests, and whether it refuses those that may
// take longer. Before, new connections may still come, and requests of any length are served.
func (schedule *Schedule) EndsBy() (endsBy time.Time, refusing bool) {
	schedule.lock.Lock()
	defer schedule.lock.Unlock()
	passed := schedule.clock.Now() - schedule.earliest
	if !schedule.begun || passed < schedule.settings.Rotation {
		return time.Time{}, false
	}
	return time.Now().Add(schedule.settings.Grace - schedule.settings.Margin - passed), true
}

// AwaitRotation waits until no new connections come any more.
func (schedule *Schedule) AwaitRotation() {
	for {
		if _, refusing := schedule.EndsBy(); refusing {
			return
		}
		time.Sleep(pollInterval)
	}
}

// WithEnd returns a context that ends when the process has to, with a share of the margin left.
func (schedule *Schedule) WithEnd(parent context.Context, marginShare float64) (context.Context, context.CancelFunc) {
	left := time.Duration(float64(schedule.settings.Margin) * marginShare)
	ctx, cancel := context.WithCancel(parent)
	go func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for schedule.sinceLatest() < schedule.settings.Grace-left {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
		cancel()
	}()
	return ctx, cancel
}

func (schedule *Schedule) sinceLatest() time.Duration {
	schedule.lock.Lock()
	defer schedule.lock.Unlock()
	return schedule.clock.Now() - schedule.latest
}
