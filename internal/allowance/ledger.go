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
	}
}

// SetPeers names the other members of the fleet, and the time between two digests.
func (ledger *Ledger) SetPeers(names []string, every time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.every = every
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
		if held, found := ledger.buckets[account]; found && more > 0 && !covered {
			held.level -= more
			held.fleet += more
		}
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
	part := ledger.part(now)
	held, found := ledger.buckets[account]
	if !found {
		held = ledger.newBucket(account, limit, now)
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

// SetAccounts makes the buckets of the configured accounts, so that they accrue and
// count what peers spend from then on, and not only from the first request here.
func (ledger *Ledger) SetAccounts(limits map[string]Limit, now time.Time) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	for account, limit := range limits {
		if _, found := ledger.buckets[account]; !found && limit.Rate > 0 {
			ledger.newBucket(account, limit, now)
		}
	}
}

func (ledger *Ledger) newBucket(account string, limit Limit, now time.Time) *bucket {
	created := &bucket{at: now}
	if ledger.full {
		created.level = limit.Burst
	}
	ledger.buckets[account] = created
	return created
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
