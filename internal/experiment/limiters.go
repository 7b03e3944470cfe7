package experiment

import (
	"time"

	"mimosatide.example/mimosatide/internal/limit"
)

// takeOverTime is how long a home node's successor must wait: the term of its
// lease, without proof of its death.
const takeOverTime = limit.DefaultLoanTerm * 40

// bucket is a plain token bucket over the whole account.
type bucket struct {
	rate    float64
	burst   float64
	balance float64
	last    time.Duration
	queue   []*waitingTokens
}

func (bucket *bucket) serve(now time.Duration) {
	bucket.balance = min(bucket.burst, bucket.balance+bucket.rate*(now-bucket.last).Seconds())
	bucket.last = now
	for len(bucket.queue) > 0 {
		first := bucket.queue[0]
		switch {
		case now >= first.expires:
		case bucket.balance >= first.tokens:
			bucket.balance -= first.tokens
			first.granted(now + first.retry)
		default:
			return
		}
		bucket.queue = bucket.queue[1:]
	}
}

// homeLimiter keeps the whole account at one node, whom the others ask. When it
// dies a successor starts empty after the term of its lease; while the table is
// out, nobody can succeed.
type homeLimiter struct {
	run     LimitRun
	bucket  bucket
	gone    bool
	resumes time.Duration
	down    bool
}

func newHomeLimiter(run LimitRun) limiter {
	return &homeLimiter{run: run, bucket: bucket{rate: run.Account.Rate, burst: run.Account.Burst}}
}

func (home *homeLimiter) request(now time.Duration, node int, tokens float64, granted func(time.Duration)) {
	waiting := &waitingTokens{tokens: tokens, expires: now + waitLimit, granted: granted}
	if node != 0 {
		// The answer travels there and back.
		waiting.retry = 2 * linkDelay
	}
	home.bucket.queue = append(home.bucket.queue, waiting)
}

func (home *homeLimiter) advance(now time.Duration) {
	if home.gone && (home.down || now < home.resumes) {
		return
	}
	home.gone = false
	home.bucket.serve(now)
}

func (home *homeLimiter) kill(now time.Duration, node int) {
	if node != 0 {
		return
	}
	home.gone = true
	home.resumes = now + takeOverTime
	home.bucket.balance, home.bucket.last = 0, home.resumes
}

func (home *homeLimiter) outage(down bool) { home.down = down }

// splitLimiter gives every node a fixed part.
type splitLimiter struct {
	buckets []*bucket
	dead    int
}

func newSplitLimiter(run LimitRun) limiter {
	split := &splitLimiter{dead: -1}
	for range run.Nodes {
		part := float64(run.Nodes)
		split.buckets = append(split.buckets, &bucket{rate: run.Account.Rate / part, burst: run.Account.Burst / part})
	}
	return split
}

func (split *splitLimiter) request(now time.Duration, node int, tokens float64, granted func(time.Duration)) {
	bucket := split.buckets[node]
	bucket.queue = append(bucket.queue, &waitingTokens{tokens: tokens, expires: now + waitLimit, granted: granted})
}

func (split *splitLimiter) advance(now time.Duration) {
	for node, bucket := range split.buckets {
		if node != split.dead {
			bucket.serve(now)
		}
	}
}

func (split *splitLimiter) kill(_ time.Duration, node int) { split.dead = node }

func (split *splitLimiter) outage(bool) {}
