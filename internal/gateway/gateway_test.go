package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/loading"
	"mimosatide.example/mimosatide/internal/registry"
)

// Guards against changes on the way: the target gets the path and query as sent and the
// account instead of the key, the caller gets the body and the signature as the target
// sent them.
func TestAnswerIsRelayedUnchanged(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("d-1", "desk", respond("the answer"))
	response, body, whole := fixture.send(fixture.newRequest(http.MethodGet, "/lookup/x%2Fy?q=1"))
	if response.StatusCode != http.StatusOK || body != "the answer" || !whole ||
		response.Header.Get("Response-Signature") != "signature" || response.Header.Get("Attempt-Id") != "r-1" {
		t.Errorf("got status %d and body %q, want 200 and \"the answer\" with its signature and id", response.StatusCode, body)
	}
	received := fixture.received()
	if len(received) != 1 || received[0].path != "/lookup/x%2Fy?q=1" || received[0].header.Get("Tenant") != "school" ||
		received[0].header.Get("Authorization") != "" || received[0].header.Get("Target-Instance") != "d-1" {
		t.Errorf("got %+v, want one request with the unchanged path, its account and target, and without its key", received)
	}
}

// A request without a valid route, key, id or token count must be refused before it
// reaches a target.
func TestInvalidRequestsAreRefused(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("d-1", "desk", respond("x"))
	cases := []struct {
		name   string
		change func(request *http.Request)
		path   string
		status int
	}{
		{"unknown route", func(*http.Request) {}, "/nowhere/", http.StatusNotFound},
		{"unknown host", func(request *http.Request) { request.Host = "b.example" }, "/lookup/", http.StatusNotFound},
		{"no key", func(request *http.Request) { request.Header.Del("Authorization") }, "/lookup/", http.StatusUnauthorized},
		{"unknown key", func(request *http.Request) { request.Header.Set("Authorization", "Bearer bad") }, "/lookup/", http.StatusUnauthorized},
		{"no id", func(request *http.Request) { request.Header.Del("Attempt-Id") }, "/lookup/", http.StatusBadRequest},
		{"bad tokens", func(request *http.Request) { request.Header.Set("Token-Usage", "x") }, "/lookup/", http.StatusBadRequest},
	}
	for _, each := range cases {
		request := fixture.newRequest(http.MethodGet, each.path)
		each.change(request)
		if response, _, _ := fixture.send(request); response.StatusCode != each.status {
			t.Errorf("%s: got status %d, want %d", each.name, response.StatusCode, each.status)
		}
	}
	if received := fixture.received(); len(received) != 0 {
		t.Errorf("requests received by the target: got %+v, want none", received)
	}
}

// TestDenialByAnUnconfirmedConfigurationAsksToComeBack guards against callers that are told
// for good that a route or key does not exist, by a copy that is older than its addition.
func TestDenialByAnUnconfirmedConfigurationAsksToComeBack(t *testing.T) {
	for _, change := range []func(request *http.Request){
		func(request *http.Request) { request.Host = "unknown.example" },
		func(request *http.Request) { request.Header.Set("Authorization", "Bearer unknown") },
		func(request *http.Request) { request.Header.Del("Authorization") },
	} {
		fixture := newFixture(t)
		fixture.addTarget("d-1", "desk", respond("body"))
		request := fixture.newRequest(http.MethodGet, "/lookup/x")
		change(request)
		fixture.age = 2 * time.Second
		response, body, _ := fixture.send(request)
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("got status %d, Retry-After %q and body %q, want 503 with Retry-After", response.StatusCode, response.Header.Get("Retry-After"), body)
		}
		if response, _, _ := fixture.send(fixture.newRequest(http.MethodGet, "/lookup/x")); response.StatusCode != http.StatusOK {
			t.Errorf("request that the copy allows: got status %d, want 200", response.StatusCode)
		}
	}
}

// The account's bucket holds one token, so that the second request is over its rate.
// Without a Retry-After the caller would not know when the bucket is refilled.
func TestRequestOverItsAccountsRateIsRefusedWithRetryAfter(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("d-1", "desk", respond("x"))
	status, retryAfter := 0, ""
	for range 2 {
		request := fixture.newRequest(http.MethodGet, "/lookup/")
		request.Header.Set("Authorization", "Bearer limited")
		response, _, _ := fixture.send(request)
		status, retryAfter = response.StatusCode, response.Header.Get("Retry-After")
	}
	if status != http.StatusTooManyRequests || retryAfter == "" {
		t.Errorf("got status %d and Retry-After %q, want 429 and a Retry-After", status, retryAfter)
	}
}

