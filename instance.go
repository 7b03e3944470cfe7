package mimosatide

import (
	"slices"
	"time"
)

// Holding is a model that a target holds, with its adapters.
type Holding struct {
	Model    string
	Version  int
	Adapters []string
	// LoadingAdapters lists the adapters that the target is loading.
	LoadingAdapters []string
}

// Instance is one incarnation of a target, as the target describes it to the entry nodes.
type Instance struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Software is the version of the target's software; empty if it is not known. Streams of two
	// versions don't fit together.
	Software string
	// Born is the start time of the incarnation by the target's clock.
	Born    time.Time
	Leaving bool
	// Remaining is the time until a target that leaves at short notice stops; zero if unknown.
	Remaining time.Duration
	// Evacuated says that the operator has the target's availability zone evacuated: it gets no requests.
	Evacuated bool
	// ColdLeft is how long the target stays cold, as its row said when it was written. A cold target
	// bears few requests a second.
	ColdLeft time.Duration
	// ColdUntil is until when the target counts as cold by this node's clock, and ReturnedAt when the
	// evacuation of its zone last ended; zero if there was none.
	ColdUntil  time.Time
	ReturnedAt time.Time
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Orders is the number of orders that this incarnation is known to have accepted.
	Orders   int64
	Holdings []Holding
	// InMemory and OnDisk name the models whose weights are cached in the target's host
	// memory and on its disk.
	InMemory []string
	OnDisk   []string
}

// Holds reports whether the target holds a model.
func (instance Instance) Holds(model string) bool {
	for _, holding := range instance.Holdings {
		if holding.Model == model {
			return true
		}
	}
	return false
}

// HoldsAdapter reports whether the target holds an adapter of a model.
func (instance Instance) HoldsAdapter(model, adapter string) bool {
	for _, holding := range instance.Holdings {
		if holding.Model == model && slices.Contains(holding.Adapters, adapter) {
			return true
		}
	}
	return false
}

// InstanceReport is the state of an engine, as the engine reports it to an entry node. It
// lags behind the actual state.
type InstanceReport struct {
	// Born is the start time of the incarnation that reports, by the target's clock.
	Born     time.Time
	Holdings []Holding
	InMemory []string
	OnDisk   []string
	// Busy says that the engine is carrying out an order on a model.
	Busy bool
	// Orders is the number of orders that this incarnation has accepted.
	Orders int64
	// Waiting and Running are the numbers of queued and running requests.
	Waiting int
	Running int
}

// ModelOrder is the order of an entry node to an engine to load or unload a model or an
// adapter.
type ModelOrder struct {
	Kind    OrderKind
	Model   string
	Adapter string
	// After is the precondition of the order: the engine carries it out only if it has
	// accepted exactly this many orders so far.
	After int64
	// Holder is the lease holder that sends the order, FencingToken that of its lease.
	Holder       string
	FencingToken FencingToken
}

// OrderOutcome is the result of sending an order.
type OrderOutcome string

// The outcomes of an order.
const (
	// OrderAccepted means that the engine carries the order out.
	OrderAccepted OrderOutcome = "Accepted"
	// OrderHolds means that the engine already was in the requested state.
	OrderHolds OrderOutcome = "Holds"
	// OrderConflict means that another order is in progress, or that the number of
	// accepted orders differs from the precondition.
	OrderConflict OrderOutcome = "Conflict"
	// OrderFenced means that the engine has seen a higher fencing token.
	OrderFenced OrderOutcome = "Fenced"
	// OrderMisdirected means that another target now has the address.
	OrderMisdirected OrderOutcome = "Misdirected"
	// OrderInvalid means that the order is malformed or unknown to the engine.
	OrderInvalid OrderOutcome = "Invalid"
	// OrderUnknown means that the outcome was lost: the order may still be carried out.
	OrderUnknown OrderOutcome = "Unknown"
)

// PromptPart is a segment of a prompt. Requests share a prefix of their prompts if
// they have the same segments up to some point.
type PromptPart struct {
	ID     string
	Tokens int
}

// CallerRequest is a request as this node received it from a caller.
type CallerRequest struct {
	ID     string
	Method string
	Host   string
	// Target is the request target of the HTTP request line: the path and query as sent.
	Target string
	Path   string
	// Key is the API key, empty if there is none.
	Key  string
	Body []byte
	// Wait is the caller's own deadline, counted from the arrival; zero if it gave none.
	Wait    time.Duration
	Model   string
	Adapter string
	// HasTokens says that the caller gave the token counts.
	HasTokens    bool
	PromptTokens int
	OutputTokens int
	Parts        []PromptPart
	// LastEvent is the ID of the last event that the caller has received of a stream
	// that it resumes; empty for a new request.
	LastEvent string
	// Begun is the ID of the caller's request that brought the first event of the stream that this
	// one resumes; empty if the caller does not name it.
	Begun string
	// Headers are the header fields that are forwarded unchanged.
	Headers []Header
}

// Header is a header field of a message.
type Header struct {
	Name  string
	Value string
}

// Tokens returns the number of tokens that the request costs its account: perCall
// unless the caller gave the counts.
func (request CallerRequest) Tokens(perCall float64) float64 {
	if !request.HasTokens {
		return perCall
	}
	return float64(request.PromptTokens + request.OutputTokens)
}

// SharedPrefixTokens returns the length in tokens of the prompt prefix that other
// requests may share: all segments but the last.
func (request CallerRequest) SharedPrefixTokens() int {
	sum := 0
	for i := 0; i+1 < len(request.Parts); i++ {
		sum += request.Parts[i].Tokens
	}
	return sum
}

// SharedPrefixID returns the ID of the last segment of that prefix, which names the
// whole prefix, or an empty string if the prompt has no such prefix.
func (request CallerRequest) SharedPrefixID() string {
	if len(request.Parts) < 2 {
		return ""
	}
	return request.Parts[len(request.Parts)-2].ID
}
