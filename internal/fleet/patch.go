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

// The states of a patch, as the chart's file names them.
const (
	patchWaiting   chart.State = "Waiting"
	patchProposing chart.State = "Proposing"
	patchHolding   chart.State = "Holding"
	patchAccepting chart.State = "Accepting"
	patchRejecting chart.State = "Rejecting"
	patchSpreading chart.State = "Spreading"
	patchAccepted  chart.State = "Accepted"
	patchRejected  chart.State = "Rejected"
	patchStale     chart.State = "Stale"
	patchUnsettled chart.State = "Unsettled"
)

// patchOutcomes are what the final states mean to an operator.
var patchOutcomes = map[chart.State]PatchOutcome{
	patchAccepted:  PatchAccepted,
	patchRejected:  PatchRejected,
	patchStale:     PatchStale,
	patchUnsettled: PatchUnsettled,
}

// patch is one change on its way into the log, driven by this node.
type patch struct {
	state chart.State
	// id is the operator's patch id; it is empty for changes that no operator waits for.
	id    string
	entry Entry
	base  mimosatide.Version
	// change makes the entry of a change of members from the newest head.
	change func(head Head) (Entry, bool)
	// sequence is the log's length when the patch was proposed.
	sequence uint64
	// row is the version of the head row that the next write must find.
	row      mimosatide.RowVersion
	expires  time.Duration
	lost     time.Duration
	spreadBy time.Duration
	nextPush time.Duration
	call     uint64
	// answered is when the last write was answered; a later read settles it.
	answered time.Duration
}

// patchQueue holds the patches that wait behind the active one.
type patchQueue struct {
	active  *patch
	waiting []*patch
	count   uint64
}

func (queue *patchQueue) add(added *patch) {
	queue.waiting = append(queue.waiting, added)
}

func (core *Core) newPatch(asked PatchAsked) *patch {
	return &patch{
		state: patchChart.Initial(),
		id:    asked.ID,
		base:  asked.Base,
		entry: Entry{
			Nonce:    core.newNonce(),
			PatchID:  asked.ID,
			Operator: asked.Operator,
			Version:  asked.Base + 1,
			Changes:  asked.Changes,
		},
		expires: core.now + core.settings.ProposalDeadline,
	}
}

func (core *Core) newNonce() string {
	core.patches.count++
	return fmt.Sprintf("%s/%d", core.settings.Nonce, core.patches.count)
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

// finishPatch answers the operator once the patch has reached a final state.
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
	core.emit(SettlePatch{ID: active.id, Outcome: outcome, Version: version})
}

func (core *Core) advancePatch(active *patch) {
	core.settleByHead(active)
	if active.row < core.head.Row && patchChart.Can(active.state, "Lose") && active.state != patchSpreading {
		// The head has moved on; the entry that says how is still on its way.
		core.giveUp(active)
		return
	}
	switch active.state {
	case patchWaiting:
		core.propose(active)
	case patchProposing:
		core.repeatWrite(active, core.writeProposal)
	case patchHolding:
		core.collectHolders(active)
	case patchAccepting:
		core.repeatWrite(active, core.writeAcceptance)
	case patchRejecting:
		core.repeatWrite(active, core.writeRejection)
	case patchSpreading:
		core.spread(active)
	}
	core.giveUp(active)
}

// propose writes the proposal once the log is free.
func (core *Core) propose(active *patch) {
	if core.now >= active.expires {
		active.state = patchChart.Next(active.state, "Expire")
		return
	}
	idle := core.headKnown && core.head.Proposal == nil && core.log.applied == core.head.Sequence
	if !idle || core.freshness.lastRead+core.settings.Freshness < core.now {
		return
	}
	if active.change != nil {
		entry, needed := active.change(core.head)
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
	active.lost = core.now + 2*core.settings.ProposalDeadline
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

// writeHead replaces the head on the condition that nobody else did.
func (core *Core) writeHead(active *patch, head Head, more []mimosatide.Write) {
	value := EncodeHead(head)
	// A read may move the patch on before the write is answered.
	row := active.row
	transaction := mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: HeadKey, Version: row}},
		Writes:     append([]mimosatide.Write{{Key: HeadKey, Value: value}}, more...),
	}
	active.call = core.commit(transaction, func(answer tableAnswer) {
		active.call = 0
		active.answered = core.now
		core.readSoon()
		if answer.outcome == mimosatide.CommitDone {
			core.learnHead(row+1, value)
		}
	})
}

