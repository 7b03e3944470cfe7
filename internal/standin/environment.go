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

// Settings configure the size and the timing of the simulated environment.
type Settings struct {
	// Address is the platform's host and port. The engines, then the services, listen
	// on the ports that follow it.
	Address  string
	Engines  int
	Services int
	// Nodes is the number of hosts for nodes on the host list, named node-host-1 and so on.
	Nodes int
	// LoadTime is the time of a model's load from the weight store at full speed.
	LoadTime time.Duration
	// AdapterTime is the time of an adapter's load at full speed.
	AdapterTime time.Duration
	// StoreSlots is the number of loads that run at full speed at once.
	StoreSlots int
	// TokenTime is the time that an engine takes for one token of an answer.
	TokenTime time.Duration
	// EngineMemory is the memory of each engine for models and adapters, in bytes.
	EngineMemory int64
	// Concurrency is the number of requests that an engine runs at once.
	Concurrency int
	// HostNames are further hosts on the host list.
	HostNames []string
	// Unfenced makes every second engine ignore fencing tokens.
	Unfenced bool
	// PlatformDelay delays each request to the platform.
	PlatformDelay time.Duration
}

// DefaultSettings returns the settings of the demo.
func DefaultSettings() Settings {
	return Settings{
		Address:       "127.0.0.1:7000",
		Engines:       4,
		Services:      2,
		Nodes:         8,
		LoadTime:      2 * time.Second,
		AdapterTime:   200 * time.Millisecond,
		StoreSlots:    4,
		TokenTime:     5 * time.Millisecond,
		EngineMemory:  80 << 30,
		Concurrency:   16,
		PlatformDelay: time.Millisecond,
	}
}

// Fault is the body of POST /faults.
type Fault struct {
	// Kind is one of the following:
	//   - TableOutage: the platform answers every request with status 503.
	//   - TableSlow: the platform answers every request later.
	//   - LoseCommitAnswers: commits take effect, but their answers are lost.
	//   - StoreSlow: the weight store runs at a part of its full speed.
	//   - Leave: the host list shows the host as leaving.
	//   - HostGone: the host list no longer shows the host.
	//   - Crash: the target aborts every new request until a Restart. An engine also
	//     ends its running answers and loses its replicas and fencing token.
	//   - Restart: the target serves requests again.
	//   - Silence: an engine sends no events until a stream is resumed, a service
	//     records calls but doesn't answer them.
	Kind string
	// Name is the target of Crash, Restart and Silence, or the host of Leave and HostGone.
	Name string
	// On switches TableOutage, LoseCommitAnswers or Silence on or off.
	On bool
	// DelayMs is the additional delay of TableSlow in milliseconds, or the speed for
	// StoreSlow in percent of full speed.
	DelayMs int
}

// Environment simulates everything that a fleet depends on.
type Environment struct {
	settings Settings
	table    *platform.MemoryTable
	objects  *platform.MemoryObjects
	weights  *weightStore
	engines  map[string]*engine
	services map[string]*service

	lock              sync.Mutex
	outage            bool
	delay             time.Duration
	loseCommitAnswers bool
	hosts             map[string]mimosatide.HostState
	servers           []*http.Server
}

// New returns an environment, which listens only once it runs.
func New(settings Settings) *Environment {
	environment := &Environment{
		settings: settings,
		table:    platform.NewMemoryTable(),
		objects:  platform.NewMemoryObjects(),
		weights:  newWeightStore(settings),
		engines:  map[string]*engine{},
		services: map[string]*service{},
		delay:    settings.PlatformDelay,
		hosts:    map[string]mimosatide.HostState{},
	}
	for index := range settings.Nodes {
		environment.hosts[fmt.Sprintf("node-host-%d", index+1)] = mimosatide.HostLive
	}
	for _, name := range settings.HostNames {
		environment.hosts[name] = mimosatide.HostLive
	}
	for index := range settings.Engines {
		name := fmt.Sprintf("engine-%d", index+1)
		checksFencing := !settings.Unfenced || index%2 == 0
		environment.engines[name] = newEngine(name, settings, environment.weights, checksFencing)
		environment.hosts["host-"+name] = mimosatide.HostLive
	}
	for index := range settings.Services {
		name := fmt.Sprintf("service-%d", index+1)
		environment.services[name] = newService(name)
		environment.hosts["host-"+name] = mimosatide.HostLive
	}
	return environment
}

// Run serves the platform and the targets until the context ends. It returns an
// error if an address is not available.
func (environment *Environment) Run(ctx context.Context) error {
	if err := environment.listenAll(); err != nil {
		environment.close()
		return errors.Trace(err)
	}
	<-ctx.Done()
	environment.close()
	return nil
}

