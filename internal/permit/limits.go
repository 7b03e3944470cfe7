package permit

import (
	"sync"
	"time"

	"mimosatide.example/mimosatide"
)

// reportTime is for how long a node reports to its peers what an answer has told it.
const reportTime = 2 * time.Second

// Limit is what an incarnation of a target has said about the requests that it takes.
type Limit struct {
	// Born is the start of the incarnation.
	Born time.Time
	// Rate is in requests a second, over all nodes; zero says that there is no limit any more.
	Rate float64
	// At is when an answer named the limit or, if it has ended, when the request was sent
	// whose answer no longer named it.
	At time.Time
}

// replaces reports whether a limit is newer than another one of the same target.
func (limit Limit) replaces(other Limit) bool {
	if !limit.Born.Equal(other.Born) {
		return limit.Born.After(other.Born)
	}
	return limit.At.After(other.At)
}

// knownLimit is a limit with the time of the last answer that told it to this node; zero
// if only peers did.
type knownLimit struct {
	Limit
	heard time.Time
}

// Limits holds the limits that targets name, according to their answers to this node and
// to its peers, and those of cold targets. It is safe for concurrent use.
type Limits struct {
	lock     sync.Mutex
	byTarget map[string]knownLimit
	// cold holds the limit of cold targets by service.
	cold map[string]ColdLimit
}

// NewLimits returns an empty set of limits.
func NewLimits() *Limits {
	return &Limits{byTarget: map[string]knownLimit{}}
}

// SetCold sets the limits of the cold targets of each service; others bear as much when they are cold.
func (limits *Limits) SetCold(cold map[string]ColdLimit) {
	limits.lock.Lock()
	defer limits.lock.Unlock()
	limits.cold = cold
}

// Bound returns the limit that binds the requests to a target now, named or because it is cold, and
// false if there is none.
func (limits *Limits) Bound(instance mimosatide.Instance, now time.Time) (Bound, bool) {
	limits.lock.Lock()
	rate, named := limits.rateLocked(instance)
	cold := limits.cold[instance.Service]
	limits.lock.Unlock()
	bound := Bound{Rate: rate}
	if !cold.appliesTo(instance, now) {
		return bound, named
	}
	bound.Ahead, bound.Shared, bound.MinPart = cold.Ahead, true, cold.MinPart
	if !named || cold.Rate < rate {
		bound.Rate = cold.Rate
	}
	return bound, true
}

// Name records that an answer has named a limit. It returns true if the limit is new.
func (limits *Limits) Name(instance mimosatide.Instance, rate float64, now time.Time) bool {
	limits.lock.Lock()
	defer limits.lock.Unlock()
	known, found := limits.byTarget[instance.ID]
	named := Limit{Born: instance.Born, Rate: rate, At: now}
	if found && !named.replaces(known.Limit) {
		return false
	}
	limits.byTarget[instance.ID] = knownLimit{Limit: named, heard: now}
	return !found || !known.Born.Equal(instance.Born) || known.Rate != rate
}

// End records that the answer to a request that was sent at a time names no limit. The
// limit ends unless an answer has named it since then. End returns true if it does.
func (limits *Limits) End(instance mimosatide.Instance, sent, now time.Time) bool {
	limits.lock.Lock()
	defer limits.lock.Unlock()
	known, found := limits.byTarget[instance.ID]
	ended := Limit{Born: instance.Born, At: sent}
	if !found || known.Rate == 0 || !ended.replaces(known.Limit) {
		return false
	}
	limits.byTarget[instance.ID] = knownLimit{Limit: ended, heard: now}
	return true
}

// Apply takes what a peer reports of a target.
func (limits *Limits) Apply(id string, limit Limit) {
	limits.lock.Lock()
	defer limits.lock.Unlock()
	if known, found := limits.byTarget[id]; !found || limit.replaces(known.Limit) {
		limits.byTarget[id] = knownLimit{Limit: limit, heard: known.heard}
	}
}

// Rate returns the limit of an incarnation of a target, in requests a second, and false
// if it has none.
func (limits *Limits) Rate(instance mimosatide.Instance) (float64, bool) {
	limits.lock.Lock()
	defer limits.lock.Unlock()
	return limits.rateLocked(instance)
}

func (limits *Limits) rateLocked(instance mimosatide.Instance) (float64, bool) {
	known, found := limits.byTarget[instance.ID]
	if !found || !known.Born.Equal(instance.Born) || known.Rate == 0 {
		return 0, false
	}
	return known.Rate, true
}

// Heard returns what answers to this node have told it recently, by target id.
func (limits *Limits) Heard(now time.Time) map[string]Limit {
	limits.lock.Lock()
	defer limits.lock.Unlock()
	var heard map[string]Limit
	for id, known := range limits.byTarget {
		if known.heard.IsZero() || now.Sub(known.heard) > reportTime {
			continue
		}
		if heard == nil {
			heard = map[string]Limit{}
		}
		heard[id] = known.Limit
	}
	return heard
}

// Prune removes the targets for which known returns false.
func (limits *Limits) Prune(known func(id string) bool) {
	limits.lock.Lock()
	defer limits.lock.Unlock()
	for id := range limits.byTarget {
		if !known(id) {
			delete(limits.byTarget, id)
		}
	}
}
