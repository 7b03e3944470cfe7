package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/platform"
)

// Settings are the size and the speeds of the outside.
type Settings struct {
	// Address is the platform's host and port; targets listen on the ports behind it.
	Address  string
	Engines  int
	Services int
	Nodes    int
	// LoadTime is how long a model takes from the weight store at full speed.
	LoadTime    time.Duration
	AdapterTime time.Duration
	// StoreSlots is how many loads run at full speed at once.
	StoreSlots int
	TokenTime  time.Duration
	// EngineMemory is in bytes.
	EngineMemory int64
	Concurrency  int
	HostNames    []string
	// Unfenced engines ignore fencing numbers; every second one does when set.
	Unfenced bool
	// TableTime is how long each call of the table takes.
	TableTime time.Duration
}

// DefaultSettings returns the settings of the demo.
func DefaultSettings() Settings {
	return Settings{
		Address:      "127.0.0.1:7000",
		Engines:      4,
		Services:     2,
		Nodes:        8,
		LoadTime:     2 * time.Second,
		AdapterTime:  200 * time.Millisecond,
		StoreSlots:   4,
		TokenTime:    5 * time.Millisecond,
		EngineMemory: 80 << 30,
		Concurrency:  16,
		TableTime:    time.Millisecond,
	}
}

// Fault switches one fault on or off.
type Fault struct {
	// Kind is TableOutage, TableSlow, LoseCommitAnswers, Crash, Restart, Silence, Leave, HostGone or StoreSlow.
	Kind string
	// Name is the target or host that the fault hits.
	Name string
	On   bool
	// DelayMs is the delay of a slow table, or the factor of a slow weight store, in milliseconds or percent.
	DelayMs int
}

// World is the outside.
type World struct {
	settings Settings
	table    *platform.MemoryTable
	objects  *platform.MemoryObjects
	weights  *weightStore
	engines  map[string]*engine
	services map[string]*service

	lock    sync.Mutex
	outage  bool
	delay   time.Duration
	lose    bool
	hosts   map[string]mimosatide.HostState
	servers []*http.Server
}

// New returns the outside, which does not listen yet.
func New(settings Settings) *World {
	world := &World{
		settings: settings,
		table:    platform.NewMemoryTable(),
		objects:  platform.NewMemoryObjects(),
		weights:  newWeightStore(settings),
		engines:  map[string]*engine{},
		services: map[string]*service{},
		delay:    settings.TableTime,
		hosts:    map[string]mimosatide.HostState{},
	}
	for index := range settings.Nodes {
		world.hosts[fmt.Sprintf("node-host-%d", index+1)] = mimosatide.HostLive
	}
	for _, name := range settings.HostNames {
		world.hosts[name] = mimosatide.HostLive
	}
	for index := range settings.Engines {
		name := fmt.Sprintf("engine-%d", index+1)
		checks := !settings.Unfenced || index%2 == 0
		world.engines[name] = newEngine(name, settings, world.weights, checks)
		world.hosts["host-"+name] = mimosatide.HostLive
	}
	for index := range settings.Services {
		name := fmt.Sprintf("service-%d", index+1)
		world.services[name] = newService(name)
		world.hosts["host-"+name] = mimosatide.HostLive
	}
	return world
}

// Run listens until the context ends.
func (world *World) Run(ctx context.Context) error {
	if err := world.listenAll(); err != nil {
		world.close()
		return errors.Trace(err)
	}
	<-ctx.Done()
	world.close()
	return nil
}

