package limit

import (
	"sort"
	"time"

	"mimosatide.example/mimosatide/internal/invariant"
)

// roundingSlack is the tolerance, in tokens, for rounding errors of floating point sums.
const roundingSlack = 1e-6

// Receipt identifies a debit of a Bucket, so that its unused tokens can be refunded.
type Receipt struct {
	epoch  uint64
	serial uint64
	tokens float64
}

// Tokens returns the number of tokens that were debited.
func (receipt Receipt) Tokens() float64 {
	return receipt.tokens
}

// Bucket is a node's token bucket for one account. It is not safe for concurrent use.
type Bucket struct {
	// rate is in tokens per second, ceiling and balance are in tokens.
	rate    float64
	ceiling float64
	balance float64
	// accruedAt is the time up to which tokens have been accrued.
	accruedAt time.Duration
	// validUntil is the time from which the bucket neither accrues nor grants tokens.
	validUntil time.Duration
	// epoch is incremented by each resize; debits of an earlier epoch are not refunded.
	epoch uint64
	// serial is the number of the last debit.
	serial uint64
	// headrooms is ordered by serial and by least: the time since a later debit is
	// shorter, so its minimum is never smaller.
	headrooms []headroom
}

// headroom is the least free space of the bucket, in tokens, since a debit. An entry
// covers the debits from its serial up to, but not including, that of the next entry.
type headroom struct {
	serial uint64
	least  float64
}

// Resize sets the rate in tokens per second, the ceiling in tokens and the time
// from which the bucket grants no more tokens. The balance is multiplied by
// keptFraction. Debits made before can no longer be refunded.
func (bucket *Bucket) Resize(now time.Duration, rate, ceiling, keptFraction float64, validUntil time.Duration) {
	bucket.accrue(now)
	bucket.rate = rate
	bucket.ceiling = max(0, ceiling)
	bucket.balance = min(bucket.balance*keptFraction, bucket.ceiling)
	bucket.validUntil = validUntil
	bucket.epoch++
	bucket.headrooms = bucket.headrooms[:0]
}

// Extend changes the time until which the bucket grants tokens.
func (bucket *Bucket) Extend(now, validUntil time.Duration) {
	bucket.accrue(now)
	bucket.validUntil = validUntil
}

// Balance returns the number of tokens that can be spent now.
func (bucket *Bucket) Balance(now time.Duration) float64 {
	bucket.accrue(now)
	if now >= bucket.validUntil {
		return 0
	}
	return bucket.balance
}

// Ceiling returns the largest possible balance in tokens.
func (bucket *Bucket) Ceiling() float64 {
	return bucket.ceiling
}

// Rate returns the number of tokens accrued per second.
func (bucket *Bucket) Rate() float64 {
	return bucket.rate
}

// Spend debits the tokens if the balance covers all of them.
func (bucket *Bucket) Spend(now time.Duration, tokens float64) (Receipt, bool) {
	if tokens < 0 || bucket.Balance(now) < tokens {
		return Receipt{}, false
	}
	bucket.balance -= tokens
	bucket.serial++
	bucket.headrooms = append(bucket.headrooms, headroom{serial: bucket.serial, least: bucket.ceiling - bucket.balance})
	bucket.checkBalance()
	return Receipt{epoch: bucket.epoch, serial: bucket.serial, tokens: tokens}, true
}

// Refund credits unused tokens of a debit, as far as the bucket would still hold
// them if they had never been debited. It returns the number of tokens credited.
func (bucket *Bucket) Refund(now time.Duration, receipt Receipt, unused float64) float64 {
	bucket.accrue(now)
	if receipt.epoch != bucket.epoch || receipt.serial == 0 || unused <= 0 {
		return 0
	}
	index := bucket.headroomIndex(receipt.serial)
	if index < 0 {
		return 0
	}
	refunded := min(unused, receipt.tokens, bucket.headrooms[index].least)
	if refunded <= 0 {
		return 0
	}
	bucket.balance += refunded
	bucket.reduceHeadroom(index, refunded)
	bucket.checkBalance()
	return refunded
}

func (bucket *Bucket) accrue(now time.Duration) {
	end := min(now, bucket.validUntil)
	if end > bucket.accruedAt {
		bucket.balance = min(bucket.ceiling, bucket.balance+bucket.rate*(end-bucket.accruedAt).Seconds())
		bucket.capHeadroom()
	}
	bucket.accruedAt = max(bucket.accruedAt, now)
}

// capHeadroom limits the headroom of every debit to what is free now, and merges
// the entries that become equal.
func (bucket *Bucket) capHeadroom() {
	free := bucket.ceiling - bucket.balance
	first := len(bucket.headrooms)
	for first > 0 && bucket.headrooms[first-1].least >= free {
		first--
	}
	if first == len(bucket.headrooms) {
		return
	}
	merged := headroom{serial: bucket.headrooms[first].serial, least: free}
	bucket.headrooms = append(bucket.headrooms[:first], merged)
}

// headroomIndex returns the index of the entry that covers a debit, or -1.
func (bucket *Bucket) headroomIndex(serial uint64) int {
	return sort.Search(len(bucket.headrooms), func(index int) bool { return bucket.headrooms[index].serial > serial }) - 1
}

// reduceHeadroom accounts for refunded tokens as if they had been in the bucket since their debit.
func (bucket *Bucket) reduceHeadroom(index int, refunded float64) {
	for later := index; later < len(bucket.headrooms); later++ {
		bucket.headrooms[later].least -= refunded
	}
	for earlier := range index {
		bucket.headrooms[earlier].least = min(bucket.headrooms[earlier].least, bucket.headrooms[index].least)
	}
	bucket.capHeadroom()
}

func (bucket *Bucket) checkBalance() {
	if bucket.balance >= -roundingSlack && bucket.balance <= bucket.ceiling+roundingSlack {
		return
	}
	// The message is built only on failure, since this check runs on every admission.
	invariant.Check(false, "token balance %f is outside 0 to %f", bucket.balance, bucket.ceiling)
}
