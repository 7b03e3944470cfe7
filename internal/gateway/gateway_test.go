package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/loading"
	"mimosatide.example/mimosatide/internal/registry"
)

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	world := newWorld(t)
	world.target("d-1", "desk", good("the answer"))
	response, body, whole := world.send(world.request(http.MethodGet, "/lookup/x%2Fy?q=1"))
	if response.StatusCode != http.StatusOK || body != "the answer" || !whole ||
		response.Header.Get("Response-Signature") != "signature" || response.Header.Get("Attempt-Id") != "r-1" {
		t.Errorf("status %d, body %q", response.StatusCode, body)
	}
	seen := world.seen()
	if len(seen) != 1 || seen[0].path != "/lookup/x%2Fy?q=1" || seen[0].header.Get("Tenant") != "school" ||
		seen[0].header.Get("Authorization") != "" || seen[0].header.Get("Target-Instance") != "d-1" {
		t.Errorf("arrivals: %+v", seen)
	}
}

func TestRefusalsOfRequestsThatNoRuleAllows(t *testing.T) {
	world := newWorld(t)
	world.target("d-1", "desk", good("x"))
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
		request := world.request(http.MethodGet, each.path)
		each.change(request)
		if response, _, _ := world.send(request); response.StatusCode != each.status {
			t.Errorf("%s: status %d", each.name, response.StatusCode)
		}
	}
	if seen := world.seen(); len(seen) != 0 {
		t.Errorf("a refused request has reached a target: %+v", seen)
	}
}

func TestAccountOverItsRateIsToldWhenToComeBack(t *testing.T) {
	world := newWorld(t)
	world.target("d-1", "desk", good("x"))
	status, after := 0, ""
	for range 2 {
		request := world.request(http.MethodGet, "/lookup/")
		request.Header.Set("Authorization", "Bearer poor")
		response, _, _ := world.send(request)
		status, after = response.StatusCode, response.Header.Get("Retry-After")
	}
	if status != http.StatusTooManyRequests || after == "" {
		t.Errorf("status %d, retry after %q", status, after)
	}
}

func TestIdempotentRequestIsRepeatedAtAnotherTarget(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"broken off": breaking, "failed": failing(http.StatusInternalServerError, false),
		"full": failing(http.StatusServiceUnavailable, true), "misdirected": failing(http.StatusMisdirectedRequest, true),
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
		world := newWorld(t)
		once := make(chan struct{}, 1)
		once <- struct{}{}
		handler := func(writer http.ResponseWriter, request *http.Request) {
			select {
			case <-once:
				first(writer, request)
			default:
				good("second")(writer, request)
			}
		}
		world.target("d-1", "desk", handler)
		world.target("d-2", "desk", handler)
		response, body, _ := world.send(world.request(http.MethodGet, "/lookup/"))
		if response == nil || response.StatusCode != http.StatusOK || body != "second" {
			t.Errorf("%s: response %v, body %q", name, response, body)
		}
		if seen := world.seen(); len(seen) != 2 || seen[0].target == seen[1].target {
			t.Errorf("%s: arrivals %+v", name, seen)
		}
	}
}

func TestNonIdempotentRequestIsSentOnceUnlessItHasNotRun(t *testing.T) {
	cases := []struct {
		name     string
		handler  http.HandlerFunc
		status   int
		arrivals int
	}{
		{"broken off", breaking, http.StatusBadGateway, 1},
		{"failed by its target", failing(http.StatusInternalServerError, false), http.StatusInternalServerError, 1},
		{"unsigned", func(http.ResponseWriter, *http.Request) {}, http.StatusBadGateway, 1},
		{"full everywhere", failing(http.StatusServiceUnavailable, true), http.StatusServiceUnavailable, 2},
	}
	for _, each := range cases {
		world := newWorld(t)
		world.target("d-1", "desk", each.handler)
		world.target("d-2", "desk", each.handler)
		response, _, _ := world.send(world.request(http.MethodPost, "/order/"))
		if response.StatusCode != each.status {
			t.Errorf("%s: status %d", each.name, response.StatusCode)
		}
		if seen := world.seen(); len(seen) != each.arrivals {
			t.Errorf("%s: %d arrivals", each.name, len(seen))
		}
		if each.status == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
			t.Errorf("%s: the caller is not told when to come back", each.name)
		}
	}
}

func TestRequestIsAnsweredByItsRoutesTimeout(t *testing.T) {
	world := newWorld(t)
	ended := make(chan struct{}, 1)
	world.target("d-1", "desk", func(_ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		ended <- struct{}{}
	})
	response, _, _ := world.send(world.request(http.MethodPost, "/short/"))
	if response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d", response.StatusCode)
	}
	<-ended
	if left := world.seen()[0].header.Get("Deadline-Ms"); len(left) != 2 {
		t.Errorf("the target was given %s ms of a timeout of 100 ms", left)
	}
}

func TestCallerWhoLeavesEndsItsRun(t *testing.T) {
	world := newWorld(t)
	ended := make(chan struct{})
	begun := make(chan struct{})
	world.target("d-1", "desk", func(_ http.ResponseWriter, request *http.Request) {
		close(begun)
		<-request.Context().Done()
		close(ended)
	})
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-begun
		leave()
	}()
	world.send(world.request(http.MethodGet, "/lookup/").WithContext(ctx))
	<-ended
}

