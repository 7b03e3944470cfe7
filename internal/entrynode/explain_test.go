package entrynode_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"mimosatide.example/mimosatide/internal/gateway"
	"mimosatide.example/mimosatide/platform/emulator"
)

// explain asks a node where a request would go, and returns the HTTP status.
func (node *testNode) explain(t *testing.T, query string) (gateway.Explanation, int) {
	t.Helper()
	response, err := http.Get("http://" + node.metrics + "/explain?" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var explanation gateway.Explanation
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(&explanation); err != nil {
			t.Fatal(err)
		}
	}
	return explanation, response.StatusCode
}

// TestExplanationNamesTheTargetWithoutSending guards against explanations that differ from what a
// request meets: the target, and the rule that excludes the others.
func TestExplanationNamesTheTargetWithoutSending(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	near, far := startLimitedTarget(t, store, "near"), startLimitedTarget(t, store, "far")
	row, _ := store.Row("servers", "far")
	store.Put("servers", "far", strings.Replace(string(row.Value), `"zone":"a"`, `"zone":"b"`, 1))
	node := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "a 200 answer", func() bool { return node.request("k1") == http.StatusOK })
	sent := len(near.arrivals()) + len(far.arrivals())
	const request = "Host=a.example&Path=/look/1"
	if got, _ := node.explain(t, request); got.Chosen != "near" || len(got.Targets) != 2 || got.Configuration != 1 {
		t.Errorf("two targets: got %+v, want near chosen", got)
	}
	store.Put("op", "evacuate/a", "{}")
	eventually(t, "the evacuation", func() bool { return node.logged("zone evacuated") })
	got, _ := node.explain(t, request)
	if got.Chosen != "far" || got.Targets[1].Target != "near" || got.Targets[1].Excluded != gateway.ExcludedEvacuated {
		t.Errorf("a evacuated: got %+v, want far chosen and near excluded as evacuated", got)
	}
	store.Put("op", "evacuate/b", "{}")
	eventually(t, "a refusal while all zones are evacuated", func() bool {
		got, _ := node.explain(t, request)
		return got.Chosen == "" && got.Refusal == "NoCapacity"
	})
	if got, _ := node.explain(t, "Host=b.example&Path=/look/1"); got.Refusal != "UnknownRoute" {
		t.Errorf("unknown route: got %+v, want refused as such", got)
	}
	for _, query := range []string{"Path=/look/1", request + "&PromptTokens=-1", request + "&Parts=a"} {
		if _, status := node.explain(t, query); status != http.StatusBadRequest {
			t.Errorf("%s: got status %d, want 400", query, status)
		}
	}
	if now := len(near.arrivals()) + len(far.arrivals()); now != sent {
		t.Errorf("requests at the targets: got %d more, want none", now-sent)
	}
}
