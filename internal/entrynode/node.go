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
	"mimosatide.example/mimosatide/internal/buffer"
	"mimosatide.example/mimosatide/internal/exchange"
	"mimosatide.example/mimosatide/internal/feed"
	"mimosatide.example/mimosatide/internal/gateway"
	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/intake"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/internal/origin"
	"mimosatide.example/mimosatide/internal/pace"
	"mimosatide.example/mimosatide/internal/peer"
	"mimosatide.example/mimosatide/internal/permit"
	"mimosatide.example/mimosatide/internal/quarantine"
	"mimosatide.example/mimosatide/internal/reading"
	"mimosatide.example/mimosatide/internal/registry"
	"mimosatide.example/mimosatide/internal/shutdown"
	"mimosatide.example/mimosatide/internal/triage"
	"mimosatide.example/mimosatide/platform"
)

// The tables that this system keeps in the platform's store.
const (
	hostTable       = "mimosatide-hosts"
	leaseTable      = "mimosatide-leases"
	quarantineTable = "mimosatide-quarantines"
	// softwareTable holds the versions of each service's software, streamTable the streams that may
	// have begun at one of several.
	softwareTable = "mimosatide-software"
	streamTable   = "mimosatide-streams"
)

const (
	// pollsPerStaleness is how many polls fit into the time after which a configuration is stale.
	pollsPerStaleness = 4
	// targetBatchFraction is the fraction of the drain time for which changes of targets are batched.
	targetBatchFraction = 0.35
	// hostBatchDelay is how long changes of the list of hosts are batched: when many
	// hosts start at the same time, each of them changes it.
	hostBatchDelay = 500 * time.Millisecond
	// peerQueueLength is how many messages may wait for a peer: about three seconds of a
	// relay's batches. The hub drops the oldest ones, because a digest is replaced by
	// the next one.
	peerQueueLength = 32
	// housekeepingInterval is the time between two sweeps of idle connections and expired targets.
	housekeepingInterval = 500 * time.Millisecond
	// stallThreshold is the delay of a sweep above which the process must have been
	// suspended or got no processor time.
	stallThreshold = time.Second
	// answerMemoryShare is the share of the process's memory in which answers of targets are
	// buffered.
	answerMemoryShare = 0.125
	// archiveSpread is the time over which the hosts compare the saved quarantines with their
	// own after a restore of the store. The rows matter only once all hosts have restarted.
	archiveSpread = 20 * time.Second
	// engineIdleTimeout is how long an idle connection for reports is kept; engines close idle ones.
	engineIdleTimeout = 2 * time.Second
)

// Node is one entry node.
type Node struct {
	settings    platform.Settings
	log         logr.Logger
	incarnation uint64
	// peerAddress is where this node listens for its peers and by which they know it.
	peerAddress string

	store      *platform.Store
	engines    *platform.Engines
	deployment atomic.Pointer[mimosatide.Deployment]
	// configuration is the row from which deployment was decoded.
	configuration configurationState
	// evacuations follows the evacuated zones; evacuatedBefore says that there were some when it was last
	// asked.
	evacuations     registry.DrainWatch
	evacuatedBefore bool
	targets         *registry.Registry
	tracker         *balance.Tracker
	pace            *pace.Tracker
	ledger          *allowance.Ledger
	targetClient    *exchange.Client
	answers         *buffer.Budget
	intake          *intake.Budget
	retryBudget     *gateway.RetryBudget
	quarantine      *quarantine.Tracker
	origins         *origin.Tracker
	meter           *metric.Meter
	hub             *peer.Hub
	followers       map[string]*feed.Follower
	probeGate       *feed.ProbeGate
	compressor      *gossip.Compressor
	limits          *permit.Limits
	issuer          *permit.Issuer
	permits         *permit.Desk
	// triage is nil if the requests that wait for room are not ordered.
	triage *triage.Queues
	// readings lets long prompts take turns at the engines.
	readings *reading.Desk
	fleet    *fleet
	loader   *loader

	draining atomic.Bool
	// refuseWaiting is closed when waiting requests can no longer be served before the process ends.
	refuseWaiting chan struct{}
	// stop is the schedule of the node's planned stop.
	stop *shutdown.Schedule
	// metricsAddress is where the metrics endpoint listens.
	metricsAddress string
}

