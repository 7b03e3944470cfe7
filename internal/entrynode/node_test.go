package entrynode_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr/funcr"

	"mimosatide.example/mimosatide/internal/entrynode"
	"mimosatide.example/mimosatide/platform"
	"mimosatide.example/mimosatide/platform/emulator"
)

// eventTimeout is how long a test waits for an expected event.
const eventTimeout = 20 * time.Second

// portOf returns the port of an address.
func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// testNode is a running node under test.
type testNode struct {
	entrance  *emulator.StoreEndpoint
	callers   string
	readiness string
	metrics   string
	// peers is the address at which the node listens for its peers.
	peers string
	stop  context.CancelFunc
	ended chan error
	log   *logRecorder
}

// logRecorder keeps the log lines of a node.
type logRecorder struct {
	lock  sync.Mutex
	lines []string
}

func (recorder *logRecorder) write(prefix, line string) {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	recorder.lines = append(recorder.lines, time.Now().Format(time.StampMilli)+" "+prefix+line)
}

func (recorder *logRecorder) text() string {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	return strings.Join(recorder.lines, "\n")
}

// startNode starts an entry node of zone a at a loopback address of its own.
func startNode(t *testing.T, name, ip string, store *emulator.Store) *testNode {
	t.Helper()
	return startNodeIn(t, "a", name, ip, store)
}

// startNodeIn starts an entry node in an availability zone.
func startNodeIn(t *testing.T, zone, name, ip string, store *emulator.Store) *testNode {
	t.Helper()
	return startNodeWith(t, zone, name, ip, store, "bounds.enforceRevocation=false\nbounds.revokeMs=5000")
}

// startNodeWith starts an entry node with the given settings on stale data.
func startNodeWith(t *testing.T, zone, name, ip string, store *emulator.Store, staleSettings string) *testNode {
	t.Helper()
	entrance := store.NewEndpoint(name)
	t.Cleanup(entrance.Close)
	free, err := emulator.FreeAddresses(ip, 4)
	if err != nil {
		t.Fatal(err)
	}
	peers, metrics := portOf(free[2]), portOf(free[3])
	node := &testNode{entrance: entrance, callers: free[0], readiness: free[1], metrics: free[3], peers: free[2], ended: make(chan error, 1), log: &logRecorder{}}
	settings, err := platform.ParseSettings(fmt.Sprintf(`nodeName=%s
zone=%s
ip=%s
listen.front=%s
listen.readyAddr=%s
innerPorts=%s,0
bootstrap=true
limits.cpuShare=0.4
limits.memoryMb=284
heartbeatMs=1200
bounds.leaseMs=300
bounds.graceS=4
bounds.drainMs=400
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=56
%s
platform.address=%s
`, name, zone, ip, node.callers, node.readiness, peers, staleSettings, entrance.Address()))
	if err != nil {
		t.Fatal(err)
	}
	started, err := entrynode.New(settings, metrics, funcr.New(node.log.write, funcr.Options{}))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	node.stop = cancel
	go func() {
		err := started.Run(ctx)
		if ctx.Err() == nil {
			t.Errorf("node %s ended without being stopped: %v", name, err)
		}
		node.ended <- err
	}()
	t.Cleanup(func() {
		cancel()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, node.log.text())
		}
	})
	return node
}

// eventually waits until a condition holds, and fails the test after eventTimeout.
func eventually(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for start := time.Now(); time.Since(start) < eventTimeout; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: did not happen in time", event)
}

