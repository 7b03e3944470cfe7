package dispatch

import "time"

// The rules by which a failing target is passed over.
const (
	// failuresToAvoid is after how many failures in a row a target is passed over.
	failuresToAvoid = 3
	firstAvoidance  = time.Second
	longAvoidance   = 30 * time.Second
)

// targetHealth remembers the failures of one target.
type targetHealth struct {
	failures int
	avoid    time.Duration
	until    time.Duration
}

// health passes over targets that fail again and again, so that retries don't
// have to. It is not safe for concurrent use.
type health struct {
	targets map[string]*targetHealth
}

func newHealth() *health {
	return &health{targets: map[string]*targetHealth{}}
}

// note takes in whether a call reached its target and got a whole answer.
func (known *health) note(now time.Duration, target string, succeeded bool) {
	state, found := known.targets[target]
	if succeeded {
		delete(known.targets, target)
		return
	}
	if !found {
		state = &targetHealth{}
		known.targets[target] = state
	}
	state.failures++
	if state.failures >= failuresToAvoid {
		state.avoid = min(longAvoidance, max(firstAvoidance, 2*state.avoid))
		state.until = now + state.avoid
	}
}

// avoided says whether the target is passed over now. After that one call
// tries it: its failure starts a longer time.
func (known *health) avoided(now time.Duration, target string) bool {
	state, found := known.targets[target]
	return found && now < state.until
}

// usable drops the candidates to be passed over, unless that leaves none.
func (known *health) usable(now time.Duration, candidates []Candidate) []Candidate {
	var usable []Candidate
	for _, candidate := range candidates {
		if !known.avoided(now, candidate.Target) {
			usable = append(usable, candidate)
		}
	}
	if len(usable) == 0 {
		return candidates
	}
	return usable
}
