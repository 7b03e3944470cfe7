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

	"github.com/juju/errors"

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
func sendAndRead(t *testing.T, client *exchange.Client, address string) (string, mimosatide.CallFailure) {
	t.Helper()
	reply, failure, _ := client.Send(context.Background(), call(address))
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
	client := exchange.New(&net.Dialer{})
	for range 3 {
		if body, failure := sendAndRead(t, client, started.address); body != "ok" || failure != mimosatide.CallSucceeded {
			t.Fatalf("got body %q and failure %q, want \"ok\" and no failure", body, failure)
		}
	}
	if count := started.connections.Load(); count != 1 {
		t.Errorf("connections for three requests: got %d, want 1", count)
	}
}

// TestIdleConnectionIsKnown guards against choices of targets by connections that are in use or gone.
func TestIdleConnectionIsKnown(t *testing.T) {
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		writeAnswer(connection, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1000\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	client := exchange.New(&net.Dialer{})
	expect := func(when string, want bool) {
		t.Helper()
		if got := client.HasIdle(started.address, true); got != want {
			t.Errorf("%s: got an idle connection: %v, want %v", when, got, want)
		}
	}
	expect("before the first call", false)
	reply, failure, err := client.Send(context.Background(), call(started.address))
	if failure != mimosatide.CallSucceeded {
		t.Fatalf("got failure %q: %v", failure, err)
	}
	expect("during the call", false)
	_, err = io.ReadAll(reply.Body())
	reply.Close(err == nil)
	expect("after the call", true)
}

// A late copy of the first answer would be taken for the answer to the second call.
func TestConnectionDoesNotCarryARequestTwice(t *testing.T) {
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		writeAnswer(connection, okAnswer)
		return true
	})
	client := exchange.New(&net.Dialer{})
	for _, request := range []string{"r-1", "r-2", "r-1", "r-2", "r-3"} {
		named := call(started.address)
		named.Request = request
		reply, failure, err := client.Send(context.Background(), named)
		if failure != mimosatide.CallSucceeded {
			t.Fatal(err)
		}
		_, err = io.Copy(io.Discard, reply.Body())
		reply.Close(err == nil)
	}
	if count := started.connections.Load(); count != 2 {
		t.Errorf("connections for two requests that are sent twice and a third one: got %d, want 2", count)
	}
}

// On a reused connection the bytes after an answer would be taken for the answer to the
// next request.
func TestConnectionWithBytesAfterItsAnswerIsNotReused(t *testing.T) {
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		writeAnswer(connection, okAnswer+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		return true
	})
	client := exchange.New(&net.Dialer{})
	for range 3 {
		if body, _ := sendAndRead(t, client, started.address); body != "ok" {
			t.Fatalf("body: got %q, want \"ok\"", body)
		}
	}
	if count := started.connections.Load(); count != 3 {
		t.Errorf("connections, none of which may be reused: got %d, want 3", count)
	}
}

// The bytes arrive when the connection is in the pool already, too late for the check that
// is made when it is put there. They would be taken for the answer to the next request.
func TestIdleConnectionThatReceivesBytesIsNotReused(t *testing.T) {
	sent := make(chan struct{}, 3)
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		writeAnswer(connection, okAnswer)
		time.Sleep(20 * time.Millisecond)
		writeAnswer(connection, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		sent <- struct{}{}
		return true
	})
	client := exchange.New(&net.Dialer{})
	for range 2 {
		if body, _ := sendAndRead(t, client, started.address); body != "ok" {
			t.Fatalf("body: got %q, want \"ok\"", body)
		}
		<-sent
	}
	if count := started.connections.Load(); count != 2 {
		t.Errorf("connections, none of which may be reused: got %d, want 2", count)
	}
}