// The first target closes the connection, fails, rejects the request, or sends an answer
// that is not its own answer to this request: unsigned, encoded or of another request. The
// caller must get none of these while another target can answer.
func TestIdempotentRequestIsRetriedAtAnotherTarget(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"connection closed": disconnect, "server error": respondStatus(http.StatusInternalServerError, false),
		"busy": respondStatus(http.StatusServiceUnavailable, true), "model not loaded": respondStatus(http.StatusMisdirectedRequest, true),
		"unsigned": func(http.ResponseWriter, *http.Request) {},
		"another request's": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Attempt-Id", "r-0")
			writer.Header().Set("Response-Signature", "signature")
		},
		"encoded": func(writer http.ResponseWriter, request *http.Request) {
			sign(writer, request)
			writer.Header().Set("Content-Encoding", "gzip")
		},
	} {
		fixture := newFixture(t)
		once := make(chan struct{}, 1)
		once <- struct{}{}
		handler := func(writer http.ResponseWriter, request *http.Request) {
			select {
			case <-once:
				first(writer, request)
			default:
				respond("second")(writer, request)
			}
		}
		fixture.addTarget("d-1", "desk", handler)
		fixture.addTarget("d-2", "desk", handler)
		response, body, _ := fixture.send(fixture.newRequest(http.MethodGet, "/lookup/"))
		if response == nil || response.StatusCode != http.StatusOK || body != "second" {
			t.Errorf("%s: got response %v and body %q, want status 200 and \"second\"", name, response, body)
		}
		if received := fixture.received(); len(received) != 2 || received[0].target == received[1].target {
			t.Errorf("%s: got requests %+v, want one at each of two targets", name, received)
		}
	}
}

// A target that closes the connection or sends an invalid answer may have run the request,
// and a second send would run it again. Only targets that declare that they did not run
// it allow another send.
func TestNonIdempotentRequestIsSentOnceUnlessItHasNotRun(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		status  int
		sends   int
	}{
		{"connection closed", disconnect, http.StatusBadGateway, 1},
		{"server error", respondStatus(http.StatusInternalServerError, false), http.StatusInternalServerError, 1},
		{"unsigned", func(http.ResponseWriter, *http.Request) {}, http.StatusBadGateway, 1},
		{"busy everywhere", respondStatus(http.StatusServiceUnavailable, true), http.StatusServiceUnavailable, 2},
	}
	for _, each := range cases {
		fixture := newFixture(t)
		fixture.addTarget("d-1", "desk", each.handler)
		fixture.addTarget("d-2", "desk", each.handler)
		response, _, _ := fixture.send(fixture.newRequest(http.MethodPost, "/order/"))
		if response.StatusCode != each.status {
			t.Errorf("%s: got status %d, want %d", each.name, response.StatusCode, each.status)
		}
		if received := fixture.received(); len(received) != each.sends {
			t.Errorf("%s: got %d sends, want %d", each.name, len(received), each.sends)
		}
		if each.status == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
			t.Errorf("%s: got no Retry-After, want one", each.name)
		}
	}
}

// TestTargetThatSaysItLeavesGetsNoMoreRequests guards against requests at a target whose
// answers say that it leaves while its row still calls it ready.
func TestTargetThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	answers := map[string]http.HandlerFunc{
		"success":       respond("body"),
		"rejection":     respondStatus(http.StatusServiceUnavailable, true),
		"misdirected":   respondStatus(http.StatusMisdirectedRequest, false),
		"server error":  respondStatus(http.StatusInternalServerError, false),
		"broken stream": respondEvents(1, 2, false),
	}
	for name, answer := range answers {
		fixture := newFixture(t)
		fixture.addTarget("leaving", "llm", func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("Server-Leaving", "1")
			answer(writer, request)
		}, "m")
		for range 3 {
			request := newChatRequest(fixture, "/resumable/x", "m")
			fixture.send(request)
			known, _ := fixture.targets.View().Instance("leaving")
			known.Leaving = false
			fixture.targets.Put(known)
		}
		if count := len(fixture.received()); count != 1 {
			t.Errorf("%s that says that its target leaves: got %d requests at it, want 1", name, count)
		}
	}
}

