package placement_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/placement"
)

var (
	// mixedFencing stands for an engine that checks fencing tokens and one that ignores them.
	mixedFencing = []bool{true, false}
	oneModel     = map[string]int64{"translate": 40 * gibibyte}
)

// TestBurstAtAllNodesLoadsOnce lets a request wait at each of eight nodes at the same
// time. One replica runs eight requests, so a second load would mean that the nodes
// or several decisions of one node each loaded the model.
func TestBurstAtAllNodesLoadsOnce(t *testing.T) {
	for seed := range uint64(30) {
		sim := newSimulation(t, seed, 8, mixedFencing, oneModel)
		sim.setWaiting("translate", 1)
		sim.run(6 * time.Second)
		if sim.loads("translate") != 1 || sim.ready("translate") != 1 {
			t.Fatalf("seed %d: got %d loads and %d ready replicas, want 1 of each", seed, sim.loads("translate"), sim.ready("translate"))
		}
		for _, node := range sim.nodes {
			if len(node.lists["translate"].Placements) != 1 {
				t.Fatalf("seed %d: %s does not have exactly one placement of the model in its list", seed, node.address)
			}
		}
	}
}

// TestLostCommitAnswersDoNotLoadTwice loses the answers to half of the commits, which
// take effect all the same. The controller can't know then whether its decision is in
// the table, and must not decide the same load again.
func TestLostCommitAnswersDoNotLoadTwice(t *testing.T) {
	for seed := range uint64(30) {
		sim := newSimulation(t, seed, 4, mixedFencing, oneModel)
		sim.commitAnswerLoss = 0.5
		sim.setWaiting("translate", 1)
		sim.run(15 * time.Second)
		if sim.loads("translate") != 1 || sim.ready("translate") != 1 {
			t.Fatalf("seed %d: got %d loads and %d ready replicas, want 1 of each", seed, sim.loads("translate"), sim.ready("translate"))
		}
	}
}

// TestHomeNodeCrashDuringLoadLoadsOnce ends the home node's process 300 ms after the
// first request, during the load of 2 s. The next home node must complete that load
// and not decide another one.
func TestHomeNodeCrashDuringLoadLoadsOnce(t *testing.T) {
	for seed := range uint64(30) {
		sim := newSimulation(t, seed, 4, mixedFencing, oneModel)
		sim.setWaiting("translate", 1)
		sim.run(300 * time.Millisecond)
		sim.home("translate").dead = true
		sim.run(15 * time.Second)
		if sim.loads("translate") != 1 || sim.ready("translate") != 1 {
			t.Fatalf("seed %d: got %d loads and %d ready replicas, want 1 of each", seed, sim.loads("translate"), sim.ready("translate"))
		}
	}
}

// TestPausedHomeNodeDoesNotLoadAgainOnResume pauses the home node once its decision
// is in the table. Another home node takes over, and the orders that the first one
// sends after the pause must not load the model a second time.
func TestPausedHomeNodeDoesNotLoadAgainOnResume(t *testing.T) {
	for seed := range uint64(60) {
		sim := newSimulation(t, seed, 4, mixedFencing, oneModel)
		sim.setWaiting("translate", 1)
		home := sim.home("translate")
		for len(sim.placements("translate")) == 0 {
			sim.step()
		}
		home.paused = true
		sim.run(8 * time.Second)
		sim.setWaiting("translate", 0)
		sim.run(20 * time.Second)
		home.paused = false
		sim.run(20 * time.Second)
		if loads := sim.loads("translate"); loads != 1 {
			t.Fatalf("seed %d: got %d loads, want 1", seed, loads)
		}
	}
}

// TestLateOrderOfEndedProcessDoesNotOvercommitMemory guards against reusing memory
// too early: a process ends while its load order is still in flight to an engine
// that ignores fencing tokens.
func TestLateOrderOfEndedProcessDoesNotOvercommitMemory(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulation(t, seed, 2, []bool{false}, map[string]int64{"translate": 60 * gibibyte, "match": 60 * gibibyte})
		sim.setWaiting("translate", 1)
		sim.orderDelayRate = 0.9
		sim.run(2 * time.Second)
		sim.orderDelayRate = 0
		sim.setWaiting("translate", 0)
		sim.start(sim.home("translate"))
		sim.setWaiting("match", 1)
		sim.run(90 * time.Second)
		if sim.ready("match") != 1 {
			t.Fatalf("seed %d: match has no ready replica after 90 s: the memory of translate was not released", seed)
		}
	}
}

// TestRestartsDelayMemoryReleaseOnce guards against adding up delays: when a node
// restarted several times while a placement was being unloaded, the release
// waited for the ended processes one after the other.
func TestRestartsDelayMemoryReleaseOnce(t *testing.T) {
	sim := newSimulation(t, 1, 1, []bool{false}, map[string]int64{"translate": 60 * gibibyte, "match": 60 * gibibyte})
	sim.setWaiting("translate", 1)
	sim.run(5 * time.Second)
	sim.setWaiting("translate", 0)
	sim.engines["engine-0"].down = true
	sim.run(20 * time.Second)
	for range 6 {
		sim.start(sim.nodes[0])
		sim.run(2 * time.Second)
	}
	sim.engines["engine-0"].down = false
	sim.setWaiting("match", 1)
	sim.run(90 * time.Second)
	if sim.ready("match") != 1 {
		t.Fatalf("match has no ready replica: the memory of translate was not released: %+v", sim.placements("translate"))
	}
}

