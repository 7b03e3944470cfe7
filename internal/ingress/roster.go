package ingress

import (
	"slices"
	"time"
)

// Roster decides which connections are open when more are wanted than there may be. It is not
// safe for concurrent use.
//
// At the bound, a new connection takes the place of another. The address that it comes from gets
// no more than its share, the bound divided by the addresses: above that, one of its own makes
// room. Otherwise addresses above their share give way first, the one with the most connections
// before the others. Idle connections are closed before those that wait for their caller, and
// these before ones whose request has not arrived yet or is running. Below the bound an address
// may have any number: a balancer may hide the addresses of many callers.
type Roster struct {
	bound   int
	members []*Member
	sources map[string]*source
}

// source is an address that connections come from.
type source struct {
	address string
	count   int
}

// rank orders the connections that may be closed; lower ones are closed first.
type rank int

const (
	rankIdleAboveShare rank = iota
	rankWaitingAboveShare
	rankIdle
	rankWaiting
	rankArrivingAboveShare
	rankRunningAboveShare
	// rankKept is that of a connection that is not closed.
	rankKept
)

// NewRoster returns a roster for at most bound connections.
func NewRoster(bound int) *Roster {
	return &Roster{bound: max(bound, 1), sources: map[string]*source{}}
}

// Count returns the number of connections.
func (roster *Roster) Count() int {
	return len(roster.members)
}

// Full reports whether a new connection needs the place of another.
func (roster *Roster) Full() bool {
	return len(roster.members) >= roster.bound
}

// Add adds a new connection from an address.
func (roster *Roster) Add(address string, now time.Duration) *Member {
	from, found := roster.sources[address]
	if !found {
		from = &source{address: address}
		roster.sources[address] = from
	}
	from.count++
	member := &Member{source: from, position: len(roster.members)}
	member.state.Store(stateOf(StageNew, now))
	roster.members = append(roster.members, member)
	return member
}

// Remove removes a connection; only the first call has an effect.
func (roster *Roster) Remove(member *Member) {
	if member.position < 0 {
		return
	}
	last := len(roster.members) - 1
	roster.members[member.position] = roster.members[last]
	roster.members[member.position].position = member.position
	roster.members = slices.Delete(roster.members, last, last+1)
	member.position = -1
	member.source.count--
	if member.source.count == 0 {
		delete(roster.sources, member.source.address)
	}
}

// Choose returns the connection to close for a new one from an address, with its stage; nil if
// the new one has to go. Without an address only one that waits for its caller is closed.
func (roster *Roster) Choose(address string, now time.Duration) (*Member, Stage) {
	addresses, own := len(roster.sources), roster.sources[address]
	if own == nil {
		addresses++
	}
	share := max(roster.bound/addresses, 1)
	var chosen *Member
	var chosenStage Stage
	var chosenSince time.Duration
	chosenRank := rankKept
	for _, member := range roster.members {
		stage, since := member.read()
		if own != nil && own.count >= share && member.source != own {
			continue
		}
		ranked := member.rank(stage, now-since, member.source.count > share, now)
		if (address == "" || own != nil && own.count >= share) && ranked > rankWaiting {
			continue
		}
		if ranked < chosenRank || ranked == chosenRank && ranked != rankKept && member.before(chosen, since, chosenSince, ranked) {
			chosen, chosenStage, chosenSince, chosenRank = member, stage, since, ranked
		}
	}
	return chosen, chosenStage
}

// rank returns when a connection is closed that has been in its stage for a time; aboveShare says that its
// address has more than its share.
func (member *Member) rank(stage Stage, age time.Duration, aboveShare bool, now time.Duration) rank {
	old := age >= patience
	idle := stage == StageIdle || stage == StageNew && old
	waiting := (stage == StageHeader || stage == StageBody) && old || member.blocked(now) >= patience
	switch {
	case stage == StageClosed:
		return rankKept
	case idle && aboveShare:
		return rankIdleAboveShare
	case waiting && aboveShare:
		return rankWaitingAboveShare
	case idle:
		return rankIdle
	case waiting:
		return rankWaiting
	case !aboveShare:
		return rankKept
	case stage == StageRunning:
		return rankRunningAboveShare
	default:
		return rankArrivingAboveShare
	}
}

// before reports whether the member is closed before another one of the same rank: that of the
// address with more connections, then the one that has been in its stage for longer. Of those
// that are running, the latest has the least to lose.
func (member *Member) before(other *Member, since, otherSince time.Duration, ranked rank) bool {
	if member.source.count != other.source.count {
		return member.source.count > other.source.count
	}
	if ranked == rankRunningAboveShare {
		return since > otherSince
	}
	return since < otherSince
}