// respondPause turns a request away and asks for a pause, given in seconds.
func respondPause(seconds string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		sign(writer, request)
		writer.Header().Set("Not-Executed", "1")
		writer.Header().Set("Retry-After", seconds)
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TestTargetThatAsksForAPauseGetsNoRequestsMeanwhile guards against requests at a target
// that has turned one away with Retry-After; its callers must learn when to come back.
func TestTargetThatAsksForAPauseGetsNoRequestsMeanwhile(t *testing.T) {
	for path, service := range map[string]string{"/lookup/x": "desk", "/order/x": "desk", "/resumable/x": "llm"} {
		fixture := newFixture(t)
		fixture.addTarget("paused", service, respondPause("60.5"), "m")
		for range 3 {
			response, body, _ := fixture.send(newChatRequest(fixture, path, "m"))
			wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			if response.StatusCode != http.StatusServiceUnavailable || err != nil || wait < 1 {
				t.Errorf("%s: got status %d, Retry-After %v (%v) and body %q, want 503 with Retry-After", path, response.StatusCode, wait, err, body)
			}
		}
		if count := len(fixture.received()); count != 1 {
			t.Errorf("%s: got %d requests at a target that asked for a pause, want 1", path, count)
		}
		answer := respond("body")
		if service == "llm" {
			answer = respondEvents(1, 3, true)
		}
		fixture.addTarget("other", service, answer, "m")
		if response, _, _ := fixture.send(newChatRequest(fixture, path, "m")); response.StatusCode != http.StatusOK {
			t.Errorf("%s: got status %d with another target, want 200", path, response.StatusCode)
		}
	}
}

func TestRequestWaitsForTheEndOfAShortPause(t *testing.T) {
	fixture := newFixture(t)
	var turnedAway atomic.Bool
	fixture.addTarget("d-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
		if turnedAway.CompareAndSwap(false, true) {
			respondPause("0.1")(writer, request)
			return
		}
		respond("body")(writer, request)
	})
	response, body, _ := fixture.send(fixture.newRequest(http.MethodGet, "/lookup/x"))
	if response.StatusCode != http.StatusOK || len(fixture.received()) != 2 {
		t.Errorf("got status %d, body %q and %d requests, want 200 at the second", response.StatusCode, body, len(fixture.received()))
	}
}

// TestInvalidPauseIsIgnored guards against targets that a garbled header takes out of use.
func TestInvalidPauseIsIgnored(t *testing.T) {
	for _, seconds := range []string{"", "-1", "0", "NaN", "soon", "Inf", "1e400"} {
		fixture := newFixture(t)
		fixture.addTarget("d-1", "desk", respondPause(seconds))
		for range 2 {
			fixture.send(fixture.newRequest(http.MethodPost, "/short/x"))
		}
		if count := len(fixture.received()); count < 2 {
			t.Errorf("Retry-After %q: got %d requests at the target, want one or more of each caller", seconds, count)
		}
	}
}

// A target that does not answer must not keep its caller past the route's timeout. The
// target must know the deadline, and its connection must be closed when it has passed.
func TestRequestIsRefusedAtItsRoutesTimeout(t *testing.T) {
	fixture := newFixture(t)
	ended := make(chan struct{}, 1)
	fixture.addTarget("d-1", "desk", func(_ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		ended <- struct{}{}
	})
	response, _, _ := fixture.send(fixture.newRequest(http.MethodPost, "/short/"))
	if response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got status %d, want 504", response.StatusCode)
	}
	<-ended
	if remaining := fixture.received()[0].header.Get("Deadline-Ms"); len(remaining) != 2 {
		t.Errorf("Deadline-Ms at the target: got %s, want two digits, as the timeout is 100 ms", remaining)
	}
}

