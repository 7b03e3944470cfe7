package permit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/permit"
)

const (
	coldRate    = 8.0
	coldOverage = 1.5
	coldSlack   = 5.0
)

// mostInASecond returns the largest number of times within a second.
func mostInASecond(times []time.Time) int {
	most := 0
	for first, start := range times {
		count := 0
		for _, at := range times[first:] {
			if at.Sub(start) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// sideEndpoint is an endpoint in a divided network: the home of a target is the first node of
// the asking node's side.
type sideEndpoint struct {
	endpoint
}

func (endpoint sideEndpoint) Home(string) (string, bool) {
	endpoint.network.lock.Lock()
	defer endpoint.network.lock.Unlock()
	home := endpoint.node
	for node, side := range endpoint.network.sides {
		if side == endpoint.network.sides[endpoint.node] && node < home {
			home = node
		}
	}
	return home, home == endpoint.node
}

// TestColdTargetGetsNoHerd guards against a target that crashes because all nodes return to it at
// once, when the evacuation of its zone ends: also on nodes that hear only some of the others.
func TestColdTargetGetsNoHerd(t *testing.T) {
	for _, sides := range []int{1, 2, 5} {
		synctest.Test(t, func(t *testing.T) {
			const nodes = 60
			network, limits := newNetwork(nodes)
			network.sides = map[string]int{}
			cold := map[string]permit.ColdLimit{"llm": permit.NewColdLimit(3*time.Second, coldRate, coldOverage, coldSlack)}
			returned := mimosatide.Instance{ID: "a", Service: "llm", Born: time.UnixMilli(1), ReturnedAt: time.Now()}
			for index := range nodes {
				name := fmt.Sprintf("n%d", index+1)
				network.sides[name] = index % sides
				network.desks[name] = permit.NewDesk(limits[index], network.issuers[name], sideEndpoint{endpoint{network: network, node: name}}, logr.Discard())
				limits[index].SetCold(cold)
			}
			var lock sync.Mutex
			var sends []time.Time
			ctx, cancel := context.WithTimeout(t.Context(), 2900*time.Millisecond)
			defer cancel()
			var group sync.WaitGroup
			for _, desk := range network.desks {
				group.Go(func() {
					for ; ctx.Err() == nil; time.Sleep(rand.N(100 * time.Millisecond)) {
						verdict := desk.Acquire(ctx, returned, 300*time.Millisecond, false)
						if !verdict.Granted {
							continue
						}
						time.Sleep(verdict.Wait)
						lock.Lock()
						sends = append(sends, time.Now())
						lock.Unlock()
					}
				})
			}
			group.Wait()
			if most, allowed := mostInASecond(sends), int(coldRate*coldOverage+coldSlack); most > allowed {
				t.Errorf("%d sides: got %d requests in a second, want at most %d", sides, most, allowed)
			}
			if least := 12; len(sends) < least {
				t.Errorf("%d sides: got %d requests in 3 s, want at least %d: a cold target is not starved", sides, len(sends), least)
			}
		})
	}
}

// TestColdEndsByItself guards against targets that are limited for good, and against targets that are
// not limited although their row or the end of an evacuation says that they are cold.
func TestColdEndsByItself(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := permit.NewLimits()
	limits.SetCold(map[string]permit.ColdLimit{"llm": permit.NewColdLimit(3*time.Second, coldRate, coldOverage, coldSlack)})
	for name, test := range map[string]struct {
		instance mimosatide.Instance
		limited  bool
	}{
		"by its row":         {mimosatide.Instance{Service: "llm", ColdUntil: now.Add(time.Second)}, true},
		"warm by now":        {mimosatide.Instance{Service: "llm", ColdUntil: now}, false},
		"after evacuation":   {mimosatide.Instance{Service: "llm", ReturnedAt: now.Add(-2 * time.Second)}, true},
		"long after it":      {mimosatide.Instance{Service: "llm", ReturnedAt: now.Add(-3 * time.Second)}, false},
		"service without it": {mimosatide.Instance{Service: "desk", ColdUntil: now.Add(time.Second)}, false},
		"never cold":         {mimosatide.Instance{Service: "llm"}, false},
	} {
		if _, limited := limits.Bound(test.instance, now); limited != test.limited {
			t.Errorf("%s: got limited %v, want %v", name, limited, test.limited)
		}
	}
	cold := mimosatide.Instance{ID: "a", Service: "llm", ColdUntil: now.Add(time.Second)}
	limits.Name(cold, 2, now)
	if bound, _ := limits.Bound(cold, now); bound.Rate != 2 || !bound.Shared {
		t.Errorf("cold and limited to 2 a second by its own word: got %+v, want the lower rate, shared", bound)
	}
}

// TestScheduleFollowsTheRate guards against targets that are left out for seconds because a home issued at a
// low rate before: while it heard few nodes, or while the target was cold.
func TestScheduleFollowsTheRate(t *testing.T) {
	issuer, now := permit.NewIssuer(), time.Unix(1000, 0)
	issuer.Issue(permit.Request{Target: "a", Rate: 0.1, Ahead: time.Millisecond}, now)
	if verdict := issuer.Issue(permit.Request{Target: "a", Rate: 8, Ahead: time.Millisecond, Patience: 200 * time.Millisecond}, now.Add(200*time.Millisecond)); !verdict.Granted {
		t.Errorf("at 8 a second, 0.2 s after a permit at 0.1 a second: got %+v, want granted", verdict)
	}
}
