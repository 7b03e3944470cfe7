package fleet

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// Holder is the process that holds a share; the zero Holder means nobody.
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

// EncodeShares returns the row value of the shares' holders.
func EncodeShares(holders []Holder) []byte {
	wire := sharesWire{}
	for _, holder := range holders {
		wire.Holders = append(wire.Holders, holderWire(holder))
	}
	return mustEncode(wire)
}

// DecodeShares reads the row value of the shares' holders.
func DecodeShares(value []byte) ([]Holder, error) {
	var wire sharesWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return nil, errors.Annotate(err, "shares")
	}
	holders := make([]Holder, 0, len(wire.Holders))
	for _, holder := range wire.Holders {
		holders = append(holders, Holder(holder))
	}
	return holders, nil
}

// shareTable is what this node knows of the shares.
type shareTable struct {
	known   bool
	row     mimosatide.RowVersion
	holders []Holder
	// trusted is false after a lapse, until a read that was begun later.
	trusted      bool
	trustedAfter time.Duration
	// given are the shares on their way to another node while row stays as it is.
	given    map[int]Holder
	givenRow mimosatide.RowVersion
	call     uint64
	reported ChangeShares
	nextMove time.Duration
}

func newShareTable() shareTable {
	return shareTable{given: map[int]Holder{}}
}

func (core *Core) self() Holder {
	return Holder{Address: core.settings.Self.Address, Incarnation: core.lease.value.Incarnation}
}

// learnShares takes in the row of the shares, read by a call begun at started.
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
	if row.Version > core.shares.givenRow {
		// The handover's condition can no longer hold, so its write is settled.
		clear(core.shares.given)
	}
	core.shares.known = true
	core.shares.row = row.Version
	core.shares.holders = holders
	core.reportShares()
}

// loseLapsedShares forgets the shares when the lease had run out before its renewal.
func (core *Core) loseLapsedShares() {
	if core.lease.held && core.now < core.lease.until {
		return
	}
	core.shares.trusted = false
	core.shares.trustedAfter = core.now
	core.readSoon()
}

// SharesHeld returns how many shares this node may spend from.
func (core *Core) SharesHeld(now time.Duration) int {
	return len(core.heldShares(now))
}

func (core *Core) heldShares(now time.Duration) []int {
	if !core.LeaseValid(now) || !core.shares.known || !core.shares.trusted {
		return nil
	}
	var held []int
	for index, holder := range core.shares.holders {
		if _, given := core.shares.given[index]; !given && holder == core.self() {
			held = append(held, index)
		}
	}
	return held
}

func (core *Core) reportShares() {
	change := ChangeShares{Held: core.SharesHeld(core.now), Until: core.lease.until}
	if change == core.shares.reported {
		return
	}
	core.shares.reported = change
	core.emit(change)
}

// advanceShares claims shares that nobody can act for and hands surplus ones to poorer nodes.
func (core *Core) advanceShares() {
	core.reportShares()
	ready := core.LeaseValid(core.now) && core.shares.known && core.shares.trusted
	if !ready || core.leaving.asked || core.shares.call != 0 || core.now < core.shares.nextMove {
		return
	}
	if len(core.shares.given) > 0 {
		core.repeatGive()
		return
	}
	core.shares.nextMove = core.now + core.settings.ReadEvery/2
	if core.claimShares() {
		return
	}
	core.giveSurplus()
}

func (core *Core) claimShares() bool {
	if !core.isWitness() {
		return false
	}
	room := core.fairCeiling() - len(core.heldShares(core.now))
	conditions := map[string]mimosatide.RowVersion{HeadKey: core.head.Row}
	holders := slices.Clone(core.shares.holders)
	claimed := 0
	for index, holder := range holders {
		if claimed >= room || !core.ended(holder) {
			continue
		}
		if seen := core.leases[holder.Address]; seen.known && holder.Address != core.settings.Self.Address {
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

// giveSurplus hands shares above the fair ceiling to members below the fair floor.
func (core *Core) giveSurplus() {
	held := core.heldShares(core.now)
	holders := slices.Clone(core.shares.holders)
	counts := core.shareCounts()
	for len(held) > 0 {
		receiver, found := core.poorest(counts)
		if !found || (core.isWitness() && counts[receiver]+1 >= len(held)) {
			break
		}
		index := held[len(held)-1]
		held = held[:len(held)-1]
		counts[receiver]++
		holders[index] = receiver
		core.shares.given[index] = receiver
	}
	if len(core.shares.given) == 0 {
		return
	}
	core.shares.givenRow = core.shares.row
	// The shares are no longer spent from, whatever becomes of the write.
	core.reportShares()
	core.writeShares(holders, nil)
}

// repeatGive writes a handover again whose answer was lost and which had no effect.
func (core *Core) repeatGive() {
	holders := slices.Clone(core.shares.holders)
	for index, receiver := range core.shares.given {
		holders[index] = receiver
	}
	core.writeShares(holders, nil)
}

func (core *Core) writeShares(holders []Holder, leases map[string]mimosatide.RowVersion) {
	value := EncodeShares(holders)
	row := core.shares.row
	core.shares.nextMove = core.now + core.settings.ReadEvery
	transaction := mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: SharesKey, Version: row}},
		Writes:     []mimosatide.Write{{Key: SharesKey, Value: value}},
	}
	for key, version := range leases {
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

// receivers returns the processes that can hold shares now. Only witnesses do:
// they read the table in any case, and the others ask them for tokens.
func (core *Core) receivers() []Holder {
	var receivers []Holder
	for _, member := range core.head.witnessSets(core.settings.WitnessLimit)[0] {
		holder := core.holderOf(member.Address)
		if holder == core.self() || (holder.Incarnation > 0 && !core.ended(holder)) {
			receivers = append(receivers, holder)
		}
	}
	return receivers
}

// holderOf returns the newest known process at an address.
func (core *Core) holderOf(address string) Holder {
	if address == core.settings.Self.Address {
		return core.self()
	}
	return Holder{Address: address, Incarnation: core.leases[address].value.Incarnation}
}

func (core *Core) shareCounts() map[Holder]int {
	counts := map[Holder]int{}
	for _, receiver := range core.receivers() {
		counts[receiver] = 0
	}
	for _, holder := range core.shares.holders {
		if _, receives := counts[holder]; receives {
			counts[holder]++
		}
	}
	return counts
}

func (core *Core) poorest(counts map[Holder]int) (Holder, bool) {
	var poorest Holder
	found := false
	for _, receiver := range core.receivers() {
		if receiver == core.self() || !core.heardLately(core.now, receiver.Address) {
			continue
		}
		if !found || counts[receiver] < counts[poorest] {
			poorest = receiver
			found = true
		}
	}
	return poorest, found
}

func (core *Core) fairCeiling() int {
	count := max(1, len(core.receivers()))
	return (core.settings.ShareCount + count - 1) / count
}

// Holders returns the known holders of all shares.
func (core *Core) Holders() []Holder {
	return slices.Clone(core.shares.holders)
}
