package fleet

import (
	"maps"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/invariant"
)

// fewWitnesses is up to how many witnesses the leases are read at the shortest intervals.
const fewWitnesses = 12

// Core is the fleet's decision core at one node. It is not safe for concurrent use.
type Core struct {
	settings Settings
	now      time.Duration
	effects  []Effect

	calls    map[uint64]tableCall
	lastCall uint64

	head      Head
	headKnown bool
	// members are the known head's members by address.
	members   map[string]mimosatide.Member
	freshness freshness
	log       entryLog
	patches   patchQueue
	lease     lease
	shares    shareTable
	leases    map[string]observedLease
	hosts     hostWatch
	leaving   leaving
	orphan    orphanWatch
	relay     relay
	watch     watchList
	sharesDue int

	nextRead      time.Duration
	nextLeaseRead time.Duration
	nextPing      time.Duration
	readCall      uint64
}

type tableCall struct {
	started time.Duration
	done    func(answer tableAnswer)
}

type tableAnswer struct {
	started time.Duration
	rows    map[string]mimosatide.Row
	failed  bool
	outcome mimosatide.CommitOutcome
}

// New returns the core of a node that has read nothing yet.
func New(settings Settings) *Core {
	return &Core{
		settings:  settings,
		calls:     map[uint64]tableCall{},
		freshness: newFreshness(),
		log:       newEntryLog(settings.Applied),
		leases:    map[string]observedLease{},
		hosts:     hostWatch{missing: map[mimosatide.Member]time.Duration{}},
		shares:    newShareTable(),
	}
}

// Step takes an event in and returns what the shell must do.
func (core *Core) Step(now time.Duration, event Event) []Effect {
	invariant.Check(now >= core.now, "the clock of %s went back from %s to %s", core.settings.Self.Address, core.now, now)
	core.now = now
	core.take(event)
	core.advance()
	effects := core.effects
	core.effects = nil
	return effects
}

func (core *Core) take(event Event) {
	switch event := event.(type) {
	case Tick:
	case TableRead:
		core.finishCall(event.Call, tableAnswer{rows: rowsByKey(event.Rows), failed: event.Failed})
	case TableCommitted:
		core.finishCall(event.Call, tableAnswer{outcome: event.Outcome})
	case Received:
		core.receive(event.From, event.Message)
	case PatchAsked:
		core.patches.add(core.newPatch(event))
	case HostsListed:
		core.hosts.observe(core.now, core.head.Members, event.Hosts)
	case LeaveAsked:
		core.leaving.asked = true
	}
}

func (core *Core) advance() {
	core.readTable()
	core.ping()
	core.catchUp()
	core.advanceLease()
	core.advanceShares()
	core.advanceMembership()
	core.advancePatches()
	core.advanceLeaving()
}

func (core *Core) emit(effect Effect) {
	core.effects = append(core.effects, effect)
}

func (core *Core) send(to string, message Message) {
	if to == core.settings.Self.Address {
		return
	}
	core.emit(SendMessage{To: to, Message: message})
}

func (core *Core) read(keys []string, done func(tableAnswer)) uint64 {
	core.lastCall++
	core.calls[core.lastCall] = tableCall{started: core.now, done: done}
	core.emit(ReadTable{Call: core.lastCall, Keys: keys})
	return core.lastCall
}

func (core *Core) commit(transaction mimosatide.Transaction, done func(tableAnswer)) uint64 {
	core.lastCall++
	core.calls[core.lastCall] = tableCall{started: core.now, done: done}
	core.emit(CommitTable{Call: core.lastCall, Transaction: transaction})
	return core.lastCall
}

func (core *Core) finishCall(id uint64, answer tableAnswer) {
	call, known := core.calls[id]
	if !known {
		return
	}
	delete(core.calls, id)
	answer.started = call.started
	call.done(answer)
}

