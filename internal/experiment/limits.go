package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/limit"
)

// The times of the limit experiments.
const (
	// limitTick is the step of the virtual time.
	limitTick = time.Millisecond
	// linkDelay is the one-way delay between two nodes.
	linkDelay = time.Millisecond
	// waitLimit bounds the wait of a request for tokens.
	waitLimit = time.Second
	// warmUpTime excludes the first requests from the counts: new shares start with empty buckets.
	warmUpTime = 5 * time.Second
)

// LoadDistribution returns the index of the node at which a request arrives.
type LoadDistribution func(random *rand.Rand, now time.Duration, nodes int) int

// The distributions of an account's load over the nodes.
var (
	// AllAtOne sends everything to the first node.
	AllAtOne LoadDistribution = func(*rand.Rand, time.Duration, int) int { return 0 }
	// SevenToOne sends seven of eight requests to the first node, the others to random other nodes.
	SevenToOne LoadDistribution = func(random *rand.Rand, _ time.Duration, nodes int) int {
		if random.IntN(8) < 7 {
			return 0
		}
		return 1 + random.IntN(nodes-1)
	}
	// MovingEverySecond sends everything to one node, the next one each second.
	MovingEverySecond LoadDistribution = func(_ *rand.Rand, now time.Duration, nodes int) int { return int(now/time.Second) % nodes }
	// Even sends each request to a random node.
	Even LoadDistribution = func(random *rand.Rand, _ time.Duration, nodes int) int { return random.IntN(nodes) }
)

// LimitRun is a load on one account, with its faults.
type LimitRun struct {
	Name     string
	Seed     uint64
	Nodes    int
	Account  mimosatide.Account
	Duration time.Duration
	// Load is the offered load as a fraction of the account's rate.
	Load float64
	// Tokens is what each request costs.
	Tokens           float64
	LoadDistribution LoadDistribution
	// DeadNode fails for good at DeadAt; no node fails when DeadAt is zero.
	DeadNode int
	DeadAt   time.Duration
	// OutageFrom and OutageTo bound an outage of the table service.
	OutageFrom time.Duration
	OutageTo   time.Duration
}

// LimitResult is the result of a run with one limiter.
type LimitResult struct {
	Run     string
	Limiter string
	// Sent and Refused don't count requests in the first 5 s, while new shares fill.
	Sent    int
	Refused int
	// Excess is the largest excess over burst + rate·t in any interval, in tokens;
	// it is at most zero if the limit was kept.
	Excess float64
	// MeanWait is the mean time that granted requests waited for tokens.
	MeanWait time.Duration
}

// String returns the result as one line.
func (result LimitResult) String() string {
	return fmt.Sprintf("%-34s %-14s sent %6d refused %6d (%.2f%%) excess %8.0f mean wait %s", result.Run, result.Limiter,
		result.Sent, result.Refused, 100*float64(result.Refused)/float64(max(1, result.Sent)), result.Excess, result.MeanWait.Round(time.Microsecond))
}

// limiter enforces the limits of one account over simulated nodes.
type limiter interface {
	// request asks for tokens at a node; onGrant is called at most once.
	request(now time.Duration, node int, tokens float64, onGrant func(at time.Duration))
	// advance delivers the messages that are due and serves waiting requests.
	advance(now time.Duration)
	// killNode stops a node for good.
	killNode(now time.Duration, node int)
	// setTableOutage says whether the table service is out.
	setTableOutage(down bool)
}

// CompareLimits runs the same load against every limiter; the first result is that of shares and loans.
func CompareLimits(run LimitRun) []LimitResult {
	limiters := []struct {
		name  string
		build func(LimitRun) limiter
	}{
		{"shares+loans", newShareLimiter},
		{"home node", newHomeLimiter},
		{"static split", newSplitLimiter},
	}
	var results []LimitResult
	for _, entry := range limiters {
		result := run.simulate(entry.build(run))
		result.Limiter = entry.name
		results = append(results, result)
	}
	return results
}

type pendingRequest struct {
	at      time.Duration
	granted bool
}

type grantedTokens struct {
	at     time.Duration
	tokens float64
}

func (run LimitRun) simulate(limiter limiter) LimitResult {
	random := rand.New(rand.NewPCG(run.Seed, 11))
	result := LimitResult{Run: run.Name}
	var pending []*pendingRequest
	var grants []grantedTokens
	next := time.Duration(0)
	perSecond := run.Account.Rate * run.Load / run.Tokens
	for now := time.Duration(0); now < run.Duration+waitLimit; now += limitTick {
		if run.DeadAt > 0 && now == run.DeadAt {
			limiter.killNode(now, run.DeadNode)
		}
		limiter.setTableOutage(now >= run.OutageFrom && now < run.OutageTo)
		limiter.advance(now)
		for next <= now && next < run.Duration {
			// Requests arrive at even intervals: bursts in the load itself would exceed the limit.
			next += time.Duration(float64(time.Second) / perSecond)
			node := run.selectNode(random, now)
			request := &pendingRequest{at: now}
			pending = append(pending, request)
			limiter.request(now, node, run.Tokens, func(at time.Duration) {
				request.granted = true
				result.MeanWait += at - request.at
				grants = append(grants, grantedTokens{at: at, tokens: run.Tokens})
			})
		}
	}
	run.summarize(&result, pending, grants)
	return result
}

