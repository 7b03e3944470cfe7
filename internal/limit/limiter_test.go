package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/limit"
)

var schools = mimosatide.Account{Name: "schools", Rate: 1000, Burst: 2000}

// farFuture is later than the end of every test.
const farFuture = time.Hour

func newLimiter(held int) *limit.Limiter {
	limiter := limit.New(limit.DefaultSettings())
	limiter.SetShares(0, held, farFuture)
	limiter.SetAccount(0, schools)
	return limiter
}

// TestSpendStaysWithinBurstAndRate guards against granting more than the account's
// limits, and less than its rate, to one node that asks for tokens all the time.
func TestSpendStaysWithinBurstAndRate(t *testing.T) {
	limiter := newLimiter(64)
	if _, granted := limiter.Spend(0, "schools", 1); granted {
		t.Fatal("a spend from new shares was granted, want them to start empty")
	}
	granted := 0.0
	for now := time.Duration(0); now <= 10*time.Second; now += time.Millisecond {
		if _, spent := limiter.Spend(now, "schools", 10); spent {
			granted += 10
		}
	}
	if limit := 1000*10.0 + 2000; granted > limit || granted < 9900 {
		t.Fatalf("got %f tokens granted in 10 s, want 9900 to 12000", granted)
	}
}

// TestRefundIsLimitedToTokensStillInTheBucket guards against refunds that add tokens
// beyond the limits: a bucket that has been full again since a debit would no longer
// hold the tokens of that debit.
func TestRefundIsLimitedToTokensStillInTheBucket(t *testing.T) {
	limiter := newLimiter(64)
	full := limiter.FleetCeiling(schools)
	start := 10 * time.Second
	receipt, granted := limiter.Spend(start, "schools", full)
	if !granted {
		t.Fatal("a full bucket refused a spend of its ceiling")
	}
	// The bucket has been full since, so a refund of the first debit must not add to it.
	again := start + 10*time.Second
	second, _ := limiter.Spend(again, "schools", full)
	limiter.Refund(again, "schools", receipt, full)
	if balance := limiter.Balance(again, "schools"); balance != 0 {
		t.Fatalf("got balance %f after a refund of a debit before the bucket was full, want 0", balance)
	}
	limiter.Refund(again, "schools", second, 500)
	if balance := limiter.Balance(again, "schools"); balance != 500 {
		t.Fatalf("got balance %f after a refund of 500 tokens, want 500", balance)
	}
}

// TestRefundsNeverExceedExactCharging guards against refunds that add tokens beyond
// the limits: it compares a bucket that reserves and refunds tokens with one that was
// charged the actual tokens from the start.
func TestRefundsNeverExceedExactCharging(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		refunding, exact := newLimiter(64), newLimiter(64)
		type debit struct {
			receipt limit.Receipt
			unused  float64
		}
		var open []debit
		now := 5 * time.Second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond
			if len(open) > 0 && rapid.Bool().Draw(t, "refund") {
				index := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				refunding.Refund(now, "schools", open[index].receipt, open[index].unused)
				open = append(open[:index], open[index+1:]...)
				continue
			}
			reserved := float64(rapid.IntRange(1, 900).Draw(t, "reserved"))
			actual := float64(rapid.IntRange(0, int(reserved)).Draw(t, "actual"))
			receipt, granted := refunding.Spend(now, "schools", reserved)
			if !granted {
				continue
			}
			if _, allowed := exact.Spend(now, "schools", actual); !allowed {
				t.Fatalf("the exact bucket refused %f tokens, want them granted as by the refunding bucket", actual)
			}
			open = append(open, debit{receipt: receipt, unused: reserved - actual})
		}
		for _, debit := range open {
			refunding.Refund(now, "schools", debit.receipt, debit.unused)
		}
		if got, want := refunding.Balance(now, "schools"), exact.Balance(now, "schools"); got > want+1e-6 {
			t.Fatalf("got balance %f after refunds, want at most %f of the exact bucket", got, want)
		}
	})
}

// lossyFleet is a set of limiters whose loan messages are lost, duplicated, delayed and reordered.
type lossyFleet struct {
	random   *rand.Rand
	limiters map[string]*limit.Limiter
	names    []string
	now      time.Duration
	queue    []delivery
	spends   []spend
	nextID   uint64
}

// delivery is a message that arrives at a given time.
type delivery struct {
	at      time.Duration
	from    string
	to      string
	message any
}

// spend is a granted spend of any node.
type spend struct {
	at     time.Duration
	tokens float64
}

