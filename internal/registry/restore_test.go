package registry_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/registry"
)

// restoredHold is longer than a target is kept away that came back with a restore.
const restoredHold = 30 * time.Second

// serves reports whether the target may be chosen for requests.
func serves(targets *registry.Registry) bool {
	return len(targets.View().Service("llm")) > 0
}

// TestTargetThatLeavesStaysLeavingOverARestore guards against requests at a target that said
// that it leaves: the restored row is of before.
func TestTargetThatLeavesStaysLeavingOverARestore(t *testing.T) {
	now := time.Now()
	for _, deleted := range []bool{false, true} {
		targets := registry.New(logr.Discard())
		leaving := instance("m1")
		leaving.Leaving = true
		targets.Put(leaving)
		if deleted {
			targets.Delete("i-1", 12, false, now)
		}
		targets.PutRestored([]mimosatide.Instance{instance("m1")}, now)
		targets.Put(instance("m1"))
		targets.Expire(now.Add(restoredHold))
		if serves(targets) {
			t.Errorf("ready in the restored row, row deleted before: %v: got the target served, want it leaving", deleted)
		}
	}
}

// TestRemovedTargetIsNotBackByARestore guards against requests at a target whose row was
// deleted: it has ended, or soon will, and writes no row again.
func TestRemovedTargetIsNotBackByARestore(t *testing.T) {
	now := time.Now()
	removed := func() *registry.Registry {
		targets := registry.New(logr.Discard())
		targets.Put(instance("m1"))
		targets.Delete("i-1", 12, false, now)
		targets.PutRestored([]mimosatide.Instance{instance("m1")}, now)
		return targets
	}
	targets := removed()
	if serves(targets) {
		t.Error("row deleted before the restore: got the target served, want it kept away")
	}
	targets.Put(instance("m1"))
	if !serves(targets) {
		t.Error("row written again after the restore: got the target kept away, want it served")
	}
	targets = removed()
	targets.Delete("i-1", 13, true, now)
	if _, found := targets.View().Instance("i-1"); found {
		t.Error("row deleted again after the restore: got the target kept, want it removed")
	}
	targets = removed()
	targets.Expire(now.Add(restoredHold))
	if !serves(targets) {
		t.Error("row still there long after the restore: got the target kept away, want it served, as rows of ended targets are deleted")
	}
	targets = removed()
	restarted := instance("m1")
	restarted.Born = restarted.Born.Add(time.Second)
	targets.PutRestored([]mimosatide.Instance{restarted}, now)
	if !serves(targets) {
		t.Error("restored row of a later incarnation: got the target kept away, want it served")
	}
}

// TestRestoreDoesNotBringBackAnEarlierIncarnation guards against what is known of a restarted
// target being replaced by what its earlier incarnation held.
func TestRestoreDoesNotBringBackAnEarlierIncarnation(t *testing.T) {
	targets := registry.New(logr.Discard())
	restarted := instance("m2")
	restarted.Born = restarted.Born.Add(time.Second)
	targets.Put(restarted)
	targets.PutRestored([]mimosatide.Instance{instance("m1")}, time.Now())
	if !holds(targets, "m2") || holds(targets, "m1") {
		t.Error("restored row of the earlier incarnation: got its holdings, want those of the running one")
	}
}
