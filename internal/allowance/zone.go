package allowance

import "time"

// sourceTimeout is how long the source of a zone's totals may be silent before another
// one is followed.
const sourceTimeout = 650 * time.Millisecond

// sourceLifetime is how long the totals of a silent source are kept.
const sourceLifetime = time.Minute

// Source is a process that reports the totals of a zone. Totals of two sources differ by what
// was spent before the sources heard of the zone's nodes.
type Source struct {
	Node        string
	Incarnation uint64
}

// zoneSource holds the last totals of a source that are debited, or would be if it were followed.
type zoneSource struct {
	peer
	// basedAt is when the totals of a source that is not followed were taken.
	basedAt time.Time
}

// zonePeer is a zone whose nodes report together.
type zonePeer struct {
	// listed is the number of its nodes, reporting the number of those that are heard.
	listed, reporting int
	// followed is the source whose totals are debited.
	followed Source
	sources  map[Source]*zoneSource
	// unreachable says that the zone's spending comes out of the share left to it.
	unreachable bool
}

// setZones sets the number of nodes of each zone that reports together.
func (ledger *Ledger) setZones(listed map[string]int) {
	zones := make(map[string]*zonePeer, len(listed))
	for name, nodes := range listed {
		known, found := ledger.zones[name]
		if !found {
			known = &zonePeer{sources: map[Source]*zoneSource{}, unreachable: true}
		}
		known.listed = nodes
		zones[name] = known
	}
	ledger.zones = zones
}

// ApplyZoneTotals debits what the nodes of a zone have spent since the last report. spent
// holds the source's running totals in tokens by account, reporting is the number of nodes
// that are part of them. One source is followed at a time, as all of them report the same
// spending. Messages of unknown zones are ignored.
func (ledger *Ledger) ApplyZoneTotals(zone string, source Source, reporting int, spent map[string]float64, now time.Time) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	known, found := ledger.zones[zone]
	if !found {
		return
	}
	reported, found := known.sources[source]
	if !found {
		reported = &zoneSource{peer: peer{spent: map[string]float64{}}, basedAt: now}
		reported.apply(spent, true)
		known.sources[source] = reported
	}
	followed := known.sources[known.followed]
	if followed != nil && followed != reported {
		// What the followed source has reported since is debited already.
		if !followed.lastSeen.Before(reported.basedAt) {
			reported.apply(spent, true)
			reported.basedAt = now
		}
		if now.Sub(followed.lastSeen) < sourceTimeout {
			reported.lastSeen = now
			return
		}
	}
	known.followed = source
	known.reporting = reporting
	covered := known.unreachable
	known.unreachable = false
	reported.lastSeen = now
	if changes := reported.apply(spent, true); !covered {
		ledger.debit(changes, now)
	}
	for other, last := range known.sources {
		if now.Sub(last.lastSeen) > sourceLifetime {
			delete(known.sources, other)
		}
	}
}

// reachable returns the number of the zone's nodes whose spending is known. It marks the zone as
// unreachable if the followed source has been silent for too long.
func (known *zonePeer) reachable(now time.Time, timeout time.Duration) int {
	followed := known.sources[known.followed]
	if followed == nil || now.Sub(followed.lastSeen) > timeout {
		known.unreachable = true
	}
	if known.unreachable {
		return 0
	}
	return min(known.reporting, known.listed)
}

// size returns the number of nodes of the fleet.
func (ledger *Ledger) size() int {
	size := len(ledger.peers) + 1
	for _, known := range ledger.zones {
		size += known.listed
	}
	return size
}
