package entrynode_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

// TestBodiesThatDoNotArriveLeaveTheMetricsPortFree guards against requests that hold all places of the port: net/http
// waits for their bodies without a time limit.
func TestBodiesThatDoNotArriveLeaveTheMetricsPortFree(t *testing.T) {
	node := startNodeWith(t, "a", "n1", "127.0.1.1", emulator.NewStore(), "bootstrap=false")
	var dialled net.Conn
	eventually(t, "the metrics port", func() bool {
		var err error
		dialled, err = net.Dial("tcp", node.metrics)
		return err == nil
	})
	defer func() { _ = dialled.Close() }()
	if _, err := io.WriteString(dialled, "POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\na part"); err != nil {
		t.Fatal(err)
	}
	if err := dialled.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, dialled); err != nil {
		t.Errorf("body that does not arrive: got %v, want a response and the end of the connection", err)
	}
	answer, err := http.Post("http://"+node.metrics+"/metrics", "text/plain", http.NoBody)
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("request after it: got %v and error %v, want 200", answer, err)
	}
	_ = answer.Body.Close()
}
