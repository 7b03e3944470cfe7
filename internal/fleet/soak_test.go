package fleet_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosatide.example/mimosatide/internal/fleet"
)

// soak is a world with the faults that a schedule can bring about.
type soak struct {
	*world
}

func (run soak) draw(t *rapid.T) *worldNode {
	return run.nodes[rapid.IntRange(0, len(run.nodes)-1).Draw(t, "node")]
}

func (run soak) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			run.world.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "wait")) * 50 * time.Millisecond)
		},
		"patch": func(t *rapid.T) {
			if node := run.draw(t); !node.dead && !node.paused {
				run.ask(node)
			}
		},
		"pause": func(t *rapid.T) { run.draw(t).paused = true },
		"kill":  func(t *rapid.T) { run.draw(t).dead = true },
		"restart": func(t *rapid.T) {
			run.start(run.draw(t))
		},
		"resume":     func(t *rapid.T) { run.draw(t).paused = false },
		"cutPeers":   func(t *rapid.T) { run.draw(t).cutOff = true },
		"cutTable":   func(t *rapid.T) { run.draw(t).noTable = true },
		"heal":       run.heal,
		"tableDown":  func(*rapid.T) { run.tableDown = true },
		"tableUp":    func(*rapid.T) { run.tableDown = false },
		"loseWrites": func(t *rapid.T) { run.loseAnswers = rapid.Float64Range(0, 0.6).Draw(t, "lost") },
		"loseMail":   func(t *rapid.T) { run.loseMail = rapid.Float64Range(0, 0.5).Draw(t, "lost") },
		"listHosts":  func(*rapid.T) { run.listHosts() },
		"leave": func(t *rapid.T) {
			if node := run.draw(t); !node.dead && !node.paused {
				run.perform(node, node.core.Step(run.clock(node), fleet.LeaveAsked{}))
			}
		},
		"replaceHost": run.replaceHost,
	}
}

func (run soak) heal(t *rapid.T) {
	node := run.draw(t)
	node.cutOff, node.noTable, node.paused = false, false, false
}

// replaceHost ends a process for good and starts one at the same address on a new host.
func (run soak) replaceHost(t *rapid.T) {
	node := run.draw(t)
	for index, host := range run.hosts {
		if host.Name == node.member.Host {
			node.member.Host += "x"
			run.hosts[index].Name = node.member.Host
		}
	}
	run.start(node)
	run.listHosts()
}

// TestSoak runs random schedules of faults. Replay one with
// make soak SEED=N STEPS=N, where N are the values that a failure prints.
func TestSoak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		size := rapid.IntRange(1, 6).Draw(t, "nodes")
		witnesses := rapid.IntRange(1, 6).Draw(t, "witnesses")
		watches := rapid.IntRange(1, 5).Draw(t, "watches")
		run := soak{world: newLargeWorld(t, seed, size, witnesses, watches)}
		run.world.run(8 * time.Second)
		t.Repeat(run.actions())
		run.recover()
	})
}

// calm runs without faults; every node lists the hosts as often as a real one does.
func (run soak) calm(duration time.Duration) {
	for end := run.now + duration; run.now < end; {
		run.listHosts()
		run.world.run(2 * time.Second)
	}
}

// recover ends all faults and demands that the fleet works again.
func (run soak) recover() {
	run.tableDown, run.loseAnswers, run.loseMail = false, 0, 0
	for _, node := range run.nodes {
		node.cutOff, node.noTable, node.paused = false, false, false
		if node.dead || node.left {
			run.start(node)
		}
	}
	run.calm(3 * testTerm)
	for _, node := range run.nodes {
		if node.left {
			run.start(node)
		}
	}
	run.calm(testTerm)
	if fresh := freshNodes(run.world); fresh != len(run.nodes) {
		run.fail("after every fault has ended %d of %d nodes are fresh", fresh, len(run.nodes))
	}
	held := 0
	for _, count := range run.heldByNode() {
		held += count
	}
	if held != fleet.DefaultShareCount {
		run.fail("after every fault has ended %d shares are held", held)
	}
}
