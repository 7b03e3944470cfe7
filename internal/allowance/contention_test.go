package allowance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/allowance"
)

const (
	lightTokens = 1_100
	heavyTokens = 9_200
)

// contendedRun is what the nodes of a fleet granted of an account in virtual time.
type contendedRun struct {
	// asked and granted count the requests by their tokens.
	asked   map[float64]int
	granted map[float64]int
	// spends holds the tokens that were granted in each tick.
	spends []float64
	// lowest and highest are those of the level at the first node, once the contention has lasted for some seconds.
	lowest  float64
	highest float64
}

// most returns the largest number of tokens that were granted within 8 s.
func (run contendedRun) most() float64 {
	const window = int(8 * time.Second / contendedTick)
	most, sum := 0.0, 0.0
	for index, spent := range run.spends {
		sum += spent
		if index >= window {
			sum -= run.spends[index-window]
		}
		most = max(most, sum)
	}
	return most
}

func (run contendedRun) total() float64 {
	total := 0.0
	for _, spent := range run.spends {
		total += spent
	}
	return total
}

// share returns the part of the requests of a size that were granted.
func (run contendedRun) share(tokens float64) float64 {
	return float64(run.granted[tokens]) / float64(max(run.asked[tokens], 1))
}

// contendedLoad is what one account asks of a fleet.
type contendedLoad struct {
	nodes int
	limit allowance.Limit
	// excess is the demand as a multiple of the rate, lightShare the part of the requests that are light.
	excess     float64
	lightShare float64
	length     time.Duration
	// digestInterval is the time between two digests, delay how long each takes.
	digestInterval time.Duration
	delay          time.Duration
}

const contendedTick = 10 * time.Millisecond

// runContended lets one account ask nodes for excess times its rate for some time, after an ordinary
// start. Totals reach the other nodes after one digest interval and a half; callers are spread unevenly.
func runContended(nodes int, limit allowance.Limit, excess float64, length time.Duration) contendedRun {
	return contendedLoad{
		nodes: nodes, limit: limit, excess: excess, lightShare: 0.4, length: length,
		digestInterval: 300 * time.Millisecond, delay: 150 * time.Millisecond,
	}.run()
}

func (load contendedLoad) run() contendedRun {
	nodes, limit := load.nodes, load.limit
	random := rand.New(rand.NewPCG(7, uint64(nodes)))
	names := make([]string, nodes)
	ledgers := make([]*allowance.Ledger, nodes)
	for index := range nodes {
		names[index] = fmt.Sprintf("n%d", index)
		ledgers[index] = allowance.New(true)
	}
	start := time.Unix(1000, 0)
	for index, ledger := range ledgers {
		var others []string
		for other, name := range names {
			if other != index {
				others = append(others, name)
			}
		}
		ledger.SetPeers(others, nil, load.digestInterval)
		ledger.SetAccounts(map[string]allowance.Limit{"a": limit}, start)
	}
	type report struct {
		from  int
		at    time.Time
		spent map[string]float64
	}
	var underWay []report
	run := contendedRun{asked: map[float64]int{}, granted: map[float64]int{}}
	for now := start; now.Sub(start) < load.length; now = now.Add(contendedTick) {
		tick := int(now.Sub(start) / contendedTick)
		for index, ledger := range ledgers {
			if (tick+index)%int(load.digestInterval/contendedTick) == 0 {
				ledger.MarkReported()
				underWay = append(underWay, report{from: index, at: now.Add(load.delay), spent: ledger.Spent()})
			}
		}
		for len(underWay) > 0 && !underWay[0].at.After(now) {
			arrived := underWay[0]
			underWay = underWay[1:]
			for index, ledger := range ledgers {
				if index != arrived.from {
					ledger.ApplyPeerTotals(names[arrived.from], 1, arrived.spent, true, now)
				}
			}
		}
		rate := limit.Rate * 0.6
		switch elapsed := now.Sub(start); {
		case elapsed < time.Second:
			// The nodes have not heard of each other yet.
			rate = 0
		case elapsed > 3*time.Second:
			rate = limit.Rate * load.excess
		}
		spent := 0.0
		mean := load.lightShare*lightTokens + (1-load.lightShare)*heavyTokens
		for wanted := rate * contendedTick.Seconds() / mean; wanted > 0; wanted-- {
			if random.Float64() > wanted {
				break
			}
			tokens := float64(heavyTokens)
			if random.Float64() < load.lightShare {
				tokens = lightTokens
			}
			// A quarter of the nodes has most of the account's callers.
			node := random.IntN(nodes)
			if random.Float64() < 0.7 {
				node = random.IntN(max(nodes/4, 1))
			}
			run.asked[tokens]++
			verdict := ledgers[node].Admit("a", limit, tokens, random.Float64(), now)
			if now.Sub(start) > load.length/2 {
				run.lowest, run.highest = min(run.lowest, verdict.Level), max(run.highest, verdict.Level)
			}
			if verdict.Granted {
				run.granted[tokens]++
				spent += tokens
			}
		}
		run.spends = append(run.spends, spent)
	}
	return run
}

