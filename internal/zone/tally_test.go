package zone_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/allowance"
	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/zone"
)

const lifetime = 1200 * time.Millisecond

var start = time.Unix(1_700_000_000, 0)

func digest(node string, incarnation uint64, spent float64) gossip.Digest {
	return gossip.Digest{Node: node, Incarnation: incarnation, Spent: map[string]float64{"a": spent}}
}

// TestTotalsCountEachTokenOnce guards against totals that count tokens of before the tally, of
// a restarted host or of a repeated or late digest wrongly.
func TestTotalsCountEachTokenOnce(t *testing.T) {
	tally := zone.New("configurations", lifetime)
	tally.Add(digest("n1", 1, 1000), start)
	tally.Add(digest("n1", 1, 1300), start)
	tally.Add(digest("n1", 1, 1300), start)
	tally.Add(digest("n1", 1, 1250), start) // 50 were returned.
	tally.Add(digest("n1", 2, 40), start)
	tally.Add(digest("n1", 1, 1300), start)
	tally.Add(digest("n1", 2, 70), start)
	if got := tally.Summary(start).Spent["a"]; got != 250+70 {
		t.Errorf("got %v tokens, want 320: those since the first digest of each process", got)
	}
}

// TestSummaryHoldsTheStateOfHostsThatReport leaves a host out whose last digest is too old.
func TestSummaryHoldsTheStateOfHostsThatReport(t *testing.T) {
	tally := zone.New("configurations", lifetime)
	silent := digest("n0", 1, 0)
	silent.Loads = map[string]gossip.Load{"t1": {Running: 100}}
	silent.Tables = map[string]uint64{"targets": 90}
	tally.Add(silent, start.Add(-2*lifetime))
	one := digest("n1", 1, 0)
	one.Loads = map[string]gossip.Load{"t1": {Running: 2, PrefillMillis: 10}, "t2": {Running: 1}}
	one.Tables = map[string]uint64{"configurations": 7, "targets": 20}
	one.ConfigurationAgeMillis = 300
	tally.Add(one, start.Add(-100*time.Millisecond))
	other := digest("n2", 1, 0)
	other.Loads = map[string]gossip.Load{"t1": {Running: 3, Deferred: 1}}
	other.Tables = map[string]uint64{"configurations": 7, "targets": 10}
	other.Steady, other.ConfigurationAgeMillis = true, 350
	tally.Add(other, start)

	got := tally.Summary(start)
	want := gossip.Summary{
		Hosts:        2,
		Spent:        map[string]float64{},
		Loads:        map[string]gossip.Load{"t1": {Running: 5, PrefillMillis: 10, Deferred: 1}, "t2": {Running: 1}},
		Tables:       map[string]uint64{"configurations": 7, "targets": 20},
		SteadyTables: map[string]uint64{"configurations": 7, "targets": 10},
		// n2's word is 350 ms old, n1's 400 ms.
		ConfigurationAgeMillis: map[uint64]int64{7: 350},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got summary\n%+v, want\n%+v", got, want)
	}
}

// TestSpendingIsDebitedOverChangesOfTheRelay has the relay of a zone change at random, between
// hosts that all hear the zone's digests. What the ledger of another zone debits must be what
// the zone spent, but for what was spent while no relay reported.
func TestSpendingIsDebitedOverChangesOfTheRelay(t *testing.T) {
	const hosts, steps, step = 6, 400, 100 * time.Millisecond
	limit := allowance.Limit{Rate: 1e-9, Burst: 1e9}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 11))
		ledger := allowance.New(true)
		ledger.SetPeers(nil, map[string]int{"b": hosts}, 300*time.Millisecond)
		ledger.ApplyZoneTotals("b", allowance.Source{}, hosts, nil, start)
		ledger.Spend("a", limit, 0, start)
		tallies := make([]*zone.Tally, hosts)
		for index := range tallies {
			tallies[index] = zone.New("configurations", lifetime)
		}
		spent := make([]float64, hosts)
		total, relay, changes, now := 0.0, 0, 0, start
		report := func(by int) {
			summary := tallies[by].Summary(now)
			source := allowance.Source{Node: fmt.Sprint(by), Incarnation: 1}
			ledger.ApplyZoneTotals("b", source, summary.Hosts, summary.Spent, now)
		}
		for index := range steps {
			now = now.Add(step)
			for host := range hosts {
				if tokens := float64(random.IntN(10)); index > 0 && index < steps-20 {
					spent[host] += tokens
					total += tokens
				}
				for _, tally := range tallies {
					tally.Add(digest(fmt.Sprint(host), 1, spent[host]), now)
				}
			}
			if random.IntN(40) == 0 {
				relay = random.IntN(hosts)
				changes++
			}
			report(relay)
			if random.IntN(3) == 0 {
				report(random.IntN(hosts)) // Another host takes itself for the relay, too.
			}
		}
		debited := limit.Burst - ledger.Spend("a", limit, 0, now).Level
		// A change of the relay costs what the zone spends between two reports, once if the new
		// one is not known yet and once when the old one falls silent.
		lost := total / steps * 2 * float64(changes)
		if debited > total+1 || debited < total-lost {
			t.Errorf("seed %d: got %.0f tokens debited of %.0f with %d changes of the relay, want at least %.0f", seed, debited, total, changes, total-lost)
		}
	}
}

// TestTotalsThatAreLeftOutCountOnce has a host leave out totals that have not changed recently,
// before this tally has its complete ones and after.
func TestTotalsThatAreLeftOutCountOnce(t *testing.T) {
	tally := zone.New("configurations", lifetime)
	recent := func(spent map[string]float64) gossip.Digest {
		return gossip.Digest{Node: "n1", Incarnation: 1, Spent: spent, RecentSpent: true}
	}
	tally.Add(recent(nil), start)
	tally.Add(recent(map[string]float64{"a": 500}), start)
	tally.Add(recent(map[string]float64{"a": 520}), start)
	tally.Add(digest("n1", 1, 520), start)
	tally.Add(recent(map[string]float64{"b": 30}), start)
	if got := tally.Summary(start).Spent; got["a"] != 20 || got["b"] != 30 {
		t.Errorf("got totals %v, want 20 of a, whose 500 were spent before, and 30 of b", got)
	}
}
