package exchange_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/exchange"
)

const (
	// brokenTries is how often each broken answer is sent: which of read and write meets the
	// error of a reset differs from try to try.
	brokenTries = 60
	// longUpload exceeds what the sockets of both ends hold, in bytes.
	longUpload = 32 << 20
	// heldUpload fits into the socket of its sender, but not into tinyWindow.
	heldUpload = 64 << 10
	tinyWindow = 4 << 10
	// noLength is an answer that the end of its connection ends.
	noLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part"
)

// startEarlyTarget starts a target that answers each connection once the first bytes have
// arrived and passes it to end.
func startEarlyTarget(t *testing.T, answer string, end func(connection *net.TCPConn)) string {
	t.Helper()
	window := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// A tiny window makes the upload wait in the socket of its sender.
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, tinyWindow)
		})
	}}
	listener, err := window.Listen(context.Background(), "tcp", "127.0.0.1:0")
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
			go func() {
				_, _ = accepted.Read(make([]byte, 16))
				writeAnswer(accepted, answer)
				end(accepted.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// endCleanly ends the answer and leaves the rest of the upload unread until the client
// closes the connection.
func endCleanly(connection *net.TCPConn) {
	_ = connection.CloseWrite()
	time.Sleep(2 * time.Second)
	_ = connection.Close()
}

func upload(address string, size int) exchange.Call {
	return exchange.Call{
		Address: address, Method: http.MethodPost,
		Message: fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)),
	}
}

// sendUpload sends an upload, waits before it reads the answer, and returns the body with the
// error of reading it.
func sendUpload(t *testing.T, address string, size int, pause time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, failure, err := exchange.New(&net.Dialer{}).Send(ctx, upload(address, size))
	if failure == mimosatide.CallCancelled {
		t.Fatal("got no answer until the deadline, want an answer or an error at once")
	}
	if failure != mimosatide.CallSucceeded {
		return "", err
	}
	time.Sleep(pause)
	body, err := io.ReadAll(reply.Body())
	reply.Close(err == nil)
	if ctx.Err() != nil {
		t.Fatal("got no end of the answer until the deadline, want it at once")
	}
	return string(body), err
}

// TestAnswerWithoutLengthIsBrokenByAReset guards against a part of an answer that passes for
// the whole: a target answers an upload early and resets the connection, and the kernel tells
// the error only to the write of the upload, so that the read gets a clean end.
func TestAnswerWithoutLengthIsBrokenByAReset(t *testing.T) {
	for _, size := range []int{longUpload, heldUpload} {
		for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
			address := startEarlyTarget(t, noLength, reset)
			whole := 0
			for range brokenTries {
				if _, err := sendUpload(t, address, size, pause); err == nil {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("upload of %d bytes, read after %s: got the part as the whole answer in %d of %d tries, want never",
					size, pause, whole, brokenTries)
			}
		}
	}
}

// TestAnswerWithoutLengthIsBrokenByAnUnfinishedUpload guards against a part of an answer that
// passes for the whole because its target stopped cleanly, before it had the request.
func TestAnswerWithoutLengthIsBrokenByAnUnfinishedUpload(t *testing.T) {
	const tries = 5
	for _, size := range []int{longUpload, heldUpload} {
		address := startEarlyTarget(t, noLength, endCleanly)
		whole := 0
		for range tries {
			if _, err := sendUpload(t, address, size, 0); err == nil {
				whole++
			}
		}
		if whole > 0 {
			t.Errorf("upload of %d bytes that its target has not read: got a whole answer in %d of %d tries, want never", size, whole, tries)
		}
	}
}

// TestAnswerWithoutLengthIsWholeAfterItsUpload guards against sound targets whose answers end
// with their connections and would count as broken.
func TestAnswerWithoutLengthIsWholeAfterItsUpload(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, size := range []int{0, 100, heldUpload, 4 << 20} {
			started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
				writeAnswer(connection, version+" 200 OK\r\n\r\nwhole")
				return false
			})
			for range brokenTries {
				if body, err := sendUpload(t, started.address, size, 0); body != "whole" || err != nil {
					t.Fatalf("%s, upload of %d bytes: got %q and error %v, want the whole answer", version, size, body, err)
				}
			}
		}
	}
}

