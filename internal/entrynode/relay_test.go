package entrynode_test

import (
	"fmt"
	"net/http"
	"testing"

	"mimosatide.example/mimosatide/platform/emulator"
)

// fleetSize is large enough for news to go over relays.
const fleetSize = 23

// startFleet starts nodes in two zones; the relays are the first of each: a-00 and b-01.
func startFleet(t *testing.T, store *emulator.Store) map[string]*running {
	t.Helper()
	nodes := map[string]*running{}
	for index := range fleetSize {
		zone := []string{"a", "b"}[index%2]
		name := fmt.Sprintf("%s-%02d", zone, index)
		nodes[name] = startNodeIn(t, zone, name, fmt.Sprintf("127.0.1.%d", index+1), store)
	}
	return nodes
}

// change writes a configuration with a new key and waits until every node takes it.
func change(t *testing.T, store *emulator.Store, nodes map[string]*running, version int) {
	t.Helper()
	key := fmt.Sprintf("k%d", version)
	store.Put("op", "config", configuration(version, key))
	for name, node := range nodes {
		eventually(t, fmt.Sprintf("version %d at %s", version, name), func() bool { return node.ask(key) == http.StatusOK })
	}
}

// callers returns the nodes that called the store while something was done.
func callers(nodes map[string]*running, do func()) map[string]bool {
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

func TestLargeFleetFollowsTheStoreThroughRelays(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	nodes := startFleet(t, store)
	change(t, store, nodes, 2)
	version := 2
	eventually(t, "changes without calls of any node but the two relays", func() bool {
		version++
		asked := callers(nodes, func() { change(t, store, nodes, version) })
		return len(asked) <= 2 && asked["a-00"] && asked["b-01"]
	})

	nodes["a-00"].entrance.Silence(true)
	delete(nodes, "a-00")
	asked := callers(nodes, func() { change(t, store, nodes, version+1) })
	if len(asked) < 3 {
		t.Errorf("with a relay that the store does not answer only %v asked it", asked)
	}
	version++
	eventually(t, "changes through another relay", func() bool {
		version++
		return len(callers(nodes, func() { change(t, store, nodes, version) })) <= 2
	})
}
