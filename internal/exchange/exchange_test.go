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

// target accepts connections and hands each request to a script.
type target struct {
	address     string
	connections atomic.Int32
}

// startTarget answers the n-th request of a connection by the script; it ends the
// connection when the script returns false.
func startTarget(t *testing.T, script func(connection net.Conn, request *http.Request, n int) bool) *target {
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
			go serve(connection, script)
		}
	}()
	return started
}

func serve(connection net.Conn, script func(net.Conn, *http.Request, int) bool) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !script(connection, request, n) {
			return
		}
	}
}

func answer(connection net.Conn, text string) {
	_, _ = fmt.Fprint(connection, text)
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func call(address string) exchange.Call {
	return exchange.Call{Address: address, Method: http.MethodGet, Message: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")}
}

// ask sends a call and reads its whole answer.
func ask(t *testing.T, targets *exchange.Exchange, address string) (string, mimosatide.CallFailure) {
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

func TestConnectionIsUsedAgain(t *testing.T) {
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		answer(connection, okAnswer)
		return true
	})
	targets := exchange.New(&net.Dialer{})
	for range 3 {
		if body, failure := ask(t, targets, started.address); body != "ok" || failure != mimosatide.CallSucceeded {
			t.Fatalf("body %q, failure %q", body, failure)
		}
	}
	if count := started.connections.Load(); count != 1 {
		t.Errorf("%d connections for three requests", count)
	}
}

func TestBytesBehindAnAnswerEndItsConnection(t *testing.T) {
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		answer(connection, okAnswer+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		return true
	})
	targets := exchange.New(&net.Dialer{})
	for range 3 {
		if body, _ := ask(t, targets, started.address); body != "ok" {
			t.Fatalf("body %q", body)
		}
	}
	if count := started.connections.Load(); count != 3 {
		t.Errorf("%d connections: one with extra bytes was used again", count)
	}
}

func TestLateBytesOnAnIdleConnectionEndIt(t *testing.T) {
	sent := make(chan struct{}, 3)
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		answer(connection, okAnswer)
		time.Sleep(20 * time.Millisecond)
		answer(connection, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		sent <- struct{}{}
		return true
	})
	targets := exchange.New(&net.Dialer{})
	for range 2 {
		if body, _ := ask(t, targets, started.address); body != "ok" {
			t.Fatalf("body %q", body)
		}
		<-sent
	}
	if count := started.connections.Load(); count != 2 {
		t.Errorf("%d connections", count)
	}
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		answer(connection, okAnswer)
		return false
	})
	targets := exchange.New(&net.Dialer{})
	for range 3 {
		if body, failure := ask(t, targets, started.address); body != "ok" {
			t.Fatalf("body %q, failure %q", body, failure)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestTruncatedAnswerIsCut(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"not an answer\r\n\r\n",
		"",
	} {
		started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			answer(connection, text)
			return false
		})
		if _, failure := ask(t, exchange.New(&net.Dialer{}), started.address); failure != mimosatide.CallCut {
			t.Errorf("failure %q for %q", failure, text)
		}
	}
}

func TestUnreachableTargetHasNotBeenSentTheCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	targets := exchange.New(&net.Dialer{})
	if _, failure := ask(t, targets, address); failure != mimosatide.CallNotSent {
		t.Errorf("failure %q", failure)
	}
	if targets.Reachable(address) {
		t.Error("a target that is down counts as reachable")
	}
}

func TestEarlyAnswerToALongMessageEndsItsConnection(t *testing.T) {
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
			// The answer leaves before the body is read, and the connection stays open.
			buffer := make([]byte, 16)
			_, _ = connection.Read(buffer)
			answer(connection, okAnswer)
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
			t.Fatalf("failure %q: %v", failure, err)
		}
		_, err = io.ReadAll(reply.Body())
		reply.Close(err == nil)
	}
	if count := connections.Load(); count != 2 {
		t.Errorf("%d connections: one with an unread body was used again", count)
	}
}

func TestCallerWhoLeavesEndsTheConnection(t *testing.T) {
	ended := make(chan struct{})
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		_, err := connection.Read(make([]byte, 1))
		if err != nil {
			close(ended)
		}
		return false
	})
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, leave)
	_, failure, _ := exchange.New(&net.Dialer{}).Send(ctx, call(started.address))
	if failure != mimosatide.CallCancelled {
		t.Errorf("failure %q", failure)
	}
	<-ended
}
