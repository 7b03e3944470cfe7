package entrynode

import (
	"context"
	"sort"
	"sync"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/pace"
	"mimosatide.example/mimosatide/internal/permit"
	"mimosatide.example/mimosatide/internal/relay"
	"mimosatide.example/mimosatide/internal/watch"
	"mimosatide.example/mimosatide/internal/zone"
	"mimosatide.example/mimosatide/platform"
)

const (
	// digestInterval is the time between two digests while there is something to report.
	digestInterval = 200 * time.Millisecond
	// idleDigestFactor times digestInterval is the time between two digests otherwise.
	idleDigestFactor = 2
	// loadLifetimeDigests is the number of digest intervals for which a host's reported loads count.
	loadLifetimeDigests = 4
	// recentSpentDigests is how many digests name a total that has changed, as some may be
	// lost; each of completeSpentDigests names all totals.
	recentSpentDigests   = 4
	completeSpentDigests = 15
	// loadLifetime is that time in a fleet with relays.
	loadLifetime = loadLifetimeDigests * (digestInterval + relayBatchDelay)
	// minPaceReports is the number of targets whose pace a host reports in a second in the largest fleets.
	minPaceReports = 4
	// rowsRequestInterval is the least time between two requests for rows, of any table from any peer.
	rowsRequestInterval = 300 * time.Millisecond
)

// member is another host on the list.
type member struct {
	name       string
	address    string
	zone       string
	cpuShare   float64
	lastDigest time.Time
	// timeoutStart is when the host's row last changed or its removal was last attempted.
	timeoutStart time.Time
	// rowLost is true if a restore of the store took the host's row away.
	rowLost bool
	// relaysTables is true if the host forwards the changes of all tables to its zone.
	relaysTables bool
	// storeLost is true if the host says that the store does not answer it.
	storeLost bool
}

func (member *member) watchHost() watch.Host {
	return watch.Host{Name: member.name, CPUShare: member.cpuShare, Answered: !member.storeLost}
}

// fleet keeps the list of the other hosts and exchanges digests with them.
type fleet struct {
	node *Node
	// startedAt is when the process started.
	startedAt time.Time

	lock    sync.Mutex
	members map[string]*member
	// joined is true while this node's own row is on the list.
	joined          bool
	rowsRequestedAt time.Time
	// lastSpent holds the totals of spent tokens at this node's last digest, spentAt the
	// number of the digest with which each last changed; digests counts the digests.
	lastSpent map[string]float64
	spentAt   map[string]int
	digests   int

	// watching is true while this node's polls are kept short for the whole fleet.
	watching bool

	// silentUntil holds, by peer address, how long a host is no target's home because it has
	// not answered a request for a permit.
	silentUntil map[string]time.Time
	// contacts holds with which hosts this node is in contact, listedFrom from when on the others know that it
	// is on the list, zero if it is not.
	contacts   *permit.Contacts
	listedFrom time.Time
	// unaware are the hosts that don't know which evacuations have ended.
	unaware unawareHosts
	// heard is the part of the rates of cold targets that this node may issue, as of heardAt.
	heard   float64
	heardAt time.Time

	// tally sums up the digests of this node's zone, zones holds the last summaries of the
	// other zones.
	tally *zone.Tally
	zones map[string]zoneState

	chooser *relay.Chooser
	// relayAddress is the peer address of the zone's relay as last chosen.
	relayAddress string
	// relayChanged is closed when the relay starts or stops forwarding changes to this node.
	relayChanged chan struct{}
	// zoneBatch and remoteBatch are what this node as a relay has collected for its
	// own zone and for the other zones; flushTimer, if there is one, will send them at
	// flushAt; flushedAt is when the last ones were sent.
	// summaryDue is true if there were digests of the zone since, summaryActive if one of them
	// was not idle.
	zoneBatch     gossip.Batch
	remoteBatch   gossip.Batch
	flushTimer    *time.Timer
	flushAt       time.Time
	flushedAt     time.Time
	summaryDue    bool
	summaryActive bool
}

