package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// uploadBytes exceeds what the sockets between the gateway and a target hold.
	uploadBytes = 16 << 20
	// brokenTries is how often each broken answer is sent: which of read and write meets the
	// error of a reset differs from try to try.
	brokenTries = 20
)

// respondEarly answers before the upload has been read, without a length and chunks, with
// the given content type and body, and passes the connection to end.
func respondEarly(contentType, body string, end func(connection *net.TCPConn)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		hijacked, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			panic(err)
		}
		// An error means that the gateway has closed the connection.
		_, _ = fmt.Fprintf(hijacked, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: signature\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s",
			request.Header.Get("Attempt-Id"), contentType, body)
		end(hijacked.(*net.TCPConn))
	}
}

func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// endCleanly ends the answer and leaves the upload unread.
func endCleanly(connection *net.TCPConn) {
	_ = connection.CloseWrite()
	time.Sleep(time.Second)
	_ = connection.Close()
}

// respondWhole reads the whole request and answers without a length, ended by a clean end
// of the connection.
func respondWhole(contentType, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		respondEarly(contentType, body, func(connection *net.TCPConn) { _ = connection.Close() })(writer, request)
	}
}

// newUploadFixture returns a gateway that takes uploads of uploadBytes.
func newUploadFixture(t *testing.T) *fixture {
	fixture := newFixtureWith(t, 4*uploadBytes)
	fixture.deployment.Limits.BodyBytes = 2 * uploadBytes
	return fixture
}

// upload sends a request with a long body and returns its answer as send does.
func (fixture *fixture) upload(path, id string) (*http.Response, string, bool) {
	request := fixture.newRequest(http.MethodPost, path)
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Model", "m")
	request.Body = io.NopCloser(strings.NewReader(strings.Repeat("b", uploadBytes)))
	request.ContentLength = uploadBytes
	return fixture.send(request)
}

// statusOf returns the status of a response, zero if there is none.
func statusOf(response *http.Response) int {
	if response == nil {
		return 0
	}
	return response.StatusCode
}

const eventStream = "text/event-stream"

// brokenAnswers are answers whose callers must not get a part of them that looks complete.
var brokenAnswers = []struct {
	name, path, service string
	respond             func(end func(*net.TCPConn)) http.HandlerFunc
}{
	{"buffered", "/order/1", "desk", func(end func(*net.TCPConn)) http.HandlerFunc {
		return respondEarly("text/plain", "a part", end)
	}},
	{"larger than the buffer", "/order/1", "desk", func(end func(*net.TCPConn)) http.HandlerFunc {
		return respondEarly("text/plain", strings.Repeat("a", 3<<20), end)
	}},
	{"stream", "/chat/1", "llm", func(end func(*net.TCPConn)) http.HandlerFunc {
		return respondEarly(eventStream, "id: 1\ndata: a part\n\n", end)
	}},
	{"stream without an event", "/chat/1", "llm", func(end func(*net.TCPConn)) http.HandlerFunc {
		return respondEarly(eventStream, "", end)
	}},
}

// TestBrokenAnswerIsNotPassedOnAsComplete guards against callers that get a part of an answer
// as the whole, from a target that answers an upload early and without a length.
func TestBrokenAnswerIsNotPassedOnAsComplete(t *testing.T) {
	ends := map[string]func(*net.TCPConn){"reset": reset, "clean end before the upload was read": endCleanly}
	for _, broken := range brokenAnswers {
		for end, finish := range ends {
			t.Run(broken.name+", "+end, func(t *testing.T) {
				fixture := newUploadFixture(t)
				fixture.addTarget("t-1", broken.service, broken.respond(finish), "m")
				tries, complete := brokenTries, 0
				if end != "reset" {
					tries = 3
				}
				for index := range tries {
					response, body, whole := fixture.upload(broken.path, fmt.Sprint("r-", index))
					if response != nil && response.StatusCode == http.StatusOK && whole {
						complete++
						continue
					}
					if response != nil && response.StatusCode != http.StatusOK && response.StatusCode != http.StatusBadGateway {
						t.Errorf("got status %d and %q, want 502 or a cut answer: the request may have run", response.StatusCode, body)
					}
				}
				if complete > 0 {
					t.Errorf("got a part as the whole answer in %d of %d tries, want never", complete, tries)
				}
				if got := len(fixture.received()); got != tries {
					t.Errorf("got %d requests at targets, want %d: none of them may be sent again", got, tries)
				}
			})
		}
	}
}

