package placement

import (
	"time"

	"mimosatide.example/mimosatide"
)

// DemandReport reports one node's demand for a model to the model's home node.
type DemandReport struct {
	Model string
	// Waiting and Outstanding count the node's waiting and running requests.
	Waiting     int
	Outstanding int
	// Adapters counts the waiting requests by the adapter they need.
	Adapters map[string]int
	Zone     string
	// Stake ranks the models that wait for the weight store: the account weights of
	// the waiting requests, each increased by the elapsed fraction of its wait limit.
	Stake float64
}

// ModelPlacements tells a node the placements of a model.
type ModelPlacements struct {
	Model string
	// Row is the version of the model's row; a list with a lower version is outdated.
	Row        mimosatide.RowVersion
	Placements []Placement
	// Outstanding counts the running requests for the model from all nodes.
	Outstanding int
	// BlockedReason is the reason why the home node can't load the model at present; empty if there is none.
	BlockedReason string
}

// Stakes tells the other members the stakes of the models that wait at a home node for a weight store slot.
type Stakes struct {
	ByModel map[string]float64
}

// SlotFreed tells the other members that a load has ended and its weight store slot is free.
type SlotFreed struct{}

// QuiesceRequest asks a process to send no more load orders for a placement, and to
// answer with a QuiesceConfirmation once it has none in flight.
type QuiesceRequest struct {
	Placement string
}

// QuiesceConfirmation confirms that the sending process has quiesced a placement: it has no
// load order for it in flight and will never send one again.
type QuiesceConfirmation struct {
	Placement   string
	Incarnation uint64
}

// EvictRequest asks a model's home node to evict a placement if it is idle.
type EvictRequest struct {
	Placement string
}

// TargetLeaving tells the other members that a target is leaving.
type TargetLeaving struct {
	Target string
}

// Messenger sends messages to peers, without guaranteed delivery.
type Messenger interface {
	// Send sends a message to the peer at an address.
	Send(to string, message any)
}

// Fleet is the fleet membership as the controller needs it.
type Fleet interface {
	// Self returns this process as an orderer; its incarnation is zero before it has a lease.
	Self() Orderer
	// Live returns the addresses of the live members, including this node's. It must
	// return a new slice when they change, because the controller caches homes by slice.
	Live() []string
	// ProcessEnded reports whether a process is known to have ended.
	ProcessEnded(orderer Orderer) bool
}

// Intervals, cache lifetimes and timeouts of the controller.
const (
	// busyTickInterval is the time between ticks while placements have incomplete orders.
	busyTickInterval = 20 * time.Millisecond
	// idleTickInterval is the time between ticks otherwise.
	idleTickInterval = 100 * time.Millisecond
	// watchRefreshInterval is how often the list of engines to poll is rebuilt.
	watchRefreshInterval = 500 * time.Millisecond
	// busyReconcileInterval is how often a model is reconciled while requests wait or its orders are incomplete.
	busyReconcileInterval = 100 * time.Millisecond
	// idleReconcileInterval is how often the other models are reconciled.
	idleReconcileInterval = 2 * time.Second
	// modelRowTTL is how long a cached row of a model's placements is used.
	modelRowTTL = 10 * time.Second
	// slotWaitRowTTL and memoryWaitRowTTL are how long the cached rows that show free slots
	// and free memory are used while a model waits for them.
	slotWaitRowTTL   = 500 * time.Millisecond
	memoryWaitRowTTL = 800 * time.Millisecond
	// idleRowTTL is how long the other cached rows are used.
	idleRowTTL = time.Minute
	// demandTTL is how long a node's reported demand counts.
	demandTTL = 3 * time.Second
	// stakeTTL is how long a stake from another home node counts.
	stakeTTL = time.Second
	// subscriberTTL is how long a node is sent lists after it last reported demand.
	subscriberTTL = time.Minute
	// busyReportInterval and idleReportInterval are how often engines with and without
	// incomplete orders are polled.
	busyReportInterval = 50 * time.Millisecond
	idleReportInterval = 2 * time.Second
	// maxReportLag bounds the age of a report's contents.
	maxReportLag = 3 * time.Second
	// orderRetryInterval is the time between two sends of an order under the same fencing
	// token, and the longest time from the claim of an order to its sending.
	orderRetryInterval = time.Second
	// maxOrderDelay is the time after which an unanswered order can no longer arrive.
	maxOrderDelay = 30 * time.Second
	// evictRequestTTL is how long a request for eviction counts.
	evictRequestTTL = 5 * time.Second
)
