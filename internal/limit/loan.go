package limit

import (
	"cmp"
	"slices"
	"time"

	"mimosatide.example/mimosatide/internal/invariant"
)

// LoanRequest is a request to a peer for tokens of an account.
type LoanRequest struct {
	// ID is the id of the loan.
	ID      uint64
	Account string
	Tokens  float64
}

// LoanGrant is the reply to a LoanRequest.
type LoanGrant struct {
	ID      uint64
	Account string
	// Tokens is the number of tokens that the lender has debited, possibly fewer than requested.
	Tokens float64
	// Balance is the lender's remaining balance in tokens.
	Balance float64
}

// LoanReturn sends unspent tokens back to their lender.
type LoanReturn struct {
	ID      uint64
	Account string
	Tokens  float64
}

// PeerLoanRequest is a LoanRequest with the peer to which it is to be sent.
type PeerLoanRequest struct {
	To      string
	Request LoanRequest
}

// PeerLoanReturn is a LoanReturn with the peer to which it is to be sent.
type PeerLoanReturn struct {
	To     string
	Return LoanReturn
}

// Loan is one attempt to borrow from peers what one spend lacks.
type Loan struct {
	id      uint64
	account string
	// tokens is the size of the spend, including what the node's own bucket covers.
	tokens  float64
	started time.Duration
	// expected holds the tokens requested from the peers that have not replied yet, by peer.
	expected map[string]float64
	// received holds the tokens in the replies, by peer; zero for a reply that came too late.
	received map[string]float64
	finished bool
}

// ID returns the loan's id, which is unique over all processes.
func (loan *Loan) ID() uint64 {
	return loan.id
}

// loanKey identifies a loan at its lender.
type loanKey struct {
	// peer is the borrower.
	peer string
	id   uint64
}

// lending is a lender's debit for a loan.
type lending struct {
	// receipt is empty once unspent tokens have been returned.
	receipt Receipt
	at      time.Duration
}

// peerBalance is the balance that a peer last reported, with the time of the report by
// this node's clock.
type peerBalance struct {
	balance float64
	at      time.Duration
}

// Borrow starts a loan for what this node's balance lacks of the tokens, and returns
// the requests to send. The id must never have been used by any process. If the
// peers are not expected to have enough, Borrow returns no loan but the time until
// they should have; for an unknown account it returns neither.
func (limiter *Limiter) Borrow(now time.Duration, id uint64, account string, tokens float64, peers []string) (*Loan, []PeerLoanRequest, time.Duration) {
	state := limiter.find(account)
	if state == nil {
		return nil, nil, 0
	}
	state.lock.Lock()
	defer state.lock.Unlock()
	shortfall := tokens - state.bucket.Balance(now)
	amounts, uncovered := limiter.apportion(now, state, shortfall, peers)
	if uncovered > 0 {
		return nil, nil, limiter.timeToAccrue(state, uncovered)
	}
	loan := &Loan{
		id:       id,
		account:  account,
		tokens:   tokens,
		started:  now,
		expected: amounts,
		received: map[string]float64{},
	}
	state.loans[id] = loan
	return loan, loan.requests(), 0
}

func (loan *Loan) requests() []PeerLoanRequest {
	var requests []PeerLoanRequest
	for peer, tokens := range loan.expected {
		requests = append(requests, PeerLoanRequest{To: peer, Request: LoanRequest{ID: loan.id, Account: loan.account, Tokens: tokens}})
	}
	slices.SortFunc(requests, func(left, right PeerLoanRequest) int { return cmp.Compare(left.To, right.To) })
	return requests
}

// apportion splits the shortfall over the peers with the largest expected balances.
// It returns the amount by peer and the tokens that no peer covers.
func (limiter *Limiter) apportion(now time.Duration, state *accountState, shortfall float64, peers []string) (map[string]float64, float64) {
	type candidate struct {
		peer    string
		balance float64
	}
	var candidates []candidate
	for _, peer := range peers {
		candidates = append(candidates, candidate{peer: peer, balance: limiter.expectedBalance(now, state, peer, len(peers)+1)})
	}
	slices.SortFunc(candidates, func(left, right candidate) int {
		return cmp.Or(cmp.Compare(right.balance, left.balance), cmp.Compare(left.peer, right.peer))
	})
	amounts := map[string]float64{}
	for _, candidate := range candidates {
		if shortfall <= 0 {
			break
		}
		amount := min(shortfall, candidate.balance)
		if amount <= 0 {
			break
		}
		amounts[candidate.peer] = amount
		shortfall -= amount
	}
	return amounts, shortfall
}

// expectedBalance estimates a peer's balance from the one it last reported and an
// equal share of the rate since then; a peer that reported none is taken to be full.
func (limiter *Limiter) expectedBalance(now time.Duration, state *accountState, peer string, nodes int) float64 {
	ceiling := limiter.FleetCeiling(state.account) / float64(nodes)
	last, known := state.peerBalances[peer]
	if !known {
		return ceiling
	}
	accrued := state.account.Rate / float64(nodes) * (now - last.at).Seconds()
	return min(ceiling, last.balance+accrued)
}

// timeToAccrue returns how long the whole fleet takes to accrue the tokens.
func (limiter *Limiter) timeToAccrue(state *accountState, tokens float64) time.Duration {
	if state.account.Rate <= 0 {
		// The tokens never accrue.
		return time.Hour
	}
	return time.Duration(tokens / state.account.Rate * float64(time.Second))
}

