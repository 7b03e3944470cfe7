package allowance_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/allowance"
)

var (
	start = time.Unix(1_700_000_000, 0)
	limit = allowance.Limit{Rate: 1000, Burst: 500}
)

func TestBucketStartsEmptyUnlessSystemIsNew(t *testing.T) {
	if allowance.New(false).Spend("a", limit, 100, start).Granted {
		t.Error("restarted node: got tokens granted, want refused, since peers may have spent them")
	}
	if !allowance.New(true).Spend("a", limit, 100, start).Granted {
		t.Error("new system: got tokens refused, want granted")
	}
}

func TestRefusalReturnsTimeUntilTokensAreAvailable(t *testing.T) {
	ledger := allowance.New(false)
	ledger.Spend("a", limit, 1, start)
	verdict := ledger.Spend("a", limit, 200, start)
	if verdict.Granted || verdict.Wait != 200*time.Millisecond {
		t.Fatalf("got %+v, want a refusal with a wait of 200ms", verdict)
	}
	if !ledger.Spend("a", limit, 200, start.Add(verdict.Wait)).Granted {
		t.Error("got tokens refused after the returned wait, want granted")
	}
}

func TestPeerSpendingIsDebitedOnce(t *testing.T) {
	ledger := allowance.New(true)
	ledger.SetPeers([]string{"b"}, nil, 200*time.Millisecond)
	ledger.ApplyPeerTotals("b", 1, nil, true, start)
	ledger.Spend("a", limit, 0, start)
	for range 3 {
		ledger.ApplyPeerTotals("b", 1, map[string]float64{"a": 400}, true, start)
	}
	if verdict := ledger.Spend("a", limit, 0, start); verdict.Level != 100 {
		t.Errorf("got level %v after a peer reported 400 of 500 tokens three times, want 100", verdict.Level)
	}
	ledger.ApplyPeerTotals("b", 2, map[string]float64{"a": 50}, true, start)
	if verdict := ledger.Spend("a", limit, 0, start); verdict.Level != 50 {
		t.Errorf("got level %v after the restarted peer reported 50 tokens, want 50", verdict.Level)
	}
}

func TestRefundedTokensCanBeSpentAgain(t *testing.T) {
	ledger := allowance.New(true)
	ledger.Spend("a", limit, 500, start)
	ledger.Refund("a", 500)
	if !ledger.Spend("a", limit, 500, start).Granted || ledger.Spent()["a"] != 500 {
		t.Error("refunded tokens: got refused or counted twice, want granted and counted once")
	}
}

// TestFleetKeepsTheLimitThroughPartitions offers ten times an account's rate while random
// partitions separate the nodes. No window may exceed the rate, the burst and what
// is spent until the nodes detect the partition.
func TestFleetKeepsTheLimitThroughPartitions(t *testing.T) {
	const (
		nodes  = 8
		step   = 20 * time.Millisecond
		digest = 10
		steps  = 3000
		window = 400
		// slack in tokens is what the users' requirement leaves for spending until a
		// partition is detected.
		slack = 1500
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		names := []string{"0", "1", "2", "3", "4", "5", "6", "7"}
		ledgers := make([]*allowance.Ledger, nodes)
		for index := range ledgers {
			ledgers[index] = allowance.New(true)
			var peers []string
			for other, name := range names {
				if other != index {
					peers = append(peers, name)
				}
			}
			ledgers[index].SetPeers(peers, nil, digest*step)
		}
		group := make([]int, nodes)
		spent := make([]float64, steps)
		for now := range steps {
			at := start.Add(time.Duration(now) * step)
			if now%500 == 0 {
				for index := range group {
					group[index] = random.IntN(1 + now/500%2)
				}
			}
			if now%digest == 0 {
				for from, ledger := range ledgers {
					for to, other := range ledgers {
						if from != to && group[from] == group[to] {
							other.ApplyPeerTotals(names[from], 1, ledger.Spent(), true, at)
						}
					}
				}
			}
			for _, ledger := range ledgers {
				if ledger.Spend("a", limit, 25, at).Granted {
					spent[now] += 25
				}
			}
		}
		sum := 0.0
		for now := range steps {
			sum += spent[now]
			if now >= window {
				sum -= spent[now-window]
			}
			allowed := limit.Rate*window*step.Seconds()*1.1 + limit.Burst*1.1 + slack
			if sum > allowed {
				t.Fatalf("seed %d: got %v tokens in %v, want at most %v", seed, sum, window*step, allowed)
			}
		}
	}
}

