// Package allowance keeps each client account within its rate and burst over
// the whole fleet.
//
// Every node runs a bucket for each account and takes out of it what the node
// itself spends and what its peers say they have spent. Peers tell running
// totals, so that a lost message costs nothing. For a peer that is not heard, its
// equal part of the rate is left to it: the parts of a fleet that is cut in two
// then stay within the rate together.
//
// # Usage
//
//	ledger := allowance.New(true)
//	ledger.SetPeers([]string{"10.1.0.2:7600"}, 200*time.Millisecond)
//	verdict := ledger.Spend("schools", limit, 1200, now)
package allowance

import (
	"math"
	"sync"
	"time"
)

// The figures of a ledger.
const (
	// silentDigests is the number of digests in whose time nothing comes from a
	// peer before its part of the rate is left to it; idle peers send every second one.
	silentDigests = 5
	// creditFrom is the time between digests above which a node spends on credit
	// only: below it, what all nodes spend unseen is well within the users' slack.
	creditFrom = 500 * time.Millisecond
	// creditFactor is how much more than its usual part a node may spend between two digests.
	creditFactor = 1.25
	// shareMemory is the time over which a node's usual part is averaged.
	shareMemory = 3 * time.Second
	// accrueEvery is how often the accrued time is counted at least while peers are heard.
	accrueEvery = 50 * time.Millisecond
	// defaultEvery stands for the time between digests until the fleet is known.
	defaultEvery = 200 * time.Millisecond
)

// Limit is the rate in tokens a second and the burst in tokens of an account.
type Limit struct {
	Rate  float64
	Burst float64
}

type bucket struct {
	level float64
	at    time.Time
	// unseen is what this node has spent since its last digest.
	unseen float64
	// told is what the last digest has told for the first time.
	told float64
	// own and fleet are what this node and all nodes have lately spent. What this
	// node spends enters them a digest later, when its peers' spends of the same
	// time are known, too.
	own   float64
	fleet float64
}

// tell moves this node's spends one digest on.
func (bucket *bucket) tell() {
	bucket.own += bucket.told
	bucket.fleet += bucket.told
	bucket.told = bucket.unseen
	bucket.unseen = 0
}

// refill adds what has accrued, and lets earlier spends fade.
func (bucket *bucket) refill(limit Limit, part float64, now time.Time) {
	passed := now.Sub(bucket.at)
	bucket.level = min(bucket.level+limit.Rate*part*passed.Seconds(), limit.Burst*part)
	bucket.at = now
	faded := math.Exp(-passed.Seconds() / shareMemory.Seconds())
	bucket.own *= faded
	bucket.fleet *= faded
}

type peer struct {
	heard  time.Time
	silent bool
	// incarnation tells a restarted peer, whose totals begin again.
	incarnation uint64
	spent       map[string]float64
}

// Ledger holds the buckets of one node.
type Ledger struct {
	lock sync.Mutex
	full bool
	// every is the time between two digests with news.
	every   time.Duration
	buckets map[string]*bucket
	spent   map[string]float64
	peers   map[string]*peer
	// known says that the members of the fleet have been named.
	known bool
	// accrued is the time, in seconds of the whole rate, that this node's side has
	// had its part since the members were known; accruedAt is when it was last added to.
	accrued   float64
	accruedAt time.Time
	// unheld is what peers have spent of accounts that have no bucket here yet.
	unheld map[string]float64
}

// New returns a ledger; its buckets begin full only if nothing can have been
// spent before, at the first start of the whole system.
func New(full bool) *Ledger {
	return &Ledger{
		full:    full,
		every:   defaultEvery,
		buckets: map[string]*bucket{},
		spent:   map[string]float64{},
		peers:   map[string]*peer{},
		unheld:  map[string]float64{},
	}
}

// SetPeers names the other members of the fleet, and the time between two digests.
func (ledger *Ledger) SetPeers(names []string, every time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.every = every
	ledger.known = true
	peers := make(map[string]*peer, len(names))
	for _, name := range names {
		known, found := ledger.peers[name]
		if !found {
			known = &peer{silent: true, spent: map[string]float64{}}
		}
		peers[name] = known
	}
	ledger.peers = peers
}