// TestIdleConnectionThatReceivesBytesIsClosed guards against pooled connections whose targets
// go on sending: what is not read counts as memory of the process.
func TestIdleConnectionThatReceivesBytesIsClosed(t *testing.T) {
	start := "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3600\r\nContent-Length: 2\r\n\r\nok"
	address, written := startEndlessTarget(t, start, "more")
	quiet := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		writeAnswer(connection, okAnswer)
		return true
	})
	client := exchange.New(&net.Dialer{})
	for _, at := range []string{address, quiet.address} {
		if body, _ := sendAndRead(t, client, at); body != "ok" {
			t.Fatalf("body: got %q, want \"ok\"", body)
		}
	}
	for attempt := 0; len(written) == 0; attempt++ {
		if attempt == 500 {
			t.Fatal("got an open connection to a target that goes on sending, want it closed")
		}
		client.CloseExpired()
		time.Sleep(10 * time.Millisecond)
	}
	if body, _ := sendAndRead(t, client, quiet.address); body != "ok" || quiet.connections.Load() != 1 {
		t.Errorf("quiet target: got body %q and %d connections, want \"ok\" and 1", body, quiet.connections.Load())
	}
}

// The target closes each connection after its answer. A request on such a connection would
// fail, and it would be unknown whether the target ran it.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		writeAnswer(connection, okAnswer)
		return false
	})
	client := exchange.New(&net.Dialer{})
	for range 3 {
		if body, failure := sendAndRead(t, client, started.address); body != "ok" {
			t.Fatalf("got body %q and failure %q, want \"ok\" and no failure", body, failure)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// An answer that breaks off or is no HTTP must neither be taken for a complete one nor be
// reported as NotSent: the target may have run the request.
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

// NotSent says that the request did not run, so that it may be sent to another target.
func TestUnreachableTargetIsReportedAsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client := exchange.New(&net.Dialer{})
	if _, failure := sendAndRead(t, client, address); failure != mimosatide.CallNotSent {
		t.Errorf("got failure %q, want NotSent", failure)
	}
	if !client.Refuses(context.Background(), address) {
		t.Error("refuses connections: got false for a closed port, want true")
	}
}

// The target answers before it has read the whole message. On a reused connection it would
// take the rest of the message for the next request.
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
	client := exchange.New(&net.Dialer{})
	for range 2 {
		reply, failure, err := client.Send(context.Background(), long)
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

// A target learns only from the closed connection that its answer is no longer needed. The
// test hangs if the connection stays open.
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

// TestCallThatIsNoLongerPermittedIsNotSent guards against a request at a target that began
// to leave while the connection to it was opened.
func TestCallThatIsNoLongerPermittedIsNotSent(t *testing.T) {
	var requests atomic.Int32
	target := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		requests.Add(1)
		writeAnswer(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	refused := call(target.address)
	refused.Permitted = func() bool { return false }
	_, failure, err := exchange.New(&net.Dialer{}).Send(context.Background(), refused)
	if failure != mimosatide.CallNotSent || !errors.Is(err, exchange.ErrNotPermitted) {
		t.Errorf("got failure %q and error %v, want NotSent and ErrNotPermitted", failure, err)
	}
	if count := requests.Load(); count != 0 {
		t.Errorf("got %d requests at the target, want none", count)
	}
}

// startEndlessTarget starts a target that answers with a start and then repeats a piece
// until its connection is closed. The channel receives the number of bytes that it wrote.
func startEndlessTarget(t *testing.T, start, piece string) (string, <-chan int) {
	t.Helper()
	written := make(chan int, 1)
	target := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		total := 0
		pieces := strings.Repeat(piece, 1+4096/len(piece))
		for text := start; ; text = pieces {
			count, err := io.WriteString(connection, text)
			total += count
			if err != nil {
				written <- total
				return false
			}
		}
	})
	return target.address, written
}

// TestEndlessHeadIsCut guards against a node that reads the head of an answer until it runs
// out of memory.
func TestEndlessHeadIsCut(t *testing.T) {
	heads := map[string][2]string{
		"field":         {"HTTP/1.1 200 OK\r\nX: ", "aaaaaaaa"},
		"fields":        {"HTTP/1.1 200 OK\r\n", "X: a\r\n"},
		"status line":   {"HTTP/1.1 200 ", "HTTP/1.1 "},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n"},
		"short fields":  {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
		"many fields":   {"HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 300) + "\r\n", "a"},
	}
	for name, head := range heads {
		address, written := startEndlessTarget(t, head[0], head[1])
		_, failure, err := exchange.New(&net.Dialer{}).Send(context.Background(), call(address))
		if failure != mimosatide.CallCut || !errors.Is(err, exchange.ErrHeadTooLarge) {
			t.Errorf("endless %s: got failure %q and error %v, want Cut and ErrHeadTooLarge", name, failure, err)
		}
		// What the sockets of both ends buffer counts as written.
		if total := <-written; total > 32<<20 {
			t.Errorf("endless %s: got %d bytes written until the connection was closed, want some hundred KB", name, total)
		}
	}
}

// TestDiscardDoesNotWaitForABody guards against a request that waits for the rest of an
// answer that nobody needs.
func TestDiscardDoesNotWaitForABody(t *testing.T) {
	bodies := map[string]struct {
		head, piece string
		reused      bool
	}{
		"whole":          {head: "Content-Length: 2\r\n\r\nab", reused: true},
		"empty":          {head: "Content-Length: 0\r\n\r\n", reused: true},
		"missing":        {head: "Content-Length: 2\r\n\r\na"},
		"endless":        {head: "\r\n", piece: "a"},
		"endless chunks": {head: "Transfer-Encoding: chunked\r\n\r\n", piece: "1\r\na\r\n"},
	}
	for name, body := range bodies {
		target := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			writeAnswer(connection, "HTTP/1.1 503 Service Unavailable\r\n"+body.head)
			for body.piece != "" {
				if _, err := io.WriteString(connection, body.piece); err != nil {
					return false
				}
			}
			return true
		})
		client := exchange.New(&net.Dialer{})
		for range 2 {
			reply, failure, err := client.Send(context.Background(), call(target.address))
			if failure != mimosatide.CallSucceeded {
				t.Fatalf("%s: got failure %q (%v), want success", name, failure, err)
			}
			reply.Discard()
		}
		if reused := target.connections.Load() == 1; reused != body.reused {
			t.Errorf("%s body: got connection reused %v, want %v", name, reused, body.reused)
		}
	}
}

// cutHeads are answers of a target that stopped before the end of its head.
func cutHeads() []string {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\n"
	var cut []string
	for end := 1; end < len(head); end++ {
		cut = append(cut, head[:end], "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+head[:end])
	}
	for _, whole := range []string{"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 200 OK\n", "HTTP/1.1 200 OK\nContent-Length: 0\n"} {
		for end := 1; end <= len(whole); end++ {
			cut = append(cut, whole[:end])
		}
	}
	return cut
}

// TestAnswerWhoseHeadIsCutShortIsNoAnswer guards against a target that stops in the middle
// of its head: what has arrived must not pass for a complete answer with an empty or short
// body, whatever it was, on a new connection and on a kept one.
func TestAnswerWhoseHeadIsCutShortIsNoAnswer(t *testing.T) {
	for _, cut := range cutHeads() {
		target := startTarget(t, func(connection net.Conn, _ *http.Request, index int) bool {
			if index == 0 {
				writeAnswer(connection, okAnswer)
				return true
			}
			writeAnswer(connection, cut)
			return false
		})
		client := exchange.New(&net.Dialer{})
		if body, failure := sendAndRead(t, client, target.address); body != "ok" {
			t.Fatalf("first answer: got %q and %q, want ok", body, failure)
		}
		if reply, failure, _ := client.Send(context.Background(), call(target.address)); failure != mimosatide.CallCut {
			t.Errorf("head cut to %q: got failure %q and answer %v, want %q", cut, failure, reply != nil, mimosatide.CallCut)
		}
		reply, failure, _ := exchange.New(&net.Dialer{}).Send(context.Background(), call(startCutTarget(t, cut)))
		if failure != mimosatide.CallCut {
			t.Errorf("head cut to %q, new connection: got failure %q and answer %v, want %q", cut, failure, reply != nil, mimosatide.CallCut)
		}
	}
}

// startCutTarget starts a target that answers every request with a cut head.
func startCutTarget(t *testing.T, cut string) string {
	t.Helper()
	return startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
		writeAnswer(connection, cut)
		return false
	}).address
}