func (environment *Environment) listenAll() error {
	host, port, err := splitAddress(environment.settings.Address)
	if err != nil {
		return errors.Trace(err)
	}
	if err := environment.listen(environment.settings.Address, environment.platformHandler()); err != nil {
		return errors.Trace(err)
	}
	for index := range environment.settings.Engines {
		engine := environment.engines[fmt.Sprintf("engine-%d", index+1)]
		if err := environment.listen(fmt.Sprintf("%s:%d", host, port+1+index), engine); err != nil {
			return errors.Trace(err)
		}
	}
	for index := range environment.settings.Services {
		service := environment.services[fmt.Sprintf("service-%d", index+1)]
		if err := environment.listen(fmt.Sprintf("%s:%d", host, port+1+environment.settings.Engines+index), service); err != nil {
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

func (environment *Environment) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	environment.servers = append(environment.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (environment *Environment) close() {
	for _, server := range environment.servers {
		_ = server.Close()
	}
}

// platformHandler serves the platform under the faults that are on, and the paths
// /faults and /truth.
func (environment *Environment) platformHandler() http.Handler {
	inner := platform.NewHandler(environment.table, environment.objects, environment.listHosts)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", environment.handleFault)
	mux.HandleFunc("GET /truth", environment.serveTruth)
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		environment.lock.Lock()
		outage, delay, loseCommitAnswers := environment.outage, environment.delay, environment.loseCommitAnswers
		environment.lock.Unlock()
		time.Sleep(delay)
		if outage {
			http.Error(writer, "outage", http.StatusServiceUnavailable)
			return
		}
		if loseCommitAnswers && request.URL.Path == "/table/commit" {
			inner.ServeHTTP(discardWriter{header: http.Header{}}, request)
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(writer, request)
	})
	return mux
}

// discardWriter discards the answer to a commit that took effect, so that its outcome is unknown to the node.
type discardWriter struct {
	header http.Header
}

// Header returns a header that is discarded.
func (discard discardWriter) Header() http.Header { return discard.header }

// Write discards the data.
func (discard discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader discards the status.
func (discard discardWriter) WriteHeader(int) {}

func (environment *Environment) listHosts() []mimosatide.Host {
	environment.lock.Lock()
	defer environment.lock.Unlock()
	var hosts []mimosatide.Host
	for name, state := range environment.hosts {
		hosts = append(hosts, mimosatide.Host{Name: name, State: state})
	}
	return hosts
}

func (environment *Environment) handleFault(writer http.ResponseWriter, request *http.Request) {
	var fault Fault
	if err := json.NewDecoder(request.Body).Decode(&fault); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if err := environment.ApplyFault(fault); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// ApplyFault injects or removes a fault. It returns an error if the kind or the
// target is unknown.
func (environment *Environment) ApplyFault(fault Fault) error {
	environment.lock.Lock()
	defer environment.lock.Unlock()
	switch fault.Kind {
	case "TableOutage":
		environment.outage = fault.On
	case "TableSlow":
		environment.delay = environment.settings.PlatformDelay + time.Duration(fault.DelayMs)*time.Millisecond
	case "LoseCommitAnswers":
		environment.loseCommitAnswers = fault.On
	case "StoreSlow":
		environment.weights.setSpeed(fault.DelayMs)
	case "Leave":
		environment.hosts[fault.Name] = mimosatide.HostLeaving
	case "HostGone":
		delete(environment.hosts, fault.Name)
	case "Crash", "Restart", "Silence":
		return environment.applyTargetFault(fault)
	default:
		return errors.NotSupportedf("fault %q", fault.Kind)
	}
	return nil
}

func (environment *Environment) applyTargetFault(fault Fault) error {
	if engine, found := environment.engines[fault.Name]; found {
		engine.applyFault(fault)
		return nil
	}
	if service, found := environment.services[fault.Name]; found {
		service.applyFault(fault)
		return nil
	}
	return errors.NotFoundf("target %q", fault.Name)
}

// Truth is the body of GET /truth: what the targets and the table have recorded,
// for checks of the answers that callers got.
type Truth struct {
	// Runs counts the runs of each request at a target, by request id.
	Runs map[string]int
	// Bodies counts the runs at plain services by request body.
	Bodies map[string]int
	// Loads counts the loads of each model that were started.
	Loads map[string]int
	// Overcommitted counts the loads at whose start the models and adapters of an engine,
	// the new one included, needed more than its memory.
	Overcommitted int
	// KeysSeen counts the requests to targets that contained a caller's key or a cookie.
	KeysSeen int
	// MostLoads is the largest number of loads from the weight store at once.
	MostLoads int
	// IdleSeconds is the total time that loaded replicas had no request to run.
	IdleSeconds float64
	// Reads and Writes count the table rows that were read and written.
	Reads  uint64
	Writes uint64
}

// Truth returns the totals of all targets and of the table.
func (environment *Environment) Truth() Truth {
	truth := Truth{Runs: map[string]int{}, Bodies: map[string]int{}, Loads: map[string]int{}}
	for _, engine := range environment.engines {
		engine.addTo(&truth)
	}
	for _, service := range environment.services {
		service.addTo(&truth)
	}
	truth.MostLoads = environment.weights.maxConcurrent()
	truth.Reads, truth.Writes = environment.table.Counts()
	return truth
}

func (environment *Environment) serveTruth(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(environment.Truth())
}
