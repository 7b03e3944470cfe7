// Package balance chooses the target of a request.
//
// A Tracker keeps, for each target, the requests that this node has in flight,
// the load that the other nodes report, the outcomes of recent requests and the
// prompt prefixes that the target probably has in its cache. Choose combines
// these into an expected time to the first byte. The time that depends on the speed
// of a target is multiplied by its factor from package pace, to which the Tracker
// reports the times until the first events of requests that have called MarkSent.
//
// # Usage
//
//	tracker := balance.New("zone-a", pace.New(log))
//	instance, cost, found := tracker.Choose(query, candidates, time.Now())
//	inFlight := tracker.Begin(instance.ID, query, time.Now())
//	inFlight.MarkSent(instance, time.Now())
//	inFlight.MarkAnswered(time.Now())
//	inFlight.End(balance.Served, time.Now())
package balance

import (
	"math"
	"sync"
	"time"

	"mimosatide.example/mimosatide/internal/pace"
)

// The constants of health tracking.
const (
	// minBackoff is how long a target is penalized after a failure; it doubles with
	// each consecutive failure up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// failureWeight is the weight of the newest outcome in a target's failure rate,
	// an exponentially weighted moving average.
	failureWeight = 0.2
	// failureHalfLife is the time in which a failure rate halves without new outcomes.
	failureHalfLife = 5 * time.Second
	// maxPrefixes is the number of prompt prefixes remembered for one target.
	maxPrefixes = 512
)

// Outcome is the result of a request at a target.
type Outcome int

// The outcomes of a request at a target.
const (
	// Served means that the complete answer arrived.
	Served Outcome = iota
	// Failed means that the target was unreachable, closed the connection or sent an
	// invalid answer or a server error.
	Failed
	// Busy means that the target rejected the request without running it.
	Busy
	// Stalled means that the request hung at the target and was moved to another one. The target is
	// left for minBackoff; how slow it is has been counted by its pace.
	Stalled
	// Withdrawn means that the request ended on the caller's side, which says nothing
	// about the target.
	Withdrawn
)

// Load is the work that a node has in flight at a target.
type Load struct {
	Running int
	// Prefill is the expected time to read the prompts that are not yet read.
	Prefill time.Duration
	// LongPrefills counts the running requests whose long prompts are not yet read.
	LongPrefills int
	// Deferred counts the requests with long prompts that are deferred.
	Deferred int
	// Tokens are those of the engine's cache that the running requests take.
	Tokens int
}

func (load Load) plus(more Load) Load {
	return Load{
		Running:      load.Running + more.Running,
		Prefill:      load.Prefill + more.Prefill,
		LongPrefills: load.LongPrefills + more.LongPrefills,
		Deferred:     load.Deferred + more.Deferred,
		Tokens:       load.Tokens + more.Tokens,
	}
}

func (load Load) minus(less Load) Load {
	return load.plus(Load{
		Running: -less.Running, Prefill: -less.Prefill, LongPrefills: -less.LongPrefills, Deferred: -less.Deferred,
		Tokens: -less.Tokens,
	})
}

// targetState is what this node knows of one target from its own requests and its peers.
type targetState struct {
	load Load
	// peers holds the loads of all peers together, so that a choice among hundreds of targets doesn't
	// add up those of hundreds of peers.
	peers Load
	// pace is where the pace of the target is known.
	pace pace.Handle
	// failures counts the consecutive failures.
	failures     int
	backoffUntil time.Time
	// failureRate is the moving average as of failureRateTime.
	failureRate     float64
	failureRateTime time.Time
	// prefixes holds the keys of the prompt prefixes that were sent to the target, prefixOrder
	// lists them by the time of the first send.
	prefixes    map[uint64]struct{}
	prefixOrder []uint64
}

// peerLoad is the load reported by another node.
type peerLoad struct {
	until time.Time
	loads map[string]Load
}

// Tracker tracks the load and health of the targets for one node. It is safe for
// concurrent use.
type Tracker struct {
	zone    string
	pace    *pace.Tracker
	lock    sync.Mutex
	targets map[string]*targetState
	peers   map[string]peerLoad
	// expiry is when the loads of the first of the peers are to be left out.
	expiry time.Time
	// pauses holds, by target, how long it wants no requests from this node.
	pauses map[string]pause
	// exhausted holds, by target, how long its limit allows this node no requests.
	exhausted map[string]pause
	// waiting holds the sent requests without a first event, waitingAt is when they were last
	// observed.
	waiting   []*InFlight
	waitingAt time.Time
}

// New returns a tracker for a node in the given zone, which learns and uses the pace of targets.
func New(zone string, pace *pace.Tracker) *Tracker {
	return &Tracker{
		zone: zone, pace: pace, targets: map[string]*targetState{}, peers: map[string]peerLoad{},
		pauses: map[string]pause{}, exhausted: map[string]pause{},
	}
}

// SetPeerLoads replaces the loads reported by another node, by target id. They are
// ignored after until.
func (tracker *Tracker) SetPeerLoads(node string, loads map[string]Load, until time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	tracker.removePeer(node)
	tracker.peers[node] = peerLoad{until: until, loads: loads}
	for id, load := range loads {
		state := tracker.state(id)
		state.peers = state.peers.plus(load)
	}
	if tracker.expiry.IsZero() || until.Before(tracker.expiry) {
		tracker.expiry = until
	}
}

// removePeer leaves a peer's loads out of the sums.
func (tracker *Tracker) removePeer(node string) {
	for id, load := range tracker.peers[node].loads {
		state := tracker.state(id)
		state.peers = state.peers.minus(load)
	}
	delete(tracker.peers, node)
}

