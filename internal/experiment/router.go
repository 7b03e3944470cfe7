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
	routerPoll = 50 * time.Millisecond
	// routerWait bounds a request's wait for its model.
	routerWait = 5 * time.Minute
)

// SimpleRouter is a router without any of the product's decisions: round robin over
// the engines, first come first served, a load on the first demand at whatever
// engine comes next, and an unload after a fixed idle time. Each router decides
// for itself, as routers without coordination do.
type SimpleRouter struct {
	targets *target.Client
	engines []mimosatide.TargetSpec
	memory  int64
	idle    time.Duration
	name    string

	lock   sync.Mutex
	next   int
	orders mimosatide.FencingToken
	loaded map[string]*routedModel
}

type routedModel struct {
	placement string
	engine    mimosatide.TargetSpec
	ready     chan struct{}
	running   int
	lastUse   time.Time
}

// NewSimpleRouter returns a router for the given engines.
func NewSimpleRouter(name string, engines []mimosatide.TargetSpec, memory int64, idle time.Duration) (*SimpleRouter, error) {
	targets, err := target.New(target.DefaultSettings())
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &SimpleRouter{
		name: name, targets: targets, engines: engines, memory: memory, idle: idle, loaded: map[string]*routedModel{},
	}, nil
}

// Serve answers callers at the addresses until the context ends.
func (router *SimpleRouter) Serve(ctx context.Context, addresses ...string) error {
	server := &http.Server{Handler: router, ReadHeaderTimeout: time.Minute}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Trace(err)
		}
		go func() { _ = server.Serve(listener) }()
	}
	ticker := time.NewTicker(routerPoll)
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

// ServeHTTP routes one chat request.
func (router *SimpleRouter) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/readyz" {
		return
	}
	body, err := io.ReadAll(request.Body)
	var asked struct{ Model string }
	if err == nil {
		err = json.Unmarshal(body, &asked)
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), routerWait)
	defer cancel()
	model := router.acquire(ctx, asked.Model)
	defer router.release(model)
	select {
	case <-model.ready:
	case <-ctx.Done():
		http.Error(writer, "too late", http.StatusGatewayTimeout)
		return
	}
	router.pass(ctx, writer, request, body, model)
}

func (router *SimpleRouter) pass(ctx context.Context, writer http.ResponseWriter, request *http.Request, body []byte, model *routedModel) {
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

// acquire returns the model, loaded or loading.
func (router *SimpleRouter) acquire(ctx context.Context, name string) *routedModel {
	router.lock.Lock()
	defer router.lock.Unlock()
	model, known := router.loaded[name]
	if !known {
		router.next++
		router.orders++
		model = &routedModel{
			placement: fmt.Sprintf("%s@%s-%d", name, router.name, router.orders),
			engine:    router.engines[router.next%len(router.engines)],
			ready:     make(chan struct{}),
		}
		router.loaded[name] = model
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

func (router *SimpleRouter) load(ctx context.Context, name string, model *routedModel) {
	order := mimosatide.Order{Kind: mimosatide.OrderLoad, Placement: model.placement, Model: name, Memory: router.memory, Number: 1}
	for {
		state, err := router.targets.SendOrder(ctx, model.engine, order)
		if err == nil && state == mimosatide.OrderReady {
			close(model.ready)
			return
		}
		time.Sleep(routerPoll)
	}
}

func (router *SimpleRouter) unloadIdle(ctx context.Context) {
	router.lock.Lock()
	defer router.lock.Unlock()
	for name, model := range router.loaded {
		if model.running > 0 || model.lastUse.IsZero() || time.Since(model.lastUse) < router.idle {
			continue
		}
		delete(router.loaded, name)
		order := mimosatide.Order{Kind: mimosatide.OrderUnload, Placement: model.placement, Number: 1}
		go func() { _, _ = router.targets.SendOrder(context.WithoutCancel(ctx), model.engine, order) }()
	}
}
