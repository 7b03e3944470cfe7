package entrynode

import (
	"context"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/relay"
	"mimosatide.example/mimosatide/internal/watch"
	"mimosatide.example/mimosatide/platform"
)

const (
	// maxDirectHosts is the number of other hosts up to which every host sends to every
	// other one; beyond it the messages of all pairs cost more than those through relays.
	maxDirectHosts = 20
	// relayBatchDelay is how long a relay collects digests before it forwards them.
	relayBatchDelay = 100 * time.Millisecond
	// reportSpacing is the least time between two batches of a relay that holdings reports
	// cause: a busy owner publishes hundreds a second, and each batch wakes every host.
	reportSpacing = 25 * time.Millisecond
	// relayPollsPerSpread is how many polls of a relay fit into the time in which a
	// configuration has to be in force.
	relayPollsPerSpread = 6
	// relayHostPollWait is how long the store may hold a relay's poll of the hosts open.
	relayHostPollWait = time.Second
	// watchStartDelay is how long a node that has started doesn't take itself for the first
	// one: it has heard of no other one yet, and at a start of the fleet nor have they.
	watchStartDelay = time.Second
	// relayForwardTime is how long an answer of the store takes through a relay, with slack.
	relayForwardTime = 300 * time.Millisecond
	// relayExpectTime is how long after its start a node relies on a relay that it has not
	// heard: the relay may have started at the same time.
	relayExpectTime = 2 * time.Second
	// relayWatchInterval is how often a node checks whether its relay still forwards changes.
	relayWatchInterval = 150 * time.Millisecond
	// storeOutageAfter is how long the store may leave a relay without an answer before
	// another host is chosen; a call whose answer was lost is retried within it.
	storeOutageAfter = 1500 * time.Millisecond
)

// relayPollWait returns how long the store may hold a relay's poll open.
func (fleet *fleet) relayPollWait() time.Duration {
	return fleet.node.settings.Bounds.ConfigurationSpread / relayPollsPerSpread
}

// relayMaxStaleness returns how old a relay's copy of the configuration may be: two polls and
// their way. A zone whose relay has lost the store then calls the store itself within half of
// the time in which a configuration has to be in force.
func (fleet *fleet) relayMaxStaleness() time.Duration {
	return 2*fleet.relayPollWait() + relayForwardTime
}

// usesRelays reports whether the fleet is large enough to send digests and changes through relays.
func (fleet *fleet) usesRelays() bool {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return len(fleet.members) > maxDirectHosts
}

// hostsLocked returns all hosts including this one.
func (fleet *fleet) hostsLocked() []relay.Host {
	own := fleet.node.settings
	hosts := []relay.Host{{Name: own.Node, Address: fleet.node.peerAddress, Zone: own.Zone, CPUShare: own.Limits.CPUShare}}
	for _, member := range fleet.members {
		hosts = append(hosts, relay.Host{
			Name: member.name, Address: member.address, Zone: member.zone, CPUShare: member.cpuShare,
		})
	}
	return hosts
}

// zoneRelay chooses the relay of this node's zone and reports whether it is this node itself.
func (fleet *fleet) zoneRelay(now time.Time) (relay.Host, bool) {
	host, _ := fleet.chooser.Choose(fleet.node.settings.Zone, now)
	fleet.lock.Lock()
	previous := fleet.relayAddress
	fleet.relayAddress = host.Address
	fleet.lock.Unlock()
	if previous != host.Address {
		fleet.node.log.Info("relay chosen", "relay", host.Name, "peer", host.Address, "before", previous,
			"heardAge", formatAge(now, fleet.chooser.LastDigest(host.Address)))
		if host.Address == fleet.node.peerAddress {
			// The zone now relies on this node's polls.
			fleet.interruptPolls()
		}
	}
	return host, host.Address == fleet.node.peerAddress
}

// formatAge returns the time since lastDigest for a log line, or "never" for the zero time.
func formatAge(now, lastDigest time.Time) string {
	if lastDigest.IsZero() {
		return "never"
	}
	return now.Sub(lastDigest).Round(time.Millisecond).String()
}

// broadcast sends this node's digests and holdings reports to all other nodes, directly or through relays.
func (fleet *fleet) broadcast(batch gossip.Batch) {
	if !fleet.usesRelays() {
		fleet.broadcastDirectly(batch)
		return
	}
	host, self := fleet.zoneRelay(time.Now())
	if self {
		fleet.addToBatch(batch, gossip.ReachAll, relayBatchDelay)
		return
	}
	batch.Reach = gossip.ReachAll
	fleet.node.hub.Send(host.Address, batch)
}

