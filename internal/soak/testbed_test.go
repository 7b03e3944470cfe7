package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mimosatide.example/mimosatide/platform"
	"mimosatide.example/mimosatide/platform/emulator"
)

const (
	modelCount = 6
	// streamSize is the number of events of a stream.
	streamSize = 12
	// clubRate and clubBurst limit the account club, in tokens per second and tokens.
	clubRate  = 4000.0
	clubBurst = 6000.0
	// In every quotaWindow the account club may use up to
	// (clubRate*quotaWindow + clubBurst)*quotaTolerance + quotaSlack tokens.
	quotaWindow    = 8 * time.Second
	quotaTolerance = 1.1
	quotaSlack     = 20_000.0
	// shutdownGrace is the time that a node has to exit after SIGTERM.
	shutdownGrace = 4 * time.Second
)

// testbed is the fleet under test with the emulated platform and the proxies.
type testbed struct {
	t      *testing.T
	random *rand.Rand
	folder string
	// networkPrefix is the first three bytes of the run's loopback addresses, with dots.
	networkPrefix string
	// bootstrap is the nodes' setting for the first start of the fleet.
	bootstrap bool
	// longUploads says that some requests have long bodies.
	longUploads bool
	store       *emulator.Store
	recorder    *emulator.Recorder
	nodes       []*node
	// targetProxies has the proxy of each target at the same index.
	targets       []*emulator.Target
	targetProxies []*proxy

	lock sync.Mutex
	// version is that of the configuration, key the current key of the account school.
	version int
	key     string
	// previousKey is the key before that.
	previousKey string
	// keys holds all keys that the account school has had.
	keys    map[string]keyLifetime
	results []result
	// violations describes the broken promises that neither callers nor targets see.
	violations []string
	// outOfStep holds the nodes that may have missed a release, takeUpsOutOfStep counts the streams
	// that callers take up there.
	outOfStep map[*node]bool
	// evacuations are those of farZone.
	evacuations      []evacuation
	takeUpsOutOfStep int
}

// keyLifetime is when the configuration with a key was confirmed, or written again after the
// store had lost it, and when the next one, which lacks the key, was written; zero while there
// is none.
type keyLifetime struct {
	// version is that of the configuration with the key.
	version   int
	added     time.Time
	withdrawn time.Time
}

// node is a process with the proxies of its callers, its store endpoint and its peers.
type node struct {
	testbed *testbed
	name    string
	ip      string
	// callers and readiness are the addresses that serve callers and readiness checks.
	callers       string
	readiness     string
	storeEndpoint *emulator.StoreEndpoint
	storeProxy    *proxy
	callerProxy   *proxy
	peerProxy     *proxy

	lock    sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	log     *os.File
	// exitExpected is set while a restart or the end of the run stops the process.
	exitExpected bool
	// lastDisrupted is when the process was last paused, continued or killed with SIGKILL
	// by a fault, or found not to have exited in time after SIGTERM.
	lastDisrupted time.Time
	// changes are the times of all disruptions and starts of the process.
	changes moments
}

func newTestbed(t *testing.T, program string, seed uint64) *testbed {
	t.Helper()
	created := &testbed{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), folder: t.TempDir(), bootstrap: true,
		store: emulator.NewStore(), recorder: emulator.NewRecorder(), keys: map[string]keyLifetime{},
		outOfStep: map[*node]bool{},
	}
	created.store.NameWritten(seed%2 == 0)
	created.rotateKey()
	// Concurrent runs use different loopback networks.
	created.networkPrefix = fmt.Sprintf("127.%d.%d.", seed%200+20, os.Getpid()%250+1)
	created.startTargets()
	for index := range *nodeCount {
		created.nodes = append(created.nodes, created.newNode(index))
	}
	created.store.SetRowRewriter(created.proxyPeerAddress)
	for _, node := range created.nodes {
		node.start(program)
	}
	return created
}

// The last byte of the first address of each kind in the run's loopback network.
const (
	firstNodeHost        = 1
	firstNodeProxyHost   = 61
	firstTargetHost      = 121
	firstTargetProxyHost = 181
)