// TestMemoryStaysReservedWhileOrderMayArrive unloads a placement from an engine
// that ignores fencing tokens while a process that may have sent orders is paused. If
// the memory were released, that process's load order could arrive when another model
// has taken it.
func TestMemoryStaysReservedWhileOrderMayArrive(t *testing.T) {
	sim := newSimulation(t, 1, 3, []bool{false}, map[string]int64{"translate": 60 * gibibyte, "match": 60 * gibibyte})
	sim.setWaiting("translate", 1)
	home := sim.home("translate")
	for len(sim.placements("translate")) == 0 {
		sim.step()
	}
	home.paused = true
	sim.setWaiting("translate", 0)
	sim.run(5 * time.Second)
	sim.setWaiting("match", 1)
	sim.run(40 * time.Second)
	if sim.ready("match") != 0 {
		t.Fatal("the memory was reused while the paused process could still send its order")
	}
	home.paused = false
	sim.run(60 * time.Second)
	if sim.ready("match") != 1 {
		t.Fatalf("match has no ready replica: the memory of translate was not released: %+v", sim.placements("translate"))
	}
}

// TestEvictionMakesRoomForWaitingRequests lets requests wait for a model that fits on
// the only engine only after an idle model has been unloaded.
func TestEvictionMakesRoomForWaitingRequests(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(t, seed, 4, []bool{seed%2 == 0}, map[string]int64{"translate": 60 * gibibyte, "match": 60 * gibibyte})
		sim.setWaiting("translate", 1)
		sim.run(5 * time.Second)
		sim.setWaiting("translate", 0)
		sim.setWaiting("match", 1)
		sim.run(15 * time.Second)
		if sim.ready("match") != 1 {
			t.Fatalf("seed %d: want one ready replica of the waiting model; placements of the idle model: %+v", seed, sim.placements("translate"))
		}
	}
}

// TestTableOutageIsReportedToWaitingNodes stops the table before any decision about the
// model: the nodes must still learn why their requests wait.
func TestTableOutageIsReportedToWaitingNodes(t *testing.T) {
	sim := newSimulation(t, 1, 3, mixedFencing, oneModel)
	sim.tableDown = true
	sim.setWaiting("translate", 1)
	sim.run(3 * time.Second)
	for _, node := range sim.nodes {
		if reason := node.lists["translate"].BlockedReason; reason != "StoreUnavailable" {
			t.Errorf("%s: got blocked reason %q, want StoreUnavailable", node.address, reason)
		}
	}
}

func TestIdleModelIsUnloaded(t *testing.T) {
	sim := newSimulation(t, 1, 3, mixedFencing, oneModel)
	sim.setWaiting("translate", 1)
	sim.run(5 * time.Second)
	sim.setWaiting("translate", 0)
	sim.run(60 * time.Second)
	if remaining := sim.placements("translate"); len(remaining) != 0 {
		t.Fatalf("got placements %+v, want none", remaining)
	}
	for name, engine := range sim.engines {
		if len(engine.replicas) != 0 {
			t.Fatalf("%s holds %v, want no replicas", name, engine.replicaIDs())
		}
	}
}

func TestAdapterIsLoadedOntoReplicaOfItsModel(t *testing.T) {
	sim := newSimulation(t, 1, 3, mixedFencing, oneModel)
	for _, node := range sim.nodes {
		node.demand["translate"] = placement.DemandReport{Model: "translate", Waiting: 1, Adapters: map[string]int{"letters": 1}, Stake: 1}
	}
	sim.run(8 * time.Second)
	adapter, found := sim.placements("translate")[0].FindAdapter("letters")
	if !found || !adapter.Ready {
		t.Fatalf("got adapter %+v, want it ready", adapter)
	}
}

func TestLeavingEngineGetsNoNewModel(t *testing.T) {
	sim := newSimulation(t, 1, 3, mixedFencing, oneModel)
	sim.engines["engine-0"].leaving = true
	sim.run(3 * time.Second)
	sim.setWaiting("translate", 1)
	sim.run(6 * time.Second)
	if got := sim.placements("translate"); len(got) != 1 || got[0].Target != "engine-1" {
		t.Fatalf("got placements %+v, want one on engine-1", got)
	}
}

// TestModelIsReloadedAfterEngineCrash makes the engine lose its replica but answer on,
// so that only its reports show the loss.
func TestModelIsReloadedAfterEngineCrash(t *testing.T) {
	sim := newSimulation(t, 1, 3, []bool{true}, oneModel)
	sim.setWaiting("translate", 1)
	sim.run(5 * time.Second)
	engine := sim.engines["engine-0"]
	sim.crash("engine-0")
	sim.run(20 * time.Second)
	if sim.ready("translate") != 1 || len(engine.replicas) != 1 {
		t.Fatalf("after the crash: got placements %+v and engine replicas %v, want one of each, ready", sim.placements("translate"), engine.replicaIDs())
	}
}

// TestThirtyModelsStayWithinStoreBudget lets more models wait than the weight store's
// budget lets load at once; the simulation checks the budget at every step. Orders also
// overtake each other on the way to an engine: an overtaken one is rejected as stale,
// and its model gets ready only under a new fencing token.
func TestThirtyModelsStayWithinStoreBudget(t *testing.T) {
	models := map[string]int64{}
	for _, letter := range "abcdefghijklmnopqrstuvwxyzABCD" {
		models["model-"+string(letter)] = 20 * gibibyte
	}
	for seed := range uint64(10) {
		sim := newSimulation(t, seed, 8, []bool{true, true, false, true, true, false, true, true, true}, models)
		for _, name := range slices.Sorted(maps.Keys(models)) {
			sim.setWaiting(name, 1)
		}
		sim.run(40 * time.Second)
		for name := range models {
			if sim.ready(name) == 0 {
				t.Fatalf("seed %d: %s has no ready replica after 40 s: %+v", seed, name, sim.placements(name))
			}
		}
	}
}
