package entrynode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/platform/emulator"
)

// staysInForce checks for a while that a key is accepted and another one is not.
func (node *testNode) staysInForce(t *testing.T, key, withdrawn string) {
	t.Helper()
	for range 10 {
		if status := node.request(key); status != http.StatusOK {
			t.Fatalf("key %s of the configuration in force: got status %d, want 200", key, status)
		}
		if status := node.request(withdrawn); status != http.StatusUnauthorized {
			t.Fatalf("withdrawn key %s: got status %d, want 401", withdrawn, status)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestHostAloneInItsZoneGetsTheConfigurationInForce guards against a host of a large fleet that
// starts after a restore and hears of the other zones in summaries only.
func TestHostAloneInItsZoneGetsTheConfigurationInForce(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	nodes := startFleet(t, store)
	for name, node := range nodes {
		eventually(t, "version 1 at "+name, func() bool { return node.request("k1") == http.StatusOK })
	}
	before := store.Copy()
	changeConfiguration(t, store, nodes, 2)
	store.Restore(before)
	for name, node := range nodes {
		eventually(t, "the restore at "+name, func() bool { return node.logged("store restored", `"table"="op"`) })
	}
	started := startNodeIn(t, "c", "c-99", fmt.Sprintf("127.0.1.%d", fleetSize+1), store)
	eventually(t, "version 2 from the other zones", func() bool { return started.request("k2") == http.StatusOK })
	started.staysInForce(t, "k2", "k1")
}

// TestHostThatStartsAfterARestoreThatTookTheConfigurationGetsIt guards against hosts that serve
// nothing until the operator writes again, because the restored store has no configuration.
func TestHostThatStartsAfterARestoreThatTookTheConfigurationGetsIt(t *testing.T) {
	store := emulator.NewStore()
	startTarget(t, store)
	before := store.Copy()
	store.Put("op", "config", configuration(1, "k1"))
	node := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "version 1", func() bool { return node.request("k1") == http.StatusOK })
	store.Restore(before)
	eventually(t, "the restore", func() bool { return node.logged("store restored", `"table"="op"`) })
	started := startNode(t, "n2", "127.0.1.2", store)
	eventually(t, "version 1 from the other host", func() bool { return started.request("k1") == http.StatusOK })
}

// TestLateRowDoesNotReplaceTheConfigurationOfAPeer guards against a configuration that goes back
// because a late answer of the store brings an earlier row of the same era.
func TestLateRowDoesNotReplaceTheConfigurationOfAPeer(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	node := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "version 1", func() bool { return node.request("k1") == http.StatusOK })
	requests := make(chan gossip.RowsRequest, 100)
	peer := startHub(t, func(message any) {
		if request, ok := message.(gossip.RowsRequest); ok && len(requests) < cap(requests) {
			requests <- request
		}
	})
	row := mimosatide.Row{Key: "config", Value: []byte(configuration(3, "k3")), Version: mimosatide.RowVersion(versionIn(store.Era(), 1000))}
	eventually(t, "version 3 from the peer", func() bool {
		peer.hub.Send(node.peers, gossip.Digest{Node: "n2", Incarnation: 1, NewerConfiguration: 3})
		for len(requests) > 0 {
			request := <-requests
			batch := mimosatide.RowBatch{Version: row.Version, Rows: []mimosatide.RowChange{{Row: row}}}
			answer, err := gossip.NewCompressor().EncodeRows(request, batch)
			if err != nil {
				t.Fatal(err)
			}
			peer.hub.Send(node.peers, answer)
		}
		return node.request("k3") == http.StatusOK
	})
	store.Put("op", "config", configuration(2, "k2"))
	time.Sleep(500 * time.Millisecond)
	node.staysInForce(t, "k3", "k2")
}
