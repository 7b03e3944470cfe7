package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide"
)

// freshness tracks the age of this node's knowledge of the head, and what it has
// received from and about the other members. Its maps are keyed by address unless noted otherwise.
type freshness struct {
	// hasRead is whether this process has learned the head from the table itself.
	hasRead bool
	// lastRead is when the newest successful read of the head was begun or, if it was
	// relayed, requested.
	lastRead time.Duration
	// round is the number of the last round of requests.
	round uint64
	// roundStarts holds the start of every recent round of requests by its number.
	roundStarts   map[uint64]time.Duration
	reportedHeads map[string]reportedHead
	// lastReceived is when the last message from a peer arrived.
	lastReceived map[string]time.Duration
	// reportedSilent is when a watcher last reported that a member does not answer.
	reportedSilent map[string]time.Duration
	// nextSilentReport is when this node next reports the members it watches that don't answer.
	nextSilentReport time.Duration
}

// reportedHead is the newest head that another member has reported to know.
type reportedHead struct {
	// host is the host of the process that sent the report. A process that took
	// over the address on another host does not confirm anything for the former member.
	host string
	row  mimosatide.RowVersion
	// requestedAt is when this node asked for the report.
	requestedAt time.Duration
}

// newFreshness returns the state of a new process. Its rounds are numbered from a start of
// its own: a late report to an earlier process at the address must not match one of them.
func newFreshness(nonce string) freshness {
	return freshness{
		// Four bytes keep the encoded messages short.
		round:          xxhash.Sum64String(nonce) >> 32,
		roundStarts:    map[uint64]time.Duration{},
		reportedHeads:  map[string]reportedHead{},
		lastReceived:   map[string]time.Duration{},
		reportedSilent: map[string]time.Duration{},
	}
}

// keepOnly drops the state of all but the known addresses.
func (fresh *freshness) keepOnly(known map[string]bool) {
	unknown := func(address string, _ time.Duration) bool { return !known[address] }
	maps.DeleteFunc(fresh.lastReceived, unknown)
	maps.DeleteFunc(fresh.reportedSilent, unknown)
	maps.DeleteFunc(fresh.reportedHeads, func(address string, _ reportedHead) bool { return !known[address] })
}

// recordRead records a successful read of the head that was begun or requested at started.
func (fresh *freshness) recordRead(started time.Duration) {
	fresh.hasRead = true
	fresh.lastRead = max(fresh.lastRead, started)
}

// newRound starts a round of requests and returns its number. It drops rounds
// that started longer ago than keep.
func (fresh *freshness) newRound(now, keep time.Duration) uint64 {
	for round, startedAt := range fresh.roundStarts {
		if now-startedAt > keep {
			delete(fresh.roundStarts, round)
		}
	}
	fresh.round++
	fresh.roundStarts[fresh.round] = now
	return fresh.round
}

func (fresh *freshness) recordHeadReport(from string, message HeadReport) {
	requestedAt, known := fresh.roundStarts[message.Round]
	if !known {
		return
	}
	previous := fresh.reportedHeads[from]
	if previous.host != message.Host {
		previous = reportedHead{}
	}
	fresh.reportedHeads[from] = reportedHead{
		host:        message.Host,
		row:         max(previous.row, message.Row),
		requestedAt: max(previous.requestedAt, requestedAt),
	}
}

// Fresh reports whether this node may admit work.
func (core *Core) Fresh(now time.Duration) bool {
	return now < core.FreshUntil()
}

// FreshUntil returns the time until which this node may admit work with its
// present knowledge, or zero if it may not admit any.
func (core *Core) FreshUntil() time.Duration {
	behind := core.log.applied != core.head.Sequence
	if !core.freshness.hasRead || behind || !core.isMember() {
		return 0
	}
	limit := core.settings.shortened(core.settings.Freshness)
	until := core.freshness.lastRead + limit
	if confirmed, enough := core.confirmedByPeers(); enough {
		until = max(until, confirmed+limit)
	}
	return until
}

// confirmedByPeers returns the latest time such that at least half of each witness
// set has answered a request sent at that time or later. Half of a set overlaps
// with every majority, so one of them knows each proposal accepted before then.
func (core *Core) confirmedByPeers() (time.Duration, bool) {
	confirmed := time.Duration(0)
	for index, set := range core.head.witnessSets(core.settings.WitnessLimit) {
		oldest, enough := core.confirmedByHalf(set)
		if !enough {
			return 0, false
		}
		if index == 0 || oldest < confirmed {
			confirmed = oldest
		}
	}
	return confirmed, true
}

// confirmedByHalf returns the latest time such that at least half of the set has
// answered a request sent at that time or later. It returns false if fewer have answered.
func (core *Core) confirmedByHalf(set []mimosatide.Member) (time.Duration, bool) {
	var requestTimes []time.Duration
	for _, member := range set {
		if member.Address == core.settings.Self.Address {
			requestTimes = append(requestTimes, core.now)
			continue
		}
		if reported, known := core.freshness.reportedHeads[member.Address]; known && reported.host == member.Host {
			requestTimes = append(requestTimes, reported.requestedAt)
		}
	}
	half := (len(set) + 1) / 2
	if half == 0 || len(requestTimes) < half {
		return 0, false
	}
	slices.SortFunc(requestTimes, func(left, right time.Duration) int { return cmp.Compare(right, left) })
	return requestTimes[half-1], true
}