// broadcastDirectly sends each message to every other node.
func (fleet *fleet) broadcastDirectly(batch gossip.Batch) {
	addresses := fleet.addresses()
	for _, digest := range batch.Digests {
		fleet.node.hub.SendAll(addresses, digest)
	}
	for _, report := range batch.HoldingsReports {
		fleet.node.hub.SendAll(addresses, report)
	}
}

// addToBatch adds messages to the next batch, which is sent within delay. Holdings reports
// are sent with all that has been collected as soon as reportSpacing allows, because requests
// wait for what targets hold.
func (fleet *fleet) addToBatch(batch gossip.Batch, reach gossip.Reach, delay time.Duration) {
	fleet.lock.Lock()
	fleet.zoneBatch = fleet.zoneBatch.With(batch)
	if reach == gossip.ReachAll {
		fleet.remoteBatch = fleet.remoteBatch.With(fleet.summarizeLocked(batch))
	}
	now := time.Now()
	if len(batch.HoldingsReports) > 0 {
		delay = min(delay, max(fleet.flushedAt.Add(reportSpacing).Sub(now), 0))
	}
	urgent := delay == 0
	if flushAt := now.Add(delay); !urgent && (fleet.flushTimer == nil || flushAt.Before(fleet.flushAt)) {
		fleet.stopFlushTimerLocked()
		fleet.flushTimer, fleet.flushAt = time.AfterFunc(delay, fleet.flush), flushAt
	}
	fleet.lock.Unlock()
	if urgent {
		fleet.flush()
	}
}

func (fleet *fleet) stopFlushTimerLocked() {
	if fleet.flushTimer != nil {
		fleet.flushTimer.Stop()
		fleet.flushTimer = nil
	}
}

// flush sends the collected batches to this zone and to the relays of the other zones.
func (fleet *fleet) flush() {
	newerConfiguration := fleet.node.newerConfiguration()
	fleet.lock.Lock()
	zoneBatch, remoteBatch := fleet.zoneBatch, fleet.remoteBatch
	now := time.Now()
	if fleet.summaryDue {
		summary := fleet.summaryLocked(now)
		summary.NewerConfiguration = newerConfiguration
		remoteBatch.Summaries = []gossip.Summary{summary}
	}
	fleet.zoneBatch, fleet.remoteBatch, fleet.summaryDue, fleet.summaryActive = gossip.Batch{}, gossip.Batch{}, false, false
	fleet.stopFlushTimerLocked()
	fleet.flushedAt = now
	fleet.lock.Unlock()
	if !zoneBatch.Empty() {
		zoneBatch.Reach = gossip.ReachSelf
		fleet.node.hub.SendAll(fleet.zonePeerAddresses(), zoneBatch)
	}
	if remoteBatch.Empty() {
		return
	}
	remoteBatch.Reach = gossip.ReachZone
	var relays []string
	for _, zone := range fleet.chooser.Zones() {
		if zone == fleet.node.settings.Zone {
			continue
		}
		if host, found := fleet.chooser.Choose(zone, now); found {
			relays = append(relays, host.Address)
		}
	}
	fleet.node.hub.SendAll(relays, remoteBatch)
}

// zonePeerAddresses returns the peer addresses of the other hosts of this node's zone.
func (fleet *fleet) zonePeerAddresses() []string {
	var addresses []string
	for _, host := range fleet.chooser.HostsIn(fleet.node.settings.Zone) {
		if host.Address != fleet.node.peerAddress {
			addresses = append(addresses, host.Address)
		}
	}
	return addresses
}

