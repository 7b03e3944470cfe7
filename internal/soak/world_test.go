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

// The size of a run, and the figures that the promises are checked with.
const (
	nodeCount   = 4
	modelCount  = 6
	streamSize  = 12
	clubRate    = 4000.0
	clubBurst   = 6000.0
	quotaWindow = 8 * time.Second
	quotaOver   = 1.1
	quotaSlack  = 20_000.0
	grace       = 4 * time.Second
)

// world is the fleet under test with everything around it.
type world struct {
	t      *testing.T
	random *rand.Rand
	folder string
	// net is the loopback network of the run.
	net   string
	first bool
	store *emulator.Store
	book  *emulator.Book
	nodes []*node
	// targets and the proxies in front of them have the same order.
	targets []*emulator.Target
	ways    []*proxy

	lock    sync.Mutex
	version int
	key     string
	results []result
	broken  []string
}

// node is one process with the proxies of its callers and of the store.
type node struct {
	world     *world
	name      string
	ip        string
	callers   string
	readiness string
	entrance  *emulator.Entrance
	storeWay  *proxy
	callerWay *proxy
	peerWay   *proxy

	lock    sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	log     *os.File
	// busy says that a signal's effect is under way; touched is when the node was last disturbed.
	busy    bool
	touched time.Time
}

func newWorld(t *testing.T, program string, seed uint64) *world {
	t.Helper()
	created := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), folder: t.TempDir(), first: true,
		store: emulator.NewStore(), book: emulator.NewBook(),
	}
	created.rotateKey()
	// Runs beside this one have other addresses.
	created.net = fmt.Sprintf("127.%d.%d.", seed%200+20, os.Getpid()%250+1)
	created.startTargets()
	for index := range nodeCount {
		created.nodes = append(created.nodes, created.newNode(index))
	}
	created.store.SetView(created.viewOf)
	for _, node := range created.nodes {
		node.start(program)
	}
	return created
}

// The first hosts of each kind in the run's network.
const (
	nodeHosts   = 1
	sideHosts   = 61
	targetHosts = 121
	wayHosts    = 181
)

func (world *world) address(host int) string {
	return world.net + strconv.Itoa(host)
}

func (world *world) startTargets() {
	for index := range 5 {
		settings := emulator.TargetSettings{
			ID: fmt.Sprintf("t-%d", index), Service: "llm", Zone: "a", Slots: 16, Room: 3, Events: streamSize,
			Work: 4 * time.Millisecond, LoadTime: 700 * time.Millisecond, SwapTime: 100 * time.Millisecond,
		}
		if index >= 3 {
			settings.Service, settings.Room, settings.Work = "desk", 0, 10*time.Millisecond
		}
		target, err := emulator.NewTarget(settings, world.store, world.book, world.address(targetHosts+index)+":0")
		if err != nil {
			world.t.Fatal(err)
		}
		world.t.Cleanup(target.Crash)
		way := newProxy(world.t, world.address(wayHosts+index)+":0", target.Address())
		target.Advertise(way.address())
		world.targets = append(world.targets, target)
		world.ways = append(world.ways, way)
	}
}

func (world *world) newNode(index int) *node {
	ip := world.address(nodeHosts + index)
	free, err := emulator.FreeAddresses(ip, 2)
	if err != nil {
		world.t.Fatal(err)
	}
	created := &node{world: world, name: fmt.Sprintf("n%d", index), ip: ip, callers: free[0], readiness: free[1]}
	created.entrance = world.store.Open(created.name)
	world.t.Cleanup(created.entrance.Close)
	side := world.address(sideHosts+index) + ":0"
	created.storeWay = newProxy(world.t, side, created.entrance.Address())
	created.callerWay = newProxy(world.t, side, created.callers)
	created.peerWay = newProxy(world.t, side, ip+":7600")
	return created
}