// TestLargeFleetKeepsTheLimitBetweenRareDigests has every node of a fleet with one
// digest per second spend as fast as it may: the nodes must not all spend the same
// tokens before they learn of each other's spending, and the account must still get
// most of its rate.
func TestLargeFleetKeepsTheLimitBetweenRareDigests(t *testing.T) {
	const (
		nodes  = 60
		step   = 20 * time.Millisecond
		digest = 50
		steps  = 2000
		window = 400
		cost   = 500
		// slack in tokens is the tolerance of the limit that the users require.
		slack = 110000
	)
	large := allowance.Limit{Rate: 100000, Burst: 100000}
	ledgers := make([]*allowance.Ledger, nodes)
	names := make([]string, nodes)
	for index := range names {
		names[index] = string(rune('A' + index))
	}
	for index := range ledgers {
		ledgers[index] = allowance.New(true)
		ledgers[index].SetPeers(append(append([]string{}, names[:index]...), names[index+1:]...), nil, digest*step)
	}
	spent := make([]float64, steps)
	sum := 0.0
	for now := range steps {
		at := start.Add(time.Duration(now) * step)
		for from, ledger := range ledgers {
			if now%digest != from%digest {
				continue
			}
			for to, other := range ledgers {
				if to != from {
					other.ApplyPeerTotals(names[from], 1, ledger.Spent(), true, at)
				}
			}
			ledger.MarkReported()
		}
		for range 4 {
			for _, ledger := range ledgers {
				if ledger.Spend("a", large, cost, at).Granted {
					spent[now] += cost
				}
			}
		}
		sum += spent[now]
		if now >= window {
			sum -= spent[now-window]
		}
		allowed := (large.Rate*window*step.Seconds() + large.Burst) * 1.1
		if sum > allowed+slack {
			t.Fatalf("got %v tokens in %v at step %d, want at most %v and the slack", sum, window*step, now, allowed)
		}
	}
	if sum < 0.8*large.Rate*window*step.Seconds() {
		t.Errorf("got %v tokens in the last window, want at least 80%% of the account's rate", sum)
	}
}

func TestIdleAccountAccruesTokensSinceItWasConfigured(t *testing.T) {
	for _, seconds := range []int{1, 30} {
		ledger := allowance.New(false)
		ledger.SetPeers([]string{"b"}, nil, 200*time.Millisecond)
		ledger.SetAccounts(map[string]allowance.Limit{"a": limit}, start)
		now, spent := start, 0.0
		for range 10 * seconds {
			ledger.ApplyPeerTotals("b", 1, map[string]float64{"a": spent}, true, now)
			now = now.Add(100 * time.Millisecond)
			spent += 80
		}
		ledger.ApplyPeerTotals("b", 1, map[string]float64{"a": spent}, true, now)
		verdict := ledger.Spend("a", limit, 0, now)
		if want := min(200*float64(seconds), limit.Burst); verdict.Level < want-1 || verdict.Level > want+1 {
			t.Errorf("got level %v after %d s at 1000 tokens/s of which a peer spent 800, want 200 per second up to the burst", verdict.Level, seconds)
		}
	}
}

func TestUnconfiguredAccountStartsEmpty(t *testing.T) {
	ledger := allowance.New(false)
	ledger.SetAccounts(map[string]allowance.Limit{"a": limit}, start)
	if verdict := ledger.Spend("b", limit, 0, start.Add(time.Minute)); verdict.Level != 0 {
		t.Errorf("got level %v, want 0, since peers may have spent the tokens", verdict.Level)
	}
}

// TestZoneTotalsAreDebitedOncePerSource has two sources report the spending of one zone, as
// when two of its hosts take themselves for its relay, and the first fall silent.
func TestZoneTotalsAreDebitedOncePerSource(t *testing.T) {
	ledger := allowance.New(true)
	ledger.SetPeers(nil, map[string]int{"b": 3}, 300*time.Millisecond)
	level := func(now time.Time) float64 {
		return ledger.Spend("a", allowance.Limit{Rate: 1e-9, Burst: 500}, 0, now).Level
	}
	first, second := allowance.Source{Node: "n1", Incarnation: 1}, allowance.Source{Node: "n2", Incarnation: 1}
	ledger.ApplyZoneTotals("b", first, 3, map[string]float64{"a": 1000}, start)
	ledger.ApplyZoneTotals("b", second, 3, map[string]float64{"a": 7}, start.Add(time.Millisecond))
	if got := level(start); got != 500 {
		t.Errorf("first totals of both sources: got level %v, want 500, since they hold what was spent before", got)
	}
	ledger.ApplyZoneTotals("b", first, 3, map[string]float64{"a": 1100}, start.Add(2*time.Millisecond))
	ledger.ApplyZoneTotals("b", second, 3, map[string]float64{"a": 107}, start.Add(3*time.Millisecond))
	if got := level(start); got != 400 {
		t.Errorf("100 tokens by both sources: got level %v, want 400", got)
	}
	later := start.Add(time.Second)
	ledger.ApplyZoneTotals("b", second, 3, map[string]float64{"a": 157}, later)
	if got := math.Round(level(later)); got != 350 {
		t.Errorf("50 tokens by the second source after the first fell silent: got level %v, want 350", got)
	}
}

