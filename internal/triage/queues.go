// Package triage decides which of the requests that wait at a node is sent next, and which are refused because
// no target can answer them in time.
//
// Order, Hopeless and NextReturn are pure functions. Queues holds the requests that wait for room at targets, one
// queue for each target, and sends them in that order. While none waits, it does nothing.
//
// # Usage
//
//	queues := triage.New(log)
//	entry := triage.Entry{Request: request, Place: func(now time.Time, granted func(target string) int) (mimosatide.Instance, triage.Verdict) {...}}
//	instance, outcome := queues.Wait(ctx, draining, target, entry, until)
//	if outcome == triage.Placed {
//		queues.Release(instance.ID) // right before the request is counted as in flight
//	}
package triage

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
)

const (
	// checkInterval is the time between two checks for room. The shortest objective that requests wait under is
	// 150 ms; they wait for half of it at most.
	checkInterval = 25 * time.Millisecond
	// maxWaiting bounds the requests that wait at a node. Each takes about a kilobyte here.
	maxWaiting = 512
	// maxTried is the number of requests of a queue for which room is looked for at one check, so that a check
	// of a full queue costs well under a millisecond.
	maxTried = 4
	// maxServices bounds the services for which times of return are kept, maxReturn how far ahead they are: no
	// caller returns later than its deadline allows, and those of minutes are rare.
	maxServices = 64
	maxReturn   = 30 * time.Second
	// logInterval is the least time between two log lines about waiting requests.
	logInterval = 5 * time.Second
)

// Verdict is the result of looking for room for a request.
type Verdict int

// The results of looking for room.
const (
	// NoRoom means that no target has room for the request; there may be room for others.
	NoRoom Verdict = iota
	// Hold means that the room is left to other nodes for now.
	Hold
	// Send means that the request may be sent.
	Send
	// Choose means that the targets have changed, so that the request needs another choice.
	Choose
)

// Entry is a request that waits for room.
type Entry struct {
	Request Request
	// Place looks for a target with room. granted returns how many requests have got a place at a target and
	// are not counted as in flight yet. It is not called any more once Wait has returned.
	Place func(now time.Time, granted func(target string) int) (mimosatide.Instance, Verdict)
}

// Outcome says how a wait has ended.
type Outcome string

// The outcomes of a wait.
const (
	// Placed means that there is room at the returned target.
	Placed Outcome = "Placed"
	// Rechoose means that the request needs another choice of its target.
	Rechoose Outcome = "Rechoose"
	// Expired means that the request has waited for as long as it may.
	Expired Outcome = "Expired"
	// Ended means that the request's context has ended, or that waiting requests are refused.
	Ended Outcome = "Ended"
	// Full means that too many requests wait already.
	Full Outcome = "Full"
)

// ticket is a waiting request. The channel is closed when its wait has ended with verdict at instance.
type ticket struct {
	Entry
	done     chan struct{}
	instance mimosatide.Instance
	verdict  Verdict
}

// line is the queue of one target.
type line struct {
	waiting []*ticket
	// recent holds the requests that got the last places.
	recent []Request
}

// Queues holds the requests that wait at a node. It is safe for concurrent use.
type Queues struct {
	log   logr.Logger
	count atomic.Int64
	lock  sync.Mutex
	lines map[string]*line
	// granted counts, by target, the requests that have got a place and have not been released.
	granted map[string]int
	// wake lets the goroutine that checks for room do so at once; running says that there is one.
	wake     chan struct{}
	running  bool
	loggedAt time.Time
	// returns holds, by service, the time that the last refused caller was told to return at.
	returns map[string]time.Time
}

// New returns queues in which nothing waits.
func New(log logr.Logger) *Queues {
	return &Queues{log: log, lines: map[string]*line{}, granted: map[string]int{}, wake: make(chan struct{}, 1), returns: map[string]time.Time{}}
}

// Waiting returns the number of waiting requests.
func (queues *Queues) Waiting() int {
	return int(queues.count.Load())
}

// WaitingAt returns the number of requests that wait for a target.
func (queues *Queues) WaitingAt(target string) int {
	if queues.count.Load() == 0 {
		return 0
	}
	queues.lock.Lock()
	defer queues.lock.Unlock()
	held := queues.lines[target]
	if held == nil {
		return 0
	}
	return len(held.waiting)
}