// New returns a node that has not started, but already listens for its peers. The
// metrics are served at metricsPort of the node's IP address.
func New(settings platform.Settings, metricsPort string, log logr.Logger, options ...Option) (*Node, error) {
	dialer := newDialer()
	paces := pace.New(log)
	node := &Node{
		settings:       settings,
		log:            log,
		incarnation:    uint64(time.Now().UnixNano()),
		peerAddress:    net.JoinHostPort(settings.IP, strconv.Itoa(settings.Listen.PeerPort)),
		store:          platform.NewStore(settings.Store.Address, dialer),
		targets:        registry.New(log),
		tracker:        balance.New(settings.Zone, paces),
		pace:           paces,
		ledger:         allowance.New(settings.FirstStart),
		targetClient:   exchange.New(dialer),
		answers:        buffer.NewBudget(int64(float64(settings.Limits.MemoryMB) * answerMemoryShare * (1 << 20))),
		intake:         intake.NewBudget(int64(float64(settings.Limits.MemoryMB) * requestMemoryShare * (1 << 20))),
		retryBudget:    gateway.NewRetryBudget(settings.Bounds.RetryRatio, settings.Bounds.RetrySlack),
		quarantine:     quarantine.New(log),
		meter:          metric.New(),
		followers:      map[string]*feed.Follower{},
		compressor:     gossip.NewCompressor(),
		limits:         permit.NewLimits(),
		issuer:         permit.NewIssuer(),
		probeGate:      &feed.ProbeGate{},
		refuseWaiting:  make(chan struct{}),
		stop:           newStop(settings.Bounds),
		metricsAddress: net.JoinHostPort(settings.IP, metricsPort),
		triage:         triage.New(log),
	}
	for _, option := range options {
		option(node)
	}
	node.engines = platform.NewEngines(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: engineIdleTimeout,
	}, node.recordWishes)
	hub, err := peer.New(peer.Settings{
		Codec:        gossip.Codec{},
		Self:         node.peerAddress,
		Listen:       node.peerAddress,
		PingInterval: peer.DefaultPingInterval,
		QueueLength:  peerQueueLength,
	}, log, node.handleMessage)
	if err != nil {
		return nil, errors.Trace(err)
	}
	node.hub = hub
	node.fleet = newFleet(node)
	node.permits = permit.NewDesk(node.limits, node.issuer, node.fleet, log)
	node.readings = reading.NewDesk(reading.NewHome(triage.New(log), node.refuseWaiting), node.fleet, log)
	node.loader = newLoader(node)
	node.origins = newOrigins(node)
	if !settings.FirstStart {
		node.targets.AssumeReturned(time.Now())
	}
	node.addFollower(platform.ConfigurationTable, node.applyConfiguration)
	node.addFollower(platform.TargetTable, node.applyTargets)
	node.addFollower(hostTable, node.fleet.applyHosts)
	return node, nil
}

// addFollower creates the follower of a table; Run starts it.
func (node *Node) addFollower(table string, apply func(feed.Update)) {
	settings := feed.Settings{Table: table, Peers: node.fleet, ProbeGate: node.probeGate}
	if table == hostTable {
		settings.BatchDelay = hostBatchDelay
	}
	if table == platform.TargetTable {
		// Targets write their rows often. It is enough to know of a leaving target well
		// within the drain time.
		settings.BatchDelay = time.Duration(float64(node.settings.Bounds.Drain) * targetBatchFraction)
	}
	if node.settings.Bounds.StopWhenStale {
		settings.PollWait = node.settings.Bounds.StaleAfter / pollsPerStaleness
	}
	node.followers[table] = feed.New(settings, node.store, bootClock{}, node.log, apply)
}

