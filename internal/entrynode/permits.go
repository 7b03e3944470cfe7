package entrynode

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/permit"
)

const (
	// homeDigestAge is the age of a host's last digest, or of its row if there was none, up to
	// which it may be a target's home.
	homeDigestAge = 1500 * time.Millisecond
	// heardLifetime is how long the part of the hosts that this node hears is kept: hundreds of permits a
	// second are issued by it.
	heardLifetime = 100 * time.Millisecond
	// silentHomeTime is how long a host that has not answered is no target's home.
	silentHomeTime = 3 * time.Second
)

// Home chooses the home of a target among the hosts that are alive. It implements permit.Peers.
func (fleet *fleet) Home(target string) (address string, self bool) {
	address, self, _ = fleet.chooseHome(target)
	return address, self
}

// chooseHome also reports whether this node is only a deputy: a host that it hears, but that has not
// answered, is the home for others.
func (fleet *fleet) chooseHome(target string) (address string, self, deputy bool) {
	now := time.Now()
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	address, highest := fleet.node.peerAddress, xxhash.Sum64String(target+"@"+fleet.node.settings.Node)
	silent := uint64(0)
	for name, member := range fleet.members {
		if !fleet.isHeardLocked(member, now) {
			continue
		}
		weight := xxhash.Sum64String(target + "@" + name)
		if now.Before(fleet.silentUntil[member.address]) {
			silent = max(silent, weight)
		} else if weight > highest {
			address, highest = member.address, weight
		}
	}
	return address, address == fleet.node.peerAddress, silent > highest
}

// IsDeputy reports whether another host, which has not answered this node, is a target's home for others.
// It implements permit.Peers.
func (fleet *fleet) IsDeputy(target string) bool {
	_, self, deputy := fleet.chooseHome(target)
	return self && deputy
}

// isHeardLocked reports whether a host sends digests, or has only just come on the list.
func (fleet *fleet) isHeardLocked(member *member, now time.Time) bool {
	heard := fleet.lastHeardLocked(member)
	if member.timeoutStart.After(heard) {
		heard = member.timeoutStart
	}
	return now.Sub(heard) <= homeDigestAge
}

// Heard returns the part of the hosts on the list whose digests this node gets; zero before it knows the
// list. The groups of a divided fleet hear parts that add up to 1 at most. It implements permit.Peers.
func (fleet *fleet) Heard() float64 {
	if !fleet.node.followers[hostTable].State().Synced {
		return 0
	}
	now := time.Now()
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	if now.Sub(fleet.heardAt) < heardLifetime {
		return fleet.heard
	}
	heard := 1
	for _, member := range fleet.members {
		if now.Sub(fleet.lastHeardLocked(member)) <= homeDigestAge {
			heard++
		}
	}
	fleet.heardAt, fleet.heard = now, float64(heard)/float64(len(fleet.members)+1)
	return fleet.heard
}

// Ask implements permit.Peers.
func (fleet *fleet) Ask(address string, number uint64, request permit.Request) {
	fleet.node.hub.Send(address, gossip.EncodePermitRequest(fleet.node.peerAddress, number, request))
}

// Silent implements permit.Peers.
func (fleet *fleet) Silent(address string) {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	now := time.Now()
	maps.DeleteFunc(fleet.silentUntil, func(_ string, until time.Time) bool { return now.After(until) })
	fleet.silentUntil[address] = now.Add(silentHomeTime)
}

// handlePermitRequest answers a peer's request for a permit. This node is the target's home
// in the eyes of the peer, which may not reach the one that is the home for others.
func (node *Node) handlePermitRequest(message gossip.PermitRequest, now time.Time) {
	request := message.Request()
	if _, self := node.fleet.Home(request.Target); !self {
		request.Rate *= permit.DeputyShare
	}
	verdict := node.permits.Issue(request, now)
	node.hub.Send(message.From, gossip.EncodePermitResponse(message.Number, verdict))
}
