package entrynode

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/feed"
	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/relay"
	"mimosatide.example/mimosatide/platform"
)

// The times of the fleet.
const (
	// digestEvery is how often a digest is sent while there is news.
	digestEvery = 200 * time.Millisecond
	// idleFactor is how much rarer a digest without news is.
	idleFactor = 2
	// hintDigests is the number of digests for whose time a host's loads are believed.
	hintDigests = 4
	// joinEvery is how often a node that is not on the list of hosts tries to join.
	joinEvery = 500 * time.Millisecond
	// deadAfter is after how long a host that is not heard is taken off the list.
	deadAfter    = 8 * time.Second
	storeTimeout = 1500 * time.Millisecond
	// askEvery is how often a node that the store refuses asks a peer for rows.
	askEvery = 300 * time.Millisecond
)

// hostRow is the content of a host's row.
type hostRow struct {
	Address     string
	Incarnation uint64
	Zone        string
	// CPUShare is the part of a core that the host gives the node.
	CPUShare float64
}

// member is another host on the list.
type member struct {
	name    string
	address string
	zone    string
	cpu     float64
	row     mimosatide.RowVersion
	heard   time.Time
	since   time.Time
	// leads says that the host passes the changes of all tables on to its zone.
	leads bool
}

// fleet knows the other hosts and talks with them.
type fleet struct {
	node *Node

	lock    sync.Mutex
	members map[string]*member
	// joined says that this node's own row is on the list.
	joined    bool
	askedAt   time.Time
	lastSpent map[string]float64

	relays *relay.Chooser
	// relay is the peer address of the zone's relay as it was last chosen.
	relay string
	// near and far are what a relay has gathered for its zone and for the other
	// zones; flushing says that it will be passed on soon.
	near     gossip.Batch
	far      gossip.Batch
	flushing bool
}

func newFleet(node *Node) *fleet {
	return &fleet{
		node:      node,
		members:   map[string]*member{},
		lastSpent: map[string]float64{},
		relays:    relay.New(node.self),
	}
}

// applyHosts takes changes of the list of hosts.
func (fleet *fleet) applyHosts(update feed.Update) {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	for _, change := range update.Rows {
		own := change.Key == fleet.node.settings.Node
		if change.Deleted {
			delete(fleet.members, change.Key)
			fleet.joined = fleet.joined && !own
			fleet.node.log.Info("host left", "host", change.Key, "row", change.Version)
			continue
		}
		var row hostRow
		if err := cbor.Unmarshal(change.Value, &row); err != nil {
			fleet.node.log.Error(err, "host row unreadable", "host", change.Key, "row", change.Version)
			continue
		}
		if own {
			fleet.joined = row.Incarnation == fleet.node.incarnation
			continue
		}
		fleet.members[change.Key] = &member{
			name: change.Key, address: row.Address, zone: row.Zone, cpu: row.CPUShare, row: change.Version, since: time.Now(),
		}
		fleet.node.log.Info("host known", "host", change.Key, "address", row.Address, "row", change.Version)
	}
	names := make([]string, 0, len(fleet.members))
	for name := range fleet.members {
		names = append(names, name)
	}
	fleet.node.ledger.SetPeers(names, every(len(names)))
	fleet.relays.SetHosts(fleet.hosts())
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

// rank is this node's place among the hosts that are heard: those with more
// processor time come first, then those with lower names.
func (fleet *fleet) rank() int {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	rank := 0
	own := fleet.node.settings
	for name, member := range fleet.members {
		before := member.cpu > own.Limits.CPUShare || member.cpu == own.Limits.CPUShare && name < own.Node
		if before && time.Since(member.heard) < hintDigests*every(len(fleet.members)) {
			rank++
		}
	}
	return rank
}

// run joins the list of hosts and sends digests.
func (fleet *fleet) run(ctx context.Context) {
	digests := time.NewTicker(digestEvery)
	defer digests.Stop()
	var joinAt, sentAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-digests.C:
			if !fleet.isJoined() && now.After(joinAt) && !fleet.node.draining.Load() {
				joinAt = now.Add(joinEvery)
				go fleet.join(ctx)
			}
			digest, news := fleet.digest()
			if news || now.Sub(sentAt) >= idleFactor*digestEvery {
				sentAt = now
				fleet.node.ledger.Told()
				fleet.tell(gossip.Batch{Digests: []gossip.Digest{digest}})
			}
			fleet.node.loader.report(now)
			fleet.removeDead(ctx, now)
		}
	}
}

// every is how old a digest may be when the next one comes, in a fleet with so many other hosts.
func every(others int) time.Duration {
	if others > directHosts {
		return digestEvery + relayEvery
	}
	return digestEvery
}

func (fleet *fleet) every() time.Duration {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return every(len(fleet.members))
}

func (fleet *fleet) isJoined() bool {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return fleet.joined
}

// join writes this node's row; the list of hosts itself shows whether it took effect.
func (fleet *fleet) join(ctx context.Context) {
	value, err := cbor.Marshal(hostRow{
		Address: fleet.node.self, Incarnation: fleet.node.incarnation, Zone: fleet.node.settings.Zone,
		CPUShare: fleet.node.settings.Limits.CPUShare,
	})
	if err != nil {
		fleet.node.log.Error(err, "host row")
		return
	}
	fleet.commit(ctx, "host joins", mimosatide.Transaction{
		Writes: []mimosatide.Write{{Key: fleet.node.settings.Node, Value: value}},
	})
}