func chat(world *world, path, model string) *http.Request {
	request := world.request(http.MethodPost, path)
	request.Header.Set("Model", model)
	request.Header.Set("Token-Usage", "100,20")
	return request
}

func TestStreamIsPassedOnWhole(t *testing.T) {
	world := newWorld(t)
	world.target("e-1", "llm", events(1, 3, true), "m")
	response, body, whole := world.send(chat(world, "/chat/", "m"))
	if response.StatusCode != http.StatusOK || !whole || strings.Count(body, "data: piece") != 3 {
		t.Errorf("status %d, whole %v, body %q", response.StatusCode, whole, body)
	}
}

func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	world := newWorld(t)
	world.target("e-1", "llm", events(1, 2, false), "m")
	world.target("e-2", "llm", events(1, 2, false), "m")
	_, body, whole := world.send(chat(world, "/chat/", "m"))
	if whole || strings.Contains(body, "a part of") || len(world.seen()) != 1 {
		t.Errorf("whole %v, body %q, %d arrivals", whole, body, len(world.seen()))
	}
}

func TestResumableStreamGoesOnBehindItsLastEvent(t *testing.T) {
	world := newWorld(t)
	handler := func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Last-Event-Id") == "2" {
			events(3, 5, true)(writer, request)
			return
		}
		events(1, 2, false)(writer, request)
	}
	world.target("e-1", "llm", handler, "m")
	world.target("e-2", "llm", handler, "m")
	_, body, whole := world.send(chat(world, "/resumable/", "m"))
	want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"
	if !whole || body != want {
		t.Errorf("whole %v, body %q", whole, body)
	}
}

func TestRequestWaitsForItsModel(t *testing.T) {
	world := newWorld(t)
	world.target("e-1", "llm", events(1, 1, true))
	world.loader.meet = func(need loading.Need) {
		instance := world.targets.View().Service("llm")[0]
		instance.Holdings = []mimosatide.Holding{{Model: need.Model}}
		world.targets.Put(instance)
	}
	if response, _, _ := world.send(chat(world, "/chat/", "m")); response.StatusCode != http.StatusOK {
		t.Errorf("status %d", response.StatusCode)
	}
}

func TestRequestWaitsWhenItsTargetLacksTheModelAfterAll(t *testing.T) {
	world := newWorld(t)
	var loaded atomic.Bool
	world.target("e-1", "llm", func(writer http.ResponseWriter, request *http.Request) {
		if !loaded.Load() {
			failing(http.StatusMisdirectedRequest, true)(writer, request)
			return
		}
		events(1, 1, true)(writer, request)
	}, "m")
	world.loader.meet = func(need loading.Need) {
		loaded.Store(true)
		world.targets.Place(registry.Placement{Instance: "e-1", Holdings: []mimosatide.Holding{{Model: need.Model}}})
	}
	response, _, _ := world.send(chat(world, "/chat/", "m"))
	if response == nil || response.StatusCode != http.StatusOK || len(world.seen()) != 2 {
		t.Errorf("response %v after %d arrivals", response, len(world.seen()))
	}
}

func TestRequestWhoseModelCannotBeLoadedInTimeIsRefusedAtOnce(t *testing.T) {
	world := newWorld(t)
	world.target("e-1", "llm", events(1, 1, true))
	response, _, _ := world.send(chat(world, "/chat/", "slow"))
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d", response.StatusCode)
	}
	world.loader.lock.Lock()
	defer world.loader.lock.Unlock()
	if len(world.loader.needs) != 1 {
		t.Errorf("%d needs: the model should be there when the caller comes back", len(world.loader.needs))
	}
}

func TestRequestThatWaitsIsRefusedBeforeItsNodeEnds(t *testing.T) {
	world := newWorld(t)
	world.target("e-1", "llm", events(1, 1, true))
	waits := make(chan struct{}, 100)
	world.loader.meet = func(loading.Need) { waits <- struct{}{} }
	go func() {
		<-waits
		close(world.drain)
	}()
	response, body, _ := world.send(chat(world, "/chat/", "m"))
	if response == nil || response.StatusCode != http.StatusServiceUnavailable || !strings.HasPrefix(body, "Draining") {
		t.Errorf("response %v, body %q", response, body)
	}
	if response.Header.Get("Retry-After") == "" {
		t.Error("the caller is not told when to come back")
	}
}

func TestRequestThatCrashesItsTargetsIsStopped(t *testing.T) {
	world := newWorld(t)
	for _, id := range []string{"d-1", "d-2", "d-3", "d-4"} {
		world.crashing(id)
	}
	var last *http.Response
	for range 4 {
		last, _, _ = world.send(world.request(http.MethodPost, "/order/"))
		time.Sleep(50 * time.Millisecond)
	}
	if count := len(world.seen()); count > 2 {
		t.Errorf("the request has crashed %d targets", count)
	}
	if last.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d", last.StatusCode)
	}
}

// crashing adds a target that ends for good when a request begins to run.
func (world *world) crashing(id string) {
	var stop func()
	world.target(id, "desk", func(http.ResponseWriter, *http.Request) {
		stop()
		panic(http.ErrAbortHandler)
	})
	stop = world.stopLast()
}
