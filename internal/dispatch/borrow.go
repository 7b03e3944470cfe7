package dispatch

import (
	"cmp"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/limit"
	"mimosatide.example/mimosatide/internal/queue"
)

// The waits of an account that lacks tokens.
const (
	// minBlockTime and maxBlockTime bound how long the account is skipped before its
	// requests are tried again.
	minBlockTime = 2 * time.Millisecond
	maxBlockTime = 200 * time.Millisecond
	// loanReplyTimeout is how long a loan waits for the replies of peers. It lies below
	// the loan term, after which borrowed tokens can't be spent any more.
	loanReplyTimeout = limit.DefaultLoanTerm * 4 / 5
)

// borrow asks peers for the tokens that the account lacks. When they are not
// expected to have enough, it blocks the account instead. The caller must hold
// service.lock.
func (service *Service) borrow(modelQueue *modelQueue, item queue.Item, waiter *waiter) {
	now := service.clock.Now()
	loan, loanRequests, wait := service.limiter.Borrow(now, service.newLoanID(), item.Account, item.Tokens, service.peers.Lenders())
	if loan == nil {
		service.blockAccount(modelQueue, item.Account, max(wait, minBlockTime))
		return
	}
	if len(loanRequests) == 0 {
		// The balance has become sufficient since the failed debit.
		service.closeLoan(modelQueue, loan, waiter)
		return
	}
	modelQueue.borrowing[item.Account] = true
	service.modelLoans[loan.ID()] = openLoan{modelQueue: modelQueue, waiter: waiter}
	for _, loanRequest := range loanRequests {
		service.peers.Send(loanRequest.To, loanRequest.Request)
	}
	time.AfterFunc(loanReplyTimeout, func() {
		service.lock.Lock()
		defer service.lock.Unlock()
		service.settleLoan(loan)
	})
}

// blockAccount skips the account until it is expected to have tokens again.
// The caller must hold service.lock.
func (service *Service) blockAccount(modelQueue *modelQueue, account string, wait time.Duration) {
	service.refuseUnaffordable(modelQueue, account)
	wait = min(wait, maxBlockTime)
	modelQueue.blocked[account] = service.clock.Now() + wait
	time.AfterFunc(wait, func() {
		service.lock.Lock()
		defer service.lock.Unlock()
		service.grantSlots(modelQueue)
	})
}

// refuseUnaffordable refuses the waiting requests of an account that can't get
// enough tokens within their wait limits. The account has used up its tokens on
// the whole fleet, so this node counts only on its share of the rate, split
// evenly over the nodes. The caller must hold service.lock.
func (service *Service) refuseUnaffordable(modelQueue *modelQueue, account string) {
	now := service.clock.Now()
	var waiters []*waiter
	for _, waiter := range modelQueue.waiters {
		if waiter.request.Account.Name == account {
			waiters = append(waiters, waiter)
		}
	}
	slices.SortFunc(waiters, func(left, right *waiter) int {
		return cmp.Or(cmp.Compare(left.request.Arrived, right.request.Arrived), cmp.Compare(left.request.ID, right.request.ID))
	})
	nodes := float64(len(service.peers.Others()) + 1)
	needed := -service.limiter.Balance(now, account)
	for _, waiter := range waiters {
		request := waiter.request
		needed += request.Tokens
		remaining := request.Arrived + request.WaitLimit - now
		if needed <= request.Account.Rate/nodes*remaining.Seconds() {
			continue
		}
		modelQueue.pending.Remove(request.ID)
		delete(modelQueue.waiters, request.ID)
		retryAfter := time.Duration(0)
		if request.Account.Rate > 0 {
			retryAfter = time.Duration(needed / request.Account.Rate * float64(time.Second))
		}
		needed -= request.Tokens
		waiter.granted <- grant{refusal: mimosatide.Refuse(mimosatide.ReasonOverRate,
			"the account's rate does not reach this request within its wait limit").WithRetryAfter(retryAfter)}
	}
}

// openLoan holds the model request for which a loan waits for the replies of peers.
type openLoan struct {
	modelQueue *modelQueue
	waiter     *waiter
}

// settleLoan closes a loan when every peer has replied or the reply timeout is
// over. It does nothing for a loan that is closed. The caller must hold service.lock.
func (service *Service) settleLoan(loan *limit.Loan) {
	open, known := service.modelLoans[loan.ID()]
	if !known {
		return
	}
	delete(service.modelLoans, loan.ID())
	delete(open.modelQueue.borrowing, open.waiter.request.Account.Name)
	service.closeLoan(open.modelQueue, loan, open.waiter)
	service.grantSlots(open.modelQueue)
}

// closeLoan spends a loan on its request, or returns the borrowed tokens when the
// request no longer waits or no replica is free. The caller must hold service.lock.
func (service *Service) closeLoan(modelQueue *modelQueue, loan *limit.Loan, waiter *waiter) {
	request := waiter.request
	_, stillWaits := modelQueue.waiters[request.ID]
	candidate, free := Candidate{}, false
	if stillWaits {
		candidate, free = service.chooseReplica(modelQueue, waiter)
	}
	if !free {
		service.sendReturns(service.limiter.Abandon(loan))
		return
	}
	receipt, paid, returns := service.limiter.Close(service.clock.Now(), loan)
	service.sendReturns(returns)
	if !paid {
		service.blockAccount(modelQueue, request.Account.Name, minBlockTime)
		return
	}
	modelQueue.pending.Remove(request.ID)
	service.grantReplica(modelQueue, waiter, candidate, receipt)
}

func (service *Service) sendReturns(returns []limit.PeerLoanReturn) {
	for _, peerReturn := range returns {
		service.peers.Send(peerReturn.To, peerReturn.Return)
	}
}

// HandleLoanRequest handles a peer's request for tokens.
func (service *Service) HandleLoanRequest(from string, request limit.LoanRequest) {
	if grant, answered := service.limiter.Answer(service.clock.Now(), from, request); answered {
		service.peers.Send(from, grant)
	}
}

// HandleLoanGrant handles a peer's reply to a request for tokens. The last reply closes the loan.
func (service *Service) HandleLoanGrant(from string, grant limit.LoanGrant) {
	service.lock.Lock()
	defer service.lock.Unlock()
	loan, returns := service.limiter.Receive(service.clock.Now(), from, grant)
	service.sendReturns(returns)
	if loan == nil {
		return
	}
	if answered, paying := service.routeLoans[loan.ID()]; paying {
		delete(service.routeLoans, loan.ID())
		close(answered)
		return
	}
	service.settleLoan(loan)
}

// HandleLoanReturn credits tokens that a peer borrowed and did not spend.
func (service *Service) HandleLoanReturn(from string, returned limit.LoanReturn) {
	service.limiter.RefundReturn(service.clock.Now(), from, returned)
}