func (node *testNode) ready() bool {
	response, err := http.Get("http://" + node.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// request sends a request with an API key and returns the HTTP status, or 0 without an answer.
func (node *testNode) request(key string) int {
	status, _ := node.requestWith(key, "/look/1", "")
	return status
}

// requestWith sends a request with an API key, a path and prompt parts, and returns the
// HTTP status, or 0 without an answer, and the answer's body.
func (node *testNode) requestWith(key, path, parts string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+node.callers+path, nil)
	if err != nil {
		return 0, ""
	}
	if parts != "" {
		request.Header.Set("Prompt-Prefix", parts)
	}
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", "r-1")
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Model", "m0")
	request.Header.Set("Deadline-Ms", "2000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

// configuration returns a configuration document with one route and one account.
func configuration(version int, key string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"look","host":"a.example","prefix":"/look/","kind":"idempotent",
	 "timeoutMs":1000,"maxAttempts":2,"service":"desk"}],"services":[{"name":"desk"}],
	 "limits":{"maxBodyBytes":1000},"tenants":[{"name":"school","apiKeys":[%q]}]}`, version, key)
}

// startTarget starts an HTTP server as a target of service desk and writes its row.
func startTarget(t *testing.T, store *emulator.Store) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
		writer.Header().Set("Response-Signature", "signature")
		_, _ = fmt.Fprint(writer, "found")
	}))
	t.Cleanup(server.Close)
	store.Put("servers", "d-1", fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","slots":6,"state":"ready","born":1}`,
		strings.TrimPrefix(server.URL, "http://")))
}

func TestNodeServesDrainsAndEnds(t *testing.T) {
	store := emulator.NewStore()
	node := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "a 503 answer before the first configuration", func() bool { return node.request("k1") == http.StatusServiceUnavailable })
	if node.ready() {
		t.Error("node without a configuration: got ready, want not ready")
	}
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	eventually(t, "readiness", node.ready)
	eventually(t, "a 200 answer", func() bool { return node.request("k1") == http.StatusOK })
	if status := node.request("other"); status != http.StatusUnauthorized {
		t.Errorf("unknown key: got status %d, want 401", status)
	}
	store.Put("op", "config", `{"version":`)
	store.Put("op", "config", configuration(5, "k2"))
	eventually(t, "the second configuration", func() bool { return node.request("k2") == http.StatusOK })
	if status := node.request("k1"); status != http.StatusUnauthorized {
		t.Errorf("withdrawn key: got status %d, want 401", status)
	}
	node.stop()
	eventually(t, "the end of readiness", func() bool { return !node.ready() })
	// The platform still sends connections for a while after the node is not ready.
	if status := node.request("k2"); status != http.StatusOK {
		t.Errorf("request while the node drains: got status %d, want 200", status)
	}
	if err := <-node.ended; err != nil {
		t.Errorf("Run: got error %v, want none", err)
	}
}

// TestNodeEndsWithinItsGraceWithoutTheStore guards against a node that is killed at the end
// of a short grace period because it still waits for new connections or for the store.
func TestNodeEndsWithinItsGraceWithoutTheStore(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	node := startNodeWith(t, "a", "n1", "127.0.1.1", store, "bounds.graceS=2")
	eventually(t, "readiness", node.ready)
	node.entrance.SetUnresponsive(true)
	node.stop()
	select {
	case err := <-node.ended:
		if err != nil {
			t.Errorf("Run: got error %v, want none", err)
		}
	case <-time.After(2 * time.Second):
		t.Error("at the end of the grace period: got a node that runs, want it ended")
		<-node.ended
	}
}

func TestNodeRejectedByTheStoreUpdatesFromItsPeers(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	first, second := startNode(t, "n1", "127.0.1.1", store), startNode(t, "n2", "127.0.1.2", store)
	for _, node := range []*testNode{first, second} {
		eventually(t, "a 200 answer", func() bool { return node.request("k1") == http.StatusOK })
	}
	// Both nodes are on the list of hosts before the store rejects calls of the second one.
	eventually(t, "both nodes on the list of hosts", func() bool {
		_, one := store.Row("mimosatide-hosts", "n1")
		_, two := store.Row("mimosatide-hosts", "n2")
		return one && two
	})
	time.Sleep(time.Second)
	second.entrance.SetUnavailable(true)
	store.Put("op", "config", configuration(2, "k2"))
	eventually(t, "the second configuration at the first node", func() bool { return first.request("k2") == http.StatusOK })
	eventually(t, "the second configuration at the rejected node", func() bool { return second.request("k2") == http.StatusOK })
	if status := second.request("k1"); status != http.StatusUnauthorized {
		t.Errorf("key withdrawn while the store rejected the node: got status %d, want 401", status)
	}
}

