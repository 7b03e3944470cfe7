package fleet

import "time"

// Processes is what a node knows at one moment of the processes of the fleet.
// It is never changed once made.
type Processes struct {
	// Self is this process; its incarnation is zero before it has a lease.
	Self Holder
	// Live are the addresses of the live members, this node's included.
	Live []string
	// Lenders are the other live nodes that hold shares.
	Lenders      []string
	incarnations map[string]uint64
	members      map[string]bool
}

// Processes returns what is known of the processes now.
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
	for address, seen := range core.leases {
		known.incarnations[address] = seen.value.Incarnation
	}
	for _, member := range core.head.Members {
		known.members[member.Address] = !core.hosts.gone(now, core.settings.HostLag, member)
	}
	return known
}

// lenders returns the live holders of shares but this node, each once.
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

// Ended says whether a process is known to have ended. A lease that has run out
// is no proof: its holder may be paused and go on later.
func (known *Processes) Ended(holder Holder) bool {
	if holder.Address == known.Self.Address {
		return holder.Incarnation < known.Self.Incarnation
	}
	return !known.members[holder.Address] || known.incarnations[holder.Address] > holder.Incarnation
}
