package entrynode

import (
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/relay"
	"mimosatide.example/mimosatide/platform"
)

const (
	// directHosts is the number of other hosts up to which every host tells every
	// other one; beyond it the messages of all pairs cost more than the way over relays.
	directHosts = 20
	// relayEvery is for how long a relay gathers digests before it passes them on.
	relayEvery = 100 * time.Millisecond
	// guideWait is how long the store may hold a relay's poll open, and guideFresh
	// how old the relay's knowledge of the configuration may be, two polls and some
	// slack: a zone whose relay is cut from the store asks the store itself within
	// two seconds, of the three in which a configuration has to be in force.
	guideWait  = 500 * time.Millisecond
	guideFresh = 2*guideWait + 300*time.Millisecond
	// unfitAfter is how long the store may not answer a relay before another host is
	// chosen: a single lost answer is repeated within it.
	unfitAfter = 1500 * time.Millisecond
)

// relayed says whether news goes through relays.
func (fleet *fleet) relayed() bool {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return len(fleet.members) > directHosts
}

// hosts lists all hosts with this one; the fleet's lock is held.
func (fleet *fleet) hosts() []relay.Host {
	own := fleet.node.settings
	hosts := []relay.Host{{Name: own.Node, Address: fleet.node.self, Zone: own.Zone, CPUShare: own.Limits.CPUShare}}
	for _, member := range fleet.members {
		hosts = append(hosts, relay.Host{
			Name: member.name, Address: member.address, Zone: member.zone, CPUShare: member.cpu,
		})
	}
	return hosts
}

// zoneRelay returns the relay of this node's zone, and whether it is this node itself.
func (fleet *fleet) zoneRelay(now time.Time) (relay.Host, bool) {
	host, _ := fleet.relays.Choose(fleet.node.settings.Zone, now)
	fleet.lock.Lock()
	before := fleet.relay
	fleet.relay = host.Address
	fleet.lock.Unlock()
	if before != host.Address {
		fleet.node.log.Info("relay chosen", "relay", host.Name, "peer", host.Address, "before", before,
			"heardAge", age(now, fleet.relays.LastDigest(host.Address)))
		if host.Address == fleet.node.self {
			// Polls that may stay open for long are made anew, as the zone relies on them.
			for _, follower := range fleet.node.followers {
				follower.Interrupt()
			}
		}
	}
	return host, host.Address == fleet.node.self
}

// age is how old something is that was last heard at a time, or never.
func age(now, heard time.Time) string {
	if heard.IsZero() {
		return "never"
	}
	return now.Sub(heard).Round(time.Millisecond).String()
}

// tell hands this node's news to all others.
func (fleet *fleet) tell(news gossip.Batch) {
	if !fleet.relayed() {
		fleet.tellDirectly(news)
		return
	}
	host, self := fleet.zoneRelay(time.Now())
	if self {
		fleet.gather(news, gossip.ReachAll)
		return
	}
	news.Reach = gossip.ReachAll
	fleet.node.hub.Send(host.Address, news)
}

func (fleet *fleet) tellDirectly(news gossip.Batch) {
	addresses := fleet.addresses()
	for _, digest := range news.Digests {
		fleet.node.hub.SendAll(addresses, digest)
	}
	for _, placement := range news.Placements {
		fleet.node.hub.SendAll(addresses, placement)
	}
}

// gather keeps news for the next batch. What targets hold is waited for by
// requests and goes at once, with what has been gathered so far.
func (fleet *fleet) gather(news gossip.Batch, reach gossip.Reach) {
	fleet.lock.Lock()
	fleet.near = fleet.near.With(news)
	if reach == gossip.ReachAll {
		fleet.far = fleet.far.With(news)
	}
	urgent := len(news.Placements) > 0
	schedule := !urgent && !fleet.flushing
	fleet.flushing = fleet.flushing || schedule
	fleet.lock.Unlock()
	if urgent {
		fleet.flush()
	}
	if schedule {
		time.AfterFunc(relayEvery, func() {
			fleet.lock.Lock()
			fleet.flushing = false
			fleet.lock.Unlock()
			fleet.flush()
		})
	}
}

