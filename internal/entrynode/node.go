package entrynode

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/allowance"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/exchange"
	"mimosatide.example/mimosatide/internal/feed"
	"mimosatide.example/mimosatide/internal/gateway"
	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/internal/peer"
	"mimosatide.example/mimosatide/internal/registry"
	"mimosatide.example/mimosatide/platform"
)

// The tables that this system keeps in the platform's store.
const (
	hostTable  = "mimosatide-hosts"
	leaseTable = "mimosatide-leases"
)

// The bounds of callers' connections.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	headerBytes   = 64 << 10
	// staleParts is how many polls fit into the time after which knowledge is stale.
	staleParts = 4
	// gatherPart is the part of the drain time for which targets' changes are gathered.
	gatherPart = 0.35
	// hostGather is how long changes of the list of hosts are gathered: when many
	// start at once, each of them changes it.
	hostGather = 500 * time.Millisecond
	// peerQueue is how many messages may wait for a peer: about three seconds of a
	// relay's batches, as older digests are worth less than the next one.
	peerQueue = 32
	// housekeepEvery is how often old connections and lapsed targets are looked for.
	housekeepEvery = 500 * time.Millisecond
	// heldUpFrom is the delay of that from which the process has been suspended or starved.
	heldUpFrom = time.Second
)

// Node is one entry node.
type Node struct {
	settings    platform.Settings
	log         logr.Logger
	incarnation uint64
	self        string

	store      *platform.Store
	engines    *platform.Engines
	deployment atomic.Pointer[mimosatide.Deployment]
	targets    *registry.Registry
	tracker    *balance.Tracker
	ledger     *allowance.Ledger
	exchange   *exchange.Exchange
	repeats    *gateway.Repeats
	suspects   *gateway.Suspects
	meter      *metric.Meter
	hub        *peer.Hub
	followers  map[string]*feed.Follower
	gate       *feed.ProbeGate
	fleet      *fleet
	loader     *loader

	draining atomic.Bool
	// refuseWaiting is closed when requests that still wait can't be served before the end.
	refuseWaiting chan struct{}
	metrics       string
}

// New returns a node that has not started; metricsPort is where its metrics are served.
func New(settings platform.Settings, metricsPort string, log logr.Logger) (*Node, error) {
	dialer := newDialer()
	node := &Node{
		settings:    settings,
		log:         log,
		incarnation: uint64(time.Now().UnixNano()),
		self:        net.JoinHostPort(settings.IP, strconv.Itoa(settings.Listen.PeerPort)),
		store:       platform.NewStore(settings.Store.Address, dialer),
		engines: platform.NewEngines(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: engineIdle,
		}),
		targets:       registry.New(log),
		tracker:       balance.New(settings.Zone),
		ledger:        allowance.New(settings.FirstStart),
		exchange:      exchange.New(dialer),
		repeats:       gateway.NewRepeats(settings.Bounds.RetryRatio, settings.Bounds.RetrySlack),
		suspects:      gateway.NewSuspects(),
		meter:         metric.New(),
		followers:     map[string]*feed.Follower{},
		gate:          &feed.ProbeGate{},
		refuseWaiting: make(chan struct{}),
		metrics:       net.JoinHostPort(settings.IP, metricsPort),
	}
	hub, err := peer.New(peer.Settings{
		Codec:     gossip.Codec{},
		Self:      node.self,
		Listen:    node.self,
		PingEvery: peer.DefaultPingEvery,
		Queue:     peerQueue,
	}, log, node.receive)
	if err != nil {
		return nil, errors.Trace(err)
	}
	node.hub = hub
	node.fleet = newFleet(node)
	node.loader = newLoader(node)
	node.follow(platform.ConfigurationTable, node.applyConfiguration)
	node.follow(platform.TargetTable, node.applyTargets)
	node.follow(hostTable, node.fleet.applyHosts)
	return node, nil
}

// engineIdle is how long a connection for orders is kept; engines close idle ones.
const engineIdle = 2 * time.Second

func (node *Node) follow(table string, apply func(feed.Update)) {
	settings := feed.Settings{Table: table, Relay: node.fleet, ProbeGate: node.gate}
	if table != hostTable {
		settings.RelayPollWait = guideWait
	} else {
		settings.BatchDelay = hostGather
	}
	if table == platform.TargetTable {
		// Targets write often; what counts is that one that leaves is known well within the drain time.
		settings.BatchDelay = time.Duration(float64(node.settings.Bounds.Drain) * gatherPart)
	}
	if node.settings.Bounds.StopWhenStale {
		settings.PollWait = node.settings.Bounds.StaleAfter / staleParts
	}
	node.followers[table] = feed.New(settings, node.store, bootClock{}, node.log, apply)
}