// If the connection to the target stayed open after the caller's was closed, the target
// would go on with an answer that nobody reads. The test hangs in that case.
func TestCallerDisconnectCancelsTheRequestAtItsTarget(t *testing.T) {
	fixture := newFixture(t)
	ended := make(chan struct{})
	started := make(chan struct{})
	fixture.addTarget("d-1", "desk", func(_ http.ResponseWriter, request *http.Request) {
		close(started)
		<-request.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	fixture.send(fixture.newRequest(http.MethodGet, "/lookup/").WithContext(ctx))
	<-ended
}

func newChatRequest(fixture *fixture, path, model string) *http.Request {
	request := fixture.newRequest(http.MethodPost, path)
	request.Header.Set("Model", model)
	request.Header.Set("Token-Usage", "100,20")
	return request
}

func TestStreamIsRelayedCompletely(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("e-1", "llm", respondEvents(1, 3, true), "m")
	response, body, whole := fixture.send(newChatRequest(fixture, "/chat/", "m"))
	if response.StatusCode != http.StatusOK || !whole || strings.Count(body, "data: piece") != 3 {
		t.Errorf("got status %d, complete %v and body %q, want 200, true and three events", response.StatusCode, whole, body)
	}
}

// TestLongLineDoesNotEndAnEvent guards against events that are cut where a line fills the
// read buffer: the caller would resume after an event that it has only in part.
func TestLongLineDoesNotEndAnEvent(t *testing.T) {
	for _, length := range []int{4095, 4096, 4097, 8192, 20000} {
		fixture := newFixture(t)
		event := "data: " + strings.Repeat("x", length-len("data: \n")) + "\nid: 1\ndata: end\n\n"
		sends := 0
		fixture.addTarget("e-1", "llm", func(writer http.ResponseWriter, request *http.Request) {
			fixture.lock.Lock()
			sends++
			first := sends == 1
			fixture.lock.Unlock()
			sign(writer, request)
			writer.Header().Set("Content-Type", "text/event-stream")
			if first {
				// The target breaks off inside the second line of the first event.
				_, _ = writer.Write([]byte(event[:length+2]))
				writer.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = writer.Write([]byte(event))
		}, "m")
		_, body, whole := fixture.send(newChatRequest(fixture, "/resumable/x", "m"))
		if body != event || !whole {
			t.Errorf("line of %d bytes: got %d bytes and complete %v, want the event of %d bytes once", length, len(body), whole, len(event))
		}
	}
}

// TestEventWithoutEndIsCut guards against a node that keeps an event which never ends.
func TestEventWithoutEndIsCut(t *testing.T) {
	for name, line := range map[string]string{"one line": "aaaaaaaa", "many lines": "data: a\n"} {
		fixture := newFixture(t)
		written := make(chan int, 1)
		fixture.addTarget("e-1", "llm", func(writer http.ResponseWriter, request *http.Request) {
			sign(writer, request)
			writer.Header().Set("Content-Type", "text/event-stream")
			pieces, total := []byte(strings.Repeat(line, 1024)), 0
			for request.Context().Err() == nil && total < 256<<20 {
				count, err := writer.Write(pieces)
				total += count
				if err != nil {
					break
				}
			}
			written <- total
		}, "m")
		_, body, whole := fixture.send(newChatRequest(fixture, "/chat/x", "m"))
		// What the sockets of both ends buffer counts as written.
		if total := <-written; total > 64<<20 || len(body) > 1<<20 && whole {
			t.Errorf("%s: got %d bytes written until the connection was closed, want some MB", name, total)
		}
	}
}

// The target breaks off in the middle of an event. If the gateway then ended its answer
// regularly, the caller would take the stream for complete. The route is not resumable,
// so that the request must not be sent to the other target either.
func TestBrokenStreamIsNotEndedAsComplete(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("e-1", "llm", respondEvents(1, 2, false), "m")
	fixture.addTarget("e-2", "llm", respondEvents(1, 2, false), "m")
	_, body, whole := fixture.send(newChatRequest(fixture, "/chat/", "m"))
	if whole || strings.Contains(body, "a part of") || len(fixture.received()) != 1 {
		t.Errorf("got complete %v, body %q and %d sends, want false, no partial event and 1 send", whole, body, len(fixture.received()))
	}
}

// respondUntilClose sends a 200 answer with neither a length nor chunks, which ends with
// its connection; reset makes the connection end with a reset.
func respondUntilClose(body string, reset bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		connection, _, err := writer.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: signature\r\n"+
			"Content-Type: text/event-stream\r\n\r\n%s", request.Header.Get("Attempt-Id"), body)
		if reset {
			// Without the pause the reset could overtake the body.
			time.Sleep(20 * time.Millisecond)
			_ = connection.(*net.TCPConn).SetLinger(0)
		}
		_ = connection.Close()
	}
}

// TestAnswerThatEndsWithItsConnection guards against a cut answer that looks complete
// because the connection's end is the only sign of its own.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	cases := map[string]struct {
		path  string
		body  string
		reset bool
		whole bool
	}{
		"plain answer":            {path: "/order/x", body: "the answer", whole: true},
		"plain answer, reset":     {path: "/order/x", body: "the ans", reset: true},
		"stream":                  {path: "/chat/x", body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", whole: true},
		"stream inside an event":  {path: "/chat/x", body: "id: 1\ndata: a\n\nid: 2\ndata: b\n"},
		"stream inside a line":    {path: "/chat/x", body: "id: 1\ndata: a\n\nid: 2\nda"},
		"stream between, reset":   {path: "/chat/x", body: "id: 1\ndata: a\n\n", reset: true},
		"stream without an event": {path: "/chat/x", body: "id: 1", reset: false},
	}
	for name, test := range cases {
		fixture := newFixture(t)
		fixture.addTarget("d-1", "desk", respondUntilClose(test.body, test.reset))
		fixture.addTarget("e-1", "llm", respondUntilClose(test.body, test.reset), "m")
		response, body, whole := fixture.send(newChatRequest(fixture, test.path, "m"))
		complete := response != nil && response.StatusCode == http.StatusOK && whole
		if complete != test.whole || complete && body != test.body {
			t.Errorf("%s: got response %v with body %q and complete %v, want complete %v", name, response, body, complete, test.whole)
		}
	}
}

