package feed

import "sync"

// ProbeGate lets one follower at a time probe a lost store, because every call is
// charged for, even a rejected one. When a follower loses the store, the open polls of
// the others are replaced, as they may have lost their answers too. The zero value is
// ready to use.
type ProbeGate struct {
	lock      sync.Mutex
	followers []*Follower
	// prober is the first follower that lost the store, or nil.
	prober *Follower
	// lost are the followers whose last call failed.
	lost map[*Follower]bool
}

// add makes a follower one of those whose polls are replaced when another one loses the store.
func (gate *ProbeGate) add(follower *Follower) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.followers = append(gate.followers, follower)
}

// record takes the outcome of a follower's call.
func (gate *ProbeGate) record(follower *Follower, answered bool) {
	if !gate.update(follower, answered) {
		return
	}
	for _, other := range gate.followers {
		if other != follower {
			other.suspectPoll("another call to the store failed")
		}
	}
}

// announceEra tells the other followers the era of a table that a follower has read.
func (gate *ProbeGate) announceEra(follower *Follower, era uint64) {
	for _, other := range gate.followers {
		if other != follower {
			other.announceEra(era)
		}
	}
}

// update takes the outcome of a follower's call and reports whether the follower has lost
// the store with it.
func (gate *ProbeGate) update(follower *Follower, answered bool) bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	if answered {
		// The store is back, so the waiting followers may call it again.
		gate.prober = nil
		gate.lost = nil
		return false
	}
	if gate.lost == nil {
		gate.lost = map[*Follower]bool{}
	}
	known := gate.lost[follower]
	gate.lost[follower] = true
	if gate.prober == nil {
		gate.prober = follower
	}
	return !known
}

// withdraw lets another follower probe the store, because this one no longer calls it.
func (gate *ProbeGate) withdraw(follower *Follower) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	delete(gate.lost, follower)
	if gate.prober == follower {
		gate.prober = nil
	}
}

// blocks reports whether a follower must wait while another one probes the lost store.
func (gate *ProbeGate) blocks(follower *Follower) bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	return gate.prober != nil && gate.prober != follower && gate.lost[follower]
}
