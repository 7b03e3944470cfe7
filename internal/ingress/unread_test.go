package ingress_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/ingress"
	"mimosatide.example/mimosatide/internal/intake"
	"mimosatide.example/mimosatide/internal/metric"
)

// startPlain serves handler without hooks and returns its address.
func startPlain(t *testing.T, memory *intake.Budget, settings ingress.Settings, handler http.Handler) string {
	t.Helper()
	limits := ingress.Limits{HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, MaxHeader: maxHeader}
	settings.Limits, settings.MaxConnections, settings.Memory = func() ingress.Limits { return limits }, 200, memory
	server := ingress.New(settings, handler, metric.New(), logr.Discard())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// dialNarrow opens a connection whose receive buffer is as small as the kernel allows, and sends a
// request on it.
func dialNarrow(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	opened := dial(t, address).Conn.(*net.TCPConn)
	if err := opened.SetReadBuffer(1); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(opened, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return opened
}

// A response that is not read was held by the kernel up to 4 MB for each connection, outside of
// all memory that the process counts.
func TestKernelHoldsLittleOfAnUnreadResponse(t *testing.T) {
	const sendBuffer, most = 40 << 10, 1 << 20
	var accepted atomic.Int64
	ended := make(chan struct{})
	address := startPlain(t, intake.NewBudget(1<<19), ingress.Settings{SendBuffer: sendBuffer}, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer close(ended)
		part := make([]byte, 8<<10)
		for request.Context().Err() == nil && accepted.Load() <= most {
			if _, err := writer.Write(part); err != nil {
				return
			}
			accepted.Add(int64(len(part)))
		}
	}))
	caller := dialNarrow(t, address)
	// The count stands still once the buffers are full.
	for last := int64(-1); accepted.Load() != last; time.Sleep(300 * time.Millisecond) {
		last = accepted.Load()
	}
	if got := accepted.Load(); got > most {
		t.Errorf("unread response: got more than %d bytes accepted with a send buffer of %d", most, sendBuffer)
	}
	_ = caller.Close()
	<-ended
}

// patience is how long a test waits for the end of what never ends without the mechanism.
const patience = 40 * time.Second

// writeUntilError writes a response without end, and passes on the error of the write.
func writeUntilError(ended chan<- error) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		part := make([]byte, 64<<10)
		for {
			if _, err := writer.Write(part); err != nil {
				ended <- err
				return
			}
		}
	})
}

// A response whose caller reads nothing held its memory for as long as the caller stayed, and would look
// complete if its connection were closed instead of reset.
func TestUnreadResponseIsReset(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	caller := dialNarrow(t, startPlain(t, intake.NewBudget(1<<19), ingress.Settings{}, writeUntilError(ended)))
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("response that is not read: got no end of its write, want an error")
	}
	if _, err := io.Copy(io.Discard, caller); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("rest of the response: got %v, want a reset connection", err)
	}
}

// The kernel accepts more of a response only when a third of its buffer is free. By that alone a caller that
// reads slowly but steadily was taken for one that reads nothing.
func TestSlowReaderIsKeptByWhatItAcknowledges(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	caller := dialNarrow(t, startPlain(t, intake.NewBudget(1<<19), ingress.Settings{}, writeUntilError(ended)))
	// Twice the limit, because the sweep begins to ask the kernel only after a while.
	for began := time.Now(); time.Since(began) < 2*ingress.WriteTimeout; time.Sleep(100 * time.Millisecond) {
		if _, err := io.CopyN(io.Discard, caller, 1<<10); err != nil {
			t.Fatalf("caller that reads 10 KB a second: got %v after %s, want the response to go on", err, time.Since(began))
		}
	}
	_ = caller.Close()
	<-ended
}

// A body that stops arriving held its memory up to the deadline of its request.
func TestStalledBodyEnds(t *testing.T) {
	t.Parallel()
	memory := intake.NewBudget(1 << 19)
	// Under pressure a body may pause for a second only.
	memory.NewHold().Grow(1 << 19)
	ended := make(chan error, 1)
	address := startPlain(t, memory, ingress.Settings{}, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, err := io.Copy(io.Discard, request.Body)
		ended <- err
	}))
	if _, err := io.WriteString(dial(t, address), "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\na part"); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("stalled body: got %v, want %v", err, os.ErrDeadlineExceeded)
		}
	case <-time.After(patience):
		t.Fatal("stalled body: got no end, want an error")
	}
}