// TestRepeatableRequestIsSentAgainAfterABrokenAnswer guards against a broken answer that ends
// a request which another target could answer.
func TestRepeatableRequestIsSentAgainAfterABrokenAnswer(t *testing.T) {
	for _, end := range []func(*net.TCPConn){reset, endCleanly} {
		fixture := newUploadFixture(t)
		first := true
		handler := func(broken, sound http.HandlerFunc) http.HandlerFunc {
			return func(writer http.ResponseWriter, request *http.Request) {
				fixture.lock.Lock()
				fails := first
				first = false
				fixture.lock.Unlock()
				if fails {
					broken(writer, request)
				} else {
					sound(writer, request)
				}
			}
		}
		for _, id := range []string{"t-1", "t-2"} {
			fixture.addTarget(id, "desk", handler(respondEarly("text/plain", "a part", end), respondWhole("text/plain", "whole")))
			fixture.addTarget("e"+id, "llm", handler(
				respondEarly(eventStream, "id: 1\ndata: piece 1\n\n", end), respondWhole(eventStream, "id: 2\ndata: piece 2\n\n")), "m")
		}
		if response, body, whole := fixture.upload("/lookup/1", "r-1"); response == nil || response.StatusCode != http.StatusOK || body != "whole" || !whole {
			t.Errorf("repeatable request: got status %d, %q and complete %v, want the answer of the second target", statusOf(response), body, whole)
		}
		fixture.lock.Lock()
		first = true
		fixture.lock.Unlock()
		want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
		if response, body, whole := fixture.upload("/resumable/1", "r-2"); response == nil || body != want || !whole {
			t.Errorf("resumable stream: got status %d, %q and complete %v, want it continued after its first event", statusOf(response), body, whole)
		}
	}
}

// TestWholeAnswerWithoutLengthIsPassedOn guards against sound answers that count as broken.
func TestWholeAnswerWithoutLengthIsPassedOn(t *testing.T) {
	for path, body := range map[string]string{
		"/order/1":  "whole",
		"/lookup/1": strings.Repeat("a", 3<<20),
		"/chat/1":   "id: 1\ndata: whole\n\n",
	} {
		fixture := newUploadFixture(t)
		contentType := "text/plain"
		if path == "/chat/1" {
			contentType = eventStream
		}
		for _, service := range []string{"desk", "llm"} {
			fixture.addTarget(service, service, respondWhole(contentType, body), "m")
		}
		for index := range 5 {
			response, got, whole := fixture.upload(path, fmt.Sprint("r-", index))
			if response == nil || response.StatusCode != http.StatusOK || got != body || !whole {
				t.Errorf("%s: got status %d, %d bytes and complete %v, want all %d bytes", path, statusOf(response), len(got), whole, len(body))
			}
		}
	}
}

// TestOddStatusIsNotPassedOn guards against callers that get a status which is no HTTP, and
// against requests that wait for another answer until their deadline.
func TestOddStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "+20", "20", "2000"} {
		fixture := newFixture(t)
		fixture.addTarget("t-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
			hijacked, _, err := http.NewResponseController(writer).Hijack()
			if err != nil {
				panic(err)
			}
			// The connection stays open, as that of a target which goes on serving.
			_, _ = fmt.Fprintf(hijacked, "HTTP/1.1 %s Odd\r\nAttempt-Id: %s\r\nResponse-Signature: signature\r\nContent-Length: 2\r\n\r\nok",
				status, request.Header.Get("Attempt-Id"))
		})
		response, body, _ := fixture.send(fixture.newRequest(http.MethodPost, "/order/1"))
		if response == nil || response.StatusCode != http.StatusBadGateway {
			t.Errorf("status %s: got status %d and %q, want 502: the request may have run", status, statusOf(response), body)
		}
	}
}
