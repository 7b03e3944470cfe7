package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
)

// TestManyNodesWithOldLoadsSpreadTheirRequests replays the load of a busy model of a large
// deployment: 295 nodes send 120 long prompts a second to 30 engines that hold it, and know the
// loads of each other as of up to 0.3 s ago. No engine may get more than twice its part of
// the prompts that come between two digests, when that part is three or more.
func TestManyNodesWithOldLoadsSpreadTheirRequests(t *testing.T) {
	const hosts, engines, perRound, rounds = 295, 30, 36, 100
	const round, prefill = 300 * time.Millisecond, 200 * time.Millisecond
	random := rand.New(rand.NewPCG(7, 9))
	now := time.Unix(1_700_000_000, 0)
	var candidates []mimosatide.Instance
	for index := range engines {
		candidates = append(candidates, mimosatide.Instance{ID: fmt.Sprintf("e-%02d", index), Slots: 64, Zone: "a"})
	}
	trackers := make([]*balance.Tracker, hosts)
	for index := range trackers {
		trackers[index] = balance.New("a")
		trackers[index].SetHosts(hosts)
	}
	backlog := map[string]time.Duration{}
	arrivals := map[string]int{}
	longest := time.Duration(0)
	for range rounds {
		loads := map[string]balance.Load{}
		for id, left := range backlog {
			loads[id] = balance.Load{Running: int(left / prefill), Prefill: left}
		}
		for _, tracker := range trackers {
			tracker.SetPeerLoads("all", loads, now.Add(time.Hour))
		}
		for range perRound {
			query := balance.Query{Engine: true, Request: mimosatide.CallerRequest{Model: "m", PromptTokens: 8000}}
			chosen, _, _ := trackers[random.IntN(hosts)].Choose(query, candidates, now)
			backlog[chosen.ID] += prefill
			arrivals[chosen.ID]++
		}
		for id, left := range backlog {
			longest = max(longest, left)
			backlog[id] = max(left-round, 0)
		}
		now = now.Add(round)
	}
	busiest := 0
	for _, count := range arrivals {
		busiest = max(busiest, count)
	}
	if mean := perRound * rounds / engines; busiest > 2*mean {
		t.Errorf("busiest engine: got %d prompts, want at most twice the mean of %d", busiest, mean)
	}
	if longest > 2*time.Second {
		t.Errorf("longest backlog of an engine: got %s, want at most 2s, the longest latency objective", longest)
	}
}
