package entrynode_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/peer"
	"mimosatide.example/mimosatide/platform/emulator"
)

// fleetSize is large enough for a fleet to use relays.
const fleetSize = 23

// startFleet starts nodes in zones a and b. The first node of each zone is its relay: a-00 and b-01.
func startFleet(t *testing.T, store *emulator.Store) map[string]*testNode {
	t.Helper()
	nodes := map[string]*testNode{}
	for index := range fleetSize {
		zone := []string{"a", "b"}[index%2]
		name := fmt.Sprintf("%s-%02d", zone, index)
		nodes[name] = startNodeIn(t, zone, name, fmt.Sprintf("127.0.1.%d", index+1), store)
	}
	return nodes
}

// changeConfiguration writes a configuration with a new key and waits until every node accepts the key.
func changeConfiguration(t *testing.T, store *emulator.Store, nodes map[string]*testNode, version int) {
	t.Helper()
	key := fmt.Sprintf("k%d", version)
	store.Put("op", "config", configuration(version, key))
	for name, node := range nodes {
		eventually(t, fmt.Sprintf("version %d at %s", version, name), func() bool { return node.request(key) == http.StatusOK })
	}
}

// storeCallers returns the names of the nodes that called the store while do ran.
func storeCallers(nodes map[string]*testNode, do func()) map[string]bool {
	before := map[string]int{}
	for name, node := range nodes {
		before[name] = node.entrance.Calls()
	}
	do()
	names := map[string]bool{}
	for name, node := range nodes {
		if node.entrance.Calls() > before[name] {
			names[name] = true
		}
	}
	return names
}

// TestLargeFleetFollowsTheStoreThroughRelays changes the configuration of a fleet with
// relays: only the two relays may call the store, which charges for every call. Then the
// store stops answering one relay: its zone must get the next change all the same. Once
// it answers neither of them, the other nodes must get the change, and later follow the
// store through other relays.
func TestLargeFleetFollowsTheStoreThroughRelays(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	nodes := startFleet(t, store)
	changeConfiguration(t, store, nodes, 2)
	version := 2
	eventually(t, "changes with calls to the store by the two relays only", func() bool {
		version++
		called := storeCallers(nodes, func() { changeConfiguration(t, store, nodes, version) })
		return len(called) <= 2 && called["a-00"] && called["b-01"]
	})

	nodes["a-00"].entrance.SetUnresponsive(true)
	version++
	changeConfiguration(t, store, nodes, version)
	nodes["b-01"].entrance.SetUnresponsive(true)
	delete(nodes, "a-00")
	delete(nodes, "b-01")
	version++
	changeConfiguration(t, store, nodes, version)
	eventually(t, "changes through other relays", func() bool {
		version++
		return len(storeCallers(nodes, func() { changeConfiguration(t, store, nodes, version) })) <= 2
	})
}

// testHub plays a peer of the node under test.
type testHub struct {
	hub     *peer.Hub
	address string
}

// startHub starts a hub that hands each message it receives to a function.
func startHub(t *testing.T, receive func(message any)) testHub {
	t.Helper()
	return startHubWith(t, gossip.Codec{}, receive)
}

// startHubWith starts a hub with a codec of its own.
func startHubWith(t *testing.T, codec peer.Codec, receive func(message any)) testHub {
	t.Helper()
	free, err := emulator.FreeAddresses("127.0.1.2", 1)
	if err != nil {
		t.Fatal(err)
	}
	hub, err := peer.New(peer.Settings{
		Codec: codec, Self: free[0], Listen: free[0], PingInterval: peer.DefaultPingInterval, QueueLength: 32,
	}, logr.Discard(), func(_ string, message any) { receive(message) })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go hub.Run(ctx)
	return testHub{hub: hub, address: free[0]}
}

// TestHostRequestsRowsFromARelayThatItDoesNotKnow guards against a host that keeps serving
// by an old configuration because the store stopped answering it before it knew of the
// other hosts: in a large fleet it hears of them only through a relay that is not on its
// list either.
func TestHostRequestsRowsFromARelayThatItDoesNotKnow(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	node := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "a 200 answer", func() bool { return node.request("k1") == http.StatusOK })
	node.entrance.SetUnresponsive(true)

	requested := make(chan gossip.RowsRequest, 100)
	relay := startHub(t, func(message any) {
		if request, ok := message.(gossip.RowsRequest); ok && len(requested) < cap(requested) {
			requested <- request
		}
	})
	eventually(t, "a request for the rows of the configuration", func() bool {
		relay.hub.Send(node.peers, gossip.Batch{Digests: []gossip.Digest{
			{Node: "n3", Incarnation: 1, Tables: map[string]uint64{"op": versionIn(store.Era(), 1000)}},
		}})
		for len(requested) > 0 {
			if request := <-requested; request.Table == "op" {
				return true
			}
		}
		return false
	})
}

// versionIn returns a version of an era of the store.
func versionIn(era, number uint64) uint64 {
	version, err := mimosatide.NewRowVersion(era, number)
	if err != nil {
		panic(err)
	}
	return uint64(version)
}

