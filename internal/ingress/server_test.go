package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide/internal/ingress"
	"mimosatide.example/mimosatide/internal/intake"
	"mimosatide.example/mimosatide/internal/metric"
)

// hookedListener calls onRead with the bytes that its connections have read, before the server
// gets them.
type hookedListener struct {
	net.Listener
	onRead func(read []byte)
}

type hookedConnection struct {
	net.Conn
	onRead func(read []byte)
}

func (listener *hookedListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConnection{Conn: accepted, onRead: listener.onRead}, nil
}

func (connection *hookedConnection) Read(into []byte) (int, error) {
	count, err := connection.Conn.Read(into)
	if count > 0 {
		connection.onRead(into[:count])
	}
	return count, err
}

// maxHeader is the largest header in bytes.
const maxHeader = 1 << 16

// start serves handler on a port of this machine and returns its address.
func start(t *testing.T, handler http.Handler, onRead func(server *ingress.Server, read []byte)) (*ingress.Server, string) {
	t.Helper()
	limits := ingress.Limits{HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, MaxHeader: maxHeader}
	settings := ingress.Settings{Limits: func() ingress.Limits { return limits }, MaxConnections: 200, Memory: intake.NewBudget(1 << 19)}
	server := ingress.New(settings, handler, metric.New(), logr.Discard())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	hooked := &hookedListener{Listener: listener, onRead: func(read []byte) { onRead(server, read) }}
	go func() { _ = server.Serve(hooked) }()
	return server, listener.Addr().String()
}

// connection is a caller's connection.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *connection {
	t.Helper()
	opened, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = opened.Close() })
	return &connection{Conn: opened, reader: bufio.NewReader(opened)}
}

// ask sends a request and reads its answer; closes says that the connection ends with it.
func (connection *connection) ask(path string) (closes bool, err error) {
	if _, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", path); err != nil {
		return false, err
	}
	answer, err := http.ReadResponse(connection.reader, nil)
	if err != nil {
		return false, err
	}
	_, err = io.ReadAll(answer.Body)
	return answer.Close, err
}

// requests counts the requests that a handler gets, by path.
type requests struct {
	lock  sync.Mutex
	count map[string]int
}

func (requests *requests) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	requests.lock.Lock()
	requests.count[request.URL.Path]++
	requests.lock.Unlock()
	_, _ = io.Copy(io.Discard, request.Body)
	writer.WriteHeader(http.StatusOK)
}

func (requests *requests) handled(path string) bool {
	requests.lock.Lock()
	defer requests.lock.Unlock()
	return requests.count[path] > 0
}

// A request that has been read while the idle connections are closed must not be handled without
// an answer: it would run at a target, and its caller would get a closed connection.
func TestRequestThatIsReadWhileIdleConnectionsCloseIsNotCut(t *testing.T) {
	handled := &requests{count: map[string]int{}}
	_, address := start(t, handled, func(server *ingress.Server, read []byte) {
		if bytes.Contains(read, []byte("/late")) {
			server.CloseIdle()
		}
	})
	caller := dial(t, address)
	if _, err := caller.ask("/first"); err != nil {
		t.Fatalf("first request of the connection: got %v, want an answer", err)
	}
	if _, err := caller.ask("/late"); err != nil && handled.handled("/late") {
		t.Errorf("request that was read as the idle connections were closed: got handled without an answer (%v), want neither or both", err)
	}
}

// Callers send on kept connections all the while, as idle connections are closed.
func TestRequestsOnKeptConnectionsAreNotCutByAStop(t *testing.T) {
	const rounds, callers = 20, 100
	var cut atomic.Int64
	for range rounds {
		handled := &requests{count: map[string]int{}}
		server, address := start(t, handled, func(*ingress.Server, []byte) {})
		var group sync.WaitGroup
		var answered atomic.Int64
		for number := range callers {
			caller := dial(t, address)
			group.Go(func() {
				for index := 0; ; index++ {
					path := fmt.Sprintf("/%d/%d", number, index)
					closes, err := caller.ask(path)
					if err != nil && handled.handled(path) {
						cut.Add(1)
					}
					if err != nil || closes {
						return
					}
					answered.Add(1)
				}
			})
		}
		for answered.Load() < 10*callers {
			time.Sleep(time.Millisecond)
		}
		server.CloseIdle()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		if err := server.Finish(ctx); err != nil {
			t.Errorf("end of the server: got %v, want all connections closed", err)
		}
		cancel()
		group.Wait()
	}
	if cut.Load() > 0 {
		t.Errorf("got %d requests that were handled and cut, want none", cut.Load())
	}
}

// exchange sends text on a new connection and returns the status of the answer to it.
func exchange(t *testing.T, address, text string) int {
	t.Helper()
	caller := dial(t, address)
	if _, err := io.WriteString(caller, text); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		t.Errorf("request of %d bytes: got %v, want an answer", len(text), err)
		return 0
	}
	return answer.StatusCode
}

// A body that takes all of the memory was refused on a small host if its own header was large: the
// header counted as another request.
func TestLargeHeaderLeavesTheMemoryToItsBody(t *testing.T) {
	const size = 1 << 19
	memory := intake.NewBudget(size)
	address := startPlain(t, memory, ingress.Settings{}, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		hold := memory.NewBodyHold(request.Context())
		defer hold.Release()
		if memory.Used() == 0 || !hold.Grow(size) {
			writer.WriteHeader(http.StatusInsufficientStorage)
		}
	}))
	text := "GET /a HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("x:\r\n", 200) + "\r\n"
	if got := exchange(t, address, text); got != http.StatusOK {
		t.Errorf("body of the size of the memory, with a large header: got status %d, want it granted", got)
	}
}

// A header that is not taken must be refused and not reset, and neither a body nor empty lines
// before a request must count as a header.
func TestHeadersAreRefusedAboveTheirLimitsOnly(t *testing.T) {
	handled := &requests{count: map[string]int{}}
	_, address := start(t, handled, func(*ingress.Server, []byte) {})
	for _, each := range []struct {
		name, text string
		want       int
	}{
		{"header of the limit", "GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", maxHeader-100) + "\r\n\r\n", http.StatusOK},
		{"header above the limit", "GET /b HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 2*maxHeader) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"header above the memory", "GET /c HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("x:\r\n", maxHeader/8) + "\r\n", http.StatusServiceUnavailable},
		{"body of lines", "POST /d HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("\n", 100_000), http.StatusOK},
	} {
		if got := exchange(t, address, each.text); got != each.want {
			t.Errorf("%s: got status %d, want %d", each.name, got, each.want)
		}
	}
}
