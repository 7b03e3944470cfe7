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
	settings   Settings
	log        logr.Logger
	clock      mimosatide.Clock
	table      mimosatide.Table
	objects    mimosatide.ObjectStore
	store      *configuration.Store
	limiter    *limit.Limiter
	meter      *metric.Meter
	journal    *journal.Journal
	pool       *ants.Pool
	hub        *peer.Hub
	fleet      *fleetRunner
	controller *placement.Controller
	dispatch   *dispatch.Service
	// callerServer and operatorServer are the HTTP servers of the two ports.
	callerServer   *server.Hertz
	operatorServer *server.Hertz

	lock     sync.Mutex
	draining bool
	// journalRequests are the channels of the open journal requests by their ID.
	journalRequests    map[uint64]chan journalAnswer
	lastJournalRequest uint64
	// absentSince is when a target's host was first found absent from the host list, by clock.
	absentSince map[string]time.Duration
}

// New builds a node and binds its peer port; Run binds the ports of callers and operators. It
// returns an error if a client can't be built or the peer port is in use.
func New(settings Settings, log logr.Logger) (*Node, error) {
	platformClient, err := platform.New(platform.Settings{Address: settings.Platform, Timeout: settings.PlatformTimeout})
	if err != nil {
		return nil, errors.Annotate(err, "create platform client")
	}
	targetSettings := target.DefaultSettings()
	targetSettings.ProgressTimeout = settings.ProgressTimeout
	targets, err := target.New(targetSettings)
	if err != nil {
		return nil, errors.Annotate(err, "create target client")
	}
	pool, err := ants.NewPool(settings.PoolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Annotate(err, "create worker pool")
	}
	node := &Node{
		settings:        settings,
		log:             log,
		clock:           mimosatide.NewMonotonicClock(),
		objects:         platformClient,
		store:           configuration.NewStore(),
		limiter:         limit.New(limit.DefaultSettings()),
		meter:           metric.New(),
		journal:         journal.New(journal.DefaultSubjects),
		pool:            pool,
		journalRequests: map[uint64]chan journalAnswer{},
		absentSince:     map[string]time.Duration{},
	}
	node.table = countedTable{table: platformClient, meter: node.meter}
	node.hub, err = peer.New(node.peerSettings(), log, node.receive)
	if err != nil {
		return nil, errors.Trace(err)
	}
	node.build(platformClient, targets)
	return node, nil
}

func (node *Node) peerSettings() peer.Settings {
	return peer.Settings{
		Self:         node.settings.Member.Address,
		Listen:       node.settings.PeerListen,
		Secret:       node.settings.PeerSecret,
		PingInterval: peer.DefaultPingInterval,
	}
}

// build creates the components and connects them without starting any.
func (node *Node) build(platformClient *platform.Client, targets *target.Client) {
	node.fleet = &fleetRunner{
		clock:            node.clock,
		table:            node.table,
		hostList:         platformClient,
		send:             node.hub.Send,
		pool:             node.pool,
		log:              node.log,
		callTimeout:      node.settings.PlatformTimeout,
		onApply:          node.applyEntry,
		onShares:         node.applyShares,
		onHead:           node.updateProposal,
		onHosts:          node.updateHosts,
		onEntriesMissing: node.reloadSnapshot,
		patchResults:     map[string]chan fleet.PatchResult{},
		left:             make(chan struct{}),
	}
	node.fleet.core = fleet.New(node.fleetSettings())
	node.fleet.publishProcesses()
	node.controller = placement.New(placement.Settings{
		Self:       node.settings.Member.Address,
		Zone:       node.settings.Member.Zone,
		KeepFactor: node.settings.KeepFactor,
		MinKeep:    node.settings.MinKeep,
	}, placement.Dependencies{
		Clock:             node.clock,
		Table:             node.table,
		Targets:           targets,
		Store:             node.store,
		Fleet:             node.fleet,
		Peers:             node.fleet,
		Journal:           node.journal,
		Log:               node.log,
		Submit:            node.pool.Submit,
		NewID:             newID,
		OnModelPlacements: func(list placement.ModelPlacements) { node.dispatch.HandleModelPlacements(list) },
	})
	node.dispatch = dispatch.New(dispatch.Settings{
		Zone:      node.settings.Member.Zone,
		MaxQueued: node.settings.MaxQueued,
	}, dispatch.Dependencies{
		Clock:      node.clock,
		Table:      node.table,
		Targets:    targets,
		Store:      node.store,
		Limiter:    node.limiter,
		Gate:       gate{node: node},
		Peers:      node.fleet,
		Placements: node.controller,
		Meter:      node.meter,
		Journal:    node.journal,
		Log:        node.log,
		Random:     newRandom(),
		NewNonce:   newID,
	})
	node.callerServer = node.newCallerServer()
	node.operatorServer = node.newOperatorServer()
}

