package gateway_test

import (
	"testing"

	"mimosatide.example/mimosatide/internal/gateway"
)

// TestRetriesOfAllNodesStayWithinTheBounds has fleets of several sizes retry as often as their
// budgets allow, after quiet times that fill them. The bounds hold for all nodes together.
func TestRetriesOfAllNodesStayWithinTheBounds(t *testing.T) {
	const ratio = 0.2
	for _, fleet := range []struct {
		hosts int
		slack float64
	}{{hosts: 8, slack: 56}, {hosts: 71, slack: 182}, {hosts: 295, slack: 630}} {
		budgets := make([]*gateway.RetryBudget, fleet.hosts)
		for index := range budgets {
			budgets[index] = gateway.NewRetryBudget(ratio, fleet.slack)
			budgets[index].SetHosts(fleet.hosts)
			for range 200 {
				budgets[index].RecordRequest("llm")
			}
		}
		requests, retries := 0, 0
		for range 20 {
			for _, budget := range budgets {
				budget.RecordRequest("llm")
				requests++
				for budget.TakeRetry("llm") {
					retries++
				}
			}
		}
		if allowed := ratio*float64(requests) + fleet.slack; float64(retries) > allowed {
			t.Errorf("%d hosts: got %d retries of %d requests, want at most %.0f", fleet.hosts, retries, requests, allowed)
		}
		if retries < fleet.hosts {
			t.Errorf("%d hosts: got %d retries, want at least one a host", fleet.hosts, retries)
		}
	}
}
