package entrynode

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"mimosatide.example/mimosatide/internal/gateway"
	"mimosatide.example/mimosatide/internal/ingress"
	"mimosatide.example/mimosatide/internal/intake"
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
)

// The limits of callers while no configuration names any.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultMaxHeader     = 64 << 10
	// headerMargin is what a header may take beyond the limit in the configuration: it may have
	// been on its way for some time, and it is timed in steps.
	headerMargin = time.Second
)

// The bounds of what callers may hold.
const (
	// requestMemoryShare is the share of the process's memory for the headers and bodies of
	// callers' requests.
	requestMemoryShare = 0.1875
	// connectionMemoryShare is the share of the process's memory for callers' connections,
	// connectionMemory what one takes that carries a request: goroutines, buffers of both sides,
	// and the parts of its request and its answer that don't count as memory for those.
	connectionMemoryShare = 0.2
	connectionMemory      = 32 << 10
	// connectionDescriptorShare is the share of the process's descriptors for callers' connections.
	// Each may need a second one, to a target.
	connectionDescriptorShare = 0.4
	// sendMemoryShare is the share of the process's memory for what the kernel holds of responses that
	// callers have not read. The Go runtime's limit and the program's own pages leave a quarter on a host of 144 MB.
	sendMemoryShare = 0.25
	// leastSendBuffer bounds the send buffer of a connection from below, in bytes: one of 32 KiB carries the
	// 200 Mbit/s of the fastest hosts over a round trip of 1 ms.
	leastSendBuffer = 32 << 10
	// mostConnections bounds the time in which a connection is chosen that makes room for a new
	// one: 10 microseconds. Callers keep some hundred connections to a host.
	mostConnections = 2000
)

// The limits of the ports for readiness checks and metrics, each.
const (
	// operatorConnections bounds the connections. The platform checks readiness once a second, and few
	// operators read the metrics at a time.
	operatorConnections = 16
	// operatorMemory is the memory for headers beyond their free bytes: one of the largest size for
	// each connection.
	operatorMemory    = operatorConnections * 2 * operatorMaxHeader
	operatorMaxHeader = 16 << 10
	// operatorSendBuffer is the kernel's memory for an unread response, in bytes per connection.
	operatorSendBuffer = 64 << 10
	// operatorBodyTimeout bounds the reading of a body. No handler of these ports needs one, but net/http reads up to
	// 256 KiB of it without a time limit before it sends the response.
	operatorBodyTimeout = time.Second
)

// operatorLimits are the limits of the callers of these ports.
func operatorLimits() ingress.Limits {
	return ingress.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeader: operatorMaxHeader}
}

// newOperatorServer returns the server of a port for operators and their tools.
func (node *Node) newOperatorServer(port string, handler http.Handler) *ingress.Server {
	return ingress.New(ingress.Settings{
		Limits: operatorLimits, MaxConnections: operatorConnections, Memory: intake.NewBudget(operatorMemory),
		SendBuffer: operatorSendBuffer, Port: port,
	}, limitBodyTime(handler), node.meter, node.log)
}

// limitBodyTime returns a handler whose requests' bodies have to arrive within operatorBodyTimeout. Otherwise requests
// without their bodies would hold all connections for as long as their senders stay.
func limitBodyTime(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.ContentLength != 0 {
			// An error means that the connection is closed. The server lifts the deadline before the next request.
			_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(operatorBodyTimeout))
		}
		handler.ServeHTTP(writer, request)
	})
}

// maxConnections returns the largest number of callers' connections.
func maxConnections(limits platform.Limits) int {
	descriptors := limits.Descriptors
	if descriptors <= 0 {
		var own unix.Rlimit
		if unix.Getrlimit(unix.RLIMIT_NOFILE, &own) == nil {
			descriptors = int(min(own.Cur, math.MaxInt32))
		}
	}
	byMemory := float64(limits.MemoryMB) * (1 << 20) * connectionMemoryShare / connectionMemory
	most := max(1, min(byMemory, mostConnections))
	if descriptors > 0 {
		most = max(1, min(most, float64(descriptors)*connectionDescriptorShare))
	}
	return int(most)
}

// sendBuffer returns the memory of the kernel for the unread response of one connection, in bytes;
// zero leaves it to the kernel.
func sendBuffer(limits platform.Limits, connections int) int {
	if limits.MemoryMB <= 0 {
		return 0
	}
	return max(leastSendBuffer, int(float64(limits.MemoryMB)*(1<<20)*sendMemoryShare)/connections)
}

// callerLimits returns the limits of callers in force.
func (node *Node) callerLimits() ingress.Limits {
	limits := ingress.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeader: defaultMaxHeader}
	deployment := node.deployment.Load()
	if deployment == nil {
		return limits
	}
	if configured := deployment.Limits.HeaderTimeout; configured > 0 {
		limits.HeaderTimeout = configured + headerMargin
	}
	if configured := deployment.Limits.IdleTimeout; configured > 0 {
		limits.IdleTimeout = configured + headerMargin
	}
	if configured := deployment.Limits.HeaderBytes; configured > 0 {
		limits.MaxHeader = configured
	}
	return limits
}

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
		Triage:        node.triage,
		Turns:         node.readings,
		Quarantine:    node.quarantine,
		Meter:         node.meter,
		Draining:      node.refuseWaiting,
		EndsBy:        node.stop.EndsBy,
	}, node.log)
	connections := maxConnections(node.settings.Limits)
	callers := ingress.New(ingress.Settings{
		Limits: node.callerLimits, MaxConnections: connections, Memory: node.intake,
		SendBuffer: sendBuffer(node.settings.Limits, connections),
	}, handler, node.meter, node.log)
	ready := http.NewServeMux()
	ready.HandleFunc(platform.ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		if !node.ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", node.meter.Handler())
	metrics.Handle(explainPath, explainHandler(handler.Explain))
	metrics.Handle(evacuationsPath, evacuationsHandler(node.evacuationReport))
	servers := []struct {
		address string
		timeout time.Duration
		server  connectionServer
	}{
		{node.settings.Listen.Callers, callerUserTimeout, callers},
		{node.settings.Listen.Readiness, userTimeout, node.newOperatorServer("readiness", ready)},
		{node.metricsAddress, userTimeout, node.newOperatorServer("metrics", metrics)},
	}
	for _, endpoint := range servers {
		config := newListenConfig(endpoint.timeout)
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
