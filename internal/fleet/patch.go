package fleet

import (
	_ "embed"
	"fmt"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/chart"
)

//go:embed patch.json
var patchFile []byte

var patchChart = chart.MustLoad(patchFile)

// The states of a patch, as named in patch.json.
const (
	patchWaiting   chart.State = "Waiting"
	patchProposing chart.State = "Proposing"
	// patchHolding means that the proposal is in the head and needs the acknowledgement of a majority.
	patchHolding   chart.State = "Holding"
	patchAccepting chart.State = "Accepting"
	patchRejecting chart.State = "Rejecting"
	// patchSpreading means that the entry is accepted, but not yet applied by every node that admits work.
	patchSpreading chart.State = "Spreading"
	patchAccepted  chart.State = "Accepted"
	patchRejected  chart.State = "Rejected"
	patchStale     chart.State = "Stale"
	patchUnsettled chart.State = "Unsettled"
)

// patchOutcomes maps the final states to the outcomes reported to operators.
var patchOutcomes = map[chart.State]PatchOutcome{
	patchAccepted:  PatchAccepted,
	patchRejected:  PatchRejected,
	patchStale:     PatchStale,
	patchUnsettled: PatchUnsettled,
}

// patch is a change that this node is writing to the log.
type patch struct {
	state chart.State
	// id is the operator's patch id, or empty if no operator waits for the change.
	id    string
	entry Entry
	base  mimosatide.Version
	// membersEntry makes the entry of a membership change from the newest head and
	// reports whether the change is still needed. It is nil for operators' patches.
	membersEntry func(head Head) (Entry, bool)
	// sequence is the head's sequence when the patch was proposed.
	sequence uint64
	// row is the version of the head row that the next write is conditional on.
	row mimosatide.RowVersion
	// deadline is when the patch is rejected unless a majority has acknowledged it.
	deadline time.Duration
	// abandonAt is when the patch is given up as unsettled.
	abandonAt time.Duration
	// othersStaleAt is when every node without the accepted head has lost its freshness.
	othersStaleAt time.Duration
	nextPush      time.Duration
	call          uint64
	// answeredAt is when the last write was answered. A read begun later shows
	// whether it took effect.
	answeredAt time.Duration
}

// patchQueue holds the active patch and the ones waiting for it.
type patchQueue struct {
	active  *patch
	waiting []*patch
	// lastNonce numbers the nonces of this process.
	lastNonce uint64
}

func (queue *patchQueue) add(added *patch) {
	queue.waiting = append(queue.waiting, added)
}

func (core *Core) newPatch(request PatchRequested) *patch {
	return &patch{
		state: patchChart.Initial(),
		id:    request.ID,
		base:  request.Base,
		entry: Entry{
			Nonce:    core.newNonce(),
			PatchID:  request.ID,
			Operator: request.Operator,
			Version:  request.Base + 1,
			Changes:  request.Changes,
		},
		deadline: core.now + core.settings.ProposalDeadline,
	}
}

func (core *Core) newNonce() string {
	core.patches.lastNonce++
	return fmt.Sprintf("%s/%d", core.settings.Nonce, core.patches.lastNonce)
}

func (core *Core) advancePatches() {
	if core.patches.active == nil && len(core.patches.waiting) > 0 {
		core.patches.active = core.patches.waiting[0]
		core.patches.waiting = core.patches.waiting[1:]
	}
	if core.patches.active == nil {
		core.adoptOrphan()
	}
	active := core.patches.active
	if active == nil {
		return
	}
	core.advancePatch(active)
	core.finishPatch(active)
}

// finishPatch reports the outcome once the patch has reached a final state.
func (core *Core) finishPatch(active *patch) {
	outcome, final := patchOutcomes[active.state]
	if !final {
		return
	}
	core.patches.active = nil
	if active.id == "" {
		return
	}
	version := core.head.Version
	if outcome == PatchAccepted {
		version = active.entry.Version
	}
	core.emit(PatchResult{ID: active.id, Outcome: outcome, Version: version})
}

