package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/pace"
)

// TestTotalIsTheSumOfTheCurrentLoads compares the totals with a plain sum over the peers, whose
// loads change and expire at random.
func TestTotalIsTheSumOfTheCurrentLoads(t *testing.T) {
	type reported struct {
		loads map[string]balance.Load
		until time.Time
	}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 17))
		tracker := balance.New("a", pace.New(logr.Discard()))
		peers := map[string]reported{}
		now := time.Unix(1_700_000_000, 0)
		for range 500 {
			now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
			name := fmt.Sprint(random.IntN(12))
			report := reported{loads: map[string]balance.Load{}, until: now.Add(time.Duration(random.IntN(1500)) * time.Millisecond)}
			for range random.IntN(4) {
				report.loads[fmt.Sprint(random.IntN(5))] = balance.Load{
					Running: 1 + random.IntN(5), Prefill: time.Duration(random.IntN(9)) * time.Millisecond, Deferred: random.IntN(2),
				}
			}
			peers[name] = report
			tracker.SetPeerLoads(name, report.loads, report.until)
			for id := range 5 {
				var want balance.Load
				for _, peer := range peers {
					if load := peer.loads[fmt.Sprint(id)]; !now.After(peer.until) {
						want.Running += load.Running
						want.Prefill += load.Prefill
						want.Deferred += load.Deferred
					}
				}
				if got := tracker.Total(fmt.Sprint(id), now); got != want {
					t.Fatalf("seed %d, target %d: got load %+v, want %+v", seed, id, got, want)
				}
			}
		}
	}
}

// BenchmarkChoose measures a choice among the engines of a large deployment that hold a model,
// with the loads of hundreds of peers.
func BenchmarkChoose(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	for _, targets := range []int{10, 160} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			tracker := balance.New("a", pace.New(logr.Discard()))
			var candidates []mimosatide.Instance
			for index := range targets {
				candidates = append(candidates, mimosatide.Instance{ID: fmt.Sprint("i-", index), Slots: 64})
			}
			for peer := range 300 {
				loads := map[string]balance.Load{fmt.Sprint("i-", peer%targets): {Running: 1}}
				tracker.SetPeerLoads(fmt.Sprint(peer), loads, now.Add(time.Hour))
			}
			b.ReportAllocs()
			for b.Loop() {
				tracker.Choose(balance.Query{Tried: map[string]bool{}}, candidates, now)
			}
		})
	}
}
