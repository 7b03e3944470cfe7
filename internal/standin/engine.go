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

// CrashMark in a request's body makes the target crash that runs it.
const CrashMark = "crash-the-target"

// keyMark is how every caller's key of the demo and the tests begins.
const keyMark = "sk-"

// crashTime is how long a crashed target stays away.
const crashTime = 1500 * time.Millisecond

type replica struct {
	model    string
	memory   int64
	ready    bool
	stop     context.CancelFunc
	adapters map[string]bool
	running  int
	// idleSince is when the ready replica last had something to run.
	idleSince time.Time
}

// generation is one streamed answer, kept so that it can be resumed.
type generation struct {
	placement string
	tokens    int
	done      int
	cancelled bool
	changed   chan struct{}
}

// engine plays a model engine.
type engine struct {
	name     string
	settings Settings
	weights  *weightStore
	checks   bool

	lock     sync.Mutex
	number   uint64
	replicas map[string]*replica
	cached   map[string]string
	running  map[string]*generation
	down     bool
	silent   bool
	// boot ends every connection and answer of one life of the engine.
	boot     context.Context
	crash    context.CancelFunc
	runs     map[string]int
	loads    map[string]int
	over     int
	keysSeen int
	// slots are the requests that the engine runs at once; others wait in its queue.
	slots chan struct{}
	// idle sums up the time that ready replicas had nothing to run.
	idle time.Duration
}

func newEngine(name string, settings Settings, weights *weightStore, checks bool) *engine {
	played := &engine{
		name:     name,
		settings: settings,
		weights:  weights,
		checks:   checks,
		replicas: map[string]*replica{},
		cached:   map[string]string{},
		running:  map[string]*generation{},
		runs:     map[string]int{},
		loads:    map[string]int{},
		slots:    make(chan struct{}, settings.Concurrency),
	}
	played.boot, played.crash = context.WithCancel(context.Background())
	return played
}

func (played *engine) switchFault(fault Fault) {
	switch fault.Kind {
	case "Crash":
		played.goDown(0)
	case "Restart":
		played.lock.Lock()
		played.down = false
		played.lock.Unlock()
	case "Silence":
		played.lock.Lock()
		played.silent = fault.On
		played.lock.Unlock()
	}
}

// goDown forgets all that the engine held in memory, and comes back after a while unless it is zero.
func (played *engine) goDown(back time.Duration) {
	played.lock.Lock()
	defer played.lock.Unlock()
	played.down = true
	played.crash()
	played.boot, played.crash = context.WithCancel(context.Background())
	for _, held := range played.replicas {
		held.stop()
	}
	played.replicas = map[string]*replica{}
	played.running = map[string]*generation{}
	played.number = 0
	if back > 0 {
		time.AfterFunc(back, func() {
			played.lock.Lock()
			defer played.lock.Unlock()
			played.down = false
		})
	}
}

// ServeHTTP answers by the engines' protocol.
func (played *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	played.lock.Lock()
	down, boot := played.down, played.boot
	played.lock.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	played.lookForKeys(request, body)
	switch {
	case request.URL.Path == "/orders":
		played.takeOrder(writer, body)
	case request.URL.Path == "/report":
		played.report(writer)
	case strings.HasPrefix(request.URL.Path, "/v1/requests/"):
		played.resumeOrCancel(boot, writer, request)
	default:
		played.generate(boot, writer, request, body)
	}
}

func (played *engine) lookForKeys(request *http.Request, body []byte) {
	seen := strings.Contains(string(body), keyMark) || strings.Contains(request.URL.String(), keyMark)
	for _, values := range request.Header {
		seen = seen || strings.Contains(strings.Join(values, " "), keyMark)
	}
	if seen || request.Header.Get("Cookie") != "" {
		played.lock.Lock()
		played.keysSeen++
		played.lock.Unlock()
	}
}

