package fleet

import (
	"slices"
	"time"

	"mimosatide.example/mimosatide"
)

// leaving is the progress of this node's release.
type leaving struct {
	asked    bool
	since    time.Duration
	finished bool
	// proposed says that the removal from the members was queued.
	proposed bool
	call     uint64
}

// advanceMembership proposes that this node joins and that members on lost hosts go.
func (core *Core) advanceMembership() {
	if !core.freshness.hasRead || core.leaving.asked || core.busyWithPatches() || core.head.Proposal != nil {
		return
	}
	self := core.settings.Self
	if !core.isMember() {
		core.proposeMembers(func(members []mimosatide.Member) []mimosatide.Member {
			return append(without(members, self.Address), self)
		})
		return
	}
	gone, found := core.hosts.anyGone(core.now, core.settings.HostLag, core.members)
	if !found || gone.Address == self.Address || !core.firstPresent() {
		return
	}
	core.proposeMembers(func(members []mimosatide.Member) []mimosatide.Member {
		return without(members, gone.Address)
	})
}

func (core *Core) busyWithPatches() bool {
	return core.patches.active != nil || len(core.patches.waiting) > 0
}

// firstPresent picks one member to remove lost ones, so that they don't race.
func (core *Core) firstPresent() bool {
	for _, member := range core.Live(core.now) {
		if !core.hosts.gone(core.now, core.settings.HostLag, member) {
			return member.Address == core.settings.Self.Address
		}
	}
	return false
}

func (core *Core) proposeMembers(change func([]mimosatide.Member) []mimosatide.Member) {
	nonce := core.newNonce()
	core.patches.add(&patch{
		state:   patchChart.Initial(),
		expires: core.now + core.settings.ProposalDeadline,
		change: func(head Head) (Entry, bool) {
			members := change(slices.Clone(head.Members))
			if len(members) == 0 || slices.Equal(members, head.Members) {
				return Entry{}, false
			}
			return Entry{Nonce: nonce, Version: head.Version, Members: members}, true
		},
	})
}

func without(members []mimosatide.Member, address string) []mimosatide.Member {
	return slices.DeleteFunc(slices.Clone(members), func(member mimosatide.Member) bool {
		return member.Address == address
	})
}

// advanceLeaving releases the shares, the lease and the membership, in this order.
func (core *Core) advanceLeaving() {
	if !core.leaving.asked || core.leaving.finished || core.leaving.call != 0 {
		return
	}
	if core.leaving.since == 0 {
		core.leaving.since = core.now
	}
	overdue := core.now-core.leaving.since > 2*core.settings.ProposalDeadline
	switch {
	case overdue:
		core.finishLeaving()
	case core.lease.held && !core.lease.released && core.lease.call == 0:
		core.releaseLease()
	case !core.leaving.proposed && len(core.head.Members) > 1:
		core.leaving.proposed = true
		address := core.settings.Self.Address
		core.proposeMembers(func(members []mimosatide.Member) []mimosatide.Member {
			return without(members, address)
		})
	case !core.busyWithPatches() && core.lease.call == 0:
		core.finishLeaving()
	}
}

func (core *Core) finishLeaving() {
	core.leaving.finished = true
	core.emit(Left{})
}

// releaseLease stops spending first and then tells the table.
func (core *Core) releaseLease() {
	core.lease.released = true
	core.reportShares()
	key := leaseKey(core.settings.Self.Address)
	released := core.lease.value
	released.Released = true
	transaction := mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: key, Version: core.lease.row}},
		Writes:     []mimosatide.Write{{Key: key, Value: EncodeLease(released)}},
	}
	core.leaving.call = core.commit(transaction, func(tableAnswer) { core.leaving.call = 0 })
}