// expirePeers leaves out the loads that count no longer.
func (tracker *Tracker) expirePeers(now time.Time) {
	if tracker.expiry.IsZero() || !now.After(tracker.expiry) {
		return
	}
	tracker.expiry = time.Time{}
	for node, peer := range tracker.peers {
		switch {
		case now.After(peer.until):
			tracker.removePeer(node)
		case tracker.expiry.IsZero() || peer.until.Before(tracker.expiry):
			tracker.expiry = peer.until
		}
	}
}

// Loads returns the load of this node by target id, without idle targets.
func (tracker *Tracker) Loads() map[string]Load {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	loads := map[string]Load{}
	for id, state := range tracker.targets {
		if state.load.Running > 0 || state.load.Deferred > 0 {
			loads[id] = state.load
		}
	}
	return loads
}

// Prune removes the targets for which known returns false, unless requests are
// running or deferred there, as far as this node has heard.
func (tracker *Tracker) Prune(known func(id string) bool) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	for id, state := range tracker.targets {
		if !known(id) && state.load.Running == 0 && state.load.Deferred == 0 && state.peers == (Load{}) {
			delete(tracker.targets, id)
		}
	}
}

// Total returns the load of all nodes at a target.
func (tracker *Tracker) Total(id string, now time.Time) Load {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	return tracker.total(id, now)
}

func (tracker *Tracker) total(id string, now time.Time) Load {
	tracker.expirePeers(now)
	state, found := tracker.targets[id]
	if !found {
		return Load{}
	}
	return state.load.plus(state.peers)
}

func (tracker *Tracker) state(id string) *targetState {
	state, found := tracker.targets[id]
	if !found {
		state = &targetState{}
		tracker.targets[id] = state
	}
	return state
}

// failureRateAt returns the failure rate, decayed by the time since its last update.
func (state *targetState) failureRateAt(now time.Time) float64 {
	if state.failureRate == 0 {
		return 0
	}
	return state.failureRate * math.Exp2(-now.Sub(state.failureRateTime).Seconds()/failureHalfLife.Seconds())
}

// addPrefix records a prompt prefix as cached at the target and evicts the oldest
// one above maxPrefixes.
func (state *targetState) addPrefix(key uint64) {
	if state.prefixes == nil {
		state.prefixes = map[uint64]struct{}{}
	}
	if _, found := state.prefixes[key]; !found {
		state.prefixOrder = append(state.prefixOrder, key)
		state.prefixes[key] = struct{}{}
	}
	if len(state.prefixOrder) > maxPrefixes {
		delete(state.prefixes, state.prefixOrder[0])
		state.prefixOrder = state.prefixOrder[1:]
	}
}

// InFlight is a request in flight at a target.
type InFlight struct {
	tracker     *Tracker
	id          string
	engine      bool
	prefill     time.Duration
	tokens      int
	prefillDone bool
	ended       bool
	timing      timing
}

// Begin counts a request that is about to be sent to a target. The caller has to
// call End on the result.
func (tracker *Tracker) Begin(id string, query Query, _ time.Time) *InFlight {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	state := tracker.state(id)
	inFlight := &InFlight{tracker: tracker, id: id, engine: query.Engine, prefill: query.expectedPrefill(state), tokens: query.cacheTokens()}
	state.load.Running++
	state.load.Prefill += inFlight.prefill
	state.load.LongPrefills += inFlight.longPrefills()
	state.load.Tokens += inFlight.tokens
	if key := query.prefixKey(); key != 0 {
		state.addPrefix(key)
	}
	return inFlight
}

// longPrefills returns 1 if the request has a long prompt, otherwise 0.
func (inFlight *InFlight) longPrefills() int {
	if inFlight.prefill < longPrefill {
		return 0
	}
	return 1
}

// PrefillDone records that the target has read the prompt. Only the first call has an effect.
func (inFlight *InFlight) PrefillDone() {
	inFlight.tracker.lock.Lock()
	defer inFlight.tracker.lock.Unlock()
	inFlight.finishPrefill()
}

func (inFlight *InFlight) finishPrefill() {
	if inFlight.prefillDone {
		return
	}
	inFlight.prefillDone = true
	state := inFlight.tracker.state(inFlight.id)
	state.load.Prefill -= inFlight.prefill
	state.load.LongPrefills -= inFlight.longPrefills()
}

// End records the outcome of the request. Only the first call has an effect.
func (inFlight *InFlight) End(outcome Outcome, now time.Time) {
	inFlight.tracker.lock.Lock()
	defer inFlight.tracker.lock.Unlock()
	if inFlight.ended {
		return
	}
	inFlight.ended = true
	inFlight.finishPrefill()
	inFlight.stopWaiting()
	state := inFlight.tracker.state(inFlight.id)
	state.load.Running--
	state.load.Tokens -= inFlight.tokens
	if outcome == Withdrawn {
		return
	}
	if outcome == Stalled {
		state.backoffUntil = now.Add(minBackoff)
		return
	}
	failed := 0.0
	switch outcome {
	case Served:
		state.failures = 0
	case Busy:
		state.backoffUntil = now.Add(minBackoff)
	case Failed:
		failed = 1
		backoff := min(minBackoff<<min(state.failures, 8), maxBackoff)
		state.failures++
		state.backoffUntil = now.Add(backoff)
	}
	state.failureRate = state.failureRateAt(now)*(1-failureWeight) + failed*failureWeight
	state.failureRateTime = now
}
