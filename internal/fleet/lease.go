package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// LeaseRow is the value of a node's lease row. A node may spend from its shares
// only while it holds the lease.
type LeaseRow struct {
	// Incarnation counts the processes that ran at the address.
	Incarnation uint64
	// Renewal grows with every renewal, so that each one changes the row.
	Renewal uint64
	// Nonce identifies the process that wrote the row.
	Nonce string
	// Released means that the process has given up its shares.
	Released bool
}

type leaseWire struct {
	Incarnation uint64
	Renewal     uint64
	Nonce       string
	Released    bool
}

// EncodeLease encodes a lease as a row value.
func EncodeLease(lease LeaseRow) []byte {
	return mustEncode(leaseWire(lease))
}

// DecodeLease decodes the row value of a lease.
func DecodeLease(value []byte) (LeaseRow, error) {
	var wire leaseWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return LeaseRow{}, errors.Annotate(err, "decode lease row")
	}
	return LeaseRow(wire), nil
}

// ownLease is the state of this node's own lease.
type ownLease struct {
	row      mimosatide.RowVersion
	value    LeaseRow
	held     bool
	until    time.Duration
	nextTry  time.Duration
	call     uint64
	released bool
}

// observedLease is another node's lease as last read by this node.
type observedLease struct {
	row   mimosatide.RowVersion
	value LeaseRow
	// since is when this version of the row was first read, or when a read last
	// failed after that.
	since time.Duration
	known bool
}

// LeaseValid reports whether this node may spend from its shares.
func (core *Core) LeaseValid(now time.Duration) bool {
	return core.lease.held && !core.lease.released && now < core.lease.until && core.isMember()
}

// advanceLease acquires or renews this node's lease.
func (core *Core) advanceLease() {
	if core.lease.call != 0 || core.departure.requested || !core.isMember() || core.now < core.lease.nextTry {
		return
	}
	if core.lease.held {
		core.renewLease()
		return
	}
	core.lease.nextTry = core.now + core.settings.ReadEvery
	key := leaseKey(core.settings.Self.Address)
	core.lease.call = core.read([]string{key}, func(answer tableAnswer) {
		core.lease.call = 0
		if !answer.failed {
			core.acquireLease(answer.rows[key])
		}
	})
}

// acquireLease starts a new incarnation. This process listens at the address, so
// every earlier incarnation must have ended.
func (core *Core) acquireLease(row mimosatide.Row) {
	var before LeaseRow
	if row.Version > 0 {
		decoded, err := DecodeLease(row.Value)
		if err != nil {
			return
		}
		before = decoded
	}
	next := LeaseRow{Incarnation: before.Incarnation + 1, Nonce: core.settings.Nonce}
	core.writeLease(row.Version, next)
}

func (core *Core) renewLease() {
	next := core.lease.value
	next.Renewal++
	core.writeLease(core.lease.row, next)
}

func (core *Core) writeLease(row mimosatide.RowVersion, next LeaseRow) {
	core.lease.nextTry = core.now + core.settings.RenewEvery
	key := leaseKey(core.settings.Self.Address)
	transaction := mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: key, Version: row}},
		Writes:     []mimosatide.Write{{Key: key, Value: EncodeLease(next)}},
	}
	core.lease.call = core.commit(transaction, func(answer tableAnswer) {
		core.lease.call = 0
		core.finishLeaseWrite(answer, row, next)
	})
}

func (core *Core) finishLeaseWrite(answer tableAnswer, row mimosatide.RowVersion, next LeaseRow) {
	if answer.outcome == mimosatide.CommitDone {
		core.confirmLease(answer.started, row+1, next)
		return
	}
	core.lease.nextTry = core.now + core.settings.ReadEvery
	if answer.outcome == mimosatide.CommitRefused {
		return
	}
	core.readBackLease(answer.started)
}

