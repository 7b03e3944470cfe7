package mimosatide

import "context"

// OrderKind is what an order asks of an engine.
type OrderKind string

// The kinds of an order.
const (
	OrderLoad        OrderKind = "Load"
	OrderLoadAdapter OrderKind = "LoadAdapter"
	OrderUnload      OrderKind = "Unload"
)

// Order tells an engine to change what it holds.
type Order struct {
	Kind      OrderKind
	Placement string
	Model     string
	Version   string
	Adapter   string
	Memory    int64
	Number    FencingNumber
}

// OrderState is how far an engine has come with an order.
type OrderState string

// The states of an order.
const (
	// OrderLoading means that the engine works on the order.
	OrderLoading OrderState = "Loading"
	// OrderReady means that the engine serves the placement.
	OrderReady OrderState = "Ready"
	// OrderAbsent means that the engine doesn't hold the placement.
	OrderAbsent OrderState = "Absent"
	// OrderStale means that the engine has seen a higher fencing number.
	OrderStale OrderState = "Stale"
	// OrderRejected means that the engine refused the order for good.
	OrderRejected OrderState = "Rejected"
)

// Report is what an engine says of itself; it lags.
type Report struct {
	Placements map[string]OrderState
	// Adapters lists the adapters that are ready, by placement.
	Adapters map[string][]string
	// Cached names where each checkpoint lies at the engine.
	Cached  map[string]CacheTier
	Running int
	Queued  int
	Leaving bool
}

// CacheTier is where a checkpoint lies, the nearest first.
type CacheTier string

// The tiers of a checkpoint.
const (
	TierMemory CacheTier = "Memory"
	TierDisk   CacheTier = "Disk"
	TierRemote CacheTier = "Remote"
)

// Call is a request on its way to a target.
type Call struct {
	Request   string
	Placement string
	Method    string
	Path      string
	Headers   map[string]string
	Body      []byte
	Priority  int
	Number    FencingNumber
	Stream    bool
	// After resumes a stream behind this event, when Resume is set.
	After  int
	Resume bool
	// FreshConnection asks for a connection that carried nothing before.
	FreshConnection bool
}

// CallFailure says how far a failed call had come.
type CallFailure string

// The failures of a call.
const (
	CallSucceeded CallFailure = ""
	// CallNotSent means that no byte reached the target.
	CallNotSent CallFailure = "NotSent"
	// CallCut means that the connection ended before the whole answer.
	CallCut CallFailure = "Cut"
	// CallSilent means that nothing arrived within the progress bound.
	CallSilent CallFailure = "Silent"
	// CallMismatched means that the answer belongs to another request.
	CallMismatched CallFailure = "Mismatched"
	// CallCancelled means that the caller's side ended the call.
	CallCancelled CallFailure = "Cancelled"
)

// Event is one event of a streamed answer; Index counts from one.
type Event struct {
	Index int
	Data  []byte
	Last  bool
}

// Answer is what a target said.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Failure     CallFailure
	Detail      string
}

// Target reaches the model engines and plain services.
type Target interface {
	// SendOrder gives an order to an engine.
	SendOrder(ctx context.Context, spec TargetSpec, order Order) (OrderState, error)
	// GetReport asks an engine for its state.
	GetReport(ctx context.Context, spec TargetSpec) (Report, error)
	// Run sends a call and hands each event of a stream to onEvent.
	Run(ctx context.Context, spec TargetSpec, call Call, onEvent func(Event) error) Answer
	// Cancel tells the target that a request is no longer wanted.
	Cancel(ctx context.Context, spec TargetSpec, request string)
}
