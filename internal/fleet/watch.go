package fleet

import (
	"cmp"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
)

// largePingEvery is how often a member is pinged in a fleet that nobody watches as a whole.
const largePingEvery = time.Second

// pingEvery is how often this node pings the members that it watches.
func (core *Core) pingEvery() time.Duration {
	if len(core.head.Members) > core.settings.WatchLimit+1 {
		return max(core.settings.PingEvery, largePingEvery)
	}
	return core.settings.PingEvery
}

// silenceLife is how long a watcher's word counts that a member doesn't answer.
const silenceLife = 2 * MinLiveAfter

// watched returns the members that this node watches: those behind it in the
// order of their addresses, so that each member has as many watchers.
func (core *Core) watched() []mimosatide.Member {
	if core.watch.row != core.head.Row || core.watch.members == nil {
		core.watch = watchList{row: core.head.Row, members: core.pickWatched()}
	}
	return slices.Clone(core.watch.members)
}

// watchList is the members to watch under one head.
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

// tellSilent passes on which watched members don't answer.
func (core *Core) tellSilent() {
	if len(core.head.Members) <= core.settings.WatchLimit+1 || core.now < core.freshness.nextTelling {
		return
	}
	core.freshness.nextTelling = core.now + MinLiveAfter
	for _, member := range core.watched() {
		heard, known := core.freshness.heard[member.Address]
		if !known {
			// A member that never says a word is silent from the first look at it.
			core.freshness.heard[member.Address] = core.now
			continue
		}
		if core.now-heard < MinLiveAfter {
			continue
		}
		for _, peer := range core.peers() {
			core.send(peer.Address, Silent{Address: member.Address})
		}
	}
}

func (core *Core) noteSilent(address string) {
	if core.now-core.freshness.heard[address] < MinLiveAfter {
		return
	}
	core.freshness.silent[address] = core.now
}

// Live returns the members that are taken to be alive, this node included.
func (core *Core) Live(now time.Duration) []mimosatide.Member {
	watched := map[string]bool{}
	for _, member := range core.watched() {
		watched[member.Address] = true
	}
	var live []mimosatide.Member
	for _, member := range core.head.Members {
		if member.Address == core.settings.Self.Address || core.takenForLive(now, member.Address, watched[member.Address]) {
			live = append(live, member)
		}
	}
	return live
}

// takenForLive judges a watched member by its own words, and the others by their watchers'.
func (core *Core) takenForLive(now time.Duration, address string, watched bool) bool {
	if core.heardLately(now, address) || watched {
		return core.heardLately(now, address)
	}
	told, silent := core.freshness.silent[address]
	return !silent || now-told > silenceLife
}

func (core *Core) heardLately(now time.Duration, address string) bool {
	heard, known := core.freshness.heard[address]
	return known && now-heard < MinLiveAfter
}