// countAcknowledged returns how many members of the set have acknowledged the head
// at the given row version or a newer one. Members whose host is gone can't admit
// work and count as well.
func (core *Core) countAcknowledged(set []mimosatide.Member, row mimosatide.RowVersion) int {
	count := 0
	for _, member := range set {
		if core.acknowledged(member, row) {
			count++
		}
	}
	return count
}

func (core *Core) acknowledged(member mimosatide.Member, row mimosatide.RowVersion) bool {
	if member.Address == core.settings.Self.Address {
		return core.head.Row >= row
	}
	if core.hosts.gone(core.now, core.settings.HostLag, member) {
		return true
	}
	reported := core.freshness.reportedHeads[member.Address]
	return reported.host == member.Host && reported.row >= row
}

// majorityAcknowledged reports whether a majority of each witness set has
// acknowledged the head at the given row version.
func (core *Core) majorityAcknowledged(row mimosatide.RowVersion) bool {
	for _, set := range core.head.witnessSets(core.settings.WitnessLimit) {
		if core.countAcknowledged(set, row) <= len(set)/2 {
			return false
		}
	}
	return true
}

func (core *Core) allAcknowledged(row mimosatide.RowVersion) bool {
	return core.countAcknowledged(core.head.Members, row) == len(core.head.Members)
}

// pingMembers pings the members that this node watches and, while the table does
// not answer, the witnesses, whose reports then keep this node fresh.
func (core *Core) pingMembers() {
	if !core.headKnown || core.now < core.nextPing {
		return
	}
	core.nextPing = core.now + core.pingEvery()
	recipients := core.watched()
	if core.now-core.freshness.lastRead > 2*core.settings.ReadEvery {
		core.nextPing = core.now + core.settings.PingEvery
		recipients = append(recipients, core.distinctOthers(core.head.witnessSets(core.settings.WitnessLimit))...)
	}
	round := core.freshness.newRound(core.now, core.settings.Freshness)
	sent := map[string]bool{}
	for _, member := range recipients {
		if !sent[member.Address] {
			sent[member.Address] = true
			core.send(member.Address, Ping{Round: round, Row: core.head.Row})
		}
	}
	core.reportSilent()
}

// pushHead sends the head to every member that has not acknowledged it.
func (core *Core) pushHead() {
	round := core.freshness.newRound(core.now, core.settings.Freshness)
	value := EncodeHead(core.head)
	for _, member := range core.peers() {
		if core.freshness.reportedHeads[member.Address].row < core.head.Row {
			core.send(member.Address, HeadPush{Round: round, Row: core.head.Row, Head: value})
		}
	}
}

// peers returns all present and proposed members except this node.
func (core *Core) peers() []mimosatide.Member {
	return core.distinctOthers(core.head.memberSets())
}

// distinctOthers returns the members of all sets except this node, one per address.
func (core *Core) distinctOthers(sets [][]mimosatide.Member) []mimosatide.Member {
	var others []mimosatide.Member
	known := map[string]bool{core.settings.Self.Address: true}
	for _, set := range sets {
		for _, member := range set {
			if !known[member.Address] {
				known[member.Address] = true
				others = append(others, member)
			}
		}
	}
	return others
}

func (core *Core) receive(from string, message Message) {
	core.freshness.lastReceived[from] = core.now
	delete(core.freshness.reportedSilent, from)
	switch message := message.(type) {
	case Ping:
		core.sendHeadReport(from, message.Round, message.Row)
	case HeadPush:
		core.learnHead(message.Row, message.Head)
		core.sendHeadReport(from, message.Round, message.Row)
	case HeadReport:
		if len(message.Head) > 0 && !core.learnHead(message.Row, message.Head) {
			return
		}
		if core.headKnown && message.Row <= core.head.Row {
			core.freshness.recordHeadReport(from, message)
		}
	case SilentReport:
		core.recordSilent(message.Address)
	case ReadRequest:
		core.queueReadRequest(from, message)
	case ReadResponse:
		core.recordRelayedRead(message)
	case EntriesRequest:
		core.sendEntries(from, message.After)
	case EntriesResponse:
		core.addEntries(message)
	}
}

// sendHeadReport answers with the newest known head, and includes it if the
// receiver's known row version is older. A process that has not read the table
// itself does not answer, because it may have lost in a restart what it
// acknowledged before.
func (core *Core) sendHeadReport(to string, round uint64, known mimosatide.RowVersion) {
	if !core.freshness.hasRead {
		return
	}
	answer := HeadReport{Round: round, Row: core.head.Row, Host: core.settings.Self.Host}
	if known < core.head.Row {
		answer.Head = EncodeHead(core.head)
	}
	core.send(to, answer)
}
