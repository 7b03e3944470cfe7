package fleet

import (
	"maps"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/invariant"
)

// witnessesPerLeaseReadStep is the number of witnesses that lengthens the interval
// between lease reads by one base interval.
const witnessesPerLeaseReadStep = 12

// Core is the state machine that coordinates one node with the fleet. It is not
// safe for concurrent use.
type Core struct {
	settings Settings
	now      time.Duration
	effects  []Effect

	calls    map[uint64]tableCall
	lastCall uint64

	head      Head
	headKnown bool
	// members holds the known head's members by address.
	members          map[string]mimosatide.Member
	freshness        freshness
	log              entryLog
	patches          patchQueue
	lease            ownLease
	shares           shareTable
	observedLeases   map[string]observedLease
	hosts            hostWatch
	departure        departure
	orphan           orphanWatch
	relay            relay
	watch            watchList
	readsUntilShares int

	nextRead      time.Duration
	nextLeaseRead time.Duration
	nextPing      time.Duration
	readCall      uint64
}

// tableCall is a read or commit whose answer is pending.
type tableCall struct {
	started time.Duration
	done    func(answer tableAnswer)
}

type tableAnswer struct {
	// started is when the call was begun; a read shows every write committed before that.
	started time.Duration
	rows    map[string]mimosatide.Row
	failed  bool
	outcome mimosatide.CommitOutcome
}

// New returns the core of a node that has not read the table yet.
func New(settings Settings) *Core {
	return &Core{
		settings:       settings,
		calls:          map[uint64]tableCall{},
		freshness:      newFreshness(settings.Nonce),
		log:            newEntryLog(settings.Applied),
		observedLeases: map[string]observedLease{},
		hosts:          hostWatch{missing: map[mimosatide.Member]time.Duration{}},
		shares:         newShareTable(),
	}
}

// Step handles an event and returns the effects that the caller must carry out.
// It panics if now is earlier than at the previous call.
func (core *Core) Step(now time.Duration, event Event) []Effect {
	invariant.Check(now >= core.now, "clock of %s went back from %s to %s", core.settings.Self.Address, core.now, now)
	core.now = now
	core.handle(event)
	core.advance()
	effects := core.effects
	core.effects = nil
	return effects
}

func (core *Core) handle(event Event) {
	switch event := event.(type) {
	case Tick:
	case TableRead:
		core.finishCall(event.Call, tableAnswer{rows: rowsByKey(event.Rows), failed: event.Failed})
	case TableCommitted:
		core.finishCall(event.Call, tableAnswer{outcome: event.Outcome})
	case Received:
		core.receive(event.From, event.Message)
	case PatchRequested:
		core.patches.add(core.newPatch(event))
	case HostsListed:
		core.hosts.observe(core.now, core.head.Members, event.Hosts)
	case LeaveRequested:
		core.departure.requested = true
	}
}

func (core *Core) advance() {
	core.readTable()
	core.pingMembers()
	core.catchUp()
	core.advanceLease()
	core.advanceShares()
	core.advanceMembership()
	core.advancePatches()
	core.advanceDeparture()
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

// readTable reads the head and, at longer intervals, the shares and the leases.
func (core *Core) readTable() {
	if core.readCall != 0 || core.now < core.nextRead {
		return
	}
	core.nextRead = core.now + core.settings.ReadEvery
	if core.headKnown && core.requestRelayedRead() {
		return
	}
	keys := []string{HeadKey}
	if core.sharesReadDue() {
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

// leaseReadEvery returns the interval between reads of the leases. It is short
// until every witness is known to hold its part of the shares: if a node that
// holds more dies, that much of the rate stays unused until its lease ends. It
// grows with the number of witnesses, because each one reads all their leases.
func (core *Core) leaseReadEvery() time.Duration {
	witnesses := core.head.witnessSets(core.settings.WitnessLimit)[0]
	growth := time.Duration(len(witnesses)/witnessesPerLeaseReadStep + 1)
	counts := core.shareCounts()
	for _, witness := range witnesses {
		if counts[core.holderOf(witness.Address)] < core.settings.ShareCount/len(witnesses) {
			return core.settings.ReadEvery * growth
		}
	}
	return core.settings.LeaseReadEvery * growth
}

// readsPerSharesRead is the number of head reads per read of the shares.
const readsPerSharesRead = 4

// sharesReadDue counts down the reads and reports whether the next one covers the shares.
func (core *Core) sharesReadDue() bool {
	core.readsUntilShares--
	if core.readsUntilShares > 0 && core.shares.known && core.shares.trusted && len(core.shares.transfers) == 0 {
		return false
	}
	core.readsUntilShares = readsPerSharesRead
	return true
}

// readSoon makes the next step read the table.
func (core *Core) readSoon() {
	core.readsUntilShares = 0
	core.nextRead = core.now
}

func (core *Core) finishRead(answer tableAnswer, withShares, withLeases bool) {
	if answer.failed {
		core.resetLeaseAges()
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
	core.freshness.recordRead(answer.started)
	core.answerReadRequests(answer.started)
	if withShares {
		core.learnShares(answer.rows[SharesKey], answer.started)
	}
	if withLeases {
		core.observeLeases(answer.rows)
	}
}

// createHead starts the configuration log, with this node as its only member, if
// the table has none.
func (core *Core) createHead() {
	first := Head{Members: []mimosatide.Member{core.settings.Self}}
	transaction := mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: HeadKey}},
		Writes:     []mimosatide.Write{{Key: HeadKey, Value: EncodeHead(first)}},
	}
	core.commit(transaction, func(tableAnswer) { core.readSoon() })
}

// learnHead adopts a head from the table or from a peer if it is newer than the
// known one. It returns false if the value can't be decoded.
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
		invariant.Check(head.Sequence >= core.head.Sequence, "log sequence went back from %d to %d", core.head.Sequence, head.Sequence)
		invariant.Check(head.Version >= core.head.Version, "configuration version went back from %d to %d", core.head.Version, head.Version)
	}
	core.head = head
	core.headKnown = true
	core.members = make(map[string]mimosatide.Member, len(head.Members))
	for _, member := range head.Members {
		core.members[member.Address] = member
	}
	core.forgetNonMembers()
	if head.Last != nil {
		core.log.add(head.Sequence, *head.Last)
	}
	core.orphan.observe(core.now, head)
	core.applyEntries()
}

// forgetNonMembers drops the state of addresses that belong to no present or proposed member.
func (core *Core) forgetNonMembers() {
	known := map[string]bool{}
	for _, member := range core.peers() {
		known[member.Address] = true
	}
	core.freshness.keepOnly(known)
	maps.DeleteFunc(core.hosts.missing, func(member mimosatide.Member, _ time.Duration) bool {
		return !known[member.Address]
	})
}

// Head returns the newest known head.
func (core *Core) Head() Head {
	return core.head
}

// Applied returns the sequence of the newest entry that is in force at this node.
func (core *Core) Applied() uint64 {
	return core.log.applied
}

// isMember reports whether this node, at its address and on its host, is a member
// and stays one whether or not the pending proposal is accepted.
func (core *Core) isMember() bool {
	if core.members[core.settings.Self.Address] != core.settings.Self {
		return false
	}
	proposal := core.head.Proposal
	return proposal == nil || proposal.Members == nil || slices.Contains(proposal.Members, core.settings.Self)
}
