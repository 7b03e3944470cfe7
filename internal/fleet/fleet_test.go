package fleet_test

import (
	"slices"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/fleet"
)

func countFresh(sim *simulation) int {
	count := 0
	for _, node := range sim.nodes {
		if !node.dead && !node.paused && node.core.Fresh(sim.clock(node)) {
			count++
		}
	}
	return count
}

func newStableSimulation(t *testing.T, seed uint64, size int) *simulation {
	t.Helper()
	sim := newSimulation(t, seed, size)
	sim.run(20 * time.Second)
	if fresh := countFresh(sim); fresh != size {
		t.Fatalf("after 20 s: got %d fresh nodes, want %d", fresh, size)
	}
	return sim
}

func TestSharesSpreadEvenly(t *testing.T) {
	sim := newStableSimulation(t, 1, 8)
	if held := sim.heldByNode(); !slices.Equal(held, []int{8, 8, 8, 8, 8, 8, 8, 8}) {
		t.Fatalf("shares by node: got %v, want 8 at each node", held)
	}
}

func TestPatchIsInForceEverywhereOnceAccepted(t *testing.T) {
	sim := newStableSimulation(t, 2, 8)
	id := sim.proposePatch(sim.nodes[3])
	sim.run(5 * time.Second)
	if sim.settled[id] != fleet.PatchAccepted {
		t.Fatalf("patch outcome: got %q, want Accepted", sim.settled[id])
	}
	for _, node := range sim.nodes {
		if node.core.Head().Version != 1 || node.core.Applied() != node.core.Head().Sequence {
			t.Fatalf("node %s: got version %d, want version 1 and every entry applied", node.member.Address, node.core.Head().Version)
		}
	}
}

func TestRacingPatchesExactlyOneIsAccepted(t *testing.T) {
	for seed := range uint64(20) {
		sim := newStableSimulation(t, 100+seed, 5)
		first, second := sim.proposePatch(sim.nodes[0]), sim.proposePatch(sim.nodes[1])
		sim.run(6 * time.Second)
		outcomes := []fleet.PatchOutcome{sim.settled[first], sim.settled[second]}
		slices.Sort(outcomes)
		if !slices.Equal(outcomes, []fleet.PatchOutcome{fleet.PatchAccepted, fleet.PatchStale}) {
			t.Fatalf("seed %d: got outcomes %v, want [Accepted Stale]", seed, outcomes)
		}
	}
}

func TestNodesStayFreshDuringTableOutage(t *testing.T) {
	sim := newStableSimulation(t, 3, 8)
	sim.tableDown = true
	sim.run(time.Minute)
	if fresh := countFresh(sim); fresh != 8 {
		t.Fatalf("during the table outage: got %d fresh nodes, want 8", fresh)
	}
	id := sim.proposePatch(sim.nodes[0])
	sim.run(10 * time.Second)
	if outcome := sim.settled[id]; outcome == fleet.PatchAccepted || outcome == "" {
		t.Fatalf("patch during the table outage: got outcome %q, want any but Accepted", outcome)
	}
}

func TestNodeCutOffFromEverythingStopsAdmitting(t *testing.T) {
	sim := newStableSimulation(t, 4, 8)
	sim.nodes[2].noPeers, sim.nodes[2].noTable = true, true
	sim.run(2 * time.Second)
	if sim.nodes[2].core.Fresh(sim.clock(sim.nodes[2])) {
		t.Fatal("node without table and peers: got fresh, want not fresh after 2 s")
	}
}

func TestMinorityCutOffFromTableAndPeersStopsAdmitting(t *testing.T) {
	sim := newStableSimulation(t, 5, 8)
	id := ""
	// Three nodes reach neither the table nor any peer; the other five work on.
	for _, node := range sim.nodes[:3] {
		node.noPeers, node.noTable = true, true
	}
	sim.run(2 * time.Second)
	id = sim.proposePatch(sim.nodes[5])
	sim.run(5 * time.Second)
	if sim.settled[id] != fleet.PatchAccepted {
		t.Fatalf("patch outcome: got %q, want Accepted", sim.settled[id])
	}
	if fresh := countFresh(sim); fresh != 5 {
		t.Fatalf("got %d fresh nodes, want 5", fresh)
	}
}

func TestPatchWithoutMajorityIsRolledBack(t *testing.T) {
	sim := newStableSimulation(t, 6, 8)
	for _, node := range sim.nodes[:5] {
		node.noPeers, node.noTable = true, true
	}
	id := sim.proposePatch(sim.nodes[7])
	sim.run(6 * time.Second)
	if sim.settled[id] != fleet.PatchRejected {
		t.Fatalf("patch outcome: got %q, want Rejected", sim.settled[id])
	}
	for _, node := range sim.nodes[:5] {
		node.noPeers, node.noTable = false, false
	}
	sim.run(5 * time.Second)
	for _, node := range sim.nodes {
		if head := node.core.Head(); head.Version != 0 || head.Proposal != nil {
			t.Fatalf("node %s: got version %d, want version 0 and no proposal", node.member.Address, head.Version)
		}
	}
}

