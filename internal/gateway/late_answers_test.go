package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/loading"
)

// scriptedTarget answers the requests of a test by a function.
type scriptedTarget struct {
	address string

	lock sync.Mutex
	// runs counts the runs by request.
	runs map[string]int
}

// answerFunc returns what a target writes for a request; earlier are the IDs of the requests that
// its connection has carried before. The target's lock is held.
type answerFunc func(target *scriptedTarget, id string, earlier []string) string

func startScriptedTarget(t *testing.T, answer answerFunc) *scriptedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &scriptedTarget{address: listener.Addr().String(), runs: map[string]int{}}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(connection, answer)
		}
	}()
	return target
}

func (target *scriptedTarget) serve(connection net.Conn, answer answerFunc) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	var earlier []string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Attempt-Id")
		target.lock.Lock()
		text := answer(target, id, earlier)
		target.lock.Unlock()
		if _, err := fmt.Fprint(connection, text); err != nil {
			return
		}
		earlier = append(earlier, id)
	}
}

func (target *scriptedTarget) runsOf(id string) int {
	target.lock.Lock()
	defer target.lock.Unlock()
	return target.runs[id]
}

// ownAnswer is a complete answer to a request, with a body of one event.
func ownAnswer(id string) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s\r\nContent-Length: 7\r\n\r\nid: 1\n\n"
}

// TestLateAnswerThatCannotBeSkippedDoesNotRefuseTheRequestThatRuns guards against 503, or a
// second run, for a request that the target runs behind a late answer that can't be skipped or
// that names no request.
func TestLateAnswerThatCannotBeSkippedDoesNotRefuseTheRequestThatRuns(t *testing.T) {
	for name, late := range map[string]string{
		"refusal without an id":   "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"answer without a length": "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\n\r\nabc",
		"answer that ends the connection": "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r-1\r\nNot-Executed: 1\r\n" +
			"Connection: close\r\nContent-Length: 0\r\n\r\n",
		"long answer": "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000),
		"long answer in chunks": "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" +
			strings.Repeat("x", 0x11170) + "\r\n0\r\n\r\n",
		"bytes beyond the length": "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nContent-Length: 2\r\n\r\nabc",
	} {
		fixture := newFixture(t)
		target := startScriptedTarget(t, func(target *scriptedTarget, id string, earlier []string) string {
			target.runs[id]++
			if len(earlier) > 0 {
				return late + ownAnswer(id)
			}
			return ownAnswer(id)
		})
		fixture.put("d-1", target.address)
		fixture.send(fixture.newOrder("r-1"))
		response, body, _ := fixture.send(fixture.newOrder("r-2"))
		answered := response.StatusCode == http.StatusOK || response.StatusCode == http.StatusBadGateway
		if runs := target.runsOf("r-2"); !answered || runs != 1 {
			t.Errorf("%s: got status %d and body %q after %d runs, want 200 or 502 after one", name, response.StatusCode, body, runs)
		}
		if instance, _ := fixture.targets.View().Instance("d-1"); instance.Leaving {
			t.Errorf("%s: got a target that leaves, want it to stay", name)
		}
	}
}

// TestCopyBehindManyRequestsDoesNotRefuseTheRequestThatRuns guards against a request that waits
// for its model and is sent again, to another id at the address, on a connection that has carried
// so many requests meanwhile that it no longer remembers the first send.
func TestCopyBehindManyRequestsDoesNotRefuseTheRequestThatRuns(t *testing.T) {
	fixture := newFixture(t)
	refusal := "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: r-1\r\nContent-Length: 0\r\n\r\n"
	refused := false
	target := startScriptedTarget(t, func(target *scriptedTarget, id string, earlier []string) string {
		if id == "r-1" && !refused {
			refused = true
			return refusal
		}
		target.runs[id]++
		if id == "r-1" && slices.Contains(earlier, id) {
			return refusal + ownAnswer(id)
		}
		return ownAnswer(id)
	})
	engine := mimosatide.Instance{
		ID: "e-1", Service: "llm", Address: target.address, Zone: "a", Slots: 6, Holdings: []mimosatide.Holding{{Model: "m"}},
	}
	fixture.targets.Put(engine)
	fixture.put("d-1", target.address)
	var once sync.Once
	fixture.loader.onNeed = func(loading.Need) {
		once.Do(func() {
			for number := range 65 {
				fixture.send(fixture.newOrder("o-" + strconv.Itoa(number)))
			}
			engine.ID = "e-2"
			fixture.targets.Put(engine)
		})
	}
	response, body, _ := fixture.send(newChatRequest(fixture, "/chat/x", "m"))
	if runs := target.runsOf("r-1"); response.StatusCode != http.StatusOK || runs != 1 {
		t.Errorf("got status %d and body %q after %d runs, want 200 after one", response.StatusCode, body, runs)
	}
}

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
		if response, body, _ := fixture.send(second); response.StatusCode != http.StatusOK {
			t.Errorf("%s: got status %d and body %q after %d runs, want 200", each.name, response.StatusCode, body, target.runsOf("r-2"))
		}
	}
}
