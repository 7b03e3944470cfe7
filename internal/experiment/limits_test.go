package experiment_test

import (
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/experiment"
)

// testDuration still has the node's death and the outage's beginning in it.
const testDuration = 30 * time.Second

// TestLimitsHoldTheirTargets demands the stated targets of the product's way:
// no excess in any run, and no refusal in the runs that stay within the rate.
// That the simpler ways refuse some shows that the measure can fail.
func TestLimitsHoldTheirTargets(t *testing.T) {
	refused := map[string]int{}
	for _, run := range experiment.DefaultLimitRuns() {
		run.Duration = min(run.Duration, testDuration)
		results := experiment.CompareLimits(run)
		if results[0].Excess > 0 {
			t.Errorf("over the limit: %s", results[0])
		}
		if run.Load > 0.9 {
			continue
		}
		if results[0].Refused > 0 {
			t.Errorf("refused within rate: %s", results[0])
		}
		for _, result := range results {
			refused[result.Limiter] += result.Refused
		}
	}
	if refused["home node"] == 0 || refused["static split"] == 0 {
		t.Errorf("refusals within rate: %v", refused)
	}
}