// TestNodeWithoutTheStoreDoesNotDenyAnUnknownKeyForGood guards against callers that get 401
// for a key that was added since the node lost the store.
func TestNodeWithoutTheStoreDoesNotDenyAnUnknownKeyForGood(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	node := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "a 200 answer", func() bool { return node.request("k1") == http.StatusOK })
	eventually(t, "a 401 answer for an unknown key", func() bool { return node.request("k2") == http.StatusUnauthorized })
	node.entrance.SetUnresponsive(true)
	eventually(t, "a 503 answer for an unknown key without the store", func() bool { return node.request("k2") == http.StatusServiceUnavailable })
	if status := node.request("k1"); status != http.StatusOK {
		t.Errorf("known key without the store: got status %d, want 200", status)
	}
}

func TestNodeThatMustNotBeStaleRefusesWithoutTheStore(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	node := startNodeWith(t, "a", "n1", "127.0.1.1", store, "bounds.enforceRevocation=true\nbounds.revokeMs=800")
	eventually(t, "a 200 answer", func() bool { return node.request("k1") == http.StatusOK })
	node.entrance.SetUnresponsive(true)
	eventually(t, "a 503 answer while the configuration is stale", func() bool { return node.request("k1") == http.StatusServiceUnavailable })
	node.entrance.SetUnresponsive(false)
	eventually(t, "a 200 answer after the store answers again", func() bool { return node.request("k1") == http.StatusOK })
}

// engineConfiguration returns a configuration document with one route to model engines and
// one account.
func engineConfiguration(key string) string {
	return fmt.Sprintf(`{"version":1,"routes":[{"name":"look","host":"a.example","prefix":"/look/","kind":"idempotent",
	 "timeoutMs":4000,"maxAttempts":2,"service":"llm"}],"services":[{"name":"llm","engine":{"slots":16,"kvCapacity":200000,
	 "weightsSizeMb":215000,"hostMb":100000,"diskMb":900000,"adapterSlots":4,"loadsPerS":3,
	 "models":[{"name":"m0","weightsSizeMb":70000,"loadS":2,"warmS":0.1,"diskS":0.1,"adapters":0}]}}],
	 "limits":{"maxBodyBytes":1000},"tenants":[{"name":"school","apiKeys":[%q]}]}`, key)
}

// startEngine starts a model engine and returns it with its store, which has a configuration
// for the key k1, and the record of what it does.
func startEngine(t *testing.T, loadTime time.Duration) (*emulator.Store, *emulator.Recorder, *emulator.Target) {
	t.Helper()
	store, recorder := emulator.NewStore(), emulator.NewRecorder()
	store.Put("op", "config", engineConfiguration("k1"))
	engine, err := emulator.NewTarget(emulator.TargetSettings{
		ID: "e-1", Service: "llm", Zone: "a", Slots: 16, MaxModels: 3, Events: 1, LoadTime: loadTime, DiskLoadTime: loadTime,
	}, store, recorder, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Crash)
	engine.Announce()
	return store, recorder, engine
}