// Run serves until ctx is cancelled, then drains. It returns an error if the node
// can't listen or the metrics can't be closed. A node runs only once.
func (node *Node) Run(ctx context.Context) error {
	node.log.Info("node starts", "node", node.settings.Node, "zone", node.settings.Zone, "peers", node.peerAddress,
		"callers", node.settings.Listen.Callers, "incarnation", node.incarnation, "firstStart", node.settings.FirstStart)
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	archive := quarantine.NewArchive(node.quarantine, node.store.Table(quarantineTable),
		quarantine.ArchiveSettings{Era: node.store.Era, Spread: archiveSpread}, node.log)
	background := []func(context.Context){node.hub.Run, node.fleet.run, node.fleet.watchRelay, node.loader.run, node.housekeep, archive.Run, node.origins.Run}
	for _, follower := range node.followers {
		background = append(background, follower.Run)
	}
	for _, run := range background {
		group.Go(func() { run(workCtx) })
	}
	callers, err := node.listen(workCtx)
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

// activeDeployment returns the configuration in force. It is nil before the first one,
// and while the copy is too old on a node that must not serve on stale data.
func (node *Node) activeDeployment() *mimosatide.Deployment {
	bounds := node.settings.Bounds
	if bounds.StopWhenStale {
		age := bootClock{}.Now() - node.followers[platform.ConfigurationTable].State().CurrentAt
		if age > bounds.StaleAfter {
			return nil
		}
	}
	return node.deployment.Load()
}

// applyTargets applies changes of the targets' rows; a row that can't be decoded removes its target.
func (node *Node) applyTargets(update feed.Update) {
	var instances []mimosatide.Instance
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
		instances = append(instances, instance)
		node.origins.Known(instance.ID, instance.Born)
	}
	if update.Restored {
		node.targets.PutRestored(instances, time.Now())
		return
	}
	node.targets.PutAll(instances)
}

// recordWishes records what an engine's answer to an order or to a request for its report
// says about further ones.
func (node *Node) recordWishes(engine mimosatide.Instance, wishes platform.Wishes) {
	now := time.Now()
	if wishes.Leaving {
		node.targets.MarkLeaving(engine, now)
	}
	if wishes.Pause > 0 {
		node.tracker.Pause(engine, now.Add(wishes.Pause), now)
		node.log.Info("engine asks for a pause", "target", engine.ID, "service", engine.Service, "pause", wishes.Pause)
	}
	if wishes.Cold > 0 {
		node.targets.MarkCold(engine, now.Add(wishes.Cold), now)
	}
	if wishes.Rate > 0 && node.limits.Name(engine, wishes.Rate, now) {
		node.log.Info("target names a limit", "target", engine.ID, "service", engine.Service, "rate", wishes.Rate)
	}
}

// ready reports whether the platform may send new connections to the node.
func (node *Node) ready() bool {
	return !node.draining.Load() && node.deployment.Load() != nil &&
		node.followers[platform.TargetTable].State().Synced
}

// housekeep removes idle connections, expired targets and the load records of removed
// targets, until ctx is cancelled.
func (node *Node) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	swept := bootClock{}.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			previous := swept
			swept = bootClock{}.Now()
			node.stop.Awake()
			if delay := swept - previous - housekeepingInterval; delay > stallThreshold {
				node.log.Info("process held up", "node", node.settings.Node, "delay", delay)
			}
			node.targetClient.CloseExpired()
			node.recordCopies()
			node.loader.recordRemoteLoads()
			node.recordPeerMessages()
			node.meter.SetGauge("answer_buffer_bytes", float64(node.answers.Used()))
			node.meter.SetGauge("request_memory_bytes", float64(node.intake.Used()))
			if node.triage != nil {
				node.meter.SetGauge("requests_waiting_for_room", float64(node.triage.Waiting()))
			}
			node.targets.Expire(now)
			node.recordEvacuations(now)
			view := node.targets.View()
			known := func(id string) bool {
				_, found := view.Instance(id)
				return found
			}
			node.tracker.Prune(known)
			node.limits.Prune(known)
			node.pace.Prune(known)
			summary := node.pace.Review(now)
			node.meter.SetGauge("slow_targets", float64(summary.Slow))
			node.meter.SetGauge("largest_pace_factor", summary.Largest)
		}
	}
}

