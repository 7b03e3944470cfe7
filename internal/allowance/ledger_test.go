package allowance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/allowance"
)

var (
	start = time.Unix(1_700_000_000, 0)
	limit = allowance.Limit{Rate: 1000, Burst: 500}
)

func TestBucketStartsEmptyUnlessTheSystemIsNew(t *testing.T) {
	if allowance.New(false).Spend("a", limit, 100, start).Granted {
		t.Error("a restarted node has spent tokens that others may have spent before")
	}
	if !allowance.New(true).Spend("a", limit, 100, start).Granted {
		t.Error("a new system has no tokens")
	}
}

func TestRefusalSaysWhenTheTokensAreThere(t *testing.T) {
	ledger := allowance.New(false)
	ledger.Spend("a", limit, 1, start)
	verdict := ledger.Spend("a", limit, 200, start)
	if verdict.Granted || verdict.Wait != 200*time.Millisecond {
		t.Fatalf("verdict: %+v", verdict)
	}
	if !ledger.Spend("a", limit, 200, start.Add(verdict.Wait)).Granted {
		t.Error("the tokens were not there when they should have been")
	}
}

func TestPeersSpendsAreTakenOutOnce(t *testing.T) {
	ledger := allowance.New(true)
	ledger.SetPeers([]string{"b"}, 200*time.Millisecond)
	ledger.Hear("b", 1, nil, start)
	ledger.Spend("a", limit, 0, start)
	for range 3 {
		ledger.Hear("b", 1, map[string]float64{"a": 400}, start)
	}
	if verdict := ledger.Spend("a", limit, 0, start); verdict.Level != 100 {
		t.Errorf("level %v after a peer has spent 400 of 500", verdict.Level)
	}
	ledger.Hear("b", 2, map[string]float64{"a": 50}, start)
	if verdict := ledger.Spend("a", limit, 0, start); verdict.Level != 50 {
		t.Errorf("level %v after the peer's next incarnation has spent 50", verdict.Level)
	}
}

func TestRefundIsGivenBack(t *testing.T) {
	ledger := allowance.New(true)
	ledger.Spend("a", limit, 500, start)
	ledger.Refund("a", 500)
	if !ledger.Spend("a", limit, 500, start).Granted || ledger.Spent()["a"] != 500 {
		t.Error("refunded tokens are gone")
	}
}

// TestFleetKeepsTheLimitThroughCuts drives a fleet with ten times its rate while
// random groups of nodes lose each other: in no window does it spend more than
// the rate, the burst and what may pass before silence is noticed.
func TestFleetKeepsTheLimitThroughCuts(t *testing.T) {
	const (
		nodes  = 8
		step   = 20 * time.Millisecond
		digest = 10
		steps  = 3000
		window = 400
		// slack is what the users' bound leaves for nodes that have just lost each other.
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
			ledgers[index].SetPeers(peers, digest*step)
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
							other.Hear(names[from], 1, ledger.Spent(), at)
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
				t.Fatalf("seed %d: %v tokens in %v, allowed %v", seed, sum, window*step, allowed)
			}
		}
	}
}

// TestLargeFleetKeepsTheLimitBetweenRareDigests lets every node of a fleet whose
// digests come once a second spend as fast as it may.
func TestLargeFleetKeepsTheLimitBetweenRareDigests(t *testing.T) {
	const (
		nodes  = 60
		step   = 20 * time.Millisecond
		digest = 50
		steps  = 2000
		window = 400
		cost   = 500
		// slack is the users' tolerance in tokens.
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
		ledgers[index].SetPeers(append(append([]string{}, names[:index]...), names[index+1:]...), digest*step)
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
					other.Hear(names[from], 1, ledger.Spent(), at)
				}
			}
			ledger.Told()
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
			t.Fatalf("%v tokens in %v at step %d, allowed %v", sum, window*step, now, allowed)
		}
	}
	if sum < 0.8*large.Rate*window*step.Seconds() {
		t.Errorf("%v tokens in the last window: the account does not get what it pays for", sum)
	}
}

func TestAccountAskedForLateHasWhatAccruedSinceItWasConfigured(t *testing.T) {
	for _, seconds := range []int{1, 30} {
		ledger := allowance.New(false)
		ledger.SetPeers([]string{"b"}, 200*time.Millisecond)
		ledger.SetAccounts(map[string]allowance.Limit{"a": limit}, start)
		now, spent := start, 0.0
		for range 10 * seconds {
			ledger.Hear("b", 1, map[string]float64{"a": spent}, now)
			now = now.Add(100 * time.Millisecond)
			spent += 80
		}
		ledger.Hear("b", 1, map[string]float64{"a": spent}, now)
		verdict := ledger.Spend("a", limit, 0, now)
		if want := min(200*float64(seconds), limit.Burst); verdict.Level < want-1 || verdict.Level > want+1 {
			t.Errorf("level %v after %d s at a rate of 1000, of which a peer has spent 800", verdict.Level, seconds)
		}
	}
}

func TestAccountThatIsNotConfiguredStartsEmpty(t *testing.T) {
	ledger := allowance.New(false)
	ledger.SetAccounts(map[string]allowance.Limit{"a": limit}, start)
	if verdict := ledger.Spend("b", limit, 0, start.Add(time.Minute)); verdict.Level != 0 {
		t.Errorf("level %v although other members may have spent it", verdict.Level)
	}
}
