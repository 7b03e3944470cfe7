package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/intake"
	"mimosatide.example/mimosatide/internal/metric"
)

const (
	// openPollInterval is how often a server that ends checks whether connections are open.
	openPollInterval = 20 * time.Millisecond
	// unlimitedHeader keeps net/http from refusing headers that this package lets pass.
	unlimitedHeader = 1 << 30
	// maxChoices is how often a connection to close is chosen again because its stage has changed.
	maxChoices = 4
	// maxOptionsBody is the largest body of a request for the options of the server, in bytes.
	maxOptionsBody = 4 << 10
)

// Settings are the limits of a Server.
type Settings struct {
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxConnections is the largest number of open connections.
	MaxConnections int
	// Memory is the memory for the callers' requests.
	Memory *intake.Budget
	// SendBuffer is the kernel's memory for what a caller has not read, in bytes per connection;
	// zero leaves it to the kernel.
	SendBuffer int
	// Port names the port in logs and metrics if it is not that of callers.
	Port string
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// Server is an HTTP server for callers. It is safe for concurrent use.
type Server struct {
	settings Settings
	server   *http.Server
	handler  http.Handler
	meter    *metric.Meter
	log      logr.Logger
	listener atomic.Pointer[net.Listener]
	// served is closed when no more connections are accepted.
	served chan struct{}
	// stopping says that each connection ends with its next answer.
	stopping atomic.Bool
	// clock is the reading of the clock of the connections, in nanoseconds.
	clock    atomic.Int64
	closings closings

	lock   sync.Mutex
	roster *Roster
	// open holds the connections whose goroutines have not ended.
	open map[*connection]struct{}
}

// New returns a server that calls handler for each request.
func New(settings Settings, handler http.Handler, meter *metric.Meter, log logr.Logger) *Server {
	server := &Server{
		settings: settings, handler: handler, meter: meter, log: log,
		served: make(chan struct{}), roster: NewRoster(settings.MaxConnections), open: map[*connection]struct{}{},
	}
	server.server = &http.Server{
		Handler:        http.HandlerFunc(server.handle),
		MaxHeaderBytes: unlimitedHeader,
		// net/http would answer "OPTIONS *" without a call of the handler.
		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, accepted net.Conn) context.Context {
			if opened, ok := accepted.(*connection); ok {
				ctx = intake.WithHeader(ctx, opened.hold)
			}
			return context.WithValue(ctx, connectionKey{}, accepted)
		},
		ConnState: server.recordState,
	}
	return server
}

// Serve serves the connections of a listener until it is closed, and returns the error that ended
// it. It is called once.
func (server *Server) Serve(listener net.Listener) error {
	defer close(server.served)
	server.listener.Store(&listener)
	go server.sweepUntilEnd()
	return server.server.Serve(&boundedListener{Listener: listener, server: server})
}

// CloseIdle closes the connections that have carried a request and now carry none; the others end
// with their next answer. http.Server.SetKeepAlivesEnabled would also close connections on which a
// request has just been read.
func (server *Server) CloseIdle() {
	server.stopping.Store(true)
	for _, connection := range server.connections() {
		connection.closeFrom(StageIdle)
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

func (server *Server) connections() []*connection {
	server.lock.Lock()
	defer server.lock.Unlock()
	list := make([]*connection, 0, len(server.open))
	for connection := range server.open {
		list = append(list, connection)
	}
	return list
}

// now returns the reading of the clock by which the times of connections are measured.
func (server *Server) now() time.Duration {
	return time.Duration(server.clock.Load())
}

// handle calls the handler, unless the connection was closed while the request was read, or the end of the request's
// body is in doubt.
func (server *Server) handle(writer http.ResponseWriter, request *http.Request) {
	opened, found := request.Context().Value(connectionKey{}).(*connection)
	if !found {
		panic(http.ErrAbortHandler)
	}
	if opened.header.ambiguous(request) {
		// The panic closes the connection.
		_ = opened.refuseHeader(CauseAmbiguousBody, http.StatusBadRequest, "the header leaves in doubt where the body ends")
		panic(http.ErrAbortHandler)
	}
	if !opened.begin() {
		panic(http.ErrAbortHandler)
	}
	if request.ContentLength != 0 {
		opened.body = newBodyEnd(request)
	}
	// The server needs its own request, whose body it recognises.
	handled := request.WithContext(request.Context())
	if request.ContentLength != 0 {
		handled.Body = &body{ReadCloser: request.Body, connection: opened}
	}
	handler := server.handler
	if request.Method == http.MethodOptions && request.RequestURI == "*" {
		handler = http.HandlerFunc(answerOptions)
	}
	handler.ServeHTTP(&answerWriter{ResponseWriter: writer, stopping: &server.stopping}, handled)
}

// answerOptions answers a request that asks for the options of the server as a whole.
func answerOptions(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.CopyN(io.Discard, request.Body, maxOptionsBody); err != io.EOF {
		writer.Header().Set("Connection", "close")
		// The server would read on otherwise. An error means that the connection is closed.
		_ = http.NewResponseController(writer).SetReadDeadline(longAgo)
	}
}

// boundedListener accepts connections within the bound of its server.
type boundedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that has a place. If the process has no descriptor left, it
// closes a connection that waits for its caller, so that the next call may succeed.
func (listener *boundedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				listener.server.makeRoom("")
			}
			return nil, err
		}
		if added := listener.server.add(accepted); added != nil {
			return added, nil
		}
		_ = accepted.Close()
	}
}

// add adds an accepted connection before anything is read from it. It returns nil if there is no
// place for it.
func (server *Server) add(accepted net.Conn) *connection {
	address, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
	if err != nil {
		address = accepted.RemoteAddr().String()
	}
	server.lock.Lock()
	full := server.roster.Full()
	server.lock.Unlock()
	if full && !server.makeRoom(address) {
		server.count(CauseFull, address)
		return nil
	}
	if buffered, ok := accepted.(interface{ SetWriteBuffer(bytes int) error }); ok && server.settings.SendBuffer > 0 {
		// The kernel reserves twice the value. An error means that the connection is closed.
		_ = buffered.SetWriteBuffer(server.settings.SendBuffer / 2)
	}
	server.lock.Lock()
	defer server.lock.Unlock()
	added := &connection{
		Conn: accepted, server: server, Member: server.roster.Add(address, server.now()), hold: server.settings.Memory.NewHold(),
	}
	added.Member.owner = added
	server.open[added] = struct{}{}
	return added
}

// makeRoom closes a connection for a new one from an address, and reports whether it did.
func (server *Server) makeRoom(address string) bool {
	for range maxChoices {
		server.lock.Lock()
		chosen, stage := server.roster.Choose(address, server.now())
		server.lock.Unlock()
		if chosen == nil {
			return false
		}
		if chosen.owner.closeFrom(stage) {
			server.count(CauseReplaced, chosen.source.address)
			server.lock.Lock()
			defer server.lock.Unlock()
			server.roster.Remove(chosen)
			return true
		}
	}
	return false
}

func (server *Server) recordState(changed net.Conn, state http.ConnState) {
	connection, ok := changed.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		// The answer has been sent.
		connection.rest()
		if server.stopping.Load() {
			connection.closeFrom(StageIdle)
		}
	case http.StateClosed, http.StateHijacked:
		if connection.Stage() == StageHeader && connection.header.Ended {
			// The server has refused the request by itself.
			server.count(CauseHeaderMalformed, connection.source.address)
		}
		connection.hold.Release()
		server.lock.Lock()
		defer server.lock.Unlock()
		server.roster.Remove(connection.Member)
		delete(server.open, connection)
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
