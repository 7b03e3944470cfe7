package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/target"
)

const (
	// routerPollInterval is the interval of load orders and of checks for idle models.
	routerPollInterval = 50 * time.Millisecond
	// routerWaitLimit bounds a request's wait for its model.
	routerWaitLimit = 5 * time.Minute
)

// SimpleRouter is the baseline that the product is compared with. It serves first
// come first served, loads a model on its first request at the next engine in
// round-robin order, and unloads it after a fixed idle time. Several routers
// don't coordinate: each may load the same model.
type SimpleRouter struct {
	targets     *target.Client
	engines     []mimosatide.TargetSpec
	modelMemory int64
	idleTimeout time.Duration
	name        string

	lock       sync.Mutex
	nextEngine int
	// loadCount counts the loads; it makes the placement ids unique.
	loadCount mimosatide.FencingToken
	// models holds the models that are loaded or being loaded, by name.
	models map[string]*routedModel
}

// routedModel is a model that is loaded or being loaded; ready is closed after the load.
type routedModel struct {
	placement string
	engine    mimosatide.TargetSpec
	ready     chan struct{}
	// running is the number of requests that wait for the model or run.
	running int
	lastUse time.Time
}

// NewSimpleRouter returns a router for the given engines. Its name must be unique
// among the routers of these engines; modelMemory is what each model takes, in bytes.
func NewSimpleRouter(name string, engines []mimosatide.TargetSpec, modelMemory int64, idleTimeout time.Duration) (*SimpleRouter, error) {
	targets, err := target.New(target.DefaultSettings())
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &SimpleRouter{
		name: name, targets: targets, engines: engines, modelMemory: modelMemory, idleTimeout: idleTimeout, models: map[string]*routedModel{},
	}, nil
}

// Serve serves callers at the addresses until the context ends.
func (router *SimpleRouter) Serve(ctx context.Context, addresses ...string) error {
	server := &http.Server{Handler: router, ReadHeaderTimeout: time.Minute}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Trace(err)
		}
		go func() { _ = server.Serve(listener) }()
	}
	ticker := time.NewTicker(routerPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			router.unloadIdle(ctx)
		}
	}
	return errors.Trace(server.Close())
}

// ServeHTTP answers readiness checks, and forwards completion requests once their model is loaded.
func (router *SimpleRouter) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/readyz" {
		return
	}
	body, err := io.ReadAll(request.Body)
	var parameters struct{ Model string }
	if err == nil {
		err = json.Unmarshal(body, &parameters)
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), routerWaitLimit)
	defer cancel()
	model := router.acquire(ctx, parameters.Model)
	defer router.release(model)
	select {
	case <-model.ready:
	case <-ctx.Done():
		http.Error(writer, "too late", http.StatusGatewayTimeout)
		return
	}
	router.forward(ctx, writer, request, body, model)
}

func (router *SimpleRouter) forward(ctx context.Context, writer http.ResponseWriter, request *http.Request, body []byte, model *routedModel) {
	call := mimosatide.Call{
		Request: fmt.Sprintf("%s-%d", router.name, time.Now().UnixNano()), Placement: model.placement, Method: http.MethodPost,
		Path: request.URL.Path, Body: body, Stream: true, Headers: map[string]string{"Content-Type": "application/json"},
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := writer.(http.Flusher)
	router.targets.Run(ctx, model.engine, call, func(event mimosatide.Event) error {
		if event.Last {
			_, err := fmt.Fprint(writer, "data: [DONE]\n\n")
			return err
		}
		_, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event.Index, event.Data)
		flusher.Flush()
		return err
	})
}

// acquire returns a model and counts the request as running; it starts a load on the first request.
func (router *SimpleRouter) acquire(ctx context.Context, name string) *routedModel {
	router.lock.Lock()
	defer router.lock.Unlock()
	model, known := router.models[name]
	if !known {
		router.nextEngine++
		router.loadCount++
		model = &routedModel{
			placement: fmt.Sprintf("%s@%s-%d", name, router.name, router.loadCount),
			engine:    router.engines[router.nextEngine%len(router.engines)],
			ready:     make(chan struct{}),
		}
		router.models[name] = model
		go router.load(context.WithoutCancel(ctx), name, model)
	}
	model.running++
	return model
}

func (router *SimpleRouter) release(model *routedModel) {
	router.lock.Lock()
	defer router.lock.Unlock()
	model.running--
	model.lastUse = time.Now()
}

// load repeats the order until the engine has loaded the model.
func (router *SimpleRouter) load(ctx context.Context, name string, model *routedModel) {
	order := mimosatide.Order{Kind: mimosatide.OrderLoad, Placement: model.placement, Model: name, Memory: router.modelMemory, FencingToken: 1}
	for {
		state, err := router.targets.SendOrder(ctx, model.engine, order)
		if err == nil && state == mimosatide.OrderReady {
			close(model.ready)
			return
		}
		time.Sleep(routerPollInterval)
	}
}

func (router *SimpleRouter) unloadIdle(ctx context.Context) {
	router.lock.Lock()
	defer router.lock.Unlock()
	for name, model := range router.models {
		if model.running > 0 || model.lastUse.IsZero() || time.Since(model.lastUse) < router.idleTimeout {
			continue
		}
		delete(router.models, name)
		order := mimosatide.Order{Kind: mimosatide.OrderUnload, Placement: model.placement, FencingToken: 1}
		go func() { _, _ = router.targets.SendOrder(context.WithoutCancel(ctx), model.engine, order) }()
	}
}