func (testbed *testbed) address(host int) string {
	return testbed.networkPrefix + strconv.Itoa(host)
}

func (testbed *testbed) startTargets() {
	for index := range 5 {
		settings := emulator.TargetSettings{
			ID: fmt.Sprintf("t-%d", index), Service: "llm", Zone: zoneOf(index), Slots: 16, MaxModels: 3, Events: streamSize,
			ProcessingTime: 4 * time.Millisecond, LoadTime: 700 * time.Millisecond, DiskLoadTime: 100 * time.Millisecond,
		}
		if index >= 3 {
			settings.Service, settings.MaxModels, settings.ProcessingTime = "desk", 0, 10*time.Millisecond
		}
		target, err := emulator.NewTarget(settings, testbed.store, testbed.recorder, testbed.address(firstTargetHost+index)+":0")
		if err != nil {
			testbed.t.Fatal(err)
		}
		testbed.t.Cleanup(target.Crash)
		proxy := newProxy(testbed.t, testbed.address(firstTargetProxyHost+index)+":0", target.Address())
		target.Advertise(proxy.address())
		testbed.targets = append(testbed.targets, target)
		testbed.targetProxies = append(testbed.targetProxies, proxy)
	}
}

func (testbed *testbed) newNode(index int) *node {
	ip := testbed.address(firstNodeHost + index)
	free, err := emulator.FreeAddresses(ip, 2)
	if err != nil {
		testbed.t.Fatal(err)
	}
	created := &node{testbed: testbed, name: fmt.Sprintf("n%d", index), ip: ip, callers: free[0], readiness: free[1]}
	created.storeEndpoint = testbed.store.NewEndpoint(created.name)
	testbed.t.Cleanup(created.storeEndpoint.Close)
	listen := testbed.address(firstNodeProxyHost+index) + ":0"
	created.storeProxy = newProxy(testbed.t, listen, created.storeEndpoint.Address())
	created.callerProxy = newProxy(testbed.t, listen, created.callers)
	created.peerProxy = newProxy(testbed.t, listen, ip+":7600")
	return created
}

// proxyPeerAddress replaces the peer addresses in the host rows that nodes read by
// the addresses of the proxies.
func (testbed *testbed) proxyPeerAddress(_ string, row emulator.Row) emulator.Row {
	if row.Table != "mimosatide-hosts" {
		return row
	}
	var host map[string]any
	if err := cbor.Unmarshal(row.Value, &host); err != nil {
		return row
	}
	for _, node := range testbed.nodes {
		if host["Address"] == node.ip+":7600" {
			host["Address"] = node.peerProxy.address()
		}
	}
	value, err := cbor.Marshal(host)
	if err != nil {
		return row
	}
	row.Value = value
	return row
}

// rotateKey writes a configuration in which the account school has a new key.
func (testbed *testbed) rotateKey() {
	testbed.rotateKeyBy(1 + testbed.random.IntN(3))
}

