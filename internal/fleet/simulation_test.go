package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/fleet"
	"mimosatide.example/mimosatide/internal/limit"
	"mimosatide.example/mimosatide/internal/platform"
)

const (
	simulationStep = 20 * time.Millisecond
	// testTerm is short, so that leases expire within a run.
	testTerm = 12 * time.Second
	// maxClockError is the largest error in rate of a node's clock, as a fraction.
	maxClockError = 0.02
)

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// simulation runs several cores against one table over a lossy network. Its
// randomness comes from one seed.
type simulation struct {
	t        testingT
	random   *rand.Rand
	seed     uint64
	now      time.Duration
	table    *platform.MemoryTable
	nodes    []*simulatedNode
	inFlight []delivery
	// tableDown and commitAnswerLoss are faults of the table.
	// commitAnswerLoss and messageLoss are probabilities.
	tableDown        bool
	commitAnswerLoss float64
	messageLoss      float64
	hosts            []mimosatide.Host
	patchCount       int
	// accepted holds the entries of the log by sequence, settled the outcomes of
	// patches by id, and acceptanceReported when the patch of an entry was reported
	// as accepted, by sequence.
	accepted           map[uint64]acceptedEntry
	settled            map[string]fleet.PatchOutcome
	acceptanceReported map[uint64]time.Duration
	processCount       int
	headRow            mimosatide.RowVersion
	// excess is the number of tokens spent beyond the greedy account's rate.
	excess    float64
	lastSpend time.Duration
	// witnessLimit and watchLimit are settings of the cores.
	witnessLimit int
	watchLimit   int
	// rounds holds the rounds of each process's pings.
	rounds map[*fleet.Core]map[uint64]bool
	// cutLinks holds the pairs of addresses between which no message passes.
	cutLinks map[[2]string]bool
}

// greedy is an account that spends as much as it is granted at every node.
var greedy = mimosatide.Account{Name: "greedy", Rate: 1000, Burst: 2000}

const greedyTokens = 20

type acceptedEntry struct {
	nonce string
	at    time.Duration
}

type simulatedNode struct {
	member mimosatide.Member
	core   *fleet.Core
	// rate and offset are those of the node's clock.
	rate    float64
	offset  time.Duration
	paused  bool
	dead    bool
	noPeers bool
	noTable bool
	// entries holds the nonces of the applied entries by sequence.
	entries map[uint64]string
	inbox   []fleet.Event
	left    bool
	limiter *limit.Limiter
}

type delivery struct {
	at    time.Duration
	to    *simulatedNode
	core  *fleet.Core
	event fleet.Event
}

// outlivesProcess reports whether the event reaches the next process at the node's address
// if it arrives late: a peer's message does, as the peer dials again, an answer of the table
// does not.
func (delivery delivery) outlivesProcess() bool {
	_, message := delivery.event.(fleet.Received)
	return message
}

func newSimulation(t testingT, seed uint64, size int) *simulation {
	return newLimitedSimulation(t, seed, size, fleet.DefaultWitnessLimit, fleet.DefaultWatchLimit)
}

// newLimitedSimulation limits the witnesses and the watched members, so that a few
// nodes show the behaviour of a large fleet.
func newLimitedSimulation(t testingT, seed uint64, size, witnessLimit, watchLimit int) *simulation {
	sim := &simulation{
		witnessLimit:       witnessLimit,
		watchLimit:         watchLimit,
		t:                  t,
		random:             rand.New(rand.NewPCG(seed, 7)),
		seed:               seed,
		table:              platform.NewMemoryTable(),
		accepted:           map[uint64]acceptedEntry{},
		settled:            map[string]fleet.PatchOutcome{},
		acceptanceReported: map[uint64]time.Duration{},
		rounds:             map[*fleet.Core]map[uint64]bool{},
		cutLinks:           map[[2]string]bool{},
	}
	for index := range size {
		member := mimosatide.Member{
			Address: fmt.Sprintf("127.0.0.1:%d", 7000+index),
			Host:    fmt.Sprintf("host-%d", index),
			Zone:    fmt.Sprintf("zone-%d", index%3),
		}
		node := &simulatedNode{member: member}
		sim.nodes = append(sim.nodes, node)
		sim.hosts = append(sim.hosts, mimosatide.Host{Name: member.Host, State: mimosatide.HostLive})
		sim.start(node)
	}
	return sim
}

// start starts a new process at the node's address.
func (sim *simulation) start(node *simulatedNode) {
	sim.processCount++
	settings := fleet.DefaultSettings(node.member, fmt.Sprintf("process-%d", sim.processCount))
	settings.LeaseTerm = testTerm
	settings.RenewEvery = 2 * time.Second
	settings.LeaseReadEvery = time.Second
	settings.WitnessLimit, settings.RelayLimit, settings.WatchLimit = sim.witnessLimit, sim.witnessLimit, sim.watchLimit
	node.core = fleet.New(settings)
	sim.rounds[node.core] = map[uint64]bool{}
	node.rate = 1 + (sim.random.Float64()*2-1)*maxClockError
	node.offset = time.Duration(sim.random.Int64N(int64(time.Hour)))
	node.entries = map[uint64]string{}
	limiterSettings := limit.DefaultSettings()
	limiterSettings.RateMargin = maxClockError
	node.limiter = limit.New(limiterSettings)
	node.limiter.SetAccount(sim.clock(node), greedy)
	node.dead, node.paused, node.left = false, false, false
	node.inbox = nil
}

