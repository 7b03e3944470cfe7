package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/intake"
)

// post sends the header of a request with a body of the given size, and then the body, which may
// be shorter. It returns the answer, or fails the test if there is none.
func (fixture *fixture) post(path, key string, size int, body string) *http.Response {
	fixture.t.Helper()
	opened, err := net.Dial("tcp", strings.TrimPrefix(fixture.server.URL, "http://"))
	if err != nil {
		fixture.t.Fatal(err)
	}
	fixture.t.Cleanup(func() { _ = opened.Close() })
	if err := opened.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		fixture.t.Fatal(err)
	}
	if _, err := fmt.Fprintf(opened, "POST %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r-1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		path, key, size, body); err != nil {
		fixture.t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(opened), nil)
	if err != nil {
		fixture.t.Fatalf("%s with %d of %d bytes: got %v, want an answer", path, len(body), size, err)
	}
	if _, err := io.ReadAll(answer.Body); err != nil {
		fixture.t.Errorf("answer to %s: got %v, want all of it", path, err)
	}
	return answer
}

// A caller must not make the process keep a body by a key or for a route that is not known, and
// one whose body is late must be refused as not run. The test has no end where the body is read
// first.
func TestRequestIsRefusedWithoutItsBody(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("d-1", "desk", respond("x"))
	for _, each := range []struct {
		path, key string
		want      int
	}{
		{"/lookup/x", "bad", http.StatusUnauthorized},
		{"/nowhere/x", "good", http.StatusNotFound},
		{"/short/x", "good", http.StatusServiceUnavailable},
	} {
		answer := fixture.post(each.path, each.key, 50_000, "the first bytes")
		if answer.StatusCode != each.want || !answer.Close {
			t.Errorf("%s by key %s: got status %d, kept connection %t, want %d and none", each.path, each.key, answer.StatusCode, !answer.Close, each.want)
		}
	}
	if received := fixture.received(); len(received) != 0 {
		t.Errorf("requests received by the target: got %+v, want none", received)
	}
}

// A caller reads its answer after it has sent its whole body. A connection that is closed with
// bytes unread would be reset, and the refusal lost.
func TestRefusalReachesACallerThatHasSentItsWholeBody(t *testing.T) {
	for range 20 {
		fixture := newFixture(t)
		if answer := fixture.post("/lookup/x", "bad", maxBody, strings.Repeat("x", maxBody)); answer.StatusCode != http.StatusUnauthorized {
			t.Errorf("unknown key: got status %d, want 401", answer.StatusCode)
		}
		if answer := fixture.post("/lookup/x", "good", maxBody+1, strings.Repeat("x", maxBody+1)); answer.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("body above the limit: got status %d, want 413", answer.StatusCode)
		}
	}
}

// A body without memory must not be passed on in part, and small requests are served beside it.
func TestLargeBodyIsRefusedAndSmallOneServedWhenMemoryIsUsedUp(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("d-1", "desk", respond("x"))
	other := fixture.intake.NewHold()
	if !other.Grow(requestMemory + intake.FreeBytes) {
		t.Fatal("only hold: got no memory, want all of it")
	}
	large := strings.Repeat("x", maxBody)
	if answer := fixture.post("/lookup/x", "good", maxBody, large); answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Errorf("large body without memory: got status %d, want 503 with Retry-After", answer.StatusCode)
	}
	if received := fixture.received(); len(received) != 0 {
		t.Errorf("requests received by the target: got %+v, want none", received)
	}
	if answer := fixture.post("/lookup/x", "good", 3, "abc"); answer.StatusCode != http.StatusOK {
		t.Errorf("small body: got status %d, want 200", answer.StatusCode)
	}
	other.Release()
	if answer := fixture.post("/lookup/x", "good", maxBody, large); answer.StatusCode != http.StatusOK {
		t.Errorf("large body with memory: got status %d, want 200", answer.StatusCode)
	}
}