// TestSilentZoneKeepsItsShare checks that the share of a zone that is not heard is left to it.
func TestSilentZoneKeepsItsShare(t *testing.T) {
	ledger := allowance.New(true)
	ledger.SetPeers([]string{"n2"}, map[string]int{"b": 6}, 300*time.Millisecond)
	source := allowance.Source{Node: "n1", Incarnation: 1}
	fraction := func(now time.Time) float64 {
		ledger.ApplyPeerTotals("n2", 1, nil, true, now)
		return ledger.Spend("a", limit, 0, now).Fraction
	}
	if got := fraction(start); got != 0.25 {
		t.Errorf("zone not heard yet: got fraction %v, want 0.25 for 2 of 8 nodes", got)
	}
	ledger.ApplyZoneTotals("b", source, 4, nil, start)
	if got := fraction(start); got != 0.75 {
		t.Errorf("4 of the zone's 6 nodes report: got fraction %v, want 0.75", got)
	}
	if got := fraction(start.Add(2 * time.Second)); got != 0.25 {
		t.Errorf("zone silent for 2s: got fraction %v, want 0.25", got)
	}
}

// TestTotalsThatAreLeftOutAreDebitedOnce has a peer leave out totals that have not changed
// recently, before this node has its complete ones, after them, and after a time out of reach.
func TestTotalsThatAreLeftOutAreDebitedOnce(t *testing.T) {
	ledger := allowance.New(true)
	ledger.SetPeers([]string{"b"}, nil, 200*time.Millisecond)
	level := func(now time.Time) float64 {
		return math.Round(ledger.Spend("a", allowance.Limit{Rate: 1e-9, Burst: 500}, 0, now).Level)
	}
	now := start
	for index, step := range []struct {
		spent    map[string]float64
		complete bool
		pause    time.Duration
		want     float64
	}{
		{spent: nil, want: 500},
		{spent: map[string]float64{"a": 9000}, want: 500}, // Most of it before this node heard of the peer.
		{spent: map[string]float64{"a": 9020}, want: 480},
		{spent: nil, complete: true, want: 480},
		{spent: map[string]float64{"a": 9050}, want: 450},
		{spent: nil, pause: 5 * time.Second, want: 250}, // Half of the burst is left to the peer.
		{spent: map[string]float64{"a": 9400}, want: 250},
		{spent: map[string]float64{"a": 9410}, complete: true, want: 240},
	} {
		now = now.Add(100*time.Millisecond + step.pause)
		if step.pause > 0 {
			level(now)
		}
		ledger.ApplyPeerTotals("b", 1, step.spent, step.complete, now)
		if got := level(now); got != step.want {
			t.Errorf("step %d: got level %v, want %v", index, got, step.want)
		}
	}
}

// TestProcessWhoseClockWasSetBackIsHeard guards against a restarted peer that is ignored for
// good because its clock, by which processes are told apart, was set back meanwhile.
func TestProcessWhoseClockWasSetBackIsHeard(t *testing.T) {
	ledger := allowance.New(true)
	ledger.SetPeers([]string{"b"}, nil, 200*time.Millisecond)
	level := func(now time.Time) float64 {
		return math.Round(ledger.Spend("a", allowance.Limit{Rate: 1e-9, Burst: 500}, 0, now).Level)
	}
	ledger.ApplyPeerTotals("b", 7, nil, true, start)
	level(start)
	ledger.ApplyPeerTotals("b", 6, map[string]float64{"a": 100}, true, start.Add(100*time.Millisecond))
	if got := level(start.Add(100 * time.Millisecond)); got != 500 {
		t.Errorf("late digest of an earlier process: got level %v, want 500", got)
	}
	// The peer counts as unreachable after a second, so that its first totals are covered.
	later := start.Add(1200 * time.Millisecond)
	level(later)
	ledger.ApplyPeerTotals("b", 6, nil, true, later)
	ledger.ApplyPeerTotals("b", 6, map[string]float64{"a": 100}, true, later)
	if got := level(later); got != 150 {
		t.Errorf("process with an earlier number: got level %v, want 150, half of the burst less 100", got)
	}
}
