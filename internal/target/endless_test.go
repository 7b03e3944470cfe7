package target_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/target"
)

// maxEndlessBytes is when a target without end stops all the same.
const maxEndlessBytes = 256 << 20

// startEndlessTarget starts a target that answers with a start and then repeats a piece until
// its connection is closed. The channel receives the number of bytes that it wrote.
func startEndlessTarget(t *testing.T, start, piece string) (string, <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	written := make(chan int, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
			return
		}
		pieces, total := strings.Repeat(piece, 1+4096/len(piece)), 0
		for text := start; total < maxEndlessBytes; text = pieces {
			count, err := connection.Write([]byte(text))
			total += count
			if err != nil {
				break
			}
		}
		written <- total
	}()
	return listener.Addr().String(), written
}

// TestAnswerWithoutEndIsCut guards against a node that reads what a faulty target sends until
// it runs out of memory.
func TestAnswerWithoutEndIsCut(t *testing.T) {
	client, err := target.New(target.DefaultSettings())
	if err != nil {
		t.Fatal(err)
	}
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string]struct {
		start, piece string
		stream       bool
	}{
		"field":             {ok + "X: ", "aaaaaaaa", false},
		"fields":            {ok, "X: a\r\n", false},
		"informational":     {"", "HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n", false},
		"status line":       {"", "HTTP/1.1 ", false},
		"body":              {ok + "Content-Length: 1000000000\r\n\r\n", "aaaaaaaa", false},
		"body to the end":   {ok + "Connection: close\r\n\r\n", "aaaaaaaa", false},
		"chunks":            {ok + "Transfer-Encoding: chunked\r\n\r\n", "8\r\naaaaaaaa\r\n", false},
		"chunk extensions":  {ok + "Transfer-Encoding: chunked\r\n\r\n8;", "a=aaaaaaaa;", false},
		"chunk size":        {ok + "Transfer-Encoding: chunked\r\n\r\n", "0", false},
		"trailers":          {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n", false},
		"line of an event":  {ok + "Content-Type: text/event-stream\r\n\r\ndata: ", "aaaaaaaa", true},
		"lines of an event": {ok + "Content-Type: text/event-stream\r\n\r\n", "data: a\n", true},
		"unknown lines":     {ok + "Content-Type: text/event-stream\r\n\r\n", "aaaaaaaa\n", true},
	} {
		address, written := startEndlessTarget(t, answer.start, answer.piece)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		spec := mimosatide.TargetSpec{Address: address}
		call := mimosatide.Call{Request: "r", Method: http.MethodPost, Path: "/x", Body: []byte("{}"), Stream: answer.stream, FreshConnection: true}
		got := client.Run(ctx, spec, call, func(mimosatide.Event) error { return nil })
		cancel()
		t.Logf("%s: %v %s", name, got.Failure, got.Detail[:min(80, len(got.Detail))])
		if got.Failure == mimosatide.CallSucceeded {
			t.Errorf("%s without end: got an answer of %d bytes, want a failure", name, len(got.Body))
		}
		// What the sockets of both ends buffer counts as written.
		if total := <-written; total > 64<<20 {
			t.Errorf("%s without end: got %d MB written until the connection was closed, want some MB", name, total>>20)
		}
	}
}
