package registry_test

import (
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/registry"
)

func targetIn(id, zone string) mimosatide.Instance {
	return mimosatide.Instance{ID: id, Service: "llm", Zone: zone, Address: id + ":1", Slots: 4, Born: time.UnixMilli(7)}
}

// listed returns the ids of the targets that may be sent requests.
func listed(targets *registry.Registry) string {
	list := ""
	for _, target := range targets.View().Service("llm") {
		list += target.ID + " "
	}
	return list
}

// TestEvacuatedZoneGetsNothing guards against requests at targets of an evacuated zone: those known
// before, those that join it later, and in two zones at once.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	targets, now := registry.New(logr.Discard()), time.Now()
	for _, target := range []mimosatide.Instance{targetIn("a1", "a"), targetIn("b1", "b"), targetIn("c1", "c")} {
		targets.Put(target)
	}
	changed := targets.Changed()
	targets.Evacuate("b", 1, now)
	select {
	case <-changed:
	default:
		t.Error("got requests that wait not woken, want them to choose again")
	}
	targets.Put(targetIn("b2", "b"))
	if got := listed(targets); got != "a1 c1 " {
		t.Errorf("b evacuated: got %q, want a1 and c1", got)
	}
	if known, _ := targets.View().Instance("b1"); !known.Evacuated {
		t.Error("got b1 not marked, want the check before a send to see the evacuation")
	}
	targets.Evacuate("a", 2, now)
	targets.Evacuate("c", 3, now)
	if got := listed(targets); got != "" {
		t.Errorf("all zones evacuated: got %q, want none", got)
	}
	targets.EndEvacuation("c", 4, false, now)
	targets.EndEvacuation("d", 5, false, now)
	if got := listed(targets); got != "c1 " {
		t.Errorf("c taken back: got %q, want c1", got)
	}
	if known, _ := targets.View().Instance("c1"); !known.ReturnedAt.Equal(now) {
		t.Errorf("c1 returned at %v, want %v: it may be cold", known.ReturnedAt, now)
	}
	if got := targets.View().Evacuated("llm"); len(got) != 3 {
		t.Errorf("targets of evacuated zones: got %d, want 3", len(got))
	}
}

// TestEvacuationOutlastsARestore guards against requests at an evacuated zone because the store was
// restored to a copy from before the evacuation, and against an evacuation that never ends.
func TestEvacuationOutlastsARestore(t *testing.T) {
	targets, now := registry.New(logr.Discard()), time.Now()
	targets.Put(targetIn("b1", "b"))
	targets.Evacuate("b", 1, now)
	targets.EndEvacuation("b", 2, true, now)
	targets.Expire(now.Add(5 * time.Second))
	if got := listed(targets); got != "" {
		t.Errorf("5 s after the restore: got %q, want none", got)
	}
	targets.Evacuate("b", 3, now.Add(6*time.Second))
	targets.Expire(now.Add(time.Minute))
	if got := listed(targets); got != "" {
		t.Errorf("written again: got %q, want none", got)
	}
	targets.EndEvacuation("b", 4, true, now.Add(time.Minute))
	targets.Expire(now.Add(2 * time.Minute))
	if got := listed(targets); got != "b1 " {
		t.Errorf("not written again: got %q, want b1", got)
	}
}

// TestColdWordOfAnEarlierIncarnationIsIgnored guards against a limit on a target that has started anew
// and is warm, and against one that a late row ends early.
func TestColdWordOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	targets, now := registry.New(logr.Discard()), time.Now()
	cold := targetIn("a1", "a")
	cold.ColdLeft = 3 * time.Second
	targets.Put(cold)
	targets.Put(targetIn("a1", "a"))
	if known, _ := targets.View().Instance("a1"); known.ColdUntil.Before(now.Add(2 * time.Second)) {
		t.Errorf("after a late row: got cold until %v, want about %v", known.ColdUntil, now.Add(3*time.Second))
	}
	anew := targetIn("a1", "a")
	anew.Born, anew.ColdLeft = anew.Born.Add(time.Second), time.Second
	targets.Put(anew)
	targets.MarkCold(cold, now.Add(time.Hour), now)
	if known, _ := targets.View().Instance("a1"); known.ColdUntil.IsZero() || known.ColdUntil.After(now.Add(time.Minute)) {
		t.Errorf("new incarnation: got cold until %v, want about %v", known.ColdUntil, now.Add(time.Second))
	}
}

// TestAnswersOfAColdTargetDontWakeAll guards against requests that choose again at each answer of a cold target.
func TestAnswersOfAColdTargetDontWakeAll(t *testing.T) {
	targets, now := registry.New(logr.Discard()), time.Now()
	targets.Put(targetIn("a1", "a"))
	targets.MarkCold(targetIn("a1", "a"), now.Add(time.Second), now)
	changed := targets.Changed()
	targets.MarkCold(targetIn("a1", "a"), now.Add(time.Second+time.Millisecond), now)
	select {
	case <-changed:
		t.Error("got all that wait woken by an answer that says the same")
	default:
	}
}

