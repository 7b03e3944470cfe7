package entrynode_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

// logged reports whether a line of the node's log holds all parts.
func (node *testNode) logged(parts ...string) bool {
	for line := range strings.SplitSeq(node.log.text(), "\n") {
		found := true
		for _, part := range parts {
			found = found && strings.Contains(line, part)
		}
		if found {
			return true
		}
	}
	return false
}

// startRestored starts a store and a node, puts version 2 with key k2 in force in place of
// version 1 with key k1, and restores the store to version 1.
func startRestored(t *testing.T) (*emulator.Store, *testNode) {
	t.Helper()
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	node := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "version 1", func() bool { return node.request("k1") == http.StatusOK })
	before := store.Copy()
	store.Put("op", "config", configuration(2, "k2"))
	eventually(t, "version 2", func() bool { return node.request("k2") == http.StatusOK })
	store.Restore(before)
	eventually(t, "the restore", func() bool { return node.logged("store restored", `"table"="op"`) })
	return store, node
}

// TestConfigurationInForceOutlastsARestore guards against withdrawn keys and routes that are back
// until the operator writes again, because the store was restored to an older configuration.
func TestConfigurationInForceOutlastsARestore(t *testing.T) {
	store, node := startRestored(t)
	for range 5 {
		if status := node.request("k2"); status != http.StatusOK {
			t.Fatalf("key of the configuration in force: got status %d, want 200", status)
		}
		if status := node.request("k1"); status != http.StatusUnauthorized {
			t.Fatalf("withdrawn key: got status %d, want 401", status)
		}
		time.Sleep(50 * time.Millisecond)
	}
	store.Put("op", "config", configuration(2, "k2b"))
	eventually(t, "the same version in another row", func() bool { return node.request("k2b") == http.StatusOK })
	store.Put("op", "config", configuration(3, "k3"))
	eventually(t, "version 3", func() bool { return node.request("k3") == http.StatusOK })
}

// TestHostThatStartsAfterARestoreGetsTheConfigurationInForce guards against hosts that serve by
// an older configuration than the others until the operator writes again.
func TestHostThatStartsAfterARestoreGetsTheConfigurationInForce(t *testing.T) {
	store, _ := startRestored(t)
	started := startNode(t, "n2", "127.0.1.2", store)
	eventually(t, "version 2 from the other host", func() bool { return started.request("k2") == http.StatusOK })
	if status := started.request("k1"); status != http.StatusUnauthorized {
		t.Errorf("withdrawn key: got status %d, want 401", status)
	}
	store.Put("op", "config", configuration(3, "k3"))
	eventually(t, "version 3", func() bool { return started.request("k3") == http.StatusOK })
}

// TestRemovedTargetStaysAwayOverARestore guards against requests at a target whose deletion a
// node knew, because the store forgot it.
func TestRemovedTargetStaysAwayOverARestore(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	row, _ := store.Row("servers", "d-1")
	node := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "an answer of the target", func() bool { return node.request("k1") == http.StatusOK })
	before := store.Copy()
	store.Remove("servers", "d-1")
	eventually(t, "the end of the target", func() bool { return node.logged("target gone") })
	store.Restore(before)
	eventually(t, "the restore", func() bool { return node.logged("store restored", `"table"="servers"`) })
	if status := node.request("k1"); status == http.StatusOK {
		t.Errorf("target whose row is back by the restore: got status %d, want no answer of the target", status)
	}
	store.Put("servers", "d-1", string(row.Value))
	eventually(t, "an answer of the target that has written its row again", func() bool { return node.request("k1") == http.StatusOK })
}

// TestHostWhoseRowARestoreTookStaysKnown guards against hosts that take over the shares of the
// quotas of others which are still there, and against messages that nobody sends them.
func TestHostWhoseRowARestoreTookStaysKnown(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	first := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "version 1", func() bool { return first.request("k1") == http.StatusOK })
	before := store.Copy()
	second := startNode(t, "n2", "127.0.1.2", store)
	eventually(t, "the second host", func() bool { return first.logged("host known", `"host"="n2"`) })
	eventually(t, "its digests", func() bool { return second.request("k1") == http.StatusOK })
	store.Restore(before)
	eventually(t, "the row of the second host again", func() bool {
		_, found := store.Row("mimosatide-hosts", "n2")
		return found
	})
	// The row may be in the store again before the first host reads the restored table, whose only
	// row it is then.
	eventually(t, "the row at the first host", func() bool {
		return strings.Count(first.log.text(), `"host known" "host"="n2"`) == 2 ||
			first.logged("store restored", `"table"="mimosatide-hosts"`, `"rows"=1`, `"lost"=1`)
	})
	if first.logged("host left", `"host"="n2"`) {
		t.Error("got the second host taken off the list, want it kept, since it sends digests")
	}

	second.entrance.SetUnavailable(true)
	store.Restore(before)
	second.stop()
	eventually(t, "the end of the second host", func() bool { return first.logged("host left", `"host"="n2"`) })
}

// TestHostWithoutTheStoreFollowsARestore guards against a host that the store rejects and that
// keeps the rows of before a restore, because those of its peers have lower numbers.
func TestHostWithoutTheStoreFollowsARestore(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	nodes := map[string]*testNode{"n1": startNode(t, "n1", "127.0.1.1", store), "n2": startNode(t, "n2", "127.0.1.2", store)}
	changeConfiguration(t, store, nodes, 2)
	eventually(t, "the second host", func() bool { return nodes["n1"].logged("host known", `"host"="n2"`) })
	before := store.Copy()
	for version := 3; version < 6; version++ {
		changeConfiguration(t, store, nodes, version)
	}
	nodes["n2"].entrance.SetUnavailable(true)
	store.Restore(before)
	changeConfiguration(t, store, nodes, 6)
	if !nodes["n2"].logged("store restored", `"table"="op"`) {
		t.Error("host that the store rejects: got no line of the restore, want one")
	}
}

// TestRestoreReachesTheHostsBehindARelay guards against a large fleet that serves by rows of
// before a restore, or in which every host calls the store after it.
func TestRestoreReachesTheHostsBehindARelay(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	nodes := startFleet(t, store)
	changeConfiguration(t, store, nodes, 2)
	version := 2
	onlyRelaysCall := func() bool {
		version++
		return len(storeCallers(nodes, func() { changeConfiguration(t, store, nodes, version) })) <= 2
	}
	eventually(t, "changes through relays", onlyRelaysCall)
	before := store.Copy()
	version++
	changeConfiguration(t, store, nodes, version)
	store.Restore(before)
	for name, node := range nodes {
		eventually(t, "the restore at "+name, func() bool { return node.logged("store restored", `"table"="op"`) })
	}
	version++
	changeConfiguration(t, store, nodes, version)
	eventually(t, "changes through relays after the restore", onlyRelaysCall)
}