func (node *Node) fleetSettings() fleet.Settings {
	settings := fleet.DefaultSettings(node.settings.Member, newID())
	settings.Freshness = node.settings.Freshness
	settings.LeaseTerm = node.settings.LeaseTerm
	settings.HostLag = node.settings.HostLag
	settings.CallTimeout = node.settings.PlatformTimeout
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

// Run serves until the context ends, drains the node and returns. It returns early with an error
// if an HTTP server fails.
func (node *Node) Run(ctx context.Context) error {
	// Draining needs the components, so their context outlives ctx.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	node.start(workCtx)
	failed := make(chan error, 2)
	go func() { failed <- errors.Annotate(node.callerServer.Run(), "serve callers' port") }()
	go func() { failed <- errors.Annotate(node.operatorServer.Run(), "serve operators' port") }()
	node.log.Info("node started", "peer", node.settings.Member.Address, "callers", node.settings.CallerListen,
		"operators", node.settings.OperatorListen, "zone", node.settings.Member.Zone)
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	node.drain(workCtx)
	node.shutDownServers()
	stop()
	node.pool.Release()
	return errors.Trace(node.meter.Close())
}

// shutDownServers shuts the HTTP servers down gracefully: refusals that are being written may
// finish within shutdownTimeout.
func (node *Node) shutDownServers() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = node.callerServer.Shutdown(ctx)
	_ = node.operatorServer.Shutdown(ctx)
}

func (node *Node) start(ctx context.Context) {
	go node.hub.Run(ctx)
	go node.startFleet(ctx)
	go node.controller.Run(ctx)
	go node.dispatch.Run(ctx)
	go node.reportGauges(ctx)
}

// startFleet loads the newest snapshot, retrying until that succeeds, and then runs the core, so
// that the core continues with the entries after the snapshot.
func (node *Node) startFleet(ctx context.Context) {
	for ctx.Err() == nil {
		err := node.loadSnapshot(ctx)
		if err == nil {
			break
		}
		node.log.Info("snapshot not loaded", "reason", err.Error())
		time.Sleep(snapshotRetryDelay)
	}
	node.fleet.run(ctx)
}

// drain refuses new requests, waits up to Settings.DrainTimeout for the running ones, and leaves the
// fleet, which releases the node's lease and shares.
func (node *Node) drain(ctx context.Context) {
	node.lock.Lock()
	node.draining = true
	node.lock.Unlock()
	node.dispatch.Drain()
	node.log.Info("drain started")
	deadline := time.Now().Add(node.settings.DrainTimeout)
	for !node.dispatch.Idle() && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	node.fleet.step(ctx, fleet.LeaveRequested{})
	select {
	case <-node.fleet.left:
	case <-time.After(leaveTimeout):
	}
	node.log.Info("drain ended", "idle", node.dispatch.Idle())
}

func (node *Node) isDraining() bool {
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.draining
}

// Ready reports whether a load balancer should send requests to this node.
func (node *Node) Ready() bool {
	return node.fleet.fresh() && !node.isDraining()
}

var _ caller.Dispatcher = (*dispatch.Service)(nil)

var _ operator.Reporter = (*Node)(nil)
