package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
)

// copyingTarget refuses the first requests and runs the others. On each connection it writes
// every refusal a second time, where the next answer is due.
type copyingTarget struct {
	address string

	lock sync.Mutex
	// refusals is how many requests it will still refuse.
	refusals int
	// fields are added to the head of each refusal.
	fields string
	// runs counts the runs by request.
	runs map[string]int
}

func startCopyingTarget(t *testing.T, refusals int) *copyingTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &copyingTarget{address: listener.Addr().String(), refusals: refusals, runs: map[string]int{}}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(connection)
		}
	}()
	return target
}

func (target *copyingTarget) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	refusal := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Attempt-Id")
		answer := refusal
		target.lock.Lock()
		if target.refusals > 0 {
			target.refusals--
			refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: " + id + "\r\n" + target.fields +
				"Content-Length: 5\r\n\r\nfull\n"
			answer += refusal
		} else {
			refusal = ""
			target.runs[id]++
			answer += "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s\r\nContent-Length: 10\r\n\r\nthe answer"
		}
		target.lock.Unlock()
		if _, err := fmt.Fprint(connection, answer); err != nil {
			return
		}
	}
}

func (target *copyingTarget) runsOf(id string) int {
	target.lock.Lock()
	defer target.lock.Unlock()
	return target.runs[id]
}

// put adds a row of the target under an id.
func (fixture *fixture) put(id, address string) {
	fixture.targets.Put(mimosatide.Instance{ID: id, Service: "desk", Address: address, Zone: "a", Slots: 6})
}

// newOrder returns a request that must not run twice.
func (fixture *fixture) newOrder(id string) *http.Request {
	request := fixture.newRequest(http.MethodPost, "/order/x")
	request.Header.Set("Attempt-Id", id)
	return request
}

// TestCopyOfARefusalDoesNotRefuseTheRequestThatRuns guards against a refusal that comes a
// second time, on a connection on which the same request has been sent again and runs.
func TestCopyOfARefusalDoesNotRefuseTheRequestThatRuns(t *testing.T) {
	for _, each := range []struct {
		name string
		// ids are those of the target's rows; each request is sent with the same id.
		ids      []string
		requests int
		refusals int
	}{
		{"a caller sends the request again under its id", []string{"d-1"}, 2, 2},
		{"the target has another id at the same address", []string{"d-1", "d-2"}, 1, 1},
	} {
		fixture := newFixture(t)
		target := startCopyingTarget(t, each.refusals)
		for _, id := range each.ids {
			fixture.put(id, target.address)
		}
		status := 0
		for range each.requests {
			before := target.runsOf("r-1")
			response, _, _ := fixture.send(fixture.newOrder("r-1"))
			status = response.StatusCode
			ran := target.runsOf("r-1") - before
			if status == http.StatusServiceUnavailable && ran > 0 || ran > 1 {
				t.Errorf("%s: got status %d after %d runs, want no 503 and one run at most", each.name, status, ran)
			}
		}
		if status != http.StatusOK {
			t.Errorf("%s: got status %d for the last request, want 200", each.name, status)
		}
	}
}

// TestRefusalWithoutADeclarationDoesNotSayNotRun guards against a target's own 503, 429 or 408
// for a request that it has run: to a caller these say that it was not run. A request that
// may be repeated gets the target's answer unchanged.
func TestRefusalWithoutADeclarationDoesNotSayNotRun(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		for route, want := range map[string]int{"/order/x": http.StatusBadGateway, "/lookup/x": status} {
			fixture := newFixture(t)
			fixture.addTarget("d-1", "desk", respondStatus(status, false))
			response, _, _ := fixture.send(fixture.newRequest(http.MethodPost, route))
			signed := response.Header.Get("Response-Signature") != ""
			if response.StatusCode != want || signed != (want == status) {
				t.Errorf("target's own status %d at %s: got status %d, signed %t, want %d, signed %t",
					status, route, response.StatusCode, signed, want, want == status)
			}
		}
	}
}

// TestCopyOfAnotherRequestsRefusalAsksForNothing guards against a late copy whose limit or
// mark that the target leaves is taken for the target's present one.
func TestCopyOfAnotherRequestsRefusalAsksForNothing(t *testing.T) {
	fixture := newFixture(t)
	target := startCopyingTarget(t, 1)
	target.fields = "Server-Limit: 3\r\nServer-Leaving: 1\r\n"
	fixture.put("d-1", target.address)
	instance, _ := fixture.targets.View().Instance("d-1")
	fixture.send(fixture.newOrder("r-1"))
	// What the first answer asked for ended with this incarnation.
	later := instance
	later.Born = instance.Born.Add(time.Second)
	fixture.targets.Put(later)
	fixture.send(fixture.newOrder("r-2"))
	if current, _ := fixture.targets.View().Instance("d-1"); current.Leaving {
		t.Error("got a target that leaves, want it to stay: its copy of an earlier answer said so")
	}
	if rate, limited := fixture.limits.Rate(later); limited {
		t.Errorf("got a limit of %g, want none: the copy of an earlier answer named it", rate)
	}
}

// TestCopyOfAnotherRequestsRefusalDoesNotFailTheRequest guards against 502 for a request that
// the target runs, because the late copy of an earlier answer came before its own.
func TestCopyOfAnotherRequestsRefusalDoesNotFailTheRequest(t *testing.T) {
	fixture := newFixture(t)
	target := startCopyingTarget(t, 2)
	fixture.put("d-1", target.address)
	fixture.send(fixture.newOrder("r-1"))
	response, body, _ := fixture.send(fixture.newOrder("r-2"))
	if response.StatusCode != http.StatusOK || body != "the answer" {
		t.Errorf("got status %d and body %q, want 200 and the target's answer", response.StatusCode, body)
	}
	if runs := target.runsOf("r-2"); runs != 1 {
		t.Errorf("got %d runs, want 1", runs)
	}
}
