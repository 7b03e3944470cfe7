package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

// engineSettings describe a model replica.
type engineSettings struct {
	id      string
	service string
	slots   int
	// firstEvent is the time until the first event of a stream, pause that between two events, events their number.
	firstEvent time.Duration
	pause      time.Duration
	events     int
	// diskLoad is the time of a load from the replica's own disk.
	diskLoad time.Duration
	// crashes reports whether a request crashes the replica, crashAfter is how long after its first event.
	crashes    func(request *http.Request) bool
	crashAfter time.Duration
	// downtime is how long the replica is down after a crash.
	downtime time.Duration
	// dark says that its machine goes down with it: meanwhile its channels stay silent instead of being reset.
	dark bool
}

// engine is a model replica that speaks the platform's protocol: it runs streams, and holds the models that it
// was ordered to load.
type engine struct {
	engineSettings
	store  *emulator.Store
	record *record

	lock    sync.Mutex
	address string
	server  *http.Server
	// darkness is that of the incarnation.
	darkness *darkness
	born     int64
	models   []string
	onDisk   []string
	busy     bool
	orders   int64
	fence    uint64
	running  int
	down     bool
	ended    bool
	// arrivals and crashed are the times at which requests that crash the replica reached it, and at which it crashed.
	arrivals []time.Time
	crashed  []time.Time
}

// startEngine starts a replica that holds the given models.
func startEngine(settings engineSettings, store *emulator.Store, log *record, ip string, models ...string) (*engine, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	started := &engine{
		engineSettings: settings, store: store, record: log, address: listener.Addr().String(),
		models: models, onDisk: slices.Clone(models),
	}
	started.lock.Lock()
	defer started.lock.Unlock()
	started.serveAt(listener)
	return started, nil
}

// serveAt begins an incarnation. The caller holds the lock.
func (engine *engine) serveAt(listener net.Listener) {
	engine.born = time.Now().UnixMilli()
	engine.busy, engine.orders, engine.fence, engine.running, engine.down = false, 0, 0, 0, false
	engine.server = &http.Server{Handler: http.HandlerFunc(engine.serve)}
	engine.darkness = &darkness{over: make(chan struct{})}
	go func(server *http.Server, state *darkness) {
		_ = server.Serve(darkListener{Listener: listener, state: state})
	}(engine.server, engine.darkness)
	engine.putRow()
}

// putRow writes the replica's row. The caller holds the lock.
func (engine *engine) putRow() {
	row, err := json.Marshal(map[string]any{
		"service": engine.service, "address": engine.address, "zone": "a", "version": "1", "slots": engine.slots, "state": "ready",
		"callSeq": engine.orders, "coldLeftMs": 0, "born": engine.born, "models": engine.held(), "atHand": engine.copies(),
	})
	if err != nil {
		panic(err)
	}
	engine.store.Put("servers", engine.id, string(row))
}

func (engine *engine) held() []map[string]any {
	held := []map[string]any{}
	for _, name := range engine.models {
		held = append(held, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return held
}

func (engine *engine) copies() map[string][]string {
	return map[string][]string{"inMemory": {}, "onDisk": append([]string{}, engine.onDisk...)}
}

// crash ends the incarnation: its connections are reset and nothing listens at its address. After the downtime the
// replica starts again, empty, under its id and at its address.
func (engine *engine) crash() {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if engine.down || engine.ended {
		return
	}
	engine.down = true
	engine.crashed = append(engine.crashed, engine.record.add("replica %s crashes", engine.id))
	if engine.dark {
		engine.darkness.fall()
	} else {
		_ = engine.server.Close()
	}
	time.AfterFunc(engine.downtime, engine.restart)
}

func (engine *engine) restart() {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if engine.ended {
		return
	}
	if engine.dark {
		engine.darkness.end()
		_ = engine.server.Close()
	}
	listener, err := net.Listen("tcp", engine.address)
	if err != nil {
		engine.record.add("replica %s can't start again: %v", engine.id, err)
		return
	}
	engine.models = nil
	engine.serveAt(listener)
	engine.record.add("replica %s is back, empty", engine.id)
}

// end ends the replica for good.
func (engine *engine) end() {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	engine.ended = true
	_ = engine.server.Close()
}

func (engine *engine) serve(writer http.ResponseWriter, request *http.Request) {
	if named := request.Header.Get("Target-Instance"); named != "" && named != engine.id {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/report":
		engine.serveReport(writer)
	case "/order":
		engine.serveOrder(writer, request)
	case "/health":
		writer.Header().Set("Instance-Id", engine.id)
	default:
		engine.run(writer, request)
	}
}

func (engine *engine) serveReport(writer http.ResponseWriter) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"stage": "mixed", "models": engine.held(), "busy": engine.busy, "callSeq": engine.orders, "waiting": 0, "running": engine.running,
		"kvUsed": 0, "kvTotal": 200000, "handles": 0, "atHand": engine.copies(), "born": engine.born,
	})
}

