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
	worldStep = 20 * time.Millisecond
	// testTerm is short, so that lapses happen within a run.
	testTerm = 12 * time.Second
	// clockError is the largest error in rate of a host's clock in the runs.
	clockError = 0.02
)

// failer is a test of the standard library or of rapid.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// world runs several cores against one table over a lossy network, from one seed.
type world struct {
	t      failer
	random *rand.Rand
	seed   uint64
	now    time.Duration
	table  *platform.MemoryTable
	nodes  []*worldNode
	mail   []worldMail
	// tableDown and loseAnswers are faults of the platform.
	tableDown   bool
	loseAnswers float64
	loseMail    float64
	hosts       []mimosatide.Host
	patches     int
	accepted    map[uint64]acceptedEntry
	settled     map[string]fleet.PatchOutcome
	settledAt   map[uint64]time.Duration
	starts      int
	headRow     mimosatide.RowVersion
	// excess is how far the spends run ahead of the account's rate.
	excess    float64
	lastSpend time.Duration
	// witnesses and watches are the limits of the fleet's settings.
	witnesses int
	watches   int
	// cutLinks holds the pairs of addresses between which no message passes.
	cutLinks map[[2]string]bool
}

// greedy asks for far more than its rate at every node all the time.
var greedy = mimosatide.Account{Name: "greedy", Rate: 1000, Burst: 2000}

const greedyTokens = 20

type acceptedEntry struct {
	nonce string
	at    time.Duration
}

type worldNode struct {
	member  mimosatide.Member
	core    *fleet.Core
	rate    float64
	offset  time.Duration
	paused  bool
	dead    bool
	cutOff  bool
	noTable bool
	entries map[uint64]string
	inbox   []fleet.Event
	left    bool
	bank    *limit.Bank
}

type worldMail struct {
	at   time.Duration
	to   *worldNode
	core *fleet.Core
	item fleet.Event
}

func newWorld(t failer, seed uint64, size int) *world {
	return newLargeWorld(t, seed, size, fleet.DefaultWitnessLimit, fleet.DefaultWatchLimit)
}

// newLargeWorld lets a few witnesses stand for the other members, as in a large fleet.
func newLargeWorld(t failer, seed uint64, size, witnesses, watches int) *world {
	w := &world{
		witnesses: witnesses,
		watches:   watches,
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 7)),
		seed:      seed,
		table:     platform.NewMemoryTable(),
		accepted:  map[uint64]acceptedEntry{},
		settled:   map[string]fleet.PatchOutcome{},
		settledAt: map[uint64]time.Duration{},
		cutLinks:  map[[2]string]bool{},
	}
	for index := range size {
		member := mimosatide.Member{
			Address: fmt.Sprintf("127.0.0.1:%d", 7000+index),
			Host:    fmt.Sprintf("host-%d", index),
			Zone:    fmt.Sprintf("zone-%d", index%3),
		}
		node := &worldNode{member: member}
		w.nodes = append(w.nodes, node)
		w.hosts = append(w.hosts, mimosatide.Host{Name: member.Host, State: mimosatide.HostLive})
		w.start(node)
	}
	return w
}

// start runs a new process at the node's address.
func (w *world) start(node *worldNode) {
	w.starts++
	settings := fleet.DefaultSettings(node.member, fmt.Sprintf("process-%d", w.starts))
	settings.Term = testTerm
	settings.RenewEvery = 2 * time.Second
	settings.LeaseReadEvery = time.Second
	settings.WitnessLimit, settings.RelayLimit, settings.WatchLimit = w.witnesses, w.witnesses, w.watches
	node.core = fleet.New(settings)
	node.rate = 1 + (w.random.Float64()*2-1)*clockError
	node.offset = time.Duration(w.random.Int64N(int64(time.Hour)))
	node.entries = map[uint64]string{}
	bankSettings := limit.DefaultSettings()
	bankSettings.RateMargin = clockError
	node.bank = limit.New(bankSettings)
	node.bank.SetAccount(w.clock(node), greedy)
	node.dead, node.paused, node.left = false, false, false
	node.inbox = nil
}

func (w *world) clock(node *worldNode) time.Duration {
	return node.offset + time.Duration(float64(w.now)*node.rate)
}

