// Package allowance enforces each client account's rate and burst across the
// whole fleet.
//
// Every node keeps a token bucket per account and debits it with what the node
// itself spends and with what its peers report. Peers report running totals in
// periodic digests, so a lost message is made up for by the next one. In a large fleet
// the hosts of another availability zone report their totals together. The node
// leaves an equal share of the rate to each unreachable peer: when the fleet is
// partitioned, the sides together still stay within the rate.
//
// # Usage
//
//	ledger := allowance.New(true)
//	ledger.SetPeers([]string{"10.1.0.2:7600"}, map[string]int{"zone-b": 40}, 200*time.Millisecond)
//	verdict := ledger.Spend("schools", limit, 1200, now)
package allowance

import (
	"math"
	"strings"
	"sync"
	"time"
)

const (
	// peerTimeoutDigests is the number of digest intervals without a message after
	// which a peer counts as unreachable; idle peers send only every second digest.
	peerTimeoutDigests = 5
	// digestBudgetFrom is the digest interval from which on a node's spending between
	// two digests is limited. With shorter intervals, the tokens that all nodes spend
	// before their peers learn of it stay well within the tolerance that the users
	// require for the limit.
	digestBudgetFrom = 500 * time.Millisecond
	// digestBudgetFactor is how far above its usual share of the fleet's spending a
	// node may go between two digests.
	digestBudgetFactor = 1.25
	// usageTimeConstant is the time constant of the moving averages of spending.
	usageTimeConstant = 3 * time.Second
	// lateDigestTime is how long after a digest one of an earlier process may still arrive.
	// Later on it is of a process whose clock was set back.
	lateDigestTime = time.Second
	// settlingTime is how long after its start a node may not have heard of its peers: it counts only its
	// own share of each rate, and its buckets start empty.
	settlingTime = 2 * time.Second
	// defaultDigestInterval applies until SetPeers is called.
	defaultDigestInterval = 200 * time.Millisecond
)

// Limit holds an account's rate in tokens per second and its burst in tokens.
type Limit struct {
	Rate  float64
	Burst float64
}

type bucket struct {
	createdAt time.Time
	// limit is the account's, as last known.
	limit    Limit
	level    float64
	filledAt time.Time
	// overflow is what has accrued in the last digest interval while the bucket was full. It makes up
	// for what peers spent in that time and report only now.
	overflow float64
	// unreported is what this node has spent since its last digest.
	unreported float64
	// reported is what this node's last digest reported for the first time.
	reported float64
	// own and fleet are moving averages of what this node and all nodes have spent.
	// This node's spending enters both one digest late, when the spending of its
	// peers over the same period is known too.
	own   float64
	fleet float64
	contention
}

// debit takes what peers have spent, in whole tokens.
func (bucket *bucket) debit(tokens float64) {
	covered := math.Floor(max(min(bucket.overflow, tokens), 0))
	bucket.overflow -= covered
	bucket.level -= tokens - covered
	bucket.fleet += tokens
	bucket.spent += tokens
}

// markReported moves this node's spending forward by one digest.
func (bucket *bucket) markReported() {
	bucket.own += bucket.reported
	bucket.fleet += bucket.reported
	bucket.reported = bucket.unreported
	bucket.unreported = 0
}

// refill adds the tokens that have accrued and decays the moving averages. It has to be called before
// each change of the level: what accrues while the bucket is full must not make up for what is spent later.
func (bucket *bucket) refill(fraction float64, interval time.Duration, now time.Time) {
	elapsed := now.Sub(bucket.filledAt)
	if elapsed <= 0 {
		return
	}
	rate, full := bucket.limit.Rate*fraction, bucket.limit.Burst*fraction
	filled := bucket.level + rate*elapsed.Seconds()
	bucket.level = min(filled, full)
	bucket.overflow = min(bucket.overflow+max(filled-full, 0), rate*interval.Seconds())
	bucket.filledAt = now
	decay := math.Exp(-elapsed.Seconds() / usageTimeConstant.Seconds())
	bucket.own *= decay
	bucket.fleet *= decay
	bucket.contention.decay(elapsed)
}

type peer struct {
	lastSeen    time.Time
	unreachable bool
	// incarnation changes when the peer restarts; its totals then start again from zero.
	incarnation uint64
	spent       map[string]float64
	// complete says that an account without a total in spent has spent nothing. Otherwise its
	// first total holds what was spent before this node heard of the peer.
	complete bool
}

// apply takes running totals, of all accounts if complete is set, and returns by how much
// each has changed. Totals fall when tokens are returned.
func (known *peer) apply(spent map[string]float64, complete bool) map[string]float64 {
	changes := map[string]float64{}
	for account, total := range spent {
		before, found := known.spent[account]
		if change := total - before; change != 0 && (found || known.complete) {
			changes[account] = change
		}
		known.spent[account] = total
	}
	known.complete = known.complete || complete
	return changes
}

