package entrynode_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

// startTargetIn starts a target of service desk in an availability zone; its answers are its id.
func startTargetIn(t *testing.T, store *emulator.Store, zone, id string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
		writer.Header().Set("Response-Signature", "signature")
		_, _ = fmt.Fprint(writer, id)
	}))
	t.Cleanup(server.Close)
	store.Put("servers", id, fmt.Sprintf(`{"service":"desk","address":%q,"zone":%q,"slots":6,"state":"ready","born":1}`,
		strings.TrimPrefix(server.URL, "http://"), zone))
}

// servedBy sends requests and returns the ids of the targets that answered, and how many got no 200.
func (node *testNode) servedBy(requests int) (targets map[string]int, refused int) {
	targets = map[string]int{}
	for range requests {
		status, body := node.requestWith("k1", "/look/1", "")
		if status == http.StatusOK {
			targets[body]++
		} else {
			refused++
		}
	}
	return targets, refused
}

// TestEvacuatedZoneGetsNoRequests guards against requests at a zone that the operator evacuates: from
// hosts that run, from one that starts meanwhile, and from one that the store does not answer.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTargetIn(t, store, "a", "near")
	startTargetIn(t, store, "b", "far")
	first, second := startNode(t, "n1", "127.0.1.1", store), startNode(t, "n2", "127.0.1.2", store)
	for _, node := range []*testNode{first, second} {
		eventually(t, "a 200 answer", func() bool { return node.request("k1") == http.StatusOK })
		eventually(t, "the other host", func() bool { return node.logged("host known") })
	}
	second.entrance.SetUnavailable(true)
	store.Put("op", "evacuate/a", "{}")
	eventually(t, "the evacuation at the first host", func() bool { return first.logged("zone evacuated", `"zone"="a"`) })
	eventually(t, "the evacuation at the host without the store", func() bool { return second.logged("zone evacuated", `"zone"="a"`) })
	started := startNode(t, "n3", "127.0.1.3", store)
	eventually(t, "the host that starts meanwhile", func() bool { return started.request("k1") == http.StatusOK })
	for _, node := range []*testNode{first, second, started} {
		if targets, refused := node.servedBy(20); targets["near"] > 0 || refused > 0 {
			t.Errorf("while a is evacuated: got %v and %d refused, want all served by far", targets, refused)
		}
	}
	eventually(t, "the log of the empty zone", func() bool { return first.logged("zone empty", `"zone"="a"`) })
	store.Put("op", "evacuate/b", "{}")
	eventually(t, "a refusal while all zones are evacuated", func() bool { return first.request("k1") == http.StatusServiceUnavailable })
	store.Remove("op", "evacuate/a")
	store.Remove("op", "evacuate/b")
	for _, node := range []*testNode{first, second, started} {
		eventually(t, "answers of both zones", func() bool {
			targets, _ := node.servedBy(20)
			return targets["near"] > 0
		})
	}
}

// TestEvacuationStaysOverARestore guards against requests at an evacuated zone because the store was
// restored to a copy from before, until the operator writes again.
func TestEvacuationStaysOverARestore(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTargetIn(t, store, "a", "near")
	startTargetIn(t, store, "b", "far")
	node := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "a 200 answer", func() bool { return node.request("k1") == http.StatusOK })
	before := store.Copy()
	store.Put("op", "evacuate/a", "{}")
	eventually(t, "the evacuation", func() bool { return node.logged("zone evacuated") })
	store.Restore(before)
	eventually(t, "the restore", func() bool { return node.logged("evacuation lost by a restore", `"zone"="a"`) })
	if targets, _ := node.servedBy(20); targets["near"] > 0 {
		t.Errorf("after the restore: got %v, want none served by near", targets)
	}
	store.Put("op", "evacuate/a", "{}")
	time.Sleep(500 * time.Millisecond)
	store.Remove("op", "evacuate/a")
	eventually(t, "the end of the evacuation", func() bool { return node.logged("evacuation ended", `"zone"="a"`) })
}

// TestColdTargetsGetNoMoreThanTheyBear guards against a herd at targets that come back cold: here
// four hosts send all that they have to the one target of the service.
func TestColdTargetsGetNoMoreThanTheyBear(t *testing.T) {
	store := emulator.NewStore()
	document := strings.Replace(configuration(1, "k1"), `"name":"desk"`, `"name":"desk","coldStartS":3,"coldPerS":8`, 1)
	store.Put("op", "config", document)
	cold := startLimitedTarget(t, store, "cold")
	row, _ := store.Row("servers", "cold")
	var nodes []*testNode
	for index := range 4 {
		nodes = append(nodes, startNodeWith(t, "a", fmt.Sprintf("n%d", index+1), fmt.Sprintf("127.0.1.%d", index+1), store,
			"bounds.coldOverage=1.5\nbounds.coldSlack=5"))
	}
	for _, node := range nodes {
		eventually(t, "a 200 answer", func() bool { return node.request("k1") == http.StatusOK })
		eventually(t, "three other hosts", func() bool { return strings.Count(node.log.text(), "host known") >= len(nodes)-1 })
	}
	store.Put("servers", "cold", strings.Replace(string(row.Value), `"slots"`, `"coldLeftMs":4000,"slots"`, 1))
	for _, node := range nodes {
		eventually(t, "word of the cold target", func() bool { return node.logged("target cold") })
	}
	told := len(cold.arrivals())
	stop := callRepeatedly(nodes)
	time.Sleep(3 * time.Second)
	stop()
	arrivals := cold.arrivals()[told:]
	for first, start := range arrivals {
		count := 0
		for _, at := range arrivals[first:] {
			if at.Sub(start) < time.Second {
				count++
			}
		}
		if count > 17 {
			t.Fatalf("requests in a second at a cold target: got %d, want at most 17", count)
		}
	}
	if len(arrivals) < 12 {
		t.Errorf("in 3 s: got %d requests at the cold target, want at least 12", len(arrivals))
	}
}