// rotateKeyBy is rotateKey with a step of the configuration's version.
func (testbed *testbed) rotateKeyBy(step int) {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	if previous, found := testbed.keys[testbed.key]; found {
		previous.withdrawn = time.Now()
		testbed.keys[testbed.key] = previous
	}
	testbed.version += step
	testbed.previousKey = testbed.key
	testbed.key = fmt.Sprintf("school-%d", testbed.version)
	models := ""
	for index := range modelCount {
		if index > 0 {
			models += ","
		}
		models += fmt.Sprintf(`{"name":"m%d","weightsSizeMb":70000,"loadS":0.7,"warmS":0.1,"diskS":0.1,"adapters":0}`, index)
	}
	route := func(name, kind, service string, attempts int, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":"a.example","prefix":"/%s/","kind":%q,"service":%q,"maxAttempts":%d,
		 "timeoutMs":4000,"targetLatencyMs":500,"priority":1,"resumable":%t}`, name, name, kind, service, attempts, resumable)
	}
	testbed.store.Put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s],
	 "services":[{"name":"desk","healthPath":"/health","maxConns":100,"coldStartS":2,"coldPerS":8},
	  {"name":"llm","healthPath":"/health","maxConns":300,"coldStartS":2,"coldPerS":8,"engine":{"slots":16,"kvCapacity":200000,"weightsSizeMb":215000,
	   "hostMb":100000,"diskMb":900000,"adapterSlots":4,"loadsPerS":3,"models":[%s]}}],
	 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":8000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	 "tenants":[{"name":"school","apiKeys":[%q],"unit":"tokens","plainTokens":10},
	  {"name":"club","apiKeys":["club"],"unit":"tokens","plainTokens":10,"ratePerS":%f,"burst":%f}]}`,
		testbed.version,
		route("look", "idempotent", "desk", 2, false), route("buy", "non_idempotent", "desk", 1, false),
		route("chat", "stream", "llm", 1, false), route("draft", "stream", "llm", 2, true),
		models, testbed.key, clubRate, clubBurst))
	testbed.keys[testbed.key] = keyLifetime{version: testbed.version, added: time.Now()}
}

func (testbed *testbed) schoolKey() string {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	return testbed.key
}

// start writes the node's settings and starts its process.
func (node *node) start(program string) {
	testbed := node.testbed
	path := filepath.Join(testbed.folder, node.name+".conf")
	text := fmt.Sprintf(`nodeName=%s
zone=a
ip=%s
listen.front=%s
listen.readyAddr=%s
innerPorts=7600,7615
bootstrap=%t
limits.cpuShare=0.4
limits.memoryMb=284
bounds.leaseMs=1000
bounds.graceS=%d
bounds.drainMs=%d
bounds.configApplyMs=%d
bounds.retryBudgetRatio=0.2
bounds.budgetSlack=56
bounds.coldOverage=1.5
bounds.coldSlack=5
platform.address=%s
`, node.name, node.ip, node.callers, node.readiness, testbed.bootstrap, int(shutdownGrace.Seconds()),
		drainTime.Milliseconds(), configurationSpread.Milliseconds(), node.storeProxy.address())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		testbed.t.Error(err)
		return
	}
	log, err := os.OpenFile(filepath.Join(testbed.folder, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		testbed.t.Error(err)
		return
	}
	process := exec.Command(program, "entry")
	process.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	process.Stdout, process.Stderr = log, log
	ended := make(chan struct{})
	if err := process.Start(); err != nil {
		testbed.t.Error(err)
		return
	}
	node.lock.Lock()
	node.process, node.ended, node.log = process, ended, log
	node.changes = append(node.changes, time.Now())
	node.lock.Unlock()
	go func() {
		result := process.Wait()
		_ = log.Close()
		node.lock.Lock()
		if !node.exitExpected {
			testbed.addViolation(fmt.Sprintf("%s ended by itself: %v", node.name, result))
		}
		node.lock.Unlock()
		close(ended)
	}()
}

// addViolation records a broken promise that neither callers nor targets see.
func (testbed *testbed) addViolation(violation string) {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	testbed.violations = append(testbed.violations, violation)
}

// signal sends a signal to the node's process, which this test has started. No other
// process may get a signal.
func (node *node) signal(signal syscall.Signal) {
	node.lock.Lock()
	defer node.lock.Unlock()
	if node.process != nil {
		// The error is ignored: the process may have exited already.
		_ = node.process.Process.Signal(signal)
	}
}

// markDisrupted records that a disruption of the node begins or ends now.
func (node *node) markDisrupted() {
	node.lock.Lock()
	defer node.lock.Unlock()
	node.lastDisrupted = time.Now()
	node.changes = append(node.changes, node.lastDisrupted)
}

// stop kills all processes and waits for their exit.
func (testbed *testbed) stop() {
	for _, node := range testbed.nodes {
		node.lock.Lock()
		node.exitExpected = true
		node.lock.Unlock()
		node.signal(syscall.SIGCONT)
		node.signal(syscall.SIGKILL)
		<-node.ended
	}
}
