package fleet

import "time"

// Processes is an immutable snapshot of what a node knows of the fleet's processes.
type Processes struct {
	// Self is this process. Its incarnation is zero until it holds a lease.
	Self Holder
	// Live holds the addresses of the live members, including this node.
	Live []string
	// Lenders holds the addresses of the other live nodes that hold shares.
	Lenders      []string
	incarnations map[string]uint64
	// members holds the addresses of all members, with false for those whose host is gone.
	members map[string]bool
}

// Processes returns a snapshot of what this node knows at now.
func (core *Core) Processes(now time.Duration) *Processes {
	known := &Processes{
		Self:         Holder{Address: core.settings.Self.Address},
		incarnations: map[string]uint64{},
		members:      map[string]bool{},
	}
	if core.lease.held {
		known.Self = core.self()
	}
	for _, member := range core.Live(now) {
		known.Live = append(known.Live, member.Address)
	}
	known.Lenders = core.lenders(known.Live)
	for address, seen := range core.observedLeases {
		known.incarnations[address] = seen.value.Incarnation
	}
	for _, member := range core.head.Members {
		known.members[member.Address] = !core.hosts.gone(now, core.settings.HostLag, member)
	}
	return known
}

// lenders returns the addresses of the live holders of shares except this node, each once.
func (core *Core) lenders(live []string) []string {
	alive := map[string]bool{}
	for _, address := range live {
		alive[address] = address != core.settings.Self.Address
	}
	var lenders []string
	for _, holder := range core.shares.holders {
		if alive[holder.Address] {
			alive[holder.Address] = false
			lenders = append(lenders, holder.Address)
		}
	}
	return lenders
}

// Ended reports whether a process is known to have ended. An expired lease is no
// proof, because its holder may be paused and resume later.
func (known *Processes) Ended(holder Holder) bool {
	if holder.Address == known.Self.Address {
		return holder.Incarnation < known.Self.Incarnation
	}
	return !known.members[holder.Address] || known.incarnations[holder.Address] > holder.Incarnation
}