// Wait queues a request for a target until there is room for it, but not beyond until. With Placed it
// returns the target that has room, which need not be the one that the request waited for; the caller then
// has to call Release.
func (queues *Queues) Wait(ctx context.Context, ending <-chan struct{}, target string, entry Entry, until time.Time) (mimosatide.Instance, Outcome) {
	queued := &ticket{Entry: entry, done: make(chan struct{})}
	if !queues.add(target, queued) {
		return mimosatide.Instance{}, Full
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	outcome := Expired
	select {
	case <-queued.done:
	case <-timer.C:
	case <-ctx.Done():
		outcome = Ended
	case <-ending:
		outcome = Ended
	}
	if queues.remove(target, queued) {
		return mimosatide.Instance{}, outcome
	}
	if queued.verdict == Choose {
		return mimosatide.Instance{}, Rechoose
	}
	if outcome == Ended {
		queues.Release(queued.instance.ID)
		return mimosatide.Instance{}, outcome
	}
	return queued.instance, Placed
}

// Release says that a request which got a place at a target is counted as in flight there, or is not sent.
func (queues *Queues) Release(target string) {
	queues.lock.Lock()
	defer queues.lock.Unlock()
	if queues.granted[target]--; queues.granted[target] <= 0 {
		delete(queues.granted, target)
	}
}

// Wake lets the waiting requests look for room at once, because a request has ended.
func (queues *Queues) Wake() {
	if queues.count.Load() == 0 {
		return
	}
	select {
	case queues.wake <- struct{}{}:
	default:
	}
}

func (queues *Queues) add(target string, queued *ticket) bool {
	queues.lock.Lock()
	defer queues.lock.Unlock()
	if queues.count.Load() >= maxWaiting {
		return false
	}
	held := queues.lines[target]
	if held == nil {
		held = &line{}
		queues.lines[target] = held
	}
	held.waiting = append(held.waiting, queued)
	queues.count.Add(1)
	if !queues.running {
		queues.running = true
		go queues.run()
	}
	return true
}

// remove ends the wait of a request that has got no place; it returns false if it has.
func (queues *Queues) remove(target string, queued *ticket) bool {
	queues.lock.Lock()
	defer queues.lock.Unlock()
	select {
	case <-queued.done:
		return false
	default:
		queues.take(queues.lines[target], queued)
		return true
	}
}

func (queues *Queues) take(held *line, queued *ticket) {
	for index, other := range held.waiting {
		if other == queued {
			held.waiting = append(held.waiting[:index], held.waiting[index+1:]...)
			queues.count.Add(-1)
			return
		}
	}
}

// run checks for room until no request waits.
func (queues *Queues) run() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-queues.wake:
		}
		if !queues.check(time.Now()) {
			return
		}
	}
}

// check gives places to waiting requests. It returns false if no request waits.
func (queues *Queues) check(now time.Time) bool {
	queues.lock.Lock()
	defer queues.lock.Unlock()
	for target, held := range queues.lines {
		if len(held.waiting) == 0 {
			delete(queues.lines, target)
			continue
		}
		for queues.place(held, now) {
		}
	}
	queues.running = len(queues.lines) > 0
	if waiting := queues.count.Load(); waiting > 0 && now.Sub(queues.loggedAt) >= logInterval {
		queues.loggedAt = now
		queues.log.Info("requests wait for room", "requests", waiting, "targets", len(queues.lines))
	}
	return queues.running
}

// place looks for room for the first requests of a queue. It returns true if one of them waits no longer.
func (queues *Queues) place(held *line, now time.Time) bool {
	requests := make([]Request, len(held.waiting))
	for index, queued := range held.waiting {
		requests[index] = queued.Request
	}
	order := Order(requests, held.recent, now)
	for _, index := range order[:min(len(order), maxTried)] {
		queued := held.waiting[index]
		instance, verdict := queued.Place(now, func(target string) int { return queues.granted[target] })
		if verdict == NoRoom {
			continue
		}
		if verdict == Hold {
			return false
		}
		queued.instance, queued.verdict = instance, verdict
		if verdict == Send {
			queues.granted[instance.ID]++
			held.recent = append(held.recent, queued.Request)
			held.recent = held.recent[max(len(held.recent)-recentPlaces, 0):]
		}
		queues.take(held, queued)
		close(queued.done)
		return true
	}
	return false
}

// Return returns when the caller of a refused request of a service should return, see NextReturn.
func (queues *Queues) Return(service string, room time.Time, work time.Duration, now time.Time) time.Time {
	queues.lock.Lock()
	defer queues.lock.Unlock()
	if _, found := queues.returns[service]; !found && len(queues.returns) >= maxServices {
		clear(queues.returns)
	}
	next := NextReturn(queues.returns[service], room, work)
	if next.Sub(now) > maxReturn {
		next = room
	}
	queues.returns[service] = next
	return next
}
