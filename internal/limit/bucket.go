package limit

import (
	"sort"
	"time"

	"mimosatide.example/mimosatide/internal/invariant"
)

// roundingSlack absorbs the rounding of sums of floating point tokens.
const roundingSlack = 1e-6

// Receipt identifies a debit, so that its unused part can come back.
type Receipt struct {
	epoch  uint64
	serial uint64
	tokens float64
}

// Tokens returns how many tokens the debit took from the bucket.
func (receipt Receipt) Tokens() float64 {
	return receipt.tokens
}

// Bucket is this node's part of one account's tokens. It is not safe for concurrent use.
type Bucket struct {
	rate    float64
	ceiling float64
	balance float64
	last    time.Duration
	until   time.Duration
	// epoch changes with the bucket's size; debits of an earlier epoch aren't refunded.
	epoch  uint64
	serial uint64
	rooms  []room
}

// room is the least free room since the debit with this serial number. Later
// entries have less room behind them, so the list grows in serial and in room.
type room struct {
	serial uint64
	least  float64
}

// Resize sets the rate in tokens a second, the ceiling in tokens and the end of
// the right to spend. The balance keeps the given part of itself.
func (bucket *Bucket) Resize(now time.Duration, rate, ceiling, kept float64, until time.Duration) {
	bucket.accrue(now)
	bucket.rate = rate
	bucket.ceiling = max(0, ceiling)
	bucket.balance = min(bucket.balance*kept, bucket.ceiling)
	bucket.until = until
	bucket.epoch++
	bucket.rooms = bucket.rooms[:0]
}

// Extend moves the end of the right to spend.
func (bucket *Bucket) Extend(now, until time.Duration) {
	bucket.accrue(now)
	bucket.until = until
}

// Balance returns the tokens that can be spent now.
func (bucket *Bucket) Balance(now time.Duration) float64 {
	bucket.accrue(now)
	if now >= bucket.until {
		return 0
	}
	return bucket.balance
}

// Ceiling returns the largest balance.
func (bucket *Bucket) Ceiling() float64 {
	return bucket.ceiling
}

// Rate returns the tokens that accrue in a second.
func (bucket *Bucket) Rate() float64 {
	return bucket.rate
}

// Spend debits the tokens when the balance reaches.
func (bucket *Bucket) Spend(now time.Duration, tokens float64) (Receipt, bool) {
	if tokens < 0 || bucket.Balance(now) < tokens {
		return Receipt{}, false
	}
	bucket.balance -= tokens
	bucket.serial++
	bucket.rooms = append(bucket.rooms, room{serial: bucket.serial, least: bucket.ceiling - bucket.balance})
	bucket.check()
	return Receipt{epoch: bucket.epoch, serial: bucket.serial, tokens: tokens}, true
}

// Refund returns unused tokens of a debit, as far as the bucket would still
// have them if they had never been debited.
func (bucket *Bucket) Refund(now time.Duration, receipt Receipt, unused float64) float64 {
	bucket.accrue(now)
	if receipt.epoch != bucket.epoch || receipt.serial == 0 || unused <= 0 {
		return 0
	}
	index := bucket.roomIndex(receipt.serial)
	if index < 0 {
		return 0
	}
	refunded := min(unused, receipt.tokens, bucket.rooms[index].least)
	if refunded <= 0 {
		return 0
	}
	bucket.balance += refunded
	bucket.takeRoom(index, refunded)
	bucket.check()
	return refunded
}

func (bucket *Bucket) accrue(now time.Duration) {
	end := min(now, bucket.until)
	if end > bucket.last {
		bucket.balance = min(bucket.ceiling, bucket.balance+bucket.rate*(end-bucket.last).Seconds())
		bucket.lowerRoom()
	}
	bucket.last = max(bucket.last, now)
}

// lowerRoom notes that no debit until now has more room behind it than is free at present.
func (bucket *Bucket) lowerRoom() {
	free := bucket.ceiling - bucket.balance
	first := len(bucket.rooms)
	for first > 0 && bucket.rooms[first-1].least >= free {
		first--
	}
	if first == len(bucket.rooms) {
		return
	}
	merged := room{serial: bucket.rooms[first].serial, least: free}
	bucket.rooms = append(bucket.rooms[:first], merged)
}

// roomIndex returns the entry that covers a debit.
func (bucket *Bucket) roomIndex(serial uint64) int {
	return sort.Search(len(bucket.rooms), func(index int) bool { return bucket.rooms[index].serial > serial }) - 1
}

// takeRoom notes that refunded tokens count as held ever since their debit.
func (bucket *Bucket) takeRoom(index int, refunded float64) {
	for later := index; later < len(bucket.rooms); later++ {
		bucket.rooms[later].least -= refunded
	}
	for earlier := range index {
		bucket.rooms[earlier].least = min(bucket.rooms[earlier].least, bucket.rooms[index].least)
	}
	bucket.lowerRoom()
}

func (bucket *Bucket) check() {
	if bucket.balance >= -roundingSlack && bucket.balance <= bucket.ceiling+roundingSlack {
		return
	}
	// The message is only put together here: the check runs on every admission.
	invariant.Check(false, "a balance of %f outside 0 to %f", bucket.balance, bucket.ceiling)
}