// Answer debits the tokens that a peer requests, as far as the balance allows, and
// returns the reply to send. A duplicate of a request gets no reply and debits nothing.
func (limiter *Limiter) Answer(now time.Duration, from string, request LoanRequest) (LoanGrant, bool) {
	state := limiter.find(request.Account)
	if state == nil || request.Tokens <= 0 {
		return LoanGrant{}, false
	}
	state.lock.Lock()
	defer state.lock.Unlock()
	key := loanKey{peer: from, id: request.ID}
	if _, duplicate := state.lent[key]; duplicate {
		return LoanGrant{}, false
	}
	state.forgetLent(now)
	balance := state.bucket.Balance(now)
	tokens := min(request.Tokens, balance)
	receipt, _ := state.bucket.Spend(now, tokens)
	state.lent[key] = lending{receipt: receipt, at: now}
	return LoanGrant{ID: request.ID, Account: request.Account, Tokens: tokens, Balance: balance - tokens}, true
}

// forgetLent removes debits for loans that are older than loanRetention.
func (state *accountState) forgetLent(now time.Duration) {
	for key, lending := range state.lent {
		if now-lending.at > loanRetention {
			delete(state.lent, key)
		}
	}
}

// RefundReturn refunds tokens that a peer borrowed and didn't spend. Only the first
// return of a loan is refunded.
func (limiter *Limiter) RefundReturn(now time.Duration, from string, returned LoanReturn) {
	state := limiter.find(returned.Account)
	if state == nil {
		return
	}
	state.lock.Lock()
	defer state.lock.Unlock()
	key := loanKey{peer: from, id: returned.ID}
	lent, known := state.lent[key]
	if !known {
		return
	}
	state.bucket.Refund(now, lent.receipt, returned.Tokens)
	lent.receipt = Receipt{}
	state.lent[key] = lent
}

// Receive records a peer's reply. It returns the loan when this was the last reply
// that it was waiting for, and the tokens that came too late to be spent.
func (limiter *Limiter) Receive(now time.Duration, from string, grant LoanGrant) (*Loan, []PeerLoanReturn) {
	state := limiter.find(grant.Account)
	if state == nil {
		return nil, nil
	}
	state.lock.Lock()
	defer state.lock.Unlock()
	state.peerBalances[from] = peerBalance{balance: grant.Balance, at: now}
	loan := state.loans[grant.ID]
	if loan == nil {
		// The loan is forgotten, so its tokens may have been spent and must not be returned.
		return nil, nil
	}
	if _, duplicate := loan.received[from]; duplicate {
		return nil, nil
	}
	loan.received[from] = grant.Tokens
	delete(loan.expected, from)
	if loan.finished || now-loan.started > limiter.settings.LoanTerm {
		late := LoanReturn{ID: grant.ID, Account: grant.Account, Tokens: grant.Tokens}
		loan.received[from] = 0
		return nil, []PeerLoanReturn{{To: from, Return: late}}
	}
	if len(loan.expected) > 0 {
		return nil, nil
	}
	return loan, nil
}

// Close ends a loan: it spends the whole sum if the loan term has not passed and the
// node's own balance covers what was not borrowed. Otherwise it returns what to send
// back to the lenders.
func (limiter *Limiter) Close(now time.Duration, loan *Loan) (Receipt, bool, []PeerLoanReturn) {
	state := limiter.find(loan.account)
	if state == nil {
		return Receipt{}, false, nil
	}
	state.lock.Lock()
	defer state.lock.Unlock()
	invariant.Check(!loan.finished, "loan %d of account %s is closed twice", loan.id, loan.account)
	loan.finished = true
	state.forgetLoans(now)
	borrowed := 0.0
	for _, tokens := range loan.received {
		borrowed += tokens
	}
	own := max(0, loan.tokens-borrowed)
	if now-loan.started <= limiter.settings.LoanTerm {
		if receipt, spent := state.bucket.Spend(now, own); spent {
			return receipt, true, nil
		}
	}
	return Receipt{}, false, loan.returns()
}

// Abandon ends a loan without spending it, and returns what to send back to the lenders.
func (limiter *Limiter) Abandon(loan *Loan) []PeerLoanReturn {
	state := limiter.find(loan.account)
	if state == nil {
		return nil
	}
	state.lock.Lock()
	defer state.lock.Unlock()
	invariant.Check(!loan.finished, "loan %d of account %s is closed twice", loan.id, loan.account)
	loan.finished = true
	return loan.returns()
}

// forgetLoans removes finished loans that are older than loanRetention. Their tokens
// can't be returned any more, since the lenders forget the debits after the same time.
func (state *accountState) forgetLoans(now time.Duration) {
	for id, loan := range state.loans {
		if loan.finished && now-loan.started > loanRetention {
			delete(state.loans, id)
		}
	}
}

func (loan *Loan) returns() []PeerLoanReturn {
	var returns []PeerLoanReturn
	for peer, tokens := range loan.received {
		if tokens > 0 {
			returns = append(returns, PeerLoanReturn{To: peer, Return: LoanReturn{ID: loan.id, Account: loan.account, Tokens: tokens}})
		}
	}
	slices.SortFunc(returns, func(left, right PeerLoanReturn) int { return cmp.Compare(left.To, right.To) })
	return returns
}
