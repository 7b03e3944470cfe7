package feed

import "sync"

// Gate lets one follower at a time find out whether a lost store answers again:
// each call is priced also when it is refused.
type Gate struct {
	lock sync.Mutex
	// prober is the follower that first lost the store, nil while none has.
	prober *Follower
	// lost are the followers that the store did not answer last.
	lost map[*Follower]bool
}

// note takes the outcome of a follower's call.
func (gate *Gate) note(follower *Follower, answered bool) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	if answered {
		// The store answers, so that those which wait may ask again.
		gate.prober = nil
		gate.lost = nil
		return
	}
	if gate.lost == nil {
		gate.lost = map[*Follower]bool{}
	}
	gate.lost[follower] = true
	if gate.prober == nil {
		gate.prober = follower
	}
}

// holds says whether a follower leaves it to another one to ask the lost store.
func (gate *Gate) holds(follower *Follower) bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	return gate.prober != nil && gate.prober != follower && gate.lost[follower]
}
