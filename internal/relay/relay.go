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
//	chooser.Hear(address, now)
//	host, found := chooser.Choose("zone-a", hosts, now)
package relay

import (
	"sort"
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
)

// Host is a node that may be chosen.
type Host struct {
	Name    string
	Address string
	Zone    string
	// CPUShare is the part of a core that the host gives the node.
	CPUShare float64
	// Heard is when anything of the node was last heard, directly or passed on.
	Heard time.Time
}

type choice struct {
	address string
	since   time.Time
}

// Chooser remembers which relays this node has chosen and which were silent.
type Chooser struct {
	self   string
	lock   sync.Mutex
	chosen map[string]choice
	direct map[string]time.Time
	silent map[string]time.Time
}

// New returns a chooser of the node at an address, which is never silent to itself.
func New(self string) *Chooser {
	return &Chooser{
		self:   self,
		chosen: map[string]choice{},
		direct: map[string]time.Time{},
		silent: map[string]time.Time{},
	}
}

// Hear notes that a message came directly from a node.
func (chooser *Chooser) Hear(address string, now time.Time) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	chooser.direct[address] = now
}

// HeardLately says whether a node was heard directly within the time that a relay may be silent.
func (chooser *Chooser) HeardLately(address string, now time.Time) bool {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	return now.Sub(chooser.direct[address]) < silentAfter
}

// Choose returns the relay of a zone: the host with the most processor time that
// is not silent. If all are silent, it begins again with the first.
func (chooser *Chooser) Choose(zone string, hosts []Host, now time.Time) (Host, bool) {
	ranked := rank(zone, hosts)
	if len(ranked) == 0 {
		return Host{}, false
	}
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	for _, host := range ranked {
		if !chooser.isSilent(host, now) && chooser.keep(zone, host, now) {
			return host, true
		}
	}
	for _, host := range ranked {
		delete(chooser.silent, host.Address)
	}
	chooser.chosen[zone] = choice{address: ranked[0].Address, since: now}
	return ranked[0], true
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
	if now.Sub(since) < passedOver || !host.Heard.After(since.Add(silentAfter)) {
		return true
	}
	delete(chooser.silent, host.Address)
	return false
}

// rank lists the hosts of a zone, those with more processor time first.
func rank(zone string, hosts []Host) []Host {
	var ranked []Host
	for _, host := range hosts {
		if host.Zone == zone {
			ranked = append(ranked, host)
		}
	}
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].CPUShare != ranked[j].CPUShare {
			return ranked[i].CPUShare > ranked[j].CPUShare
		}
		return ranked[i].Name < ranked[j].Name
	})
	return ranked
}
