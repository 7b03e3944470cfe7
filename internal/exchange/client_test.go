package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/exchange"
)

// target is a server that counts its connections.
type target struct {
	address     string
	connections atomic.Int32
}

// startTarget starts a target that passes each request to respond, with its index on
// its connection, and closes the connection when respond returns false.
func startTarget(t *testing.T, respond func(connection net.Conn, request *http.Request, index int) bool) *target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	started := &target{address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			started.connections.Add(1)
			go serve(connection, respond)
		}
	}()
	return started
}

func serve(connection net.Conn, respond func(net.Conn, *http.Request, int) bool) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for index := 0; ; index++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !respond(connection, request, index) {
			return
		}
	}
}

func writeAnswer(connection net.Conn, text string) {
	_, _ = fmt.Fprint(connection, text)
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func call(address string) exchange.Call {
	return exchange.Call{Address: address, Method: http.MethodGet, Message: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")}
}

// sendAndRead sends a call and returns the whole body of its answer.
func sendAndRead(t *testing.T, targets *exchange.Client, address string) (string, mimosatide.CallFailure) {
	t.Helper()
	reply, failure, _ := targets.Send(context.Background(), call(address))
	if failure != mimosatide.CallSucceeded {
		return "", failure
	}
	body, err := io.ReadAll(reply.Body())
	reply.Close(err == nil)
	if err != nil {
		return "", mimosatide.CallCut
	}
	return string(body), mimosatide.CallSucceeded
}

func TestConnectionIsReused(t *testing.T) {
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		writeAnswer(connection, okAnswer)
		return true
	})
	targets := exchange.New(&net.Dialer{})
	for range 3 {
		if body, failure := sendAndRead(t, targets, started.address); body != "ok" || failure != mimosatide.CallSucceeded {
			t.Fatalf("got body %q and failure %q, want \"ok\" and no failure", body, failure)
		}
	}
	if count := started.connections.Load(); count != 1 {
		t.Errorf("connections for three requests: got %d, want 1", count)
	}
}

func TestConnectionWithBytesAfterItsAnswerIsNotReused(t *testing.T) {
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		writeAnswer(connection, okAnswer+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		return true
	})
	targets := exchange.New(&net.Dialer{})
	for range 3 {
		if body, _ := sendAndRead(t, targets, started.address); body != "ok" {
			t.Fatalf("body: got %q, want \"ok\"", body)
		}
	}
	if count := started.connections.Load(); count != 3 {
		t.Errorf("connections, none of which may be reused: got %d, want 3", count)
	}
}

func TestIdleConnectionThatReceivesBytesIsNotReused(t *testing.T) {
	sent := make(chan struct{}, 3)
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		writeAnswer(connection, okAnswer)
		time.Sleep(20 * time.Millisecond)
		writeAnswer(connection, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		sent <- struct{}{}
		return true
	})
	targets := exchange.New(&net.Dialer{})
	for range 2 {
		if body, _ := sendAndRead(t, targets, started.address); body != "ok" {
			t.Fatalf("body: got %q, want \"ok\"", body)
		}
		<-sent
	}
	if count := started.connections.Load(); count != 2 {
		t.Errorf("connections, none of which may be reused: got %d, want 2", count)
	}
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		writeAnswer(connection, okAnswer)
		return false
	})
	targets := exchange.New(&net.Dialer{})
	for range 3 {
		if body, failure := sendAndRead(t, targets, started.address); body != "ok" {
			t.Fatalf("got body %q and failure %q, want \"ok\" and no failure", body, failure)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestTruncatedAnswerIsReportedAsCut(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"not an answer\r\n\r\n",
		"",
	} {
		started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			writeAnswer(connection, text)
			return false
		})
		if _, failure := sendAndRead(t, exchange.New(&net.Dialer{}), started.address); failure != mimosatide.CallCut {
			t.Errorf("got failure %q, want Cut, for the answer %q", failure, text)
		}
	}
}

func TestUnreachableTargetIsReportedAsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	targets := exchange.New(&net.Dialer{})
	if _, failure := sendAndRead(t, targets, address); failure != mimosatide.CallNotSent {
		t.Errorf("got failure %q, want NotSent", failure)
	}
	if targets.Reachable(address) {
		t.Error("reachable: got true for a closed port, want false")
	}
}

func TestConnectionWithAnUnreadMessageIsNotReused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var connections atomic.Int32
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			// Answers before the body is read and leaves the connection open.
			buffer := make([]byte, 16)
			_, _ = connection.Read(buffer)
			writeAnswer(connection, okAnswer)
		}
	}()
	long := exchange.Call{
		Address: listener.Addr().String(), Method: http.MethodPost,
		Message: []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 33554432\r\n\r\n" + strings.Repeat("b", 32<<20)),
	}
	targets := exchange.New(&net.Dialer{})
	for range 2 {
		reply, failure, err := targets.Send(context.Background(), long)
		if failure != mimosatide.CallSucceeded {
			t.Fatalf("got failure %q (%v), want none", failure, err)
		}
		_, err = io.ReadAll(reply.Body())
		reply.Close(err == nil)
	}
	if count := connections.Load(); count != 2 {
		t.Errorf("connections, none of which may be reused: got %d, want 2", count)
	}
}

func TestCancelledContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		_, err := connection.Read(make([]byte, 1))
		if err != nil {
			close(closed)
		}
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, failure, _ := exchange.New(&net.Dialer{}).Send(ctx, call(started.address))
	if failure != mimosatide.CallCancelled {
		t.Errorf("got failure %q, want Cancelled", failure)
	}
	<-closed
}
