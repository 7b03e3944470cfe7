package gateway_test

import (
	"context"
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
	"mimosatide.example/mimosatide/internal/buffer"
	"mimosatide.example/mimosatide/internal/exchange"
	"mimosatide.example/mimosatide/internal/gateway"
	"mimosatide.example/mimosatide/internal/intake"
	"mimosatide.example/mimosatide/internal/loading"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/internal/origin"
	"mimosatide.example/mimosatide/internal/pace"
	"mimosatide.example/mimosatide/internal/permit"
	"mimosatide.example/mimosatide/internal/quarantine"
	"mimosatide.example/mimosatide/internal/registry"
	"mimosatide.example/mimosatide/internal/triage"
)

// answerMemory is the memory for buffered answers, in bytes.
const answerMemory = 16 << 20

// requestMemory is the memory for callers' requests, in bytes.
const requestMemory = 1 << 20

// maxBody is the size of the largest body of a request.
const maxBody = 100_000

// receivedRequest is a request as it arrived at a target.
type receivedRequest struct {
	target string
	header http.Header
	method string
	path   string
}

// fixture is a gateway with targets whose answers the test determines.
type fixture struct {
	t      *testing.T
	server *httptest.Server
	// deployment is the configuration in force. A test may change it before its first request.
	deployment *mimosatide.Deployment
	targets    *registry.Registry
	tracker    *balance.Tracker
	paces      *pace.Tracker
	ledger     *allowance.Ledger
	limits     *permit.Limits
	loader     *fakeLoader
	origins    *fakeOrigins
	engines    *fakeEngines
	answers    *buffer.Budget
	intake     *intake.Budget
	// triage holds the waiting requests, gate is the gateway.
	triage *triage.Queues
	gate   *gateway.Gateway
	// draining is closed to make the gateway refuse waiting requests.
	draining chan struct{}
	// age is the age of the gateway's copy of the configuration.
	age time.Duration

	lock     sync.Mutex
	requests []receivedRequest
	// last is the target that was added last.
	last *httptest.Server
}

// fakeLoader records load requests and passes each to onNeed, if that is set.
type fakeLoader struct {
	lock   sync.Mutex
	needs  []loading.Need
	onNeed func(need loading.Need)
	// expected is when models are expected to be loaded.
	expected map[string]time.Time
}

func (loader *fakeLoader) AddNeed(need loading.Need, _ bool) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	loader.needs = append(loader.needs, need)
	if loader.onNeed != nil {
		go loader.onNeed(need)
	}
}

func (loader *fakeLoader) ExpectedLoad(_, model string) (time.Time, bool) {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	at, known := loader.expected[model]
	return at, known
}

func (loader *fakeLoader) RecordUsage(string, string, time.Duration) {}

func (loader *fakeLoader) UseAdapter(string, loading.AdapterAt) func() { return func() {} }

// fakeOrigins knows the versions that began the streams of other nodes, and records those of this one.
type fakeOrigins struct {
	lock  sync.Mutex
	known map[string]string
	sent  map[string]string
	// streams are those that were sent, withdrawn those whose targets have reported another incarnation.
	streams   []origin.Stream
	withdrawn map[string]bool
	// onFind is called at the begin of Find.
	onFind func()
}

func (origins *fakeOrigins) MayBegin(_, software string) bool { return software != "not named" }

func (origins *fakeOrigins) Send(stream origin.Stream) {
	origins.lock.Lock()
	defer origins.lock.Unlock()
	origins.sent[stream.ID] = stream.Software
	origins.streams = append(origins.streams, stream)
}

func (origins *fakeOrigins) Reported(_ context.Context, target string, born time.Time) {
	origins.lock.Lock()
	defer origins.lock.Unlock()
	for _, stream := range origins.streams {
		if stream.Target == target && born.After(stream.Born) {
			origins.withdrawn[stream.ID] = true
			delete(origins.known, stream.ID)
		}
	}
}

func (origins *fakeOrigins) Stands(id string) bool {
	origins.lock.Lock()
	defer origins.lock.Unlock()
	return !origins.withdrawn[id]
}

func (origins *fakeOrigins) Begin(id string) {
	origins.lock.Lock()
	defer origins.lock.Unlock()
	origins.known[id] = origins.sent[id]
}

