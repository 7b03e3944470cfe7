package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// CrashMark in a request's body makes an engine that runs the request crash, and a
// service abort the connection.
const CrashMark = "crash-the-target"

// keyPrefix is the prefix of every caller's key of the demo and the tests. No target may see such a key.
const keyPrefix = "sk-"

// crashDowntime is the time until an engine restarts after a request has crashed it.
const crashDowntime = 1500 * time.Millisecond

// modelReplica is a model that the engine holds or loads.
type modelReplica struct {
	model  string
	memory int64
	ready  bool
	// stop cancels the load.
	stop context.CancelFunc
	// adapters says for each adapter of the replica whether its load is complete.
	adapters map[string]bool
	// running counts the requests at the replica, queued ones included.
	running int
	// idleSince is when the ready replica last ran a request, or when its idle time was last added up.
	idleSince time.Time
}

// generation is the state of one streamed answer, kept so that the stream can be resumed.
type generation struct {
	placement string
	// tokens is the number of tokens asked for, produced the number so far.
	tokens    int
	produced  int
	cancelled bool
	// changed is closed and replaced after each token.
	changed chan struct{}
}

// engine simulates a model engine.
type engine struct {
	name          string
	settings      Settings
	weights       *weightStore
	checksFencing bool

	lock sync.Mutex
	// fencingToken is the highest fencing token of an order since the engine started.
	fencingToken uint64
	// replicas are the models that the engine holds or loads, by placement.
	replicas map[string]*modelReplica
	// cacheTiers names the tier in which each model's weights are cached.
	cacheTiers map[string]string
	// generations are the answers since the start, by request id.
	generations map[string]*generation
	// down is set by a crash, silent by the fault Silence.
	down   bool
	silent bool
	// lifetime ends with a crash, and with it every connection, load and answer.
	lifetime    context.Context
	endLifetime context.CancelFunc
	// runs counts the completions by request id, loads the loads by model. overcommits
	// and keysSeen are counted as in Truth.
	runs        map[string]int
	loads       map[string]int
	overcommits int
	keysSeen    int
	// slots bounds the requests that the engine runs at once; others wait in its queue.
	slots chan struct{}
	// idleTime is the total time that ready replicas had no request to run.
	idleTime time.Duration
}

func newEngine(name string, settings Settings, weights *weightStore, checksFencing bool) *engine {
	engine := &engine{
		name:          name,
		settings:      settings,
		weights:       weights,
		checksFencing: checksFencing,
		replicas:      map[string]*modelReplica{},
		cacheTiers:    map[string]string{},
		generations:   map[string]*generation{},
		runs:          map[string]int{},
		loads:         map[string]int{},
		slots:         make(chan struct{}, settings.Concurrency),
	}
	engine.lifetime, engine.endLifetime = context.WithCancel(context.Background())
	return engine
}

func (engine *engine) applyFault(fault Fault) {
	switch fault.Kind {
	case "Crash":
		engine.crash(0)
	case "Restart":
		engine.lock.Lock()
		engine.down = false
		engine.lock.Unlock()
	case "Silence":
		engine.lock.Lock()
		engine.silent = fault.On
		engine.lock.Unlock()
	}
}

// crash stops the engine, which loses its replicas, answers and fencing token. The
// engine restarts after the downtime, or only by a Restart fault if that is zero.
func (engine *engine) crash(downtime time.Duration) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	engine.down = true
	engine.endLifetime()
	engine.lifetime, engine.endLifetime = context.WithCancel(context.Background())
	for _, replica := range engine.replicas {
		replica.stop()
	}
	engine.replicas = map[string]*modelReplica{}
	engine.generations = map[string]*generation{}
	engine.fencingToken = 0
	if downtime > 0 {
		time.AfterFunc(downtime, func() {
			engine.lock.Lock()
			defer engine.lock.Unlock()
			engine.down = false
		})
	}
}

// ServeHTTP serves the protocol of the engines: orders, reports and completions.
func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	engine.lock.Lock()
	down, lifetime := engine.down, engine.lifetime
	engine.lock.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	engine.recordExposedKey(request, body)
	switch {
	case request.URL.Path == "/orders":
		engine.handleOrder(writer, body)
	case request.URL.Path == "/report":
		engine.serveReport(writer)
	case strings.HasPrefix(request.URL.Path, "/v1/requests/"):
		engine.resumeOrCancel(lifetime, writer, request)
	default:
		engine.serveCompletion(lifetime, writer, request, body)
	}
}

// recordExposedKey counts the request if it contains a caller's key or a cookie.
func (engine *engine) recordExposedKey(request *http.Request, body []byte) {
	exposed := strings.Contains(string(body), keyPrefix) || strings.Contains(request.URL.String(), keyPrefix)
	for _, values := range request.Header {
		exposed = exposed || strings.Contains(strings.Join(values, " "), keyPrefix)
	}
	if exposed || request.Header.Get("Cookie") != "" {
		engine.lock.Lock()
		engine.keysSeen++
		engine.lock.Unlock()
	}
}

