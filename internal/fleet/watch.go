package fleet

import (
	"cmp"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
)

// partialWatchPingEvery is the shortest interval between pings in a fleet that is
// too large for each node to watch all members.
const partialWatchPingEvery = time.Second

// pingEvery returns the interval between pings of the watched members.
func (core *Core) pingEvery() time.Duration {
	if len(core.head.Members) > core.settings.WatchLimit+1 {
		return max(core.settings.PingEvery, partialWatchPingEvery)
	}
	return core.settings.PingEvery
}

// silentReportTTL is how long a report counts that a member does not answer.
const silentReportTTL = 2 * LivenessTimeout

// watched returns the members that this node watches: those that follow it in the
// ring of sorted addresses, so that every member has equally many watchers.
func (core *Core) watched() []mimosatide.Member {
	if core.watch.row != core.head.Row || core.watch.members == nil {
		core.watch = watchList{row: core.head.Row, members: core.pickWatched()}
	}
	return slices.Clone(core.watch.members)
}

// watchList holds the members to watch at one version of the head row.
type watchList struct {
	row     mimosatide.RowVersion
	members []mimosatide.Member
}

func (core *Core) pickWatched() []mimosatide.Member {
	others := core.peers()
	if len(others) <= core.settings.WatchLimit {
		return others
	}
	slices.SortFunc(others, func(left, right mimosatide.Member) int {
		return cmp.Compare(left.Address, right.Address)
	})
	first, _ := slices.BinarySearchFunc(others, core.settings.Self.Address, func(member mimosatide.Member, self string) int {
		return cmp.Compare(member.Address, self)
	})
	ring := append(slices.Clone(others[first:]), others[:first]...)
	return ring[:core.settings.WatchLimit]
}

// reportSilent tells all peers which watched members don't answer, unless each node
// watches all members itself.
func (core *Core) reportSilent() {
	if len(core.head.Members) <= core.settings.WatchLimit+1 || core.now < core.freshness.nextSilentReport {
		return
	}
	core.freshness.nextSilentReport = core.now + LivenessTimeout
	for _, member := range core.watched() {
		received, known := core.freshness.lastReceived[member.Address]
		if !known {
			// The silence of a member that has not sent anything yet starts at the first check.
			core.freshness.lastReceived[member.Address] = core.now
			continue
		}
		if core.now-received < LivenessTimeout {
			continue
		}
		for _, peer := range core.peers() {
			core.send(peer.Address, SilentReport{Address: member.Address})
		}
	}
}

func (core *Core) recordSilent(address string) {
	if core.now-core.freshness.lastReceived[address] < LivenessTimeout {
		return
	}
	core.freshness.reportedSilent[address] = core.now
}

// Live returns the members that are considered alive, including this node.
func (core *Core) Live(now time.Duration) []mimosatide.Member {
	watched := map[string]bool{}
	for _, member := range core.watched() {
		watched[member.Address] = true
	}
	var live []mimosatide.Member
	for _, member := range core.head.Members {
		if member.Address == core.settings.Self.Address || core.isLive(now, member.Address, watched[member.Address]) {
			live = append(live, member)
		}
	}
	return live
}

// isLive judges a watched member by its own messages, and others by whether their
// watchers have reported them silent.
func (core *Core) isLive(now time.Duration, address string, watched bool) bool {
	if core.receivedRecently(now, address) || watched {
		return core.receivedRecently(now, address)
	}
	reportedAt, silent := core.freshness.reportedSilent[address]
	return !silent || now-reportedAt > silentReportTTL
}

func (core *Core) receivedRecently(now time.Duration, address string) bool {
	received, known := core.freshness.lastReceived[address]
	return known && now-received < LivenessTimeout
}