func (sim *simulation) clock(node *simulatedNode) time.Duration {
	return node.offset + time.Duration(float64(sim.now)*node.rate)
}

func (sim *simulation) run(duration time.Duration) {
	for end := sim.now + duration; sim.now < end; {
		sim.step()
	}
}

func (sim *simulation) step() {
	sim.now += simulationStep
	sim.deliver()
	for _, node := range sim.nodes {
		if node.dead || node.paused {
			continue
		}
		events := append(node.inbox, fleet.Tick{})
		node.inbox = nil
		for _, event := range events {
			sim.perform(node, node.core.Step(sim.clock(node), event))
		}
		sim.spend(node)
	}
	sim.recordAcceptedEntry()
	sim.checkInvariants()
}

// spend spends all that the node's limiter grants, and checks that in any interval all
// nodes together grant no more than the burst plus the rate.
func (sim *simulation) spend(node *simulatedNode) {
	for {
		if _, granted := node.limiter.Spend(sim.clock(node), greedy.Name, greedyTokens); !granted {
			return
		}
		sim.excess = max(0, sim.excess-greedy.Rate*(sim.now-sim.lastSpend).Seconds()) + greedyTokens
		sim.lastSpend = sim.now
		if sim.excess > greedy.Burst {
			sim.fail("tokens spent beyond the rate: got %f, want at most the burst of %f", sim.excess, greedy.Burst)
		}
	}
}

func (sim *simulation) deliver() {
	deliveries := sim.inFlight
	sim.inFlight = nil
	for _, delivery := range deliveries {
		switch {
		case delivery.at > sim.now:
			sim.inFlight = append(sim.inFlight, delivery)
		case !delivery.to.dead && (delivery.to.core == delivery.core || delivery.outlivesProcess()):
			// A paused process receives its messages when it resumes, from its socket buffers.
			delivery.to.inbox = append(delivery.to.inbox, delivery.event)
		}
	}
}

func (sim *simulation) sendLater(to *simulatedNode, event fleet.Event, slowest time.Duration) {
	delay := time.Duration(sim.random.Int64N(int64(slowest)))
	sim.inFlight = append(sim.inFlight, delivery{at: sim.now + delay, to: to, core: to.core, event: event})
}

func (sim *simulation) perform(node *simulatedNode, effects []fleet.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case fleet.ReadTable:
			sim.readTable(node, effect)
		case fleet.CommitTable:
			sim.commitTable(node, effect)
		case fleet.SendMessage:
			sim.sendMessage(node, effect)
		case fleet.ApplyEntry:
			sim.applyEntry(node, effect)
		case fleet.PatchResult:
			sim.recordPatchResult(effect)
		case fleet.ReportShares:
			node.limiter.SetShares(sim.clock(node), effect.Held, effect.Until)
		case fleet.Left:
			node.left = true
		}
	}
}

func (sim *simulation) tableFails(node *simulatedNode) bool {
	return sim.tableDown || node.noTable
}

func (sim *simulation) readTable(node *simulatedNode, effect fleet.ReadTable) {
	if sim.tableFails(node) {
		sim.sendLater(node, fleet.TableRead{Call: effect.Call, Failed: true}, 800*time.Millisecond)
		return
	}
	rows, _ := sim.table.Read(context.Background(), effect.Keys...)
	sim.sendLater(node, fleet.TableRead{Call: effect.Call, Rows: rows}, 60*time.Millisecond)
}

func (sim *simulation) commitTable(node *simulatedNode, effect fleet.CommitTable) {
	if sim.tableFails(node) {
		sim.sendLater(node, fleet.TableCommitted{Call: effect.Call}, 800*time.Millisecond)
		return
	}
	outcome := sim.table.Commit(context.Background(), effect.Transaction)
	if sim.random.Float64() < sim.commitAnswerLoss {
		outcome = mimosatide.CommitUnknown
	}
	sim.sendLater(node, fleet.TableCommitted{Call: effect.Call, Outcome: outcome}, 60*time.Millisecond)
}

func (sim *simulation) sendMessage(from *simulatedNode, effect fleet.SendMessage) {
	if ping, ok := effect.Message.(fleet.Ping); ok {
		sim.rounds[from.core][ping.Round] = true
	}
	to := sim.find(effect.To)
	if sim.cutLinks[[2]string{from.member.Address, effect.To}] {
		return
	}
	if to == nil || from.noPeers || to.noPeers || to.dead || sim.random.Float64() < sim.messageLoss {
		return
	}
	// One message in ten arrives twice.
	copies := 1 + sim.random.IntN(10)/9
	for range copies {
		sim.sendLater(to, fleet.Received{From: from.member.Address, Message: effect.Message}, 120*time.Millisecond)
	}
}