// handleBatch applies the messages of a batch and forwards them as far as its reach says;
// from is the peer address of the relay. Of a host that is not on the list only the
// versions of its tables count: this node's own list may be the one that is out of date.
func (fleet *fleet) handleBatch(from string, batch gossip.Batch, now time.Time) {
	clock := bootClock{}.Now()
	for _, digest := range batch.Digests {
		fleet.lock.Lock()
		known, found := fleet.members[digest.Node]
		address := ""
		if found {
			address = known.address
		}
		fleet.lock.Unlock()
		if fleet.isOfZone(known, batch.Reach) && !digest.Partial {
			fleet.tally.Add(digest, now)
		}
		if found {
			fleet.handleDigest(address, digest, now, clock)
		} else if digest.Node != fleet.node.settings.Node {
			fleet.requestNewerRows(from, digest.Tables, now)
		}
	}
	for _, summary := range batch.Summaries {
		fleet.handleSummary(from, summary, now)
	}
	for _, report := range batch.HoldingsReports {
		fleet.node.loader.handleHoldingsReport(report)
	}
	if reach := batch.Reach; reach != gossip.ReachSelf {
		batch.Reach = gossip.ReachSelf
		delay := relayBatchDelay
		if batch.Idle() {
			// This node's own digest comes as soon, and takes them along.
			delay = digestInterval
		}
		fleet.addToBatch(batch, reach, delay)
	}
}

// IsRelay reports whether this node is the relay of its zone. It implements feed.Peers.
func (fleet *fleet) IsRelay() bool {
	if !fleet.usesRelays() {
		return false
	}
	_, self := fleet.zoneRelay(time.Now())
	return self
}

// PollWaitLimit returns how long the store may hold a poll of a table open while others
// depend on this node to notice an outage; zero means no limit. It implements feed.Peers.
// In a large fleet the relays follow the store for their zones. In a small one, every
// node follows the store with long polls, and one node watches it for all.
func (fleet *fleet) PollWaitLimit(table string) time.Duration {
	if fleet.usesRelays() {
		switch {
		case !fleet.IsRelay():
			return 0
		case table == hostTable:
			return relayHostPollWait
		}
		return fleet.relayPollWait()
	}
	if fleet.watches() {
		return watch.PollWait
	}
	return 0
}

// watches reports whether this node keeps its polls short for the whole fleet.
func (fleet *fleet) watches() bool {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return fleet.watching
}

// updateWatch replaces open polls whose answers may be lost, and all of them when this node
// begins to watch the store for the fleet.
func (fleet *fleet) updateWatch() {
	usesRelays := fleet.usesRelays()
	own := fleet.ownHost()
	own.Answered = !fleet.storeLost()
	duty := watch.Decide(own, fleet.hostsHeard())
	for _, follower := range fleet.node.followers {
		follower.ReplaceUnconfirmed(duty.Limit)
	}
	watching := time.Since(fleet.startedAt) > watchStartDelay && !usesRelays && duty.Watches
	fleet.lock.Lock()
	begins := watching && !fleet.watching
	changed := watching != fleet.watching
	fleet.watching = watching
	fleet.lock.Unlock()
	if changed {
		fleet.node.log.Info("watch of the store", "node", fleet.node.settings.Node, "watching", watching)
	}
	if begins {
		fleet.interruptPolls()
	}
}

// interruptPolls replaces the open polls by ones with the wait of this node's present role.
func (fleet *fleet) interruptPolls() {
	for _, follower := range fleet.node.followers {
		follower.Interrupt()
	}
}

// ownHost returns this node as one of the hosts that may watch the store.
func (fleet *fleet) ownHost() watch.Host {
	own := fleet.node.settings
	return watch.Host{Name: own.Node, CPUShare: own.Limits.CPUShare}
}

// hostsHeard returns the other hosts that have sent a digest lately; in a fleet with relays,
// those of this node's zone.
func (fleet *fleet) hostsHeard() []watch.Host {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	usesRelays := len(fleet.members) > maxDirectHosts
	lifetime := loadLifetimeDigests * maxDigestAge(len(fleet.members))
	var hosts []watch.Host
	for _, member := range fleet.members {
		if usesRelays && member.zone != fleet.node.settings.Zone || time.Since(fleet.lastHeardLocked(member)) >= lifetime {
			continue
		}
		hosts = append(hosts, member.watchHost())
	}
	return hosts
}

// storeLost reports whether the store left this node's last call for some table unanswered.
func (fleet *fleet) storeLost() bool {
	for table, follower := range fleet.node.followers {
		if !follower.State().Healthy && !fleet.ReceivesFromRelay(table) {
			return true
		}
	}
	return false
}

