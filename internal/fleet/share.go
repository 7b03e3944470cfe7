package fleet

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// Holder is the process that holds a share. The zero Holder means that no process does.
type Holder struct {
	Address     string
	Incarnation uint64
}

type holderWire struct {
	Address     string
	Incarnation uint64
}

type sharesWire struct {
	Holders []holderWire
}

// EncodeShares encodes the holders of all shares as a row value.
func EncodeShares(holders []Holder) []byte {
	wire := sharesWire{}
	for _, holder := range holders {
		wire.Holders = append(wire.Holders, holderWire(holder))
	}
	return mustEncode(wire)
}

// DecodeShares decodes the row value of the holders of all shares.
func DecodeShares(value []byte) ([]Holder, error) {
	var wire sharesWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return nil, errors.Annotate(err, "decode shares row")
	}
	holders := make([]Holder, 0, len(wire.Holders))
	for _, holder := range wire.Holders {
		holders = append(holders, Holder(holder))
	}
	return holders, nil
}

// shareTable is what this node knows of the shares' holders.
type shareTable struct {
	known bool
	row   mimosatide.RowVersion
	// holders has the holder of every share by its index.
	holders []Holder
	// trusted is false after the lease has expired, until a read begun later than
	// trustedAfter.
	trusted      bool
	trustedAfter time.Duration
	// transfers holds the receivers of the shares that this node is giving away, by
	// index. They are settled once row is newer than transferRow.
	transfers   map[int]Holder
	transferRow mimosatide.RowVersion
	call        uint64
	reported    ReportShares
	nextWrite   time.Duration
}

func newShareTable() shareTable {
	return shareTable{transfers: map[int]Holder{}}
}

func (core *Core) self() Holder {
	return Holder{Address: core.settings.Self.Address, Incarnation: core.lease.value.Incarnation}
}

// learnShares stores the shares' row as read by a call begun at started.
func (core *Core) learnShares(row mimosatide.Row, started time.Duration) {
	if core.shares.known && row.Version < core.shares.row {
		return
	}
	if started > core.shares.trustedAfter {
		core.shares.trusted = true
	}
	holders := make([]Holder, core.settings.ShareCount)
	if row.Version > 0 {
		decoded, err := DecodeShares(row.Value)
		if err != nil || len(decoded) != core.settings.ShareCount {
			return
		}
		holders = decoded
	}
	if row.Version > core.shares.transferRow {
		// The row is newer than the one the transfer is conditional on, so its write is settled.
		clear(core.shares.transfers)
	}
	core.shares.known = true
	core.shares.row = row.Version
	core.shares.holders = holders
	core.reportShares()
}

// distrustSharesAfterExpiry makes the known shares unusable until the next read if
// the lease expired before its renewal, because other nodes may have claimed them.
func (core *Core) distrustSharesAfterExpiry() {
	if core.lease.held && core.now < core.lease.until {
		return
	}
	core.shares.trusted = false
	core.shares.trustedAfter = core.now
	core.readSoon()
}

// SharesHeld returns the number of shares that this node may spend from.
func (core *Core) SharesHeld(now time.Duration) int {
	return len(core.heldShares(now))
}

func (core *Core) heldShares(now time.Duration) []int {
	if !core.LeaseValid(now) || !core.shares.known || !core.shares.trusted {
		return nil
	}
	var held []int
	for index, holder := range core.shares.holders {
		if _, inTransfer := core.shares.transfers[index]; !inTransfer && holder == core.self() {
			held = append(held, index)
		}
	}
	return held
}

func (core *Core) reportShares() {
	report := ReportShares{Held: core.SharesHeld(core.now), Until: core.lease.until}
	if report == core.shares.reported {
		return
	}
	core.shares.reported = report
	core.emit(report)
}

// advanceShares claims shares whose holders have expired, and otherwise transfers
// surplus shares to holders of fewer.
func (core *Core) advanceShares() {
	core.reportShares()
	ready := core.LeaseValid(core.now) && core.shares.known && core.shares.trusted
	if !ready || core.departure.requested || core.shares.call != 0 || core.now < core.shares.nextWrite {
		return
	}
	if len(core.shares.transfers) > 0 {
		core.retryTransfer()
		return
	}
	core.shares.nextWrite = core.now + core.settings.ReadEvery/2
	if core.claimShares() {
		return
	}
	core.transferSurplus()
}

