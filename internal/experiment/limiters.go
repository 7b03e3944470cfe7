package experiment

import (
	"time"

	"mimosatide.example/mimosatide/internal/limit"
)

// takeoverDelay is the lease term of a home node, 10 s. Without proof that the
// node has stopped, its successor must wait until the lease expires.
const takeoverDelay = limit.DefaultLoanTerm * 40

// bucket is a token bucket with a queue of requests, served first come first served.
type bucket struct {
	rate       float64
	burst      float64
	balance    float64
	lastRefill time.Duration
	queue      []*tokenRequest
}

// serve refills the bucket, grants queued requests in order and drops expired ones.
func (bucket *bucket) serve(now time.Duration) {
	bucket.balance = min(bucket.burst, bucket.balance+bucket.rate*(now-bucket.lastRefill).Seconds())
	bucket.lastRefill = now
	for len(bucket.queue) > 0 {
		first := bucket.queue[0]
		switch {
		case now >= first.expires:
		case bucket.balance >= first.tokens:
			bucket.balance -= first.tokens
			first.onGrant(now + first.retry)
		default:
			return
		}
		bucket.queue = bucket.queue[1:]
	}
}

// homeLimiter keeps the token bucket of the whole account at one node, its home
// node, which the others ask for tokens. When the home node fails, a successor
// starts with an empty bucket once the lease has expired; it can't take the lease
// while the table is out.
type homeLimiter struct {
	run       LimitRun
	bucket    bucket
	failed    bool
	resumesAt time.Duration
	tableDown bool
}

func newHomeLimiter(run LimitRun) limiter {
	return &homeLimiter{run: run, bucket: bucket{rate: run.Account.Rate, burst: run.Account.Burst}}
}

func (home *homeLimiter) request(now time.Duration, node int, tokens float64, onGrant func(time.Duration)) {
	queued := &tokenRequest{tokens: tokens, expires: now + waitLimit, onGrant: onGrant}
	if node != 0 {
		// The request and its answer cross the link once each.
		queued.retry = 2 * linkDelay
	}
	home.bucket.queue = append(home.bucket.queue, queued)
}

func (home *homeLimiter) advance(now time.Duration) {
	if home.failed && (home.tableDown || now < home.resumesAt) {
		return
	}
	home.failed = false
	home.bucket.serve(now)
}

func (home *homeLimiter) killNode(now time.Duration, node int) {
	if node != 0 {
		return
	}
	home.failed = true
	home.resumesAt = now + takeoverDelay
	home.bucket.balance, home.bucket.lastRefill = 0, home.resumesAt
}

func (home *homeLimiter) setTableOutage(tableDown bool) { home.tableDown = tableDown }

// splitLimiter gives every node a bucket with an equal, fixed part of the rate and the burst.
type splitLimiter struct {
	buckets []*bucket
	// deadNode is -1 as long as no node has failed.
	deadNode int
}

func newSplitLimiter(run LimitRun) limiter {
	split := &splitLimiter{deadNode: -1}
	for range run.Nodes {
		nodes := float64(run.Nodes)
		split.buckets = append(split.buckets, &bucket{rate: run.Account.Rate / nodes, burst: run.Account.Burst / nodes})
	}
	return split
}

func (split *splitLimiter) request(now time.Duration, node int, tokens float64, onGrant func(time.Duration)) {
	bucket := split.buckets[node]
	bucket.queue = append(bucket.queue, &tokenRequest{tokens: tokens, expires: now + waitLimit, onGrant: onGrant})
}

func (split *splitLimiter) advance(now time.Duration) {
	for node, bucket := range split.buckets {
		if node != split.deadNode {
			bucket.serve(now)
		}
	}
}

func (split *splitLimiter) killNode(_ time.Duration, node int) { split.deadNode = node }

func (split *splitLimiter) setTableOutage(bool) {}