func newFleet(node *Node) *fleet {
	return &fleet{
		node:        node,
		startedAt:   time.Now(),
		members:     map[string]*member{},
		lastSpent:   map[string]float64{},
		spentAt:     map[string]int{},
		silentUntil: map[string]time.Time{},
		contacts:    permit.NewContacts(),
		unaware:     unawareHosts{hosts: map[string]bool{}, zones: map[string]bool{}},
		tally:       zone.New(platform.ConfigurationTable, loadLifetime),
		zones:       map[string]zoneState{},

		relayChanged: make(chan struct{}),
		chooser:      relay.New(node.peerAddress),
	}
}

// addresses returns the peer addresses of all other hosts.
func (fleet *fleet) addresses() []string {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	addresses := make([]string, 0, len(fleet.members))
	for _, member := range fleet.members {
		addresses = append(addresses, member.address)
	}
	sort.Strings(addresses)
	return addresses
}

// rank returns how many hosts that send digests come before this node: those with
// a larger CPU share first, then by name. Candidates for a lease try in this order.
func (fleet *fleet) rank() int {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	rank := 0
	own := fleet.ownHost()
	for _, member := range fleet.members {
		if member.watchHost().Before(own) && time.Since(fleet.lastHeardLocked(member)) < loadLifetimeDigests*maxDigestAge(len(fleet.members)) {
			rank++
		}
	}
	return rank
}

// run sends digests and usage reports, joins the list of hosts and removes silent
// ones, until ctx is cancelled.
func (fleet *fleet) run(ctx context.Context) {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	var joinAt, sentAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if !fleet.hasJoined() && now.After(joinAt) && !fleet.node.draining.Load() {
				joinAt = now.Add(joinInterval)
				go fleet.join(ctx)
			}
			fleet.node.tracker.ObserveWaiting(time.Now())
			digest, active := fleet.digest()
			fleet.tally.Add(digest, now)
			if active || now.Sub(sentAt) >= idleDigestFactor*digestInterval {
				sentAt = now
				fleet.node.ledger.MarkReported()
				fleet.broadcast(gossip.Batch{Digests: []gossip.Digest{digest}})
			}
			fleet.node.loader.sendUsage(now)
			fleet.updateWatch()
			fleet.updateContacts(time.Now())
			fleet.stopAssumingReturns(time.Now())
			fleet.removeSilentHosts(ctx, now)
			fleet.dropLostHosts(now)
		}
	}
}

// maxDigestAge returns how old a digest may be when the next one arrives, in a fleet
// with the given number of other hosts.
func maxDigestAge(others int) time.Duration {
	if others > maxDirectHosts {
		return digestInterval + relayBatchDelay
	}
	return digestInterval
}

func (fleet *fleet) maxDigestAge() time.Duration {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return maxDigestAge(len(fleet.members))
}

// maxPaceReports returns how many targets' pace a host reports in a second, in a fleet with the
// given number of other hosts. Each host receives the reports of all others, so that their number
// would otherwise grow with the fleet.
func maxPaceReports(others int) int {
	return min(max(pace.MaxReports*maxDirectHosts/max(others, 1), minPaceReports), pace.MaxReports)
}

func (fleet *fleet) hasJoined() bool {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return fleet.joined
}