// The first target breaks off in the middle of event 3. The caller must get every event
// exactly once, and nothing of the incomplete one.
func TestResumableStreamContinuesAfterItsLastEvent(t *testing.T) {
	fixture := newFixture(t)
	handler := func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Last-Event-Id") == "2" {
			respondEvents(3, 5, true)(writer, request)
			return
		}
		respondEvents(1, 2, false)(writer, request)
	}
	fixture.addTarget("e-1", "llm", handler, "m")
	fixture.addTarget("e-2", "llm", handler, "m")
	_, body, whole := fixture.send(newChatRequest(fixture, "/resumable/", "m"))
	want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"
	if !whole || body != want {
		t.Errorf("got complete %v and body %q, want true and %q", whole, body, want)
	}
}

func TestRequestWaitsForItsModel(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("e-1", "llm", respondEvents(1, 1, true))
	fixture.loader.onNeed = func(need loading.Need) {
		instance := fixture.targets.View().Service("llm")[0]
		instance.Holdings = []mimosatide.Holding{{Model: need.Model}}
		fixture.targets.Put(instance)
	}
	if response, _, _ := fixture.send(newChatRequest(fixture, "/chat/", "m")); response.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want 200", response.StatusCode)
	}
}

// The registry wrongly says that the only target holds the model, and the target rejects
// the request. Sent again at once, the request would be rejected until no send is left; it
// must wait until the model is loaded.
func TestRequestWaitsForItsModelAfterATargetRejectsIt(t *testing.T) {
	fixture := newFixture(t)
	var loaded atomic.Bool
	fixture.addTarget("e-1", "llm", func(writer http.ResponseWriter, request *http.Request) {
		if !loaded.Load() {
			respondStatus(http.StatusMisdirectedRequest, true)(writer, request)
			return
		}
		respondEvents(1, 1, true)(writer, request)
	}, "m")
	fixture.loader.onNeed = func(need loading.Need) {
		loaded.Store(true)
		fixture.targets.SetHoldings(registry.ReportedHoldings{Instance: "e-1", Holdings: []mimosatide.Holding{{Model: need.Model}}})
	}
	response, _, _ := fixture.send(newChatRequest(fixture, "/chat/", "m"))
	if response == nil || response.StatusCode != http.StatusOK || len(fixture.received()) != 2 {
		t.Errorf("got response %v after %d sends, want status 200 after 2", response, len(fixture.received()))
	}
}