// Ledger holds one node's token buckets. It is safe for concurrent use.
type Ledger struct {
	lock      sync.Mutex
	startFull bool
	// digestInterval is the time between two digests while there is something to report.
	digestInterval time.Duration
	buckets        map[string]*bucket
	spent          map[string]float64
	peers          map[string]*peer
	zones          map[string]*zonePeer
	sizes          requestSizes
	// fraction is the last result of reachableFraction.
	fraction float64
}

// New returns a ledger without peers. startFull makes new buckets start full; set
// it only at the first start of the whole system, when nothing can have been
// spent before.
func New(startFull bool) *Ledger {
	return &Ledger{
		startFull:      startFull,
		digestInterval: defaultDigestInterval,
		fraction:       1,
		buckets:        map[string]*bucket{},
		spent:          map[string]float64{},
		peers:          map[string]*peer{},
		zones:          map[string]*zonePeer{},
	}
}

// SetPeers sets the other nodes that report for themselves, the number of the nodes of
// each zone that report together, and the interval between digests. A new peer counts as
// unreachable until its first message.
func (ledger *Ledger) SetPeers(names []string, zones map[string]int, digestInterval time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.digestInterval = digestInterval
	peers := make(map[string]*peer, len(names))
	for _, name := range names {
		known, found := ledger.peers[name]
		if !found {
			known = &peer{unreachable: true, spent: map[string]float64{}}
		}
		peers[name] = known
	}
	ledger.peers = peers
	ledger.setZones(zones)
}

// ApplyPeerTotals debits what a peer has spent since its last report. spent holds the
// peer's running totals in tokens by account, of all accounts if complete is set, otherwise
// at least of those that have changed. Messages from unknown peers and late ones from
// earlier processes of a peer are ignored.
func (ledger *Ledger) ApplyPeerTotals(name string, incarnation uint64, spent map[string]float64, complete bool, now time.Time) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	known, found := ledger.peers[name]
	if !found || incarnation < known.incarnation && now.Sub(known.lastSeen) < lateDigestTime {
		return
	}
	if known.incarnation != incarnation {
		// The totals of a process that this node has seen the last one of start from zero.
		known.complete = known.incarnation != 0
		known.incarnation = incarnation
		known.spent = map[string]float64{}
	}
	// What a peer spent while it was unreachable came out of the share left to it, also of
	// accounts that this report leaves out.
	covered := known.unreachable
	if covered {
		known.spent, known.complete = map[string]float64{}, false
	}
	known.unreachable = false
	known.lastSeen = now
	changes := known.apply(spent, complete)
	if !covered {
		ledger.debit(changes, now)
	}
}

// debit takes what peers have spent from the buckets.
func (ledger *Ledger) debit(spent map[string]float64, now time.Time) {
	for name, more := range spent {
		account, refused := strings.CutSuffix(name, refusedSuffix)
		held, found := ledger.buckets[account]
		if !found {
			continue
		}
		held.refill(ledger.fraction, ledger.digestInterval, now)
		switch {
		case refused:
			held.refused += more
		default:
			held.debit(more)
		}
	}
}

// Verdict is the result of Spend.
type Verdict struct {
	Granted bool
	// Wait is the time until the tokens are expected to be available; zero if granted.
	Wait time.Duration
	// Level is the number of tokens in the bucket before the call.
	Level float64
	// Fraction is the fraction of the rate, from 0 to 1, that is available to this node and its
	// reachable peers.
	Fraction float64
	// Settling says that the node has only just started, so that it may soon grant what it refuses now.
	Settling bool
}

// Spend takes tokens from an account's bucket if there are enough. A request for
// more than a full bucket is granted when the bucket is full. A limit without a
// rate grants everything.
func (ledger *Ledger) Spend(account string, limit Limit, tokens float64, now time.Time) Verdict {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	return ledger.spend(account, limit, tokens, tokens, now)
}

// Admit is Spend for the requests of callers. While the account asks for more than its limit, small
// requests come first, and the larger ones get their part by lot: draw is a random number from 0 to 1.
func (ledger *Ledger) Admit(account string, limit Limit, tokens, draw float64, now time.Time) Verdict {
	if limit.Rate <= 0 {
		return Verdict{Granted: true, Fraction: 1}
	}
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	held, found := ledger.buckets[account]
	if !found {
		held = ledger.newBucket(account, limit, now)
	}
	fraction := ledger.reachableFraction(now)
	held.limit = limit
	held.refill(fraction, ledger.digestInterval, now)
	available, horizon := limit.scaled(fraction), max(horizonDigests*ledger.digestInterval, hearingTime)
	asked := request{tokens: tokens, light: ledger.sizes.record(tokens, now), draw: draw}
	verdict := Verdict{Level: held.level, Fraction: fraction}
	settling := !ledger.startFull && now.Sub(held.createdAt) < settlingTime
	needed := tokens
	may, drawn := held.admit(available, asked, held.level, held.record(asked, &ledger.sizes), horizon)
	switch {
	case drawn:
		needed = min(tokens, available.margin())
	case asked.light && !settling:
		needed = available.lightNeeds(tokens)
	}
	room := horizon
	if may {
		verdict = ledger.spend(account, limit, tokens, needed, now)
		if verdict.Granted {
			return verdict
		}
		room = verdict.Wait
	}
	verdict.Wait = held.returnIn(available, asked, held.part(ledger.size()), room, now)
	verdict.Settling = settling
	held.refused += tokens
	ledger.spent[account+refusedSuffix] += tokens
	return verdict
}