// TestRestartedNodeRefusesWhatCrashedTargetsBefore guards against requests that crash as many
// targets again after each restart of all nodes.
func TestRestartedNodeRefusesWhatCrashedTargetsBefore(t *testing.T) {
	store, recorder, _ := startEngine(t, 10*time.Millisecond)
	refused := func(node *testNode, request int) bool {
		_, body := node.requestWith("k1", fmt.Sprintf("/look/deadly-%d", request), emulator.DeadlyPart+":5,own:5")
		return strings.HasPrefix(body, "PoisonRequest")
	}
	before, request := startNode(t, "n1", "127.0.1.1", store), 0
	eventually(t, "a refusal after some crashes", func() bool {
		request++
		return refused(before, request)
	})
	eventually(t, "a quarantine in the store", func() bool {
		_, found := store.Row("mimosatide-quarantines", "part-"+emulator.DeadlyPart)
		return found
	})
	before.stop()
	<-before.ended

	after := startNode(t, "n2", "127.0.1.2", store)
	eventually(t, "readiness", after.ready)
	eventually(t, "the model at the engine", func() bool { return after.request("k1") == http.StatusOK })
	runs := len(recorder.Runs())
	if !refused(after, 0) || len(recorder.Runs()) != runs {
		t.Errorf("request with the part after the restart: got it sent %d times, want it refused", len(recorder.Runs())-runs)
	}
}

// TestPausedEngineGetsNoOrdersAndReportRequests guards against an owner that goes on asking
// an overloaded engine for its report, although the engine wants nothing for some time.
func TestPausedEngineGetsNoOrdersAndReportRequests(t *testing.T) {
	store, recorder, engine := startEngine(t, 2*time.Second)
	node := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "readiness", node.ready)
	eventually(t, "an order to load the model", func() bool {
		_ = node.request("k1")
		return recorder.Orders() > 0
	})
	engine.SetPause(3 * time.Second)
	paused := func() int {
		count := 0
		for _, arrival := range recorder.Arrivals() {
			if arrival.Pause > 0 {
				count++
			}
		}
		return count
	}
	eventually(t, "a rejected call", func() bool { return paused() > 0 })
	time.Sleep(time.Second)
	if count := paused(); count > 1 {
		t.Errorf("calls to an engine that has asked for a pause: got %d, want only the one that it rejected", count)
	}
}

// TestOddRowsDoNotStopANode guards against a node that ends, or no longer follows its
// tables, because another writer has put odd rows among those of the targets and hosts.
func TestOddRowsDoNotStopANode(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for index, value := range []string{
		deep, "\xff\x00", `{"service":"desk","address":"127.0.0.1:99999","zone":"a","slots":6,"state":"ready","born":1}`,
		`{"service":"desk","address":"127.0.0.1:80","zone":"a","slots":9223372036854775807,"state":"ready","born":1}`,
		`{"service":"desk","address":"127.0.0.1:80","zone":"a","slots":1e400,"state":"ready","born":1}`,
	} {
		store.Put("servers", fmt.Sprintf("odd-%d", index), value)
	}
	store.Put("mimosatide-hosts", "odd", strings.Repeat("\x81", 60_000))
	for name, share := range map[string]float64{"infinite": math.Inf(1), "none": math.NaN(), "negative": -1} {
		row, err := cbor.Marshal(map[string]any{"Address": "127.0.0.1:1", "Incarnation": 1, "Zone": "a", "CPUShare": share})
		if err != nil {
			t.Fatal(err)
		}
		store.Put("mimosatide-hosts", name, string(row))
	}
	startTarget(t, store)
	node := startNode(t, "n1", "127.0.1.1", store)
	eventually(t, "readiness", node.ready)
	for range 20 {
		if status := node.request("k1"); status != http.StatusOK {
			t.Fatalf("request beside odd rows: got status %d, want 200", status)
		}
	}
	store.Put("servers", "odd-0", deep)
	store.Put("op", "config", deep)
	store.Put("op", "config", configuration(2, "k2"))
	eventually(t, "the next configuration", func() bool { return node.request("k2") == http.StatusOK })
	if log := node.log.text(); strings.Count(log, "host row unreadable") < 4 || strings.Contains(log, "host known") {
		t.Error("rows of odd hosts: got one on the list, want all reported as unreadable")
	}
}
