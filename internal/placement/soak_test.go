package placement_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// soakModels need more memory than the two engines have if each has two replicas, so that
// evictions race with loads.
var soakModels = map[string]int64{
	"translate": 60 * gibibyte, "match": 40 * gibibyte, "sketch": 30 * gibibyte, "stock": 20 * gibibyte,
}

// soakActions returns the actions of a random schedule. Rapid draws them by the
// order of their names, so a new or renamed one may change the schedules of all seeds.
func soakActions(sim *simulation) map[string]func(*rapid.T) {
	node := func(t *rapid.T) *simNode { return sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "node")] }
	engine := func(t *rapid.T) *simEngine {
		return sim.engines[rapid.SampledFrom([]string{"engine-0", "engine-1"}).Draw(t, "engine")]
	}
	model := func(t *rapid.T) string {
		return rapid.SampledFrom([]string{"match", "sketch", "stock", "translate"}).Draw(t, "model")
	}
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			sim.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "wait")) * simStep)
		},
		"waitingRequests": func(t *rapid.T) { sim.setWaiting(model(t), rapid.IntRange(0, 20).Draw(t, "waiting")) },
		"finishRequests":  func(t *rapid.T) { sim.setWaiting(model(t), 0) },
		"pause":           func(t *rapid.T) { node(t).paused = true },
		"resume":          func(t *rapid.T) { node(t).paused = false },
		"kill":            func(t *rapid.T) { node(t).dead = true },
		"restart":         func(t *rapid.T) { sim.start(node(t)) },
		"tableDown":       func(*rapid.T) { sim.tableDown = true },
		"tableUp":         func(*rapid.T) { sim.tableDown = false },
		"loseWrites":      func(t *rapid.T) { sim.commitAnswerLoss = rapid.Float64Range(0, 0.6).Draw(t, "lost") },
		"loseOrders":      func(t *rapid.T) { sim.orderDelayRate = rapid.Float64Range(0, 0.6).Draw(t, "lost") },
		"crash": func(t *rapid.T) {
			sim.crash(rapid.SampledFrom([]string{"engine-0", "engine-1"}).Draw(t, "engine"))
		},
		"engineDown": func(t *rapid.T) { engine(t).down = true },
		"engineUp":   func(t *rapid.T) { engine(t).down = false },
	}
}

// TestSoak runs random schedules of faults, and checks the engines' memory and the
// weight store's budget at every step.
func TestSoak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		nodes := rapid.IntRange(1, 4).Draw(t, "nodes")
		checks := []bool{rapid.Bool().Draw(t, "firstChecks"), rapid.Bool().Draw(t, "secondChecks")}
		sim := newSimulation(t, seed, nodes, checks, soakModels)
		t.Repeat(soakActions(sim))
		endFaults(sim)
		sim.setWaiting("translate", 1)
		sim.run(200 * time.Second)
		if sim.ready("translate") == 0 {
			sim.fatalf("got no ready replica 200 s after all faults ended, want one: %+v", sim.placements("translate"))
		}
	})
}

// endFaults ends all faults and all requests.
func endFaults(sim *simulation) {
	sim.tableDown, sim.commitAnswerLoss, sim.orderDelayRate = false, 0, 0
	for _, node := range sim.nodes {
		node.paused = false
		if node.dead {
			sim.start(node)
		}
	}
	for _, engine := range sim.engines {
		engine.down = false
	}
	for _, model := range slices.Sorted(maps.Keys(soakModels)) {
		sim.setWaiting(model, 0)
	}
}