type orderWire struct {
	Kind        string
	Placement   string
	Model       string
	Adapter     string
	MemoryBytes int64
	Number      uint64
}

func (played *engine) takeOrder(writer http.ResponseWriter, body []byte) {
	var order orderWire
	if err := json.Unmarshal(body, &order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(writer, map[string]string{"State": played.obey(order)})
}

func (played *engine) obey(order orderWire) string {
	played.lock.Lock()
	defer played.lock.Unlock()
	if played.checks && order.Number < played.number {
		return "Stale"
	}
	played.number = max(played.number, order.Number)
	held, found := played.replicas[order.Placement]
	switch order.Kind {
	case "Load":
		if !found {
			held = played.startLoad(order)
		}
	case "LoadAdapter":
		if found && held.ready && !held.adapters[order.Adapter] {
			played.startAdapter(order, held)
		}
	case "Unload":
		return played.unload(order.Placement, held, found)
	}
	if held == nil {
		return "Absent"
	}
	if held.ready {
		return "Ready"
	}
	return "Loading"
}

// countIdle adds up a replica's idle time until now; the lock is held.
func (played *engine) countIdle(held *replica) {
	if held.ready && held.running == 0 {
		played.idle += time.Since(held.idleSince)
	}
	held.idleSince = time.Now()
}

// unload drops a replica once its requests have ended.
func (played *engine) unload(placement string, held *replica, found bool) string {
	if !found {
		return "Absent"
	}
	if held.running > 0 {
		return "Loading"
	}
	held.stop()
	played.countIdle(held)
	delete(played.replicas, placement)
	played.cached[held.model] = "Memory"
	return "Absent"
}

func (played *engine) startLoad(order orderWire) *replica {
	ctx, stop := context.WithCancel(played.boot)
	held := &replica{model: order.Model, memory: order.MemoryBytes, stop: stop, adapters: map[string]bool{}}
	played.replicas[order.Placement] = held
	played.loads[order.Model]++
	played.countMemory()
	full := played.settings.LoadTime
	tier := played.cached[order.Model]
	go func() {
		if !played.fetch(ctx, tier, full) {
			return
		}
		played.lock.Lock()
		defer played.lock.Unlock()
		held.ready = true
		held.idleSince = time.Now()
		played.cached[held.model] = "Memory"
	}()
	return held
}

// fetch loads from the nearest tier; only the weight store is shared.
func (played *engine) fetch(ctx context.Context, tier string, full time.Duration) bool {
	part := map[string]float64{"Memory": 0.1, "Disk": 0.3}[tier]
	if part == 0 {
		return played.weights.load(ctx, full)
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(float64(full) * part)):
		return true
	}
}

func (played *engine) startAdapter(order orderWire, held *replica) {
	held.adapters[order.Adapter] = false
	held.memory += order.MemoryBytes
	played.countMemory()
	boot := played.boot
	go func() {
		if !played.weights.load(boot, played.settings.AdapterTime) {
			return
		}
		played.lock.Lock()
		defer played.lock.Unlock()
		held.adapters[order.Adapter] = true
	}()
}

func (played *engine) countMemory() {
	sum := int64(0)
	for _, held := range played.replicas {
		sum += held.memory
	}
	if sum > played.settings.EngineMemory {
		played.over++
	}
}