// orderWire is an order of a node to the engine. Number is its fencing token.
type orderWire struct {
	Kind        string
	Placement   string
	Model       string
	Adapter     string
	MemoryBytes int64
	Number      uint64
}

func (engine *engine) handleOrder(writer http.ResponseWriter, body []byte) {
	var order orderWire
	if err := json.Unmarshal(body, &order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(writer, map[string]string{"State": engine.applyOrder(order)})
}

// applyOrder carries out an order and returns the state of its placement, or Stale if
// the engine has seen a higher fencing token.
func (engine *engine) applyOrder(order orderWire) string {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if engine.checksFencing && order.Number < engine.fencingToken {
		return "Stale"
	}
	engine.fencingToken = max(engine.fencingToken, order.Number)
	replica, found := engine.replicas[order.Placement]
	switch order.Kind {
	case "Load":
		if !found {
			replica = engine.startLoad(order)
		}
	case "LoadAdapter":
		if found && replica.ready && !replica.adapters[order.Adapter] {
			engine.startAdapterLoad(order, replica)
		}
	case "Unload":
		return engine.unload(order.Placement, replica, found)
	}
	if replica == nil {
		return "Absent"
	}
	if replica.ready {
		return "Ready"
	}
	return "Loading"
}

// addIdleTime adds a replica's idle time until now to the total. The caller holds the lock.
func (engine *engine) addIdleTime(replica *modelReplica) {
	if replica.ready && replica.running == 0 {
		engine.idleTime += time.Since(replica.idleSince)
	}
	replica.idleSince = time.Now()
}

// unload drops a replica that runs no request, and keeps its weights in the memory
// tier. While requests run it answers Loading, and the order must be repeated.
func (engine *engine) unload(placement string, replica *modelReplica, found bool) string {
	if !found {
		return "Absent"
	}
	if replica.running > 0 {
		return "Loading"
	}
	replica.stop()
	engine.addIdleTime(replica)
	delete(engine.replicas, placement)
	engine.cacheTiers[replica.model] = "Memory"
	return "Absent"
}

func (engine *engine) startLoad(order orderWire) *modelReplica {
	ctx, stop := context.WithCancel(engine.lifetime)
	replica := &modelReplica{model: order.Model, memory: order.MemoryBytes, stop: stop, adapters: map[string]bool{}}
	engine.replicas[order.Placement] = replica
	engine.loads[order.Model]++
	engine.checkMemory()
	loadTime := engine.settings.LoadTime
	tier := engine.cacheTiers[order.Model]
	go func() {
		if !engine.fetchWeights(ctx, tier, loadTime) {
			return
		}
		engine.lock.Lock()
		defer engine.lock.Unlock()
		replica.ready = true
		replica.idleSince = time.Now()
		engine.cacheTiers[replica.model] = "Memory"
	}()
	return replica
}

// fetchWeights waits for a load from the nearest cache tier: a tenth of the load
// time from memory, three tenths from disk, or the whole from the weight store,
// whose throughput all engines share. It returns false if the load was cancelled.
func (engine *engine) fetchWeights(ctx context.Context, tier string, loadTime time.Duration) bool {
	fraction := map[string]float64{"Memory": 0.1, "Disk": 0.3}[tier]
	if fraction == 0 {
		return engine.weights.load(ctx, loadTime)
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(float64(loadTime) * fraction)):
		return true
	}
}

func (engine *engine) startAdapterLoad(order orderWire, replica *modelReplica) {
	replica.adapters[order.Adapter] = false
	replica.memory += order.MemoryBytes
	engine.checkMemory()
	lifetime := engine.lifetime
	go func() {
		if !engine.weights.load(lifetime, engine.settings.AdapterTime) {
			return
		}
		engine.lock.Lock()
		defer engine.lock.Unlock()
		replica.adapters[order.Adapter] = true
	}()
}

// checkMemory counts an overcommitment if the replicas take more than the engine's memory.
func (engine *engine) checkMemory() {
	total := int64(0)
	for _, replica := range engine.replicas {
		total += replica.memory
	}
	if total > engine.settings.EngineMemory {
		engine.overcommits++
	}
}

