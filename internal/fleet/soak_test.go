package fleet_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosatide.example/mimosatide/internal/fleet"
)

// soak is a simulation with the faults that a random schedule can inject.
type soak struct {
	*simulation
}

func (run soak) drawNode(t *rapid.T) *simulatedNode {
	return run.nodes[rapid.IntRange(0, len(run.nodes)-1).Draw(t, "node")]
}

func (run soak) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			run.simulation.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "wait")) * 50 * time.Millisecond)
		},
		"patch": func(t *rapid.T) {
			if node := run.drawNode(t); !node.dead && !node.paused {
				run.proposePatch(node)
			}
		},
		"pause": func(t *rapid.T) { run.drawNode(t).paused = true },
		"kill":  func(t *rapid.T) { run.drawNode(t).dead = true },
		"restart": func(t *rapid.T) {
			run.start(run.drawNode(t))
		},
		"resume":       func(t *rapid.T) { run.drawNode(t).paused = false },
		"cutPeers":     func(t *rapid.T) { run.drawNode(t).noPeers = true },
		"cutTable":     func(t *rapid.T) { run.drawNode(t).noTable = true },
		"heal":         run.heal,
		"tableDown":    func(*rapid.T) { run.tableDown = true },
		"tableUp":      func(*rapid.T) { run.tableDown = false },
		"loseWrites":   func(t *rapid.T) { run.commitAnswerLoss = rapid.Float64Range(0, 0.6).Draw(t, "lost") },
		"loseMessages": func(t *rapid.T) { run.messageLoss = rapid.Float64Range(0, 0.5).Draw(t, "lost") },
		"listHosts":    func(*rapid.T) { run.listHosts() },
		"leave": func(t *rapid.T) {
			if node := run.drawNode(t); !node.dead && !node.paused {
				run.perform(node, node.core.Step(run.clock(node), fleet.LeaveRequested{}))
			}
		},
		"replaceHost": run.replaceHost,
	}
}

func (run soak) heal(t *rapid.T) {
	node := run.drawNode(t)
	node.noPeers, node.noTable, node.paused = false, false, false
}

// replaceHost ends a process and starts one at the same address on a new host.
func (run soak) replaceHost(t *rapid.T) {
	node := run.drawNode(t)
	for index, host := range run.hosts {
		if host.Name == node.member.Host {
			node.member.Host += "x"
			run.hosts[index].Name = node.member.Host
		}
	}
	run.start(node)
	run.listHosts()
}

// TestSoak runs random schedules of faults. Replay a schedule with
// make soak SEED=N STEPS=N and the values that the failure prints.
func TestSoak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		size := rapid.IntRange(1, 6).Draw(t, "nodes")
		witnessLimit := rapid.IntRange(1, 6).Draw(t, "witnesses")
		watchLimit := rapid.IntRange(1, 5).Draw(t, "watches")
		run := soak{simulation: newLimitedSimulation(t, seed, size, witnessLimit, watchLimit)}
		run.simulation.run(8 * time.Second)
		t.Repeat(run.actions())
		run.recover()
	})
}

// runWithoutFaults runs for the duration, and every node receives the list of hosts
// every 2 s, as a real one does.
func (run soak) runWithoutFaults(duration time.Duration) {
	for end := run.now + duration; run.now < end; {
		run.listHosts()
		run.simulation.run(2 * time.Second)
	}
}

// recover ends all faults and checks that every node becomes fresh and every share is held.
func (run soak) recover() {
	run.tableDown, run.commitAnswerLoss, run.messageLoss = false, 0, 0
	for _, node := range run.nodes {
		node.noPeers, node.noTable, node.paused = false, false, false
		if node.dead || node.left {
			run.start(node)
		}
	}
	run.runWithoutFaults(3 * testTerm)
	for _, node := range run.nodes {
		if node.left {
			run.start(node)
		}
	}
	run.runWithoutFaults(testTerm)
	if fresh := countFresh(run.simulation); fresh != len(run.nodes) {
		run.fail("after all faults have ended: got %d fresh nodes, want %d", fresh, len(run.nodes))
	}
	held := 0
	for _, count := range run.heldByNode() {
		held += count
	}
	if held != fleet.DefaultShareCount {
		run.fail("after all faults have ended: got %d held shares, want all", held)
	}
}
