package balance_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/pace"
)

// TestRetryPrefersATargetThatWasNotTried guards against a retry at the target that has just
// failed the request, because another tried target is gone.
func TestRetryPrefersATargetThatWasNotTried(t *testing.T) {
	tracker := balance.New("a", pace.New(logr.Discard()))
	near := mimosatide.Instance{ID: "tried", Zone: "a", Slots: 4}
	far := mimosatide.Instance{ID: "untried", Zone: "b", Slots: 4}
	query := balance.Query{Tried: map[string]bool{"tried": true, "gone": true}}
	chosen, _, found := tracker.Choose(query, []mimosatide.Instance{near, far}, time.Now())
	if !found || chosen.ID != "untried" {
		t.Errorf("got target %q, want the untried one", chosen.ID)
	}
	chosen, _, found = tracker.Choose(query, []mimosatide.Instance{near}, time.Now())
	if !found || chosen.ID != "tried" {
		t.Errorf("without an untried target: got %q, want the tried one", chosen.ID)
	}
}
