// Package pace learns how fast each target is in comparison with the other targets of its
// service.
//
// A Tracker compares the times until the first events of requests with the expected times. Expected
// times come from constants, so that all targets of a service may be off by the same ratio. The
// tracker therefore learns the usual ratio of each service (see service) and, for each target, the
// deviation from it: a moving average of binary logarithms in which each observation has a bounded
// effect. The deviation decays towards zero, so that a target that gets no requests is tried again.
// Peers report the deviations that they have learned.
//
// Deviations of less than a quarter count as none: the factor is then exactly 1.
//
// # Usage
//
//	tracker := pace.New(log)
//	target := pace.Target{ID: "i-1", Service: "llm", Born: born}
//	tracker.Observe(target, expected, actual, time.Now())
//	factor := tracker.Factor(target, time.Now())
//	digest.Paces = gossip.EncodePaces(tracker.Heard(pace.MaxReports, time.Now()))
//	tracker.Apply(reports, time.Now())
//	tracker.Prune(known)
//	summary := tracker.Review(time.Now())
package pace

import (
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Floor is the shortest time that is compared: below it, the network and the scheduling of
// processes matter more than the target's speed.
const Floor = 20 * time.Millisecond

// The bounds of a factor.
const (
	MinFactor = 0.5
	MaxFactor = 8
)

// The constants of learning; deviations are binary logarithms.
const (
	minDeviation = -1
	maxDeviation = 3
	// band is the deviation up to which a target's pace counts as usual. Without it, noise would
	// draw requests away from targets that have their prompt prefix in the cache.
	band = 0.3
	// gain is the share of a new observation in the average.
	gain = 0.15
	// maxStep limits the difference between an observation and the average that counts.
	maxStep = 1.3
	// halfLife is the time in which a deviation halves without observations.
	halfLife = 4 * time.Second
	// maxRatio bounds the logarithm of a single ratio.
	maxRatio = 10
	// stalled is the deviation above which a response within Floor lowers it: such a response
	// only says that the target is not stalled.
	stalled = 1
	// waitingRatio is how many times the usual time a request waits before it counts as an
	// observation, and waitingGrowth the ratio between that time and the next one at which it
	// counts again. maxWaits bounds the observations by one waiting request.
	waitingRatio  = 3
	waitingGrowth = 4
	maxWaits      = 3
	// factorLifetime is how long a factor is used that decays: by less than 3 % meanwhile.
	factorLifetime = 50 * time.Millisecond
	// maxTargets bounds the memory for targets that peers report; it is twice the number of
	// targets in the largest deployment.
	maxTargets = 20_000
	// maxServices bounds the memory for services; one takes 2 KB.
	maxServices = 1000
)

// Target identifies an incarnation of a target.
type Target struct {
	ID      string
	Service string
	Born    time.Time
}

// targetState is what is known of one incarnation of a target.
type targetState struct {
	service string
	born    time.Time
	// deviation and observations, the number of recent observations, are as of at.
	deviation    float64
	observations float64
	at           time.Time
	// lastFactor is the factor as of factorAt, in Unix nanoseconds because choices compare those of
	// many targets; zero if it has to be calculated.
	lastFactor float64
	factorAt   int64
	// reported and reportedAt belong to the last report to the peers.
	reported   float64
	reportedAt time.Time
	// peers is the average deviation in the reports of peers up to peersAt.
	peers   float64
	peersAt time.Time
	// slow says that the target was last logged as slow, loggedAt when a line was last logged.
	slow     bool
	loggedAt time.Time
}

// Tracker knows the pace of targets. It is safe for concurrent use.
type Tracker struct {
	log      logr.Logger
	lock     sync.Mutex
	targets  map[string]*targetState
	services map[string]*service
	// generation counts the changes of which states belong to the targets.
	generation uint64
	// allowance is the number of reports that might be sent at heardAt.
	allowance float64
	heardAt   time.Time
}

// New returns a tracker that knows nothing yet.
func New(log logr.Logger) *Tracker {
	return &Tracker{log: log, targets: map[string]*targetState{}, services: map[string]*service{}, generation: 1}
}

// Observe records the time from the send of a request to its first event, or to its complete
// response if it is not a stream, and the time that was expected, given what was in flight at
// the target.
func (tracker *Tracker) Observe(target Target, expected, actual time.Duration, now time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	state := tracker.observed(target, now)
	usual := tracker.service(target.Service)
	if state == nil || usual == nil {
		return
	}
	if expected <= Floor && actual <= Floor {
		usual.at = now
		if state.deviationAt(now) > stalled {
			state.learn(0, gain, now)
		}
		return
	}
	ratio := ratioOf(expected, actual)
	usual.add(target.ID, ratio, now)
	deviation := ratio - usual.ratio
	usual.addSpread(deviation - state.deviationAt(now))
	state.learn(deviation, usual.gain(), now)
}

// ObserveWaiting records a request that has had no first event yet, age after its send, and
// reports whether it counts as an observation: it does if it has waited for much longer than
// usual. counted is the number of times that this request has counted before.
func (tracker *Tracker) ObserveWaiting(target Target, expected, age time.Duration, counted int, now time.Time) bool {
	if age < waitingRatio*Floor || counted >= maxWaits {
		return false
	}
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	usual := tracker.services[target.Service]
	if usual == nil || !usual.known() {
		return false
	}
	deviation := ratioOf(expected, age) - usual.ratio
	if deviation < math.Log2(waitingRatio)+float64(counted)*math.Log2(waitingGrowth)+usual.excessSpread() {
		return false
	}
	if state := tracker.observed(target, now); state != nil {
		state.learn(deviation, usual.gain(), now)
	}
	return true
}

// Factor returns how many times the time usual at its service a target takes; 1 if that is
// not known or about usual. It is between MinFactor and MaxFactor.
func (tracker *Tracker) Factor(target Target, now time.Time) float64 {
	reader := tracker.Read(now)
	defer reader.Close()
	return reader.Factor(&Handle{}, target.ID, target.Born)
}

// Handle remembers what is known of a target, so that a choice among many targets looks none of them up while
// the known targets stay the same. The zero value remembers nothing.
type Handle struct {
	generation uint64
	state      *targetState
}

// Reader returns the factors of many targets at one time. The tracker is locked until Close.
type Reader struct {
	tracker *Tracker
	now     time.Time
	nanos   int64
}

// Read returns a reader of the factors as of now.
func (tracker *Tracker) Read(now time.Time) Reader {
	tracker.lock.Lock()
	return Reader{tracker: tracker, now: now, nanos: now.UnixNano()}
}

// Factor is Tracker.Factor for the incarnation of a target. The handle belongs to that target and this tracker.
func (reader Reader) Factor(handle *Handle, id string, born time.Time) float64 {
	if handle.generation != reader.tracker.generation {
		handle.state, handle.generation = reader.tracker.targets[id], reader.tracker.generation
	}
	if handle.state == nil || !handle.state.born.Equal(born) {
		return 1
	}
	return handle.state.factor(reader.now, reader.nanos)
}

// Close ends the reading.
func (reader Reader) Close() {
	reader.tracker.lock.Unlock()
}

// Usual returns the time that a service's targets usually take if the given one was expected, raised by the
// spread of the service's times; false if nothing is known of the service.
func (tracker *Tracker) Usual(name string, expected time.Duration) (time.Duration, bool) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	usual := tracker.services[name]
	if usual == nil || !usual.known() {
		return 0, false
	}
	return time.Duration(float64(max(expected, Floor)) * math.Exp2(usual.ratio+usual.excessSpread())), true
}

