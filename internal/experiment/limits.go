package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/limit"
)

// The speeds of the limit experiments.
const (
	limitTick = time.Millisecond
	// linkDelay is the one-way time between two nodes.
	linkDelay = time.Millisecond
	// waitLimit bounds the wait of a request for tokens.
	waitLimit = time.Second
	// firstMeasured leaves the time out in which new shares fill.
	firstMeasured = 5 * time.Second
)

// Spread says at which node a request arrives.
type Spread func(random *rand.Rand, now time.Duration, nodes int) int

// The ways in which an account spreads its load.
var (
	// AllAtOne sends everything to the first node.
	AllAtOne Spread = func(*rand.Rand, time.Duration, int) int { return 0 }
	// SevenToOne sends seven of eight requests to the first node.
	SevenToOne Spread = func(random *rand.Rand, _ time.Duration, nodes int) int {
		if random.IntN(8) < 7 {
			return 0
		}
		return 1 + random.IntN(nodes-1)
	}
	// MovingEverySecond moves everything to the next node each second.
	MovingEverySecond Spread = func(_ *rand.Rand, now time.Duration, nodes int) int { return int(now/time.Second) % nodes }
	// Even spreads the requests over all nodes.
	Even Spread = func(random *rand.Rand, _ time.Duration, nodes int) int { return random.IntN(nodes) }
)

// LimitRun is one load on one account.
type LimitRun struct {
	Name     string
	Seed     uint64
	Nodes    int
	Account  mimosatide.Account
	Duration time.Duration
	// Load is the offered load as a part of the account's rate.
	Load   float64
	Tokens float64
	Spread Spread
	// DeadNode dies at DeadAt and stays dead; none dies when DeadAt is zero.
	DeadNode int
	DeadAt   time.Duration
	// OutageFrom and OutageTo bound an outage of the table.
	OutageFrom time.Duration
	OutageTo   time.Duration
}

// LimitResult is what one way of limiting made of a run.
type LimitResult struct {
	Run     string
	Limiter string
	Sent    int
	Refused int
	// Excess is the largest excess over burst + rate·t in any interval, in tokens.
	Excess float64
	// MeanWait is the mean wait for tokens of the granted requests.
	MeanWait time.Duration
}

// String returns the result as one line.
func (result LimitResult) String() string {
	return fmt.Sprintf("%-34s %-14s sent %6d refused %6d (%.2f%%) excess %8.0f mean wait %s", result.Run, result.Limiter,
		result.Sent, result.Refused, 100*float64(result.Refused)/float64(max(1, result.Sent)), result.Excess, result.MeanWait.Round(time.Microsecond))
}

// limiter is one way of keeping to an account's limits.
type limiter interface {
	// request asks for tokens at a node; granted is called at most once.
	request(now time.Duration, node int, tokens float64, granted func(at time.Duration))
	// advance moves messages and waiting requests on.
	advance(now time.Duration)
	// kill ends a node for good.
	kill(now time.Duration, node int)
	// outage says whether the table answers.
	outage(down bool)
}

// CompareLimits runs the same load against every way of limiting.
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
		result := run.play(entry.build(run))
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

func (run LimitRun) play(limiter limiter) LimitResult {
	random := rand.New(rand.NewPCG(run.Seed, 11))
	result := LimitResult{Run: run.Name}
	var pending []*pendingRequest
	var grants []grantedTokens
	next := time.Duration(0)
	perSecond := run.Account.Rate * run.Load / run.Tokens
	for now := time.Duration(0); now < run.Duration+waitLimit; now += limitTick {
		if run.DeadAt > 0 && now == run.DeadAt {
			limiter.kill(now, run.DeadNode)
		}
		limiter.outage(now >= run.OutageFrom && now < run.OutageTo)
		limiter.advance(now)
		for next <= now && next < run.Duration {
			// Arrivals are even, so that no burst of the load itself is over the limit.
			next += time.Duration(float64(time.Second) / perSecond)
			node := run.arrival(random, now)
			request := &pendingRequest{at: now}
			pending = append(pending, request)
			limiter.request(now, node, run.Tokens, func(at time.Duration) {
				request.granted = true
				result.MeanWait += at - request.at
				grants = append(grants, grantedTokens{at: at, tokens: run.Tokens})
			})
		}
	}
	run.sumUp(&result, pending, grants)
	return result
}