// digest returns this node's digest for the other hosts, and whether it can't wait for the
// interval of an idle node: it has news, or this node is a relay.
func (fleet *fleet) digest() (gossip.Digest, bool) {
	node := fleet.node
	fleet.lock.Lock()
	others := len(fleet.members)
	fleet.lock.Unlock()
	digest := gossip.Digest{
		Node:         node.settings.Node,
		Incarnation:  node.incarnation,
		Loads:        map[string]gossip.Load{},
		Spent:        map[string]float64{},
		Tables:       map[string]uint64{},
		Ownerships:   node.loader.ownerships(time.Now()),
		Handovers:    node.loader.handovers(),
		Quarantine:   gossip.EncodeQuarantine(node.quarantine.Report(time.Now())),
		RelaysTables: fleet.relaysTables(),
		StoreOutage:  fleet.storeOutage(time.Now()),
		Steady:       fleet.steady(),
		StoreLost:    fleet.storeLost(),
		Limits:       gossip.EncodeLimits(node.limits.Heard(time.Now()), time.Now()),

		NewerConfiguration: node.newerConfiguration(),

		Paces: gossip.EncodePaces(node.pace.Heard(maxPaceReports(others), time.Now())),
	}
	digest.ReturnedMillis, digest.KnowsReturns = node.returnsOf(time.Now())
	for id, born := range node.targets.ToldLeaving(time.Now()) {
		if digest.Leaving == nil {
			digest.Leaving = map[string]int64{}
		}
		digest.Leaving[id] = born.UnixMilli()
	}
	for id, load := range node.tracker.Loads() {
		digest.Loads[id] = gossip.Load{
			Running: load.Running, PrefillMillis: load.Prefill.Milliseconds(), LongPrefills: load.LongPrefills, Deferred: load.Deferred,
			Tokens: load.Tokens,
		}
	}
	for _, table := range []string{platform.ConfigurationTable, platform.TargetTable, hostTable} {
		state := node.followers[table].State()
		digest.Tables[table] = uint64(state.LastChange)
		age := bootClock{}.Now() - state.CurrentAt
		switch {
		case state.CurrentAt == 0:
		case table == platform.ConfigurationTable:
			digest.ConfigurationAgeMillis = max(age.Milliseconds(), 1)
		case age < watch.MaxLimit:
			if digest.CopyAgeMillis == nil {
				digest.CopyAgeMillis = map[string]int64{}
			}
			digest.CopyAgeMillis[table] = age.Milliseconds()
		}
	}
	news := len(digest.Loads) > 0 || digest.Limits != nil || digest.Quarantine != nil || digest.StoreOutage || digest.Leaving != nil || digest.Paces != nil
	spent := node.ledger.Spent()
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	fleet.digests++
	for account, total := range spent {
		if total != fleet.lastSpent[account] {
			news = true
			fleet.spentAt[account] = fleet.digests
		}
	}
	fleet.lastSpent = spent
	digest.Spent, digest.RecentSpent = fleet.recentSpentLocked(spent)
	digest.Idle = !news
	// The hosts of a zone take a relay that is silent for longer for a dead one.
	return digest, news || digest.RelaysTables
}

// recentSpentLocked leaves out the totals that have not changed in the last recentSpentDigests
// digests, but for each of completeSpentDigests. It reports whether it did.
func (fleet *fleet) recentSpentLocked(spent map[string]float64) (map[string]float64, bool) {
	if fleet.digests%completeSpentDigests == 1 {
		return spent, false
	}
	recent := map[string]float64{}
	for account, total := range spent {
		if fleet.digests-fleet.spentAt[account] < recentSpentDigests {
			recent[account] = total
		}
	}
	return recent, true
}

// handleDigest applies another host's digest; from is its peer address, now and clock are the
// time and the reading of the node's clock at which it arrived.
func (fleet *fleet) handleDigest(from string, digest gossip.Digest, now time.Time, clock time.Duration) {
	node := fleet.node
	relaysTables := digest.RelaysTables && fleet.knowsEraOfStore(digest)
	fleet.lock.Lock()
	if known, found := fleet.members[digest.Node]; found {
		known.lastDigest = now
		known.relaysTables = relaysTables
		if !digest.Partial {
			known.storeLost = digest.StoreLost
			fleet.unaware.hosts[digest.Node] = !digest.KnowsReturns
		}
		fleet.chooser.DigestReceived(known.address, now)
		if digest.StoreOutage {
			fleet.chooser.MarkStoreOutage(known.address, now)
		}
	}
	fleet.lock.Unlock()
	if !digest.Partial {
		node.applyReturns(digest.ReturnedMillis, digest.KnowsReturns, time.Duration(digest.ConfigurationAgeMillis)*time.Millisecond, now)
		node.ledger.ApplyPeerTotals(digest.Node, digest.Incarnation, digest.Spent, !digest.RecentSpent, now)
		node.tracker.SetPeerLoads(digest.Node, decodeLoads(digest.Loads), now.Add(loadLifetimeDigests*fleet.maxDigestAge()))
	}
	node.loader.handleOwnerships(from, digest.Ownerships, now)
	node.loader.handleHandovers(digest.Handovers)
	if digest.Quarantine != nil {
		node.quarantine.Apply(digest.Quarantine.Report(), now)
	}
	fleet.confirmCopies(digest, clock)
	for id, limit := range digest.Limits {
		node.limits.Apply(id, limit.Limit(now))
	}
	node.pace.Apply(digest.PaceReports(), now)
	for id, born := range digest.Leaving {
		node.targets.MarkLeavingByPeer(id, time.UnixMilli(born), now)
	}
	if digest.Steady {
		// That node read the change without an outage, so that deletions up to it are final.
		node.targets.ConfirmDeletions(mimosatide.RowVersion(digest.Tables[platform.TargetTable]))
	}
	if digest.NewerConfiguration != 0 {
		node.requestConfiguration(from, digest.NewerConfiguration, now)
	}
	fleet.requestNewerRows(from, digest.Tables, now)
}

