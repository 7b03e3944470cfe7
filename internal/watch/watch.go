// Package watch decides which host of a fleet watches the platform's store for the others,
// and when a host gives up an open poll of a table.
//
// A poll whose answer is lost looks like one without changes. One host, the watching one,
// therefore keeps its polls short. The store's answers confirm its copies, and hosts that know
// the same changes take the confirmations over. A host without a recent confirmation gives up
// its poll by itself, so that nobody depends on the watching host: it may be frozen, cut off,
// or be refused by the store that answers the others.
//
// # Usage
//
//	duty := watch.Decide(own, others)
//	if duty.Watches {
//		wait = watch.PollWait
//	}
//	follower.ReplaceUnconfirmed(duty.Limit)
package watch

import "time"

const (
	// PollWait is how long the store may hold a poll of the watching host open.
	PollWait = 500 * time.Millisecond
	// minLimit is two polls of the watching host and the interval between two digests of an
	// idle host, with slack.
	minLimit = 1750 * time.Millisecond
	// limitSpread is by how much the limits of hosts differ, so that the first ones that are
	// answered confirm the copies of the others.
	limitSpread = 500 * time.Millisecond
	// MaxLimit is the upper bound of all limits: older confirmations are of no use to anybody.
	MaxLimit = minLimit + limitSpread
)

// Host is a host of the fleet.
type Host struct {
	Name string
	// CPUShare is the fraction of a core that the host may use.
	CPUShare float64
	// Answered is false if the store did not answer the host's last call.
	Answered bool
}

// Before reports whether a host comes before another one: hosts with a larger CPU share come
// first, then they are in the order of their names.
func (host Host) Before(other Host) bool {
	return host.CPUShare > other.CPUShare || host.CPUShare == other.CPUShare && host.Name < other.Name
}

// Duty is what a host does to notice that the store no longer answers.
type Duty struct {
	// Watches is true if the host keeps its polls short for the others.
	Watches bool
	// Limit is the age of a poll and of the last confirmation of its table at which the host
	// gives the poll up.
	Limit time.Duration
}

// Decide returns the duty of a host; others are those that it has heard of lately.
func Decide(own Host, others []Host) Duty {
	ahead := 0
	for _, other := range others {
		if other.Answered && other.Before(own) {
			ahead++
		}
	}
	spread := limitSpread * time.Duration(ahead) / time.Duration(len(others)+1)
	return Duty{Watches: own.Answered && ahead == 0, Limit: minLimit + spread}
}