// claimShares claims up to this node's fair part of the shares whose holders have
// expired. It reports whether it wrote a claim.
func (core *Core) claimShares() bool {
	if !core.isWitness() {
		return false
	}
	wanted := core.fairCeiling() - len(core.heldShares(core.now))
	conditions := map[string]mimosatide.RowVersion{HeadKey: core.head.Row}
	holders := slices.Clone(core.shares.holders)
	claimed := 0
	for index, holder := range holders {
		if claimed >= wanted || !core.holderExpired(holder) {
			continue
		}
		if seen := core.observedLeases[holder.Address]; seen.known && holder.Address != core.settings.Self.Address {
			conditions[leaseKey(holder.Address)] = seen.row
		}
		holders[index] = core.self()
		claimed++
	}
	if claimed == 0 {
		return false
	}
	core.writeShares(holders, conditions)
	return true
}

// transferSurplus transfers shares, one by one, to the holder with the fewest while
// this node holds at least two more. A node that is no witness transfers all.
func (core *Core) transferSurplus() {
	held := core.heldShares(core.now)
	holders := slices.Clone(core.shares.holders)
	counts := core.shareCounts()
	for len(held) > 0 {
		receiver, found := core.holderWithFewest(counts)
		if !found || (core.isWitness() && counts[receiver]+1 >= len(held)) {
			break
		}
		index := held[len(held)-1]
		held = held[:len(held)-1]
		counts[receiver]++
		holders[index] = receiver
		core.shares.transfers[index] = receiver
	}
	if len(core.shares.transfers) == 0 {
		return
	}
	core.shares.transferRow = core.shares.row
	// From here on the shares are not spent from, whatever the outcome of the write.
	core.reportShares()
	core.writeShares(holders, nil)
}

// retryTransfer repeats the write of a transfer that has not been settled.
func (core *Core) retryTransfer() {
	holders := slices.Clone(core.shares.holders)
	for index, receiver := range core.shares.transfers {
		holders[index] = receiver
	}
	core.writeShares(holders, nil)
}

// writeShares replaces the holders of all shares, on the condition that their row and
// the rows in conditions, given by key with their versions, are unchanged.
func (core *Core) writeShares(holders []Holder, conditions map[string]mimosatide.RowVersion) {
	value := EncodeShares(holders)
	row := core.shares.row
	core.shares.nextWrite = core.now + core.settings.ReadEvery
	transaction := mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: SharesKey, Version: row}},
		Writes:     []mimosatide.Write{{Key: SharesKey, Value: value}},
	}
	for key, version := range conditions {
		transaction.Conditions = append(transaction.Conditions, mimosatide.Condition{Key: key, Version: version})
	}
	core.shares.call = core.commit(transaction, func(answer tableAnswer) {
		core.shares.call = 0
		core.readSoon()
		if answer.outcome == mimosatide.CommitDone {
			core.learnShares(mimosatide.Row{Key: SharesKey, Value: value, Version: row + 1}, answer.started)
		}
	})
}

// eligibleHolders returns the processes that can hold shares now. Only witnesses
// can: they read the table in any case, and the other nodes ask them for tokens.
func (core *Core) eligibleHolders() []Holder {
	var eligible []Holder
	for _, member := range core.head.witnessSets(core.settings.WitnessLimit)[0] {
		holder := core.holderOf(member.Address)
		if holder == core.self() || (holder.Incarnation > 0 && !core.holderExpired(holder)) {
			eligible = append(eligible, holder)
		}
	}
	return eligible
}

// holderOf returns the newest known process at an address. Its incarnation is zero
// if none is known.
func (core *Core) holderOf(address string) Holder {
	if address == core.settings.Self.Address {
		return core.self()
	}
	return Holder{Address: address, Incarnation: core.observedLeases[address].value.Incarnation}
}

// shareCounts returns how many shares each eligible holder has.
func (core *Core) shareCounts() map[Holder]int {
	counts := map[Holder]int{}
	for _, holder := range core.eligibleHolders() {
		counts[holder] = 0
	}
	for _, holder := range core.shares.holders {
		if _, eligible := counts[holder]; eligible {
			counts[holder]++
		}
	}
	return counts
}

// holderWithFewest returns the eligible holder, other than this node, that has the
// fewest shares and has sent this node a message recently.
func (core *Core) holderWithFewest(counts map[Holder]int) (Holder, bool) {
	var fewest Holder
	found := false
	for _, receiver := range core.eligibleHolders() {
		if receiver == core.self() || !core.receivedRecently(core.now, receiver.Address) {
			continue
		}
		if !found || counts[receiver] < counts[fewest] {
			fewest = receiver
			found = true
		}
	}
	return fewest, found
}

// fairCeiling returns an equal part of the shares, rounded up.
func (core *Core) fairCeiling() int {
	count := max(1, len(core.eligibleHolders()))
	return (core.settings.ShareCount + count - 1) / count
}

// Holders returns the known holders of all shares, by the shares' index.
func (core *Core) Holders() []Holder {
	return slices.Clone(core.shares.holders)
}
