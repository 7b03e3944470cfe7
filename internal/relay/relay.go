// Package relay selects the nodes that forward messages in a large fleet.
//
// In a small fleet every node sends its messages to every other one. In a large
// fleet each node sends them to the relay of its zone, which batches what it
// receives and forwards it to the nodes of its zone and to the relays of the
// other zones. The nodes need not agree on the relays: each node chooses for itself,
// and any node that is asked to forward a batch does so. A message that reaches
// any running node of a zone therefore reaches the whole zone.
//
// A digest is the state that each node sends to all others several times a second
// (gossip.Digest).
//
// # Usage
//
//	chooser := relay.New("10.1.0.2:7600")
//	chooser.SetHosts(hosts)
//	chooser.MessageReceived(address, now)
//	host, found := chooser.Choose("zone-a", now)
package relay

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// silenceTimeout is how long a relay may send nothing before another one is
	// chosen: an idle relay still sends a digest every 400 ms.
	silenceTimeout = 650 * time.Millisecond
	// minExclusion is the shortest time for which a silent relay is excluded. It stays
	// excluded for longer if no digest of it arrives later than silenceTimeout after the
	// exclusion began.
	minExclusion = 3 * time.Second
	// storeOutageTime is how long a host that can't reach the store is chosen only
	// after the others: outages that affect some hosts last about as long.
	storeOutageTime = 10 * time.Second
	// minCPUFraction is the fraction of the CPU share of a zone's strongest host from
	// which a host is strong enough to forward the messages of the whole zone.
	minCPUFraction = 0.5
)

// Host is a node that may be chosen.
type Host struct {
	Name    string
	Address string
	Zone    string
	// CPUShare is the fraction of a core that the node may use.
	CPUShare float64
}

type choice struct {
	address string
	since   time.Time
}

// Chooser chooses the relay of each zone and keeps track of which hosts respond.
// Its methods may be called concurrently.
type Chooser struct {
	self string
	lock sync.Mutex
	// ranked are the hosts of each zone by descending CPU share.
	ranked map[string][]Host
	zones  []string
	// chosen is the last choice by zone. The other maps are by address.
	chosen map[string]choice
	// lastMessage is when a message last came from a node itself, lastDigest when a
	// digest of it was last received, from itself or through a relay.
	lastMessage map[string]time.Time
	lastDigest  map[string]time.Time
	// excludedAt is when a relay was found to be silent.
	excludedAt map[string]time.Time
	// storeOutageUntil is until when a host counts as unable to reach the store.
	storeOutageUntil map[string]time.Time
}

// New returns a chooser for the node at address self, which itself never counts as silent.
func New(self string) *Chooser {
	return &Chooser{
		self:             self,
		ranked:           map[string][]Host{},
		chosen:           map[string]choice{},
		lastMessage:      map[string]time.Time{},
		lastDigest:       map[string]time.Time{},
		excludedAt:       map[string]time.Time{},
		storeOutageUntil: map[string]time.Time{},
	}
}

// SetHosts replaces the list of all hosts, which includes this node's own.
func (chooser *Chooser) SetHosts(hosts []Host) {
	ranked := map[string][]Host{}
	known := map[string]bool{}
	for _, host := range hosts {
		ranked[host.Zone] = append(ranked[host.Zone], host)
		known[host.Address] = true
	}
	for _, zone := range ranked {
		slices.SortFunc(zone, compareHosts)
	}
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	chooser.ranked = ranked
	chooser.zones = slices.Sorted(maps.Keys(ranked))
	removed := func(address string, _ time.Time) bool { return !known[address] }
	maps.DeleteFunc(chooser.lastMessage, removed)
	maps.DeleteFunc(chooser.lastDigest, removed)
	maps.DeleteFunc(chooser.excludedAt, removed)
	maps.DeleteFunc(chooser.storeOutageUntil, removed)
}

// compareHosts orders hosts by descending CPU share, then by name.
func compareHosts(one, other Host) int {
	return cmp.Or(cmp.Compare(other.CPUShare, one.CPUShare), cmp.Compare(one.Name, other.Name))
}

// Zones returns the names of the zones that have hosts, sorted; the caller must not change the list.
func (chooser *Chooser) Zones() []string {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	return chooser.zones
}

// HostsIn returns the hosts of a zone by descending CPU share; the caller must not change the list.
func (chooser *Chooser) HostsIn(zone string) []Host {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	return chooser.ranked[zone]
}

