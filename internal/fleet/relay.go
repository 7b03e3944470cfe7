package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide"
)

// directReadEvery is how many relayed reads go between two reads of its own
// by a node that is no relay: those tell it who holds the shares.
const directReadEvery = 64

// relay lets a few witnesses read the table for the other members. A read that a
// relay begins after it was asked is as good as one that the asker begins
// when it asks.
type relay struct {
	// asks wait for this relay's next read.
	asks []relayAsk
	// count numbers this node's own rounds of reading.
	count int
}

type relayAsk struct {
	from  string
	round uint64
	row   mimosatide.RowVersion
	at    time.Duration
}

// relays are the witnesses that read the table for the others.
func (core *Core) relays() []mimosatide.Member {
	return core.head.Members[:min(len(core.head.Members), core.settings.RelayLimit)]
}

// noteAsk keeps a member's ask for the next read, which then comes sooner.
func (core *Core) noteAsk(from string, ask AskRead) {
	core.relay.asks = append(core.relay.asks, relayAsk{from: from, round: ask.Round, row: ask.Row, at: core.now})
	core.nextRead = min(core.nextRead, core.now+core.settings.ReadEvery/2)
}

// isWitness says whether this node is among those that make up the quorums.
func (core *Core) isWitness() bool {
	for _, set := range core.head.witnessSets(core.settings.WitnessLimit) {
		if hasMember(set, core.settings.Self.Address) {
			return true
		}
	}
	return false
}

// askRelay asks one relay to read the head, and says whether this node can
// do without a read of its own.
func (core *Core) askRelay() bool {
	core.relay.count++
	answered := core.now-core.freshness.lastRead <= core.settings.Freshness*4/5
	if hasMember(core.relays(), core.settings.Self.Address) || !core.isMember() || !answered || core.relay.count%directReadEvery == 0 {
		return false
	}
	live := slices.DeleteFunc(slices.Clone(core.relays()), func(relay mimosatide.Member) bool {
		told, silent := core.freshness.silent[relay.Address]
		return silent && core.now-told <= silenceLife
	})
	if len(live) == 0 {
		return false
	}
	start := xxhash.Sum64String(core.settings.Self.Address)
	chosen := live[(start+uint64(core.relay.count))%uint64(len(live))]
	round := core.freshness.newRound(core.now, core.settings.Freshness)
	core.send(chosen.Address, AskRead{Round: round, Row: core.head.Row})
	return true
}

// answerRelayed hands a finished read to those who had asked before it began.
func (core *Core) answerRelayed(started time.Duration) {
	var later []relayAsk
	value := []byte(nil)
	for _, ask := range core.relay.asks {
		if ask.at > started {
			later = append(later, ask)
			continue
		}
		answer := ReadFor{Round: ask.round, Row: core.head.Row}
		if ask.row < core.head.Row {
			if value == nil {
				value = EncodeHead(core.head)
			}
			answer.Head = value
		}
		core.send(ask.from, answer)
	}
	core.relay.asks = later
}

// takeRelayed counts a relay's read from the moment at which it was asked for.
func (core *Core) takeRelayed(message ReadFor) {
	asked, known := core.freshness.rounds[message.Round]
	if !known || (len(message.Head) > 0 && !core.learnHead(message.Row, message.Head)) {
		return
	}
	if core.headKnown && message.Row <= core.head.Row && core.freshness.hasRead {
		core.freshness.readAt(asked)
	}
}
