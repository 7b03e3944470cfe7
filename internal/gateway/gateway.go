// Package gateway serves the callers' HTTP requests by forwarding them to targets.
// It is the request path of an entry node.
//
// A request's header is decoded and matched to a route and an account before its body is
// read; then it is charged to its account, assigned to a target and sent, and the answer is
// relayed. Each step has its own file. A step that
// refuses the request says why with a mimosatide.Reason and a detail for the caller.
//
// # Usage
//
//	handler := gateway.New(gateway.Dependencies{...}, log)
//	server := &http.Server{Handler: handler}
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/allowance"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/buffer"
	"mimosatide.example/mimosatide/internal/exchange"
	"mimosatide.example/mimosatide/internal/intake"
	"mimosatide.example/mimosatide/internal/loading"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/internal/origin"
	"mimosatide.example/mimosatide/internal/permit"
	"mimosatide.example/mimosatide/internal/quarantine"
	"mimosatide.example/mimosatide/internal/registry"
	"mimosatide.example/mimosatide/internal/triage"
	"mimosatide.example/mimosatide/platform"
)

// Loader loads the models and adapters that requests wait for.
type Loader interface {
	// AddNeed requests a model or an adapter. It returns at once; a waiting request
	// repeats the call, and first is set at the first one.
	AddNeed(need loading.Need, first bool)
	// ExpectedLoad returns when a model is expected to be loaded, and whether that is known:
	// only of models that are being loaded or wait for the weight store.
	ExpectedLoad(service, model string) (time.Time, bool)
	// RecordUsage records a request for a model whose prompt takes prefill to read.
	RecordUsage(service, model string, prefill time.Duration)
	// UseAdapter marks an adapter at a target as in use until the returned function is called.
	UseAdapter(service string, adapter loading.AdapterAt) func()
}

// Origins knows which version of their service's software began streams.
type Origins interface {
	// MayBegin reports whether streams may begin at a version by now.
	MayBegin(service, software string) bool
	// Send records that a new stream is sent to a version, Begin that its caller gets the first
	// event, End that it gets the last.
	Send(stream origin.Stream)
	Begin(id string)
	End(id string)
	// Find returns the version that began the stream of a caller's request, and whether it is known.
	Find(ctx context.Context, service, id string) (string, bool)
	// Continues reports whether a stream of a version may go on at another target of that version.
	Continues(service, software string) bool
	// Reported records the incarnation that a target's own report names, by which records of streams may
	// be withdrawn. Stands reports whether the record of a stream that this node has sent was not.
	Reported(ctx context.Context, target string, born time.Time)
	Stands(id string) bool
}

// Engines are asked for their state.
type Engines interface {
	// Report returns an engine's report of its state.
	Report(ctx context.Context, instance mimosatide.Instance) (mimosatide.InstanceReport, error)
}

// Dependencies are the dependencies of a Gateway.
type Dependencies struct {
	// Deployment returns the configuration in force. It returns nil while none is known,
	// and while it is stale on a node that must not serve on a stale one.
	Deployment func() *mimosatide.Deployment
	// DeploymentAge returns the time since the configuration in force was last known to
	// be current.
	DeploymentAge func() time.Duration
	// MaxDenialAge is the DeploymentAge up to which a caller is told that its route or key
	// does not exist. Beyond it they may have been added since.
	MaxDenialAge time.Duration
	Targets      *registry.Registry
	Tracker      *balance.Tracker
	// Limits holds the limits that targets name, and Permits keeps them.
	Limits  *permit.Limits
	Permits *permit.Desk
	Ledger  *allowance.Ledger
	// Intake is the memory for the callers' requests.
	Intake *intake.Budget
	// Answers is the memory in which answers of targets are buffered.
	Answers *buffer.Budget
	// Client sends the requests to the targets.
	Client      *exchange.Client
	Engines     Engines
	Loader      Loader
	Origins     Origins
	RetryBudget *RetryBudget
	// Triage holds the requests that wait for room at targets; nil if they poll for it.
	Triage *triage.Queues
	// Turns lets long prompts take turns at the engines, together with those of the other nodes; nil if each
	// node goes by what it has heard of them.
	Turns Turns
	// Quarantine holds the requests that crash targets.
	Quarantine *quarantine.Tracker
	Meter      *metric.Meter
	// Draining is closed when the requests that still wait for a target have to be
	// refused, because the process would exit before they were served.
	Draining <-chan struct{}
	// EndsBy returns until when the process answers requests, and whether it refuses those that
	// may take longer.
	EndsBy func() (endsBy time.Time, refusing bool)
}

// Gateway is the HTTP handler of the callers' requests.
type Gateway struct {
	Dependencies
	log logr.Logger
}

// New returns a gateway.
func New(dependencies Dependencies, log logr.Logger) *Gateway {
	return &Gateway{Dependencies: dependencies, log: log}
}

// ServeHTTP answers one request.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	handler := &requestHandler{
		gateway: gateway, writer: writer, arrived: arrived, tried: map[string]bool{}, triedAddresses: map[string]bool{},
		releaseAdapter: func() {}, incoming: request, bodyPending: request.ContentLength != 0,
	}
	deployment := gateway.Deployment()
	if deployment == nil {
		handler.refuse(mimosatide.Refuse(mimosatide.ReasonNotFresh, "no configuration is known yet").WithRetryAfter(startupRetryAfter))
		return
	}
	handler.bodyLimit = deployment.Limits.BodyBytes
	handler.version = deployment.Version
	handler.versionAge = gateway.DeploymentAge()
	callerRequest, err := platform.DecodeCallerHeader(request)
	handler.request = callerRequest
	if err != nil {
		handler.refuse(mimosatide.Refuse(mimosatide.ReasonMalformed, err.Error()))
		return
	}
	if refusal := handler.resolve(deployment); refusal.Refused() {
		handler.refuse(handler.confirmDenial(refusal))
		return
	}
	timeout := handler.route.Timeout
	if callerRequest.Wait > 0 && (timeout <= 0 || callerRequest.Wait < timeout) {
		timeout = callerRequest.Wait
	}
	handler.deadline = arrived.Add(timeout)
	hold := gateway.Intake.NewBodyHold(request.Context())
	defer hold.Release()
	if refusal := handler.readBody(hold); refusal.Refused() {
		handler.refuse(handler.confirmDenial(refusal))
		return
	}
	handler.features = features(handler.request)
	if handler.quarantined() {
		handler.refuse(poisonRefusal())
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), handler.deadline)
	defer cancel()
	if handler.endsTooSoon() {
		handler.refuse(drainRefusal())
		return
	}
	if refusal := handler.admit(ctx); refusal.Refused() {
		handler.refuse(refusal)
		return
	}
	handler.serve(ctx)
	if handler.triaged && handler.service.Engine == nil {
		// Requests of a plain service may be shorter than the time between two checks for room.
		gateway.Triage.Wake()
	}
}

// endsTooSoon reports whether the process may end before the request's deadline. Requests
// that came before the drain's last part are served all the same: the platform still sent
// new connections then.
func (handler *requestHandler) endsTooSoon() bool {
	endsBy, refusing := handler.gateway.EndsBy()
	return refusing && handler.deadline.After(endsBy)
}

func drainRefusal() mimosatide.Refusal {
	return mimosatide.Refuse(mimosatide.ReasonDraining, "the node may end before the request is answered").WithRetryAfter(drainingRetryAfter)
}
