package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
)

// freshness knows how old this node's knowledge of the head is.
type freshness struct {
	hasRead    bool
	lastRead   time.Duration
	round      uint64
	rounds     map[uint64]time.Duration
	statements map[string]statement
	heard      map[string]time.Duration
	// silent is when a watcher last said of a member that it doesn't answer.
	silent map[string]time.Duration
	// nextTelling is when this node next tells of the silent members that it watches.
	nextTelling time.Duration
}

type statement struct {
	// host is where the process that stated runs: a process on another host that
	// has taken the address over does not speak for the member before it.
	host string
	row  mimosatide.RowVersion
	// asked is when this node asked for the statement.
	asked time.Duration
}

func newFreshness() freshness {
	return freshness{
		rounds:     map[uint64]time.Duration{},
		statements: map[string]statement{},
		heard:      map[string]time.Duration{},
		silent:     map[string]time.Duration{},
	}
}

// forget drops all but the known addresses.
func (fresh *freshness) forget(known map[string]bool) {
	unknown := func(address string, _ time.Duration) bool { return !known[address] }
	maps.DeleteFunc(fresh.heard, unknown)
	maps.DeleteFunc(fresh.silent, unknown)
	maps.DeleteFunc(fresh.statements, func(address string, _ statement) bool { return !known[address] })
}

// readAt notes a read of the table that was begun at the given time.
func (fresh *freshness) readAt(started time.Duration) {
	fresh.hasRead = true
	fresh.lastRead = max(fresh.lastRead, started)
}

func (fresh *freshness) newRound(now, keep time.Duration) uint64 {
	for round, asked := range fresh.rounds {
		if now-asked > keep {
			delete(fresh.rounds, round)
		}
	}
	fresh.round++
	fresh.rounds[fresh.round] = now
	return fresh.round
}

func (fresh *freshness) note(from string, message Statement) {
	asked, known := fresh.rounds[message.Round]
	if !known {
		return
	}
	earlier := fresh.statements[from]
	if earlier.host != message.Host {
		earlier = statement{}
	}
	fresh.statements[from] = statement{
		host:  message.Host,
		row:   max(earlier.row, message.Row),
		asked: max(earlier.asked, asked),
	}
}

// Fresh says whether this node may admit work.
func (core *Core) Fresh(now time.Duration) bool {
	return now < core.FreshUntil()
}

// FreshUntil returns until when this node may admit work with what it knows now.
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

// confirmedByPeers returns the latest time by which half of each member set had
// not yet been asked to state its head. Half of the members overlap every
// majority that holds a proposal, so one of them knows each accepted change.
func (core *Core) confirmedByPeers() (time.Duration, bool) {
	confirmed := time.Duration(0)
	for index, set := range core.head.witnessSets(core.settings.WitnessLimit) {
		oldest, enough := core.oldestOfHalf(set)
		if !enough {
			return 0, false
		}
		if index == 0 || oldest < confirmed {
			confirmed = oldest
		}
	}
	return confirmed, true
}

func (core *Core) oldestOfHalf(set []mimosatide.Member) (time.Duration, bool) {
	var asked []time.Duration
	for _, member := range set {
		if member.Address == core.settings.Self.Address {
			asked = append(asked, core.now)
			continue
		}
		if stated, known := core.freshness.statements[member.Address]; known && stated.host == member.Host {
			asked = append(asked, stated.asked)
		}
	}
	half := (len(set) + 1) / 2
	if half == 0 || len(asked) < half {
		return 0, false
	}
	slices.SortFunc(asked, func(left, right time.Duration) int { return cmp.Compare(right, left) })
	return asked[half-1], true
}

// holders counts the members that know a head of at least the given row;
// those whose host is gone can't admit work and count as well.
func (core *Core) holders(set []mimosatide.Member, row mimosatide.RowVersion) int {
	count := 0
	for _, member := range set {
		if core.holds(member, row) {
			count++
		}
	}
	return count
}

func (core *Core) holds(member mimosatide.Member, row mimosatide.RowVersion) bool {
	if member.Address == core.settings.Self.Address {
		return core.head.Row >= row
	}
	if core.hosts.gone(core.now, core.settings.HostLag, member) {
		return true
	}
	stated := core.freshness.statements[member.Address]
	return stated.host == member.Host && stated.row >= row
}

// majorityHolds says whether a majority of each member set holds the row.
func (core *Core) majorityHolds(row mimosatide.RowVersion) bool {
	for _, set := range core.head.witnessSets(core.settings.WitnessLimit) {
		if core.holders(set, row) <= len(set)/2 {
			return false
		}
	}
	return true
}

func (core *Core) everyoneHolds(row mimosatide.RowVersion) bool {
	return core.holders(core.head.Members, row) == len(core.head.Members)
}

// ping watches a few members, and asks the witnesses for statements while the
// table doesn't answer.
func (core *Core) ping() {
	if !core.headKnown || core.now < core.nextPing {
		return
	}
	core.nextPing = core.now + core.pingEvery()
	asked := core.watched()
	if core.now-core.freshness.lastRead > 2*core.settings.ReadEvery {
		core.nextPing = core.now + core.settings.PingEvery
		asked = append(asked, core.othersOf(core.head.witnessSets(core.settings.WitnessLimit))...)
	}
	round := core.freshness.newRound(core.now, core.settings.Freshness)
	sent := map[string]bool{}
	for _, member := range asked {
		if !sent[member.Address] {
			sent[member.Address] = true
			core.send(member.Address, Ping{Round: round, Row: core.head.Row})
		}
	}
	core.tellSilent()
}

// pushHead hands the head to every member that isn't known to have it.
func (core *Core) pushHead() {
	round := core.freshness.newRound(core.now, core.settings.Freshness)
	value := EncodeHead(core.head)
	for _, member := range core.peers() {
		if core.freshness.statements[member.Address].row < core.head.Row {
			core.send(member.Address, Push{Round: round, Row: core.head.Row, Head: value})
		}
	}
}

// peers returns all present and proposed members but this node.
func (core *Core) peers() []mimosatide.Member {
	return core.othersOf(core.head.memberSets())
}

func (core *Core) othersOf(sets [][]mimosatide.Member) []mimosatide.Member {
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
	core.freshness.heard[from] = core.now
	delete(core.freshness.silent, from)
	switch message := message.(type) {
	case Ping:
		core.state(from, message.Round, message.Row)
	case Push:
		core.learnHead(message.Row, message.Head)
		core.state(from, message.Round, message.Row)
	case Statement:
		if len(message.Head) > 0 && !core.learnHead(message.Row, message.Head) {
			return
		}
		if core.headKnown && message.Row <= core.head.Row {
			core.freshness.note(from, message)
		}
	case Silent:
		core.noteSilent(message.Address)
	case AskRead:
		core.noteAsk(from, message)
	case ReadFor:
		core.takeRelayed(message)
	case AskEntries:
		core.giveEntries(from, message.After)
	case GiveEntries:
		core.takeEntries(message)
	}
}

// state answers with the newest known head. A process that hasn't read the
// table itself says nothing: it may have forgotten what it held before a restart.
func (core *Core) state(to string, round uint64, theirs mimosatide.RowVersion) {
	if !core.freshness.hasRead {
		return
	}
	answer := Statement{Round: round, Row: core.head.Row, Host: core.settings.Self.Host}
	if theirs < core.head.Row {
		answer.Head = EncodeHead(core.head)
	}
	core.send(to, answer)
}
