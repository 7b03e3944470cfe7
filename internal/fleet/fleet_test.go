package fleet_test

import (
	"slices"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/fleet"
)

func freshNodes(w *world) int {
	count := 0
	for _, node := range w.nodes {
		if !node.dead && !node.paused && node.core.Fresh(w.clock(node)) {
			count++
		}
	}
	return count
}

func settledWorld(t *testing.T, seed uint64, size int) *world {
	t.Helper()
	w := newWorld(t, seed, size)
	w.run(20 * time.Second)
	if fresh := freshNodes(w); fresh != size {
		t.Fatalf("%d of %d nodes are fresh", fresh, size)
	}
	return w
}

func TestSharesSpreadEvenly(t *testing.T) {
	w := settledWorld(t, 1, 8)
	if held := w.heldByNode(); !slices.Equal(held, []int{8, 8, 8, 8, 8, 8, 8, 8}) {
		t.Fatalf("shares %v", held)
	}
}

func TestPatchIsInForceEverywhereOnceAccepted(t *testing.T) {
	w := settledWorld(t, 2, 8)
	id := w.ask(w.nodes[3])
	w.run(5 * time.Second)
	if w.settled[id] != fleet.PatchAccepted {
		t.Fatalf("patch ended %q", w.settled[id])
	}
	for _, node := range w.nodes {
		if node.core.Head().Version != 1 || node.core.Applied() != node.core.Head().Sequence {
			t.Fatalf("node %s has version %d", node.member.Address, node.core.Head().Version)
		}
	}
}

func TestRacingPatchesOneIsAccepted(t *testing.T) {
	for seed := range uint64(20) {
		w := settledWorld(t, 100+seed, 5)
		first, second := w.ask(w.nodes[0]), w.ask(w.nodes[1])
		w.run(6 * time.Second)
		outcomes := []fleet.PatchOutcome{w.settled[first], w.settled[second]}
		slices.Sort(outcomes)
		if !slices.Equal(outcomes, []fleet.PatchOutcome{fleet.PatchAccepted, fleet.PatchStale}) {
			t.Fatalf("seed %d: outcomes %v", seed, outcomes)
		}
	}
}

func TestWarmServingSurvivesTableOutage(t *testing.T) {
	w := settledWorld(t, 3, 8)
	w.tableDown = true
	w.run(time.Minute)
	if fresh := freshNodes(w); fresh != 8 {
		t.Fatalf("only %d nodes are fresh in an outage", fresh)
	}
	id := w.ask(w.nodes[0])
	w.run(10 * time.Second)
	if outcome := w.settled[id]; outcome == fleet.PatchAccepted || outcome == "" {
		t.Fatalf("a patch during the outage ended %q", outcome)
	}
}

func TestNodeCutOffFromEverythingStopsAdmitting(t *testing.T) {
	w := settledWorld(t, 4, 8)
	w.nodes[2].cutOff, w.nodes[2].noTable = true, true
	w.run(2 * time.Second)
	if w.nodes[2].core.Fresh(w.clock(w.nodes[2])) {
		t.Fatal("a node that hears nothing admits work")
	}
}

func TestMinorityCutOffFromTableAndMajorityStops(t *testing.T) {
	w := settledWorld(t, 5, 8)
	id := ""
	// Three nodes lose the table and all peers; the others go on.
	for _, node := range w.nodes[:3] {
		node.cutOff, node.noTable = true, true
	}
	w.run(2 * time.Second)
	id = w.ask(w.nodes[5])
	w.run(5 * time.Second)
	if w.settled[id] != fleet.PatchAccepted {
		t.Fatalf("patch ended %q", w.settled[id])
	}
	if fresh := freshNodes(w); fresh != 5 {
		t.Fatalf("%d nodes admit work", fresh)
	}
}

func TestPatchWithoutMajorityLeavesNoTrace(t *testing.T) {
	w := settledWorld(t, 6, 8)
	for _, node := range w.nodes[:5] {
		node.cutOff, node.noTable = true, true
	}
	id := w.ask(w.nodes[7])
	w.run(6 * time.Second)
	if w.settled[id] != fleet.PatchRejected {
		t.Fatalf("patch ended %q", w.settled[id])
	}
	for _, node := range w.nodes[:5] {
		node.cutOff, node.noTable = false, false
	}
	w.run(5 * time.Second)
	for _, node := range w.nodes {
		if head := node.core.Head(); head.Version != 0 || head.Proposal != nil {
			t.Fatalf("node %s keeps version %d", node.member.Address, head.Version)
		}
	}
}

func TestRestartAtSameAddressGetsSharesBackEarly(t *testing.T) {
	w := settledWorld(t, 7, 8)
	w.nodes[4].dead = true
	w.run(time.Second)
	w.start(w.nodes[4])
	w.run(8 * time.Second)
	if held := w.heldByNode(); held[0] != 8 {
		t.Fatalf("shares %v", held)
	}
}

func TestPausedNodeLosesItsSharesOnlyOnce(t *testing.T) {
	w := settledWorld(t, 8, 4)
	w.nodes[1].paused = true
	w.run(2 * testTerm)
	w.nodes[1].paused = false
	w.run(10 * time.Second)
	if held := w.heldByNode(); !slices.Equal(held, []int{16, 16, 16, 16}) {
		t.Fatalf("shares %v", held)
	}
}