// TestRelayThatKnowsNoErasIsNotReliedOn guards against hosts that get no changes during a rolling
// update, because their relay is of an earlier build, whose versions are lower than theirs.
func TestRelayThatKnowsNoErasIsNotReliedOn(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	relay := startHub(t, func(any) {})
	putHost(t, store, "a-00", relay.address)
	for index := range fleetSize {
		// Nothing listens at the addresses of the other hosts.
		putHost(t, store, fmt.Sprintf("a-%02d", index+10), fmt.Sprintf("127.0.2.%d:1", index+1))
	}
	node := startNodeIn(t, "a", "a-01", "127.0.1.3", store)
	// The relay is of this build, then one of its tables is of the next era, then it is of the
	// build before.
	digests := []map[string]uint64{{"op": versionIn(store.Era(), 1)}, {"mimosatide-hosts": versionIn(store.Era()+1, 1)}, {"op": 1}}
	var state atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
			digest := gossip.Digest{Node: "a-00", Incarnation: 1, RelaysTables: true, Tables: digests[state.Load()]}
			relay.hub.Send(node.peers, gossip.Batch{Digests: []gossip.Digest{digest}})
		}
	}()
	eventually(t, "changes through the relay", func() bool { return node.logged("changes of a table", `"table"="op" "throughRelay"=true`) })
	state.Store(1)
	time.Sleep(time.Second)
	if node.logged("changes of a table", `"table"="op" "throughRelay"=false`) {
		t.Error("relay that reads its tables again after a restore: got that the host no longer relies on it, want that it does")
	}
	state.Store(2)
	store.Put("op", "config", configuration(2, "k2"))
	eventually(t, "the change, from the store", func() bool { return node.request("k2") == http.StatusOK })
}

// TestHostsCallTheStoreOnceTheirRelayNoLongerFollowsIt guards against hosts of a large fleet
// that wait for changes from a relay which the store has stopped answering.
func TestHostsCallTheStoreOnceTheirRelayNoLongerFollowsIt(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	relay := startHub(t, func(any) {})
	putHost(t, store, "a-00", relay.address)
	for index := range fleetSize {
		// Nothing listens at the addresses of the other hosts.
		putHost(t, store, fmt.Sprintf("a-%02d", index+10), fmt.Sprintf("127.0.2.%d:1", index+1))
	}
	nodes := map[string]*testNode{}
	for index, name := range []string{"a-01", "a-02", "a-03"} {
		nodes[name] = startNodeIn(t, "a", name, fmt.Sprintf("127.0.1.%d", index+3), store)
	}
	var following atomic.Bool
	following.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
			digest := gossip.Digest{
				Node: "a-00", Incarnation: 1, RelaysTables: following.Load(), Tables: map[string]uint64{"op": versionIn(store.Era(), 1)},
			}
			for _, node := range nodes {
				relay.hub.Send(node.peers, gossip.Batch{Digests: []gossip.Digest{digest}})
			}
		}
	}()
	version := 1
	eventually(t, "a change for which no host calls the store", func() bool {
		version++
		called := storeCallers(nodes, func() {
			store.Put("op", "config", configuration(version, fmt.Sprintf("k%d", version)))
			time.Sleep(100 * time.Millisecond)
		})
		return len(called) == 0
	})
	following.Store(false)
	for name, node := range nodes {
		key := fmt.Sprintf("k%d", version)
		eventually(t, "the change at "+name, func() bool { return node.request(key) == http.StatusOK })
	}
	for name, node := range nodes {
		before := node.entrance.Calls()
		version++
		changeConfiguration(t, store, nodes, version)
		eventually(t, "a call to the store by "+name, func() bool { return node.entrance.Calls() > before })
	}
}

// putHost puts a host of zone a on the list.
func putHost(t *testing.T, store *emulator.Store, name, address string) {
	t.Helper()
	row, err := cbor.Marshal(map[string]any{"Address": address, "Incarnation": 1, "Zone": "a", "CPUShare": 0.4})
	if err != nil {
		t.Fatal(err)
	}
	store.Put("mimosatide-hosts", name, string(row))
}

// TestHostGetsSummariesOfOtherZones plays a host of zone a in a fleet whose other zone has
// most of the hosts: it must get that zone's state in summaries, and no digest of its hosts but
// those with news that a summary doesn't hold. Otherwise its cost grows with all zones.
func TestHostGetsSummariesOfOtherZones(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	var summaries, digests atomic.Int64
	host := startHub(t, func(message any) {
		batch, _ := message.(gossip.Batch)
		for _, digest := range batch.Digests {
			if strings.HasPrefix(digest.Node, "b-") && !digest.Partial {
				digests.Add(1)
			}
		}
		for _, summary := range batch.Summaries {
			if summary.Zone == "b" && summary.Hosts >= fleetSize/2 {
				summaries.Add(1)
			}
		}
	})
	putHost(t, store, "a-99", host.address)
	nodes := startFleet(t, store)
	changeConfiguration(t, store, nodes, 2)
	eventually(t, "summaries of the other zone", func() bool { return summaries.Load() > 10 })
	digests.Store(0)
	before := summaries.Load()
	eventually(t, "more summaries of the other zone", func() bool { return summaries.Load() > before+20 })
	if got := digests.Load(); got > 0 {
		t.Errorf("got %d digests of hosts of the other zone beside its summaries, want none", got)
	}
}

