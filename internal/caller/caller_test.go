package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/ut"
	"github.com/cloudwego/hertz/pkg/route"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/caller"
	"mimosatide.example/mimosatide/internal/configuration"
	"mimosatide.example/mimosatide/internal/dispatch"
	"mimosatide.example/mimosatide/internal/metric"
)

const key = "sk-the-key-of-the-schools"

// recorder is a Dispatcher that records the requests it is given.
type recorder struct {
	requests []dispatch.Request
	// status is that of the answers; zero means 200.
	status int
}

func (recorded *recorder) RunModel(_ context.Context, request dispatch.Request, onEvent func(mimosatide.Event) error) dispatch.Result {
	recorded.requests = append(recorded.requests, request)
	if recorded.status != 0 {
		return dispatch.Result{Answer: mimosatide.Answer{Status: recorded.status, Body: []byte("busy")}}
	}
	for index := range 3 {
		_ = onEvent(mimosatide.Event{Index: index + 1, Data: []byte(`{"choices":[{"delta":{"content":"x"},"finish_reason":"stop"}]}`)})
	}
	_ = onEvent(mimosatide.Event{Last: true, Data: []byte("[DONE]")})
	return dispatch.Result{Answer: mimosatide.Answer{Status: 200}}
}

func (recorded *recorder) RunRoute(_ context.Context, request dispatch.Request) dispatch.Result {
	recorded.requests = append(recorded.requests, request)
	status := 200
	if recorded.status != 0 {
		status = recorded.status
	}
	return dispatch.Result{Answer: mimosatide.Answer{Status: status, Body: []byte("done")}}
}