func (core *Core) advancePatch(active *patch) {
	core.resolveByHead(active)
	if active.row < core.head.Row && patchChart.Can(active.state, "Lose") && active.state != patchSpreading {
		// The head is newer, but the log entry that shows the outcome is not known yet.
		core.abandonIfOverdue(active)
		return
	}
	switch active.state {
	case patchWaiting:
		core.propose(active)
	case patchProposing:
		core.retryWrite(active, core.writeProposal)
	case patchHolding:
		core.awaitMajority(active)
	case patchAccepting:
		core.retryWrite(active, core.writeAcceptance)
	case patchRejecting:
		core.retryWrite(active, core.writeRejection)
	case patchSpreading:
		core.awaitSpread(active)
	}
	core.abandonIfOverdue(active)
}

// propose writes the proposal once no other one is pending and every accepted
// entry is in force here.
func (core *Core) propose(active *patch) {
	if core.now >= active.deadline {
		active.state = patchChart.Next(active.state, "Expire")
		return
	}
	idle := core.headKnown && core.head.Proposal == nil && core.log.applied == core.head.Sequence
	if !idle || core.freshness.lastRead+core.settings.Freshness < core.now {
		return
	}
	if active.membersEntry != nil {
		entry, needed := active.membersEntry(core.head)
		if !needed {
			active.state = patchChart.Next(active.state, "Conflict")
			return
		}
		active.entry = entry
	} else if active.base != core.head.Version {
		active.state = patchChart.Next(active.state, "Conflict")
		return
	}
	active.state = patchChart.Next(active.state, "Propose")
	active.sequence = core.head.Sequence
	active.row = core.head.Row
	active.abandonAt = core.now + 2*core.settings.ProposalDeadline
	core.writeProposal(active)
}

func (core *Core) writeProposal(active *patch) {
	core.writeHead(active, core.head.WithProposal(active.entry), nil)
}

func (core *Core) writeAcceptance(active *patch) {
	accepted := core.head.WithAccepted()
	writes := []mimosatide.Write{{Key: EntryKey(accepted.Sequence), Value: EncodeEntry(active.entry)}}
	if active.entry.PatchID != "" {
		writes = append(writes, mimosatide.Write{Key: PatchKey(active.entry.PatchID), Value: EncodeEntry(active.entry)})
	}
	core.writeHead(active, accepted, writes)
}

func (core *Core) writeRejection(active *patch) {
	core.writeHead(active, core.head.WithoutProposal(), nil)
}

// writeHead replaces the head and writes extra, on the condition that the head
// row is unchanged.
func (core *Core) writeHead(active *patch, head Head, extra []mimosatide.Write) {
	value := EncodeHead(head)
	// A read may change active.row before the write is answered.
	row := active.row
	transaction := mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: HeadKey, Version: row}},
		Writes:     append([]mimosatide.Write{{Key: HeadKey, Value: value}}, extra...),
	}
	active.call = core.commit(transaction, func(answer tableAnswer) {
		active.call = 0
		active.answeredAt = core.now
		core.readSoon()
		if answer.outcome == mimosatide.CommitDone {
			core.learnHead(row+1, value)
		}
	})
}

// retryWrite repeats a write if a later read shows that it had no effect.
func (core *Core) retryWrite(active *patch, write func(*patch)) {
	readSince := core.freshness.lastRead >= active.answeredAt
	if active.call == 0 && readSince && core.head.Row == active.row {
		write(active)
	}
}

// resolveByHead derives the outcome of the proposal from a newer head.
func (core *Core) resolveByHead(active *patch) {
	switch active.state {
	case patchProposing, patchHolding, patchAccepting, patchRejecting:
	default:
		return
	}
	if core.head.Row <= active.row {
		return
	}
	if core.head.Proposal != nil && core.head.Proposal.Nonce == active.entry.Nonce {
		active.row = core.head.Row
		if active.state == patchProposing {
			active.state = patchChart.Next(active.state, "Proposed")
		}
		return
	}
	if core.head.Sequence == active.sequence {
		core.resolveNotAccepted(active)
		return
	}
	entry, known := core.log.entries[active.sequence+1]
	if !known {
		return
	}
	if entry.Nonce != active.entry.Nonce {
		core.resolveNotAccepted(active)
		return
	}
	active.state = patchChart.Next(active.state, "Accepted")
	active.row = core.head.Row
	active.abandonAt = core.now + 2*core.settings.ProposalDeadline
}

