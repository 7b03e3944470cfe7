package target_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/target"
)

const (
	// brokenTries is how often each broken answer is sent: which of read and write meets the
	// error of a reset differs from try to try.
	brokenTries = 20
	// uploadBytes exceeds what the sockets of both ends hold.
	uploadBytes = 16 << 20
)

// startRaw starts a target that reads the head of each request, and its body if it is to be
// read, writes an answer and passes the connection to end.
func startRaw(t *testing.T, answer string, readBody bool, end func(connection *net.TCPConn)) mimosatide.TargetSpec {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveRaw(t, listener, answer, readBody, end)
}

func serveRaw(
	t *testing.T, listener net.Listener, answer string, readBody bool, end func(connection *net.TCPConn),
) mimosatide.TargetSpec {
	t.Helper()
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				request, err := http.ReadRequest(bufio.NewReader(accepted))
				if err == nil && readBody {
					_, err = io.Copy(io.Discard, request.Body)
				}
				if err == nil {
					_, _ = io.WriteString(accepted, answer)
				}
				end(accepted.(*net.TCPConn))
			}()
		}
	}()
	return mimosatide.TargetSpec{Address: listener.Addr().String()}
}

// The ways in which a target ends an answer.
func reset(connection *net.TCPConn) {
	// What was written before has arrived.
	time.Sleep(time.Millisecond)
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

func endCleanly(connection *net.TCPConn) {
	_ = connection.CloseWrite()
	time.Sleep(time.Second)
	_ = connection.Close()
}

func closeBoth(connection *net.TCPConn) { _ = connection.Close() }

func leaveOpen(*net.TCPConn) {}

// answerTo returns an answer to request r-1 that the end of its connection ends.
func answerTo(status, contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s Status\r\n%s: r-1\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s", status, target.RequestHeader, contentType, body)
}

const eventStream = "text/event-stream"

func newClient(t *testing.T) *target.Client {
	t.Helper()
	client, err := target.New(target.DefaultSettings())
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// TestBrokenAnswerIsNotTakenAsComplete guards against a part of an answer without a length that
// passes for the whole, because its target reset the connection or had not read the request.
func TestBrokenAnswerIsNotTakenAsComplete(t *testing.T) {
	for _, broken := range []struct {
		name     string
		size     int
		readBody bool
		end      func(*net.TCPConn)
		tries    int
	}{
		{"reset after the request", 2, true, reset, brokenTries},
		{"reset within the request", uploadBytes, false, reset, brokenTries},
		{"clean end within the request", uploadBytes, false, endCleanly, 2},
	} {
		for _, answer := range []struct {
			text   string
			stream bool
		}{
			{answerTo("200", "text/plain", "a part"), false},
			{answerTo("503", "text/plain", "a part"), false},
			{answerTo("200", eventStream, "id: 1\ndata: a\n\ndata: [DONE]\n\n"), true},
		} {
			spec := startRaw(t, answer.text, broken.readBody, broken.end)
			call := mimosatide.Call{
				Request: "r-1", Method: http.MethodPost, Path: "/v1/completions", Stream: answer.stream,
				Body: bytes.Repeat([]byte("b"), broken.size),
			}
			complete := 0
			for try := range broken.tries {
				call.FreshConnection = try%2 == 0
				got := newClient(t).Run(context.Background(), spec, call, func(mimosatide.Event) error { return nil })
				if got.Failure == mimosatide.CallSucceeded {
					complete++
				} else if got.Failure == mimosatide.CallNotSent {
					t.Errorf("%s: got %+v, want a failure of a request that may have run", broken.name, got)
				}
			}
			if complete > 0 {
				t.Errorf("%s, %.12q, stream %v: got the part as the whole answer in %d of %d tries, want never",
					broken.name, answer.text, answer.stream, complete, broken.tries)
			}
		}
	}
}

// TestBrokenAnswerToAnOrderIsNotBelieved guards against an order that counts as carried out, and
// against a report, by an answer of which the end is not known.
func TestBrokenAnswerToAnOrderIsNotBelieved(t *testing.T) {
	order := startRaw(t, answerTo("200", "application/json", `{"State":"Absent"}`), true, reset)
	report := startRaw(t, answerTo("200", "application/json", `{"Running":7}`), true, reset)
	believed := 0
	for range brokenTries {
		if _, err := newClient(t).SendOrder(context.Background(), order, mimosatide.Order{}); err == nil {
			believed++
		}
		if _, err := newClient(t).GetReport(context.Background(), report); err == nil {
			believed++
		}
	}
	if believed > 0 {
		t.Errorf("answers before a reset: got %d of %d believed, want none", believed, 2*brokenTries)
	}
}

// TestWholeAnswerWithoutLengthIsTaken guards against sound targets whose answers end with their
// connections.
func TestWholeAnswerWithoutLengthIsTaken(t *testing.T) {
	for _, size := range []int{2, uploadBytes} {
		call := mimosatide.Call{Request: "r-1", Method: http.MethodPost, Path: "/v1/completions", Body: bytes.Repeat([]byte("b"), size)}
		spec := startRaw(t, answerTo("200", "text/plain", "whole"), true, closeBoth)
		stream := startRaw(t, answerTo("200", eventStream, "id: 1\ndata: a\n\ndata: [DONE]\n\n"), true, closeBoth)
		for range brokenTries {
			if got := newClient(t).Run(context.Background(), spec, call, nil); got.Failure != mimosatide.CallSucceeded || string(got.Body) != "whole" {
				t.Fatalf("request of %d bytes: got %+v, want the whole answer", size, got)
			}
			streamed := call
			streamed.Stream = true
			if got := newClient(t).Run(context.Background(), stream, streamed, func(mimosatide.Event) error { return nil }); got.Failure != mimosatide.CallSucceeded {
				t.Fatalf("stream, request of %d bytes: got %+v, want the whole answer", size, got)
			}
		}
	}
}

// TestOddStatusIsAProtocolError guards against an answer with a status that is no HTTP which
// is passed on.
func TestOddStatusIsAProtocolError(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "+20", "20", "0200", "2000"} {
		for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
			text := fmt.Sprintf("%sHTTP/1.1 %s Odd\r\n%s: r-1\r\nContent-Length: 2\r\n\r\n{}", before, status, target.RequestHeader)
			spec := startRaw(t, text, true, leaveOpen)
			for _, stream := range []bool{false, true} {
				call := mimosatide.Call{Request: "r-1", Method: http.MethodPost, Path: "/v1/completions", Stream: stream, Body: []byte("{}")}
				got := newClient(t).Run(context.Background(), spec, call, func(mimosatide.Event) error { return nil })
				if got.Failure != mimosatide.CallCut {
					t.Errorf("status %s after %q, stream %v: got %+v, want Cut", status, before, stream, got)
				}
			}
			if report, err := newClient(t).GetReport(context.Background(), spec); err == nil {
				t.Errorf("status %s after %q: got report %+v, want an error", status, before, report)
			}
		}
	}
}

// An answer with a length and chunks was taken by its chunks.
func TestAnswerWithALengthAndChunksIsNone(t *testing.T) {
	for fields, want := range map[string]mimosatide.CallFailure{
		"Content-Length: 60\r\nTransfer-Encoding: chunked\r\n": mimosatide.CallCut,
		"Transfer-Encoding: chunked\r\ncontent-length: 2\r\n":  mimosatide.CallCut,
		"Transfer-Encoding: chunked\r\n":                       mimosatide.CallSucceeded,
	} {
		for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
			text := before + "HTTP/1.1 200 OK\r\n" + target.RequestHeader + ": r-1\r\nContent-Type: application/json\r\n" + fields + "\r\n2\r\n{}\r\n0\r\n\r\n"
			call := mimosatide.Call{Request: "r-1", Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}")}
			got := newClient(t).Run(context.Background(), startRaw(t, text, true, leaveOpen), call, func(mimosatide.Event) error { return nil })
			if got.Failure != want {
				t.Errorf("answer %q: got %+v, want %s", text, got, want)
			}
		}
	}
}