// TestStartingHostTakesTargetsForCold guards against a herd at the targets of a zone that has just returned, from a
// host that starts after its evacuation has ended and before its targets' rows say that they are cold.
func TestStartingHostTakesTargetsForCold(t *testing.T) {
	targets, now := registry.New(logr.Discard()), time.Now()
	targets.AssumeReturned(now)
	targets.Put(targetIn("a1", "a"))
	targets.Put(targetIn("b1", "b"))
	returned := func(id string) time.Time {
		known, _ := targets.View().Instance(id)
		return known.ReturnedAt
	}
	if !returned("a1").Equal(now) || !returned("b1").Equal(now) {
		t.Errorf("before others are heard: got returns at %v and %v, want %v for both", returned("a1"), returned("b1"), now)
	}
	ended := now.Add(-time.Second)
	targets.ApplyReturns(map[string]time.Time{"b": ended}, false, now)
	if _, all := targets.Returns(now); all || returned("a1").IsZero() {
		t.Error("after the word of another host that has just started: got it taken for all, want all zones cold still")
	}
	targets.ApplyReturns(map[string]time.Time{"b": now}, true, now)
	if !returned("a1").IsZero() || !returned("b1").Equal(ended) {
		t.Errorf("after the word of a host that knows: got returns at %v and %v, want none and %v", returned("a1"), returned("b1"), ended)
	}
	targets.Evacuate("a", 1, now)
	targets.ApplyReturns(map[string]time.Time{"a": ended}, true, now)
	if known, _ := targets.View().Instance("a1"); !known.Evacuated {
		t.Error("word of an earlier end of an evacuation that is in force: got it ended, want it in force")
	}
}

// TestEvacuationIsWithdrawnWhileTheZoneDrains guards against targets that stay away, or get all that waits, after an
// evacuation that ends before the zone is empty, and against a next one that counts as empty already.
func TestEvacuationIsWithdrawnWhileTheZoneDrains(t *testing.T) {
	targets, now := registry.New(logr.Discard()), time.Now()
	targets.Put(targetIn("a1", "a"))
	targets.Put(targetIn("b1", "b"))
	running, watch := map[string]int{"a1": 2, "b1": 1}, registry.DrainWatch{}
	observe := func(step string, wantLeft, wantEmpty int) {
		t.Helper()
		left, empty := watch.Observe(targets.Evacuations(), func(target string) int { return running[target] })
		if left != wantLeft || len(empty) != wantEmpty {
			t.Errorf("%s: got %d in flight and %d empty zones, want %d and %d", step, left, len(empty), wantLeft, wantEmpty)
		}
	}
	targets.Evacuate("b", 1, now)
	observe("while it drains", 1, 0)
	changed := targets.Changed()
	targets.EndEvacuation("b", 2, false, now.Add(time.Second))
	select {
	case <-changed:
	default:
		t.Error("got requests that wait not woken by the withdrawal, want them to choose again")
	}
	if got := listed(targets); got != "a1 b1 " {
		t.Errorf("withdrawn: got %q, want both targets", got)
	}
	if known, _ := targets.View().Instance("b1"); known.Evacuated || !known.ReturnedAt.Equal(now.Add(time.Second)) {
		t.Errorf("withdrawn: got evacuated %t and a return at %v, want a return that makes it cold", known.Evacuated, known.ReturnedAt)
	}
	observe("withdrawn", 0, 0)
	targets.Evacuate("b", 3, now.Add(2*time.Second))
	if got := listed(targets); got != "a1 " {
		t.Errorf("evacuated again: got %q, want a1", got)
	}
	observe("evacuated again", 1, 0)
	running["b1"] = 0
	observe("drained", 0, 1)
	observe("empty", 0, 0)
	targets.EndEvacuation("b", 2, false, now.Add(3*time.Second))
	targets.Evacuate("b", 4, now.Add(4*time.Second))
	observe("evacuated while empty", 0, 1)
}

// TestModelsOfAnEvacuatedZoneAreListed guards against operators who don't learn which models an evacuation has taken
// away, and against models that vanish from the list once they are loaded elsewhere or their targets have ended.
func TestModelsOfAnEvacuatedZoneAreListed(t *testing.T) {
	targets, now := registry.New(logr.Discard()), time.Now()
	put := func(id, zone string, models ...string) {
		instance := targetIn(id, zone)
		for _, model := range models {
			instance.Holdings = append(instance.Holdings, mimosatide.Holding{Model: model})
		}
		targets.Put(instance)
	}
	put("a1", "a", "both", "lost", "moved")
	put("b1", "b", "both")
	targets.Evacuate("a", 1, now)
	put("b1", "b", "both", "moved")
	targets.Delete("a1", 2, false, now)
	got := targets.EvacuationsWithModels(now)
	want := []registry.HeldModel{{Service: "llm", Model: "lost"}, {Service: "llm", Model: "moved"}}
	if len(got) != 1 || !slices.Equal(got[0].Models, want) {
		t.Fatalf("got %+v, want the models %v", got, want)
	}
	view := targets.View()
	if lost, moved := view.Holders(want[0]), view.Holders(want[1]); len(lost) != 0 || !slices.Equal(moved, []string{"b1"}) {
		t.Errorf("got lost at %v and moved at %v, want none and b1", lost, moved)
	}
}

// TestReturnsInTheFutureAreIgnored guards against targets that count as cold for as long as a garbled report says.
func TestReturnsInTheFutureAreIgnored(t *testing.T) {
	targets, now := registry.New(logr.Discard()), time.Now()
	targets.Put(targetIn("a1", "a"))
	targets.ApplyReturns(map[string]time.Time{"a": now.Add(time.Hour)}, true, now)
	if known, _ := targets.View().Instance("a1"); !known.ReturnedAt.IsZero() {
		t.Errorf("evacuation that ends in an hour: got the return at %v, want none", known.ReturnedAt)
	}
}