// A request whose model takes longer to load than its deadline allows must not wait in
// vain. Its model is loaded all the same, so that a retry of the caller can be served.
func TestRequestIsRefusedAtOnceIfItsModelCannotBeLoadedInTime(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("e-1", "llm", respondEvents(1, 1, true))
	response, _, _ := fixture.send(newChatRequest(fixture, "/chat/", "slow"))
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d, want 503 with a Retry-After", response.StatusCode)
	}
	fixture.loader.lock.Lock()
	defer fixture.loader.lock.Unlock()
	if len(fixture.loader.needs) != 1 {
		t.Errorf("load requests for a retry of the caller: got %d, want 1", len(fixture.loader.needs))
	}
}

// The weight store loads other models first. A request whose turn comes after its deadline must
// be refused as soon as that is known, also while it waits, and not be held to its end.
func TestRequestIsRefusedOnceItsModelIsExpectedAfterItsDeadline(t *testing.T) {
	for _, known := range []bool{true, false} {
		fixture := newFixture(t)
		fixture.addTarget("e-1", "llm", respondEvents(1, 1, true))
		expect := func() {
			fixture.loader.lock.Lock()
			defer fixture.loader.lock.Unlock()
			fixture.loader.expected = map[string]time.Time{"m": time.Now().Add(time.Hour)}
		}
		if known {
			expect()
		} else {
			fixture.loader.onNeed = func(loading.Need) { expect() }
		}
		response, body, _ := fixture.send(newChatRequest(fixture, "/chat/", "m"))
		if response == nil || response.StatusCode != http.StatusServiceUnavailable || !strings.HasPrefix(body, "NoCapacity: other models") {
			t.Errorf("known when the request came %t: got response %v and body %q, want status 503 and NoCapacity", known, response, body)
			continue
		}
		if response.Header.Get("Retry-After") == "" {
			t.Errorf("known when the request came %t: got no Retry-After, want one", known)
		}
	}
}

// A request that still waits for its model when the node's process exits would get no
// answer at all.
func TestWaitingRequestIsRefusedWhenItsNodeDrains(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("e-1", "llm", respondEvents(1, 1, true))
	waiting := make(chan struct{}, 100)
	fixture.loader.onNeed = func(loading.Need) { waiting <- struct{}{} }
	go func() {
		<-waiting
		close(fixture.draining)
	}()
	response, body, _ := fixture.send(newChatRequest(fixture, "/chat/", "m"))
	if response == nil || response.StatusCode != http.StatusServiceUnavailable || !strings.HasPrefix(body, "Draining") {
		t.Errorf("got response %v and body %q, want status 503 and a body that starts with Draining", response, body)
	}
	if response.Header.Get("Retry-After") == "" {
		t.Error("got no Retry-After, want one")
	}
}

// A caller retries a request that crashes every target that runs it. Without the bound on
// crashes it would take down one target after the other.
func TestRequestIsRefusedAfterItCrashedTwoTargets(t *testing.T) {
	fixture := newFixture(t)
	for _, id := range []string{"d-1", "d-2", "d-3", "d-4"} {
		fixture.addCrashingTarget(id)
	}
	var last *http.Response
	for range 4 {
		last, _, _ = fixture.send(fixture.newRequest(http.MethodPost, "/order/"))
		time.Sleep(50 * time.Millisecond)
	}
	if count := len(fixture.received()); count > 2 {
		t.Errorf("targets crashed by the request: got %d, want at most 2", count)
	}
	if last.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503", last.StatusCode)
	}
}

// TestRefusalNamesTheQuarantineThatEndsARetry guards against logs that blame a target for a
// request which is not sent again because it crashes targets.
func TestRefusalNamesTheQuarantineThatEndsARetry(t *testing.T) {
	fixture := newFixture(t)
	for _, id := range []string{"d-1", "d-2", "d-3"} {
		fixture.addCrashingTarget(id)
	}
	answer, body, _ := fixture.send(fixture.newRequest(http.MethodGet, "/lookup/"))
	if answer.StatusCode != http.StatusBadGateway || !strings.HasPrefix(body, string(mimosatide.ReasonPoisonRequest)) {
		t.Errorf("request that crashed two targets: got %d %q, want 502 PoisonRequest", answer.StatusCode, body)
	}
}

