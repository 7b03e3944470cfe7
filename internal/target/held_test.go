package target_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/framing"
)

const (
	// heldBytes fits into the socket of its sender, but not into tinyWindow.
	heldBytes  = 64 << 10
	tinyWindow = 4 << 10
	// heldTries is how often each answer is sent.
	heldTries = 5
)

// startTinyRaw is startRaw with a receive buffer of tinyWindow, so that a request of heldBytes waits
// in the socket of its sender until it is read.
func startTinyRaw(t *testing.T, answer string, readBody bool, end func(connection *net.TCPConn)) mimosatide.TargetSpec {
	t.Helper()
	window := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, tinyWindow)
		})
	}}
	listener, err := window.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveRaw(t, listener, answer, readBody, end)
}

// TestAnswerToARequestThatHasNotArrivedIsNotComplete guards against a part of an answer without a
// length that passes for the whole: its target ends the connection cleanly while the request, of
// which every write has succeeded, still waits in the socket of its sender.
func TestAnswerToARequestThatHasNotArrivedIsNotComplete(t *testing.T) {
	const events = "id: 1\ndata: a\n\ndata: [DONE]\n\n"
	for _, answer := range []struct {
		text              string
		stream            bool
		readBody, isWhole bool
	}{
		{answerTo("200", "text/plain", "a part"), false, false, false},
		{answerTo("503", "text/plain", "a part"), false, false, false},
		{answerTo("200", eventStream, events), true, false, false},
		// The same answers are whole if the request has arrived, or if they have a length or chunks.
		{answerTo("200", "text/plain", "whole"), false, true, true},
		{answerTo("200", eventStream, events), true, true, true},
		{answerTo("413", "text/plain\r\nContent-Length: 5", "whole"), false, false, true},
		{answerTo("200", "text/plain\r\nTransfer-Encoding: chunked", "5\r\nwhole\r\n0\r\n\r\n"), false, false, true},
	} {
		spec := startTinyRaw(t, answer.text, answer.readBody, endCleanly)
		call := mimosatide.Call{
			Request: "r-1", Method: http.MethodPost, Path: "/v1/completions", Stream: answer.stream,
			Body: bytes.Repeat([]byte("b"), heldBytes),
		}
		whole := 0
		for try := range heldTries {
			call.FreshConnection = try%2 == 0
			got := newClient(t).Run(context.Background(), spec, call, func(mimosatide.Event) error { return nil })
			switch got.Failure {
			case mimosatide.CallSucceeded:
				whole++
			case mimosatide.CallCut:
			default:
				t.Errorf("%q, request read %v: got %+v, want an answer or Cut", answer.text, answer.readBody, got)
			}
		}
		if want := map[bool]int{true: heldTries}[answer.isWhole]; whole != want {
			t.Errorf("%q, request read %v: got a whole answer in %d of %d tries, want %d", answer.text, answer.readBody, whole, heldTries, want)
		}
	}
}

// TestOddStatusIsNotWaitedOn guards against a status that can't become a valid one but is
// noticed only at the end of its head, which may never come.
func TestOddStatusIsNotWaitedOn(t *testing.T) {
	for _, begin := range []string{
		"000 Odd\r\n", "099 Odd\r\n", "600 Odd\r\n", "2x0 Odd\r\n", "20 Odd\r\n", "2000 Odd\r\n", "0", "6", "20x",
	} {
		spec := startRaw(t, "HTTP/1.1 "+begin, true, leaveOpen)
		call := mimosatide.Call{Request: "r-1", Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}")}
		// An answer that is waited for until the timeout fails with another error.
		got := newClient(t).Run(context.Background(), spec, call, nil)
		if got.Failure != mimosatide.CallCut || !strings.Contains(got.Detail, framing.ErrStatus.Error()) {
			t.Errorf("%q and no more: got %+v, want Cut because of its status", begin, got)
		}
		if state, err := newClient(t).SendOrder(context.Background(), spec, mimosatide.Order{}); !errors.Is(err, framing.ErrStatus) {
			t.Errorf("%q and no more: got order state %q and error %v, want ErrStatus", begin, state, err)
		}
	}
}