func (w *world) run(duration time.Duration) {
	for end := w.now + duration; w.now < end; {
		w.step()
	}
}

func (w *world) step() {
	w.now += worldStep
	w.deliver()
	for _, node := range w.nodes {
		if node.dead || node.paused {
			continue
		}
		events := append(node.inbox, fleet.Tick{})
		node.inbox = nil
		for _, event := range events {
			w.perform(node, node.core.Step(w.clock(node), event))
		}
		w.spend(node)
	}
	w.watchTable()
	w.check()
}

// spend takes what the node's bank gives, and demands that all nodes together
// never give more than the burst and the rate in any interval.
func (w *world) spend(node *worldNode) {
	for {
		if _, granted := node.bank.Spend(w.clock(node), greedy.Name, greedyTokens); !granted {
			return
		}
		w.excess = max(0, w.excess-greedy.Rate*(w.now-w.lastSpend).Seconds()) + greedyTokens
		w.lastSpend = w.now
		if w.excess > greedy.Burst {
			w.fail("%f tokens above the rate were spent, the burst is %f", w.excess, greedy.Burst)
		}
	}
}

func (w *world) deliver() {
	due := w.mail
	w.mail = nil
	for _, mail := range due {
		switch {
		case mail.at > w.now:
			w.mail = append(w.mail, mail)
		case mail.to.core == mail.core && !mail.to.dead:
			// What arrives at a paused process waits in its sockets.
			mail.to.inbox = append(mail.to.inbox, mail.item)
		}
	}
}

func (w *world) post(to *worldNode, item fleet.Event, slowest time.Duration) {
	delay := time.Duration(w.random.Int64N(int64(slowest)))
	w.mail = append(w.mail, worldMail{at: w.now + delay, to: to, core: to.core, item: item})
}

func (w *world) perform(node *worldNode, effects []fleet.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case fleet.ReadTable:
			w.readTable(node, effect)
		case fleet.CommitTable:
			w.commitTable(node, effect)
		case fleet.SendMessage:
			w.sendMessage(node, effect)
		case fleet.ApplyEntry:
			w.applyEntry(node, effect)
		case fleet.SettlePatch:
			w.settlePatch(effect)
		case fleet.ChangeShares:
			node.bank.SetShares(w.clock(node), effect.Held, effect.Until)
		case fleet.Left:
			node.left = true
		}
	}
}

func (w *world) tableFails(node *worldNode) bool {
	return w.tableDown || node.noTable
}

func (w *world) readTable(node *worldNode, effect fleet.ReadTable) {
	if w.tableFails(node) {
		w.post(node, fleet.TableRead{Call: effect.Call, Failed: true}, 800*time.Millisecond)
		return
	}
	rows, _ := w.table.Read(context.Background(), effect.Keys...)
	w.post(node, fleet.TableRead{Call: effect.Call, Rows: rows}, 60*time.Millisecond)
}

func (w *world) commitTable(node *worldNode, effect fleet.CommitTable) {
	if w.tableFails(node) {
		w.post(node, fleet.TableCommitted{Call: effect.Call}, 800*time.Millisecond)
		return
	}
	outcome := w.table.Commit(context.Background(), effect.Transaction)
	if w.random.Float64() < w.loseAnswers {
		outcome = mimosatide.CommitUnknown
	}
	w.post(node, fleet.TableCommitted{Call: effect.Call, Outcome: outcome}, 60*time.Millisecond)
}

func (w *world) sendMessage(from *worldNode, effect fleet.SendMessage) {
	to := w.find(effect.To)
	if w.cutLinks[[2]string{from.member.Address, effect.To}] {
		return
	}
	if to == nil || from.cutOff || to.cutOff || to.dead || w.random.Float64() < w.loseMail {
		return
	}
	copies := 1 + w.random.IntN(10)/9
	for range copies {
		w.post(to, fleet.Received{From: from.member.Address, Message: effect.Message}, 120*time.Millisecond)
	}
}

// cutLink lets no message pass between two nodes.
func (w *world) cutLink(first, second *worldNode) {
	w.cutLinks[[2]string{first.member.Address, second.member.Address}] = true
	w.cutLinks[[2]string{second.member.Address, first.member.Address}] = true
}