func (origins *fakeOrigins) End(id string) {
	origins.lock.Lock()
	defer origins.lock.Unlock()
	delete(origins.known, id)
}

func (origins *fakeOrigins) Find(_ context.Context, _, id string) (string, bool) {
	if origins.onFind != nil {
		origins.onFind()
	}
	origins.lock.Lock()
	defer origins.lock.Unlock()
	software, known := origins.known[id]
	return software, known
}

func (origins *fakeOrigins) Continues(_, software string) bool { return software != "disputed" }

// fakeEngines reports the incarnations that the registry knows, but for those in born.
type fakeEngines struct {
	lock sync.Mutex
	born map[string]time.Time
}

func (engines *fakeEngines) Report(_ context.Context, instance mimosatide.Instance) (mimosatide.InstanceReport, error) {
	engines.lock.Lock()
	defer engines.lock.Unlock()
	if born, found := engines.born[instance.ID]; found {
		return mimosatide.InstanceReport{Born: born}, nil
	}
	return mimosatide.InstanceReport{Born: instance.Born}, nil
}

// noPeers makes the gateway's node the home of all targets.
type noPeers struct{}

func (noPeers) Home(string) (string, bool) { return "", true }

func (noPeers) Ask(string, uint64, permit.Request) {}

func (noPeers) IsDeputy(string) bool { return false }

func (noPeers) Heard() float64 { return 1 }

func (noPeers) Silent(string) {}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWith(t, requestMemory)
}

// newFixtureWith returns a fixture with the given memory for callers' requests, in bytes.
func newFixtureWith(t *testing.T, memory int64) *fixture {
	t.Helper()
	paces := pace.New(logr.Discard())
	created := &fixture{
		t:        t,
		targets:  registry.New(logr.Discard()),
		tracker:  balance.New("a", paces),
		paces:    paces,
		ledger:   allowance.New(true),
		limits:   permit.NewLimits(),
		loader:   &fakeLoader{},
		origins:  &fakeOrigins{known: map[string]string{}, sent: map[string]string{}, withdrawn: map[string]bool{}},
		engines:  &fakeEngines{born: map[string]time.Time{}},
		answers:  buffer.NewBudget(answerMemory),
		intake:   intake.NewBudget(memory),
		triage:   triage.New(logr.Discard()),
		draining: make(chan struct{}),
	}
	deployment := testDeployment()
	created.deployment = deployment
	gate := gateway.New(gateway.Dependencies{
		Deployment:    func() *mimosatide.Deployment { return deployment },
		DeploymentAge: func() time.Duration { return created.age },
		MaxDenialAge:  time.Second,
		Targets:       created.targets,
		Tracker:       created.tracker,
		Limits:        created.limits,
		Permits:       permit.NewDesk(created.limits, permit.NewIssuer(), noPeers{}, logr.Discard()),
		Ledger:        created.ledger,
		Intake:        created.intake,
		Answers:       created.answers,
		Client:        exchange.New(&net.Dialer{}),
		Engines:       created.engines,
		Loader:        created.loader,
		Origins:       created.origins,
		RetryBudget:   gateway.NewRetryBudget(0.2, 56),
		Triage:        created.triage,
		Quarantine:    quarantine.New(logr.Discard()),
		Meter:         metric.New(),
		Draining:      created.draining,
		EndsBy:        created.endsBy,
	}, logr.Discard())
	created.gate = gate
	created.server = httptest.NewServer(gate)
	t.Cleanup(created.server.Close)
	return created
}

