package ingress_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

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