// TestEarlyAnswerWithLengthOrChunksIsWhole guards against answers that count as broken only
// because their target did not read the whole upload.
func TestEarlyAnswerWithLengthOrChunksIsWhole(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		for _, end := range []func(*net.TCPConn){endCleanly, func(*net.TCPConn) {}} {
			address := startEarlyTarget(t, answer, end)
			if body, err := sendUpload(t, address, longUpload, 0); body != "whole" || err != nil {
				t.Errorf("answer %q to an upload that is not read: got %q and error %v, want it whole", answer, body, err)
			}
		}
	}
}

// oddStatuses are statuses that no final answer has.
var oddStatuses = []string{"000", "001", "099", "101", "600", "999", "+20", "-20", "2x0", "20", "2", "0200", "2000", "20000"}

// TestOddStatusIsAProtocolError guards against an answer with such a status that is passed on,
// or taken for an informational one, so that its request waits until its deadline.
func TestOddStatusIsAProtocolError(t *testing.T) {
	for _, status := range oddStatuses {
		for rest, answer := range map[string]string{
			"whole answer":     "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok",
			"no reason":        "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok",
			"only status line": "HTTP/1.1 " + status + " Odd\r\n",
			"after hints":      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok",
		} {
			started := startTarget(t, func(connection net.Conn, _ *http.Request, index int) bool {
				if index == 0 {
					writeAnswer(connection, okAnswer)
				} else {
					writeAnswer(connection, answer)
				}
				return true
			})
			client := exchange.New(&net.Dialer{})
			if body, _ := sendAndRead(t, client, started.address); body != "ok" {
				t.Fatalf("first answer: got %q, want ok", body)
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			reply, failure, err := client.Send(ctx, call(started.address))
			if failure != mimosatide.CallCut {
				t.Errorf("status %q, %s: got failure %q, answer %v (%v), want %q", status, rest, failure, reply != nil, err, mimosatide.CallCut)
			}
			cancel()
		}
	}
}

// TestInformationalAnswersAreSkipped guards against answers that count as faulty because of
// the informational ones before them, and against statuses at the bounds.
func TestInformationalAnswersAreSkipped(t *testing.T) {
	for _, status := range []string{"200", "204", "299", "404", "599"} {
		started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			for _, interim := range []int{100, 102, 103, 199} {
				writeAnswer(connection, fmt.Sprintf("HTTP/1.1 %d\r\nLink: </a>\r\n\r\n", interim))
			}
			writeAnswer(connection, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		reply, failure, err := exchange.New(&net.Dialer{}).Send(context.Background(), call(started.address))
		if failure != mimosatide.CallSucceeded {
			t.Errorf("status %s after informational answers: got failure %q (%v), want an answer", status, failure, err)
			continue
		}
		if got := fmt.Sprint(reply.Response.StatusCode); got != status {
			t.Errorf("got status %s, want %s", got, status)
		}
		reply.Abort()
	}
}

// An answer with a length and chunks was taken by its chunks, and its connection used again: what its target may have
// sent as the rest of the body was taken for the answer to the next request.
func TestAnswerWithALengthAndChunksIsNone(t *testing.T) {
	const chunks = "3\r\nabc\r\n0\r\n\r\n"
	for text, whole := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks:                                                     false,
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n" + chunks:                                                      false,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks:                         false,
		"HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks:                                            false,
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks:                                                 false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks:                                                                           true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n15\r\nContent-Length: 3\r\n\r\n\r\n0\r\n\r\n":                                        true,
		"HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nHTTP/1.1 200 OK\r\nX: Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks: true,
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 3\r\n\r\nabc":                                                                true,
	} {
		started := startTarget(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			writeAnswer(connection, text)
			// Without its length an answer of HTTP/1.0 ends with its connection; the others keep theirs, as they say.
			return !strings.Contains(text, "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding")
		})
		client := exchange.New(&net.Dialer{})
		// The second answer may come on the connection of the first one.
		for range 2 {
			if body, failure := sendAndRead(t, client, started.address); (failure == mimosatide.CallSucceeded) != whole {
				t.Errorf("answer %q: got body %q and failure %q, want a whole answer %t", text, body, failure, whole)
			}
		}
	}
}