// scaled returns the part of the limit that is available to this node and its reachable peers.
func (limit Limit) scaled(fraction float64) Limit {
	return Limit{Rate: limit.Rate * fraction, Burst: limit.Burst * fraction}
}

// spend takes tokens from a bucket that holds at least the needed ones.
func (ledger *Ledger) spend(account string, limit Limit, tokens, needed float64, now time.Time) Verdict {
	if limit.Rate <= 0 {
		return Verdict{Granted: true, Fraction: 1}
	}
	fraction := ledger.reachableFraction(now)
	held, found := ledger.buckets[account]
	if !found {
		held = ledger.newBucket(account, limit, now)
	}
	held.limit = limit
	held.refill(fraction, ledger.digestInterval, now)
	if budget := ledger.digestBudget(held, limit, fraction); held.unreported > 0 && held.unreported+tokens > budget {
		return Verdict{Wait: ledger.digestInterval, Level: held.level, Fraction: fraction}
	}
	if needed := min(needed, limit.Burst*fraction); held.level < needed {
		missing := needed - held.level
		wait := time.Duration(missing / (limit.Rate * fraction) * float64(time.Second))
		return Verdict{Wait: wait, Level: held.level, Fraction: fraction}
	}
	verdict := Verdict{Granted: true, Level: held.level, Fraction: fraction}
	held.level -= tokens
	held.spent += tokens
	held.unreported += tokens
	ledger.spent[account] += tokens
	return verdict
}

// SetAccounts creates the buckets of the configured accounts, so that they accrue
// tokens and record the spending of peers from then on rather than from the first
// request at this node.
func (ledger *Ledger) SetAccounts(limits map[string]Limit, now time.Time) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	for account, limit := range limits {
		if held, found := ledger.buckets[account]; found {
			held.refill(ledger.fraction, ledger.digestInterval, now)
			held.limit = limit
		} else if limit.Rate > 0 {
			ledger.newBucket(account, limit, now)
		}
	}
}

func (ledger *Ledger) newBucket(account string, limit Limit, now time.Time) *bucket {
	created := &bucket{limit: limit, createdAt: now, filledAt: now}
	if ledger.startFull {
		created.level = limit.Burst
	}
	ledger.buckets[account] = created
	return created
}

// digestBudget returns the tokens that this node may spend between two digests: its
// usual share of what is available, but at least an equal share. It is unlimited
// in a small fleet, where digests are frequent.
func (ledger *Ledger) digestBudget(held *bucket, limit Limit, fraction float64) float64 {
	if ledger.digestInterval < digestBudgetFrom {
		return math.Inf(1)
	}
	share := 1 / float64(ledger.size())
	if held.fleet > 0 {
		share = max(share, digestBudgetFactor*held.own/held.fleet)
	}
	return (max(held.level+held.unreported, 0) + limit.Rate*fraction*ledger.digestInterval.Seconds()) * min(share, 1)
}

// MarkReported records that a digest with this node's totals is being sent to the peers.
func (ledger *Ledger) MarkReported() {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	for _, held := range ledger.buckets {
		held.markReported()
	}
}

// Refund returns the tokens that were charged for a request that did not run.
func (ledger *Ledger) Refund(account string, tokens float64) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	if held, found := ledger.buckets[account]; found {
		held.level += tokens
		held.spent = max(held.spent-tokens, 0)
		ledger.spent[account] -= tokens
	}
}

// Spent returns this node's running totals in tokens by account.
func (ledger *Ledger) Spent() map[string]float64 {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	copied := make(map[string]float64, len(ledger.spent))
	for account, total := range ledger.spent {
		copied[account] = total
	}
	return copied
}

// reachableFraction returns the fraction of every rate that is available to this
// node and its reachable peers. It marks peers that have timed out as unreachable.
func (ledger *Ledger) reachableFraction(now time.Time) float64 {
	reachable := 1
	for _, known := range ledger.peers {
		if now.Sub(known.lastSeen) > peerTimeoutDigests*ledger.digestInterval {
			known.unreachable = true
		}
		if !known.unreachable {
			reachable++
		}
	}
	for _, known := range ledger.zones {
		reachable += known.reachable(now, peerTimeoutDigests*ledger.digestInterval)
	}
	ledger.fraction = float64(reachable) / float64(ledger.size())
	return ledger.fraction
}