// leave takes this node off the list.
func (fleet *fleet) leave(ctx context.Context) {
	fleet.commit(ctx, "host leaves", mimosatide.Transaction{
		Writes: []mimosatide.Write{{Key: fleet.node.settings.Node, Delete: true}},
	})
}

func (fleet *fleet) commit(ctx context.Context, what string, transaction mimosatide.Transaction) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	outcome, row, err := fleet.node.store.Table(hostTable).Commit(bounded, transaction)
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	fleet.node.log.Info(what, "host", transaction.Writes[0].Key, "outcome", outcome.String(), "row", row, "reason", reason)
}

// removeDead takes hosts off the list that are not heard; the owner of a lease does it.
func (fleet *fleet) removeDead(ctx context.Context, now time.Time) {
	if !fleet.node.loader.holdsAny() {
		return
	}
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	for name, member := range fleet.members {
		last := member.heard
		if member.since.After(last) {
			last = member.since
		}
		if now.Sub(last) < deadAfter {
			continue
		}
		member.since = now
		go fleet.commit(ctx, "host removed", mimosatide.Transaction{
			Conditions: []mimosatide.Condition{{Key: name, Version: member.row}},
			Writes:     []mimosatide.Write{{Key: name, Delete: true}},
		})
	}
}

// digest returns what the other hosts are told, and whether there is news in it.
func (fleet *fleet) digest() (gossip.Digest, bool) {
	node := fleet.node
	digest := gossip.Digest{
		Node:        node.settings.Node,
		Incarnation: node.incarnation,
		Loads:       map[string]gossip.Load{},
		Spent:       map[string]float64{},
		Tables:      map[string]uint64{},
		Owned:       node.loader.owned(),
		GivenUp:     node.loader.givenUp(),
		Crashes:     node.suspects.Own(time.Now()),
		Leads:       fleet.leads(),
		Unfit:       fleet.unfit(time.Now()),
		Steady:      fleet.steady(),
	}
	for id, load := range node.tracker.Loads() {
		digest.Loads[id] = gossip.Load{
			Running: load.Running, PrefillMillis: load.Prefill.Milliseconds(), Reading: load.Reading, Waiting: load.Waiting,
		}
	}
	for _, table := range []string{platform.ConfigurationTable, platform.TargetTable, hostTable} {
		digest.Tables[table] = uint64(node.followers[table].State().LastChange)
	}
	news := len(digest.Loads) > 0 || digest.Leads || digest.Unfit
	spent := node.ledger.Spent()
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	for account, total := range spent {
		if total != fleet.lastSpent[account] {
			news = true
		}
	}
	digest.Spent = spent
	fleet.lastSpent = spent
	return digest, news
}

// hear takes another host's digest.
func (fleet *fleet) hear(from string, digest gossip.Digest, now time.Time) {
	node := fleet.node
	fleet.lock.Lock()
	if known, found := fleet.members[digest.Node]; found {
		known.heard = now
		known.leads = digest.Leads
		fleet.relays.DigestReceived(known.address, now)
		if digest.Unfit {
			fleet.relays.MarkStoreOutage(known.address, now)
		}
	}
	fleet.lock.Unlock()
	node.ledger.Hear(digest.Node, digest.Incarnation, digest.Spent, now)
	loads := make(map[string]balance.Load, len(digest.Loads))
	for id, load := range digest.Loads {
		loads[id] = balance.Load{
			Running: load.Running, Prefill: time.Duration(load.PrefillMillis) * time.Millisecond,
			Reading: load.Reading, Waiting: load.Waiting,
		}
	}
	node.tracker.Hear(digest.Node, loads, now.Add(hintDigests*fleet.every()))
	node.loader.hearOwners(from, digest.Owned, now)
	node.loader.hearGivenUp(digest.GivenUp)
	node.suspects.Hear(digest.Node, digest.Crashes)
	if digest.Steady {
		// The store was not away when that node read the change.
		node.targets.Confirm(mimosatide.RowVersion(digest.Tables[platform.TargetTable]))
	}
	fleet.askForNews(from, digest.Tables, now)
}

// steady says whether this node reads the store itself, which has not been away lately.
func (fleet *fleet) steady() bool {
	for table, follower := range fleet.node.followers {
		if !follower.Steady() || fleet.ReceivesFromRelay(table) {
			return false
		}
	}
	return true
}

// askForNews asks a peer that knows more for its rows while the store does not answer this node.
func (fleet *fleet) askForNews(from string, tables map[string]uint64, now time.Time) {
	// The relay as it was last chosen: choosing anew for each of hundreds of digests costs too much.
	fleet.lock.Lock()
	leader := fleet.relay
	fleet.lock.Unlock()
	for table, changed := range tables {
		follower, found := fleet.node.followers[table]
		if !found {
			continue
		}
		state := follower.State()
		guided := leader == from && fleet.ReceivesFromRelay(table)
		if state.Healthy && !guided || uint64(state.LastChange) >= changed {
			continue
		}
		fleet.lock.Lock()
		due := now.Sub(fleet.askedAt) >= askEvery
		if due {
			fleet.askedAt = now
		}
		fleet.lock.Unlock()
		if due {
			fleet.node.hub.Send(from, gossip.AskRows{Table: table, From: fleet.node.self})
		}
	}
}
