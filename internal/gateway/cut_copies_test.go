//go:build knownred

package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestCutCopyIsNotJoinedWithTheAnswer guards against the start of a late copy that is read as
// one head with the answer behind it: the status and the declaration of the copy then bear the
// ID of the request that runs.
func TestCutCopyIsNotJoinedWithTheAnswer(t *testing.T) {
	for _, each := range []struct{ name, start, answer string }{
		{"refusal, cut in a field before its id", "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1", "200 OK"},
		{"refusal, cut in its reason phrase", "HTTP/1.1 421 Misdirected Req", "200 OK"},
		{"success, cut in its reason phrase", "HTTP/1.1 200 O", "500 Internal Server Error"},
	} {
		fixture := newFixture(t)
		target := startScriptedTarget(t, func(target *scriptedTarget, id string, earlier []string) string {
			target.runs[id]++
			text := "HTTP/1.1 " + each.answer + "\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s\r\nContent-Length: 10\r\n\r\nthe answer"
			if len(earlier) > 0 {
				return each.start + text
			}
			return text
		})
		fixture.put("d-1", target.address)
		fixture.send(fixture.newOrder("r-1"))
		response, body, _ := fixture.send(fixture.newOrder("r-2"))
		if runs := target.runsOf("r-2"); response.StatusCode != http.StatusBadGateway && strconv.Itoa(response.StatusCode) != each.answer[:3] || runs != 1 {
			t.Errorf("%s: got status %d and body %q after %d runs, want one run and 502 or the answer's own status", each.name, response.StatusCode, body, runs)
		}
	}
}

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
