package entrynode

import (
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/allowance"
	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/platform"
)

const (
	// silentAfter is the age of a host's last digest from which a summary names the host: an
	// idle host sends a digest every 400 ms.
	silentAfter = 2*idleDigestFactor*digestInterval + relayBatchDelay
	// summaryLifetime is how long a summary counts as news of the hosts of its zone.
	summaryLifetime = 5 * (digestInterval + relayBatchDelay)
)

// zoneState is what the last summary of another zone says of its hosts.
type zoneState struct {
	receivedAt time.Time
	silent     map[string]int64
}

// lastHeard returns when a host of the zone last sent a digest. Of a host that the
// summary doesn't name it is the time of the summary.
func (state zoneState) lastHeard(host string) time.Time {
	return state.receivedAt.Add(-time.Duration(state.silent[host]) * time.Millisecond)
}

// lastHeardLocked returns when this node last had news of a host's process, in a digest or in
// the summary of its zone.
func (fleet *fleet) lastHeardLocked(member *member) time.Time {
	heard := member.lastDigest
	if state, found := fleet.zones[member.zone]; found {
		if told := state.lastHeard(member.name); told.After(heard) {
			return told
		}
	}
	return heard
}

// reportersLocked returns the hosts whose digests reach this node, and the number of hosts of
// each zone of which it gets summaries.
func (fleet *fleet) reportersLocked() (names []string, zones map[string]int) {
	zones = map[string]int{}
	for name, member := range fleet.members {
		if len(fleet.members) > maxDirectHosts && member.zone != fleet.node.settings.Zone {
			zones[member.zone]++
			continue
		}
		names = append(names, name)
	}
	return names, zones
}

// isOfZone reports whether a digest that came with a batch is of a host of this node's zone.
// Hosts send the batches that go to all nodes to the relay of their own zone.
func (fleet *fleet) isOfZone(host *member, reach gossip.Reach) bool {
	if host == nil {
		return reach == gossip.ReachAll
	}
	return host.zone == fleet.node.settings.Zone
}

// summarizeLocked replaces the digests of a batch of this zone's hosts by the next summary and
// by what no summary holds.
func (fleet *fleet) summarizeLocked(batch gossip.Batch) gossip.Batch {
	digests := batch.Digests
	batch.Digests = nil
	for _, digest := range digests {
		fleet.summaryActive = fleet.summaryActive || !digest.Idle
		if events, found := digest.Events(); found {
			batch.Digests = append(batch.Digests, events)
		}
	}
	fleet.summaryDue = fleet.summaryDue || len(digests) > 0
	return batch
}

// summaryLocked returns the state of this node's zone.
func (fleet *fleet) summaryLocked(now time.Time) gossip.Summary {
	own := fleet.node.settings
	summary := fleet.tally.Summary(now)
	summary.Zone, summary.Relay, summary.Incarnation = own.Zone, own.Node, fleet.node.incarnation
	summary.Idle = !fleet.summaryActive
	summary.ReturnedMillis, summary.KnowsReturns = fleet.node.returnsOf(now)
	for name, member := range fleet.members {
		if member.zone != own.Zone {
			continue
		}
		heard := member.lastDigest
		if member.timeoutStart.After(heard) {
			heard = member.timeoutStart
		}
		if age := now.Sub(heard); age > silentAfter {
			if summary.SilentMillis == nil {
				summary.SilentMillis = map[string]int64{}
			}
			summary.SilentMillis[name] = age.Milliseconds()
		}
	}
	return summary
}

// handleSummary applies the summary of another zone; from is the peer address of the node that
// sent or forwarded it.
func (fleet *fleet) handleSummary(from string, summary gossip.Summary, now time.Time) {
	node := fleet.node
	if summary.Zone == node.settings.Zone {
		return
	}
	fleet.lock.Lock()
	fleet.zones[summary.Zone] = zoneState{receivedAt: now, silent: summary.SilentMillis}
	fleet.unaware.zones[summary.Zone] = !summary.KnowsReturns
	if known, found := fleet.members[summary.Relay]; found {
		from = known.address
	}
	fleet.lock.Unlock()
	fleet.chooser.SummaryReceived(summary.Zone, summary.SilentMillis, now)
	source := allowance.Source{Node: summary.Relay, Incarnation: summary.Incarnation}
	node.ledger.ApplyZoneTotals(summary.Zone, source, summary.Hosts, summary.Spent, now)
	node.tracker.SetPeerLoads("zone "+summary.Zone, decodeLoads(summary.Loads), now.Add(summaryLifetime))
	copyAge := time.Duration(0)
	for _, age := range summary.ConfigurationAgeMillis {
		if told := time.Duration(age) * time.Millisecond; copyAge == 0 || told < copyAge {
			copyAge = told
		}
	}
	node.applyReturns(summary.ReturnedMillis, summary.KnowsReturns, copyAge, now)
	clock := bootClock{}.Now()
	for version, age := range summary.ConfigurationAgeMillis {
		node.followers[platform.ConfigurationTable].Confirm(
			mimosatide.RowVersion(version), clock-time.Duration(age)*time.Millisecond)
	}
	if version := summary.SteadyTables[platform.TargetTable]; version > 0 {
		node.targets.ConfirmDeletions(mimosatide.RowVersion(version))
	}
	if summary.NewerConfiguration != 0 {
		node.requestConfiguration(from, summary.NewerConfiguration, now)
	}
	fleet.requestNewerRows(from, summary.Tables, now)
}
