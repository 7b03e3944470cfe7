package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/reading"
)

// newRankedFixture returns a fixture with two routes of different rank to the engines and to the plain service.
// Their requests wait for room for as long as a test needs.
func newRankedFixture(t *testing.T) *fixture {
	t.Helper()
	fixture := newFixture(t)
	var routes []mimosatide.PathRoute
	for _, service := range []string{"llm", "desk"} {
		for priority, name := range []string{"urgent", "draft"} {
			routes = append(routes, mimosatide.PathRoute{
				Name: service + "-" + name, Host: "a.example", Prefix: "/" + service + "-" + name + "/", Kind: mimosatide.StreamRoute,
				Attempts: 1, Timeout: time.Hour, LatencyObjective: time.Hour, EventGapObjective: 200 * time.Millisecond,
				Priority: priority, Services: []mimosatide.ServiceShare{{Service: service, Weight: 1}},
			})
		}
	}
	*fixture.deployment = fixture.deployment.WithRoutes(routes)
	return fixture
}

// start sends a request of 9,000 prompt tokens; its status comes over the returned channel, 0 without a response.
func (fixture *fixture) start(path string) <-chan int {
	request := newChatRequest(fixture, path, "m")
	request.Header.Set("Token-Usage", "9000,20")
	status := make(chan int, 1)
	go func() {
		response, _, _ := fixture.send(request)
		if response == nil {
			status <- 0
			return
		}
		status <- response.StatusCode
	}()
	return status
}

// awaitCount waits until count returns a number.
func awaitCount(t *testing.T, what string, count func() int, want int) {
	t.Helper()
	for started := time.Now(); count() != want; time.Sleep(time.Millisecond) {
		if time.Since(started) > 10*time.Second {
			t.Fatalf("%s: got %d after 10 s, want %d", what, count(), want)
		}
	}
}

func expectStatus(t *testing.T, what string, statuses <-chan int, want int) {
	t.Helper()
	if got := <-statuses; got != want {
		t.Errorf("%s: got status %d, want %d", what, got, want)
	}
}

// holdFirst returns a handler that holds the first request back until release is called.
func holdFirst(handler http.HandlerFunc) (held http.HandlerFunc, release func()) {
	turn, gate := make(chan struct{}, 1), make(chan struct{})
	turn <- struct{}{}
	return func(writer http.ResponseWriter, request *http.Request) {
		select {
		case <-turn:
			<-gate
		default:
		}
		handler(writer, request)
	}, sync.OnceFunc(func() { close(gate) })
}

// TestFreePlaceGoesToTheMostUrgentRequest guards against waiting requests that poll for a place, so that chance
// decides which of them gets it.
func TestFreePlaceGoesToTheMostUrgentRequest(t *testing.T) {
	fixture := newRankedFixture(t)
	handler, release := holdFirst(respondEvents(1, 1, true))
	fixture.addTarget("e-1", "llm", handler, "m")
	t.Cleanup(release)
	fillPrefillSlots(fixture, "e-1")
	draft := fixture.start("/llm-draft/")
	awaitCount(t, "waiting requests", fixture.triage.Waiting, 1)
	urgent := fixture.start("/llm-urgent/")
	awaitCount(t, "waiting requests", fixture.triage.Waiting, 2)
	fixture.tracker.SetPeerLoads("other", nil, time.Now().Add(time.Hour))
	awaitCount(t, "received requests", func() int { return len(fixture.received()) }, 1)
	if path := fixture.received()[0].path; !strings.HasPrefix(path, "/llm-urgent/") {
		t.Errorf("got %s first, want the urgent request", path)
	}
	release()
	expectStatus(t, "urgent request", urgent, http.StatusOK)
	expectStatus(t, "draft", draft, http.StatusOK)
}

// TestLongPromptWaitsForCacheOrAnotherEngine guards against engines that get more tokens than their cache holds and
// preempt running streams, and against requests that wait for one engine while another has room.
func TestLongPromptWaitsForCacheOrAnotherEngine(t *testing.T) {
	fixture := newRankedFixture(t)
	fixture.deployment.Services["llm"].Engine.CacheTokens = 20_000
	fixture.addTarget("e-1", "llm", respondEvents(1, 1, true), "m")
	full := map[string]balance.Load{"e-1": {Running: 5, Tokens: 15_000}}
	fixture.tracker.SetPeerLoads("other", full, time.Now().Add(time.Hour))
	draft := fixture.start("/llm-draft/")
	awaitCount(t, "waiting requests", fixture.triage.Waiting, 1)
	fixture.addTarget("e-2", "llm", respondEvents(1, 1, true), "m")
	expectStatus(t, "with another engine", draft, http.StatusOK)
	if target := fixture.received()[0].target; target != "e-2" {
		t.Errorf("got the draft at %s, want it at e-2", target)
	}
}