func (engine *engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Operation    string
		Model        string
		Precondition *int64
		Holder       string
		FenceToken   uint64
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil || order.Holder == "" || order.FenceToken == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	holds := slices.Contains(engine.models, order.Model)
	status := http.StatusAccepted
	switch {
	case order.FenceToken < engine.fence:
		status = http.StatusPreconditionFailed
	case engine.busy || order.Precondition != nil && *order.Precondition != engine.orders:
		status = http.StatusConflict
	case order.Operation == "load" && holds || order.Operation == "unload" && !holds:
		status = http.StatusOK
	}
	if status < http.StatusMultipleChoices {
		engine.fence = order.FenceToken
		engine.orders++
	}
	if status == http.StatusAccepted && order.Operation == "load" {
		engine.load(order.Model)
	}
	if status == http.StatusAccepted && order.Operation == "unload" {
		engine.models = slices.DeleteFunc(engine.models, func(name string) bool { return name == order.Model })
		engine.putRow()
	}
	writer.WriteHeader(status)
}

// load begins a load. The caller holds the lock.
func (engine *engine) load(model string) {
	engine.busy = true
	born := engine.born
	time.AfterFunc(engine.diskLoad, func() {
		engine.lock.Lock()
		defer engine.lock.Unlock()
		if engine.born != born || engine.down {
			return
		}
		engine.busy = false
		engine.models = append(engine.models, model)
		engine.record.add("replica %s holds %s", engine.id, model)
		engine.putRow()
	})
}

// admit takes a slot for a request, or returns the status of its refusal.
func (engine *engine) admit(request *http.Request) int {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	switch {
	case request.Header.Get("Attempt-Id") == "":
		return http.StatusBadRequest
	case !slices.Contains(engine.models, request.Header.Get("Model")):
		return http.StatusMisdirectedRequest
	case engine.running >= engine.slots:
		return http.StatusServiceUnavailable
	}
	engine.running++
	return 0
}

func (engine *engine) run(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Attempt-Id")
	header := writer.Header()
	header.Set("Attempt-Id", id)
	deadly := engine.crashes != nil && engine.crashes(request)
	if status := engine.admit(request); status != 0 {
		header.Set("Not-Executed", "1")
		writer.WriteHeader(status)
		return
	}
	defer func() {
		engine.lock.Lock()
		defer engine.lock.Unlock()
		engine.running--
	}()
	_, _ = io.Copy(io.Discard, request.Body)
	at := engine.record.add("replica %s runs %s%s", engine.id, id, map[bool]string{true: ", the deadly request", false: ""}[deadly])
	if deadly {
		engine.lock.Lock()
		engine.arrivals = append(engine.arrivals, at)
		engine.lock.Unlock()
	}
	header.Set("Response-Signature", "1."+engine.id+"."+id)
	header.Set("Content-Type", "text/event-stream")
	engine.stream(request.Context(), writer, id, deadly)
}

// stream sends the events of a run. A deadly one crashes the replica some time after its first event.
func (engine *engine) stream(ctx context.Context, writer http.ResponseWriter, id string, deadly bool) {
	flusher := http.NewResponseController(writer)
	if !pause(ctx, engine.firstEvent) {
		return
	}
	began := time.Now()
	for event := 1; event <= engine.events; event++ {
		if deadly && time.Since(began) >= engine.crashAfter {
			engine.crash()
			if engine.dark {
				// Nothing ends before the machine is back.
				<-engine.darkness.over
			}
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(writer, "id: %d\ndata: %s %d of %d\n\n", event, id, event, engine.events)
		if flusher.Flush() != nil || !pause(ctx, engine.pause) {
			return
		}
	}
	engine.record.add("replica %s has run %s to its end, %s events", engine.id, id, strconv.Itoa(engine.events))
}

// pause waits and reports whether the context has not ended.
func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