func (played *engine) report(writer http.ResponseWriter) {
	played.lock.Lock()
	defer played.lock.Unlock()
	placements, adapters := map[string]string{}, map[string][]string{}
	running := 0
	for id, held := range played.replicas {
		placements[id] = "Loading"
		if held.ready {
			placements[id] = "Ready"
		}
		for name, ready := range held.adapters {
			if ready {
				adapters[id] = append(adapters[id], name)
			}
		}
		running += held.running
	}
	writeJSON(writer, map[string]any{
		"Placements": placements, "Adapters": adapters, "Cached": played.cached,
		"Running": min(running, played.settings.Concurrency), "Queued": max(0, running-played.settings.Concurrency),
	})
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// generate starts an answer and streams it.
func (played *engine) generate(boot context.Context, writer http.ResponseWriter, request *http.Request, body []byte) {
	id := request.Header.Get("Mimosatide-Request")
	placement := request.Header.Get("Mimosatide-Placement")
	var asked struct {
		MaxTokens int    `json:"max_tokens"`
		Model     string `json:"model"`
	}
	if err := json.Unmarshal(body, &asked); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	played.lock.Lock()
	held, found := played.replicas[placement]
	if !found || !held.ready {
		played.lock.Unlock()
		http.Error(writer, "NotLoaded", http.StatusConflict)
		return
	}
	made := &generation{placement: placement, tokens: asked.MaxTokens, changed: make(chan struct{})}
	played.running[id] = made
	played.runs[id]++
	played.countIdle(held)
	held.running++
	played.lock.Unlock()
	if strings.Contains(string(body), CrashMark) {
		played.goDown(crashTime)
		panic(http.ErrAbortHandler)
	}
	go played.work(boot, held, made)
	played.stream(boot, writer, request, id, made, 0)
}

// work generates the tokens whether or not anybody reads them.
func (played *engine) work(boot context.Context, held *replica, made *generation) {
	select {
	case played.slots <- struct{}{}:
		defer func() { <-played.slots }()
	case <-boot.Done():
		return
	}
	for {
		select {
		case <-boot.Done():
			return
		case <-time.After(played.settings.TokenTime):
		}
		played.lock.Lock()
		made.done++
		ended := made.cancelled || made.done >= made.tokens
		if ended {
			held.running--
			held.idleSince = time.Now()
		}
		close(made.changed)
		made.changed = make(chan struct{})
		played.lock.Unlock()
		if ended {
			return
		}
	}
}

// stream writes the events behind the given one.
func (played *engine) stream(boot context.Context, writer http.ResponseWriter, request *http.Request, id string, made *generation, after int) {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Mimosatide-Request", id)
	flusher, _ := writer.(http.Flusher)
	chat := strings.Contains(request.URL.Path, "chat")
	for sent := after; ; {
		played.lock.Lock()
		done, tokens, cancelled, changed, silent := made.done, made.tokens, made.cancelled, made.changed, played.silent
		played.lock.Unlock()
		if silent {
			select {
			case <-request.Context().Done():
			case <-boot.Done():
			}
			panic(http.ErrAbortHandler)
		}
		for ; sent < done; sent++ {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", sent+1, chunk(chat, sent+1, tokens))
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
		case <-boot.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func chunk(chat bool, index, tokens int) string {
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

func (played *engine) resumeOrCancel(boot context.Context, writer http.ResponseWriter, request *http.Request) {
	id := strings.TrimSuffix(strings.TrimPrefix(request.URL.Path, "/v1/requests/"), "/events")
	played.lock.Lock()
	made, found := played.running[id]
	if found && request.Method == http.MethodDelete {
		made.cancelled = true
	}
	// A resumed stream comes over a new connection, which works.
	played.silent = played.silent && request.Method == http.MethodDelete
	played.lock.Unlock()
	if !found {
		http.Error(writer, "no such request", http.StatusNotFound)
		return
	}
	if request.Method == http.MethodDelete {
		return
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-ID"))
	played.stream(boot, writer, request, id, made, after)
}

func (played *engine) tell(truth *Truth) {
	played.lock.Lock()
	defer played.lock.Unlock()
	for id, count := range played.runs {
		truth.Runs[id] += count
	}
	for model, count := range played.loads {
		truth.Loads[model] += count
	}
	for _, held := range played.replicas {
		played.countIdle(held)
	}
	truth.IdleSeconds += played.idle.Seconds()
	truth.Overcommitted += played.over
	truth.KeysSeen += played.keysSeen
}