// Hear takes a peer's running totals.
func (ledger *Ledger) Hear(name string, incarnation uint64, spent map[string]float64, now time.Time) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	known, found := ledger.peers[name]
	if !found {
		return
	}
	if now.Sub(ledger.accruedAt) > accrueEvery {
		ledger.accrue(now)
	}
	if known.incarnation != incarnation {
		known.incarnation = incarnation
		known.spent = map[string]float64{}
	}
	// What a peer spent while it was not heard came out of the part left to it.
	covered := known.silent
	known.silent = false
	known.heard = now
	for account, total := range spent {
		more := total - known.spent[account]
		known.spent[account] = total
		if more <= 0 || covered {
			continue
		}
		held, found := ledger.buckets[account]
		if !found {
			ledger.unheld[account] += more
			continue
		}
		held.level -= more
		held.fleet += more
	}
}

// Verdict is the answer to a spend, with what decided it.
type Verdict struct {
	Granted bool
	// Wait is how long it takes until the tokens are there.
	Wait time.Duration
	// Level is what the bucket held before.
	Level float64
	// Part is the part of the rate that this node and the peers it hears may spend.
	Part float64
}

// Spend takes tokens from an account's bucket, or says how long it takes until they are there.
func (ledger *Ledger) Spend(account string, limit Limit, tokens float64, now time.Time) Verdict {
	if limit.Rate <= 0 {
		return Verdict{Granted: true, Part: 1}
	}
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	part := ledger.accrue(now)
	held, found := ledger.buckets[account]
	if !found {
		held = ledger.newBucket(account, limit, part, now)
	}
	held.refill(limit, part, now)
	if credit := ledger.credit(held, limit, part); held.unseen > 0 && held.unseen+tokens > credit {
		return Verdict{Wait: ledger.every, Level: held.level, Part: part}
	}
	if held.level < tokens && held.level < limit.Burst*part {
		missing := min(tokens, limit.Burst*part) - held.level
		wait := time.Duration(missing / (limit.Rate * part) * float64(time.Second))
		return Verdict{Wait: wait, Level: held.level, Part: part}
	}
	verdict := Verdict{Granted: true, Level: held.level, Part: part}
	held.level -= tokens
	held.unseen += tokens
	ledger.spent[account] += tokens
	return verdict
}

// newBucket makes the bucket of an account that is asked for here for the first
// time. It holds what has accrued since the members were known, less what peers
// have spent since, as if it had been there all the time.
func (ledger *Ledger) newBucket(account string, limit Limit, part float64, now time.Time) *bucket {
	created := &bucket{at: now, level: min(limit.Rate*ledger.accrued, limit.Burst*part)}
	if ledger.full {
		created.level = limit.Burst
	}
	created.level -= ledger.unheld[account]
	delete(ledger.unheld, account)
	ledger.buckets[account] = created
	return created
}

// accrue counts the time since it was last called, and returns the part of every
// rate that this node and the peers it hears may spend.
func (ledger *Ledger) accrue(now time.Time) float64 {
	part := ledger.part(now)
	if ledger.known && !ledger.accruedAt.IsZero() {
		ledger.accrued += part * now.Sub(ledger.accruedAt).Seconds()
	}
	ledger.accruedAt = now
	return part
}

// credit is what this node may spend between two digests: its usual part of what
// there is, or an equal part. In a small fleet, whose digests come often, it has no bound.
func (ledger *Ledger) credit(held *bucket, limit Limit, part float64) float64 {
	if ledger.every < creditFrom {
		return math.Inf(1)
	}
	share := 1 / float64(len(ledger.peers)+1)
	if held.fleet > 0 {
		share = max(share, creditFactor*held.own/held.fleet)
	}
	return (max(held.level+held.unseen, 0) + limit.Rate*part*ledger.every.Seconds()) * min(share, 1)
}

// Told notes that the other nodes were told what this node has spent.
func (ledger *Ledger) Told() {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	for _, held := range ledger.buckets {
		held.tell()
	}
}

// Refund gives back what a request that did not run was charged.
func (ledger *Ledger) Refund(account string, tokens float64) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	if held, found := ledger.buckets[account]; found {
		held.level += tokens
		ledger.spent[account] -= tokens
	}
}

// Spent returns this node's running totals.
func (ledger *Ledger) Spent() map[string]float64 {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	copied := make(map[string]float64, len(ledger.spent))
	for account, total := range ledger.spent {
		copied[account] = total
	}
	return copied
}

// part is the part of every rate that this node and the peers it hears may spend.
func (ledger *Ledger) part(now time.Time) float64 {
	heard := 1
	for _, known := range ledger.peers {
		if now.Sub(known.heard) > silentDigests*ledger.every {
			known.silent = true
		}
		if !known.silent {
			heard++
		}
	}
	return float64(heard) / float64(len(ledger.peers)+1)
}