func (w *world) find(address string) *worldNode {
	for _, node := range w.nodes {
		if node.member.Address == address {
			return node
		}
	}
	return nil
}

func (w *world) applyEntry(node *worldNode, effect fleet.ApplyEntry) {
	node.entries[effect.Sequence] = effect.Entry.Nonce
	known, found := w.accepted[effect.Sequence]
	if found && known.nonce != effect.Entry.Nonce {
		w.fail("node %s has %s in force as entry %d, others %s", node.member.Address, effect.Entry.Nonce, effect.Sequence, known.nonce)
	}
}

func (w *world) settlePatch(effect fleet.SettlePatch) {
	w.settled[effect.ID] = effect.Outcome
	if effect.Outcome != fleet.PatchAccepted {
		return
	}
	for sequence, entry := range w.accepted {
		if row, _ := w.table.Read(context.Background(), fleet.EntryKey(sequence)); len(row) == 1 {
			decoded, _ := fleet.DecodeEntry(row[0].Value)
			if decoded.PatchID == effect.ID && decoded.Nonce == entry.nonce {
				w.settledAt[sequence] = w.now
				return
			}
		}
	}
	w.fail("patch %s is said to be accepted, but the log has no such entry", effect.ID)
}

// watchTable notes each entry when it is accepted in the table.
func (w *world) watchTable() {
	rows, _ := w.table.Read(context.Background(), fleet.HeadKey)
	if len(rows) == 0 || rows[0].Version == w.headRow {
		return
	}
	w.headRow = rows[0].Version
	head, err := fleet.DecodeHead(rows[0].Version, rows[0].Value)
	if err != nil {
		w.fail("head: %v", err)
	}
	if head.Last == nil {
		return
	}
	if _, noted := w.accepted[head.Sequence]; !noted {
		w.accepted[head.Sequence] = acceptedEntry{nonce: head.Last.Nonce, at: w.now}
	}
}

func (w *world) check() {
	w.checkShares()
	for _, node := range w.nodes {
		if !node.dead && !node.paused && node.core.Fresh(w.clock(node)) {
			w.checkFresh(node)
		}
	}
}

// checkShares demands that no share is held by two processes at once.
func (w *world) checkShares() {
	held := 0
	for _, node := range w.nodes {
		// A paused process holds what it held: it may be just about to spend.
		if !node.dead {
			held += node.core.SharesHeld(w.clock(node))
		}
	}
	if held > fleet.DefaultShareCount {
		w.fail("%d shares are held of %d", held, fleet.DefaultShareCount)
	}
}

// checkFresh demands that a node which admits work knows what it must.
func (w *world) checkFresh(node *worldNode) {
	head := node.core.Head()
	for sequence, entry := range w.accepted {
		if node.entries[sequence] != "" {
			continue
		}
		pending := head.Proposal != nil && head.Proposal.Nonce == entry.nonce
		if settled, known := w.settledAt[sequence]; known && w.now > settled {
			w.fail("node %s admits work without entry %d, settled at %s", node.member.Address, sequence, settled)
		}
		if !pending && w.now-entry.at > 1500*time.Millisecond+worldStep {
			w.fail("node %s admits work without knowing of entry %d, accepted at %s", node.member.Address, sequence, entry.at)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d at %s: %s", w.seed, w.now, fmt.Sprintf(format, args...))
}

func (w *world) ask(node *worldNode) string {
	w.patches++
	id := fmt.Sprintf("patch-%d", w.patches)
	event := fleet.PatchAsked{ID: id, Base: node.core.Head().Version, Changes: []byte(id)}
	w.perform(node, node.core.Step(w.clock(node), event))
	return id
}

func (w *world) listHosts() {
	for _, node := range w.nodes {
		if !node.dead && !node.paused {
			w.perform(node, node.core.Step(w.clock(node), fleet.HostsListed{Hosts: w.hosts}))
		}
	}
}

func (w *world) heldByNode() []int {
	var held []int
	for _, node := range w.nodes {
		if !node.dead {
			held = append(held, node.core.SharesHeld(w.clock(node)))
		}
	}
	sort.Ints(held)
	return held
}