func TestRestartedNodeRegainsSharesBeforeLeaseExpiry(t *testing.T) {
	sim := newStableSimulation(t, 7, 8)
	sim.nodes[4].dead = true
	sim.run(time.Second)
	sim.start(sim.nodes[4])
	sim.run(8 * time.Second)
	if held := sim.heldByNode(); held[0] != 8 {
		t.Fatalf("shares by node: got %v, want 8 at each node", held)
	}
}

// TestReportToAnEarlierProcessIsNotTakenForTheNextOnes guards against a late report that
// confirms the configuration of a process as of a round that it has only begun since: rounds
// of two processes at one address must not have the same number.
func TestReportToAnEarlierProcessIsNotTakenForTheNextOnes(t *testing.T) {
	sim := newStableSimulation(t, 9, 4)
	earlier := sim.nodes[2].core
	sim.start(sim.nodes[2])
	sim.run(20 * time.Second)
	next := sim.nodes[2].core
	if len(sim.rounds[earlier]) == 0 || len(sim.rounds[next]) == 0 {
		t.Fatalf("got %d and %d rounds of the two processes, want some of both", len(sim.rounds[earlier]), len(sim.rounds[next]))
	}
	for round := range sim.rounds[next] {
		if sim.rounds[earlier][round] {
			t.Fatalf("round %d: got it from two processes at one address, want numbers of their own", round)
		}
	}
}

func TestPausedNodeRegainsEvenShareAfterLeaseExpiry(t *testing.T) {
	sim := newStableSimulation(t, 8, 4)
	sim.nodes[1].paused = true
	sim.run(2 * testTerm)
	sim.nodes[1].paused = false
	sim.run(10 * time.Second)
	if held := sim.heldByNode(); !slices.Equal(held, []int{16, 16, 16, 16}) {
		t.Fatalf("shares by node: got %v, want 16 at each node", held)
	}
}

func TestLastNodeTakesOverFromLostHosts(t *testing.T) {
	sim := newStableSimulation(t, 9, 4)
	for _, node := range sim.nodes[:3] {
		node.dead = true
	}
	sim.hosts = sim.hosts[3:]
	sim.listHosts()
	sim.run(15 * time.Second)
	if members := len(sim.nodes[3].core.Head().Members); members != 1 {
		t.Fatalf("members: got %d, want 1", members)
	}
	sim.run(5 * time.Second)
	if held := sim.nodes[3].core.SharesHeld(sim.clock(sim.nodes[3])); held != fleet.DefaultShareCount {
		t.Fatalf("shares of the last node: got %d, want all", held)
	}
}

func TestLeavingNodeReleasesItsShares(t *testing.T) {
	sim := newStableSimulation(t, 10, 4)
	leaver := sim.nodes[0]
	sim.perform(leaver, leaver.core.Step(sim.clock(leaver), fleet.LeaveRequested{}))
	sim.run(5 * time.Second)
	if !leaver.left {
		t.Fatal("leaving node: got no Left effect within 5 s, want one")
	}
	leaver.dead = true
	sim.run(10 * time.Second)
	if held := sim.heldByNode(); held[0] < 21 {
		t.Fatalf("shares by node: got %v, want at least 21 at each node", held)
	}
}

// TestLateCommitAnswerKeepsHeadVersion replays a schedule in which a read shows a
// proposal before its write is answered. If the answer then advances the row
// version once more, the version is too high and every later write fails.
func TestLateCommitAnswerKeepsHeadVersion(t *testing.T) {
	newStableSimulation(t, 3, 6)
}

// TestLateRemovalDoesNotAffectRestartedNode replays a schedule in which a process left,
// its removal was accepted late, and the next process at the same address already held
// shares. The late removal must not take away the shares of the next process.
func TestLateRemovalDoesNotAffectRestartedNode(t *testing.T) {
	sim := newStableSimulation(t, 1, 2)
	leaver := sim.nodes[1]
	sim.nodes[0].noPeers = true
	sim.perform(leaver, leaver.core.Step(sim.clock(leaver), fleet.LeaveRequested{}))
	sim.run(400 * time.Millisecond)
	leaver.dead = true
	sim.run(time.Second)
	sim.nodes[0].noPeers = false
	sim.start(leaver)
	sim.run(20 * time.Second)
	if held := sim.heldByNode(); !slices.Equal(held, []int{32, 32}) {
		t.Fatalf("shares by node: got %v, want 32 at each node", held)
	}
}

