package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/caller"
	"mimosatide.example/mimosatide/internal/configuration"
	"mimosatide.example/mimosatide/internal/dispatch"
	"mimosatide.example/mimosatide/internal/fleet"
	"mimosatide.example/mimosatide/internal/journal"
	"mimosatide.example/mimosatide/internal/limit"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/internal/operator"
	"mimosatide.example/mimosatide/internal/peer"
	"mimosatide.example/mimosatide/internal/placement"
	"mimosatide.example/mimosatide/internal/platform"
	"mimosatide.example/mimosatide/internal/target"
)

// Node is one process of the fleet.
type Node struct {
	settings Settings
	log      logr.Logger
	clock    mimosatide.Clock
	table    mimosatide.Table
	objects  mimosatide.ObjectStore
	store    *configuration.Store
	bank     *limit.Bank
	meter    *metric.Meter
	journal  *journal.Journal
	pool     *ants.Pool
	hub      *peer.Hub
	fleet    *fleetRunner
	keeper   *placement.Keeper
	dispatch *dispatch.Service
	callers  *server.Hertz
	admin    *server.Hertz

	lock     sync.Mutex
	draining bool
	asks     map[uint64]chan journalAnswer
	lastAsk  uint64
	// missing is when a target's host was first absent from the host list.
	missing map[string]time.Duration
}

// New builds a node and binds its peer port.
func New(settings Settings, log logr.Logger) (*Node, error) {
	outside, err := platform.New(platform.Settings{Address: settings.Platform, Timeout: settings.PlatformLimit})
	if err != nil {
		return nil, errors.Annotate(err, "platform")
	}
	targetSettings := target.DefaultSettings()
	targetSettings.ProgressLimit = settings.ProgressLimit
	targets, err := target.New(targetSettings)
	if err != nil {
		return nil, errors.Annotate(err, "targets")
	}
	pool, err := ants.NewPool(settings.PoolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Annotate(err, "worker pool")
	}
	node := &Node{
		settings: settings,
		log:      log,
		clock:    mimosatide.NewMonotonicClock(),
		objects:  outside,
		store:    configuration.NewStore(),
		bank:     limit.New(limit.DefaultSettings()),
		meter:    metric.New(),
		journal:  journal.New(journal.DefaultSubjects),
		pool:     pool,
		asks:     map[uint64]chan journalAnswer{},
		missing:  map[string]time.Duration{},
	}
	node.table = countedTable{table: outside, meter: node.meter}
	node.hub, err = peer.New(node.peerSettings(), log, node.receive)
	if err != nil {
		return nil, errors.Trace(err)
	}
	node.build(outside, targets)
	return node, nil
}

func (node *Node) peerSettings() peer.Settings {
	return peer.Settings{
		Self:      node.settings.Member.Address,
		Listen:    node.settings.PeerListen,
		Secret:    node.settings.PeerSecret,
		PingEvery: peer.DefaultPingEvery,
	}
}

