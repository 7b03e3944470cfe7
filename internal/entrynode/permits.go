package entrynode

import (
	"maps"
	"time"

	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/permit"
	"mimosatide.example/mimosatide/platform"
)

const (
	// homeDigestAge is the age of a host's last digest, or of its row if there was none, up to
	// which it may be a target's home.
	homeDigestAge = permit.HeardAge
	// deliveryTime bounds the time of a message between two hosts in contact.
	deliveryTime = 200 * time.Millisecond
	// directContactDelay and relayedContactDelay are the times within which hosts in contact hear each other
	// and those without lose each other, without and with relays: the interval of the digests of an idle host
	// or, of a host in another zone, the silence after which a summary names it and the interval of
	// the summaries.
	directContactDelay  = idleDigestFactor*digestInterval + deliveryTime
	relayedContactDelay = silentAfter + digestInterval + relayBatchDelay + deliveryTime
	// listDelay is how long after this node's row the other hosts know of it: the batching of the
	// changes of the list and of a relay.
	listDelay = 2 * hostBatchDelay
	// heardLifetime is how long the part that this node may issue is kept: hundreds of permits a second are
	// issued by it.
	heardLifetime = 100 * time.Millisecond
	// silentHomeTime is how long a host that has not answered is no target's home.
	silentHomeTime = 3 * time.Second
)

// Home chooses the home of a target among the hosts that are alive. It implements permit.Peers.
func (fleet *fleet) Home(target string) (address string, self bool) {
	now := time.Now()
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	address, highest := fleet.node.peerAddress, permit.Weight(target, fleet.node.settings.Node)
	for name, member := range fleet.members {
		if !fleet.isHeardLocked(member, now) || now.Before(fleet.silentUntil[member.address]) {
			continue
		}
		if weight := permit.Weight(target, name); weight > highest {
			address, highest = member.address, weight
		}
	}
	return address, address == fleet.node.peerAddress
}

// IsDeputy reports whether another host may still issue permits for a cold target as its home, also one that
// has not answered this node. It implements permit.Peers.
func (fleet *fleet) IsDeputy(target string) bool {
	now := time.Now()
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return fleet.contacts.Precedes(target, fleet.node.settings.Node, fleet.contactDelayLocked(), now)
}

// contactDelayLocked returns the time within which hosts in contact hear each other, and lose it when the
// contact ends.
func (fleet *fleet) contactDelayLocked() time.Duration {
	if len(fleet.members) > maxDirectHosts {
		return relayedContactDelay
	}
	return directContactDelay
}

// isHeardLocked reports whether a host sends digests, or has only just come on the list.
func (fleet *fleet) isHeardLocked(member *member, now time.Time) bool {
	heard := fleet.lastHeardLocked(member)
	if member.timeoutStart.After(heard) {
		heard = member.timeoutStart
	}
	return now.Sub(heard) <= homeDigestAge
}

// Heard returns the part of the rates of cold targets that this node may issue; zero before it knows the list
// of hosts and is known on it. It implements permit.Peers.
func (fleet *fleet) Heard() float64 {
	if !fleet.node.followers[hostTable].State().Synced {
		return 0
	}
	// The list comes to this node in the same ways as the configuration.
	listAge := bootClock{}.Now() - fleet.node.followers[platform.ConfigurationTable].State().ConfirmedAt
	now := time.Now()
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	if now.Sub(fleet.heardAt) >= heardLifetime {
		fleet.updateContactsLocked(now)
		fleet.heardAt, fleet.heard = now, fleet.contacts.Part(fleet.contactDelayLocked(), listAge <= permit.ListAge, now)
	}
	if fleet.listedFrom.IsZero() || now.Before(fleet.listedFrom) {
		return 0
	}
	return fleet.heard
}

// updateContacts records which hosts are in contact with this node. It is called several times a second.
func (fleet *fleet) updateContacts(now time.Time) {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	fleet.updateContactsLocked(now)
}

func (fleet *fleet) updateContactsLocked(now time.Time) {
	heard := make(map[string]time.Time, len(fleet.members))
	for name, member := range fleet.members {
		heard[name] = fleet.lastHeardLocked(member)
	}
	fleet.contacts.Update(heard, now)
}

// recordOwnRowLocked records that this node's row is on the list, or no longer. The others know of it already if
// an earlier process of the host has written it.
func (fleet *fleet) recordOwnRowLocked(listed, earlier bool, now time.Time) {
	switch {
	case !listed:
		fleet.listedFrom = time.Time{}
	case fleet.listedFrom.IsZero() && earlier:
		fleet.listedFrom = now
	case fleet.listedFrom.IsZero():
		fleet.listedFrom = now.Add(listDelay)
	}
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
	if _, self := node.fleet.Home(request.Target); !self && !request.Shared {
		request.Rate *= permit.DeputyShare
	}
	verdict := node.permits.Issue(request, now)
	node.hub.Send(message.From, gossip.EncodePermitResponse(message.Number, verdict))
}
