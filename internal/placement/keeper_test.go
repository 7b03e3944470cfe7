package placement_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/placement"
)

var (
	bothKinds = []bool{true, false}
	oneModel  = map[string]int64{"translate": 40 * gigabyte}
)

func TestBurstAtAllNodesLoadsOnce(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(t, seed, 8, bothKinds, oneModel)
		w.want("translate", 1)
		w.run(6 * time.Second)
		if w.loads("translate") != 1 || w.ready("translate") != 1 {
			t.Fatalf("seed %d: %d loads, %d ready", seed, w.loads("translate"), w.ready("translate"))
		}
		for _, node := range w.nodes {
			if len(node.lists["translate"].Placements) != 1 {
				t.Fatalf("seed %d: %s doesn't know where the model is", seed, node.address)
			}
		}
	}
}

func TestLostAnswersDontDoubleLoads(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(t, seed, 4, bothKinds, oneModel)
		w.loseAnswers = 0.5
		w.want("translate", 1)
		w.run(15 * time.Second)
		if w.loads("translate") != 1 || w.ready("translate") != 1 {
			t.Fatalf("seed %d: %d loads, %d ready", seed, w.loads("translate"), w.ready("translate"))
		}
	}
}

func TestDecidersDeathInMidLoadLoadsOnce(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(t, seed, 4, bothKinds, oneModel)
		w.want("translate", 1)
		w.run(300 * time.Millisecond)
		w.home("translate").dead = true
		w.run(15 * time.Second)
		if w.loads("translate") != 1 || w.ready("translate") != 1 {
			t.Fatalf("seed %d: %d loads, %d ready", seed, w.loads("translate"), w.ready("translate"))
		}
	}
}

// TestPausedDeciderResumesHarmlessly pauses the home between its decision and
// its order; the next home takes over, and the late order loads nothing more.
func TestPausedDeciderResumesHarmlessly(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(t, seed, 4, bothKinds, oneModel)
		w.want("translate", 1)
		decider := w.home("translate")
		for len(w.placements("translate")) == 0 {
			w.step()
		}
		decider.paused = true
		w.run(8 * time.Second)
		w.want("translate", 0)
		w.run(20 * time.Second)
		decider.paused = false
		w.run(20 * time.Second)
		if loads := w.loads("translate"); loads != 1 {
			t.Fatalf("seed %d: %d loads", seed, loads)
		}
	}
}

// TestOrderOfAnEndedProcessMayStillArrive replays a schedule in which a process
// ended with an order on its way to an engine that ignores numbers.
func TestOrderOfAnEndedProcessMayStillArrive(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(t, seed, 2, []bool{false}, map[string]int64{"translate": 60 * gigabyte, "match": 60 * gigabyte})
		w.want("translate", 1)
		w.loseOrders = 0.9
		w.run(2 * time.Second)
		w.loseOrders = 0
		w.want("translate", 0)
		w.start(w.home("translate"))
		w.want("match", 1)
		w.run(90 * time.Second)
		if w.ready("match") != 1 {
			t.Fatalf("seed %d: the memory never came free", seed)
		}
	}
}

// TestManyRestartsDelayTheReleaseOnce replays a schedule in which a node was
// restarted again and again while a placement was unloaded: the release waited
// for one ended process after the other.
func TestManyRestartsDelayTheReleaseOnce(t *testing.T) {
	w := newWorld(t, 1, 1, []bool{false}, map[string]int64{"translate": 60 * gigabyte, "match": 60 * gigabyte})
	w.want("translate", 1)
	w.run(5 * time.Second)
	w.want("translate", 0)
	w.engines["engine-0"].down = true
	w.run(20 * time.Second)
	for range 6 {
		w.start(w.nodes[0])
		w.run(2 * time.Second)
	}
	w.engines["engine-0"].down = false
	w.want("match", 1)
	w.run(90 * time.Second)
	if w.ready("match") != 1 {
		t.Fatalf("the memory never came free: %+v", w.placements("translate"))
	}
}