// flush passes the gathered news on: to this zone, and to the relays of the others.
func (fleet *fleet) flush() {
	fleet.lock.Lock()
	near, far := fleet.near, fleet.far
	fleet.near, fleet.far = gossip.Batch{}, gossip.Batch{}
	fleet.lock.Unlock()
	if !near.Empty() {
		near.Reach = gossip.ReachSelf
		fleet.node.hub.SendAll(fleet.zoneAddresses(), near)
	}
	if far.Empty() {
		return
	}
	far.Reach = gossip.ReachZone
	now := time.Now()
	var others []string
	for _, zone := range fleet.relays.Zones() {
		if zone == fleet.node.settings.Zone {
			continue
		}
		if host, found := fleet.relays.Choose(zone, now); found {
			others = append(others, host.Address)
		}
	}
	fleet.node.hub.SendAll(others, far)
}

// zoneAddresses returns the peer addresses of the other hosts of this node's zone.
func (fleet *fleet) zoneAddresses() []string {
	var addresses []string
	for _, host := range fleet.relays.HostsIn(fleet.node.settings.Zone) {
		if host.Address != fleet.node.self {
			addresses = append(addresses, host.Address)
		}
	}
	return addresses
}

// hearBatch takes the news that a relay has gathered, and passes it on if asked to.
func (fleet *fleet) hearBatch(batch gossip.Batch, now time.Time) {
	for _, digest := range batch.Digests {
		fleet.lock.Lock()
		known, found := fleet.members[digest.Node]
		address := ""
		if found {
			address = known.address
		}
		fleet.lock.Unlock()
		if found {
			fleet.hear(address, digest, now)
		}
	}
	for _, placement := range batch.Placements {
		fleet.node.loader.hearPlacement(placement)
	}
	if batch.Reach != gossip.ReachSelf {
		fleet.gather(gossip.Batch{Digests: batch.Digests, Placements: batch.Placements}, batch.Reach)
	}
}

// IsRelay says whether this node is the relay of its zone.
func (fleet *fleet) IsRelay() bool {
	if !fleet.relayed() {
		return false
	}
	_, self := fleet.zoneRelay(time.Now())
	return self
}

// leads says whether this node is its zone's relay and follows all tables as they change.
func (fleet *fleet) leads() bool {
	if !fleet.IsRelay() {
		return false
	}
	configuration := fleet.node.followers[platform.ConfigurationTable].State()
	if (bootClock{}).Now()-configuration.CurrentAt > guideFresh {
		return false
	}
	for _, follower := range fleet.node.followers {
		if state := follower.State(); !state.Healthy || !state.Synced {
			return false
		}
	}
	return true
}

// unfit says whether this node is its zone's relay and the store has not answered it for a while.
func (fleet *fleet) unfit(now time.Time) bool {
	if !fleet.IsRelay() {
		return false
	}
	for _, follower := range fleet.node.followers {
		state := follower.State()
		if !state.Healthy && (bootClock{}).Now()-state.CurrentAt > unfitAfter {
			fleet.relays.MarkStoreOutage(fleet.node.self, now)
			return true
		}
	}
	return false
}

// ReceivesFromRelay says whether the relay of this node's zone passes a table's changes on
// to it. Where a node must stop when its own knowledge is old, it asks the store itself.
func (fleet *fleet) ReceivesFromRelay(string) bool {
	if fleet.node.settings.Bounds.StopWhenStale || !fleet.relayed() {
		return false
	}
	now := time.Now()
	host, self := fleet.zoneRelay(now)
	if self || !fleet.relays.IsResponding(host.Address, now) {
		return false
	}
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	known, found := fleet.members[host.Name]
	return found && known.leads
}

// Forward hands changes of a table to the zone, if this node is its relay.
func (fleet *fleet) Forward(table string, after mimosatide.RowVersion, batch mimosatide.RowBatch, recovering bool) {
	if !fleet.IsRelay() {
		return
	}
	message := gossip.EncodeChanges(table, after, batch, recovering)
	fleet.node.hub.SendAll(fleet.zoneAddresses(), message)
}
