package entrynode_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"mimosatide.example/mimosatide/internal/entrynode"
	"mimosatide.example/mimosatide/platform/emulator"
)

// evacuations returns what a node says of evacuated zones and cold targets.
func (node *testNode) evacuations(t *testing.T) entrynode.EvacuationReport {
	t.Helper()
	response, err := http.Get("http://" + node.metrics + "/evacuations")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var report entrynode.EvacuationReport
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		t.Fatal(err)
	}
	return report
}

// TestReportNamesEvacuatedZonesAndColdTargets guards against operators who take a zone for empty, or a target for
// warm, because the node reports another state than its requests meet.
func TestReportNamesEvacuatedZonesAndColdTargets(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", strings.Replace(configuration(1, "k1"), `"name":"desk"`, `"name":"desk","coldStartS":30,"coldPerS":8`, 1))
	startTargetIn(t, store, "a", "near")
	startTargetIn(t, store, "b", "far")
	node := startNodeWith(t, "a", "n1", "127.0.1.1", store, "bootstrap=false")
	eventually(t, "a configuration", func() bool { return node.ready() })
	if got := node.evacuations(t); len(got.Zones) != 0 || len(got.Cold) != 2 || got.Cold[0].Reason != entrynode.ColdStarting {
		t.Errorf("just started: got %+v, want both targets cold, since nobody has said which zones have returned", got)
	}
	store.Put("op", "evacuate/a", "{}")
	eventually(t, "the evacuation", func() bool { return node.logged("zone evacuated") })
	got := node.evacuations(t)
	if len(got.Zones) != 1 || got.Zones[0].Zone != "a" || got.Zones[0].Targets != 1 || got.Zones[0].InFlight != 0 || len(got.Cold) != 1 {
		t.Errorf("a evacuated: got %+v, want it with one target and nothing in flight, and only far listed as cold", got)
	}
	store.Remove("op", "evacuate/a")
	eventually(t, "the end of the evacuation", func() bool { return node.logged("evacuation ended") })
	if got := node.evacuations(t); len(got.Zones) != 0 || len(got.Cold) != 2 || got.Cold[1].Target != "near" || got.Cold[1].Rate != 8 || got.Cold[1].LeftMillis <= 0 {
		t.Errorf("a taken back: got %+v, want near cold at 8 a second", got)
	}
}