// TestMemoryStaysChargedWhileAnOrderMayArrive gives a placement up on an
// engine that ignores numbers while its orderer is paused.
func TestMemoryStaysChargedWhileAnOrderMayArrive(t *testing.T) {
	w := newWorld(t, 1, 3, []bool{false}, map[string]int64{"translate": 60 * gigabyte, "match": 60 * gigabyte})
	w.want("translate", 1)
	decider := w.home("translate")
	for len(w.placements("translate")) == 0 {
		w.step()
	}
	decider.paused = true
	w.want("translate", 0)
	w.run(5 * time.Second)
	w.want("match", 1)
	w.run(40 * time.Second)
	if w.ready("match") != 0 {
		t.Fatal("the memory was used again while the paused process could still send its order")
	}
	decider.paused = false
	w.run(60 * time.Second)
	if w.ready("match") != 1 {
		t.Fatalf("the memory never came free: %+v", w.placements("translate"))
	}
}

func TestEvictionMakesRoomForWaitingRequests(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, 4, []bool{seed%2 == 0}, map[string]int64{"translate": 60 * gigabyte, "match": 60 * gigabyte})
		w.want("translate", 1)
		w.run(5 * time.Second)
		w.want("translate", 0)
		w.want("match", 1)
		w.run(15 * time.Second)
		if w.ready("match") != 1 {
			t.Fatalf("seed %d: the waiting model isn't served: %+v", seed, w.placements("translate"))
		}
	}
}

// TestOutageIsToldToWhoWaits cuts the table before a model was ever looked at.
func TestOutageIsToldToWhoWaits(t *testing.T) {
	w := newWorld(t, 1, 3, bothKinds, oneModel)
	w.tableDown = true
	w.want("translate", 1)
	w.run(3 * time.Second)
	for _, node := range w.nodes {
		if holdup := node.lists["translate"].Holdup; holdup != "StoreUnavailable" {
			t.Errorf("%s knows of holdup %q", node.address, holdup)
		}
	}
}

func TestIdleModelIsUnloaded(t *testing.T) {
	w := newWorld(t, 1, 3, bothKinds, oneModel)
	w.want("translate", 1)
	w.run(5 * time.Second)
	w.want("translate", 0)
	w.run(60 * time.Second)
	if left := w.placements("translate"); len(left) != 0 {
		t.Fatalf("left %+v", left)
	}
	for name, engine := range w.engines {
		if len(engine.held) != 0 {
			t.Fatalf("%s still holds %v", name, engine.heldIDs())
		}
	}
}

func TestAdapterIsLoadedWhereItsModelServes(t *testing.T) {
	w := newWorld(t, 1, 3, bothKinds, oneModel)
	for _, node := range w.nodes {
		node.wants["translate"] = placement.Want{Model: "translate", Waiting: 1, Adapters: map[string]int{"letters": 1}, Stake: 1}
	}
	w.run(8 * time.Second)
	adapter, found := w.placements("translate")[0].FindAdapter("letters")
	if !found || !adapter.Ready {
		t.Fatalf("adapter %+v", adapter)
	}
}

func TestLeavingEngineGetsNoNewModel(t *testing.T) {
	w := newWorld(t, 1, 3, bothKinds, oneModel)
	w.engines["engine-0"].leaving = true
	w.run(3 * time.Second)
	w.want("translate", 1)
	w.run(6 * time.Second)
	if got := w.placements("translate"); len(got) != 1 || got[0].Target != "engine-1" {
		t.Fatalf("placements %+v", got)
	}
}

func TestCrashedEngineLoadsAgain(t *testing.T) {
	w := newWorld(t, 1, 3, []bool{true}, oneModel)
	w.want("translate", 1)
	w.run(5 * time.Second)
	engine := w.engines["engine-0"]
	w.crash("engine-0")
	w.run(20 * time.Second)
	if w.ready("translate") != 1 || len(engine.held) != 1 {
		t.Fatalf("after the crash: %+v, engine holds %v", w.placements("translate"), engine.heldIDs())
	}
}

func TestThirtyModelsKeepToTheStoresBudget(t *testing.T) {
	models := map[string]int64{}
	for _, letter := range "abcdefghijklmnopqrstuvwxyzABCD" {
		models["model-"+string(letter)] = 20 * gigabyte
	}
	for seed := range uint64(10) {
		w := newWorld(t, seed, 8, []bool{true, true, false, true, true, false, true, true, true}, models)
		for _, name := range slices.Sorted(maps.Keys(models)) {
			w.want(name, 1)
		}
		w.run(40 * time.Second)
		for name := range models {
			if w.ready(name) == 0 {
				t.Fatalf("seed %d: %s never got ready: %+v", seed, name, w.placements(name))
			}
		}
	}
}
