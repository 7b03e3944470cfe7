package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/pace"
)

// TestRequestThatHangsIsMovedUnlessItMayRunOnce guards against requests that wait at a stalled target until
// their callers leave, and against a second run of an order or of a stream that has reached its caller. The first
// target to be reached stalls, the other one answers.
func TestRequestThatHangsIsMovedUnlessItMayRunOnce(t *testing.T) {
	untilLeft := func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
	head := func(writer http.ResponseWriter, request *http.Request) {
		respondEvents(1, 0, true)(writer, request)
		writer.(http.Flusher).Flush()
		untilLeft(writer, request)
	}
	event := func(writer http.ResponseWriter, request *http.Request) {
		respondEvents(1, 1, true)(writer, request)
		untilLeft(writer, request)
	}
	for name, test := range map[string]struct {
		kind      mimosatide.RouteKind
		service   string
		attempts  int
		objective time.Duration
		stalls    http.HandlerFunc
		single    bool
		moved     bool
	}{
		"lookup":                       {kind: mimosatide.IdempotentRoute, service: "desk", attempts: 2, objective: time.Millisecond, stalls: untilLeft, moved: true},
		"stream without a head":        {kind: mimosatide.StreamRoute, service: "llm", attempts: 2, objective: time.Millisecond, stalls: untilLeft, moved: true},
		"stream without an event":      {kind: mimosatide.StreamRoute, service: "llm", attempts: 2, objective: time.Millisecond, stalls: head, moved: true},
		"stream with an event":         {kind: mimosatide.StreamRoute, service: "llm", attempts: 2, objective: time.Millisecond, stalls: event},
		"order":                        {kind: mimosatide.NonIdempotentRoute, service: "desk", attempts: 2, objective: time.Millisecond, stalls: untilLeft},
		"lookup that may run once":     {kind: mimosatide.IdempotentRoute, service: "desk", attempts: 1, objective: time.Millisecond, stalls: untilLeft},
		"lookup before its objective":  {kind: mimosatide.IdempotentRoute, service: "desk", attempts: 2, objective: time.Hour, stalls: untilLeft},
		"lookup without other targets": {kind: mimosatide.IdempotentRoute, service: "desk", attempts: 2, objective: time.Millisecond, stalls: untilLeft, single: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixture := newFixture(t)
			timeout := time.Second
			if test.moved {
				timeout = 20 * time.Second
			}
			*fixture.deployment = fixture.deployment.WithRoutes([]mimosatide.PathRoute{{
				Name: "r", Host: "a.example", Prefix: "/r/", Kind: test.kind, Resumable: test.kind == mimosatide.StreamRoute,
				Attempts: test.attempts, Timeout: timeout, LatencyObjective: test.objective,
				Services: []mimosatide.ServiceShare{{Service: test.service, Weight: 1}},
			}})
			fixture.paces.Observe(pace.Target{ID: "u", Service: test.service}, pace.Floor, 2*pace.Floor, time.Now())
			var reached atomic.Int32
			answer := respond("done")
			if test.service == "llm" {
				answer = respondEvents(1, 2, true)
			}
			handler := func(writer http.ResponseWriter, request *http.Request) {
				if reached.Add(1) == 1 {
					test.stalls(writer, request)
					return
				}
				answer(writer, request)
			}
			fixture.addTarget("t-1", test.service, handler, "m")
			if !test.single {
				fixture.addTarget("t-2", test.service, handler, "m")
			}
			request := fixture.newRequest(http.MethodPost, "/r/1")
			request.Header.Set("Model", "m")
			response, _, whole := fixture.send(request)
			served := whole && response.StatusCode == http.StatusOK
			received := fixture.received()
			if served != test.moved || (len(received) == 2) != test.moved {
				t.Fatalf("got served: %v and %d requests at targets, want %v and a second one only if it is moved", served, len(received), test.moved)
			}
			if test.moved && received[0].target == received[1].target {
				t.Errorf("got both requests at target %s, want the second one elsewhere", received[0].target)
			}
		})
	}
}
