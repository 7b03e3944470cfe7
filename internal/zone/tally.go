// Package zone sums up the digests of the hosts of one availability zone for the hosts
// of the other zones, so that what these receive does not grow with the zone.
//
// Every host of a zone keeps a Tally, so that each of them can become the zone's relay
// (package relay) and its first summary continues the totals of the relay before.
//
// # Usage
//
//	tally := zone.New("configurations", 1200*time.Millisecond)
//	tally.Add(digest, now)
//	summary := tally.Summary(now)
package zone

import (
	"maps"
	"sync"
	"time"

	"mimosatide.example/mimosatide/internal/gossip"
)

const (
	// forgetAfter is how long the totals of a host without digests are kept.
	forgetAfter = time.Minute
	// lateDigestTime is how long after a digest one of an earlier process may still arrive.
	// Later on it is of a process whose clock was set back.
	lateDigestTime = time.Second
)

// report is the last digest of a host.
type report struct {
	digest gossip.Digest
	at     time.Time
	// spent holds the host's totals by account. An account without one has spent nothing if
	// complete is set; otherwise its first total holds what was spent before this tally.
	spent    map[string]float64
	complete bool
}

// Tally holds the last digests of a zone's hosts and the zone's running totals. It is
// safe for concurrent use.
type Tally struct {
	configurationTable string
	lifetime           time.Duration

	lock    sync.Mutex
	reports map[string]report
	// spent holds what the hosts have spent since this tally first heard of each, by account.
	spent map[string]float64
}

// New returns an empty tally. configurationTable is the table whose age the digests state;
// lifetime is how long a digest counts as the state of its host.
func New(configurationTable string, lifetime time.Duration) *Tally {
	return &Tally{
		configurationTable: configurationTable, lifetime: lifetime, reports: map[string]report{}, spent: map[string]float64{},
	}
}

// Add takes a digest of a host of the zone. A digest of an earlier process of the host,
// which may arrive late, is ignored.
func (tally *Tally) Add(digest gossip.Digest, now time.Time) {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	last, known := tally.reports[digest.Node]
	if known && digest.Incarnation < last.digest.Incarnation && now.Sub(last.at) < lateDigestTime {
		return
	}
	if !known || digest.Incarnation != last.digest.Incarnation {
		// Of a restarted host the last process is known, so that all totals start from zero.
		last = report{spent: map[string]float64{}, complete: known}
	}
	for account, total := range digest.Spent {
		before, found := last.spent[account]
		if found || last.complete {
			tally.spent[account] += total - before
		}
		last.spent[account] = total
	}
	last.digest, last.at, last.complete = digest, now, last.complete || !digest.RecentSpent
	tally.reports[digest.Node] = last
}

// Summary returns the state of the zone. The caller sets who makes it.
func (tally *Tally) Summary(now time.Time) gossip.Summary {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	summary := gossip.Summary{
		Spent: maps.Clone(tally.spent), Loads: map[string]gossip.Load{}, Tables: map[string]uint64{},
		SteadyTables: map[string]uint64{}, ConfigurationAgeMillis: map[uint64]int64{},
	}
	for name, last := range tally.reports {
		age := now.Sub(last.at)
		if age > forgetAfter {
			delete(tally.reports, name)
		}
		if age > tally.lifetime {
			continue
		}
		summary.Hosts++
		for id, load := range last.digest.Loads {
			summary.Loads[id] = summary.Loads[id].Plus(load)
		}
		for table, version := range last.digest.Tables {
			summary.Tables[table] = max(summary.Tables[table], version)
			if last.digest.Steady {
				summary.SteadyTables[table] = max(summary.SteadyTables[table], version)
			}
		}
		if last.digest.ConfigurationAgeMillis > 0 {
			version := last.digest.Tables[tally.configurationTable]
			confirmed := last.digest.ConfigurationAgeMillis + age.Milliseconds()
			if best, found := summary.ConfigurationAgeMillis[version]; !found || confirmed < best {
				summary.ConfigurationAgeMillis[version] = confirmed
			}
		}
	}
	return summary
}
