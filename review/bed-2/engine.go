package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// adapterSlots is the number of adapters that an engine holds.
const adapterSlots = 8

// order is an order as it arrived.
type order struct {
	at         time.Time
	engine     string
	holder     string
	fenceToken uint64
	status     int
	text       string
}

// engine is a replica that holds one model and loads its adapters by orders. It does not check fences.
type engine struct {
	bed     *bed
	id      string
	address string

	// quiet keeps orders out of the record.
	quiet bool

	lock     sync.Mutex
	adapters []string
	callSeq  int64
	orders   []order
	requests int
	// beats is the number of times that the row was written.
	beats int
}

// start starts the engine and writes its row.
func (engine *engine) start(host int) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /order", engine.serveOrder)
	mux.HandleFunc("GET /report", engine.serveReport)
	mux.HandleFunc("/", engine.serveRequest)
	engine.address = engine.bed.serve(host, mux)
	engine.lock.Lock()
	defer engine.lock.Unlock()
	engine.putRow()
}

func (engine *engine) models() []map[string]any {
	return []map[string]any{{"name": "m1", "version": 1, "adapters": slices.Clone(engine.adapters)}}
}

// putRow writes the engine's row. The caller holds the lock.
func (engine *engine) putRow() {
	row, err := json.Marshal(map[string]any{
		"service": "llm", "address": engine.address, "zone": "a", "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0,
		"callSeq": engine.beats, "born": engine.bed.began.UnixMilli(), "models": engine.models(),
		"atHand": map[string][]string{"inMemory": {"m1"}, "onDisk": {"m1"}},
	})
	check(err)
	engine.beats++
	engine.bed.store.Put("servers", engine.id, string(row))
}

func (engine *engine) serveReport(writer http.ResponseWriter, _ *http.Request) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"stage": "mixed", "models": engine.models(), "busy": false, "callSeq": engine.callSeq, "waiting": 0, "running": 0,
		"kvUsed": 0, "kvTotal": 200000, "handles": 0, "coming": []string{}, "born": engine.bed.began.UnixMilli(),
		"atHand": map[string][]string{"inMemory": {"m1"}, "onDisk": {"m1"}},
	})
}

func (engine *engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var received struct {
		Operation, Model, Adapter, Holder string
		Precondition                      *int64
		FenceToken                        uint64
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	at := time.Now()
	if json.Unmarshal(body, &received) != nil || received.Holder == "" || received.FenceToken == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	status := engine.carryOut(received.Operation, received.Adapter, received.Precondition)
	text := fmt.Sprintf("%s %s after %d", received.Operation, received.Adapter, *received.Precondition)
	engine.orders = append(engine.orders, order{
		at: at, engine: engine.id, holder: received.Holder, fenceToken: received.FenceToken, status: status, text: text,
	})
	if !engine.quiet {
		engine.bed.note("order at %s by %s, epoch %d: %s: %d", engine.id, received.Holder, received.FenceToken, text, status)
	}
	writer.WriteHeader(status)
}

// carryOut carries out an order on an adapter. The caller holds the lock.
func (engine *engine) carryOut(operation, adapter string, precondition *int64) int {
	if precondition != nil && *precondition != engine.callSeq {
		return http.StatusConflict
	}
	index := slices.Index(engine.adapters, adapter)
	switch {
	case adapter == "":
		return http.StatusBadRequest
	case operation == "load" && index < 0:
		engine.adapters = append(engine.adapters, adapter)
	case operation == "unload" && index >= 0:
		engine.adapters = slices.Delete(engine.adapters, index, index+1)
	}
	engine.callSeq++
	engine.putRow()
	return http.StatusOK
}

func (engine *engine) serveRequest(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	writer.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	_, adapter, _ := strings.Cut(request.Header.Get("Model"), "/")
	engine.lock.Lock()
	held := adapter == "" || slices.Contains(engine.adapters, adapter)
	if held {
		engine.requests++
	}
	engine.lock.Unlock()
	if !held {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	writer.Header().Set("Response-Signature", "by "+engine.id)
	writer.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= 3; event++ {
		time.Sleep(5 * time.Millisecond)
		fmt.Fprintf(writer, "id: %d\ndata: %d of 3\n\n", event, event)
		if http.NewResponseController(writer).Flush() != nil {
			return
		}
	}
}

// received returns the orders that have arrived, in their order.
func (engine *engine) received() []order {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	return slices.Clone(engine.orders)
}