// build connects the parts; nothing runs yet.
func (node *Node) build(outside *platform.Client, targets *target.Client) {
	node.fleet = &fleetRunner{
		clock:     node.clock,
		table:     node.table,
		hostList:  outside,
		send:      node.hub.Send,
		pool:      node.pool,
		log:       node.log,
		callLimit: node.settings.PlatformLimit,
		onApply:   node.applyEntry,
		onShares:  node.changeShares,
		onHead:    node.noteHead,
		onHosts:   node.noteHosts,
		onMissing: node.reloadSnapshot,
		settled:   map[string]chan fleet.SettlePatch{},
		left:      make(chan struct{}),
	}
	node.fleet.core = fleet.New(node.fleetSettings())
	node.fleet.publish()
	node.keeper = placement.New(placement.Settings{
		Self:       node.settings.Member.Address,
		Zone:       node.settings.Member.Zone,
		KeepFactor: node.settings.KeepFactor,
		MinKeep:    node.settings.MinKeep,
	}, placement.Dependencies{
		Clock:   node.clock,
		Table:   node.table,
		Targets: targets,
		Store:   node.store,
		Fleet:   node.fleet,
		Peers:   node.fleet,
		Journal: node.journal,
		Log:     node.log,
		Submit:  node.pool.Submit,
		NewID:   newID,
		OnList:  func(list placement.List) { node.dispatch.TakeList(list) },
	})
	node.dispatch = dispatch.New(dispatch.Settings{
		Zone:      node.settings.Member.Zone,
		MaxQueued: node.settings.MaxQueued,
	}, dispatch.Dependencies{
		Clock:      node.clock,
		Table:      node.table,
		Targets:    targets,
		Store:      node.store,
		Bank:       node.bank,
		Gate:       gate{node: node},
		Peers:      node.fleet,
		Placements: node.keeper,
		Meter:      node.meter,
		Journal:    node.journal,
		Log:        node.log,
		Random:     newRandom(),
		NewNonce:   newID,
	})
	node.callers = node.newCallerServer()
	node.admin = node.newAdminServer()
}

func (node *Node) fleetSettings() fleet.Settings {
	settings := fleet.DefaultSettings(node.settings.Member, newID())
	settings.Freshness = node.settings.Freshness
	settings.Term = node.settings.Term
	settings.HostLag = node.settings.HostLag
	settings.CallTimeout = node.settings.PlatformLimit
	return settings
}

func newID() string {
	return uuid.NewString()
}

func newRandom() *mathrand.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.NativeEndian.Uint64(seed[:8]), binary.NativeEndian.Uint64(seed[8:])))
}

// Run serves until the context ends, then drains, and returns.
func (node *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	node.start(work)
	failed := make(chan error, 2)
	go func() { failed <- errors.Annotate(node.callers.Run(), "callers' port") }()
	go func() { failed <- errors.Annotate(node.admin.Run(), "operators' port") }()
	node.log.Info("node started", "peer", node.settings.Member.Address, "callers", node.settings.CallerListen,
		"operators", node.settings.OperatorListen, "zone", node.settings.Member.Zone)
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	node.drain(work)
	node.closePorts()
	stop()
	node.pool.Release()
	return errors.Trace(node.meter.Close())
}

// closePorts lets refusals that are being written finish.
func (node *Node) closePorts() {
	ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	_ = node.callers.Shutdown(ctx)
	_ = node.admin.Shutdown(ctx)
}

func (node *Node) start(ctx context.Context) {
	go node.hub.Run(ctx)
	go node.startFleet(ctx)
	go node.keeper.Run(ctx)
	go node.dispatch.Run(ctx)
	go node.reportGauges(ctx)
}

// startFleet loads the newest snapshot before the core begins to count entries.
func (node *Node) startFleet(ctx context.Context) {
	for ctx.Err() == nil {
		err := node.loadSnapshot(ctx)
		if err == nil {
			break
		}
		node.log.Info("snapshot not loaded", "reason", err.Error())
		time.Sleep(snapshotRetry)
	}
	node.fleet.run(ctx)
}

// drain refuses new work, lets the rest finish, and releases what the node holds.
func (node *Node) drain(ctx context.Context) {
	node.lock.Lock()
	node.draining = true
	node.lock.Unlock()
	node.dispatch.Drain()
	node.log.Info("draining")
	deadline := time.Now().Add(node.settings.DrainLimit)
	for !node.dispatch.Idle() && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	node.fleet.step(ctx, fleet.LeaveAsked{})
	select {
	case <-node.fleet.left:
	case <-time.After(leaveLimit):
	}
	node.log.Info("node left", "idle", node.dispatch.Idle())
}

func (node *Node) isDraining() bool {
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.draining
}

// Ready says whether the balancer should send callers here.
func (node *Node) Ready() bool {
	return node.fleet.fresh() && !node.isDraining()
}

var _ caller.Dispatcher = (*dispatch.Service)(nil)

var _ operator.Reporter = (*Node)(nil)
