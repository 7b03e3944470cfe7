package entrynode_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"mimosatide.example/mimosatide/internal/entrynode"
	"mimosatide.example/mimosatide/platform"
	"mimosatide.example/mimosatide/platform/emulator"
)

// patience bounds how long a test waits for something that has to happen.
const patience = 20 * time.Second

// portOf returns the port of an address.
func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// running is a node under test.
type running struct {
	entrance  *emulator.Entrance
	callers   string
	readiness string
	stop      context.CancelFunc
	ended     chan error
	// log is what the node has written.
	log *journal
}

// journal keeps the lines that a node writes.
type journal struct {
	lock  sync.Mutex
	lines []string
}

func (journal *journal) write(prefix, line string) {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	journal.lines = append(journal.lines, time.Now().Format(time.StampMilli)+" "+prefix+line)
}

func (journal *journal) text() string {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	return strings.Join(journal.lines, "\n")
}

// startNode starts an entry node on a loopback address of its own.
func startNode(t *testing.T, name, ip string, store *emulator.Store) *running {
	t.Helper()
	return startNodeIn(t, "a", name, ip, store)
}

// startNodeIn starts an entry node in an availability zone.
func startNodeIn(t *testing.T, zone, name, ip string, store *emulator.Store) *running {
	t.Helper()
	return startNodeWith(t, zone, name, ip, store, "bounds.enforceRevocation=false\nbounds.revokeMs=5000")
}

// startNodeWith starts an entry node with settings on old knowledge.
func startNodeWith(t *testing.T, zone, name, ip string, store *emulator.Store, stale string) *running {
	t.Helper()
	entrance := store.Open(name)
	t.Cleanup(entrance.Close)
	free, err := emulator.FreeAddresses(ip, 4)
	if err != nil {
		t.Fatal(err)
	}
	peers, metrics := portOf(free[2]), portOf(free[3])
	node := &running{entrance: entrance, callers: free[0], readiness: free[1], ended: make(chan error, 1), log: &journal{}}
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
`, name, zone, ip, node.callers, node.readiness, peers, stale, entrance.Address()))
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
			t.Errorf("node %s ended by itself: %v", name, err)
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

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < patience; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s did not happen", what)
}

func (node *running) ready() bool {
	response, err := http.Get("http://" + node.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ask sends a request with a key and returns the status of the answer, zero for none.
func (node *running) ask(key string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+node.callers+"/look/1", nil)
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", "r-1")
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Deadline-Ms", "2000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func configuration(version int, key string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"look","host":"a.example","prefix":"/look/","kind":"idempotent",
	 "timeoutMs":1000,"maxAttempts":2,"service":"desk"}],"services":[{"name":"desk"}],
	 "limits":{"maxBodyBytes":1000},"tenants":[{"name":"school","apiKeys":[%q]}]}`, version, key)
}

// startTarget starts a plain service and writes its row.
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
	eventually(t, "an answer before there is a configuration", func() bool { return node.ask("k1") == http.StatusServiceUnavailable })
	if node.ready() {
		t.Error("a node without a configuration says that it is ready")
	}
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	eventually(t, "readiness", node.ready)
	eventually(t, "an answer", func() bool { return node.ask("k1") == http.StatusOK })
	if status := node.ask("other"); status != http.StatusUnauthorized {
		t.Errorf("status %d for an unknown key", status)
	}
	store.Put("op", "config", `{"version":`)
	store.Put("op", "config", configuration(5, "k2"))
	eventually(t, "the change of keys", func() bool { return node.ask("k2") == http.StatusOK })
	if status := node.ask("k1"); status != http.StatusUnauthorized {
		t.Errorf("status %d for a withdrawn key", status)
	}
	node.stop()
	eventually(t, "the end of readiness", func() bool { return !node.ready() })
	if status := node.ask("k2"); status != http.StatusOK {
		t.Errorf("status %d while the platform still sends connections", status)
	}
	if err := <-node.ended; err != nil {
		t.Errorf("the node ended with %v", err)
	}
}

func TestNodeThatTheStoreRefusesLearnsFromItsPeers(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	first, second := startNode(t, "n1", "127.0.1.1", store), startNode(t, "n2", "127.0.1.2", store)
	for _, node := range []*running{first, second} {
		eventually(t, "an answer", func() bool { return node.ask("k1") == http.StatusOK })
	}
	// Both nodes are on the list of hosts before the store turns the second one away.
	eventually(t, "the list of hosts", func() bool {
		_, one := store.Row("mimosatide-hosts", "n1")
		_, two := store.Row("mimosatide-hosts", "n2")
		return one && two
	})
	time.Sleep(time.Second)
	second.entrance.Refuse(true)
	store.Put("op", "config", configuration(2, "k2"))
	eventually(t, "the change at the first node", func() bool { return first.ask("k2") == http.StatusOK })
	eventually(t, "the change at the refused node", func() bool { return second.ask("k2") == http.StatusOK })
	if status := second.ask("k1"); status != http.StatusUnauthorized {
		t.Errorf("status %d for a key withdrawn while the store refused the node", status)
	}
}

func TestNodeThatMustNotBeStaleStopsWithoutTheStore(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration(1, "k1"))
	startTarget(t, store)
	node := startNodeWith(t, "a", "n1", "127.0.1.1", store, "bounds.enforceRevocation=true\nbounds.revokeMs=800")
	eventually(t, "an answer", func() bool { return node.ask("k1") == http.StatusOK })
	node.entrance.Silence(true)
	eventually(t, "a refusal on old knowledge", func() bool { return node.ask("k1") == http.StatusServiceUnavailable })
	node.entrance.Silence(false)
	eventually(t, "an answer once the store answers again", func() bool { return node.ask("k1") == http.StatusOK })
}