// arrival picks the node of a request; the balancer knows which node is dead.
func (run LimitRun) arrival(random *rand.Rand, now time.Duration) int {
	node := run.Spread(random, now, run.Nodes)
	if run.DeadAt > 0 && now >= run.DeadAt && node == run.DeadNode {
		return (node + 1) % run.Nodes
	}
	return node
}

func (run LimitRun) sumUp(result *LimitResult, pending []*pendingRequest, grants []grantedTokens) {
	if len(grants) > 0 {
		result.MeanWait /= time.Duration(len(grants))
	}
	for _, request := range pending {
		if request.at < firstMeasured {
			continue
		}
		result.Sent++
		if !request.granted {
			result.Refused++
		}
	}
	// The largest excess ends at a grant and begins at one: a running maximum finds it.
	excess, worst := 0.0, -run.Account.Burst
	last := time.Duration(0)
	for _, grant := range grants {
		excess = max(0, excess-run.Account.Rate*(grant.at-last).Seconds()) + grant.tokens
		last = grant.at
		worst = max(worst, excess-run.Account.Burst)
	}
	result.Excess = worst
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
		named("90 %, even", func(run *LimitRun) { run.Spread = Even }),
		named("90 %, all at one node", func(run *LimitRun) { run.Spread = AllAtOne }),
		named("90 %, seven to one", func(run *LimitRun) { run.Spread = SevenToOne }),
		named("90 %, moving every second", func(run *LimitRun) { run.Spread = MovingEverySecond }),
		named("90 %, one at a time of 2000 tokens", func(run *LimitRun) { run.Spread, run.Tokens = AllAtOne, 2000 }),
		named("85 %, a node dies at 20 s", func(run *LimitRun) {
			run.Spread, run.Load, run.DeadAt, run.DeadNode = MovingEverySecond, 0.85, 20*time.Second, 0
		}),
		named("90 %, table out from 20 s to 40 s", func(run *LimitRun) {
			run.Spread, run.OutageFrom, run.OutageTo = MovingEverySecond, 20*time.Second, 40*time.Second
		}),
		named("85 %, a node dies in an outage", func(run *LimitRun) {
			run.Spread, run.Load, run.DeadAt, run.DeadNode = MovingEverySecond, 0.85, 20*time.Second, 0
			run.OutageFrom, run.OutageTo = 15*time.Second, 45*time.Second
		}),
		named("500 %, at all nodes", func(run *LimitRun) { run.Spread, run.Load = Even, 5 }),
		named("500 %, at one node", func(run *LimitRun) { run.Spread, run.Load = AllAtOne, 5 }),
		named("500 %, moving every second", func(run *LimitRun) { run.Spread, run.Load = MovingEverySecond, 5 }),
	}
}

// waitingTokens is a request that waits at a node.
type waitingTokens struct {
	tokens  float64
	expires time.Duration
	granted func(at time.Duration)
	retry   time.Duration
}

// shareLimiter is the product's way: shares of the rate and loans between nodes.
type shareLimiter struct {
	run    LimitRun
	banks  []*limit.Limiter
	queues [][]*waitingTokens
	// lending marks the nodes whose first request has a loan under way.
	lending []*limit.Loan
	mail    []limitMail
	dead    int
	nextID  uint64
}

type limitMail struct {
	at      time.Duration
	from    int
	to      int
	message any
}

func newShareLimiter(run LimitRun) limiter {
	shares := &shareLimiter{run: run, dead: -1, queues: make([][]*waitingTokens, run.Nodes), lending: make([]*limit.Loan, run.Nodes)}
	for range run.Nodes {
		bank := limit.New(limit.DefaultSettings())
		bank.SetShares(0, limit.DefaultShareCount/run.Nodes, time.Hour)
		bank.SetAccount(0, run.Account)
		shares.banks = append(shares.banks, bank)
	}
	return shares
}

