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

func TestOwnersWordCountsBeforeAnOlderRow(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	targets.Place(placement(7, 3, "m2"))
	targets.Put(instance("m1"))
	if !holds(targets, "m2") || holds(targets, "m1") {
		t.Error("a row written before the order counts more than the owner's word")
	}
	targets.Place(placement(7, 2, "m1"))
	if !holds(targets, "m2") {
		t.Error("an older word of the owner has replaced a newer one")
	}
}

func TestOwnersWordDoesNotOutliveTheIncarnation(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	targets.Place(placement(6, 9, "m2"))
	if holds(targets, "m2") {
		t.Error("what an earlier incarnation held counts for this one")
	}
}

func TestLeavingTargetGetsNoRequests(t *testing.T) {
	targets := registry.New(logr.Discard())
	leaving := instance("m1")
	leaving.Leaving = true
	targets.Put(leaving)
	if len(targets.View().Service("llm")) != 0 {
		t.Error("a leaving target is offered")
	}
}

func TestRowThatLapsedInAnOutageIsKeptForAMoment(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	targets.Delete("i-1", 9, true, now)
	targets.Expire(now.Add(time.Second))
	if !holds(targets, "m1") {
		t.Error("a target is gone whose row only lapsed")
	}
	targets.Expire(now.Add(3 * time.Second))
	if holds(targets, "m1") {
		t.Error("a target whose row did not come back is kept")
	}
	targets.Put(instance("m1"))
	targets.Delete("i-1", 9, false, now)
	if holds(targets, "m1") {
		t.Error("a target that left is kept")
	}
}

func TestDeniedModelIsNotHeldUntilItsOrdererSaysMore(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1", "m2"))
	now := time.Now()
	targets.Refute("i-1", "m1", "", now)
	if holds(targets, "m1") || !holds(targets, "m2") {
		t.Error("the target's own word on what it lacks does not count")
	}
	targets.Put(instance("m1", "m2"))
	if holds(targets, "m1") {
		t.Error("a row that says nothing new counts more than the target's word")
	}
	targets.Place(placement(7, 1, "m1"))
	if !holds(targets, "m1") {
		t.Error("the orderer's newer word does not count")
	}
}

func TestDenialLapses(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	now := time.Now()
	targets.Refute("i-1", "m1", "", now.Add(-time.Minute))
	targets.Expire(now)
	if !holds(targets, "m1") {
		t.Error("an old denial still counts")
	}
}

func TestAdapterIsDeniedBeforeItsModel(t *testing.T) {
	targets := registry.New(logr.Discard())
	with := instance("m1")
	with.Holdings[0].Adapters = []string{"a1", "a2"}
	targets.Put(with)
	targets.Refute("i-1", "m1", "a1", time.Now())
	known, _ := targets.View().Instance("i-1")
	if known.HoldsAdapter("m1", "a1") || !known.HoldsAdapter("m1", "a2") {
		t.Errorf("holdings %v", known.Holdings)
	}
	targets.Refute("i-1", "m1", "a1", time.Now())
	if holds(targets, "m1") {
		t.Error("a target that denies the request without the adapter is taken to hold the model")
	}
}

func TestLapsedTargetIsGoneOnceASteadyNodeKnowsOfIt(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	targets.Delete("i-1", 12, true, time.Now())
	targets.Confirm(11)
	if !holds(targets, "m1") {
		t.Error("a target is gone whose row may only have lapsed")
	}
	targets.Confirm(12)
	if holds(targets, "m1") {
		t.Error("a target is kept that left while the store was there")
	}
}
