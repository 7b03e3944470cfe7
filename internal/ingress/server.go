package ingress

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// openPollInterval is how often a server that ends checks whether connections are open.
const openPollInterval = 20 * time.Millisecond

// Settings are the limits of callers' connections.
type Settings struct {
	// HeaderTimeout is how long the head of a request may take.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
	// MaxHeader is the largest head of a request in bytes.
	MaxHeader int
}

// Server is an HTTP server for callers. It is safe for concurrent use.
type Server struct {
	server   *http.Server
	listener atomic.Pointer[net.Listener]
	// open is the number of open connections.
	open atomic.Int64
}

// New returns a server that calls handler for each request.
func New(settings Settings, handler http.Handler) *Server {
	server := &Server{}
	server.server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: settings.HeaderTimeout,
		IdleTimeout:       settings.IdleTimeout,
		MaxHeaderBytes:    settings.MaxHeader,
		ConnState:         server.recordState,
	}
	return server
}

// Serve serves the connections of a listener until it is closed. It returns the error that ended it.
func (server *Server) Serve(listener net.Listener) error {
	server.listener.Store(&listener)
	return server.server.Serve(listener)
}

// CloseIdle closes the idle connections; the others end with their next answer.
func (server *Server) CloseIdle() {
	server.server.SetKeepAlivesEnabled(false)
}

// Finish accepts no more connections and waits until all open ones have ended, after CloseIdle. It
// returns an error if some are open at the end of ctx.
func (server *Server) Finish(ctx context.Context) error {
	var closed error
	if listener := server.listener.Load(); listener != nil {
		closed = (*listener).Close()
	}
	ticker := time.NewTicker(openPollInterval)
	defer ticker.Stop()
	for server.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Errorf("%d connections: %v", server.open.Load(), ctx.Err())
		case <-ticker.C:
		}
	}
	return errors.Annotate(closed, "closing the callers' port")
}

func (server *Server) recordState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		server.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		server.open.Add(-1)
	default:
	}
}