// selectNode returns the node of a request. The load balancer sends none to a dead node.
func (run LimitRun) selectNode(random *rand.Rand, now time.Duration) int {
	node := run.LoadDistribution(random, now, run.Nodes)
	if run.DeadAt > 0 && now >= run.DeadAt && node == run.DeadNode {
		return (node + 1) % run.Nodes
	}
	return node
}

func (run LimitRun) summarize(result *LimitResult, pending []*pendingRequest, grants []grantedTokens) {
	if len(grants) > 0 {
		result.MeanWait /= time.Duration(len(grants))
	}
	for _, request := range pending {
		if request.at < warmUpTime {
			continue
		}
		result.Sent++
		if !request.granted {
			result.Refused++
		}
	}
	// The interval with the largest excess begins and ends at a grant, so a running maximum finds it.
	excess, maxExcess := 0.0, -run.Account.Burst
	last := time.Duration(0)
	for _, grant := range grants {
		excess = max(0, excess-run.Account.Rate*(grant.at-last).Seconds()) + grant.tokens
		last = grant.at
		maxExcess = max(maxExcess, excess-run.Account.Burst)
	}
	result.Excess = maxExcess
}

// DefaultLimitRuns returns the loads of the comparison.
func DefaultLimitRuns() []LimitRun {
	base := LimitRun{
		Seed: 1, Nodes: 8, Duration: time.Minute, Load: 0.9, Tokens: 100,
		Account: mimosatide.Account{Name: "schools", Rate: 10000, Burst: 20000},
	}
	named := func(name string, change func(*LimitRun)) LimitRun {
		run := base
		run.Name = name
		change(&run)
		return run
	}
	return []LimitRun{
		named("90 %, even", func(run *LimitRun) { run.LoadDistribution = Even }),
		named("90 %, all at one node", func(run *LimitRun) { run.LoadDistribution = AllAtOne }),
		named("90 %, seven to one", func(run *LimitRun) { run.LoadDistribution = SevenToOne }),
		named("90 %, moving every second", func(run *LimitRun) { run.LoadDistribution = MovingEverySecond }),
		named("90 %, one at a time of 2000 tokens", func(run *LimitRun) { run.LoadDistribution, run.Tokens = AllAtOne, 2000 }),
		named("85 %, a node dies at 20 s", func(run *LimitRun) {
			run.LoadDistribution, run.Load, run.DeadAt, run.DeadNode = MovingEverySecond, 0.85, 20*time.Second, 0
		}),
		named("90 %, table out from 20 s to 40 s", func(run *LimitRun) {
			run.LoadDistribution, run.OutageFrom, run.OutageTo = MovingEverySecond, 20*time.Second, 40*time.Second
		}),
		named("85 %, a node dies in an outage", func(run *LimitRun) {
			run.LoadDistribution, run.Load, run.DeadAt, run.DeadNode = MovingEverySecond, 0.85, 20*time.Second, 0
			run.OutageFrom, run.OutageTo = 15*time.Second, 45*time.Second
		}),
		named("500 %, at all nodes", func(run *LimitRun) { run.LoadDistribution, run.Load = Even, 5 }),
		named("500 %, at one node", func(run *LimitRun) { run.LoadDistribution, run.Load = AllAtOne, 5 }),
		named("500 %, moving every second", func(run *LimitRun) { run.LoadDistribution, run.Load = MovingEverySecond, 5 }),
	}
}

// tokenRequest is a request that waits for tokens at a node.
type tokenRequest struct {
	tokens  float64
	expires time.Duration
	onGrant func(at time.Duration)
	// retry is the round trip that delays the grant in homeLimiter, and the time of
	// the next attempt in shareLimiter.
	retry time.Duration
}

// shareLimiter is the limiter of the product: each node has a share of the rate,
// and nodes that lack tokens borrow them from their peers.
type shareLimiter struct {
	run LimitRun
	// limiters and queues hold each node's limiter and its waiting requests, by node.
	limiters []*limit.Limiter
	queues   [][]*tokenRequest
	// loans holds, by node, the open loan for the first waiting request, or nil.
	loans    []*limit.Loan
	inFlight []peerMessage
	// deadNode is -1 as long as no node has failed.
	deadNode   int
	lastLoanID uint64
}

// peerMessage is a message in flight between two nodes; at is the time of its arrival.
type peerMessage struct {
	at      time.Duration
	from    int
	to      int
	message any
}

