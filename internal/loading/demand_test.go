package loading_test

import (
	"fmt"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/loading"
)

// TestFirstReportsOfManyHostsCountAsLoad guards against a busy model that looks idle because each of
// its requests comes to another host: the first report of a host and model did not count.
func TestFirstReportsOfManyHostsCountAsLoad(t *testing.T) {
	demand, now := loading.NewDemand(), time.Unix(1000, 0)
	const hosts, prefill = 79, 0.23
	for host := range hosts {
		now = now.Add(100 * time.Millisecond)
		demand.RecordUsage(fmt.Sprintf("n%d", host), "m", prefill, prefill, 0, now)
	}
	// Ten prompts a second take 2.3 s of an engine's time a second.
	if load := demand.Models(now)["m"].PrefillLoad; load < 1.8 || load > 2.8 {
		t.Errorf("load of a model with ten prompts a second: got %.2f, want about 2.3", load)
	}
}

// TestTotalOfALongLivedHostIsNotRecentLoad guards against a new owner that takes all that a host has ever
// asked for as the load of the moment.
func TestTotalOfALongLivedHostIsNotRecentLoad(t *testing.T) {
	demand, now := loading.NewDemand(), time.Unix(1000, 0)
	demand.RecordUsage("n1", "m", 400, 0.2, 0, now)
	if load := demand.Models(now)["m"].PrefillLoad; load > 0.2 {
		t.Errorf("load after one prompt of 0.2 s: got %.2f, want at most 0.2", load)
	}
	demand.RecordUsage("n1", "m", 400.4, 0.2, 0, now)
	if load := demand.Models(now)["m"].PrefillLoad; load < 0.25 {
		t.Errorf("load after a lost report: got %.2f, want the prompts of the lost one counted too", load)
	}
}

// TestTotalsOfAnEarlierTermAreNotRecentLoad guards against an owner that takes the lease again after another one
// and takes all that hosts asked for in the meantime as the load of the moment.
func TestTotalsOfAnEarlierTermAreNotRecentLoad(t *testing.T) {
	demand, now := loading.NewDemand(), time.Unix(1000, 0)
	demand.RecordUsage("n1", "m", 10, 0.2, 0, now)
	now = now.Add(10 * time.Minute)
	demand.ForgetTotals()
	demand.RecordUsage("n1", "m", 70, 0.2, 0, now)
	if load := demand.Models(now)["m"].PrefillLoad; load > 0.2 {
		t.Errorf("load after one prompt of 0.2 s: got %.2f, want at most 0.2", load)
	}
}
