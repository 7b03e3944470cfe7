package platform_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/platform"
)

// startRaw returns a client of a store that gives every request, once it has arrived, the same
// answer, and then ends the connection.
func startRaw(t *testing.T, answer string, abrupt bool) *platform.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(accepted))
			if err == nil {
				_, err = io.Copy(io.Discard, request.Body)
			}
			if err == nil {
				_, _ = io.WriteString(accepted, answer)
			}
			if abrupt {
				// What was written before has arrived.
				time.Sleep(time.Millisecond)
				_ = accepted.(*net.TCPConn).SetLinger(0)
			}
			_ = accepted.Close()
		}
	}()
	client, err := platform.New(platform.Settings{Address: listener.Addr().String(), Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// TestBrokenAnswerIsNotTakenAsComplete guards against a part of an object that passes for the
// whole, and against a write that counts as done, because the connection was reset.
func TestBrokenAnswerIsNotTakenAsComplete(t *testing.T) {
	const withoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	broken := startRaw(t, withoutLength+"a part", true)
	if value, err := broken.GetObject(context.Background(), "o"); err == nil {
		t.Errorf("object before a reset: got %q, want an error", value)
	}
	if err := broken.PutObject(context.Background(), "o", []byte("v")); err == nil {
		t.Error("write answered before a reset: got no error, want one")
	}
	decided := startRaw(t, withoutLength+`{"Outcome":"Done"}`, true)
	if outcome := decided.Commit(context.Background(), mimosatide.Transaction{}); outcome != mimosatide.CommitUnknown {
		t.Errorf("transaction answered before a reset: got %s, want Unknown", outcome)
	}
	whole := startRaw(t, withoutLength+"whole", false)
	for range 20 {
		if value, err := whole.GetObject(context.Background(), "o"); err != nil || string(value) != "whole" {
			t.Fatalf("object before a clean end: got %q and error %v, want it whole", value, err)
		}
	}
}

// TestOddStatusIsAnError guards against a status that is no HTTP: the library takes 000 for 200.
func TestOddStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "0200", "2000"} {
		store := startRaw(t, fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: 2\r\n\r\n{}", status), false)
		if value, err := store.GetObject(context.Background(), "o"); err == nil {
			t.Errorf("status %s: got object %q, want an error", status, value)
		}
		if err := store.PutObject(context.Background(), "o", []byte("v")); err == nil {
			t.Errorf("status %s: got no error of a write, want one", status)
		}
	}
}