func newShareLimiter(run LimitRun) limiter {
	shares := &shareLimiter{run: run, deadNode: -1, queues: make([][]*tokenRequest, run.Nodes), loans: make([]*limit.Loan, run.Nodes)}
	for range run.Nodes {
		nodeLimiter := limit.New(limit.DefaultSettings())
		nodeLimiter.SetShares(0, limit.DefaultShareCount/run.Nodes, time.Hour)
		nodeLimiter.SetAccount(0, run.Account)
		shares.limiters = append(shares.limiters, nodeLimiter)
	}
	return shares
}

func (shares *shareLimiter) killNode(_ time.Duration, node int) { shares.deadNode = node }

func (shares *shareLimiter) setTableOutage(bool) {}

func (shares *shareLimiter) request(now time.Duration, node int, tokens float64, onGrant func(time.Duration)) {
	shares.queues[node] = append(shares.queues[node], &tokenRequest{tokens: tokens, expires: now + waitLimit, onGrant: onGrant})
	shares.serve(now, node)
}

// serve grants the node's waiting requests in order until one has to wait or borrow.
func (shares *shareLimiter) serve(now time.Duration, node int) {
	for len(shares.queues[node]) > 0 && shares.loans[node] == nil && node != shares.deadNode {
		first := shares.queues[node][0]
		if now >= first.expires {
			shares.queues[node] = shares.queues[node][1:]
			continue
		}
		if now < first.retry {
			return
		}
		if _, paid := shares.limiters[node].Spend(now, shares.run.Account.Name, first.tokens); paid {
			shares.grantFirst(now, node)
			continue
		}
		shares.borrow(now, node, first)
	}
}

func (shares *shareLimiter) grantFirst(now time.Duration, node int) {
	first := shares.queues[node][0]
	shares.queues[node] = shares.queues[node][1:]
	first.onGrant(now)
}

// borrow starts a loan for the first request, or sets the time of its next attempt
// if the peers are not expected to have enough tokens.
func (shares *shareLimiter) borrow(now time.Duration, node int, first *tokenRequest) {
	var peers []string
	for peer := range shares.limiters {
		if peer != node && peer != shares.deadNode {
			peers = append(peers, fmt.Sprint(peer))
		}
	}
	shares.lastLoanID++
	loan, requests, wait := shares.limiters[node].Borrow(now, shares.lastLoanID, shares.run.Account.Name, first.tokens, peers)
	if loan == nil {
		first.retry = now + max(wait, limitTick)
		return
	}
	shares.loans[node] = loan
	for _, request := range requests {
		shares.send(now, node, request.To, request.Request)
	}
}

func (shares *shareLimiter) send(now time.Duration, from int, to string, message any) {
	receiver := 0
	_, _ = fmt.Sscan(to, &receiver)
	shares.inFlight = append(shares.inFlight, peerMessage{at: now + linkDelay, from: from, to: receiver, message: message})
}

func (shares *shareLimiter) advance(now time.Duration) {
	messages := shares.inFlight
	shares.inFlight = nil
	for _, delivery := range messages {
		switch {
		case delivery.at > now:
			shares.inFlight = append(shares.inFlight, delivery)
		case delivery.to != shares.deadNode:
			shares.deliver(now, delivery)
		}
	}
	for node := range shares.limiters {
		shares.serve(now, node)
	}
}

func (shares *shareLimiter) deliver(now time.Duration, delivery peerMessage) {
	from, nodeLimiter := fmt.Sprint(delivery.from), shares.limiters[delivery.to]
	switch message := delivery.message.(type) {
	case limit.LoanRequest:
		if grant, answered := nodeLimiter.Answer(now, from, message); answered {
			shares.send(now, delivery.to, from, grant)
		}
	case limit.LoanGrant:
		loan, returns := nodeLimiter.Receive(now, from, message)
		shares.sendReturns(now, delivery.to, returns)
		if loan != nil {
			shares.closeLoan(now, delivery.to, loan)
		}
	case limit.LoanReturn:
		nodeLimiter.RefundReturn(now, from, message)
	}
}

// closeLoan ends a loan. It grants the first request if the loan pays for it, or
// else returns the tokens and lets the request try again two ticks later.
func (shares *shareLimiter) closeLoan(now time.Duration, node int, loan *limit.Loan) {
	shares.loans[node] = nil
	_, paid, returns := shares.limiters[node].Close(now, loan)
	shares.sendReturns(now, node, returns)
	if paid {
		shares.grantFirst(now, node)
		return
	}
	if len(shares.queues[node]) > 0 {
		shares.queues[node][0].retry = now + 2*limitTick
	}
}

func (shares *shareLimiter) sendReturns(now time.Duration, node int, returns []limit.PeerLoanReturn) {
	for _, loanReturn := range returns {
		shares.send(now, node, loanReturn.To, loanReturn.Return)
	}
}
