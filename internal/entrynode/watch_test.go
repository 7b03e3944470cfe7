package entrynode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

// callsOf returns the number of calls of nodes to the store so far.
func callsOf(nodes []*testNode) int {
	calls := 0
	for _, node := range nodes {
		calls += node.entrance.Calls()
	}
	return calls
}

// TestHostsNoticeDeadPollsThoughTheWatchingHostIsRefused guards against hosts that wait for the end of polls
// whose answers a silent store has lost, because the host that watches the store for them is refused by it.
func TestHostsNoticeDeadPollsThoughTheWatchingHostIsRefused(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	var nodes []*testNode
	for index := range 4 {
		nodes = append(nodes, startNode(t, fmt.Sprintf("n%d", index+1), fmt.Sprintf("127.0.1.%d", 81+index), store))
	}
	for _, node := range nodes {
		eventually(t, "a request", func() bool { return node.request("k1") == http.StatusOK })
	}
	watching, others := nodes[0], nodes[1:]
	eventually(t, "a host that watches the store", func() bool { return watching.logged("watch of the store", `"watching"=true`) })
	eventually(t, "a fleet whose other hosts only wait", func() bool {
		before := callsOf(others)
		time.Sleep(time.Second)
		return callsOf(others) == before
	})

	for _, node := range nodes {
		node.entrance.SetUnresponsive(true)
	}
	eventually(t, "the loss of the store", func() bool { return watching.logged("store lost") })
	store.Put("op", "config", configuration(2, "k2"))
	watching.entrance.SetUnavailable(true)
	for _, node := range nodes {
		node.entrance.SetUnresponsive(false)
	}
	for _, node := range others {
		eventually(t, "the change", func() bool { return node.request("k2") == http.StatusOK })
	}
	for _, node := range others {
		eventually(t, "an answer of the store", func() bool {
			return node.logged("store answers", `"table"="op"`)
		})
		if node.logged("store lost", `"open"="10.`) {
			t.Error("a host waited for the end of a dead poll")
		}
	}
}
