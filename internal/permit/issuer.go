package permit

import (
	"math"
	"sync"
	"time"
)

const (
	// burstTime is how far ahead of their even distribution permits may be issued.
	burstTime = 500 * time.Millisecond
	// scheduleLifetime is how long a schedule without requests is kept.
	scheduleLifetime = time.Minute
	// longestInterval bounds the time between two permits: that of rates close to zero does not fit into a Duration.
	longestInterval = time.Hour
)

// Request asks for a permit to send one request to a target.
type Request struct {
	Target string
	// Born is the start of the target's incarnation.
	Born time.Time
	// Rate is the target's limit as the asking node knows it, in requests a second.
	Rate float64
	// Ahead, Shared and MinPart are those of the limit's Bound.
	Ahead   time.Duration
	Shared  bool
	MinPart float64
	// Patience is how long the request may wait for its turn.
	Patience time.Duration
	// Spare asks for a permit only if none has been issued ahead of time, because the
	// request has other targets.
	Spare bool
}

// Verdict is the answer to a Request.
type Verdict struct {
	Granted bool
	// Wait is the time until the request may be sent or, if no permit was granted, until a
	// permit is available.
	Wait time.Duration
}

// schedule spreads the permits for an incarnation of a target evenly.
type schedule struct {
	born time.Time
	// last is when the last permit is due, zero before the first. The next one is due by the rate that
	// then applies.
	last time.Time
	// rate is the rate of the last request of which several homes issue parts, zero before the first.
	rate float64
}

// interval returns the time between two permits at a rate.
func interval(rate float64) time.Duration {
	return time.Duration(min(float64(time.Second)/rate, float64(longestInterval)))
}

// share adapts a schedule to a rate of which several homes issue parts. The number of permits that it allows at
// once stays the same, within what the new rate allows: what was not issued at a lower rate must not be made up
// for at a higher one, and rates that alternate must not use the permits up. Permits that are due later than ahead
// keep their places. A schedule that has just begun allows one permit only: the home before may have issued all
// that may be issued ahead of time.
func (kept schedule) share(rate float64, ahead time.Duration, now time.Time) schedule {
	if kept.rate == 0 {
		if begin := now.Add(ahead - interval(rate)); begin.After(kept.last) {
			kept.last = begin
		}
	} else if room := min(ahead-kept.last.Sub(now), ahead+interval(kept.rate)); rate != kept.rate && room > 0 {
		adapted := min(float64(room)*kept.rate/rate, float64(ahead+interval(rate)))
		kept.last = now.Add(ahead - time.Duration(adapted))
	}
	kept.rate = rate
	return kept
}

// Issuer issues the permits for the targets of which its node is the home. It is safe for
// concurrent use.
type Issuer struct {
	lock      sync.Mutex
	schedules map[string]schedule
}

// NewIssuer returns an issuer that has issued nothing.
func NewIssuer() *Issuer {
	return &Issuer{schedules: map[string]schedule{}}
}

// Issue grants a permit if the request's turn comes within its patience. It issues
// Request.Rate permits a second, and at most Request.Ahead of them ahead of time.
func (issuer *Issuer) Issue(request Request, now time.Time) Verdict {
	if request.Rate <= 0 {
		return Verdict{Granted: true}
	}
	if math.IsNaN(request.Rate) || math.IsInf(request.Rate, 1) {
		return Verdict{Wait: answerTimeout}
	}
	issuer.lock.Lock()
	defer issuer.lock.Unlock()
	kept, found := issuer.schedules[request.Target]
	if !found {
		issuer.removeOld(now)
	}
	if !found || request.Born.After(kept.born) {
		kept = schedule{born: request.Born}
	}
	ahead := burstTime
	if request.Ahead > 0 {
		ahead = min(request.Ahead, burstTime)
	}
	if request.Shared {
		kept = kept.share(request.Rate, ahead, now)
		issuer.schedules[request.Target] = kept
	}
	next := now
	if !kept.last.IsZero() {
		next = kept.last.Add(interval(request.Rate))
	}
	if request.Spare {
		ahead = 0
	}
	wait := max(next.Sub(now)-ahead, 0)
	if wait > request.Patience {
		return Verdict{Wait: wait}
	}
	kept.last = next
	if next.Before(now) {
		kept.last = now
	}
	issuer.schedules[request.Target] = kept
	return Verdict{Granted: true, Wait: wait}
}

func (issuer *Issuer) removeOld(now time.Time) {
	for target, kept := range issuer.schedules {
		if now.Sub(kept.last) > scheduleLifetime {
			delete(issuer.schedules, target)
		}
	}
}