func rowsByKey(rows []mimosatide.Row) map[string]mimosatide.Row {
	byKey := make(map[string]mimosatide.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	return byKey
}

// readTable reads the head and the shares, and at times the leases.
func (core *Core) readTable() {
	if core.readCall != 0 || core.now < core.nextRead {
		return
	}
	core.nextRead = core.now + core.settings.ReadEvery
	if core.headKnown && core.askRelay() {
		return
	}
	keys := []string{HeadKey}
	if core.needShares() {
		keys = append(keys, SharesKey)
	}
	withLeases := core.now >= core.nextLeaseRead && core.isWitness()
	if withLeases {
		core.nextLeaseRead = core.now + core.leaseReadEvery()
		keys = append(keys, core.leaseKeys()...)
	}
	core.readCall = core.read(keys, func(answer tableAnswer) {
		core.readCall = 0
		core.finishRead(answer, slices.Contains(keys, SharesKey), withLeases)
	})
}

// leaseReadEvery is short until every witness is known to hold its part of the
// shares: a node that dies while it holds more takes that much of the rate
// along. Otherwise it grows with the witnesses, whose leases each of them reads.
func (core *Core) leaseReadEvery() time.Duration {
	witnesses := core.head.witnessSets(core.settings.WitnessLimit)[0]
	growth := time.Duration(len(witnesses)/fewWitnesses + 1)
	counts := core.shareCounts()
	for _, witness := range witnesses {
		if counts[core.holderOf(witness.Address)] < core.settings.ShareCount/len(witnesses) {
			return core.settings.ReadEvery * growth
		}
	}
	return core.settings.LeaseReadEvery * growth
}

// sharesReadEvery is how many reads of the head go to one of the shares.
const sharesReadEvery = 4

// needShares says whether the next read is to cover the shares as well.
func (core *Core) needShares() bool {
	core.sharesDue--
	if core.sharesDue > 0 && core.shares.known && core.shares.trusted && len(core.shares.given) == 0 {
		return false
	}
	core.sharesDue = sharesReadEvery
	return true
}

// readSoon makes the next step read the table.
func (core *Core) readSoon() {
	core.sharesDue = 0
	core.nextRead = core.now
}

func (core *Core) finishRead(answer tableAnswer, withShares, withLeases bool) {
	if answer.failed {
		core.forgetLeaseAges()
		return
	}
	row, found := answer.rows[HeadKey]
	if !found {
		core.createHead()
		return
	}
	if !core.learnHead(row.Version, row.Value) {
		return
	}
	core.freshness.readAt(answer.started)
	core.answerRelayed(answer.started)
	if withShares {
		core.learnShares(answer.rows[SharesKey], answer.started)
	}
	if withLeases {
		core.observeLeases(answer.rows)
	}
}

// createHead starts the log of a platform that has none.
func (core *Core) createHead() {
	first := Head{Members: []mimosatide.Member{core.settings.Self}}
	transaction := mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: HeadKey}},
		Writes:     []mimosatide.Write{{Key: HeadKey, Value: EncodeHead(first)}},
	}
	core.commit(transaction, func(tableAnswer) { core.readSoon() })
}

// learnHead takes in a head, from the table or from a peer, when it is newer than the known one.
func (core *Core) learnHead(row mimosatide.RowVersion, value []byte) bool {
	if core.headKnown && row <= core.head.Row {
		return true
	}
	head, err := DecodeHead(row, value)
	if err != nil {
		return false
	}
	core.adoptHead(head)
	return true
}

func (core *Core) adoptHead(head Head) {
	if core.headKnown {
		invariant.Check(head.Sequence >= core.head.Sequence, "the log went back from %d to %d", core.head.Sequence, head.Sequence)
		invariant.Check(head.Version >= core.head.Version, "the configuration went back from %d to %d", core.head.Version, head.Version)
	}
	core.head = head
	core.headKnown = true
	core.members = make(map[string]mimosatide.Member, len(head.Members))
	for _, member := range head.Members {
		core.members[member.Address] = member
	}
	core.forgetOthers()
	if head.Last != nil {
		core.log.offer(head.Sequence, *head.Last)
	}
	core.orphan.observe(core.now, head)
	core.applyEntries()
}

// forgetOthers drops what was kept about addresses that belong to no present or proposed member.
func (core *Core) forgetOthers() {
	known := map[string]bool{}
	for _, member := range core.peers() {
		known[member.Address] = true
	}
	core.freshness.forget(known)
	maps.DeleteFunc(core.hosts.missing, func(member mimosatide.Member, _ time.Duration) bool {
		return !known[member.Address]
	})
}

// Head returns the newest known head.
func (core *Core) Head() Head {
	return core.head
}

// Applied returns the sequence of the newest entry in force at this node.
func (core *Core) Applied() uint64 {
	return core.log.applied
}

// isMember says whether this very node, on this very host, is a member and
// stays one whatever becomes of the present proposal.
func (core *Core) isMember() bool {
	if core.members[core.settings.Self.Address] != core.settings.Self {
		return false
	}
	proposal := core.head.Proposal
	return proposal == nil || proposal.Members == nil || slices.Contains(proposal.Members, core.settings.Self)
}
