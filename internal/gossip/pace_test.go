package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/pace"
)

// TestPacesReachOtherZonesWithinABound guards against reports that only the hosts of the own zone
// get, and against digests and states that grow with what a peer sends.
func TestPacesReachOtherZonesWithinABound(t *testing.T) {
	var reports []pace.Report
	for index := range 2 * pace.MaxReports {
		reports = append(reports, pace.Report{Target: fmt.Sprint("i-00000", index), Born: time.UnixMilli(1_700_000_000_123), Factor: 3.25})
	}
	plain, without := transfer(t, gossip.Digest{Node: "n"})
	digest, with := transfer(t, gossip.Digest{Node: "n", Paces: gossip.EncodePaces(reports)})
	if size := (with - without) / len(reports); size > 40 {
		t.Errorf("got %d bytes for a report, want at most 40", size)
	}
	events, found := digest.Events()
	if received := events.PaceReports(); !found || len(events.Paces) != pace.MaxReports || len(received) != pace.MaxReports || received[0] != reports[0] {
		t.Errorf("got reports %v for other zones, want the first %d", received, pace.MaxReports)
	}
	if _, found := plain.Events(); found {
		t.Error("a digest without reports has events for other zones")
	}
}
