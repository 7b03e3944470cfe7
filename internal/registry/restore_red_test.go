//go:build knownred

package registry_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/registry"
)

// TestRemovedTargetIsNotBackByASecondRestore guards against requests at a target that has ended,
// after a second restore, to an older row than the first one brought back.
func TestRemovedTargetIsNotBackByASecondRestore(t *testing.T) {
	now := time.Now()
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1", "m2"))
	targets.Delete("i-1", 12, false, now)
	targets.PutRestored([]mimosatide.Instance{instance("m1", "m2")}, now)
	if serves(targets) {
		t.Fatal("first restore: got the removed target served, want it kept away")
	}
	targets.PutRestored([]mimosatide.Instance{instance("m1")}, now)
	if serves(targets) {
		t.Error("second restore: got the removed target served, want it kept away")
	}
}
