package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/pace"
)

// BenchmarkChooseAmongSlowTargets measures a choice among 160 of 10,000 known targets, half of which are slow, for a
// plain request and for a prompt with a shared prefix. The bound of docs/design/hard-load-remainder.md is 10 µs.
func BenchmarkChooseAmongSlowTargets(b *testing.B) {
	parts := []mimosatide.PromptPart{{ID: "shared", Tokens: 6300}, {ID: "own", Tokens: 2890}}
	for name, query := range map[string]balance.Query{
		"plain": {Tried: map[string]bool{}},
		"prompt": {
			Engine: true, GapObjective: 500 * time.Millisecond,
			Request: mimosatide.CallerRequest{Model: "m", PromptTokens: 9190, Parts: parts},
		},
	} {
		b.Run(name, func(b *testing.B) {
			paces := pace.New(logr.Discard())
			tracker := balance.New("a", paces)
			var all []mimosatide.Instance
			for index := range 10_000 {
				instance := mimosatide.Instance{ID: fmt.Sprint("instance-", index), Service: "s", Zone: "a", Slots: 64, Born: now}
				all = append(all, instance)
				tracker.Begin(instance.ID, query, now)
				target := pace.Target{ID: instance.ID, Service: "s", Born: now}
				for range 8 {
					paces.Observe(target, 50*time.Millisecond, time.Duration(1+index%2*3)*50*time.Millisecond, now)
				}
			}
			candidates := all[5000:5160]
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				tracker.Choose(query, candidates, now.Add(time.Duration(index)*100*time.Microsecond))
			}
		})
	}
}