func TestReplacedHostsTakeOver(t *testing.T) {
	w := settledWorld(t, 9, 4)
	for _, node := range w.nodes[:3] {
		node.dead = true
	}
	w.hosts = w.hosts[3:]
	w.listHosts()
	w.run(15 * time.Second)
	if members := len(w.nodes[3].core.Head().Members); members != 1 {
		t.Fatalf("%d members are left", members)
	}
	w.run(5 * time.Second)
	if held := w.nodes[3].core.SharesHeld(w.clock(w.nodes[3])); held != fleet.DefaultShareCount {
		t.Fatalf("the last node holds %d shares", held)
	}
}

func TestLeavingNodeReleasesAll(t *testing.T) {
	w := settledWorld(t, 10, 4)
	leaver := w.nodes[0]
	w.perform(leaver, leaver.core.Step(w.clock(leaver), fleet.LeaveAsked{}))
	w.run(5 * time.Second)
	if !leaver.left {
		t.Fatal("the node never left")
	}
	leaver.dead = true
	w.run(10 * time.Second)
	if held := w.heldByNode(); held[0] < 21 {
		t.Fatalf("shares %v", held)
	}
}

// TestAnswerBehindReadLeavesTheHeadRight replays a schedule in which a read
// showed a proposal before its own write was answered; the node then took the
// head for one row newer than it was, and every later write failed.
func TestAnswerBehindReadLeavesTheHeadRight(t *testing.T) {
	settledWorld(t, 3, 6)
}

// TestOldRemovalDoesNotStripTheSuccessor replays a schedule in which a process
// left, its removal was accepted late, and the next process at the same address
// already held shares.
func TestOldRemovalDoesNotStripTheSuccessor(t *testing.T) {
	w := settledWorld(t, 1, 2)
	leaver := w.nodes[1]
	w.nodes[0].cutOff = true
	w.perform(leaver, leaver.core.Step(w.clock(leaver), fleet.LeaveAsked{}))
	w.run(400 * time.Millisecond)
	leaver.dead = true
	w.run(time.Second)
	w.nodes[0].cutOff = false
	w.start(leaver)
	w.run(20 * time.Second)
	if held := w.heldByNode(); !slices.Equal(held, []int{32, 32}) {
		t.Fatalf("shares %v", held)
	}
}

func TestLargeFleetReadsThroughItsWitnesses(t *testing.T) {
	w := newLargeWorld(t, 11, 24, 5, 4)
	w.run(40 * time.Second)
	if fresh := freshNodes(w); fresh != 24 {
		t.Fatalf("%d nodes are fresh", fresh)
	}
	before, _ := w.table.Counts()
	w.run(20 * time.Second)
	after, _ := w.table.Counts()
	// The world's own watch of the head reads one row a step.
	own := uint64(20 * time.Second / worldStep)
	// 5 relays read 2 rows four times a second and 5 leases a second; 19 others read 2 rows every 32 s.
	if expected := uint64(20 * (5*(2*4+5) + 19*2/32)); after-before-own > expected*5/4 {
		t.Errorf("%d rows were read in 20 s, %d are expected", after-before-own, expected)
	}
	id := w.ask(w.nodes[20])
	w.run(5 * time.Second)
	if w.settled[id] != fleet.PatchAccepted {
		t.Fatalf("patch ended %q", w.settled[id])
	}
	w.tableDown = true
	w.run(20 * time.Second)
	if fresh := freshNodes(w); fresh != 24 {
		t.Fatalf("%d nodes are fresh in an outage", fresh)
	}
	w.nodes[3].dead = true
	w.run(12 * time.Second)
	for index, node := range w.nodes {
		if index != 3 && len(node.core.Live(w.clock(node))) != 23 {
			t.Fatalf("node %d takes %d members for live", index, len(node.core.Live(w.clock(node))))
		}
	}
}

// TestGrantWaitsForEveryNode cuts a node off from the table and from the node
// that carries the patch; the world's check demands that a settled patch is in
// force at every node that admits work.
func TestGrantWaitsForEveryNode(t *testing.T) {
	for seed := range uint64(10) {
		w := settledWorld(t, 200+seed, 5)
		w.nodes[1].noTable = true
		w.loseMail = 0.6
		id := w.ask(w.nodes[0])
		w.run(8 * time.Second)
		if w.settled[id] == "" {
			t.Fatalf("seed %d: the patch was never settled", seed)
		}
	}
}

// TestGreedyAccountGetsItsWholeRate makes sure that the worlds' spends are worth checking.
func TestGreedyAccountGetsItsWholeRate(t *testing.T) {
	w := settledWorld(t, 12, 8)
	spent := 0.0
	before := w.excess
	for range 500 {
		w.step()
		spent += w.excess - before + greedy.Rate*worldStep.Seconds()
		before = w.excess
	}
	if least := 0.9 * greedy.Rate * (500 * worldStep).Seconds(); spent < least {
		t.Fatalf("%f tokens were spent, at least %f are due", spent, least)
	}
}

// A process that took over the address of a member on a lost host has read the
// table before an entry was accepted: it must not vouch for that member.
func TestReplacedHostDoesNotSpeakForItsMember(t *testing.T) {
	w := settledWorld(t, 61, 4)
	lonely, replaced := w.nodes[0], w.nodes[3]
	replaced.member.Host += "x"
	w.start(replaced)
	for replaced.core.Head().Row == 0 {
		w.step()
	}
	replaced.noTable, lonely.noTable = true, true
	for _, other := range w.nodes[1:3] {
		w.cutLink(lonely, other)
		w.cutLink(replaced, other)
	}
	w.hosts[3].Name = replaced.member.Host
	w.listHosts()
	for range 60 {
		w.run(500 * time.Millisecond)
		w.ask(w.nodes[1])
	}
	if w.nodes[1].core.Head().Sequence == lonely.core.Head().Sequence {
		t.Fatal("no entry was accepted meanwhile")
	}
}
