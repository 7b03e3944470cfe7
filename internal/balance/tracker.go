// Package balance chooses the target of a request.
//
// A Tracker knows what this node has under way at each target, what the other
// nodes say they have, how the last requests fared and which prompt parts each
// target is likely to keep. Choose weighs these as an expected time to the
// first byte.
//
// # Usage
//
//	tracker := balance.New("zone-a")
//	instance, found := tracker.Choose(query, candidates, now)
//	ticket := tracker.Begin(instance.ID, query, now)
//	ticket.Answered(now)
//	ticket.End(balance.Served, now)
package balance

import (
	"math"
	"sync"
	"time"
)

// The figures of health.
const (
	// firstPause is how long a target is passed over after a failure; it doubles with each further one.
	firstPause = 250 * time.Millisecond
	longPause  = 4 * time.Second
	// failureWeight is the weight of the newest outcome in a target's failure rate.
	failureWeight = 0.2
	// failureMemory is the time after which a failure rate has halved without news.
	failureMemory = 5 * time.Second
	// keptParts bounds the prompt parts that are remembered for one target.
	keptParts = 512
)

// Outcome is how a request at a target ended.
type Outcome int

// The outcomes of a request at a target.
const (
	// Served means that the whole answer arrived.
	Served Outcome = iota
	// Failed means that the target broke off, answered wrongly or was not reached.
	Failed
	// Busy means that the target refused for want of room.
	Busy
	// Withdrawn means that the end says nothing about the target.
	Withdrawn
)

// Load is what a node has under way at a target.
type Load struct {
	Running int
	// Prefill is the time that the prompts not yet read will take.
	Prefill time.Duration
	// Reading counts the requests whose long prompts are not yet read, and Waiting
	// those with long prompts that are held back.
	Reading int
	Waiting int
}

func (load Load) plus(more Load) Load {
	return Load{
		Running: load.Running + more.Running,
		Prefill: load.Prefill + more.Prefill,
		Reading: load.Reading + more.Reading,
		Waiting: load.Waiting + more.Waiting,
	}
}

type state struct {
	load      Load
	failures  int
	pausedTo  time.Time
	failRate  float64
	failAt    time.Time
	parts     map[string]time.Time
	partOrder []string
}

type hint struct {
	until time.Time
	loads map[string]Load
}

// Tracker holds what one node knows of the targets' load and health.
type Tracker struct {
	zone  string
	lock  sync.Mutex
	own   map[string]*state
	hints map[string]hint
}

// New returns a tracker of a node in a zone.
func New(zone string) *Tracker {
	return &Tracker{zone: zone, own: map[string]*state{}, hints: map[string]hint{}}
}

// Hear takes another node's loads, which count until a time.
func (tracker *Tracker) Hear(node string, loads map[string]Load, until time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	tracker.hints[node] = hint{until: until, loads: loads}
}

// Loads returns what this node has under way.
func (tracker *Tracker) Loads() map[string]Load {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	loads := map[string]Load{}
	for id, known := range tracker.own {
		if known.load.Running > 0 || known.load.Waiting > 0 {
			loads[id] = known.load
		}
	}
	return loads
}

// Keep forgets the targets for which known returns false.
func (tracker *Tracker) Keep(known func(id string) bool) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	for id, state := range tracker.own {
		if !known(id) && state.load.Running == 0 && state.load.Waiting == 0 {
			delete(tracker.own, id)
		}
	}
}

// Total returns what all nodes have under way at a target.
func (tracker *Tracker) Total(id string, now time.Time) Load {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	return tracker.total(id, now)
}

func (tracker *Tracker) total(id string, now time.Time) Load {
	var sum Load
	if known, found := tracker.own[id]; found {
		sum = known.load
	}
	for _, heard := range tracker.hints {
		if now.After(heard.until) {
			continue
		}
		sum = sum.plus(heard.loads[id])
	}
	return sum
}

func (tracker *Tracker) state(id string) *state {
	known, found := tracker.own[id]
	if !found {
		known = &state{parts: map[string]time.Time{}}
		tracker.own[id] = known
	}
	return known
}

// rate is the failure rate with the time since its last change taken off.
func (known *state) rate(now time.Time) float64 {
	if known.failRate == 0 {
		return 0
	}
	return known.failRate * math.Exp2(-now.Sub(known.failAt).Seconds()/failureMemory.Seconds())
}

// remember notes that a target has read a prompt part.
func (known *state) remember(part string, now time.Time) {
	if _, found := known.parts[part]; !found {
		known.partOrder = append(known.partOrder, part)
	}
	known.parts[part] = now
	if len(known.partOrder) > keptParts {
		delete(known.parts, known.partOrder[0])
		known.partOrder = known.partOrder[1:]
	}
}

// Ticket is one request under way at a target.
type Ticket struct {
	tracker  *Tracker
	id       string
	prefill  time.Duration
	answered bool
	ended    bool
}

// Begin counts a request that is about to be sent.
func (tracker *Tracker) Begin(id string, query Query, now time.Time) *Ticket {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	known := tracker.state(id)
	ticket := &Ticket{tracker: tracker, id: id, prefill: query.prefill(known)}
	known.load.Running++
	known.load.Prefill += ticket.prefill
	known.load.Reading += ticket.reading()
	if part := query.part(); part != "" {
		known.remember(part, now)
	}
	return ticket
}

// reading is what the ticket's prompt adds to those that are being read.
func (ticket *Ticket) reading() int {
	if ticket.prefill < longPrompt {
		return 0
	}
	return 1
}

// Answered says that the target has read the prompt.
func (ticket *Ticket) Answered() {
	ticket.tracker.lock.Lock()
	defer ticket.tracker.lock.Unlock()
	ticket.read()
}

func (ticket *Ticket) read() {
	if ticket.answered {
		return
	}
	ticket.answered = true
	known := ticket.tracker.state(ticket.id)
	known.load.Prefill -= ticket.prefill
	known.load.Reading -= ticket.reading()
}

// End says how the request ended.
func (ticket *Ticket) End(outcome Outcome, now time.Time) {
	ticket.tracker.lock.Lock()
	defer ticket.tracker.lock.Unlock()
	if ticket.ended {
		return
	}
	ticket.ended = true
	ticket.read()
	known := ticket.tracker.state(ticket.id)
	known.load.Running--
	if outcome == Withdrawn {
		return
	}
	failed := 0.0
	switch outcome {
	case Served:
		known.failures = 0
	case Busy:
		known.pausedTo = now.Add(firstPause)
	case Failed:
		failed = 1
		pause := min(firstPause<<min(known.failures, 8), longPause)
		known.failures++
		known.pausedTo = now.Add(pause)
	}
	known.failRate = known.rate(now)*(1-failureWeight) + failed*failureWeight
	known.failAt = now
}
