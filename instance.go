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
	// Coming lists the adapters that are on their way to the target.
	Coming []string
}

// Instance is one incarnation of a target as it describes itself.
type Instance struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Born is the time of the incarnation's start by its own clock.
	Born    time.Time
	Leaving bool
	// Remaining is the time until a target that leaves at short notice is gone; zero if unknown.
	Remaining time.Duration
	Slots     int
	// Orders counts the orders that this incarnation has accepted, as far as they are known.
	Orders   int64
	Holdings []Holding
	// InMemory and OnDisk name the models whose weights lie at the target.
	InMemory []string
	OnDisk   []string
}

// Holds says whether the target holds a model.
func (instance Instance) Holds(model string) bool {
	for _, holding := range instance.Holdings {
		if holding.Model == model {
			return true
		}
	}
	return false
}

// HoldsAdapter says whether the target holds a model's adapter.
func (instance Instance) HoldsAdapter(model, adapter string) bool {
	for _, holding := range instance.Holdings {
		if holding.Model == model && slices.Contains(holding.Adapters, adapter) {
			return true
		}
	}
	return false
}

// InstanceReport is what an engine answers when it is asked for its state; it lags.
type InstanceReport struct {
	Holdings []Holding
	InMemory []string
	OnDisk   []string
	// Busy says that an order on a model is under way.
	Busy    bool
	Orders  int64
	Waiting int
	Running int
}

// ModelOrder asks an engine to load or unload a model or an adapter.
type ModelOrder struct {
	Kind    OrderKind
	Model   string
	Adapter string
	// After is the number of accepted orders that the engine must have when it carries the order out.
	After  int64
	Holder string
	Term   FencingNumber
}

// OrderOutcome is what became of an order.
type OrderOutcome string

// The outcomes of an order.
const (
	// OrderAccepted means that the engine carries the order out.
	OrderAccepted OrderOutcome = "Accepted"
	// OrderHolds means that nothing had to be done.
	OrderHolds OrderOutcome = "Holds"
	// OrderConflict means that another order is under way, or that the count differs.
	OrderConflict OrderOutcome = "Conflict"
	// OrderFenced means that the engine has seen a later holder.
	OrderFenced OrderOutcome = "Fenced"
	// OrderMisdirected means that another incarnation has the address.
	OrderMisdirected OrderOutcome = "Misdirected"
	// OrderInvalid means that the engine does not know the order.
	OrderInvalid OrderOutcome = "Invalid"
	// OrderUnknown means that no answer came: the order may still be carried out.
	OrderUnknown OrderOutcome = "Unknown"
)

// PromptPart is a part of a prompt that requests share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Entry is a request as a caller sent it to this node.
type Entry struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query as they were sent.
	Target string
	Path   string
	Key    string
	Body   []byte
	// Wait is how long the caller waits; zero if it did not say.
	Wait         time.Duration
	Model        string
	Adapter      string
	HasTokens    bool
	PromptTokens int
	OutputTokens int
	Parts        []PromptPart
	// LastEvent is the last event that the caller has of a stream that it resumes.
	LastEvent string
	// Headers are passed on as they came, in pairs of name and value.
	Headers []Header
}

// Header is a header field of a message.
type Header struct {
	Name  string
	Value string
}

// Tokens is what the request counts against its account's limit.
func (entry Entry) Tokens(perCall float64) float64 {
	if !entry.HasTokens {
		return perCall
	}
	return float64(entry.PromptTokens + entry.OutputTokens)
}

// SharedTokens is the length of the prompt's parts that other requests may share.
func (entry Entry) SharedTokens() int {
	sum := 0
	for i := 0; i+1 < len(entry.Parts); i++ {
		sum += entry.Parts[i].Tokens
	}
	return sum
}

// SharedPart names the longest run of parts that other requests may share.
func (entry Entry) SharedPart() string {
	if len(entry.Parts) < 2 {
		return ""
	}
	return entry.Parts[len(entry.Parts)-2].ID
}
