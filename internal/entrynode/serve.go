package entrynode

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/gateway"
	"mimosatide.example/mimosatide/internal/ingress"
	"mimosatide.example/mimosatide/internal/shutdown"
	"mimosatide.example/mimosatide/platform"
)

const (
	// rotationDelay is how long the platform may still send new connections to a node
	// that is not ready: two readiness checks one second apart, and their answers.
	rotationDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period that is left for ending the process.
	shutdownMargin = 500 * time.Millisecond
	// leaveShare is the share of the margin that is left after leaving the list of hosts.
	leaveShare = 0.5
	// requestMemoryShare is the share of the process's memory for the headers and bodies of
	// callers' requests.
	requestMemoryShare = 0.1875
)

// newStop returns the schedule of a stop that has not begun.
func newStop(bounds platform.Bounds) *shutdown.Schedule {
	return shutdown.New(shutdown.Settings{
		Grace: bounds.Grace, Margin: shutdownMargin, Rotation: rotationDelay, Stall: housekeepingInterval + stallThreshold,
	}, bootClock{})
}

// connectionServer serves the connections of a listener.
type connectionServer interface {
	Serve(listener net.Listener) error
}

// listen starts the servers for callers, readiness checks and metrics. It returns
// the server for callers, or an error if an address can't be bound.
func (node *Node) listen(ctx context.Context) (*ingress.Server, error) {
	handler := gateway.New(gateway.Dependencies{
		Deployment:    node.activeDeployment,
		DeploymentAge: node.configurationAge,
		MaxDenialAge:  node.settings.Bounds.ConfigurationSpread,
		Targets:       node.targets,
		Tracker:       node.tracker,
		Limits:        node.limits,
		Permits:       node.permits,
		Ledger:        node.ledger,
		Intake:        node.intake,
		Answers:       node.answers,
		Client:        node.targetClient,
		Engines:       node.engines,
		Loader:        node.loader,
		Origins:       node.origins,
		RetryBudget:   node.retryBudget,
		Quarantine:    node.quarantine,
		Meter:         node.meter,
		Draining:      node.refuseWaiting,
		EndsBy:        node.stop.EndsBy,
	}, node.log)
	callers := ingress.New(ingress.Settings{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeader: maxHeaderBytes}, handler)
	ready := http.NewServeMux()
	ready.HandleFunc(platform.ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		if !node.ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", node.meter.Handler())
	servers := []struct {
		address string
		server  connectionServer
	}{
		{node.settings.Listen.Callers, callers},
		{node.settings.Listen.Readiness, &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}},
		{node.metricsAddress, &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout}},
	}
	for _, endpoint := range servers {
		config := newListenConfig()
		listener, err := config.Listen(ctx, "tcp", endpoint.address)
		if err != nil {
			return nil, errors.Annotatef(err, "listen on %s", endpoint.address)
		}
		go node.serve(endpoint.server, listener)
	}
	return callers, nil
}

// serve runs a server until it is shut down.
func (node *Node) serve(server connectionServer, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		node.log.Error(err, "HTTP server failed", "address", listener.Addr().String())
	}
}

// drain stops reporting readiness, waits until the platform sends no more connections,
// answers the requests in flight and leaves the list of hosts. What callers get depends on
// the time since the signal only: the leases are released meanwhile, and the store may not
// answer.
func (node *Node) drain(callers *ingress.Server) {
	start := time.Now()
	node.stop.Begin()
	node.draining.Store(true)
	node.log.Info("node drains", "node", node.settings.Node, "grace", node.settings.Bounds.Grace)
	drainCtx, cancel := node.stop.WithEnd(context.Background(), 1)
	defer cancel()
	released := make(chan struct{})
	go func() {
		defer close(released)
		node.loader.releaseAll(drainCtx)
	}()
	callers.CloseIdle()
	node.stop.AwaitRotation()
	close(node.refuseWaiting)
	if err := callers.Finish(drainCtx); err != nil {
		node.log.Info("connections still open at the end of the grace period", "reason", err.Error())
	}
	<-released
	leaveCtx, cancelLeave := node.stop.WithEnd(context.Background(), leaveShare)
	defer cancelLeave()
	node.fleet.leave(leaveCtx)
	node.log.Info("node drained", "took", time.Since(start))
}
