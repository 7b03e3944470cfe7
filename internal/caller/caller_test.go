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

// recorder notes what would go on to a target.
type recorder struct {
	requests []dispatch.Request
}

func (seen *recorder) RunModel(_ context.Context, request dispatch.Request, onEvent func(mimosatide.Event) error) dispatch.Result {
	seen.requests = append(seen.requests, request)
	for index := range 3 {
		_ = onEvent(mimosatide.Event{Index: index + 1, Data: []byte(`{"choices":[{"delta":{"content":"x"},"finish_reason":"stop"}]}`)})
	}
	_ = onEvent(mimosatide.Event{Last: true, Data: []byte("[DONE]")})
	return dispatch.Result{Answer: mimosatide.Answer{Status: 200}}
}

func (seen *recorder) RunRoute(_ context.Context, request dispatch.Request) dispatch.Result {
	seen.requests = append(seen.requests, request)
	return dispatch.Result{Answer: mimosatide.Answer{Status: 200, Body: []byte("done")}}
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
	seen := &recorder{}
	ids := 0
	made := caller.New(caller.Settings{MaxBody: 4096, MaxHeader: 2048}, mimosatide.NewMonotonicClock(), store, seen, meter, func() string {
		ids++
		return fmt.Sprint("request-", ids)
	})
	options := config.NewOptions([]config.Option{server.WithHandleMethodNotAllowed(true)})
	engine := route.NewEngine(options)
	made.Register(engine)
	return engine, seen
}

func perform(engine *route.Engine, method, path, body string, headers ...ut.Header) *ut.ResponseRecorder {
	return ut.PerformRequest(engine, method, path, &ut.Body{Body: strings.NewReader(body), Len: len(body)}, headers...)
}

var withKey = ut.Header{Key: "Authorization", Value: "Bearer " + key}

const chat = `{"model":"translate","messages":[{"role":"user","content":"hello"}]}`

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
	for _, bad := range cases {
		t.Run(bad.name, func(t *testing.T) {
			engine, seen := newEngine(t)
			answer := perform(engine, bad.method, bad.path, bad.body, bad.headers...).Result()
			if answer.StatusCode() != bad.status || !bytes.Contains(answer.Body(), []byte(`"code":"`+bad.reason+`"`)) {
				t.Errorf("status %d, %s", answer.StatusCode(), answer.Body())
			}
			if run := answer.Header.Get("Mimosatide-Run"); run != "NotRun" {
				t.Errorf("run %q", run)
			}
			if len(seen.requests) != 0 {
				t.Errorf("forwarded: %+v", seen.requests)
			}
			if again := perform(engine, "POST", "/v1/chat/completions", chat, withKey).Result(); again.StatusCode() != 200 {
				t.Errorf("a good request afterwards: status %d", again.StatusCode())
			}
		})
	}
}

// TestNoKeyReachesATarget sends keys in every place of a request.
func TestNoKeyReachesATarget(t *testing.T) {
	engine, seen := newEngine(t)
	headers := []ut.Header{withKey, {Key: "Cookie", Value: "session=" + key}, {Key: "X-Note", Value: key}, {Key: "Content-Type", Value: "text/plain"}}
	perform(engine, "POST", "/services/orders/buy?api_key="+key+"&item=7", "two stamps", headers...)
	perform(engine, "POST", "/v1/chat/completions?key="+key, chat, headers...)
	perform(engine, "GET", "/services/lookups/1?access_token="+key, "", withKey)
	if len(seen.requests) != 3 {
		t.Fatalf("%d requests were forwarded", len(seen.requests))
	}
	for _, request := range seen.requests {
		passed := fmt.Sprint(request.Path, request.Headers, string(request.Body))
		if strings.Contains(passed, key) || strings.Contains(passed, "session") {
			t.Errorf("a target would see %s", passed)
		}
	}
	if !strings.Contains(seen.requests[0].Path, "item=7") {
		t.Errorf("the query was lost: %s", seen.requests[0].Path)
	}
}

func TestWholeAnswerIsPutTogether(t *testing.T) {
	engine, _ := newEngine(t)
	answer := perform(engine, "POST", "/v1/chat/completions", chat, withKey).Result()
	for _, part := range []string{`"content":"xxx"`, `"finish_reason":"stop"`, `"completion_tokens":3`} {
		if !bytes.Contains(answer.Body(), []byte(part)) {
			t.Errorf("no %s in %s", part, answer.Body())
		}
	}
}
