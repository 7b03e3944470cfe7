package placement

import (
	"time"

	"mimosatide.example/mimosatide"
)

// Want tells a model's home what waits and runs at one node.
type Want struct {
	Model       string
	Waiting     int
	Outstanding int
	Adapters    map[string]int
	Zone        string
	// Stake is what the waiting accounts stand to lose: weight by waited part of the wait limit.
	Stake float64
}

// List tells a node which placements of a model serve.
type List struct {
	Model string
	// Row is the version of the model's row, which orders all lists.
	Row        mimosatide.RowVersion
	Placements []Placement
	// Outstanding counts the requests that run for the model at all nodes.
	Outstanding int
	// Holdup names why the home does not load the model at present.
	Holdup string
}

// Stakes tells the other homes which models wait for a slot of the weight store here.
type Stakes struct {
	ByModel map[string]float64
}

// SlotFreed tells the other homes that a load has ended.
type SlotFreed struct{}

// AskHarmless asks a process whether an order of it may still be under way.
type AskHarmless struct {
	Placement string
}

// Harmless promises that the sender has no order for the placement under way
// and will never send one again.
type Harmless struct {
	Placement   string
	Incarnation uint64
}

// AskEvict asks a model's home to give up an idle placement.
type AskEvict struct {
	Placement string
}

// TargetLeaving passes on the first word that a target is leaving.
type TargetLeaving struct {
	Target string
}

// Messenger sends messages to peers; they may be lost.
type Messenger interface {
	// Send sends a message to the peer at an address.
	Send(to string, message any)
}

// Fleet is what the keeper asks of the fleet's core.
type Fleet interface {
	// Self returns this process as an orderer; its incarnation is zero before it has a lease.
	Self() Orderer
	// Live returns the addresses of the live members, this node's included.
	Live() []string
	// ProcessEnded says whether a process is known to have ended.
	ProcessEnded(orderer Orderer) bool
}

// The times of the keeper's work.
const (
	tickEvery = 20 * time.Millisecond
	// restEvery is how often a keeper without pressing work looks for some.
	restEvery = 100 * time.Millisecond
	// interestEvery is how often the engines to watch are picked anew.
	interestEvery = 500 * time.Millisecond
	// busyEvery is how often a model is looked at while requests wait or orders are under way.
	busyEvery  = 100 * time.Millisecond
	quietEvery = 2 * time.Second
	// rowLife is how long a cached row of a model in demand is believed.
	rowLife = 10 * time.Second
	// slotLife and memoryLife are how long rows are believed by a model that waits for them to change.
	slotLife   = 500 * time.Millisecond
	memoryLife = 800 * time.Millisecond
	// quietRowLife is how long the other rows are believed.
	quietRowLife = time.Minute
	// wantLife is how long a node's statement of its demand counts.
	wantLife  = 3 * time.Second
	stakeLife = time.Second
	// listenerLife is how long a node that asked for a model hears of changes.
	listenerLife     = time.Minute
	busyReportEvery  = 50 * time.Millisecond
	quietReportEvery = 2 * time.Second
	// reportLag bounds how old the contents of a report can be.
	reportLag  = 3 * time.Second
	orderEvery = time.Second
	// orderSettle is after how long an unanswered order can no longer arrive.
	orderSettle  = 30 * time.Second
	evictAskLife = 5 * time.Second
)
