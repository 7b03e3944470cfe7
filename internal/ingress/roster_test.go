package ingress_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosatide.example/mimosatide/internal/ingress"
)

// held is a connection of a roster with the address that it comes from.
type held struct {
	*ingress.Member
	address string
}

// Callers that open more and more connections must neither take more than there may be, nor keep
// an address with less than its share from getting one, nor cost another address its running
// requests while idle connections are left.
func TestRosterKeepsItsBoundAndTheSharesOfAddresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 40).Draw(t, "bound")
		roster, open, now := ingress.NewRoster(bound), []held(nil), time.Duration(0)
		count := func(address string) int {
			sum := 0
			for _, each := range open {
				if each.address == address {
					sum++
				}
			}
			return sum
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			if len(open) > 0 && rapid.Bool().Draw(t, "change") {
				changed := open[rapid.IntRange(0, len(open)-1).Draw(t, "changed")]
				stages := []ingress.Stage{ingress.StageIdle, ingress.StageHeader, ingress.StageBody, ingress.StageRunning}
				changed.Enter(rapid.SampledFrom(stages).Draw(t, "stage"), now, changed.Stage())
				continue
			}
			address := fmt.Sprintf("10.0.0.%d", rapid.IntRange(1, 4).Draw(t, "address"))
			if roster.Full() {
				addresses := map[string]bool{address: true}
				for _, each := range open {
					addresses[each.address] = true
				}
				share := max(bound/len(addresses), 1)
				victim, stage := roster.Choose(address, now)
				if victim == nil {
					if above := slices.ContainsFunc(open, func(each held) bool { return count(each.address) > share }); above && count(address) < share {
						t.Fatalf("new connection of %s with %d of a share of %d: got no place, want one", address, count(address), share)
					}
					continue
				}
				index := slices.IndexFunc(open, func(each held) bool { return each.Member == victim })
				other := open[index].address
				if other != address && count(other) <= share && stage == ingress.StageRunning {
					t.Fatalf("connection closed for %s: got a running one of %s, which has %d of a share of %d", address, other, count(other), share)
				}
				idle := func(each held) bool { return each.address == other && each.Stage() == ingress.StageIdle }
				if stage != ingress.StageIdle && stage != ingress.StageNew && slices.ContainsFunc(open, idle) {
					t.Fatalf("connection closed of %s: got one in stage %d, want an idle one", other, stage)
				}
				roster.Remove(victim)
				open = slices.Delete(open, index, index+1)
			}
			open = append(open, held{Member: roster.Add(address, now), address: address})
			if roster.Count() != len(open) || roster.Count() > bound {
				t.Fatalf("got %d connections, want %d and at most %d", roster.Count(), len(open), bound)
			}
		}
	})
}

// A caller that does not go on must not keep its connection, and one that does must keep it,
// however slow it is.
func TestOverdueConnectionsAreThoseWithoutProgress(t *testing.T) {
	limits := ingress.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, MaxHeader: 1 << 14}
	for _, each := range []struct {
		name    string
		stage   ingress.Stage
		age     time.Duration
		pressed bool
		want    ingress.Cause
	}{
		{"header in time", ingress.StageHeader, 2900 * time.Millisecond, true, ingress.CauseNone},
		{"header that doesn't end", ingress.StageHeader, 3 * time.Second, false, ingress.CauseHeaderSlow},
		{"connection that is reused", ingress.StageIdle, 12 * time.Second, true, ingress.CauseNone},
		{"idle connection", ingress.StageIdle, 15 * time.Second, false, ingress.CauseIdle},
		{"body that pauses", ingress.StageBody, 4 * time.Second, false, ingress.CauseNone},
		{"body that pauses while memory is short", ingress.StageBody, 4 * time.Second, true, ingress.CauseBodyStalled},
		{"body that stalls", ingress.StageBody, 5 * time.Second, false, ingress.CauseBodyStalled},
		{"request that runs for long", ingress.StageRunning, time.Hour, true, ingress.CauseNone},
	} {
		member := ingress.NewRoster(1).Add("10.0.0.1", 0)
		member.Enter(each.stage, time.Minute, ingress.StageNew)
		if got := limits.Overdue(member, time.Minute+each.age, each.pressed); got != each.want {
			t.Errorf("%s: got cause %q, want %q", each.name, got, each.want)
		}
	}
	reader := ingress.NewRoster(1).Add("10.0.0.1", 0)
	reader.Enter(ingress.StageRunning, 0, ingress.StageNew)
	for now := time.Duration(0); now < time.Minute; now += 13 * time.Second {
		reader.BeginWrite(now)
		if got := limits.Overdue(reader, now+13*time.Second, true); got != ingress.CauseNone {
			t.Errorf("reader that accepts bytes every 13 s: got cause %q, want none", got)
		}
	}
	if got := limits.Overdue(reader, 2*time.Minute, false); got != ingress.CauseUnread {
		t.Errorf("reader that accepts nothing: got cause %q, want %q", got, ingress.CauseUnread)
	}
}

// TestNoRunningRequestEndsForLackOfDescriptors guards against requests of ordinary callers that are cut
// because a connection could not be accepted: they may all come from one address, that of a balancer.
func TestNoRunningRequestEndsForLackOfDescriptors(t *testing.T) {
	roster := ingress.NewRoster(800)
	for range 500 {
		roster.Add("10.0.0.1", 0).Enter(ingress.StageRunning, 0, ingress.StageNew)
	}
	if victim, stage := roster.Choose("", time.Minute); victim != nil {
		t.Errorf("only running requests: got one in stage %d closed, want none", stage)
	}
	roster.Add("10.0.0.1", 0).Enter(ingress.StageIdle, 0, ingress.StageNew)
	if victim, stage := roster.Choose("", time.Minute); victim == nil || stage != ingress.StageIdle {
		t.Errorf("beside an idle connection: got %v in stage %d, want the idle one", victim, stage)
	}
}

// BenchmarkChoose measures the choice of a connection on a host with the most connections.
func BenchmarkChoose(b *testing.B) {
	const bound = 2000
	roster := ingress.NewRoster(bound)
	for index := range bound {
		roster.Add(fmt.Sprintf("10.0.0.%d", index%200), 0).Enter(ingress.StageRunning, 0, ingress.StageNew)
	}
	for b.Loop() {
		roster.Choose("10.0.1.1", time.Second)
	}
}
