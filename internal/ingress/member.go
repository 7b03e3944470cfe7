package ingress

import (
	"slices"
	"sync/atomic"
	"time"
)

// Stage is what a connection carries.
type Stage int32

// The stages of a connection.
const (
	// StageNew is that of a connection that has carried no request yet.
	StageNew Stage = iota
	// StageIdle is that between two requests.
	StageIdle
	// StageHeader begins with the first byte of a request.
	StageHeader
	// StageBody is that of a request whose handler waits for the body.
	StageBody
	// StageRunning is that of a request whose handler doesn't.
	StageRunning
	// StageClosed is that of a connection that the server has closed or is about to.
	StageClosed
)

// Member is what decisions about a connection depend on. It is safe for concurrent use but for
// what the Roster keeps in it. All times are readings of one clock.
type Member struct {
	// state holds the stage and when it began; for a body, when its bytes last arrived. They change
	// together, so that no stage is judged by the time of another.
	state atomic.Int64
	// writing is when the write that is in progress began, or when its bytes were last accepted,
	// plus one; zero if there is none.
	writing atomic.Int64

	// source and position belong to the roster.
	source   *source
	position int
	// owner is the connection.
	owner *connection
}

// stageBits are the lowest bits of a state, which hold the stage.
const stageBits = 3

func stateOf(stage Stage, since time.Duration) int64 {
	return int64(since)<<stageBits | int64(stage)
}

// read returns the stage and when it began.
func (member *Member) read() (Stage, time.Duration) {
	state := member.state.Load()
	return Stage(state & (1<<stageBits - 1)), time.Duration(state >> stageBits)
}

// Stage returns the stage.
func (member *Member) Stage() Stage {
	stage, _ := member.read()
	return stage
}

// Enter changes the stage and reports whether it was one of from.
func (member *Member) Enter(to Stage, now time.Duration, from ...Stage) bool {
	for {
		before := member.state.Load()
		if !slices.Contains(from, Stage(before&(1<<stageBits-1))) {
			return false
		}
		if member.state.CompareAndSwap(before, stateOf(to, now)) {
			return true
		}
	}
}

// BeginWrite records that a write begins or that bytes of it were accepted, EndWrite that it ends.
func (member *Member) BeginWrite(now time.Duration) {
	member.writing.Store(int64(now) + 1)
}

// EndWrite records that no write is in progress.
func (member *Member) EndWrite() {
	member.writing.Store(0)
}

// blocked returns for how long a write has been in progress; zero if there is none.
func (member *Member) blocked(now time.Duration) time.Duration {
	began := member.writing.Load()
	if began == 0 {
		return 0
	}
	return now - time.Duration(began-1)
}
