package dispatch

import "time"

// The rules for ejecting a failing target.
const (
	// maxConsecutiveFailures is the number of failures in a row that ejects a target.
	maxConsecutiveFailures = 3
	minEjectionTime        = time.Second
	maxEjectionTime        = 30 * time.Second
)

// targetHealth holds the failures of one target since its last success.
type targetHealth struct {
	failures     int
	ejectionTime time.Duration
	ejectedUntil time.Duration
}

// health ejects targets that fail repeatedly, so that calls to them don't use up
// the retry budget. It is not safe for concurrent use.
type health struct {
	targets map[string]*targetHealth
}

func newHealth() *health {
	return &health{targets: map[string]*targetHealth{}}
}

// record notes whether a call reached its target and got a complete answer.
func (health *health) record(now time.Duration, target string, succeeded bool) {
	state, found := health.targets[target]
	if succeeded {
		delete(health.targets, target)
		return
	}
	if !found {
		state = &targetHealth{}
		health.targets[target] = state
	}
	state.failures++
	if state.failures >= maxConsecutiveFailures {
		state.ejectionTime = min(maxEjectionTime, max(minEjectionTime, 2*state.ejectionTime))
		state.ejectedUntil = now + state.ejectionTime
	}
}

// isEjected reports whether the target gets no calls at present. When the ejection
// time is over, calls try the target again; the next failure ejects it for twice
// as long, up to maxEjectionTime.
func (health *health) isEjected(now time.Duration, target string) bool {
	state, found := health.targets[target]
	return found && now < state.ejectedUntil
}

// usable returns the candidates whose targets are not ejected, or all candidates
// if every target is.
func (health *health) usable(now time.Duration, candidates []Candidate) []Candidate {
	var usable []Candidate
	for _, candidate := range candidates {
		if !health.isEjected(now, candidate.Target) {
			usable = append(usable, candidate)
		}
	}
	if len(usable) == 0 {
		return candidates
	}
	return usable
}