func newEngine(t *testing.T) (*route.Engine, *recorder) {
	t.Helper()
	change := func(section configuration.Section, name, value string) configuration.Change {
		return configuration.Change{Section: section, Name: name, Value: []byte(value)}
	}
	store := configuration.NewStore()
	err := store.Apply(1, []configuration.Change{
		change(configuration.AccountSection, "schools", `{"RateTokensPerSecond":1000,"BurstTokens":2000,"Weight":1}`),
		change(configuration.KeySection, string(mimosatide.DigestKey(key)), `{"Account":"schools"}`),
		change(configuration.ModelSection, "translate",
			`{"Version":"1","MemoryBytes":1,"LoadTime":"1s","WaitLimit":"1s","MaxReplicas":1,"Concurrency":1}`),
		change(configuration.RouteSection, "orders", `{"WaitLimit":"1s","Targets":["s"]}`),
		change(configuration.RouteSection, "lookups", `{"Open":true,"Idempotent":true,"WaitLimit":"1s","Targets":["s"]}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	meter := metric.New()
	t.Cleanup(func() { _ = meter.Close() })
	recorded := &recorder{}
	ids := 0
	handlers := caller.New(caller.Settings{MaxBody: 4096, MaxHeader: 2048}, mimosatide.NewMonotonicClock(), store, recorded, meter, func() string {
		ids++
		return fmt.Sprint("request-", ids)
	})
	options := config.NewOptions([]config.Option{server.WithHandleMethodNotAllowed(true)})
	engine := route.NewEngine(options)
	handlers.Register(engine)
	return engine, recorded
}

func perform(engine *route.Engine, method, path, body string, headers ...ut.Header) *ut.ResponseRecorder {
	return ut.PerformRequest(engine, method, path, &ut.Body{Body: strings.NewReader(body), Len: len(body)}, headers...)
}

var withKey = ut.Header{Key: "Authorization", Value: "Bearer " + key}

const chat = `{"model":"translate","messages":[{"role":"user","content":"hello"}]}`

// TestBadInputIsRefusedAndNotForwarded sends one invalid request of each kind. It must be
// refused with its reason before it reaches the dispatcher, and the server must go on to
// serve valid requests.
func TestBadInputIsRefusedAndNotForwarded(t *testing.T) {
	cases := []struct {
		name, method, path, body, reason string
		status                           int
		headers                          []ut.Header
	}{
		{"malformed JSON", "POST", "/v1/chat/completions", "{", "Malformed", 400, []ut.Header{withKey}},
		{"no prompt", "POST", "/v1/completions", `{"model":"translate"}`, "Malformed", 400, []ut.Header{withKey}},
		{"model not a name", "POST", "/v1/completions", `{"model":7,"prompt":"x"}`, "Malformed", 400, []ut.Header{withKey}},
		{"no key", "POST", "/v1/chat/completions", chat, "NoKey", 401, nil},
		{"two keys", "POST", "/v1/chat/completions", chat, "TwoKeys", 401, []ut.Header{withKey, {Key: "X-Api-Key", Value: "sk-2"}}},
		{"unknown key", "POST", "/v1/chat/completions", chat, "UnknownKey", 401, []ut.Header{{Key: "Authorization", Value: "Bearer sk-9"}}},
		{"unknown model", "POST", "/v1/chat/completions", strings.Replace(chat, "translate", "poems", 1), "UnknownModel", 404, []ut.Header{withKey}},
		{"unknown adapter", "POST", "/v1/chat/completions", strings.Replace(chat, "translate", "translate:x", 1), "UnknownModel", 404, []ut.Header{withKey}},
		{"negative tokens", "POST", "/v1/completions", `{"model":"translate","prompt":"x","max_tokens":-1}`, "BadTokenCount", 400, []ut.Header{withKey}},
		{"tokens as text", "POST", "/v1/completions", `{"model":"translate","prompt":"x","max_tokens":"many"}`, "BadTokenCount", 400, []ut.Header{withKey}},
		{"oversized body", "POST", "/v1/chat/completions", strings.Repeat("x", 5000), "TooLarge", 413, []ut.Header{withKey}},
		{"unknown route", "GET", "/services/parcels/1", "", "UnknownRoute", 404, []ut.Header{withKey}},
		{"unknown path", "GET", "/v2/models", "", "UnknownRoute", 404, []ut.Header{withKey}},
		{"wrong method", "DELETE", "/v1/chat/completions", "", "WrongMethod", 405, []ut.Header{withKey}},
		{"route without its key", "POST", "/services/orders/buy", "x", "NoKey", 401, nil},
		{"key in the body", "POST", "/services/orders/buy", "my key is " + key, "Malformed", 400, []ut.Header{withKey}},
		{"key in the path", "GET", "/services/orders/" + key, "", "Malformed", 400, []ut.Header{withKey}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			engine, recorded := newEngine(t)
			answer := perform(engine, test.method, test.path, test.body, test.headers...).Result()
			if answer.StatusCode() != test.status || !bytes.Contains(answer.Body(), []byte(`"code":"`+test.reason+`"`)) {
				t.Errorf("got status %d and body %s, want %d and code %s", answer.StatusCode(), answer.Body(), test.status, test.reason)
			}
			if run := answer.Header.Get("Mimosatide-Run"); run != "NotRun" {
				t.Errorf("got run state %q, want NotRun", run)
			}
			if len(recorded.requests) != 0 {
				t.Errorf("got forwarded requests %+v, want none", recorded.requests)
			}
			if again := perform(engine, "POST", "/v1/chat/completions", chat, withKey).Result(); again.StatusCode() != 200 {
				t.Errorf("valid request afterwards: got status %d, want 200", again.StatusCode())
			}
		})
	}
}

// TestNoKeyReachesATarget sends keys in headers, cookies and query parameters. None
// of them may be forwarded.
func TestNoKeyReachesATarget(t *testing.T) {
	engine, recorded := newEngine(t)
	headers := []ut.Header{withKey, {Key: "Cookie", Value: "session=" + key}, {Key: "X-Note", Value: key}, {Key: "Content-Type", Value: "text/plain"}}
	perform(engine, "POST", "/services/orders/buy?api_key="+key+"&item=7", "two stamps", headers...)
	perform(engine, "POST", "/v1/chat/completions?key="+key, chat, headers...)
	perform(engine, "GET", "/services/lookups/1?access_token="+key, "", withKey)
	if len(recorded.requests) != 3 {
		t.Fatalf("got %d forwarded requests, want 3", len(recorded.requests))
	}
	for _, request := range recorded.requests {
		forwarded := fmt.Sprint(request.Path, request.Headers, string(request.Body))
		if strings.Contains(forwarded, key) || strings.Contains(forwarded, "session") {
			t.Errorf("forwarded request holds the key or a cookie: %s", forwarded)
		}
	}
	if !strings.Contains(recorded.requests[0].Path, "item=7") {
		t.Errorf("got path %s, want the query parameter item=7 to be kept", recorded.requests[0].Path)
	}
}

// TestEventsAreCombinedIntoOneAnswer sends a request that does not ask for a stream.
// Engines are always asked for one, so its events must become a single answer.
func TestEventsAreCombinedIntoOneAnswer(t *testing.T) {
	engine, _ := newEngine(t)
	answer := perform(engine, "POST", "/v1/chat/completions", chat, withKey).Result()
	for _, part := range []string{`"content":"xxx"`, `"finish_reason":"stop"`, `"completion_tokens":3`} {
		if !bytes.Contains(answer.Body(), []byte(part)) {
			t.Errorf("got body %s, want it to contain %s", answer.Body(), part)
		}
	}
}

// TestTargetsOwnStatusIsNoRefusal guards against a run state beside an answer of a target,
// which says nothing about whether the request has run.
func TestTargetsOwnStatusIsNoRefusal(t *testing.T) {
	for _, status := range []int{408, 409, 421, 429, 500, 503} {
		for path, body := range map[string]string{"/services/orders/buy": "x", "/v1/chat/completions": chat} {
			engine, recorded := newEngine(t)
			recorded.status = status
			answer := perform(engine, "POST", path, body, withKey).Result()
			if run := answer.Header.Get("Mimosatide-Run"); run != "" || answer.StatusCode() != status {
				t.Errorf("%s answered with %d by its target: got status %d and run state %q, want the status and none", path, status, answer.StatusCode(), run)
			}
		}
	}
}