// MessageReceived records that a message came directly from the node at address.
func (chooser *Chooser) MessageReceived(address string, now time.Time) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	chooser.lastMessage[address] = now
}

// DigestReceived records a digest of the node at address, whether it came directly or through a relay.
func (chooser *Chooser) DigestReceived(address string, now time.Time) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	chooser.lastDigest[address] = now
}

// SummaryReceived records that digests of the hosts of a zone were received by its relay, but
// for those of the silent hosts. Only of excluded hosts it matters when that was.
func (chooser *Chooser) SummaryReceived(zone string, silent map[string]int64, now time.Time) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	if len(chooser.excludedAt) == 0 {
		return
	}
	for _, host := range chooser.ranked[zone] {
		_, excluded := chooser.excludedAt[host.Address]
		if _, isSilent := silent[host.Name]; excluded && !isSilent {
			chooser.lastDigest[host.Address] = now
		}
	}
}

// LastDigest returns when a digest of the node at address was last received, or the zero time.
func (chooser *Chooser) LastDigest(address string) time.Time {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	return chooser.lastDigest[address]
}

// MarkStoreOutage records that the host at address can't reach the store.
func (chooser *Chooser) MarkStoreOutage(address string, now time.Time) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	chooser.storeOutageUntil[address] = now.Add(storeOutageTime)
}

// IsResponding reports whether a message came directly from the node at address
// within the time for which a relay may be silent.
func (chooser *Chooser) IsResponding(address string, now time.Time) bool {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	return now.Sub(chooser.lastMessage[address]) < silenceTimeout
}

// Choose returns the relay of a zone, or false for a zone without hosts. It prefers
// the host with the largest CPU share that responds and can reach the store. A
// strong host that can't reach the store comes before a weak one, whose connection
// the messages of the zone would saturate. If no host responds, Choose clears all
// exclusions and returns the first host.
func (chooser *Chooser) Choose(zone string, now time.Time) (Host, bool) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	ranked := chooser.ranked[zone]
	if len(ranked) == 0 {
		return Host{}, false
	}
	strong := 0
	for strong < len(ranked) && ranked[strong].CPUShare >= minCPUFraction*ranked[0].CPUShare {
		strong++
	}
	for _, group := range [][]Host{ranked[:strong], ranked[strong:]} {
		if host, found := chooser.chooseAmong(group, zone, now); found {
			return host, true
		}
	}
	for _, host := range ranked {
		delete(chooser.excludedAt, host.Address)
	}
	chooser.chosen[zone] = choice{address: ranked[0].Address, since: now}
	return ranked[0], true
}

// chooseAmong returns the first host that responds, preferring those that can reach the store.
func (chooser *Chooser) chooseAmong(hosts []Host, zone string, now time.Time) (Host, bool) {
	for _, storeOutage := range []bool{false, true} {
		for _, host := range hosts {
			if now.Before(chooser.storeOutageUntil[host.Address]) != storeOutage {
				continue
			}
			if !chooser.isExcluded(host, now) && chooser.tryHost(zone, host, now) {
				return host, true
			}
		}
	}
	return Host{}, false
}

// tryHost records a host as the choice for a zone. It excludes the host and returns
// false if the host has been silent for silenceTimeout since it was chosen.
func (chooser *Chooser) tryHost(zone string, host Host, now time.Time) bool {
	chosen := chooser.chosen[zone]
	if chosen.address != host.Address {
		chosen = choice{address: host.Address, since: now}
		chooser.chosen[zone] = chosen
	}
	lastActive := chooser.lastMessage[host.Address]
	if chosen.since.After(lastActive) {
		lastActive = chosen.since
	}
	if host.Address == chooser.self || now.Sub(lastActive) < silenceTimeout {
		return true
	}
	chooser.excludedAt[host.Address] = now
	return false
}

// isExcluded reports whether a host is still excluded for having been silent, and
// lifts the exclusion when it has expired.
func (chooser *Chooser) isExcluded(host Host, now time.Time) bool {
	since, excluded := chooser.excludedAt[host.Address]
	if !excluded {
		return false
	}
	if now.Sub(since) < minExclusion || !chooser.lastDigest[host.Address].After(since.Add(silenceTimeout)) {
		return true
	}
	delete(chooser.excludedAt, host.Address)
	return false
}
