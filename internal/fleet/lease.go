package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// LeaseRow is the table row by which a node stays the holder of its shares.
type LeaseRow struct {
	// Incarnation counts the processes that ran at the address.
	Incarnation uint64
	// Renewal makes every renewal a change of the row.
	Renewal  uint64
	Nonce    string
	Released bool
}

type leaseWire struct {
	Incarnation uint64
	Renewal     uint64
	Nonce       string
	Released    bool
}

// EncodeLease returns the row value of a lease.
func EncodeLease(lease LeaseRow) []byte {
	return mustEncode(leaseWire(lease))
}

// DecodeLease reads the row value of a lease.
func DecodeLease(value []byte) (LeaseRow, error) {
	var wire leaseWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return LeaseRow{}, errors.Annotate(err, "lease")
	}
	return LeaseRow(wire), nil
}

// lease is this node's own hold on its row.
type lease struct {
	row      mimosatide.RowVersion
	value    LeaseRow
	held     bool
	until    time.Duration
	nextTry  time.Duration
	call     uint64
	released bool
}

// observedLease is another node's lease as this node sees it.
type observedLease struct {
	row   mimosatide.RowVersion
	value LeaseRow
	// since is when the unchanged row was first read, with every read answered since.
	since time.Duration
	known bool
}

// LeaseValid says whether this node may act as the holder of its shares.
func (core *Core) LeaseValid(now time.Duration) bool {
	return core.lease.held && !core.lease.released && now < core.lease.until && core.isMember()
}

// advanceLease takes, renews or takes back this node's lease.
func (core *Core) advanceLease() {
	if core.lease.call != 0 || core.leaving.asked || !core.isMember() || core.now < core.lease.nextTry {
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
			core.takeLease(answer.rows[key])
		}
	})
}

// takeLease starts a new incarnation. The process listens at the address, so
// that every earlier incarnation is known to have ended.
func (core *Core) takeLease(row mimosatide.Row) {
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
		core.holdLease(answer.started, row+1, next)
		return
	}
	core.lease.nextTry = core.now + core.settings.ReadEvery
	if answer.outcome == mimosatide.CommitRefused {
		return
	}
	core.readBackLease(answer.started)
}

// readBackLease settles a write of the lease whose answer was lost.
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
			core.holdLease(started, row.Version, value)
		}
	})
}

// holdLease counts the term from before the write was sent.
func (core *Core) holdLease(started time.Duration, row mimosatide.RowVersion, value LeaseRow) {
	core.loseLapsedShares()
	core.lease.held = true
	core.lease.row = row
	core.lease.value = value
	core.lease.until = max(core.lease.until, started+core.settings.shortened(core.settings.Term))
	core.lease.nextTry = core.now + core.renewEvery()
	core.reportShares()
}

// renewEvery is long for a node that can't hold shares: its lease only tells its
// incarnation.
func (core *Core) renewEvery() time.Duration {
	if core.isWitness() {
		return core.settings.RenewEvery
	}
	return core.settings.Term / 2
}

// leaseKeys returns the lease rows of all witnesses and holders of shares.
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
		seen := core.leases[address]
		if !seen.known || seen.row != row.Version {
			seen = observedLease{row: row.Version, value: value, since: core.now, known: true}
		}
		core.leases[address] = seen
	}
}

// forgetLeaseAges starts the count of every other lease anew after an outage,
// because its holder could not renew it either.
func (core *Core) forgetLeaseAges() {
	for address, seen := range core.leases {
		seen.since = core.now
		core.leases[address] = seen
	}
}

// ended says whether the holder can no longer act for its shares.
func (core *Core) ended(holder Holder) bool {
	if holder.Address == "" {
		return true
	}
	if holder.Address == core.settings.Self.Address {
		// An earlier incarnation of this address ended before this process could listen.
		return core.lease.held && holder.Incarnation < core.lease.value.Incarnation
	}
	if core.lost(holder.Address) {
		return true
	}
	seen := core.leases[holder.Address]
	if !seen.known {
		return false
	}
	if seen.value.Incarnation > holder.Incarnation || seen.value.Released {
		return true
	}
	return core.lapsed(seen)
}

// lost says whether the address belongs to no member or to one whose host is
// gone. Only members take leases, so neither can act for a share; a claim holds
// only while the head row is the one this was read from.
func (core *Core) lost(address string) bool {
	member, known := core.members[address]
	return !known || core.hosts.gone(core.now, core.settings.HostLag, member)
}

func (core *Core) lapsed(seen observedLease) bool {
	return core.now-seen.since > core.settings.lengthened(core.settings.Term)
}