func newLossyFleet(seed uint64, nodes int) *lossyFleet {
	fleet := &lossyFleet{random: rand.New(rand.NewPCG(seed, 1)), limiters: map[string]*limit.Limiter{}}
	for index := range nodes {
		name := string(rune('a' + index))
		fleet.names = append(fleet.names, name)
		fleet.limiters[name] = newLimiter(64 / nodes)
	}
	return fleet
}

// send loses a tenth of the messages, duplicates 15 % of them and delays each copy by
// up to 400 ms, which is longer than the loan term.
func (fleet *lossyFleet) send(from, to string, message any) {
	copies := 1
	switch roll := fleet.random.IntN(20); {
	case roll < 2:
		copies = 0
	case roll < 5:
		copies = 2
	}
	for range copies {
		delay := time.Duration(fleet.random.IntN(400)) * time.Millisecond
		fleet.queue = append(fleet.queue, delivery{at: fleet.now + delay, from: from, to: to, message: message})
	}
}

func (fleet *lossyFleet) deliver() {
	due := fleet.queue
	fleet.queue = nil
	for _, item := range due {
		if item.at > fleet.now {
			fleet.queue = append(fleet.queue, item)
			continue
		}
		fleet.handle(item)
	}
}

func (fleet *lossyFleet) handle(item delivery) {
	limiter := fleet.limiters[item.to]
	switch message := item.message.(type) {
	case limit.LoanRequest:
		if grant, answered := limiter.Answer(fleet.now, item.from, message); answered {
			fleet.send(item.to, item.from, grant)
		}
	case limit.LoanGrant:
		loan, returns := limiter.Receive(fleet.now, item.from, message)
		fleet.sendReturns(item.to, returns)
		if loan != nil {
			fleet.close(item.to, loan)
		}
	case limit.LoanReturn:
		limiter.RefundReturn(fleet.now, item.from, message)
	}
}

func (fleet *lossyFleet) close(name string, loan *limit.Loan) {
	_, granted, returns := fleet.limiters[name].Close(fleet.now, loan)
	fleet.sendReturns(name, returns)
	if granted {
		fleet.spends = append(fleet.spends, spend{at: fleet.now, tokens: 200})
	}
}

func (fleet *lossyFleet) sendReturns(from string, returns []limit.PeerLoanReturn) {
	for _, back := range returns {
		fleet.send(from, back.To, back.Return)
	}
}

// request spends 200 tokens at a node, or starts a loan for what the node lacks.
func (fleet *lossyFleet) request(name string) {
	limiter := fleet.limiters[name]
	if _, granted := limiter.Spend(fleet.now, "schools", 200); granted {
		fleet.spends = append(fleet.spends, spend{at: fleet.now, tokens: 200})
		return
	}
	var peers []string
	for _, peer := range fleet.names {
		if peer != name {
			peers = append(peers, peer)
		}
	}
	fleet.nextID++
	_, requests, _ := limiter.Borrow(fleet.now, fleet.nextID, "schools", 200, peers)
	for _, request := range requests {
		fleet.send(name, request.To, request.Request)
	}
}

// checkEveryInterval checks burst plus rate over every interval from one spend to another.
func (fleet *lossyFleet) checkEveryInterval(t *testing.T, seed uint64) {
	t.Helper()
	for first := range fleet.spends {
		sum := 0.0
		for _, spend := range fleet.spends[first:] {
			sum += spend.tokens
			bound := schools.Burst + schools.Rate*(spend.at-fleet.spends[first].at).Seconds()
			if sum > bound+1e-6 {
				t.Fatalf("seed %d: got %f tokens spent within %s, want at most %f", seed, sum, spend.at-fleet.spends[first].at, bound)
			}
		}
	}
}

// TestFleetStaysWithinBurstAndRateOverLossyLinks guards against loans that let the
// fleet spend too much: four nodes borrow from each other over lossy links.
func TestFleetStaysWithinBurstAndRateOverLossyLinks(t *testing.T) {
	for seed := range uint64(60) {
		fleet := newLossyFleet(seed, 4)
		for fleet.now < 20*time.Second {
			fleet.now += 2 * time.Millisecond
			fleet.deliver()
			if fleet.random.IntN(3) == 0 {
				fleet.request(fleet.names[fleet.random.IntN(len(fleet.names))])
			}
		}
		if len(fleet.spends) == 0 {
			t.Fatalf("seed %d: got no spend granted, want some", seed)
		}
		fleet.checkEveryInterval(t, seed)
	}
}

