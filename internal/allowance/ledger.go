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
//	ledger.SetPeers([]string{"10.1.0.2:7600"})
//	verdict := ledger.Spend("schools", limit, 1200, now)
package allowance

import (
	"sync"
	"time"
)

// silentAfter is after how long a peer that is not heard is left its part of
// the rate; digests come several times within it.
const silentAfter = time.Second

// Limit is the rate in tokens a second and the burst in tokens of an account.
type Limit struct {
	Rate  float64
	Burst float64
}

type bucket struct {
	level float64
	at    time.Time
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
	lock    sync.Mutex
	full    bool
	buckets map[string]*bucket
	spent   map[string]float64
	peers   map[string]*peer
}

// New returns a ledger; its buckets begin full only if nothing can have been
// spent before, at the first start of the whole system.
func New(full bool) *Ledger {
	return &Ledger{
		full:    full,
		buckets: map[string]*bucket{},
		spent:   map[string]float64{},
		peers:   map[string]*peer{},
	}
}

// SetPeers names the other members of the fleet.
func (ledger *Ledger) SetPeers(names []string) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
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
		held = &bucket{at: now}
		if ledger.full {
			held.level = limit.Burst
		}
		ledger.buckets[account] = held
	}
	held.level = min(held.level+limit.Rate*part*now.Sub(held.at).Seconds(), limit.Burst*part)
	held.at = now
	if held.level < tokens && held.level < limit.Burst*part {
		missing := min(tokens, limit.Burst*part) - held.level
		wait := time.Duration(missing / (limit.Rate * part) * float64(time.Second))
		return Verdict{Wait: wait, Level: held.level, Part: part}
	}
	verdict := Verdict{Granted: true, Level: held.level, Part: part}
	held.level -= tokens
	ledger.spent[account] += tokens
	return verdict
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
		if now.Sub(known.heard) > silentAfter {
			known.silent = true
		}
		if !known.silent {
			heard++
		}
	}
	return float64(heard) / float64(len(ledger.peers)+1)
}