func (engine *engine) serveReport(writer http.ResponseWriter) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	placements, adapters := map[string]string{}, map[string][]string{}
	running := 0
	for id, replica := range engine.replicas {
		placements[id] = "Loading"
		if replica.ready {
			placements[id] = "Ready"
		}
		for name, ready := range replica.adapters {
			if ready {
				adapters[id] = append(adapters[id], name)
			}
		}
		running += replica.running
	}
	writeJSON(writer, map[string]any{
		"Placements": placements, "Adapters": adapters, "Cached": engine.cacheTiers,
		"Running": min(running, engine.settings.Concurrency), "Queued": max(0, running-engine.settings.Concurrency),
	})
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// serveCompletion starts a completion and streams its events.
func (engine *engine) serveCompletion(lifetime context.Context, writer http.ResponseWriter, request *http.Request, body []byte) {
	id := request.Header.Get("Mimosatide-Request")
	writer.Header().Set("Mimosatide-Request", id)
	placement := request.Header.Get("Mimosatide-Placement")
	var parameters struct {
		MaxTokens int    `json:"max_tokens"`
		Model     string `json:"model"`
	}
	if err := json.Unmarshal(body, &parameters); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.lock.Lock()
	replica, found := engine.replicas[placement]
	if !found || !replica.ready {
		engine.lock.Unlock()
		http.Error(writer, "NotLoaded", http.StatusConflict)
		return
	}
	generated := &generation{placement: placement, tokens: parameters.MaxTokens, changed: make(chan struct{})}
	engine.generations[id] = generated
	engine.runs[id]++
	engine.addIdleTime(replica)
	replica.running++
	engine.lock.Unlock()
	if strings.Contains(string(body), CrashMark) {
		engine.crash(crashDowntime)
		panic(http.ErrAbortHandler)
	}
	go engine.produceTokens(lifetime, replica, generated)
	engine.streamEvents(lifetime, writer, request, id, generated, 0)
}

// produceTokens produces the tokens of an answer, whether or not a client reads them.
func (engine *engine) produceTokens(lifetime context.Context, replica *modelReplica, generated *generation) {
	select {
	case engine.slots <- struct{}{}:
		defer func() { <-engine.slots }()
	case <-lifetime.Done():
		return
	}
	for {
		select {
		case <-lifetime.Done():
			return
		case <-time.After(engine.settings.TokenTime):
		}
		engine.lock.Lock()
		generated.produced++
		ended := generated.cancelled || generated.produced >= generated.tokens
		if ended {
			replica.running--
			replica.idleSince = time.Now()
		}
		close(generated.changed)
		generated.changed = make(chan struct{})
		engine.lock.Unlock()
		if ended {
			return
		}
	}
}

// streamEvents writes the events after the given index as they are produced.
func (engine *engine) streamEvents(lifetime context.Context, writer http.ResponseWriter, request *http.Request, id string, generated *generation, after int) {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Mimosatide-Request", id)
	flusher, _ := writer.(http.Flusher)
	chat := strings.Contains(request.URL.Path, "chat")
	for sent := after; ; {
		engine.lock.Lock()
		produced, tokens, cancelled, changed, silent := generated.produced, generated.tokens, generated.cancelled, generated.changed, engine.silent
		engine.lock.Unlock()
		if silent {
			select {
			case <-request.Context().Done():
			case <-lifetime.Done():
			}
			panic(http.ErrAbortHandler)
		}
		for ; sent < produced; sent++ {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", sent+1, encodeChunk(chat, sent+1, tokens))
		}
		if sent >= tokens {
			_, _ = fmt.Fprint(writer, "data: [DONE]\n\n")
			flusher.Flush()
			return
		}
		if cancelled {
			panic(http.ErrAbortHandler)
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		case <-lifetime.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// encodeChunk returns the data of the event with the given index, counted from one.
func encodeChunk(chat bool, index, tokens int) string {
	finish := "null"
	if index == tokens {
		finish = `"length"`
	}
	text := fmt.Sprintf(`"text":"t%d "`, index)
	if chat {
		text = fmt.Sprintf(`"delta":{"content":"t%d "}`, index)
	}
	return fmt.Sprintf(`{"choices":[{"index":0,%s,"finish_reason":%s}]}`, text, finish)
}

// resumeOrCancel cancels an answer on DELETE, and otherwise streams the events after Last-Event-ID.
func (engine *engine) resumeOrCancel(lifetime context.Context, writer http.ResponseWriter, request *http.Request) {
	id := strings.TrimSuffix(strings.TrimPrefix(request.URL.Path, "/v1/requests/"), "/events")
	engine.lock.Lock()
	generated, found := engine.generations[id]
	if found && request.Method == http.MethodDelete {
		generated.cancelled = true
	}
	// A resume ends the Silence fault: it comes over a new connection, which works.
	engine.silent = engine.silent && request.Method == http.MethodDelete
	engine.lock.Unlock()
	if !found {
		http.Error(writer, "no such request", http.StatusNotFound)
		return
	}
	if request.Method == http.MethodDelete {
		return
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-ID"))
	engine.streamEvents(lifetime, writer, request, id, generated, after)
}

// addTo adds the engine's records to the totals.
func (engine *engine) addTo(truth *Truth) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	for id, count := range engine.runs {
		truth.Runs[id] += count
	}
	for model, count := range engine.loads {
		truth.Loads[model] += count
	}
	for _, replica := range engine.replicas {
		engine.addIdleTime(replica)
	}
	truth.IdleSeconds += engine.idleTime.Seconds()
	truth.Overcommitted += engine.overcommits
	truth.KeysSeen += engine.keysSeen
}
