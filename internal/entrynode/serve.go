package entrynode

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/gateway"
	"mimosatide.example/mimosatide/platform"
)

// The times of a drain.
const (
	// rotationTime is how long the platform may still send new connections to a
	// node that is not ready: two questions a second apart, and their answers.
	rotationTime = 2500 * time.Millisecond
	// graceMargin is what is left of the grace for ending the process.
	graceMargin = 500 * time.Millisecond
)

// listen starts the servers of callers, readiness and metrics.
func (node *Node) listen(ctx context.Context) (*http.Server, error) {
	gate := gateway.New(gateway.Parts{
		Deployment: node.current,
		Targets:    node.targets,
		Tracker:    node.tracker,
		Ledger:     node.ledger,
		Exchange:   node.exchange,
		Loader:     node.loader,
		Repeats:    node.repeats,
		Suspects:   node.suspects,
		Meter:      node.meter,
		Draining:   node.refuseWaiting,
	}, node.log)
	callers := &http.Server{
		Handler:           gate,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          nil,
	}
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
		server  *http.Server
	}{
		{node.settings.Listen.Callers, callers},
		{node.settings.Listen.Readiness, &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}},
		{node.metrics, &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout}},
	}
	for _, each := range servers {
		config := newListenConfig()
		listener, err := config.Listen(ctx, "tcp", each.address)
		if err != nil {
			return nil, errors.Annotatef(err, "listening on %s", each.address)
		}
		go node.serve(each.server, listener)
	}
	return callers, nil
}

func (node *Node) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		node.log.Error(err, "server ended", "address", listener.Addr().String())
	}
}

// drain lets the platform take the node out of rotation, answers what is under
// way and hands over what the node holds.
func (node *Node) drain(callers *http.Server) {
	begun := time.Now()
	node.draining.Store(true)
	node.log.Info("node drains", "node", node.settings.Node, "grace", node.settings.Bounds.Grace)
	bounded, cancel := context.WithTimeout(context.Background(), node.settings.Bounds.Grace-graceMargin)
	defer cancel()
	node.loader.release(bounded)
	callers.SetKeepAlivesEnabled(false)
	time.Sleep(rotationTime)
	close(node.refuseWaiting)
	if err := callers.Shutdown(bounded); err != nil {
		node.log.Info("connections left at the end of the grace", "reason", err.Error())
	}
	node.fleet.leave(context.Background())
	node.log.Info("node drained", "took", time.Since(begun))
}