// TestLargeFleetReadsTableThroughRelays lets 5 of 24 members be witnesses and relays,
// and each node watch 4 members. The other 19 nodes must stay fresh almost without
// reads of their own, also while the table is down, and every node must learn from
// the watchers that a member has died.
func TestLargeFleetReadsTableThroughRelays(t *testing.T) {
	sim := newLimitedSimulation(t, 11, 24, 5, 4)
	sim.run(40 * time.Second)
	if fresh := countFresh(sim); fresh != 24 {
		t.Fatalf("after 40 s: got %d fresh nodes, want 24", fresh)
	}
	before, _ := sim.table.Counts()
	sim.run(20 * time.Second)
	after, _ := sim.table.Counts()
	// The simulation itself reads the head row once per step.
	ownReads := uint64(20 * time.Second / simulationStep)
	// 5 relays each read 2 rows four times a second and 5 leases a second; the 19
	// other nodes each read 2 rows every 32 s.
	if expected := uint64(20 * (5*(2*4+5) + 19*2/32)); after-before-ownReads > expected*5/4 {
		t.Errorf("rows read in 20 s: got %d, want at most 5/4 of %d", after-before-ownReads, expected)
	}
	id := sim.proposePatch(sim.nodes[20])
	sim.run(5 * time.Second)
	if sim.settled[id] != fleet.PatchAccepted {
		t.Fatalf("patch outcome: got %q, want Accepted", sim.settled[id])
	}
	sim.tableDown = true
	sim.run(20 * time.Second)
	if fresh := countFresh(sim); fresh != 24 {
		t.Fatalf("during the table outage: got %d fresh nodes, want 24", fresh)
	}
	sim.nodes[3].dead = true
	sim.run(12 * time.Second)
	for index, node := range sim.nodes {
		if index != 3 && len(node.core.Live(sim.clock(node))) != 23 {
			t.Fatalf("node %d: got %d live members, want 23", index, len(node.core.Live(sim.clock(node))))
		}
	}
}

// TestPatchSettlesOnlyWhenInForceEverywhere cuts a node off from the table and
// drops 60 % of all messages. The simulation checks that every node which admits
// work has applied the entry of a patch once the patch is reported as accepted.
func TestPatchSettlesOnlyWhenInForceEverywhere(t *testing.T) {
	for seed := range uint64(10) {
		sim := newStableSimulation(t, 200+seed, 5)
		sim.nodes[1].noTable = true
		sim.messageLoss = 0.6
		id := sim.proposePatch(sim.nodes[0])
		sim.run(8 * time.Second)
		if sim.settled[id] == "" {
			t.Fatalf("seed %d: got no patch outcome within 8 s, want one", seed)
		}
	}
}

// TestGreedyAccountGetsItsFullRate shows that the simulation's check of the spent
// tokens is not met trivially.
func TestGreedyAccountGetsItsFullRate(t *testing.T) {
	sim := newStableSimulation(t, 12, 8)
	spent := 0.0
	before := sim.excess
	for range 500 {
		sim.step()
		spent += sim.excess - before + greedy.Rate*simulationStep.Seconds()
		before = sim.excess
	}
	if least := 0.9 * greedy.Rate * (500 * simulationStep).Seconds(); spent < least {
		t.Fatalf("tokens spent: got %f, want at least %f", spent, least)
	}
}

// TestReplacementHostDoesNotConfirmForOldMember starts a process on a new host at
// the address of a member on a lost host. That process has read the table before an
// entry is accepted, so its reports must not count as that member's: otherwise
// they would keep a node without the entry fresh.
func TestReplacementHostDoesNotConfirmForOldMember(t *testing.T) {
	sim := newStableSimulation(t, 61, 4)
	isolated, replaced := sim.nodes[0], sim.nodes[3]
	replaced.member.Host += "x"
	sim.start(replaced)
	for replaced.core.Head().Row == 0 {
		sim.step()
	}
	replaced.noTable, isolated.noTable = true, true
	for _, other := range sim.nodes[1:3] {
		sim.cutLink(isolated, other)
		sim.cutLink(replaced, other)
	}
	sim.hosts[3].Name = replaced.member.Host
	sim.listHosts()
	for range 60 {
		sim.run(500 * time.Millisecond)
		sim.proposePatch(sim.nodes[1])
	}
	if sim.nodes[1].core.Head().Sequence == isolated.core.Head().Sequence {
		t.Fatal("isolated node: got the sequence of the other nodes, want an older one, since entries were accepted meanwhile")
	}
}
