package fleet

import (
	"slices"
	"time"

	"mimosatide.example/mimosatide"
)

// departure is the progress of this node's release of all that it holds.
type departure struct {
	requested bool
	startedAt time.Duration
	finished  bool
	// removalQueued is whether the node's removal from the members has been queued.
	removalQueued bool
	call          uint64
}

// advanceMembership proposes to add this node or to remove a member whose host is gone.
func (core *Core) advanceMembership() {
	if !core.freshness.hasRead || core.departure.requested || core.hasPatches() || core.head.Proposal != nil {
		return
	}
	self := core.settings.Self
	if !core.isMember() {
		core.proposeMembers(func(members []mimosatide.Member) []mimosatide.Member {
			return append(withoutAddress(members, self.Address), self)
		})
		return
	}
	gone, found := core.hosts.firstGone(core.now, core.settings.HostLag, core.members)
	if !found || gone.Address == self.Address || !core.isMemberRemover() {
		return
	}
	core.proposeMembers(func(members []mimosatide.Member) []mimosatide.Member {
		return withoutAddress(members, gone.Address)
	})
}

func (core *Core) hasPatches() bool {
	return core.patches.active != nil || len(core.patches.waiting) > 0
}

// isMemberRemover reports whether this node is the one that removes members whose
// hosts are gone. Only the first live member does, so that the members don't race.
func (core *Core) isMemberRemover() bool {
	for _, member := range core.Live(core.now) {
		if !core.hosts.gone(core.now, core.settings.HostLag, member) {
			return member.Address == core.settings.Self.Address
		}
	}
	return false
}

// proposeMembers queues a membership change. change is called with a copy of the
// members of the head that the proposal replaces.
func (core *Core) proposeMembers(change func([]mimosatide.Member) []mimosatide.Member) {
	nonce := core.newNonce()
	core.patches.add(&patch{
		state:    patchChart.Initial(),
		deadline: core.now + core.settings.ProposalDeadline,
		membersEntry: func(head Head) (Entry, bool) {
			members := change(slices.Clone(head.Members))
			if len(members) == 0 || slices.Equal(members, head.Members) {
				return Entry{}, false
			}
			return Entry{Nonce: nonce, Version: head.Version, Members: members}, true
		},
	})
}

func withoutAddress(members []mimosatide.Member, address string) []mimosatide.Member {
	return slices.DeleteFunc(slices.Clone(members), func(member mimosatide.Member) bool {
		return member.Address == address
	})
}

// advanceDeparture releases the shares and the lease and then the membership.
func (core *Core) advanceDeparture() {
	if !core.departure.requested || core.departure.finished || core.departure.call != 0 {
		return
	}
	if core.departure.startedAt == 0 {
		core.departure.startedAt = core.now
	}
	overdue := core.now-core.departure.startedAt > 2*core.settings.ProposalDeadline
	switch {
	case overdue:
		core.finishDeparture()
	case core.lease.held && !core.lease.released && core.lease.call == 0:
		core.releaseLease()
	case !core.departure.removalQueued && len(core.head.Members) > 1:
		core.departure.removalQueued = true
		address := core.settings.Self.Address
		core.proposeMembers(func(members []mimosatide.Member) []mimosatide.Member {
			return withoutAddress(members, address)
		})
	case !core.hasPatches() && core.lease.call == 0:
		core.finishDeparture()
	}
}

func (core *Core) finishDeparture() {
	core.departure.finished = true
	core.emit(Left{})
}

// releaseLease stops spending from the shares before it writes the release, so that
// nobody can claim a share that is still spent from.
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
	core.departure.call = core.commit(transaction, func(tableAnswer) { core.departure.call = 0 })
}