// resolveNotAccepted handles a proposal that the log did not accept.
func (core *Core) resolveNotAccepted(active *patch) {
	if active.state == patchProposing {
		// The next attempt finds out whether the patch is stale.
		active.state = patchChart.Next(active.state, "Retry")
		return
	}
	active.state = patchChart.Next(active.state, "Rejected")
}

// awaitMajority accepts the proposal once a majority has acknowledged it, and
// rejects it at its deadline.
func (core *Core) awaitMajority(active *patch) {
	if core.majorityAcknowledged(active.row) {
		active.state = patchChart.Next(active.state, "Accept")
		core.writeAcceptance(active)
		return
	}
	if core.now >= active.deadline {
		active.state = patchChart.Next(active.state, "Reject")
		core.writeRejection(active)
		return
	}
	core.pushPeriodically(active)
}

// awaitSpread waits until every member has acknowledged the accepted head, or
// until a majority has had it for so long that a node without it can't be fresh.
func (core *Core) awaitSpread(active *patch) {
	if active.othersStaleAt == 0 && core.majorityAcknowledged(active.row) {
		active.othersStaleAt = core.now + core.settings.lengthened(core.settings.Freshness)
	}
	settled := active.othersStaleAt > 0 && core.now >= active.othersStaleAt
	if settled || core.allAcknowledged(active.row) {
		active.state = patchChart.Next(active.state, "Spread")
		return
	}
	core.pushPeriodically(active)
}

func (core *Core) pushPeriodically(active *patch) {
	if core.now < active.nextPush {
		return
	}
	active.nextPush = core.now + core.settings.PushEvery
	core.pushHead()
}

// abandonIfOverdue stops waiting for a platform that does not answer. Any member
// can finish the proposal later.
func (core *Core) abandonIfOverdue(active *patch) {
	if active.abandonAt == 0 || core.now < active.abandonAt || !patchChart.Can(active.state, "Lose") {
		return
	}
	active.state = patchChart.Next(active.state, "Lose")
}

// orphanWatch tracks how long the same proposal has been pending.
type orphanWatch struct {
	nonce string
	// since is when the proposal was first seen.
	since time.Duration
}

func (watch *orphanWatch) observe(now time.Duration, head Head) {
	if head.Proposal == nil {
		watch.nonce = ""
		return
	}
	if watch.nonce != head.Proposal.Nonce {
		watch.nonce = head.Proposal.Nonce
		watch.since = now
	}
}

// adoptionDelay staggers the adoption of orphaned proposals: the witnesses try one
// after the other, and then all other nodes.
func (core *Core) adoptionDelay() time.Duration {
	witnesses := core.head.witnessSets(core.settings.WitnessLimit)[0]
	rank := slices.IndexFunc(witnesses, func(witness mimosatide.Member) bool {
		return witness.Address == core.settings.Self.Address
	})
	if rank < 0 {
		rank = len(witnesses)
	}
	return time.Duration(rank) * core.settings.ReadEvery
}

// adoptOrphan takes over a proposal that its proposer has not finished in time.
func (core *Core) adoptOrphan() {
	adoptAfter := 2*core.settings.ProposalDeadline + core.settings.Freshness + core.adoptionDelay()
	if core.head.Proposal == nil || core.now-core.orphan.since < adoptAfter {
		return
	}
	core.patches.active = &patch{
		state:     patchHolding,
		entry:     *core.head.Proposal,
		sequence:  core.head.Sequence,
		row:       core.head.Row,
		deadline:  core.now + core.settings.ProposalDeadline,
		abandonAt: core.now + 2*core.settings.ProposalDeadline,
	}
}