// relaysTables reports whether this node is its zone's relay and all its tables are current.
func (fleet *fleet) relaysTables() bool {
	if !fleet.IsRelay() {
		return false
	}
	configuration := fleet.node.followers[platform.ConfigurationTable].State()
	if (bootClock{}).Now()-configuration.CurrentAt > fleet.relayMaxStaleness() {
		return false
	}
	for _, follower := range fleet.node.followers {
		if state := follower.State(); !state.Healthy || !state.Synced {
			return false
		}
	}
	return true
}

// storeOutage reports whether this node is its zone's relay and the store has not
// answered it for storeOutageAfter. The chooser then prefers other hosts.
func (fleet *fleet) storeOutage(now time.Time) bool {
	if !fleet.IsRelay() {
		return false
	}
	for _, follower := range fleet.node.followers {
		state := follower.State()
		if !state.Healthy && (bootClock{}).Now()-state.CurrentAt > storeOutageAfter {
			fleet.chooser.MarkStoreOutage(fleet.node.peerAddress, now)
			return true
		}
	}
	return false
}

// ReceivesFromRelay reports whether the relay of this node's zone forwards the changes
// of all tables to it. A node that must stop serving on stale data calls the store
// itself. It implements feed.Peers.
func (fleet *fleet) ReceivesFromRelay(string) bool {
	if fleet.node.settings.Bounds.StopWhenStale || !fleet.usesRelays() {
		return false
	}
	now := time.Now()
	host, self := fleet.zoneRelay(now)
	if self || !fleet.chooser.IsResponding(host.Address, now) {
		return false
	}
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	known, found := fleet.members[host.Name]
	return found && known.relaysTables
}

// ExpectsRelay reports whether this node has started so recently that it has not heard of its
// relay yet, or may not know the other hosts. These it learns from the list of hosts, which it
// follows until it is a large fleet. It implements feed.Peers.
func (fleet *fleet) ExpectsRelay(table string) bool {
	age := time.Since(fleet.startedAt)
	if fleet.node.settings.Bounds.StopWhenStale || age > relayExpectTime {
		return false
	}
	if fleet.usesRelays() {
		return !fleet.IsRelay()
	}
	return table != hostTable && age < hostBatchDelay+relayWatchInterval
}

// watchRelay checks whether the relay of this node's zone forwards changes to it, until ctx is
// cancelled: a relay that falls silent or ends tells nobody.
func (fleet *fleet) watchRelay(ctx context.Context) {
	ticker := time.NewTicker(relayWatchInterval)
	defer ticker.Stop()
	before := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		receives := fleet.ReceivesFromRelay(platform.ConfigurationTable)
		if receives && before {
			continue
		}
		// A follower may have seen a relay between two checks that is gone again, so that
		// followers are told at each check without one.
		before = receives
		fleet.lock.Lock()
		close(fleet.relayChanged)
		fleet.relayChanged = make(chan struct{})
		fleet.lock.Unlock()
	}
}

// RelayChanged implements feed.Peers.
func (fleet *fleet) RelayChanged() <-chan struct{} {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return fleet.relayChanged
}

// Forward sends changes of a table to the nodes of the zone if this node is its relay.
// It implements feed.Peers.
func (fleet *fleet) Forward(
	table string, after mimosatide.RowVersion, batch mimosatide.RowBatch, previous map[string]mimosatide.Row, recovering bool,
) {
	if !fleet.IsRelay() {
		return
	}
	message, err := gossip.EncodeChanges(table, after, batch, previous, recovering)
	if err != nil {
		// The digests still name the version, so that the other nodes request the rows.
		fleet.node.log.Error(err, "changes not forwarded", "table", table, "version", batch.Version)
		return
	}
	// The others tell of leaving targets and of hosts, and their rows are small.
	message.Bulk = table == platform.ConfigurationTable
	fleet.node.hub.SendAll(fleet.zonePeerAddresses(), message)
}

// ForwardTable sends the copy of a table to the nodes of the zone if this node is its relay.
// It implements feed.Peers.
func (fleet *fleet) ForwardTable(table string, after mimosatide.RowVersion) {
	if !fleet.IsRelay() {
		return
	}
	node := fleet.node
	request := gossip.RowsRequest{Table: table, After: uint64(after), Compression: true}
	message, err := node.compressor.EncodeRows(request, node.followers[table].Snapshot())
	if err != nil {
		// The digests name the version, so that the other nodes request the rows.
		node.log.Error(err, "table not forwarded", "table", table)
		return
	}
	node.hub.SendAll(fleet.zonePeerAddresses(), message)
}
