package balance_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/pace"
)

const interval = 60 * time.Millisecond

// simulate sends a request in every interval for 30 s to the only target in the node's zone, "near", or to
// another one, and returns whether each went to the near one. Targets read one prompt after the other,
// callers leave after half a second. slowness is how many times the usual time the near target takes
// for a prompt that it begins to read at a time.
func simulate(slowness func(at time.Duration) float64) (near []bool) {
	tracker := balance.New("a", pace.New(logr.Discard()))
	candidates := []mimosatide.Instance{{ID: "near", Zone: "a"}, {ID: "b", Zone: "b"}, {ID: "c", Zone: "c"}}
	answers, busy := map[*balance.InFlight]time.Duration{}, map[string]time.Duration{}
	sent := map[*balance.InFlight]time.Duration{}
	for at := time.Duration(0); at < 30*time.Second; at += interval {
		for inFlight, answered := range answers {
			switch leaves := sent[inFlight] + 500*time.Millisecond; {
			case answered <= min(at, leaves):
				inFlight.MarkAnswered(now.Add(answered))
				inFlight.End(balance.Served, now.Add(answered))
				delete(answers, inFlight)
			case leaves <= at:
				inFlight.End(balance.Withdrawn, now.Add(leaves))
				delete(answers, inFlight)
			}
		}
		tracker.ObserveWaiting(now.Add(at))
		query := engineQuery(1000)
		instance, _, _ := tracker.Choose(query, candidates, now.Add(at))
		inFlight := tracker.Begin(instance.ID, query, now.Add(at))
		inFlight.MarkSent(instance, now.Add(at))
		begins, factor := max(busy[instance.ID], at), 1.0
		if instance.ID == "near" {
			factor = slowness(begins)
		}
		busy[instance.ID] = begins + time.Duration(factor*float64(query.PrefillTime()))
		answers[inFlight], sent[inFlight] = busy[instance.ID], at
		near = append(near, instance.ID == "near")
	}
	return near
}

// TestSlowTargetIsLeftAndTriedAgain guards against choices by constants: a target at half of the usual
// speed and one that stalls would get requests as before, as they are the nearest ones; and against
// a target that gets none for good afterwards.
func TestSlowTargetIsLeftAndTriedAgain(t *testing.T) {
	near := simulate(func(at time.Duration) float64 {
		switch {
		case at >= 5*time.Second && at < 8*time.Second:
			return float64(8*time.Second-at) / float64(engineQuery(1000).PrefillTime())
		case at >= 20*time.Second:
			return 2
		}
		return 1
	})
	for _, phase := range []struct {
		name            string
		from, to        time.Duration
		atLeast, atMost int
	}{
		{"usual pace", 0, 5 * time.Second, 83, 83},
		{"one second after the begin of a stall", 6 * time.Second, 8 * time.Second, 0, 1},
		{"5 s after the end of the stall", 13 * time.Second, 20 * time.Second, 100, 117},
		{"half of the usual speed", 22 * time.Second, 30 * time.Second, 1, 67},
	} {
		got := 0
		for _, chosen := range near[phase.from/interval : phase.to/interval] {
			if chosen {
				got++
			}
		}
		if got < phase.atLeast || got > phase.atMost {
			t.Errorf("%s: got %d requests at the near target, want %d to %d", phase.name, got, phase.atLeast, phase.atMost)
		}
	}
}

// TestIdleSlowTargetIsNotChosenForShortPrompts guards against a slow target that is chosen while it is
// idle, because a multiple of hardly any work is hardly any.
func TestIdleSlowTargetIsNotChosenForShortPrompts(t *testing.T) {
	paces := pace.New(logr.Discard())
	tracker := balance.New("a", paces)
	slow, usual := mimosatide.Instance{ID: "slow", Zone: "a", Slots: 4}, mimosatide.Instance{ID: "usual", Zone: "b", Slots: 4}
	for range 30 {
		paces.Observe(pace.Target{ID: "usual"}, pace.Floor, 2*pace.Floor, now)
		paces.Observe(pace.Target{ID: "slow"}, pace.Floor, 8*pace.Floor, now)
	}
	for _, query := range []balance.Query{engineQuery(10), {}} {
		if chosen, _, _ := tracker.Choose(query, []mimosatide.Instance{slow, usual}, now); chosen.ID != "usual" {
			t.Errorf("got target %q, want the one of the other zone", chosen.ID)
		}
	}
}