// configurationAge returns the time since the store last confirmed to this node or to a
// peer that the configuration in force is current.
func (node *Node) configurationAge() time.Duration {
	return bootClock{}.Now() - node.followers[platform.ConfigurationTable].State().ConfirmedAt
}

// storeAnsweredAt returns a reading of the clock after which the store has answered this node
// or a peer.
func (node *Node) storeAnsweredAt() time.Duration {
	return node.followers[platform.ConfigurationTable].State().ConfirmedAt
}

// recordCopies sets the gauges of the tables' copies and of the store's era.
func (node *Node) recordCopies() {
	now := bootClock{}.Now()
	node.meter.SetGauge("store_era", float64(node.store.Era()))
	watches := 0.0
	if node.fleet.watches() {
		watches = 1
	}
	node.meter.SetGauge("watches_store", watches)
	for table, follower := range node.followers {
		state, counts := follower.State(), follower.Counts()
		node.meter.SetCopyAge(table, now-state.ConfirmedAt)
		node.meter.SetTableGauge(table, "copy_era", float64(state.Version.Era()))
		node.meter.SetTableGauge(table, "copy_restores", float64(counts.Restores))
		node.meter.SetTableGauge(table, "copy_rows_changed_by_restores", float64(counts.ChangedRows))
		node.meter.SetTableGauge(table, "copy_rows_lost_by_restores", float64(counts.LostRows))
		node.meter.SetTableGauge(table, "copy_batches_ignored", float64(counts.Ignored))
		node.meter.SetTableGauge(table, "copy_polls_replaced", float64(counts.ReplacedPolls))
	}
}

// recordPeerMessages sets the gauges of the messages to peers since the start: those that
// the hub has tried to write, those of them that failed, and those that full queues dropped.
func (node *Node) recordPeerMessages() {
	counts := node.hub.Counts()
	node.meter.SetGauge("peer_messages_sent", float64(counts.Sent))
	node.meter.SetGauge("peer_messages_failed", float64(counts.Failed))
	node.meter.SetGauge("peer_messages_dropped", float64(counts.Dropped))
	node.meter.SetGauge("peer_bytes_sent", float64(counts.SentBytes))
	node.meter.SetGauge("peer_connections_open", float64(counts.Open))
}

// handleMessage dispatches a message to its handler; from is the sender's peer address.
func (node *Node) handleMessage(from string, message any) {
	now := time.Now()
	node.fleet.chooser.MessageReceived(from, now)
	switch message := message.(type) {
	case gossip.Digest:
		node.fleet.handleDigest(from, message, now, bootClock{}.Now())
	case gossip.Usage:
		node.loader.handleUsage(message, now)
	case gossip.Need:
		node.loader.handleNeed(message, now)
	case gossip.HoldingsReport:
		node.loader.handleHoldingsReport(message)
	case gossip.Batch:
		node.fleet.handleBatch(from, message, now)
	case gossip.Changes:
		node.handleChanges(from, message)
	case gossip.PermitRequest:
		node.handlePermitRequest(message, now)
	case gossip.PermitResponse:
		node.permits.Deliver(message.Number, message.Verdict())
	case gossip.TurnRequest:
		node.handleTurnRequest(message, now)
	case gossip.TurnResponse:
		node.readings.Deliver(message.Number, message.Given)
	case gossip.RowsRequest:
		node.sendRows(from, message)
	case gossip.RowsResponse:
		node.handleRows(from, message)
	default:
		node.log.Info("unknown type of peer message", "peer", from)
	}
}
