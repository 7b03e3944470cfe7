package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/pace"
)

// TestOnlySuccessfulAnswersTellTheTargetsPace guards against slow targets whose answers nobody
// compares, and against the pace of errors and of whole answers of engines.
func TestOnlySuccessfulAnswersTellTheTargetsPace(t *testing.T) {
	late := func(handler http.HandlerFunc) http.HandlerFunc {
		return func(writer http.ResponseWriter, request *http.Request) {
			time.Sleep(100 * time.Millisecond)
			handler(writer, request)
		}
	}
	for name, test := range map[string]struct {
		service, path string
		handler       http.HandlerFunc
		slow          bool
	}{
		"plain answer":            {service: "desk", path: "/order/1", handler: respond("done"), slow: true},
		"error of a plain target": {service: "desk", path: "/order/1", handler: respondStatus(http.StatusInternalServerError, false)},
		"first event":             {service: "llm", path: "/chat/1", handler: respondEvents(1, 3, true), slow: true},
		"error of an engine":      {service: "llm", path: "/chat/1", handler: respondStatus(http.StatusInternalServerError, false)},
	} {
		fixture := newFixture(t)
		fixture.addTarget("t", test.service, late(test.handler), "m")
		now := time.Now()
		for _, id := range []string{"u", "v", "w"} {
			fixture.paces.Observe(pace.Target{ID: id, Service: test.service}, 50*time.Millisecond, 50*time.Millisecond, now)
		}
		for range 3 {
			request := fixture.newRequest(http.MethodPost, test.path)
			request.Header.Set("Model", "m")
			fixture.send(request)
		}
		factor := fixture.paces.Factor(pace.Target{ID: "t", Service: test.service}, time.Now())
		if got := len(fixture.received()); got != 3 || (factor > 1) != test.slow {
			t.Errorf("%s: got %d requests at the target and factor %v, want 3 and slow: %v", name, got, factor, test.slow)
		}
	}
}