// TestUsualPaceChangesNoCost guards against choices that differ from those by the constants although
// all targets have their usual pace, and against a held-up process that takes its own delay for theirs.
func TestUsualPaceChangesNoCost(t *testing.T) {
	for _, query := range []balance.Query{engineQuery(4000), {}} {
		paces := pace.New(logr.Discard())
		tracker := balance.New("a", paces)
		instance := mimosatide.Instance{ID: "i", Service: "s", Zone: "b", Slots: 4}
		cost := func(at time.Time) time.Duration {
			_, cost, _ := tracker.Choose(query, []mimosatide.Instance{instance}, at)
			return cost
		}
		before := cost(now)
		for index := range 50 {
			sent := now.Add(time.Duration(index) * 100 * time.Millisecond)
			inFlight := tracker.Begin("i", query, sent)
			inFlight.MarkSent(instance, sent)
			inFlight.MarkAnswered(sent.Add(110 * time.Millisecond))
			inFlight.End(balance.Served, sent.Add(110*time.Millisecond))
		}
		at := now.Add(5 * time.Second)
		if after := cost(at); after != before {
			t.Errorf("got cost %v after requests at the usual pace, want %v as before", after, before)
		}
		tracker.ObserveWaiting(at)
		var waiting []*balance.InFlight
		for range 10 {
			waiting = append(waiting, tracker.Begin("i", query, at))
			waiting[len(waiting)-1].MarkSent(instance, at)
		}
		for index := range 10 {
			at = at.Add(time.Second)
			if index%2 == 0 {
				waiting[index].MarkAnswered(at)
				waiting[index+1].MarkAnswered(at)
			}
			tracker.ObserveWaiting(at)
			if factor := paces.Factor(pace.Target{ID: "i", Service: "s"}, at); factor != 1 {
				t.Errorf("after delays of the own process: got factor %v, want 1", factor)
			}
		}
	}
}

// TestLateTicksDontSlowTargets guards against targets that look slow because this node looks at its waiting
// requests late: a tick of before the send must not move the send back.
func TestLateTicksDontSlowTargets(t *testing.T) {
	learned := pace.New(logr.Discard())
	tracker, other := balance.New("a", learned), mimosatide.Instance{ID: "b", Service: "llm"}
	target := mimosatide.Instance{ID: "near", Service: "llm"}
	for round := range 60 {
		at := now.Add(time.Duration(round) * 200 * time.Millisecond)
		for _, instance := range []mimosatide.Instance{target, other} {
			inFlight := tracker.Begin(instance.ID, engineQuery(500), at)
			inFlight.MarkSent(instance, at.Add(80*time.Millisecond))
			if instance.ID == target.ID {
				tracker.ObserveWaiting(at)
			}
			inFlight.MarkAnswered(at.Add(90 * time.Millisecond))
			inFlight.End(balance.Served, at.Add(90*time.Millisecond))
		}
	}
	for _, instance := range []mimosatide.Instance{target, other} {
		key := pace.Target{ID: instance.ID, Service: instance.Service, Born: instance.Born}
		if factor := learned.Factor(key, now.Add(12*time.Second)); factor != 1 {
			t.Errorf("target %s answers in 10 ms: got factor %v, want 1", instance.ID, factor)
		}
	}
}

// TestSlowReaderTellsNothingOfItsTarget guards against targets that look slow because callers read their large
// answers slowly.
func TestSlowReaderTellsNothingOfItsTarget(t *testing.T) {
	learned := pace.New(logr.Discard())
	tracker, target := balance.New("a", learned), mimosatide.Instance{ID: "near", Service: "llm"}
	at := now
	for range 50 {
		at = at.Add(50 * time.Millisecond)
		inFlight := tracker.Begin(target.ID, engineQuery(500), at)
		inFlight.MarkSent(target, at)
		inFlight.MarkAnswered(at.Add(10 * time.Millisecond))
		inFlight.End(balance.Served, at.Add(10*time.Millisecond))
	}
	for range 6 {
		inFlight := tracker.Begin(target.ID, engineQuery(500), at)
		inFlight.MarkSent(target, at)
		inFlight.ForgetTiming()
	}
	for range 20 {
		at = at.Add(200 * time.Millisecond)
		tracker.ObserveWaiting(at)
	}
	if factor := learned.Factor(pace.Target{ID: target.ID, Service: target.Service, Born: target.Born}, at); factor != 1 {
		t.Errorf("got factor %v, want 1", factor)
	}
}
