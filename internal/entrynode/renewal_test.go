package entrynode_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/gossip"
)

// largeEngineConfiguration returns a configuration of many routes, and one service with engines.
func largeEngineConfiguration(version, routes int, key string) string {
	var list strings.Builder
	for index := range routes {
		fmt.Fprintf(&list, `{"name":"r-%[1]x","host":"a.example","prefix":"/more-%[1]x/","kind":"idempotent","timeoutMs":1000,
			"targetLatencyMs":300,"maxAttempts":2,"priority":1,"service":"llm"},`, uint32(index)*2654435761)
	}
	document := strings.Replace(engineConfiguration(key), `"version":1`, fmt.Sprintf(`"version":%d`, version), 1)
	return strings.Replace(document, `"routes":[`, `"routes":[`+list.String(), 1)
}

// TestHolderWhoseRenewalsFailTakesConfigurations guards against a node that stands still for good:
// the copy of the configuration, the services with engines and a lease wait for each other's
// locks, when a renewal fails while a configuration is taken.
func TestHolderWhoseRenewalsFailTakesConfigurations(t *testing.T) {
	const routes = 1500
	store, _, _ := startEngine(t, 10*time.Millisecond)
	node := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "the lease", func() bool { return node.logged("lease taken") })
	peer := startHub(t, func(any) {})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// As the digests of a host that has given up a lease.
		for ; ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
			peer.hub.Send(node.peers, gossip.Digest{
				Node: "n2", Incarnation: 1, Handovers: []gossip.Handover{{Service: "llm", Row: versionIn(store.Era(), 1)}},
			})
		}
	}()
	version := 1
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		// The store rejects the node, which gets the changes from a peer meanwhile.
		node.entrance.SetUnavailable(true)
		for range 20 {
			version++
			row := mimosatide.Row{
				Key: "config", Value: []byte(largeEngineConfiguration(version, routes, fmt.Sprintf("k%d", version))),
				Version: mimosatide.RowVersion(versionIn(store.Era(), uint64(1000+version))),
			}
			batch := mimosatide.RowBatch{Version: row.Version, Rows: []mimosatide.RowChange{{Row: row}}, Complete: true}
			message, err := gossip.NewCompressor().EncodeRows(gossip.RowsRequest{Table: "op", Compression: true}, batch)
			if err != nil {
				t.Fatal(err)
			}
			peer.hub.Send(node.peers, message)
			time.Sleep(80 * time.Millisecond)
		}
		key := fmt.Sprintf("k%d", version)
		taken := make(chan struct{})
		go func() {
			defer close(taken)
			for node.request(key) == http.StatusUnauthorized {
				time.Sleep(20 * time.Millisecond)
			}
		}()
		select {
		case <-taken:
		case <-time.After(5 * time.Second):
			t.Fatalf("configuration %s: got no answer with its key, want one; the node may stand still", key)
		}
		node.entrance.SetUnavailable(false)
		time.Sleep(900 * time.Millisecond)
	}
}