// confirmCopies takes over the confirmations of the sender's copies by the store.
func (fleet *fleet) confirmCopies(digest gossip.Digest, clock time.Duration) {
	confirm := func(table string, ageMillis int64) {
		version, stated := digest.Tables[table]
		if follower, found := fleet.node.followers[table]; found && stated {
			follower.Confirm(mimosatide.RowVersion(version), clock-time.Duration(ageMillis)*time.Millisecond)
		}
	}
	if digest.ConfigurationAgeMillis > 0 {
		confirm(platform.ConfigurationTable, digest.ConfigurationAgeMillis)
	}
	for table, age := range digest.CopyAgeMillis {
		confirm(table, age)
	}
}

// knowsEraOfStore reports whether the sender of a digest knows the era of this node's
// configuration. A relay that doesn't forwards nothing that this node can use: it hasn't heard
// of the last restore yet, or is of a build that knows no eras. After a restore a digest holds
// only the tables that were read again.
func (fleet *fleet) knowsEraOfStore(digest gossip.Digest) bool {
	era := fleet.node.followers[platform.ConfigurationTable].State().Version.Era()
	for _, version := range digest.Tables {
		if mimosatide.RowVersion(version).Era() >= era {
			return true
		}
	}
	return era == 0
}

func decodeLoads(encoded map[string]gossip.Load) map[string]balance.Load {
	loads := make(map[string]balance.Load, len(encoded))
	for id, load := range encoded {
		loads[id] = balance.Load{
			Running: load.Running, Prefill: time.Duration(load.PrefillMillis) * time.Millisecond,
			LongPrefills: load.LongPrefills, Deferred: load.Deferred, Tokens: load.Tokens,
		}
	}
	return loads
}

// steady reports whether this node reads all tables from the store itself, without
// a recent outage.
func (fleet *fleet) steady() bool {
	for table, follower := range fleet.node.followers {
		if !follower.Steady() || fleet.ReceivesFromRelay(table) {
			return false
		}
	}
	return true
}

// requestNewerRows asks a peer whose tables are newer for its rows, if the store does
// not answer this node, its answers don't bring the changes that the peer knows, or the
// peer is the relay that forwards changes to this node.
func (fleet *fleet) requestNewerRows(from string, tables map[string]uint64, now time.Time) {
	for table, changed := range tables {
		follower, found := fleet.node.followers[table]
		if !found || follower.Knows(mimosatide.RowVersion(changed)) {
			// Nearly all digests name known versions: they cost no further check.
			continue
		}
		behind := follower.ObserveVersion(from, mimosatide.RowVersion(changed))
		state := follower.State()
		// Use the relay as last chosen: choosing again for each of hundreds of digests costs too much.
		fleet.lock.Lock()
		relayAddress := fleet.relayAddress
		fleet.lock.Unlock()
		relayed := relayAddress == from && fleet.ReceivesFromRelay(table)
		if state.Healthy && !relayed && !behind {
			continue
		}
		fleet.lock.Lock()
		due := now.Sub(fleet.rowsRequestedAt) >= rowsRequestInterval
		if due {
			fleet.rowsRequestedAt = now
		}
		fleet.lock.Unlock()
		if due {
			fleet.node.requestRows(from, table)
		}
	}
}