// TestContendedAccountIsServedByWhatItCosts guards against an account that asks for several times its
// rate at many nodes at once: they overspent together before they heard of each other, and then refused
// what came, whatever it was, until the debt was worked off.
func TestContendedAccountIsServedByWhatItCosts(t *testing.T) {
	limit := allowance.Limit{Rate: 150_000, Burst: 150_000}
	for _, nodes := range []int{8, 80} {
		run := runContended(nodes, limit, 6, 22*time.Second)
		most, total := run.most(), run.total()
		// The users accept a tenth and 110,000 tokens above the limit in 8 s.
		if allowed := (8*limit.Rate+limit.Burst)*1.1 + 110_000; most > allowed {
			t.Errorf("%d nodes: got %.0f tokens in 8 s, want at most %.0f", nodes, most, allowed)
		}
		if least := 0.85 * 19 * limit.Rate; total < least {
			t.Errorf("%d nodes: got %.0f tokens granted, want at least %.0f: nothing is refused while there is room", nodes, total, least)
		}
		light, heavy := run.share(lightTokens), run.share(heavyTokens)
		if light < 0.7 || heavy < 0.05 {
			t.Errorf("%d nodes: got %.2f of the light and %.2f of the heavy requests granted, want 0.7 and 0.05 at least", nodes, light, heavy)
		}
		t.Logf("%d nodes: light %.2f, heavy %.2f, most in 8 s %.0f, total %.0f", nodes, light, heavy, most, total)
	}
}

// TestContendedBucketDoesNotSwing guards against a correction that is too strong for the delay with which nodes
// hear of each other: the bucket swung between large debts, in which light requests were refused like heavy
// ones, and levels at which all were granted.
func TestContendedBucketDoesNotSwing(t *testing.T) {
	for name, load := range map[string]contendedLoad{
		"digests take 0.3 s": {excess: 6, lightShare: 0.4, delay: 300 * time.Millisecond, limit: allowance.Limit{Rate: 147_000, Burst: 147_000}},
		"digests take 0.8 s": {excess: 6, lightShare: 0.4, delay: 800 * time.Millisecond, limit: allowance.Limit{Rate: 147_000, Burst: 147_000}},
		"large burst":        {excess: 6, lightShare: 0.4, delay: 800 * time.Millisecond, limit: allowance.Limit{Rate: 147_000, Burst: 735_000}},
		"light beyond rate":  {excess: 6, lightShare: 0.92, delay: 800 * time.Millisecond, limit: allowance.Limit{Rate: 500_000, Burst: 500_000}},
		"only light":         {excess: 6, lightShare: 1, delay: 800 * time.Millisecond, limit: allowance.Limit{Rate: 147_000, Burst: 147_000}},
		"little excess":      {excess: 1.5, lightShare: 0.4, delay: 800 * time.Millisecond, limit: allowance.Limit{Rate: 147_000, Burst: 147_000}},
	} {
		load.nodes, load.digestInterval, load.length = 80, 200*time.Millisecond, 30*time.Second
		run := load.run()
		light, heavy := run.share(lightTokens), run.share(heavyTokens)
		if allowed := (8*load.limit.Rate+load.limit.Burst)*1.1 + 110_000; run.most() > allowed {
			t.Errorf("%s: got %.0f tokens in 8 s, want at most %.0f", name, run.most(), allowed)
		}
		// The demand lasts for 27 s.
		if least := 0.95 * 27 * load.limit.Rate; run.total() < least {
			t.Errorf("%s: got %.0f tokens granted, want at least %.0f", name, run.total(), least)
		}
		if asked := load.excess * load.lightShare; asked < 3 && light < 0.85 {
			t.Errorf("%s: got %.2f of the light requests granted, want 0.85 at least", name, light)
		}
		// With little excess the level follows the demand, which varies by a second of the rate by itself.
		if swing := run.highest - run.lowest; load.excess >= 6 && swing > 1.6*load.limit.Rate+heavyTokens {
			t.Errorf("%s: got a level from %.0f to %.0f, want a swing of 1.6 s of the rate at most", name, run.lowest, run.highest)
		}
		t.Logf("%s: light %.2f, heavy %.2f, most in 8 s %.0f, total %.0f, level %.0f to %.0f", name, light, heavy, run.most(),
			run.total(), run.lowest, run.highest)
	}
}