// TestErrorOfAResumedStreamIsNotWrittenIntoIt guards against callers that find the text of
// an error in the middle of their stream, or a stream that ends as if it were complete.
func TestErrorOfAResumedStreamIsNotWrittenIntoIt(t *testing.T) {
	const noTargetLeft = "no target left"
	answers := map[string]http.HandlerFunc{
		"bad request":      respondError(http.StatusBadRequest, false),
		"not found":        respondError(http.StatusNotFound, false),
		"server error":     respondError(http.StatusInternalServerError, false),
		"unavailable":      respondError(http.StatusServiceUnavailable, false),
		"rejected":         respondError(http.StatusServiceUnavailable, true),
		"not found at all": respondError(http.StatusMisdirectedRequest, true),
		"no stream":        respond("the whole answer"),
		"redirect":         respondError(http.StatusFound, false),
		"no content":       respondStatus(http.StatusNoContent, false),
		"paused":           respondPause("60"),
		noTargetLeft:       respond("not reached"),
	}
	for name, answer := range answers {
		fixture := newFixture(t)
		sends := 0
		handler := func(writer http.ResponseWriter, request *http.Request) {
			fixture.lock.Lock()
			sends++
			first := sends == 1
			fixture.lock.Unlock()
			if !first {
				answer(writer, request)
				return
			}
			if name == noTargetLeft {
				for _, id := range []string{"e-1", "e-2"} {
					fixture.targets.Delete(id, 1, false, time.Now())
				}
			}
			respondEvents(1, 2, false)(writer, request)
		}
		fixture.addTarget("e-1", "llm", handler, "m")
		fixture.addTarget("e-2", "llm", handler, "m")
		response, body, whole := fixture.send(newChatRequest(fixture, "/resumable/x", "m"))
		want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
		if response == nil || body != want || whole {
			t.Errorf("%s: got body %q and complete %v, want the two events and not complete", name, body, whole)
		}
	}
}

// respondError answers an error with a text; with notRun the target declares that it did
// not run the request.
func respondError(status int, notRun bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		respondStatus(status, notRun)(writer, request)
		_, _ = writer.Write([]byte("id: 9\ndata: the text of the error\n\n"))
	}
}

// addRepeatingTarget adds a target that rejects the first request and keeps the connection.
// It runs every later request, but on that connection it writes the rejection once more
// before. withID says that the rejection names its request. It returns the number of runs.
func (fixture *fixture) addRepeatingTarget(withID bool) *atomic.Int32 {
	var runs, requests atomic.Int32
	fixture.addTarget("d-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
		if requests.Add(1) > 1 {
			runs.Add(1)
			respond("the answer")(writer, request)
			return
		}
		connection, buffered, err := writer.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		rejection := "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
		if withID {
			rejection += "Attempt-Id: " + request.Header.Get("Attempt-Id") + "\r\n"
		}
		_, _ = connection.Write([]byte(rejection + "\r\n"))
		if _, err := http.ReadRequest(buffered.Reader); err != nil {
			return
		}
		runs.Add(1)
		_, _ = connection.Write([]byte(rejection + "\r\n"))
	})
	return &runs
}

// TestRepeatedRejectionIsNotTakenForTheAnswer guards against callers that are told that
// their request has not run, by an earlier rejection on the same connection, although it
// was running.
func TestRepeatedRejectionIsNotTakenForTheAnswer(t *testing.T) {
	for _, withID := range []bool{false, true} {
		fixture := newFixture(t)
		runs := fixture.addRepeatingTarget(withID)
		for index := range 2 {
			before := runs.Load()
			request := fixture.newRequest(http.MethodPost, "/order/x")
			request.Header.Set("Attempt-Id", "r-"+strconv.Itoa(index))
			response, body, _ := fixture.send(request)
			ran := runs.Load() - before
			if response.StatusCode == http.StatusServiceUnavailable && ran > 0 || ran > 1 {
				t.Errorf("rejection with id %v, request %d: got status %d and body %q after %d runs, want no 503 and one run at most",
					withID, index, response.StatusCode, body, ran)
			}
		}
		if runs.Load() == 0 {
			t.Errorf("rejection with id %v: got no run of two requests, want one or more", withID)
		}
	}
}

