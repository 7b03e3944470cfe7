// Package gateway answers the callers' requests on the users' platform.
//
// A request goes one way: it is decoded, led to a route, admitted for its
// account, given a target, sent, and its answer relayed. Each stage is a file;
// each refusal names the stage's reason.
//
// # Usage
//
//	gate := gateway.New(gateway.Parts{...}, log)
//	server := &http.Server{Handler: gate}
package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/allowance"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/exchange"
	"mimosatide.example/mimosatide/internal/loading"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/internal/registry"
	"mimosatide.example/mimosatide/platform"
)

// Loader is asked for models and adapters that requests wait for.
type Loader interface {
	// Need asks for a model or an adapter.
	Need(need loading.Need)
	// Use counts a prompt that came for a model.
	Use(service, model string, prefill time.Duration)
	// UseAdapter notes that a request uses an adapter at a target until it calls the returned function.
	UseAdapter(service string, adapter loading.AdapterAt) func()
}

// Parts are what a Gateway works with.
type Parts struct {
	// Deployment returns the configuration in force, or nil while none is known.
	Deployment func() *mimosatide.Deployment
	Targets    *registry.Registry
	Tracker    *balance.Tracker
	Ledger     *allowance.Ledger
	Exchange   *exchange.Exchange
	Loader     Loader
	Repeats    *Repeats
	Suspects   *Suspects
	Meter      *metric.Meter
	// Draining is closed when requests that still wait for a target have to be
	// refused, because the process would end before they were served.
	Draining <-chan struct{}
}

// Gateway is the HTTP handler of the callers' requests.
type Gateway struct {
	Parts
	log logr.Logger
}

// New returns a gateway.
func New(parts Parts, log logr.Logger) *Gateway {
	return &Gateway{Parts: parts, log: log}
}

// ServeHTTP answers one request.
func (gate *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	passage := &passage{gate: gate, writer: writer, arrived: arrived, tried: map[string]bool{}, endUse: func() {}}
	deployment := gate.Deployment()
	if deployment == nil {
		passage.refuse(mimosatide.Refuse(mimosatide.ReasonNotFresh, "no configuration is known yet").WithRetryAfter(startRetry))
		return
	}
	passage.version = deployment.Version
	entry, err := platform.DecodeEntry(request, deployment.Limits.BodyBytes)
	passage.entry = entry
	if err != nil {
		passage.refuse(decodeRefusal(err))
		return
	}
	if refusal := passage.lead(deployment); refusal.Refused() {
		passage.refuse(refusal)
		return
	}
	limit := passage.route.Timeout
	if entry.Wait > 0 && (limit <= 0 || entry.Wait < limit) {
		limit = entry.Wait
	}
	passage.digest = contentDigest(entry)
	if gate.Suspects.Suspect(passage.digest) {
		passage.refuse(mimosatide.Refuse(mimosatide.ReasonPoisonRequest, "targets crashed while they ran this request"))
		return
	}
	passage.deadline = arrived.Add(limit)
	ctx, cancel := context.WithDeadline(request.Context(), passage.deadline)
	defer cancel()
	if refusal := passage.admit(); refusal.Refused() {
		passage.refuse(refusal)
		return
	}
	passage.serve(ctx)
}

func decodeRefusal(err error) mimosatide.Refusal {
	if errors.Is(err, platform.ErrBodyTooLarge) {
		return mimosatide.Refuse(mimosatide.ReasonTooLarge, err.Error())
	}
	return mimosatide.Refuse(mimosatide.ReasonMalformed, err.Error())
}
