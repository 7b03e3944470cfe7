//go:build knownred

package gateway_test

import (
	"net/http"
	"testing"
	"time"
)

// TestIncompleteLateAnswerDoesNotHoldTheRequest guards against an idempotent request that waits
// until its deadline for the rest of a late answer, although it could be sent again.
func TestIncompleteLateAnswerDoesNotHoldTheRequest(t *testing.T) {
	for _, each := range []struct{ name, method, late string }{
		{"late answer with a part of its body", http.MethodGet, "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nResponse-Signature: s\r\nContent-Length: 5000\r\n\r\na part"},
		{"late answer to HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nResponse-Signature: s\r\nContent-Length: 5000\r\n\r\n"},
	} {
		fixture := newFixture(t)
		target := startScriptedTarget(t, func(target *scriptedTarget, id string, earlier []string) string {
			target.runs[id]++
			text := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s\r\nContent-Length: 10\r\n\r\n"
			if id == "r-1" && each.method == http.MethodHead {
				return text
			}
			text += "the answer"
			if len(earlier) > 0 {
				return each.late + text
			}
			return text
		})
		fixture.put("d-1", target.address)
		first := fixture.newRequest(each.method, "/lookup/x")
		fixture.send(first)
		second := fixture.newRequest(http.MethodGet, "/lookup/x")
		second.Header.Set("Attempt-Id", "r-2")
		started := time.Now()
		response, body, _ := fixture.send(second)
		if took := time.Since(started); response.StatusCode != http.StatusOK || took > 500*time.Millisecond {
			t.Errorf("%s: got status %d and body %q after %s and %d runs, want 200 within 500ms", each.name, response.StatusCode, body, took, target.runsOf("r-2"))
		}
	}
}