func (world *World) listenAll() error {
	host, port, err := splitAddress(world.settings.Address)
	if err != nil {
		return errors.Trace(err)
	}
	if err := world.listen(world.settings.Address, world.platformHandler()); err != nil {
		return errors.Trace(err)
	}
	for index := range world.settings.Engines {
		engine := world.engines[fmt.Sprintf("engine-%d", index+1)]
		if err := world.listen(fmt.Sprintf("%s:%d", host, port+1+index), engine); err != nil {
			return errors.Trace(err)
		}
	}
	for index := range world.settings.Services {
		service := world.services[fmt.Sprintf("service-%d", index+1)]
		if err := world.listen(fmt.Sprintf("%s:%d", host, port+1+world.settings.Engines+index), service); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func splitAddress(address string) (string, int, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return "", 0, errors.Trace(err)
	}
	return resolved.IP.String(), resolved.Port, nil
}

func (world *World) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	world.servers = append(world.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (world *World) close() {
	for _, server := range world.servers {
		_ = server.Close()
	}
}

// platformHandler serves the platform with its faults, and the switches of all faults.
func (world *World) platformHandler() http.Handler {
	inner := platform.NewHandler(world.table, world.objects, world.listHosts)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", world.switchFault)
	mux.HandleFunc("GET /truth", world.tellTruth)
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		world.lock.Lock()
		outage, delay, lose := world.outage, world.delay, world.lose
		world.lock.Unlock()
		time.Sleep(delay)
		if outage {
			http.Error(writer, "outage", http.StatusServiceUnavailable)
			return
		}
		if lose && request.URL.Path == "/table/commit" {
			inner.ServeHTTP(discardWriter{header: http.Header{}}, request)
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(writer, request)
	})
	return mux
}

// discardWriter swallows an answer whose write took effect.
type discardWriter struct {
	header http.Header
}

// Header returns a header that nobody sees.
func (discard discardWriter) Header() http.Header { return discard.header }

// Write drops the data.
func (discard discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader drops the status.
func (discard discardWriter) WriteHeader(int) {}

func (world *World) listHosts() []mimosatide.Host {
	world.lock.Lock()
	defer world.lock.Unlock()
	var hosts []mimosatide.Host
	for name, state := range world.hosts {
		hosts = append(hosts, mimosatide.Host{Name: name, State: state})
	}
	return hosts
}

func (world *World) switchFault(writer http.ResponseWriter, request *http.Request) {
	var fault Fault
	if err := json.NewDecoder(request.Body).Decode(&fault); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if err := world.Switch(fault); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// Switch switches a fault.
func (world *World) Switch(fault Fault) error {
	world.lock.Lock()
	defer world.lock.Unlock()
	switch fault.Kind {
	case "TableOutage":
		world.outage = fault.On
	case "TableSlow":
		world.delay = world.settings.TableTime + time.Duration(fault.DelayMs)*time.Millisecond
	case "LoseCommitAnswers":
		world.lose = fault.On
	case "StoreSlow":
		world.weights.slowDown(fault.DelayMs)
	case "Leave":
		world.hosts[fault.Name] = mimosatide.HostLeaving
	case "HostGone":
		delete(world.hosts, fault.Name)
	case "Crash", "Restart", "Silence":
		return world.switchTarget(fault)
	default:
		return errors.NotSupportedf("fault %q", fault.Kind)
	}
	return nil
}

func (world *World) switchTarget(fault Fault) error {
	if engine, found := world.engines[fault.Name]; found {
		engine.switchFault(fault)
		return nil
	}
	if service, found := world.services[fault.Name]; found {
		service.switchFault(fault)
		return nil
	}
	return errors.NotFoundf("target %q", fault.Name)
}

// Truth is what really happened outside, for checks.
type Truth struct {
	// Runs counts how often each request ran at a target.
	Runs map[string]int
	// Bodies counts how often each body ran at a plain service.
	Bodies map[string]int
	// Loads counts the loads of each model.
	Loads map[string]int
	// Overcommitted counts the moments at which an engine held more than its memory.
	Overcommitted int
	// KeysSeen counts requests in which a target saw a caller's key.
	KeysSeen int
	// MostLoads is the largest number of loads at once.
	MostLoads int
	// IdleSeconds sums up the time that loaded replicas had nothing to run.
	IdleSeconds float64
	Reads       uint64
	Writes      uint64
}

// Truth sums up what the targets saw.
func (world *World) Truth() Truth {
	truth := Truth{Runs: map[string]int{}, Bodies: map[string]int{}, Loads: map[string]int{}}
	for _, engine := range world.engines {
		engine.tell(&truth)
	}
	for _, service := range world.services {
		service.tell(&truth)
	}
	truth.MostLoads = world.weights.most()
	truth.Reads, truth.Writes = world.table.Counts()
	return truth
}

func (world *World) tellTruth(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(world.Truth())
}