// Run serves until the context ends, then drains.
func (node *Node) Run(ctx context.Context) error {
	node.log.Info("node starts", "node", node.settings.Node, "zone", node.settings.Zone, "peers", node.self,
		"callers", node.settings.Listen.Callers, "incarnation", node.incarnation, "firstStart", node.settings.FirstStart)
	working, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	background := []func(context.Context){node.hub.Run, node.fleet.run, node.loader.run, node.housekeep}
	for _, follower := range node.followers {
		background = append(background, follower.Run)
	}
	for _, work := range background {
		group.Go(func() { work(working) })
	}
	callers, err := node.listen(working)
	if err != nil {
		return errors.Trace(err)
	}
	<-ctx.Done()
	node.drain(callers)
	stop()
	group.Wait()
	node.log.Info("node ends", "node", node.settings.Node)
	return node.meter.Close()
}

// current returns the configuration in force, or nil while none may be served on.
func (node *Node) current() *mimosatide.Deployment {
	bounds := node.settings.Bounds
	if bounds.StopWhenStale {
		age := bootClock{}.Now() - node.followers[platform.ConfigurationTable].State().CurrentAt
		if age > bounds.StaleAfter {
			return nil
		}
	}
	return node.deployment.Load()
}

// applyConfiguration puts a configuration in force; one that can't be read leaves the last one in force.
func (node *Node) applyConfiguration(update feed.Update) {
	for _, change := range update.Rows {
		if change.Key != platform.ConfigurationKey || change.Deleted {
			continue
		}
		deployment, err := platform.DecodeDeployment(change.Value)
		if err != nil {
			node.log.Error(err, "configuration unreadable", "row", change.Version)
			continue
		}
		node.deployment.Store(&deployment)
		node.log.Info("configuration in force", "version", deployment.Version, "row", change.Version,
			"routes", deployment.Routes(), "accounts", len(deployment.Accounts))
		limits := make(map[string]allowance.Limit, len(deployment.Accounts))
		for name, account := range deployment.Accounts {
			limits[name] = allowance.Limit{Rate: account.Rate, Burst: account.Burst}
		}
		node.ledger.SetAccounts(limits, time.Now())
		node.loader.configure(&deployment)
	}
}

func (node *Node) applyTargets(update feed.Update) {
	for _, change := range update.Rows {
		if change.Deleted {
			node.targets.Delete(change.Key, change.Version, update.Recovering, time.Now())
			continue
		}
		instance, err := platform.DecodeInstance(change.Row)
		if err != nil {
			node.log.Info("target row unreadable", "row", change.Key, "version", change.Version, "reason", err.Error())
			node.targets.Delete(change.Key, change.Version, false, time.Now())
			continue
		}
		node.targets.Put(instance)
	}
}

// ready says whether the node takes new connections.
func (node *Node) ready() bool {
	return !node.draining.Load() && node.deployment.Load() != nil &&
		node.followers[platform.TargetTable].State().Synced
}

func (node *Node) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepEvery)
	defer ticker.Stop()
	looked := bootClock{}.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			before := looked
			looked = bootClock{}.Now()
			if delay := looked - before - housekeepEvery; delay > heldUpFrom {
				node.log.Info("process held up", "node", node.settings.Node, "delay", delay)
			}
			node.exchange.Sweep()
			node.targets.Expire(now)
			view := node.targets.View()
			node.tracker.Keep(func(id string) bool {
				_, known := view.Instance(id)
				return known
			})
		}
	}
}

// receive takes a message of a peer.
func (node *Node) receive(from string, message any) {
	now := time.Now()
	node.fleet.relays.MessageReceived(from, now)
	switch message := message.(type) {
	case gossip.Digest:
		node.fleet.hear(from, message, now)
	case gossip.Usage:
		node.loader.hearUsage(message, now)
	case gossip.Need:
		node.loader.hearNeed(message, now)
	case gossip.Placement:
		node.loader.hearPlacement(message)
	case gossip.Batch:
		node.fleet.hearBatch(message, now)
	case gossip.Changes:
		node.hearChanges(from, message)
	case gossip.AskRows:
		if follower, found := node.followers[message.Table]; found && follower.State().Synced {
			node.hub.Send(from, gossip.EncodeRows(message.Table, follower.Snapshot()))
		}
	case gossip.GiveRows:
		if follower, found := node.followers[message.Table]; found {
			node.log.V(1).Info("rows of a peer", "peer", from, "table", message.Table, "version", message.Version)
			follower.Merge(message.Batch())
		}
	default:
		node.log.Info("peer message unknown", "peer", from)
	}
}

// hearChanges takes rows that the relay of the zone passes on, or asks it for the whole table.
func (node *Node) hearChanges(from string, message gossip.Changes) {
	follower, found := node.followers[message.Table]
	if !found {
		return
	}
	if !follower.MergeChanges(mimosatide.RowVersion(message.After), message.Batch(), message.Recovering) {
		node.hub.Send(from, gossip.AskRows{Table: message.Table, From: node.self})
	}
}