// cutLink drops all messages between two nodes.
func (sim *simulation) cutLink(first, second *simulatedNode) {
	sim.cutLinks[[2]string{first.member.Address, second.member.Address}] = true
	sim.cutLinks[[2]string{second.member.Address, first.member.Address}] = true
}

func (sim *simulation) find(address string) *simulatedNode {
	for _, node := range sim.nodes {
		if node.member.Address == address {
			return node
		}
	}
	return nil
}

func (sim *simulation) applyEntry(node *simulatedNode, effect fleet.ApplyEntry) {
	node.entries[effect.Sequence] = effect.Entry.Nonce
	known, found := sim.accepted[effect.Sequence]
	if found && known.nonce != effect.Entry.Nonce {
		sim.fail("node %s: got %s as entry %d, want %s", node.member.Address, effect.Entry.Nonce, effect.Sequence, known.nonce)
	}
}

func (sim *simulation) recordPatchResult(result fleet.PatchResult) {
	sim.settled[result.ID] = result.Outcome
	if result.Outcome != fleet.PatchAccepted {
		return
	}
	for sequence, entry := range sim.accepted {
		if row, _ := sim.table.Read(context.Background(), fleet.EntryKey(sequence)); len(row) == 1 {
			decoded, _ := fleet.DecodeEntry(row[0].Value)
			if decoded.PatchID == result.ID && decoded.Nonce == entry.nonce {
				sim.acceptanceReported[sequence] = sim.now
				return
			}
		}
	}
	sim.fail("patch %s: got outcome Accepted without an entry in the log, want an entry", result.ID)
}

// recordAcceptedEntry records the head's newest entry and when it was accepted.
func (sim *simulation) recordAcceptedEntry() {
	rows, _ := sim.table.Read(context.Background(), fleet.HeadKey)
	if len(rows) == 0 || rows[0].Version == sim.headRow {
		return
	}
	sim.headRow = rows[0].Version
	head, err := fleet.DecodeHead(rows[0].Version, rows[0].Value)
	if err != nil {
		sim.fail("decode head row: got error %v, want none", err)
	}
	if head.Last == nil {
		return
	}
	if _, noted := sim.accepted[head.Sequence]; !noted {
		sim.accepted[head.Sequence] = acceptedEntry{nonce: head.Last.Nonce, at: sim.now}
	}
}

func (sim *simulation) checkInvariants() {
	sim.checkShares()
	for _, node := range sim.nodes {
		if !node.dead && !node.paused && node.core.Fresh(sim.clock(node)) {
			sim.checkFresh(node)
		}
	}
}

// checkShares checks that the processes together hold no more shares than there are.
func (sim *simulation) checkShares() {
	held := 0
	for _, node := range sim.nodes {
		// A paused process counts as well, because it may be about to spend.
		if !node.dead {
			held += node.core.SharesHeld(sim.clock(node))
		}
	}
	if held > fleet.DefaultShareCount {
		sim.fail("held shares: got %d, want at most %d", held, fleet.DefaultShareCount)
	}
}

// checkFresh checks that a fresh node has applied every entry whose patch has been
// reported as accepted, and knows, at least as a proposal, every entry that was
// accepted longer ago than the freshness bound of 1.5 s.
func (sim *simulation) checkFresh(node *simulatedNode) {
	head := node.core.Head()
	for sequence, entry := range sim.accepted {
		if node.entries[sequence] != "" {
			continue
		}
		pending := head.Proposal != nil && head.Proposal.Nonce == entry.nonce
		if settled, known := sim.acceptanceReported[sequence]; known && sim.now > settled {
			sim.fail("fresh node %s: got no entry %d, want it, reported as accepted at %s", node.member.Address, sequence, settled)
		}
		if !pending && sim.now-entry.at > 1500*time.Millisecond+simulationStep {
			sim.fail("fresh node %s: got no entry or proposal %d, want it, accepted at %s", node.member.Address, sequence, entry.at)
		}
	}
}

func (sim *simulation) fail(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf("seed %d at %s: %s", sim.seed, sim.now, fmt.Sprintf(format, args...))
}

func (sim *simulation) proposePatch(node *simulatedNode) string {
	sim.patchCount++
	id := fmt.Sprintf("patch-%d", sim.patchCount)
	event := fleet.PatchRequested{ID: id, Base: node.core.Head().Version, Changes: []byte(id)}
	sim.perform(node, node.core.Step(sim.clock(node), event))
	return id
}

func (sim *simulation) listHosts() {
	for _, node := range sim.nodes {
		if !node.dead && !node.paused {
			sim.perform(node, node.core.Step(sim.clock(node), fleet.HostsListed{Hosts: sim.hosts}))
		}
	}
}

func (sim *simulation) heldByNode() []int {
	var held []int
	for _, node := range sim.nodes {
		if !node.dead {
			held = append(held, node.core.SharesHeld(sim.clock(node)))
		}
	}
	sort.Ints(held)
	return held
}
