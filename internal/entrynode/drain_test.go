package entrynode_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

// TestRequestThatComesLateInAGracePeriodIsNotCut guards against requests that are read late
// in a planned stop, passed on and cut at its end without an answer: on a connection that
// was opened before and has not carried a request yet.
func TestRequestThatComesLateInAGracePeriodIsNotCut(t *testing.T) {
	for _, each := range []struct {
		name, ip string
		disrupt  func(*emulator.StoreEndpoint)
	}{
		{"the store answers", "127.0.1.1", func(*emulator.StoreEndpoint) {}},
		{"the store is silent", "127.0.1.91", func(entrance *emulator.StoreEndpoint) { entrance.SetUnresponsive(true) }},
		{"the store is slow", "127.0.1.92", func(entrance *emulator.StoreEndpoint) { entrance.Slow(1400 * time.Millisecond) }},
		{"the store loses its answers", "127.0.1.93", func(entrance *emulator.StoreEndpoint) { entrance.LoseAnswers(1) }},
	} {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			sendLateInAGracePeriod(t, each.ip, each.disrupt)
		})
	}
}

// sendLateInAGracePeriod stops a node that owns the orders to two services, after a disruption
// of its store, and sends it requests at the end of its grace period.
func sendLateInAGracePeriod(t *testing.T, ip string, disrupt func(*emulator.StoreEndpoint)) {
	store := emulator.NewStore()
	store.Put("op", "config", strings.Replace(configuration(1, "k1"), `"services":[`,
		`"services":[{"name":"llm","engine":{"models":[]}},{"name":"llm2","engine":{"models":[]}},`, 1))
	var arrived atomic.Int64
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		arrived.Add(1)
		if strings.HasSuffix(request.URL.Path, "/slow") {
			<-release
			return
		}
		writer.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
		writer.Header().Set("Response-Signature", "signature")
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	store.Put("servers", "d-1", fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","slots":6,"state":"ready","born":1}`,
		strings.TrimPrefix(server.URL, "http://")))
	node := startNode(t, "n1", ip, store)
	for _, service := range []string{"llm", "llm2"} {
		eventually(t, "the lease on the orders to "+service, func() bool {
			_, found := store.Row("mimosatide-leases", "orders/"+service)
			return found
		})
	}
	eventually(t, "a 200 answer", func() bool { return node.request("k1") == http.StatusOK })
	open := func() net.Conn {
		connection, err := net.Dial("tcp", node.callers)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = connection.Close() })
		return connection
	}
	ask := func(connection net.Conn, path string, deadline time.Duration) (int, string) {
		_, err := fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r-2\r\nAuthorization: Bearer k1\r\nDeadline-Ms: %d\r\n\r\n",
			path, deadline.Milliseconds())
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			return 0, err.Error()
		}
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(body)
	}
	late, short := open(), open()
	disrupt(node.entrance)
	node.stop()
	stopped := time.Now()
	// The grace period is 4 s, so that a request of 1 s can't be answered for sure any more.
	time.Sleep(time.Until(stopped.Add(3 * time.Second)))
	before := arrived.Load()
	if status, body := ask(late, "/look/slow", time.Second); status != http.StatusServiceUnavailable || !strings.HasPrefix(body, "Draining") {
		t.Errorf("request that may take longer than the grace period: got status %d and %q, want 503 and Draining", status, body)
	}
	if arrived.Load() != before {
		t.Error("request that may take longer than the grace period: got passed on, want not run")
	}
	if status, body := ask(short, "/look/1", 100*time.Millisecond); status != http.StatusOK {
		t.Errorf("request that ends within the grace period: got status %d and %q, want 200", status, body)
	}
	<-node.ended
}
