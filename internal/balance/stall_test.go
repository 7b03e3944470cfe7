package balance_test

import (
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/balance"
)

// TestHangingRequestIsMovedOnlyIfItIsServedSoonerElsewhere guards against a second run of requests that are merely
// late, that can still be answered in time, or that would wait as long at the other target.
func TestHangingRequestIsMovedOnlyIfItIsServedSoonerElsewhere(t *testing.T) {
	hang := balance.Hang{
		Arrived: now, Sent: now.Add(100 * time.Millisecond), Leaves: now.Add(3 * time.Second),
		Objective: time.Second, Usual: 50 * time.Millisecond,
	}
	engine := hang
	engine.Engine, engine.Usual = true, 120*time.Millisecond
	long := hang
	long.Usual = 300 * time.Millisecond
	for name, test := range map[string]struct {
		hang      balance.Hang
		at        time.Duration
		elsewhere time.Duration
		moves     bool
	}{
		"half of the objective is left":    {hang: hang, at: 450 * time.Millisecond, elsewhere: 50 * time.Millisecond},
		"half of the objective has passed": {hang: hang, at: 500 * time.Millisecond, elsewhere: 50 * time.Millisecond, moves: true},
		"three times the usual time":       {hang: long, at: time.Second, elsewhere: 50 * time.Millisecond},
		"four times the usual time":        {hang: long, at: 1300 * time.Millisecond, elsewhere: 50 * time.Millisecond, moves: true},
		"an engine within the objective":   {hang: engine, at: 950 * time.Millisecond, elsewhere: 50 * time.Millisecond},
		"an engine at five times the time": {hang: engine, at: 1250 * time.Millisecond, elsewhere: 50 * time.Millisecond},
		"an engine at ten times the time":  {hang: engine, at: 1300 * time.Millisecond, elsewhere: 50 * time.Millisecond, moves: true},
		"as late elsewhere":                {hang: hang, at: 500 * time.Millisecond, elsewhere: 400 * time.Millisecond},
		"the caller leaves before":         {hang: hang, at: 2900 * time.Millisecond, elsewhere: 200 * time.Millisecond},
	} {
		if got := test.hang.Moves(test.elsewhere, now.Add(test.at)); got != test.moves {
			t.Errorf("%s: got moved: %v, want %v", name, got, test.moves)
		}
	}
}
