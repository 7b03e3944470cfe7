package registry_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/registry"
)

func instance(models ...string) mimosatide.Instance {
	created := mimosatide.Instance{ID: "i-1", Service: "llm", Address: "a:1", Slots: 4, Born: time.UnixMilli(7)}
	for _, model := range models {
		created.Holdings = append(created.Holdings, mimosatide.Holding{Model: model})
	}
	return created
}

func placement(born int64, orders int64, models ...string) registry.Placement {
	created := registry.Placement{Instance: "i-1", Born: time.UnixMilli(born), Orders: orders}
	for _, model := range models {
		created.Holdings = append(created.Holdings, mimosatide.Holding{Model: model})
	}
	return created
}

func holds(targets *registry.Registry, model string) bool {
	known, found := targets.View().Instance("i-1")
	return found && known.Holds(model)
}

func TestPlacementOverridesOlderRowAndOlderPlacement(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	targets.SetPlacement(placement(7, 3, "m2"))
	targets.Put(instance("m1"))
	if !holds(targets, "m2") || holds(targets, "m1") {
		t.Error("a row written before the order overrides the placement")
	}
	targets.SetPlacement(placement(7, 2, "m1"))
	if !holds(targets, "m2") {
		t.Error("an older placement replaced a newer one")
	}
}

func TestPlacementOfEarlierIncarnationIsIgnored(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	targets.SetPlacement(placement(6, 9, "m2"))
	if holds(targets, "m2") {
		t.Error("the placement of an earlier incarnation applies to the current one")
	}
}

func TestLeavingTargetIsNotListedForRequests(t *testing.T) {
	targets := registry.New(logr.Discard())
	leaving := instance("m1")
	leaving.Leaving = true
	targets.Put(leaving)
	if len(targets.View().Service("llm")) != 0 {
		t.Error("a leaving target is listed for requests")
	}
}

func TestTargetIsKeptBrieflyAfterItsRowIsDeletedDuringRecovery(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	targets.Delete("i-1", 9, true, now)
	targets.Expire(now.Add(time.Second))
	if !holds(targets, "m1") {
		t.Error("the target was removed 1 s after its row was deleted during recovery, want it kept")
	}
	targets.Expire(now.Add(3 * time.Second))
	if holds(targets, "m1") {
		t.Error("the target is kept 3 s after its row was deleted, want it removed")
	}
	targets.Put(instance("m1"))
	targets.Delete("i-1", 9, false, now)
	if holds(targets, "m1") {
		t.Error("the target is kept although its row was deleted outside an outage")
	}
}

func TestRefutedModelIsNotHeldUntilNextPlacement(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1", "m2"))
	now := time.Now()
	targets.Refute("i-1", "m1", "", now)
	if holds(targets, "m1") || !holds(targets, "m2") {
		t.Error("want only the refuted model to count as not held")
	}
	targets.Put(instance("m1", "m2"))
	if holds(targets, "m1") {
		t.Error("an unchanged row overrides the refutation")
	}
	targets.SetPlacement(placement(7, 1, "m1"))
	if !holds(targets, "m1") {
		t.Error("a newer placement does not end the refutation")
	}
}

func TestRefutationExpires(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	now := time.Now()
	targets.Refute("i-1", "m1", "", now.Add(-time.Minute))
	targets.Expire(now)
	if !holds(targets, "m1") {
		t.Error("an expired refutation still applies")
	}
}

func TestAdapterIsRefutedBeforeItsModel(t *testing.T) {
	targets := registry.New(logr.Discard())
	target := instance("m1")
	target.Holdings[0].Adapters = []string{"a1", "a2"}
	targets.Put(target)
	targets.Refute("i-1", "m1", "a1", time.Now())
	known, _ := targets.View().Instance("i-1")
	if known.HoldsAdapter("m1", "a1") || !known.HoldsAdapter("m1", "a2") {
		t.Errorf("got holdings %v, want m1 with only adapter a2", known.Holdings)
	}
	targets.Refute("i-1", "m1", "a1", time.Now())
	if holds(targets, "m1") {
		t.Error("the model counts as held after a second refutation, want it refuted too")
	}
}

func TestConfirmRemovesTargetOnceItsDeletionIsConfirmed(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	targets.Delete("i-1", 12, true, time.Now())
	targets.ConfirmDeletions(11)
	if !holds(targets, "m1") {
		t.Error("the target was removed by an earlier version than its deletion")
	}
	targets.ConfirmDeletions(12)
	if holds(targets, "m1") {
		t.Error("the target is kept although its deletion was confirmed")
	}
}
