package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
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

// The states of a connection.
const (
	// stateNew is that of a connection that has carried no request yet.
	stateNew int32 = iota
	stateBusy
	stateIdle
	stateClosed
)

// connection is an open connection. A request begins on it and it is closed as idle by the same
// step, so that no request is handled whose answer can't be sent.
type connection struct {
	net.Conn
	state atomic.Int32
}

// begin reports whether a request may be handled: the connection has not been closed as idle.
func (connection *connection) begin() bool {
	return connection.state.CompareAndSwap(stateIdle, stateBusy) || connection.state.CompareAndSwap(stateNew, stateBusy)
}

func (connection *connection) closeIfIdle() {
	if connection.state.CompareAndSwap(stateIdle, stateClosed) {
		// The server's goroutine for the connection gets the error.
		_ = connection.Close()
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// Server is an HTTP server for callers. It is safe for concurrent use.
type Server struct {
	server   *http.Server
	handler  http.Handler
	listener atomic.Pointer[net.Listener]
	// served is closed when no more connections are accepted.
	served chan struct{}
	// stopping says that each connection ends with its next answer.
	stopping atomic.Bool

	lock sync.Mutex
	open map[net.Conn]*connection
}

// New returns a server that calls handler for each request.
func New(settings Settings, handler http.Handler) *Server {
	server := &Server{handler: handler, served: make(chan struct{}), open: map[net.Conn]*connection{}}
	server.server = &http.Server{
		Handler:           http.HandlerFunc(server.handle),
		ReadHeaderTimeout: settings.HeaderTimeout,
		IdleTimeout:       settings.IdleTimeout,
		MaxHeaderBytes:    settings.MaxHeader,
		ConnContext:       server.addConnection,
		ConnState:         server.recordState,
	}
	return server
}

// Serve serves the connections of a listener until it is closed, and returns the error that ended
// it. It is called once.
func (server *Server) Serve(listener net.Listener) error {
	defer close(server.served)
	server.listener.Store(&listener)
	return server.server.Serve(listener)
}

// CloseIdle closes the connections that have carried a request and now carry none; the others end
// with their next answer. http.Server.SetKeepAlivesEnabled would also close connections on which a
// request has just been read.
func (server *Server) CloseIdle() {
	server.stopping.Store(true)
	server.lock.Lock()
	defer server.lock.Unlock()
	for _, connection := range server.open {
		connection.closeIfIdle()
	}
}

// Finish accepts no more connections and waits until all open ones have ended, after CloseIdle. It
// returns an error if some are open at the end of ctx.
func (server *Server) Finish(ctx context.Context) error {
	var closed error
	if listener := server.listener.Load(); listener != nil {
		closed = (*listener).Close()
		<-server.served
	}
	ticker := time.NewTicker(openPollInterval)
	defer ticker.Stop()
	for count := server.openCount(); count > 0; count = server.openCount() {
		select {
		case <-ctx.Done():
			return errors.Errorf("%d connections: %v", count, ctx.Err())
		case <-ticker.C:
		}
	}
	return errors.Annotate(closed, "closing the callers' port")
}

func (server *Server) openCount() int {
	server.lock.Lock()
	defer server.lock.Unlock()
	return len(server.open)
}

// handle calls the handler, unless the connection was closed while the request was read.
func (server *Server) handle(writer http.ResponseWriter, request *http.Request) {
	if opened, found := request.Context().Value(connectionKey{}).(*connection); !found || !opened.begin() {
		panic(http.ErrAbortHandler)
	}
	server.handler.ServeHTTP(&answerWriter{ResponseWriter: writer, stopping: &server.stopping}, request)
}

// addConnection adds an accepted connection before anything is read from it.
func (server *Server) addConnection(ctx context.Context, accepted net.Conn) context.Context {
	added := &connection{Conn: accepted}
	server.lock.Lock()
	defer server.lock.Unlock()
	server.open[accepted] = added
	return context.WithValue(ctx, connectionKey{}, added)
}

func (server *Server) recordState(changed net.Conn, state http.ConnState) {
	server.lock.Lock()
	defer server.lock.Unlock()
	switch state {
	case http.StateIdle:
		// The answer has been sent.
		opened := server.open[changed]
		opened.state.Store(stateIdle)
		if server.stopping.Load() {
			opened.closeIfIdle()
		}
	case http.StateClosed, http.StateHijacked:
		delete(server.open, changed)
	default:
	}
}

// answerWriter ends the connection with its answer once the server stops.
type answerWriter struct {
	http.ResponseWriter
	stopping *atomic.Bool
}

// WriteHeader sends the head of the answer.
func (writer *answerWriter) WriteHeader(status int) {
	if writer.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	writer.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer below, for http.ResponseController.
func (writer *answerWriter) Unwrap() http.ResponseWriter {
	return writer.ResponseWriter
}
