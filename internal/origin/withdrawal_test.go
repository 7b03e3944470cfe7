package origin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"mimosatide.example/mimosatide/internal/origin"
)

// A node takes the target of a stream for the incarnation before, which had another version. What the target reports
// afterwards must take the record back at all nodes, but not if it has started again after the stream began.
func TestRecordOfAnotherIncarnationIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		sender := platform.start(t, true, "v1", "v2")
		platform.rank++
		other := platform.start(t, true, "v1", "v2")
		born := time.Now().Add(-time.Minute)
		begin := func(id, target string) {
			sender.Send(origin.Stream{ID: id, Service: "llm", Software: "v1", Target: target, Born: born})
			sender.Begin(id)
		}
		begin("wrong", "e-1")
		begin("right", "e-2")
		time.Sleep(10 * time.Second)
		wantOrigin(t, "before the reports", other, "wrong", "v1")
		sender.Reported(t.Context(), "e-1", born.Add(30*time.Second))
		sender.Reported(t.Context(), "e-2", time.Now())
		wantOrigin(t, "after the report of an incarnation that the stream began at", sender, "wrong", "")
		wantOrigin(t, "the same at another node", other, "wrong", "")
		wantOrigin(t, "the target started again later", other, "right", "v1")
		begin("late", "e-1")
		time.Sleep(10 * time.Second)
		wantOrigin(t, "begun after the report", other, "late", "")
		wantOrigin(t, "withdrawn before", other, "wrong", "")
	})
}

// TestWithdrawalIsSavedBeforeAnyCallerLearnsOfIt guards against a stream that goes on at the wrong version at another
// node: its record was withdrawn by the target's row, or for another stream's caller, and the store did not have that
// yet when the stream's own caller was told that it broke off.
func TestWithdrawalIsSavedBeforeAnyCallerLearnsOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		sender := platform.start(t, true, "v1", "v2")
		platform.rank++
		other := platform.start(t, true, "v1", "v2")
		born := time.Now().Add(-time.Minute)
		sender.Send(origin.Stream{ID: "wrong", Service: "llm", Software: "v1", Target: "e-1", Born: born})
		sender.Begin("wrong")
		time.Sleep(10 * time.Second)
		wantOrigin(t, "before the row", other, "wrong", "v1")
		sender.Known("e-1", born.Add(30*time.Second))
		sender.Reported(t.Context(), "e-1", born.Add(30*time.Second))
		wantOrigin(t, "after the report", other, "wrong", "")
	})
}
