package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/allowance"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/exchange"
	"mimosatide.example/mimosatide/internal/gateway"
	"mimosatide.example/mimosatide/internal/loading"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/internal/registry"
)

// arrival is a request as a target has seen it.
type arrival struct {
	target string
	header http.Header
	method string
	path   string
}

// world is a gateway with targets that answer as the test tells them.
type world struct {
	t       *testing.T
	server  *httptest.Server
	targets *registry.Registry
	tracker *balance.Tracker
	ledger  *allowance.Ledger
	loader  *fakeLoader
	// drain tells the gateway that its process ends.
	drain chan struct{}

	lock     sync.Mutex
	arrivals []arrival
	last     *httptest.Server
}

// fakeLoader records needs and may meet them.
type fakeLoader struct {
	lock  sync.Mutex
	needs []loading.Need
	meet  func(need loading.Need)
}

func (loader *fakeLoader) Need(need loading.Need) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	loader.needs = append(loader.needs, need)
	if loader.meet != nil {
		go loader.meet(need)
	}
}

func (loader *fakeLoader) Use(string, string, time.Duration) {}

func (loader *fakeLoader) UseAdapter(string, loading.AdapterAt) func() { return func() {} }

func newWorld(t *testing.T) *world {
	t.Helper()
	created := &world{
		t:       t,
		targets: registry.New(logr.Discard()),
		tracker: balance.New("a"),
		ledger:  allowance.New(true),
		loader:  &fakeLoader{},
		drain:   make(chan struct{}),
	}
	deployment := testDeployment()
	gate := gateway.New(gateway.Parts{
		Deployment: func() *mimosatide.Deployment { return deployment },
		Targets:    created.targets,
		Tracker:    created.tracker,
		Ledger:     created.ledger,
		Exchange:   exchange.New(&net.Dialer{}),
		Loader:     created.loader,
		Repeats:    gateway.NewRepeats(0.2, 56),
		Suspects:   gateway.NewSuspects(),
		Meter:      metric.New(),
		Draining:   created.drain,
	}, logr.Discard())
	created.server = httptest.NewServer(gate)
	t.Cleanup(created.server.Close)
	return created
}

func testDeployment() *mimosatide.Deployment {
	route := func(name string, kind mimosatide.RouteKind, service string, attempts int, timeout time.Duration) mimosatide.PathRoute {
		return mimosatide.PathRoute{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: kind, Attempts: attempts, Timeout: timeout,
			Services: []mimosatide.ServiceShare{{Service: service, Weight: 1}},
		}
	}
	resumable := route("resumable", mimosatide.StreamRoute, "llm", 2, 2*time.Second)
	resumable.Resumable = true
	patient := route("patient", mimosatide.StreamRoute, "llm", 1, time.Hour)
	patient.LatencyObjective = time.Hour
	patient.EventGapObjective = 500 * time.Millisecond
	deployment := mimosatide.Deployment{
		Version: 3,
		Services: map[string]mimosatide.Service{
			"desk": {Name: "desk"},
			"llm": {Name: "llm", Engine: &mimosatide.EngineClass{
				MemoryMB: 200, AdapterSlots: 2,
				Models: map[string]mimosatide.EngineModel{
					"m":    {Name: "m", MemoryMB: 70, LoadTime: time.Second, WarmLoadTime: 50 * time.Millisecond, DiskLoadTime: 50 * time.Millisecond},
					"slow": {Name: "slow", MemoryMB: 70, LoadTime: time.Hour, WarmLoadTime: time.Hour, DiskLoadTime: time.Hour},
				},
			}},
		},
		Accounts: map[string]mimosatide.AccountLimit{
			"school": {Account: mimosatide.Account{Name: "school"}, TokensPerCall: 1},
			"poor":   {Account: mimosatide.Account{Name: "poor", Rate: 1, Burst: 1}, TokensPerCall: 1},
		},
		AccountOfKey: map[string]string{"good": "school", "poor": "poor"},
		Limits:       mimosatide.CallerLimits{BodyBytes: 1000},
	}.WithRoutes([]mimosatide.PathRoute{
		route("lookup", mimosatide.IdempotentRoute, "desk", 2, time.Second),
		route("order", mimosatide.NonIdempotentRoute, "desk", 2, time.Second),
		route("short", mimosatide.NonIdempotentRoute, "desk", 1, 100*time.Millisecond),
		route("chat", mimosatide.StreamRoute, "llm", 1, 2*time.Second),
		resumable,
		patient,
	})
	return &deployment
}

// target adds a target that answers by the given handler.
func (world *world) target(id, service string, handler http.HandlerFunc, models ...string) {
	world.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		world.lock.Lock()
		world.arrivals = append(world.arrivals, arrival{
			target: id, header: request.Header, method: request.Method, path: request.RequestURI,
		})
		world.lock.Unlock()
		handler(writer, request)
	}))
	world.t.Cleanup(server.Close)
	world.last = server
	instance := mimosatide.Instance{
		ID: id, Service: service, Address: strings.TrimPrefix(server.URL, "http://"), Zone: "a", Slots: 6,
	}
	for _, model := range models {
		instance.Holdings = append(instance.Holdings, mimosatide.Holding{Model: model})
	}
	world.targets.Put(instance)
}

// stopLast returns a function that ends the target that was added last.
func (world *world) stopLast() func() {
	server := world.last
	return func() { _ = server.Listener.Close() }
}

func (world *world) seen() []arrival {
	world.lock.Lock()
	defer world.lock.Unlock()
	return append([]arrival{}, world.arrivals...)
}

// request is a caller's request with a good key and an id.
func (world *world) request(method, path string) *http.Request {
	world.t.Helper()
	request, err := http.NewRequest(method, world.server.URL+path, nil)
	if err != nil {
		world.t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", "r-1")
	request.Header.Set("Authorization", "Bearer good")
	return request
}

// send returns the answer, its body, and whether the whole of it arrived.
func (world *world) send(request *http.Request) (*http.Response, string, bool) {
	world.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, "", false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err == nil
}

// good answers as a sound target does.
func good(body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		sign(writer, request)
		_, _ = fmt.Fprint(writer, body)
	}
}

func sign(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	writer.Header().Set("Response-Signature", "signature")
}

// failing answers with a failure of the target's own.
func failing(status int, notRun bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		sign(writer, request)
		if notRun {
			writer.Header().Set("Not-Executed", "1")
		}
		writer.WriteHeader(status)
	}
}

// breaking breaks off without an answer.
func breaking(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// events sends the events from first to last and then breaks off or ends.
func events(first, last int, whole bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		sign(writer, request)
		writer.Header().Set("Content-Type", "text/event-stream")
		for id := first; id <= last; id++ {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", id, id)
			writer.(http.Flusher).Flush()
		}
		if !whole {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: a part of", last+1)
			writer.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}
