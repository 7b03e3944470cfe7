package entrynode_test

import (
	"net/http"
	"strings"
	"testing"

	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/platform/emulator"
)

// TestNodeHearsOfSlowTargetsFromItsPeers guards against a node that learns only by its own requests
// that a target is slow, and whose operator doesn't hear of it.
func TestNodeHearsOfSlowTargetsFromItsPeers(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	node := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "a 200 answer", func() bool { return node.request("k1") == http.StatusOK })
	peer := startHub(t, func(any) {})
	eventually(t, "a line on the slow target", func() bool {
		peer.hub.Send(node.peers, gossip.Digest{Node: "n2", Incarnation: 1, Paces: []gossip.Pace{{Target: "d-1", Born: 1, Percent: 800}}})
		return strings.Contains(node.log.text(), `"msg"="target slow" "target"="d-1"`)
	})
	eventually(t, "a line on its return", func() bool {
		return strings.Contains(node.log.text(), `"msg"="target no longer slow" "target"="d-1"`)
	})
}
