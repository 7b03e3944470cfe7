package experiment_test

import (
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/experiment"
)

// testDuration covers the failure of a node at 20 s and the start of the outages at 15 s and 20 s.
const testDuration = 30 * time.Second

// TestLimitsAreKeptWithoutRefusalsWithinRate checks that shares and loans never
// exceed the limit, and refuse nothing in runs that stay within the rate. The
// simpler limiters must refuse some requests there, which shows that these runs can
// cause refusals.
func TestLimitsAreKeptWithoutRefusalsWithinRate(t *testing.T) {
	refused := map[string]int{}
	for _, run := range experiment.DefaultLimitRuns() {
		run.Duration = min(run.Duration, testDuration)
		results := experiment.CompareLimits(run)
		if results[0].Excess > 0 {
			t.Errorf("excess over burst + rate·t: got %s, want at most 0", results[0])
		}
		if run.Load > 0.9 {
			continue
		}
		if results[0].Refused > 0 {
			t.Errorf("refusals within the rate: got %s, want 0", results[0])
		}
		for _, result := range results {
			refused[result.Limiter] += result.Refused
		}
	}
	if refused["home node"] == 0 || refused["static split"] == 0 {
		t.Errorf("refusals within the rate by limiter: got %v, want some by home node and by static split", refused)
	}
}
