package mimosatide

import "context"

// OrderKind is the operation that an order asks an engine for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad        OrderKind = "Load"
	OrderLoadAdapter OrderKind = "LoadAdapter"
	OrderUnload      OrderKind = "Unload"
)

// Order is the order of a node of the fleet to an engine to load or unload a model or an
// adapter.
type Order struct {
	Kind      OrderKind
	Placement string
	Model     string
	Version   string
	Adapter   string
	// Memory is the engine memory that the model or adapter uses, in bytes.
	Memory int64
	// FencingToken lets the engine reject an outdated order.
	FencingToken FencingToken
}

// OrderState is the progress of an engine with an order.
type OrderState string

// The states of an order.
const (
	// OrderLoading means that the engine is carrying out the order.
	OrderLoading OrderState = "Loading"
	// OrderReady means that the engine can serve the placement.
	OrderReady OrderState = "Ready"
	// OrderAbsent means that the engine doesn't hold the placement.
	OrderAbsent OrderState = "Absent"
	// OrderStale means that the engine has seen a higher fencing token.
	OrderStale OrderState = "Stale"
	// OrderRejected means that the engine refused the order permanently.
	OrderRejected OrderState = "Rejected"
)

// Report is the state of an engine, as the engine reports it to a node of the fleet. It
// lags behind the actual state.
type Report struct {
	// Placements maps the engine's placements to their states.
	Placements map[string]OrderState
	// Adapters maps placements to their adapters that are ready.
	Adapters map[string][]string
	// Cached maps models to the cache tier that holds their weights.
	Cached map[string]CacheTier
	// Running and Queued are the numbers of running and queued requests.
	Running int
	Queued  int
	Leaving bool
}

// CacheTier is the place from which an engine can load the weights of a model.
type CacheTier string

// The cache tiers, from the fastest to load from to the slowest: the target's host
// memory, its disk, and the weight store, which holds the weights of every model.
const (
	TierMemory CacheTier = "Memory"
	TierDisk   CacheTier = "Disk"
	TierRemote CacheTier = "Remote"
)

// Call is a request of a node of the fleet to a target.
type Call struct {
	Request   string
	Placement string
	Method    string
	Path      string
	Headers   map[string]string
	Body      []byte
	Priority  int
	// FencingToken is that of the placement.
	FencingToken FencingToken
	// Stream says that a successful answer is a stream of events.
	Stream bool
	// If Resume is set, the stream continues after the event with the index After.
	After  int
	Resume bool
	// FreshConnection requires a connection that has carried no other request.
	FreshConnection bool
}

// CallFailure says how a call failed.
type CallFailure string

// The ways in which a call can fail.
const (
	CallSucceeded CallFailure = ""
	// CallNotSent means that no byte of the call reached the target.
	CallNotSent CallFailure = "NotSent"
	// CallCut means that the connection ended before the answer was complete.
	CallCut CallFailure = "Cut"
	// CallSilent means that the target sent nothing within the progress limit.
	CallSilent CallFailure = "Silent"
	// CallMismatched means that the answer belongs to another request.
	CallMismatched CallFailure = "Mismatched"
	// CallCancelled means that the caller cancelled the call.
	CallCancelled CallFailure = "Cancelled"
)

// Event is one event of a streamed answer. Index counts from one; it is zero if the
// target sent none.
type Event struct {
	Index int
	Data  []byte
	Last  bool
}

// Answer is the answer of a target to a call, or the failure of the call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Failure     CallFailure
	// Detail describes the failure.
	Detail string
}

// Target reaches the model engines and plain services.
type Target interface {
	// SendOrder sends an order to an engine.
	SendOrder(ctx context.Context, spec TargetSpec, order Order) (OrderState, error)
	// GetReport asks an engine for its state.
	GetReport(ctx context.Context, spec TargetSpec) (Report, error)
	// Run sends a call and passes each event of a stream to onEvent.
	Run(ctx context.Context, spec TargetSpec, call Call, onEvent func(Event) error) Answer
	// Cancel tells a target that the result of a request is no longer needed.
	Cancel(ctx context.Context, spec TargetSpec, request string)
}