// viewOf leads the connections between nodes over their proxies.
func (world *world) viewOf(_ string, row emulator.Row) emulator.Row {
	if row.Table != "mimosatide-hosts" {
		return row
	}
	var host map[string]any
	if err := cbor.Unmarshal(row.Value, &host); err != nil {
		return row
	}
	for _, node := range world.nodes {
		if host["Address"] == node.ip+":7600" {
			host["Address"] = node.peerWay.address()
		}
	}
	value, err := cbor.Marshal(host)
	if err != nil {
		return row
	}
	row.Value = value
	return row
}

// rotateKey writes a configuration in which the school has a new key.
func (world *world) rotateKey() {
	world.lock.Lock()
	defer world.lock.Unlock()
	world.version += 1 + world.random.IntN(3)
	world.key = fmt.Sprintf("school-%d", world.version)
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
	world.store.Put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s],
	 "services":[{"name":"desk","healthPath":"/health","maxConns":100},
	  {"name":"llm","healthPath":"/health","maxConns":300,"engine":{"slots":16,"kvCapacity":200000,"weightsSizeMb":215000,
	   "hostMb":100000,"diskMb":900000,"adapterSlots":4,"loadsPerS":3,"models":[%s]}}],
	 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	 "tenants":[{"name":"school","apiKeys":[%q],"unit":"tokens","plainTokens":10},
	  {"name":"club","apiKeys":["club"],"unit":"tokens","plainTokens":10,"ratePerS":%f,"burst":%f}]}`,
		world.version,
		route("look", "idempotent", "desk", 2, false), route("buy", "non_idempotent", "desk", 1, false),
		route("chat", "stream", "llm", 1, false), route("draft", "stream", "llm", 2, true),
		models, world.key, clubRate, clubBurst))
}

func (world *world) schoolKey() string {
	world.lock.Lock()
	defer world.lock.Unlock()
	return world.key
}

// start starts the node's process.
func (node *node) start(program string) {
	world := node.world
	path := filepath.Join(world.folder, node.name+".conf")
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
bounds.drainMs=1000
bounds.retryBudgetRatio=0.2
bounds.budgetSlack=56
platform.address=%s
`, node.name, node.ip, node.callers, node.readiness, world.first, int(grace.Seconds()), node.storeWay.address())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		world.t.Error(err)
		return
	}
	log, err := os.OpenFile(filepath.Join(world.folder, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		world.t.Error(err)
		return
	}
	process := exec.Command(program, "entry")
	process.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	process.Stdout, process.Stderr = log, log
	ended := make(chan struct{})
	if err := process.Start(); err != nil {
		world.t.Error(err)
		return
	}
	node.lock.Lock()
	node.process, node.ended, node.log = process, ended, log
	node.lock.Unlock()
	go func() {
		result := process.Wait()
		_ = log.Close()
		node.lock.Lock()
		if !node.busy {
			world.note(fmt.Sprintf("%s ended by itself: %v", node.name, result))
		}
		node.lock.Unlock()
		close(ended)
	}()
}

// note keeps a broken promise that neither callers nor targets see.
func (world *world) note(broken string) {
	world.lock.Lock()
	defer world.lock.Unlock()
	world.broken = append(world.broken, broken)
}

// signal sends a signal to the node's process, which this soak has started.
func (node *node) signal(signal syscall.Signal) {
	node.lock.Lock()
	defer node.lock.Unlock()
	if node.process != nil {
		// A process that has just ended gets no signal any more.
		_ = node.process.Process.Signal(signal)
	}
}

// touch notes that the node is disturbed from now on or was until now.
func (node *node) touch() {
	node.lock.Lock()
	defer node.lock.Unlock()
	node.touched = time.Now()
}

// stop ends all processes.
func (world *world) stop() {
	for _, node := range world.nodes {
		node.lock.Lock()
		node.busy = true
		node.lock.Unlock()
		node.signal(syscall.SIGCONT)
		node.signal(syscall.SIGKILL)
		<-node.ended
	}
}