// givenTurns gives each prompt its turn at once.
type givenTurns struct{}

func (givenTurns) Await(context.Context, reading.Turn) reading.Outcome { return reading.Given }

// TestFreeCacheIsGivenOnce guards against an engine that gets all waiting prompts once its cache has room for the
// first of them, because those that have got a place and are not in flight yet don't count.
func TestFreeCacheIsGivenOnce(t *testing.T) {
	fixture := newRankedFixture(t)
	fixture.gate.Turns = givenTurns{}
	fixture.deployment.Services["llm"].Engine.CacheTokens = 20_000
	gate := make(chan struct{})
	release := sync.OnceFunc(func() { close(gate) })
	fixture.addTarget("e-1", "llm", func(writer http.ResponseWriter, request *http.Request) {
		<-gate
		respondEvents(1, 1, true)(writer, request)
	}, "m")
	t.Cleanup(release)
	full := map[string]balance.Load{"e-1": {Running: 5, Tokens: 20_000}}
	fixture.tracker.SetPeerLoads("other", full, time.Now().Add(time.Hour))
	var drafts []<-chan int
	for range 6 {
		drafts = append(drafts, fixture.start("/llm-draft/"))
	}
	awaitCount(t, "waiting requests", fixture.triage.Waiting, len(drafts))
	fixture.tracker.SetPeerLoads("other", nil, time.Now().Add(time.Hour))
	awaitCount(t, "received requests", func() int { return len(fixture.received()) }, 2)
	time.Sleep(100 * time.Millisecond)
	if count := len(fixture.received()); count != 2 {
		t.Errorf("got %d requests of 9,020 tokens at an engine with room for 20,000, want 2", count)
	}
	release()
	for _, draft := range drafts {
		expectStatus(t, "draft", draft, http.StatusOK)
	}
}

// TestRequestWithoutHopeIsRefusedAtOnce guards against requests that wait in an engine's queue until their callers
// leave, and against refusals while one engine has room.
func TestRequestWithoutHopeIsRefusedAtOnce(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("e-1", "llm", respondEvents(1, 1, true), "m")
	crowded := map[string]balance.Load{"e-1": {Running: 300, LongPrefills: 300, Prefill: time.Minute}}
	fixture.tracker.SetPeerLoads("other", crowded, time.Now().Add(time.Hour))
	request := newChatRequest(fixture, "/impatient/", "m")
	request.Header.Set("Token-Usage", "9000,20")
	response, _, _ := fixture.send(request)
	if response == nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Fatalf("got response %v, want status 503 and a time to return", response)
	}
	if count := len(fixture.received()); count > 0 {
		t.Errorf("got %d requests sent, want none", count)
	}
	fixture.addTarget("e-2", "llm", respondEvents(1, 1, true), "m")
	expectStatus(t, "with another engine", fixture.start("/impatient/"), http.StatusOK)
}

// TestRequestWaitsForASlotOfAPlainService guards against requests that are sent to targets whose slots this node has
// taken itself, where they wait in order of arrival.
func TestRequestWaitsForASlotOfAPlainService(t *testing.T) {
	fixture := newRankedFixture(t)
	gate := make(chan struct{})
	release := sync.OnceFunc(func() { close(gate) })
	fixture.addTarget("d-1", "desk", func(writer http.ResponseWriter, request *http.Request) {
		<-gate
		respondEvents(1, 1, true)(writer, request)
	})
	t.Cleanup(release)
	var statuses []<-chan int
	for range 6 {
		statuses = append(statuses, fixture.start("/desk-draft/"))
	}
	awaitCount(t, "received requests", func() int { return len(fixture.received()) }, 6)
	statuses = append(statuses, fixture.start("/desk-urgent/"), fixture.start("/desk-draft/"))
	awaitCount(t, "waiting requests", fixture.triage.Waiting, 2)
	release()
	for _, status := range statuses {
		expectStatus(t, "request", status, http.StatusOK)
	}
}

// TestRequestsPollWithoutTriage guards against a node that doesn't serve long prompts when triage is switched off.
func TestRequestsPollWithoutTriage(t *testing.T) {
	fixture := newRankedFixture(t)
	fixture.gate.Triage = nil
	fixture.addTarget("e-1", "llm", respondEvents(1, 1, true), "m")
	fillPrefillSlots(fixture, "e-1")
	draft := fixture.start("/llm-draft/")
	awaitCount(t, "deferred requests", func() int { return fixture.tracker.Loads()["e-1"].Deferred }, 1)
	fixture.tracker.SetPeerLoads("other", nil, time.Now().Add(time.Hour))
	expectStatus(t, "draft", draft, http.StatusOK)
}