// readBackLease reads the lease row after a write whose answer was lost or whose
// condition failed, and finds out whether this process holds the lease. started is
// when the write was begun.
func (core *Core) readBackLease(started time.Duration) {
	key := leaseKey(core.settings.Self.Address)
	core.lease.call = core.read([]string{key}, func(answer tableAnswer) {
		core.lease.call = 0
		if answer.failed {
			core.lease.nextTry = core.now + core.settings.ReadEvery
			return
		}
		row := answer.rows[key]
		value, err := DecodeLease(row.Value)
		if err != nil || value.Nonce != core.settings.Nonce {
			core.lease.held = false
			return
		}
		if row.Version > core.lease.row {
			core.confirmLease(started, row.Version, value)
		}
	})
}

// confirmLease records that this node holds the lease. The term counts from
// before the write was sent.
func (core *Core) confirmLease(started time.Duration, row mimosatide.RowVersion, value LeaseRow) {
	core.distrustSharesAfterExpiry()
	core.lease.held = true
	core.lease.row = row
	core.lease.value = value
	core.lease.until = max(core.lease.until, started+core.settings.shortened(core.settings.LeaseTerm))
	core.lease.nextTry = core.now + core.renewEvery()
	core.reportShares()
}

// renewEvery returns the interval between renewals. It is long for a node that
// can't hold shares, whose lease only publishes its incarnation.
func (core *Core) renewEvery() time.Duration {
	if core.isWitness() {
		return core.settings.RenewEvery
	}
	return core.settings.LeaseTerm / 2
}

// leaseKeys returns the keys of the leases of all witnesses and holders of shares.
func (core *Core) leaseKeys() []string {
	addresses := map[string]bool{}
	for _, set := range core.head.witnessSets(core.settings.WitnessLimit) {
		for _, member := range set {
			addresses[member.Address] = true
		}
	}
	for _, holder := range core.shares.holders {
		addresses[holder.Address] = true
	}
	delete(addresses, "")
	keys := make([]string, 0, len(addresses))
	for _, address := range slices.Sorted(maps.Keys(addresses)) {
		keys = append(keys, leaseKey(address))
	}
	return keys
}

func (core *Core) observeLeases(rows map[string]mimosatide.Row) {
	for _, key := range core.leaseKeys() {
		address := key[len(leaseKeyPrefix):]
		row, found := rows[key]
		if !found {
			continue
		}
		value, err := DecodeLease(row.Value)
		if err != nil {
			continue
		}
		seen := core.observedLeases[address]
		if !seen.known || seen.row != row.Version {
			seen = observedLease{row: row.Version, value: value, since: core.now, known: true}
		}
		core.observedLeases[address] = seen
	}
}

// resetLeaseAges restarts the age of every observed lease after a failed read,
// because its holder may have been unable to renew it as well.
func (core *Core) resetLeaseAges() {
	for address, seen := range core.observedLeases {
		seen.since = core.now
		core.observedLeases[address] = seen
	}
}

// holderExpired reports whether the holder can no longer spend from its shares.
func (core *Core) holderExpired(holder Holder) bool {
	if holder.Address == "" {
		return true
	}
	if holder.Address == core.settings.Self.Address {
		// Earlier incarnations at this address ended before this process could listen.
		return core.lease.held && holder.Incarnation < core.lease.value.Incarnation
	}
	if core.memberGone(holder.Address) {
		return true
	}
	seen := core.observedLeases[holder.Address]
	if !seen.known {
		return false
	}
	if seen.value.Incarnation > holder.Incarnation || seen.value.Released {
		return true
	}
	return core.leaseExpired(seen)
}

// memberGone reports whether the address belongs to no member or to one whose
// host is gone. Neither can spend from a share, because only members hold leases.
// A claim based on this is conditional on the version of the head row.
func (core *Core) memberGone(address string) bool {
	member, known := core.members[address]
	return !known || core.hosts.gone(core.now, core.settings.HostLag, member)
}

func (core *Core) leaseExpired(seen observedLease) bool {
	return core.now-seen.since > core.settings.lengthened(core.settings.LeaseTerm)
}