// TestRelaySendsReportsOfABusyOwnerTogether guards against a relay that wakes every host of its
// zone for each of hundreds of holdings reports a second.
func TestRelaySendsReportsOfABusyOwnerTogether(t *testing.T) {
	const reports = 300
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	var batches, received atomic.Int64
	host := startHub(t, func(message any) {
		batch, _ := message.(gossip.Batch)
		batches.Add(1)
		received.Add(int64(len(batch.HoldingsReports)))
	})
	putHost(t, store, "a-09", host.address)
	for index := range fleetSize {
		// Nothing listens at the addresses of the other hosts.
		putHost(t, store, fmt.Sprintf("a-%02d", index+10), fmt.Sprintf("127.0.2.%d:1", index+1))
	}
	relay := startNodeIn(t, "a", "a-00", "127.0.1.1", store)
	eventually(t, "a 200 answer", func() bool { return relay.request("k1") == http.StatusOK })
	owner := startHub(t, func(any) {})
	report := gossip.HoldingsReport{Instance: "e-1", Born: 1}
	eventually(t, "a report at the host", func() bool {
		owner.hub.Send(relay.peers, gossip.Batch{Reach: gossip.ReachAll, HoldingsReports: []gossip.HoldingsReport{report}})
		return received.Load() > 0
	})
	batches.Store(0)
	received.Store(0)
	for range reports {
		owner.hub.Send(relay.peers, gossip.Batch{Reach: gossip.ReachAll, HoldingsReports: []gossip.HoldingsReport{report}})
		time.Sleep(2 * time.Millisecond)
	}
	eventually(t, "all reports at the host", func() bool { return received.Load() >= reports })
	if got := batches.Load(); got > reports/2 {
		t.Errorf("got %d batches with %d reports, want at most half as many", got, reports)
	}
}

// countingCodec counts the bytes of the changes of the configuration that it decodes.
type countingCodec struct {
	gossip.Codec
	bytes *atomic.Int64
}

func (codec countingCodec) Decode(data []byte) (any, error) {
	message, err := codec.Codec.Decode(data)
	if changes, ok := message.(gossip.Changes); ok && changes.Table == "op" {
		codec.bytes.Add(int64(len(data)))
	}
	return message, err
}

// largeConfiguration returns a configuration of many routes.
func largeConfiguration(version, routes int, key string) string {
	var list strings.Builder
	for index := range routes {
		fmt.Fprintf(&list, `{"name":"r-%[1]x","host":"a.example","prefix":"/more-%[1]x/","kind":"idempotent","timeoutMs":1000,
			"targetLatencyMs":300,"maxAttempts":2,"priority":1,"service":"desk"},`, uint32(index)*2654435761)
	}
	return strings.Replace(configuration(version, key), `"routes":[`, `"routes":[`+list.String(), 1)
}

// TestChangeCostsNoMoreThanItsSize guards against a relay whose link every small change of
// a large configuration fills, since each host of its zone gets the whole document again.
// The bound is what 36,000 changes a day leave of 4 KB a second.
func TestChangeCostsNoMoreThanItsSize(t *testing.T) {
	const maxBytes = 4 * 1024 * 86_400 / 36_000
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	var received atomic.Int64
	host := startHubWith(t, countingCodec{bytes: &received}, func(any) {})
	putHost(t, store, "a-09", host.address)
	for index := range fleetSize {
		// Nothing listens at the addresses of the other hosts.
		putHost(t, store, fmt.Sprintf("a-%02d", index+10), fmt.Sprintf("127.0.2.%d:1", index+1))
	}
	relay := startNodeIn(t, "a", "a-00", "127.0.1.1", store)
	// Otherwise the relay may read the first change with the table, and has none to forward.
	eventually(t, "version 1", func() bool { return relay.request("k1") == http.StatusOK })
	version := 1
	change := func(routes int) int64 {
		version++
		before, key := received.Load(), fmt.Sprintf("k%d", version)
		store.Put("op", "config", largeConfiguration(version, routes, key))
		eventually(t, fmt.Sprintf("version %d", version), func() bool { return relay.request(key) == http.StatusOK })
		eventually(t, "its changes at another host", func() bool { return received.Load() > before })
		return received.Load() - before
	}
	change(4000)
	if bytes := change(4000); bytes > maxBytes {
		t.Errorf("bytes of a change of one key among 4,000 routes: got %d, want at most %d", bytes, maxBytes)
	}
	document := int64(len(largeConfiguration(version, 4100, "k")))
	if bytes := change(4100); bytes > document/10 {
		t.Errorf("bytes of a change of 100 routes: got %d of a document of %d, want at most a tenth", bytes, document)
	}
}
