// Package relay chooses the nodes through which a large fleet passes on its news.
//
// In a small fleet every node tells every other one. In a large one each node
// tells the relay of its zone, which gathers what it hears, passes it on to its
// zone and to the relays of the other zones. Who is a relay is not agreed: each
// node chooses by itself, and a node that is told to pass something on does so.
// What reaches any node that lives therefore reaches its zone.
//
// # Usage
//
//	chooser := relay.New("10.1.0.2:7600")
//	chooser.SetHosts(hosts)
//	chooser.Hear(address, now)
//	host, found := chooser.Choose("zone-a", now)
package relay

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// The times of a choice.
const (
	// silentAfter is how long a relay may say nothing before another one is
	// chosen: an idle relay still sends a digest every 400 ms.
	silentAfter = 650 * time.Millisecond
	// passedOver is the least time for which a silent relay is not chosen again;
	// it also has to be heard of in the meantime.
	passedOver = 3 * time.Second
	// unfitTime is how long a host that the store does not answer is not chosen while
	// there are others: outages that meet some hosts last about as long.
	unfitTime = 10 * time.Second
	// strongPart is the part of the processor time of a zone's strongest host from
	// which a host is strong enough to carry the news of the whole zone.
	strongPart = 0.5
)

// Host is a node that may be chosen.
type Host struct {
	Name    string
	Address string
	Zone    string
	// CPUShare is the part of a core that the host gives the node.
	CPUShare float64
}

type choice struct {
	address string
	since   time.Time
}

// Chooser remembers which relays this node has chosen and which were silent.
type Chooser struct {
	self string
	lock sync.Mutex
	// ranked are the hosts of each zone, those with more processor time first.
	ranked map[string][]Host
	zones  []string
	chosen map[string]choice
	// direct is when a message last came from a node itself, heardOf when anything
	// of it was last heard, directly or passed on.
	direct  map[string]time.Time
	heardOf map[string]time.Time
	silent  map[string]time.Time
	// unfit are the hosts that can't follow the store, with the time until which that counts.
	unfit map[string]time.Time
}

// New returns a chooser of the node at an address, which is never silent to itself.
func New(self string) *Chooser {
	return &Chooser{
		self:    self,
		ranked:  map[string][]Host{},
		chosen:  map[string]choice{},
		direct:  map[string]time.Time{},
		heardOf: map[string]time.Time{},
		silent:  map[string]time.Time{},
		unfit:   map[string]time.Time{},
	}
}

// SetHosts names all hosts, with this node's own.
func (chooser *Chooser) SetHosts(hosts []Host) {
	ranked := map[string][]Host{}
	known := map[string]bool{}
	for _, host := range hosts {
		ranked[host.Zone] = append(ranked[host.Zone], host)
		known[host.Address] = true
	}
	for _, zone := range ranked {
		slices.SortFunc(zone, before)
	}
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	chooser.ranked = ranked
	chooser.zones = slices.Sorted(maps.Keys(ranked))
	forget := func(address string, _ time.Time) bool { return !known[address] }
	maps.DeleteFunc(chooser.direct, forget)
	maps.DeleteFunc(chooser.heardOf, forget)
	maps.DeleteFunc(chooser.silent, forget)
	maps.DeleteFunc(chooser.unfit, forget)
}

// before orders the hosts of a zone.
func before(one, other Host) int {
	return cmp.Or(cmp.Compare(other.CPUShare, one.CPUShare), cmp.Compare(one.Name, other.Name))
}

// Zones lists the zones that have hosts.
func (chooser *Chooser) Zones() []string {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	return chooser.zones
}

// Zone lists the hosts of a zone; the caller must not change the list.
func (chooser *Chooser) Zone(zone string) []Host {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	return chooser.ranked[zone]
}

// Hear notes that a message came directly from a node.
func (chooser *Chooser) Hear(address string, now time.Time) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	chooser.direct[address] = now
}

// HearOf notes that something of a node was heard, directly or passed on.
func (chooser *Chooser) HearOf(address string, now time.Time) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	chooser.heardOf[address] = now
}

// LastHeardOf returns when something of a node was last heard, the zero time for never.
func (chooser *Chooser) LastHeardOf(address string) time.Time {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	return chooser.heardOf[address]
}

// Unfit notes that a host can't follow the store.
func (chooser *Chooser) Unfit(address string, now time.Time) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	chooser.unfit[address] = now.Add(unfitTime)
}

// HeardLately says whether a node was heard directly within the time that a relay may be silent.
func (chooser *Chooser) HeardLately(address string, now time.Time) bool {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	return now.Sub(chooser.direct[address]) < silentAfter
}

// Choose returns the relay of a zone: the host with the most processor time that
// is neither unfit nor silent. If no strong host is, an unfit one will do before a
// weak one, whose link the news would fill; if all are silent, it begins again
// with the first.
func (chooser *Chooser) Choose(zone string, now time.Time) (Host, bool) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	ranked := chooser.ranked[zone]
	if len(ranked) == 0 {
		return Host{}, false
	}
	strong := 0
	for strong < len(ranked) && ranked[strong].CPUShare >= strongPart*ranked[0].CPUShare {
		strong++
	}
	for _, group := range [][]Host{ranked[:strong], ranked[strong:]} {
		if host, found := chooser.chooseAmong(group, zone, now); found {
			return host, true
		}
	}
	for _, host := range ranked {
		delete(chooser.silent, host.Address)
	}
	chooser.chosen[zone] = choice{address: ranked[0].Address, since: now}
	return ranked[0], true
}

// chooseAmong returns the first host that is not silent, one that is not unfit if there is one.
func (chooser *Chooser) chooseAmong(hosts []Host, zone string, now time.Time) (Host, bool) {
	for _, unfit := range []bool{false, true} {
		for _, host := range hosts {
			if now.Before(chooser.unfit[host.Address]) != unfit {
				continue
			}
			if !chooser.isSilent(host, now) && chooser.keep(zone, host, now) {
				return host, true
			}
		}
	}
	return Host{}, false
}

// keep chooses a host, unless it has been silent since it was chosen.
func (chooser *Chooser) keep(zone string, host Host, now time.Time) bool {
	chosen := chooser.chosen[zone]
	if chosen.address != host.Address {
		chosen = choice{address: host.Address, since: now}
		chooser.chosen[zone] = chosen
	}
	heard := chooser.direct[host.Address]
	if chosen.since.After(heard) {
		heard = chosen.since
	}
	if host.Address == chooser.self || now.Sub(heard) < silentAfter {
		return true
	}
	chooser.silent[host.Address] = now
	return false
}

// isSilent says whether a host is still passed over.
func (chooser *Chooser) isSilent(host Host, now time.Time) bool {
	since, silent := chooser.silent[host.Address]
	if !silent {
		return false
	}
	if now.Sub(since) < passedOver || !chooser.heardOf[host.Address].After(since.Add(silentAfter)) {
		return true
	}
	delete(chooser.silent, host.Address)
	return false
}