// endsBy is that of a process which ends at once when draining is closed.
func (fixture *fixture) endsBy() (time.Time, bool) {
	select {
	case <-fixture.draining:
		return time.Now(), true
	default:
		return time.Time{}, false
	}
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
	longTimeout := route("long-timeout", mimosatide.StreamRoute, "llm", 1, time.Hour)
	longTimeout.LatencyObjective = time.Hour
	longTimeout.EventGapObjective = 500 * time.Millisecond
	impatient := route("impatient", mimosatide.StreamRoute, "llm", 1, 13*time.Second)
	impatient.Patience = 5 * time.Second
	deployment := mimosatide.Deployment{
		Version: 3,
		Services: map[string]mimosatide.Service{
			"desk": {Name: "desk"},
			"llm": {Name: "llm", Engine: &mimosatide.EngineClass{
				MemoryMB: 200, AdapterSlots: 2,
				Models: map[string]mimosatide.EngineModel{
					"m":       {Name: "m", MemoryMB: 70, LoadTime: time.Second, WarmLoadTime: 50 * time.Millisecond, DiskLoadTime: 50 * time.Millisecond},
					"lasting": {Name: "lasting", MemoryMB: 70, LoadTime: 8 * time.Second, WarmLoadTime: time.Hour, DiskLoadTime: time.Hour},
					"slow":    {Name: "slow", MemoryMB: 70, LoadTime: time.Hour, WarmLoadTime: time.Hour, DiskLoadTime: time.Hour},
				},
			}},
		},
		Accounts: map[string]mimosatide.AccountLimit{
			"school":  {Account: mimosatide.Account{Name: "school"}, TokensPerCall: 1},
			"limited": {Account: mimosatide.Account{Name: "limited", Rate: 1, Burst: 1}, TokensPerCall: 1},
		},
		AccountOfKey: map[string]string{"good": "school", "limited": "limited"},
		Limits:       mimosatide.CallerLimits{BodyBytes: maxBody},
	}.WithRoutes([]mimosatide.PathRoute{
		route("lookup", mimosatide.IdempotentRoute, "desk", 2, time.Second),
		route("order", mimosatide.NonIdempotentRoute, "desk", 2, time.Second),
		route("short", mimosatide.NonIdempotentRoute, "desk", 1, 100*time.Millisecond),
		route("slow", mimosatide.NonIdempotentRoute, "desk", 1, time.Hour),
		route("chat", mimosatide.StreamRoute, "llm", 1, 2*time.Second),
		resumable,
		longTimeout,
		impatient,
	})
	return &deployment
}

// addTarget adds a target that holds the given models and answers with the given handler.
func (fixture *fixture) addTarget(id, service string, handler http.HandlerFunc, models ...string) {
	fixture.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		fixture.lock.Lock()
		fixture.requests = append(fixture.requests, receivedRequest{
			target: id, header: request.Header, method: request.Method, path: request.RequestURI,
		})
		fixture.lock.Unlock()
		handler(writer, request)
	}))
	fixture.t.Cleanup(server.Close)
	fixture.last = server
	instance := mimosatide.Instance{
		ID: id, Service: service, Address: strings.TrimPrefix(server.URL, "http://"), Zone: "a", Slots: 6,
	}
	for _, model := range models {
		instance.Holdings = append(instance.Holdings, mimosatide.Holding{Model: model})
	}
	fixture.targets.Put(instance)
}

// closeLast returns a function that closes the listener of the target that was added last.
func (fixture *fixture) closeLast() func() {
	server := fixture.last
	return func() { _ = server.Listener.Close() }
}

// received returns the requests that have arrived at any target.
func (fixture *fixture) received() []receivedRequest {
	fixture.lock.Lock()
	defer fixture.lock.Unlock()
	return append([]receivedRequest{}, fixture.requests...)
}

// newRequest returns a caller's request with a valid key and an id.
func (fixture *fixture) newRequest(method, path string) *http.Request {
	fixture.t.Helper()
	request, err := http.NewRequest(method, fixture.server.URL+path, nil)
	if err != nil {
		fixture.t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", "r-1")
	request.Header.Set("Authorization", "Bearer good")
	return request
}

// send sends a request to the gateway. It returns the answer, nil if there is none,
// its body, and whether the body arrived completely.
func (fixture *fixture) send(request *http.Request) (*http.Response, string, bool) {
	fixture.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, "", false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err == nil
}

// respond answers 200 with a signature and the given body.
func respond(body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		sign(writer, request)
		_, _ = fmt.Fprint(writer, body)
	}
}

// sign sets the fields by which an answer is the target's own answer to the request.
func sign(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	writer.Header().Set("Response-Signature", "signature")
}

// respondStatus answers with an error status; with notRun the target declares that it
// did not run the request.
func respondStatus(status int, notRun bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		sign(writer, request)
		if notRun {
			writer.Header().Set("Not-Executed", "1")
		}
		writer.WriteHeader(status)
	}
}

// disconnect closes the connection without an answer.
func disconnect(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// respondEvents streams the events from first to last. If the stream is not to be
// whole, it closes the connection in the middle of the next event.
func respondEvents(first, last int, whole bool) http.HandlerFunc {
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