// TestDuplicateLoanRequestIsAnsweredOnce guards against debiting the lender twice
// when the network duplicates a request.
func TestDuplicateLoanRequestIsAnsweredOnce(t *testing.T) {
	limiter := newLimiter(64)
	request := limit.LoanRequest{ID: 7, Account: "schools", Tokens: 100}
	if _, answered := limiter.Answer(time.Second, "b", request); !answered {
		t.Fatal("the first request was not answered")
	}
	if _, answered := limiter.Answer(time.Second, "b", request); answered {
		t.Fatal("a duplicate request was answered again")
	}
}

// TestLoanIsNotSpentAfterItsTerm guards against spending tokens too long after the
// lender debited them: it delivers a reply after the loan term, and closes another
// loan after its term although its reply came in time.
func TestLoanIsNotSpentAfterItsTerm(t *testing.T) {
	lender, borrower := newLimiter(32), newLimiter(32)
	now := 10 * time.Second
	borrower.Spend(now, "schools", borrower.Balance(now, "schools"))
	loan, requests, _ := borrower.Borrow(now, 1, "schools", 100, []string{"lender"})
	if loan == nil || len(requests) != 1 {
		t.Fatalf("got requests %v, want a loan with one request", requests)
	}
	grant, _ := lender.Answer(now, "borrower", requests[0].Request)
	late := now + limit.DefaultLoanTerm + time.Millisecond
	if answered, returns := borrower.Receive(late, "lender", grant); answered != nil || len(returns) != 1 {
		t.Fatalf("got loan %v and returns %v for a late reply, want no loan and one return", answered, returns)
	}
	again, requests, _ := borrower.Borrow(late, 2, "schools", 400, []string{"lender"})
	grant, _ = lender.Answer(late, "borrower", requests[0].Request)
	borrower.Receive(late, "lender", grant)
	if _, granted, _ := borrower.Close(late+limit.DefaultLoanTerm+time.Millisecond, again); granted {
		t.Fatal("a loan was spent after its term, want it refused")
	}
}

// TestDuplicateLoanGrantOfSpentLoanIsNotReturned guards against refunding spent tokens:
// a duplicate reply arrives after its loan was spent, and must not be returned as late.
func TestDuplicateLoanGrantOfSpentLoanIsNotReturned(t *testing.T) {
	lender, borrower := newLimiter(32), newLimiter(32)
	now := 10 * time.Second
	borrower.Spend(now, "schools", borrower.Balance(now, "schools"))
	_, requests, _ := borrower.Borrow(now, 1, "schools", 100, []string{"lender"})
	grant, _ := lender.Answer(now, "borrower", requests[0].Request)
	loan, _ := borrower.Receive(now, "lender", grant)
	if _, granted, _ := borrower.Close(now, loan); !granted {
		t.Fatal("the loan was refused, want it granted")
	}
	if _, returns := borrower.Receive(now, "lender", grant); len(returns) != 0 {
		t.Fatalf("got returns %v of spent tokens, want none", returns)
	}
}

// TestLoweredLimitsApplyImmediately guards against spending the balance that a bucket
// accrued under higher limits.
func TestLoweredLimitsApplyImmediately(t *testing.T) {
	limiter := newLimiter(64)
	now := 10 * time.Second
	limiter.SetAccount(now, mimosatide.Account{Name: "schools", Rate: 100, Burst: 200})
	granted := 0.0
	for ; now <= 20*time.Second; now += time.Millisecond {
		if _, spent := limiter.Spend(now, "schools", 10); spent {
			granted += 10
		}
	}
	if granted > 100*10+200 {
		t.Fatalf("got %f tokens granted in 10 s at the lowered limits, want at most 1200", granted)
	}
}

// TestExpiredSharesGrantNothing guards against spending tokens of shares that the node
// no longer holds.
func TestExpiredSharesGrantNothing(t *testing.T) {
	limiter := newLimiter(64)
	limiter.SetShares(time.Second, 64, 5*time.Second)
	if _, granted := limiter.Spend(5*time.Second, "schools", 1); granted {
		t.Fatal("a spend was granted after the shares expired")
	}
}

func BenchmarkSpend(b *testing.B) {
	for _, accounts := range []int{10, 1000, 37000} {
		limiter := newLimiter(64)
		for index := range accounts {
			limiter.SetAccount(0, mimosatide.Account{Name: fmt.Sprint("account-", index), Rate: 1e9, Burst: 2e9})
		}
		limiter.SetAccount(0, mimosatide.Account{Name: "busy", Rate: 1e12, Burst: 2e12})
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			b.ReportAllocs()
			now := time.Second
			for b.Loop() {
				now += time.Microsecond
				receipt, _ := limiter.Spend(now, "busy", 100)
				limiter.Refund(now, "busy", receipt, 50)
			}
		})
	}
}