// repeatWrite sends a write again when a later read shows that it had no effect.
func (core *Core) repeatWrite(active *patch, write func(*patch)) {
	readSince := core.freshness.lastRead >= active.answered
	if active.call == 0 && readSince && core.head.Row == active.row {
		write(active)
	}
}

// settleByHead learns from a newer head what became of the proposal.
func (core *Core) settleByHead(active *patch) {
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
		core.settleRefused(active)
		return
	}
	entry, known := core.log.known[active.sequence+1]
	if !known {
		return
	}
	if entry.Nonce != active.entry.Nonce {
		core.settleRefused(active)
		return
	}
	active.state = patchChart.Next(active.state, "Accepted")
	active.row = core.head.Row
	active.lost = core.now + 2*core.settings.ProposalDeadline
}

// settleRefused ends a proposal that was not accepted.
func (core *Core) settleRefused(active *patch) {
	if active.state == patchProposing {
		// The next try finds out whether the patch is stale.
		active.state = patchChart.Next(active.state, "Retry")
		return
	}
	active.state = patchChart.Next(active.state, "Rejected")
}

// collectHolders accepts the proposal once a majority holds it, and rejects it when that takes too long.
func (core *Core) collectHolders(active *patch) {
	if core.majorityHolds(active.row) {
		active.state = patchChart.Next(active.state, "Accept")
		core.writeAcceptance(active)
		return
	}
	if core.now >= active.expires {
		active.state = patchChart.Next(active.state, "Reject")
		core.writeRejection(active)
		return
	}
	core.pushAtTimes(active)
}

// spread waits until every member has the accepted head, or until a majority
// has had it for so long that a node without it has lost its freshness.
func (core *Core) spread(active *patch) {
	if active.spreadBy == 0 && core.majorityHolds(active.row) {
		active.spreadBy = core.now + core.settings.lengthened(core.settings.Freshness)
	}
	settled := active.spreadBy > 0 && core.now >= active.spreadBy
	if settled || core.everyoneHolds(active.row) {
		active.state = patchChart.Next(active.state, "Spread")
		return
	}
	core.pushAtTimes(active)
}

func (core *Core) pushAtTimes(active *patch) {
	if core.now < active.nextPush {
		return
	}
	active.nextPush = core.now + core.settings.PushEvery
	core.pushHead()
}

// giveUp stops waiting for a platform that doesn't answer; any member finishes the proposal later.
func (core *Core) giveUp(active *patch) {
	if active.lost == 0 || core.now < active.lost || !patchChart.Can(active.state, "Lose") {
		return
	}
	active.state = patchChart.Next(active.state, "Lose")
}

// orphanWatch notices proposals that nobody finishes.
type orphanWatch struct {
	nonce string
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

// adoptionDelay lets the witnesses try one after the other, and the other nodes after them.
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

// adoptOrphan carries on with a proposal whose proposer has not finished it.
func (core *Core) adoptOrphan() {
	patience := 2*core.settings.ProposalDeadline + core.settings.Freshness + core.adoptionDelay()
	if core.head.Proposal == nil || core.now-core.orphan.since < patience {
		return
	}
	core.patches.active = &patch{
		state:    patchHolding,
		entry:    *core.head.Proposal,
		sequence: core.head.Sequence,
		row:      core.head.Row,
		expires:  core.now + core.settings.ProposalDeadline,
		lost:     core.now + 2*core.settings.ProposalDeadline,
	}
}
