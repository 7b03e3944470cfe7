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

// TestConnectedTargetIsPreferredAmongEqualOnes guards against a new connection for nearly every request, and against a
// connection that draws requests to a loaded target or to one in another zone.
func TestConnectedTargetIsPreferredAmongEqualOnes(t *testing.T) {
	first := mimosatide.Instance{ID: "first", Address: "1", Zone: "a", Slots: 6}
	second := mimosatide.Instance{ID: "second", Address: "2", Zone: "a", Slots: 6}
	far := mimosatide.Instance{ID: "far", Address: "2", Zone: "b", Slots: 6}
	for name, test := range map[string]struct {
		other mimosatide.Instance
		load  int
		want  string
	}{
		"equal":        {other: second, want: "second"},
		"more load":    {other: second, load: 1, want: "first"},
		"another zone": {other: far, want: "first"},
	} {
		tracker := balance.New("a", pace.New(logr.Discard()))
		query := balance.Query{Connected: func(address string) bool { return address == "2" }}
		for range test.load {
			tracker.Begin(test.other.ID, query, now)
		}
		if chosen, _, _ := tracker.Choose(query, []mimosatide.Instance{first, test.other}, now); chosen.ID != test.want {
			t.Errorf("%s: got target %q, want %q", name, chosen.ID, test.want)
		}
	}
}
