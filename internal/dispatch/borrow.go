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
	minBlock = 2 * time.Millisecond
	maxBlock = 200 * time.Millisecond
	// loanGrace is how long a loan waits for its peers before it is closed.
	loanGrace = limit.DefaultLoanTerm * 4 / 5
)

// borrow asks the peers for what the account lacks; the lock is held.
func (service *Service) borrow(line *line, item queue.Item, waiting *waiter) {
	now := service.clock.Now()
	loan, asks, wait := service.bank.Borrow(now, service.newLoanID(), item.Account, item.Tokens, service.peers.Lenders())
	if loan == nil {
		service.block(line, item.Account, max(wait, minBlock))
		return
	}
	if len(asks) == 0 {
		// The balance has just become enough.
		service.closeLoan(line, loan, waiting)
		return
	}
	line.borrowing[item.Account] = true
	service.loans[loan.ID()] = openLoan{line: line, waiting: waiting}
	for _, ask := range asks {
		service.peers.Send(ask.To, ask.Ask)
	}
	time.AfterFunc(loanGrace, func() {
		service.lock.Lock()
		defer service.lock.Unlock()
		service.settleLoan(loan)
	})
}

// block passes the account over until it should have tokens again; the lock is held.
func (service *Service) block(line *line, account string, wait time.Duration) {
	service.refuseHopeless(line, account)
	wait = min(wait, maxBlock)
	line.blocked[account] = service.clock.Now() + wait
	time.AfterFunc(wait, func() {
		service.lock.Lock()
		defer service.lock.Unlock()
		service.pump(line)
	})
}

// refuseHopeless refuses the requests of an account without tokens whose turn
// can't come within their wait limits; the lock is held. The account's tokens
// are used up on the whole fleet, and this node may count on its part of what accrues.
func (service *Service) refuseHopeless(line *line, account string) {
	now := service.clock.Now()
	var waiting []*waiter
	for _, each := range line.waiters {
		if each.request.Account.Name == account {
			waiting = append(waiting, each)
		}
	}
	slices.SortFunc(waiting, func(left, right *waiter) int {
		return cmp.Or(cmp.Compare(left.request.Arrived, right.request.Arrived), cmp.Compare(left.request.ID, right.request.ID))
	})
	nodes := float64(len(service.peers.Others()) + 1)
	ahead := -service.bank.Balance(now, account)
	for _, each := range waiting {
		request := each.request
		ahead += request.Tokens
		left := request.Arrived + request.WaitLimit - now
		if ahead <= request.Account.Rate/nodes*left.Seconds() {
			continue
		}
		line.waiting.Remove(request.ID)
		delete(line.waiters, request.ID)
		after := time.Duration(0)
		if request.Account.Rate > 0 {
			after = time.Duration(ahead / request.Account.Rate * float64(time.Second))
		}
		ahead -= request.Tokens
		each.granted <- grant{refusal: mimosatide.Refuse(mimosatide.ReasonOverRate,
			"the account's rate does not reach this request within its wait limit").WithRetryAfter(after)}
	}
}

// openLoan is a loan that waits for its peers' answers.
type openLoan struct {
	line    *line
	waiting *waiter
}

// settleLoan closes a loan once its answers are in, or its time is over; the lock is held.
func (service *Service) settleLoan(loan *limit.Loan) {
	open, known := service.loans[loan.ID()]
	if !known {
		return
	}
	delete(service.loans, loan.ID())
	delete(open.line.borrowing, open.waiting.request.Account.Name)
	service.closeLoan(open.line, loan, open.waiting)
	service.pump(open.line)
}

// closeLoan spends a loan on the request that it was taken for, if that still waits.
func (service *Service) closeLoan(line *line, loan *limit.Loan, waiting *waiter) {
	request := waiting.request
	_, stillWaits := line.waiters[request.ID]
	candidate, free := Candidate{}, false
	if stillWaits {
		candidate, free = service.chooseReplica(line, waiting)
	}
	if !free {
		service.sendReturns(service.bank.Abandon(loan))
		return
	}
	receipt, paid, returns := service.bank.Close(service.clock.Now(), loan)
	service.sendReturns(returns)
	if !paid {
		service.block(line, request.Account.Name, minBlock)
		return
	}
	line.waiting.Remove(request.ID)
	service.grantTo(line, waiting, candidate, receipt)
}

func (service *Service) sendReturns(returns []limit.PeerReturn) {
	for _, back := range returns {
		service.peers.Send(back.To, back.Return)
	}
}

// TakeAsk answers a peer that lacks tokens.
func (service *Service) TakeAsk(from string, ask limit.Ask) {
	if give, answered := service.bank.Answer(service.clock.Now(), from, ask); answered {
		service.peers.Send(from, give)
	}
}

// TakeGive notes a peer's answer to a loan.
func (service *Service) TakeGive(from string, give limit.Give) {
	service.lock.Lock()
	defer service.lock.Unlock()
	loan, returns := service.bank.Receive(service.clock.Now(), from, give)
	service.sendReturns(returns)
	if loan == nil {
		return
	}
	if answered, paying := service.payments[loan.ID()]; paying {
		delete(service.payments, loan.ID())
		close(answered)
		return
	}
	service.settleLoan(loan)
}

// TakeReturn takes unspent tokens back.
func (service *Service) TakeReturn(from string, back limit.Return) {
	service.bank.TakeBack(service.clock.Now(), from, back)
}
