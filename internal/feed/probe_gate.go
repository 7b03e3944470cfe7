package feed

import "sync"

// ProbeGate lets one follower at a time probe a lost store, because every call is
// charged for, even a rejected one. The zero value is ready to use.
type ProbeGate struct {
	lock sync.Mutex
	// prober is the first follower that lost the store, or nil.
	prober *Follower
	// lost are the followers whose last call failed.
	lost map[*Follower]bool
}

// record takes the outcome of a follower's call.
func (gate *ProbeGate) record(follower *Follower, answered bool) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	if answered {
		// The store is back, so the waiting followers may call it again.
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

// blocks reports whether a follower must wait while another one probes the lost store.
func (gate *ProbeGate) blocks(follower *Follower) bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	return gate.prober != nil && gate.prober != follower && gate.lost[follower]
}