// Prune removes the targets for which known returns false.
func (tracker *Tracker) Prune(known func(id string) bool) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	for id := range tracker.targets {
		if !known(id) {
			tracker.setState(id, nil)
		}
	}
}

// ratioOf returns the binary logarithm of the ratio of two times that are raised to Floor.
func ratioOf(expected, actual time.Duration) float64 {
	ratio := math.Log2(float64(max(actual, Floor)) / float64(max(expected, Floor)))
	return min(max(ratio, -maxRatio), maxRatio)
}

// observed returns the state of a target that a request of this node has observed; nil if it is
// of an earlier incarnation than the known one, or if too many targets are known.
func (tracker *Tracker) observed(target Target, now time.Time) *targetState {
	state, found := tracker.targets[target.ID]
	switch {
	case found && state.born.Equal(target.Born):
		state.service = target.Service
		return state
	case found && state.observations > 0 && target.Born.Before(state.born):
		return nil
	case !found && len(tracker.targets) >= maxTargets:
		return nil
	}
	fresh := &targetState{service: target.Service, born: target.Born, at: now}
	if found {
		fresh.slow, fresh.loggedAt = state.slow, state.loggedAt
	}
	tracker.setState(target.ID, fresh)
	return fresh
}

// setState replaces the state of a target; nil forgets the target.
func (tracker *Tracker) setState(id string, state *targetState) {
	tracker.generation++
	if state == nil {
		delete(tracker.targets, id)
		return
	}
	tracker.targets[id] = state
}

// learn moves the deviation towards an observed one.
func (state *targetState) learn(observed, gain float64, now time.Time) {
	if share := state.remaining(now); share < 1 {
		state.deviation *= share
		state.observations *= share
		state.at = now
	}
	step := min(max(observed-state.deviation, -maxStep), maxStep)
	state.deviation = min(max(state.deviation+gain*step, minDeviation), maxDeviation)
	state.observations++
	state.factorAt = 0
}

// remaining returns the share of the last deviation that has not decayed.
func (state *targetState) remaining(now time.Time) float64 {
	elapsed := now.Sub(state.at)
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// deviationAt returns the deviation that this node has learned.
func (state *targetState) deviationAt(now time.Time) float64 {
	if state.deviation == 0 {
		return 0
	}
	return state.deviation * state.remaining(now)
}

// factor returns the factor by the observations of this node and of its peers. A choice asks for
// those of many targets, so that each is calculated once in factorLifetime. nanos is now in Unix nanoseconds.
func (state *targetState) factor(now time.Time, nanos int64) float64 {
	if age := nanos - state.factorAt; age < 0 || age >= int64(factorLifetime) {
		state.lastFactor, state.factorAt = state.calculate(now), nanos
	}
	return state.lastFactor
}

func (state *targetState) calculate(now time.Time) float64 {
	share := state.peerShare(now)
	if share == 0 && math.Abs(state.deviation) < band {
		return 1
	}
	deviation := state.deviationAt(now)*(1-share) + state.peers*share
	if math.Abs(deviation) < band {
		return 1
	}
	return math.Exp2(deviation)
}
