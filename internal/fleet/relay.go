package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide"
)

// roundsPerDirectRead is the number of read rounds, of a node that is no relay, per
// read of its own, from which it learns the holders of the shares.
const roundsPerDirectRead = 64

// relay lets a few members read the table for the others. A read that the relay
// begins after the request arrived is at least as fresh as a read that the
// requesting node begins when it sends the request.
type relay struct {
	// requests wait for the next read that begins at this node.
	requests []pendingRead
	// rounds counts the read rounds of this node.
	rounds int
}

// pendingRead is a member's ReadRequest that is not answered yet.
type pendingRead struct {
	from  string
	round uint64
	row   mimosatide.RowVersion
	at    time.Duration
}

// relays returns the members that read the table for the others.
func (core *Core) relays() []mimosatide.Member {
	return core.head.Members[:min(len(core.head.Members), core.settings.RelayLimit)]
}

// queueReadRequest keeps a member's request for the next read and brings that read forward.
func (core *Core) queueReadRequest(from string, request ReadRequest) {
	core.relay.requests = append(core.relay.requests, pendingRead{from: from, round: request.Round, row: request.Row, at: core.now})
	core.nextRead = min(core.nextRead, core.now+core.settings.ReadEvery/2)
}

// isWitness reports whether this node is a voting member, at present or as proposed.
func (core *Core) isWitness() bool {
	for _, set := range core.head.witnessSets(core.settings.WitnessLimit) {
		if hasMember(set, core.settings.Self.Address) {
			return true
		}
	}
	return false
}

// requestRelayedRead asks a relay to read the head. It returns false if this node
// must read the table itself: because it is a relay or no member, no read,
// direct or relayed, has succeeded for four fifths of Settings.Freshness, a direct read
// is due, or every relay has been reported silent.
func (core *Core) requestRelayedRead() bool {
	core.relay.rounds++
	readRecently := core.now-core.freshness.lastRead <= core.settings.Freshness*4/5
	if hasMember(core.relays(), core.settings.Self.Address) || !core.isMember() || !readRecently || core.relay.rounds%roundsPerDirectRead == 0 {
		return false
	}
	live := slices.DeleteFunc(slices.Clone(core.relays()), func(relay mimosatide.Member) bool {
		reportedAt, silent := core.freshness.reportedSilent[relay.Address]
		return silent && core.now-reportedAt <= silentReportTTL
	})
	if len(live) == 0 {
		return false
	}
	start := xxhash.Sum64String(core.settings.Self.Address)
	chosen := live[(start+uint64(core.relay.rounds))%uint64(len(live))]
	round := core.freshness.newRound(core.now, core.settings.Freshness)
	core.send(chosen.Address, ReadRequest{Round: round, Row: core.head.Row})
	return true
}

// answerReadRequests sends the result of a read begun at started to the members
// whose requests arrived before that.
func (core *Core) answerReadRequests(started time.Duration) {
	var later []pendingRead
	value := []byte(nil)
	for _, request := range core.relay.requests {
		if request.at > started {
			later = append(later, request)
			continue
		}
		answer := ReadResponse{Round: request.round, Row: core.head.Row}
		if request.row < core.head.Row {
			if value == nil {
				value = EncodeHead(core.head)
			}
			answer.Head = value
		}
		core.send(request.from, answer)
	}
	core.relay.requests = later
}

// recordRelayedRead records a relay's read as begun when this node asked for it.
func (core *Core) recordRelayedRead(message ReadResponse) {
	startedAt, known := core.freshness.roundStarts[message.Round]
	if !known || (len(message.Head) > 0 && !core.learnHead(message.Row, message.Head)) {
		return
	}
	if core.headKnown && message.Row <= core.head.Row && core.freshness.hasRead {
		core.freshness.recordRead(startedAt)
	}
}