// TestAccountWithinItsRateIsNeverContended guards against refusals while there is room.
func TestAccountWithinItsRateIsNeverContended(t *testing.T) {
	run := runContended(80, allowance.Limit{Rate: 500_000, Burst: 500_000}, 0.6, 20*time.Second)
	for tokens, asked := range run.asked {
		if granted := run.granted[tokens]; granted < asked {
			t.Errorf("requests of %.0f tokens: got %d of %d granted, want all", tokens, granted, asked)
		}
	}
}

// TestBucketOfAnIdleNodeHoldsNoMoreThanOthers guards against overspending by nodes that an account
// asks nothing of for some time: what accrued while the bucket was full made up for what was spent later.
func TestBucketOfAnIdleNodeHoldsNoMoreThanOthers(t *testing.T) {
	ledger := allowance.New(true)
	ledger.SetPeers([]string{"b"}, nil, 200*time.Millisecond)
	ledger.SetAccounts(map[string]allowance.Limit{"a": limit}, start)
	now, spent := start, 0.0
	for range 100 {
		ledger.ApplyPeerTotals("b", 1, map[string]float64{"a": spent}, true, now)
		now = now.Add(100 * time.Millisecond)
	}
	// The peer spends the burst and half as much again as the rate for a second.
	for range 10 {
		spent += (limit.Burst + 1.5*limit.Rate) / 10
		now = now.Add(100 * time.Millisecond)
		ledger.ApplyPeerTotals("b", 1, map[string]float64{"a": spent}, true, now)
	}
	if verdict := ledger.Spend("a", limit, 0, now); verdict.Level > 0 {
		t.Errorf("got level %v after the peer has spent more than the limit, want a debt", verdict.Level)
	}
}

// TestStartedNodeSaysThatItSettles guards against refusals by nodes that have not heard of their peers yet.
func TestStartedNodeSaysThatItSettles(t *testing.T) {
	ledger := allowance.New(false)
	ledger.SetPeers([]string{"b", "c", "d"}, nil, 200*time.Millisecond)
	ledger.SetAccounts(map[string]allowance.Limit{"a": limit}, start)
	if verdict := ledger.Admit("a", limit, 100, 0.5, start.Add(50*time.Millisecond)); verdict.Granted || !verdict.Settling {
		t.Errorf("just started: got %+v, want refused and settling", verdict)
	}
	ledger.Spend("a", limit, 1e6, start.Add(time.Minute))
	if verdict := ledger.Admit("a", limit, 100, 0.5, start.Add(time.Minute)); verdict.Granted || verdict.Settling {
		t.Errorf("a minute later: got %+v, want refused and not settling", verdict)
	}
}

// TestLargestRequestsOfAContendedAccountAreNotStarved guards against requests that are larger than what the
// bucket of a contended account ever holds.
func TestLargestRequestsOfAContendedAccountAreNotStarved(t *testing.T) {
	ledger, small := allowance.New(true), allowance.Limit{Rate: 15_000, Burst: 30_000}
	random, now, granted, asked := rand.New(rand.NewPCG(3, 1)), start, 0, 0
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		tokens := 3000.0
		if random.IntN(10) == 0 {
			tokens = 25_000
		}
		if random.Float64() > 6*small.Rate*0.01/5200 {
			continue
		}
		verdict := ledger.Admit("a", small, tokens, random.Float64(), now)
		if tokens > 3000 {
			asked++
			if verdict.Granted {
				granted++
			}
		}
	}
	if granted == 0 {
		t.Errorf("got none of %d large requests granted", asked)
	}
}

// TestRefusedCallersReturnAtDifferentTimes guards against callers that are told the same time and find no room again.
// They return one after the other at the rate, those that were refused first before the others; with a demand far
// beyond the rate they are spread.
func TestRefusedCallersReturnAtDifferentTimes(t *testing.T) {
	ledger, small := allowance.New(true), allowance.Limit{Rate: 10_000, Burst: 10_000}
	random, told, refused, last := rand.New(rand.NewPCG(5, 1)), map[time.Duration]int{}, 0, time.Duration(0)
	for index := range 200 {
		now := start.Add(time.Duration(index) * 5 * time.Millisecond)
		verdict := ledger.Admit("a", small, 3_000, random.Float64(), now)
		if verdict.Granted {
			continue
		}
		at := now.Add(verdict.Wait).Sub(start)
		// 3,000 tokens accrue in 300 ms.
		if refused > 0 && refused < 5 && at < last+300*time.Millisecond {
			t.Errorf("caller %d: got a return at %v, want one 300 ms after %v", refused, at, last)
		}
		refused, last = refused+1, at
		told[at.Truncate(100*time.Millisecond)]++
	}
	for at, callers := range told {
		if callers > refused/5 {
			t.Errorf("got %d of %d callers told to return at %v, want a fifth at most", callers, refused, at)
		}
	}
}