// addTargetWithDeadlyPart adds an engine that crashes as soon as it begins to answer a
// request whose prompt has the part "deadly".
func (fixture *fixture) addTargetWithDeadlyPart(id string) {
	var closeListener func()
	fixture.addTarget(id, "llm", func(writer http.ResponseWriter, request *http.Request) {
		if !strings.Contains(request.Header.Get("Prompt-Prefix"), "deadly") {
			respondEvents(1, 3, true)(writer, request)
			return
		}
		sign(writer, request)
		writer.WriteHeader(http.StatusOK)
		writer.(http.Flusher).Flush()
		closeListener()
		panic(http.ErrAbortHandler)
	}, "m")
	closeListener = fixture.closeLast()
}

// TestRequestsWithADeadlyPartDoNotCrashOneTargetAfterTheOther guards against requests that
// crash each target that begins to answer them and are alike in one prompt part only;
// sound requests that share their other parts must go on.
func TestRequestsWithADeadlyPartDoNotCrashOneTargetAfterTheOther(t *testing.T) {
	fixture := newFixture(t)
	for _, id := range []string{"e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7", "e-8"} {
		fixture.addTargetWithDeadlyPart(id)
	}
	send := func(index int, prefix string) *http.Response {
		request := newChatRequest(fixture, "/chat/"+strconv.Itoa(index), "m")
		request.Header.Set("Prompt-Prefix", prefix+":50,own"+strconv.Itoa(index)+":20")
		response, _, _ := fixture.send(request)
		return response
	}
	arrived := func() int {
		count := 0
		for _, request := range fixture.received() {
			if strings.Contains(request.header.Get("Prompt-Prefix"), "deadly") {
				count++
			}
		}
		return count
	}
	if response := send(100, "common:10,rare"); response.StatusCode != http.StatusOK {
		t.Errorf("sound request: got status %d, want 200", response.StatusCode)
	}
	var last *http.Response
	for index := range 7 {
		last = send(index, "common:10,rare:10,deadly")
		// Crashes at the same time count as one.
		time.Sleep(120 * time.Millisecond)
	}
	if count := arrived(); count > 4 || last == nil || last.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %d deadly requests at targets and answer %v to the last, want at most 4 and 503", count, last)
	}
	if response := send(200, "common:10,rare"); response.StatusCode != http.StatusOK {
		t.Errorf("sound request after the crashes: got status %d, want 200", response.StatusCode)
	}
}

// addCrashingTarget adds a target that stops accepting connections once a request runs.
func (fixture *fixture) addCrashingTarget(id string) {
	var closeListener func()
	fixture.addTarget(id, "desk", func(http.ResponseWriter, *http.Request) {
		closeListener()
		panic(http.ErrAbortHandler)
	})
	closeListener = fixture.closeLast()
}

// Callers leave before a long load ends. A request must not be held until then: told to return
// while its model is being loaded, its caller can wait for the rest.
func TestRequestIsNotHeldLongerThanItsCallerStays(t *testing.T) {
	for _, known := range []bool{true, false} {
		fixture := newFixture(t)
		fixture.addTarget("e-1", "llm", respondEvents(1, 1, true))
		if known {
			fixture.loader.expected = map[string]time.Time{"lasting": time.Now().Add(8 * time.Second)}
		}
		response, _, _ := fixture.send(newChatRequest(fixture, "/impatient/", "lasting"))
		if response == nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("expected load known %t: got response %v, want status 503", known, response)
			continue
		}
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil || after < 4 || after > 13.0/3 {
			t.Errorf("expected load known %t: got Retry-After %q, want as late as the caller accepts, 4.3 s", known, response.Header.Get("Retry-After"))
		}
	}
}

// The only target with the model refuses connections. Sending the request there again and again
// helps nobody: it has to wait for the model at another target.
func TestRequestWaitsForItsModelElsewhereIfItsTargetIsDown(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("e-1", "llm", respondEvents(1, 1, true), "m")
	fixture.closeLast()()
	fixture.addTarget("e-2", "llm", respondEvents(1, 1, true))
	fixture.loader.onNeed = func(loading.Need) {
		instance, _ := fixture.targets.View().Instance("e-2")
		instance.Holdings = []mimosatide.Holding{{Model: "m"}}
		fixture.targets.Put(instance)
	}
	response, body, _ := fixture.send(newChatRequest(fixture, "/chat/", "m"))
	if response == nil || response.StatusCode != http.StatusOK {
		t.Errorf("got response %v and body %q, want 200", response, body)
	}
}