func (shares *shareLimiter) kill(_ time.Duration, node int) { shares.dead = node }

func (shares *shareLimiter) outage(bool) {}

func (shares *shareLimiter) request(now time.Duration, node int, tokens float64, granted func(time.Duration)) {
	shares.queues[node] = append(shares.queues[node], &waitingTokens{tokens: tokens, expires: now + waitLimit, granted: granted})
	shares.serve(now, node)
}

// serve grants the node's waiting requests in their order.
func (shares *shareLimiter) serve(now time.Duration, node int) {
	for len(shares.queues[node]) > 0 && shares.lending[node] == nil && node != shares.dead {
		first := shares.queues[node][0]
		if now >= first.expires {
			shares.queues[node] = shares.queues[node][1:]
			continue
		}
		if now < first.retry {
			return
		}
		if _, paid := shares.banks[node].Spend(now, shares.run.Account.Name, first.tokens); paid {
			shares.pop(now, node)
			continue
		}
		shares.borrow(now, node, first)
	}
}

func (shares *shareLimiter) pop(now time.Duration, node int) {
	first := shares.queues[node][0]
	shares.queues[node] = shares.queues[node][1:]
	first.granted(now)
}

func (shares *shareLimiter) borrow(now time.Duration, node int, first *waitingTokens) {
	var peers []string
	for peer := range shares.banks {
		if peer != node && peer != shares.dead {
			peers = append(peers, fmt.Sprint(peer))
		}
	}
	shares.nextID++
	loan, asks, wait := shares.banks[node].Borrow(now, shares.nextID, shares.run.Account.Name, first.tokens, peers)
	if loan == nil {
		first.retry = now + max(wait, limitTick)
		return
	}
	shares.lending[node] = loan
	for _, ask := range asks {
		shares.post(now, node, ask.To, ask.Ask)
	}
}

func (shares *shareLimiter) post(now time.Duration, from int, to string, message any) {
	target := 0
	_, _ = fmt.Sscan(to, &target)
	shares.mail = append(shares.mail, limitMail{at: now + linkDelay, from: from, to: target, message: message})
}

func (shares *shareLimiter) advance(now time.Duration) {
	due := shares.mail
	shares.mail = nil
	for _, mail := range due {
		switch {
		case mail.at > now:
			shares.mail = append(shares.mail, mail)
		case mail.to != shares.dead:
			shares.handle(now, mail)
		}
	}
	for node := range shares.banks {
		shares.serve(now, node)
	}
}

func (shares *shareLimiter) handle(now time.Duration, mail limitMail) {
	from, bank := fmt.Sprint(mail.from), shares.banks[mail.to]
	switch message := mail.message.(type) {
	case limit.LoanRequest:
		if give, answered := bank.Answer(now, from, message); answered {
			shares.post(now, mail.to, from, give)
		}
	case limit.LoanGrant:
		loan, returns := bank.Receive(now, from, message)
		shares.giveBack(now, mail.to, returns)
		if loan != nil {
			shares.closeLoan(now, mail.to, loan)
		}
	case limit.LoanReturn:
		bank.RefundReturn(now, from, message)
	}
}

func (shares *shareLimiter) closeLoan(now time.Duration, node int, loan *limit.Loan) {
	shares.lending[node] = nil
	_, paid, returns := shares.banks[node].Close(now, loan)
	shares.giveBack(now, node, returns)
	if paid {
		shares.pop(now, node)
		return
	}
	if len(shares.queues[node]) > 0 {
		shares.queues[node][0].retry = now + 2*limitTick
	}
}

func (shares *shareLimiter) giveBack(now time.Duration, node int, returns []limit.PeerLoanReturn) {
	for _, back := range returns {
		shares.post(now, node, back.To, back.Return)
	}
}
