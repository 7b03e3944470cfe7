package limit

import (
	"cmp"
	"slices"
	"time"

	"mimosatide.example/mimosatide/internal/invariant"
)

// Ask asks a peer for tokens of an account.
type Ask struct {
	ID      uint64
	Account string
	Tokens  float64
}

// Give answers an Ask with tokens that the giver has debited.
type Give struct {
	ID      uint64
	Account string
	Tokens  float64
	// Balance is what the giver has left.
	Balance float64
}

// Return gives unspent tokens back to their giver.
type Return struct {
	ID      uint64
	Account string
	Tokens  float64
}

// PeerAsk is an Ask with its receiver.
type PeerAsk struct {
	To  string
	Ask Ask
}

// PeerReturn is a Return with its receiver.
type PeerReturn struct {
	To     string
	Return Return
}

// Loan is one try to raise the tokens of one spend from peers.
type Loan struct {
	id       uint64
	account  string
	tokens   float64
	started  time.Duration
	expected map[string]float64
	received map[string]float64
	finished bool
}

// ID returns the loan's number at this node.
func (loan *Loan) ID() uint64 {
	return loan.id
}

type loanKey struct {
	peer string
	id   uint64
}

type gift struct {
	receipt Receipt
	at      time.Duration
}

// estimate is a peer's balance as it was last stated.
type estimate struct {
	balance float64
	at      time.Duration
}

// Borrow starts a loan, whose id no other loan of any process has had, for what this node lacks of the tokens. When the peers
// are not expected to have enough, it returns the time after which they should.
func (bank *Bank) Borrow(now time.Duration, id uint64, account string, tokens float64, peers []string) (*Loan, []PeerAsk, time.Duration) {
	holding := bank.find(account)
	if holding == nil {
		return nil, nil, 0
	}
	holding.lock.Lock()
	defer holding.lock.Unlock()
	lack := tokens - holding.bucket.Balance(now)
	parts, missing := bank.apportion(now, holding, lack, peers)
	if missing > 0 {
		return nil, nil, bank.timeToAccrue(holding, missing)
	}
	loan := &Loan{
		id:       id,
		account:  account,
		tokens:   tokens,
		started:  now,
		expected: parts,
		received: map[string]float64{},
	}
	holding.loans[id] = loan
	return loan, loan.asks(), 0
}

func (loan *Loan) asks() []PeerAsk {
	var asks []PeerAsk
	for peer, tokens := range loan.expected {
		asks = append(asks, PeerAsk{To: peer, Ask: Ask{ID: loan.id, Account: loan.account, Tokens: tokens}})
	}
	slices.SortFunc(asks, func(left, right PeerAsk) int { return cmp.Compare(left.To, right.To) })
	return asks
}

// apportion splits the lack over the peers that should have the most.
func (bank *Bank) apportion(now time.Duration, holding *holding, lack float64, peers []string) (map[string]float64, float64) {
	type candidate struct {
		peer    string
		balance float64
	}
	var candidates []candidate
	for _, peer := range peers {
		candidates = append(candidates, candidate{peer: peer, balance: bank.expectedBalance(now, holding, peer, len(peers)+1)})
	}
	slices.SortFunc(candidates, func(left, right candidate) int {
		return cmp.Or(cmp.Compare(right.balance, left.balance), cmp.Compare(left.peer, right.peer))
	})
	parts := map[string]float64{}
	for _, candidate := range candidates {
		if lack <= 0 {
			break
		}
		part := min(lack, candidate.balance)
		if part <= 0 {
			break
		}
		parts[candidate.peer] = part
		lack -= part
	}
	return parts, lack
}

// expectedBalance carries a peer's stated balance forward at its part of the rate.
func (bank *Bank) expectedBalance(now time.Duration, holding *holding, peer string, nodes int) float64 {
	ceiling := bank.FleetCeiling(holding.account) / float64(nodes)
	last, known := holding.estimate[peer]
	if !known {
		return ceiling
	}
	accrued := holding.account.Rate / float64(nodes) * (now - last.at).Seconds()
	return min(ceiling, last.balance+accrued)
}

func (bank *Bank) timeToAccrue(holding *holding, tokens float64) time.Duration {
	if holding.account.Rate <= 0 {
		return time.Hour
	}
	return time.Duration(tokens / holding.account.Rate * float64(time.Second))
}

// Answer debits what a peer asks for, as far as the balance goes. Each ask is answered once.
func (bank *Bank) Answer(now time.Duration, from string, ask Ask) (Give, bool) {
	holding := bank.find(ask.Account)
	if holding == nil || ask.Tokens <= 0 {
		return Give{}, false
	}
	holding.lock.Lock()
	defer holding.lock.Unlock()
	key := loanKey{peer: from, id: ask.ID}
	if _, again := holding.given[key]; again {
		return Give{}, false
	}
	holding.forgetGifts(now)
	balance := holding.bucket.Balance(now)
	tokens := min(ask.Tokens, balance)
	receipt, _ := holding.bucket.Spend(now, tokens)
	holding.given[key] = gift{receipt: receipt, at: now}
	return Give{ID: ask.ID, Account: ask.Account, Tokens: tokens, Balance: balance - tokens}, true
}

func (holding *holding) forgetGifts(now time.Duration) {
	for key, gift := range holding.given {
		if now-gift.at > receiptLife {
			delete(holding.given, key)
		}
	}
}

// TakeBack returns tokens that a peer borrowed and didn't spend.
func (bank *Bank) TakeBack(now time.Duration, from string, returned Return) {
	holding := bank.find(returned.Account)
	if holding == nil {
		return
	}
	holding.lock.Lock()
	defer holding.lock.Unlock()
	key := loanKey{peer: from, id: returned.ID}
	given, known := holding.given[key]
	if !known {
		return
	}
	holding.bucket.Refund(now, given.receipt, returned.Tokens)
	given.receipt = Receipt{}
	holding.given[key] = given
}

// Receive notes tokens from a peer. It returns the loan once nothing more is
// awaited, and the tokens that came too late to be spent.
func (bank *Bank) Receive(now time.Duration, from string, give Give) (*Loan, []PeerReturn) {
	holding := bank.find(give.Account)
	if holding == nil {
		return nil, nil
	}
	holding.lock.Lock()
	defer holding.lock.Unlock()
	holding.estimate[from] = estimate{balance: give.Balance, at: now}
	loan := holding.loans[give.ID]
	if loan == nil {
		// Nothing is known of the loan any more: the tokens may have been spent, so they are let go.
		return nil, nil
	}
	if _, again := loan.received[from]; again {
		return nil, nil
	}
	loan.received[from] = give.Tokens
	delete(loan.expected, from)
	if loan.finished || now-loan.started > bank.settings.LoanTerm {
		late := Return{ID: give.ID, Account: give.Account, Tokens: give.Tokens}
		loan.received[from] = 0
		return nil, []PeerReturn{{To: from, Return: late}}
	}
	if len(loan.expected) > 0 {
		return nil, nil
	}
	return loan, nil
}

// Close ends a loan: it spends the whole sum, or returns what was borrowed.
func (bank *Bank) Close(now time.Duration, loan *Loan) (Receipt, bool, []PeerReturn) {
	holding := bank.find(loan.account)
	if holding == nil {
		return Receipt{}, false, nil
	}
	holding.lock.Lock()
	defer holding.lock.Unlock()
	invariant.Check(!loan.finished, "loan %d of %s is closed twice", loan.id, loan.account)
	loan.finished = true
	holding.forgetLoans(now)
	borrowed := 0.0
	for _, tokens := range loan.received {
		borrowed += tokens
	}
	own := max(0, loan.tokens-borrowed)
	if now-loan.started <= bank.settings.LoanTerm {
		if receipt, spent := holding.bucket.Spend(now, own); spent {
			return receipt, true, nil
		}
	}
	return Receipt{}, false, loan.returns()
}

// Abandon ends a loan without spending it, and returns what was borrowed.
func (bank *Bank) Abandon(loan *Loan) []PeerReturn {
	holding := bank.find(loan.account)
	if holding == nil {
		return nil
	}
	holding.lock.Lock()
	defer holding.lock.Unlock()
	invariant.Check(!loan.finished, "loan %d of %s is closed twice", loan.id, loan.account)
	loan.finished = true
	return loan.returns()
}

// forgetLoans drops loans so old that their tokens can't come back any more.
func (holding *holding) forgetLoans(now time.Duration) {
	for id, loan := range holding.loans {
		if loan.finished && now-loan.started > receiptLife {
			delete(holding.loans, id)
		}
	}
}

func (loan *Loan) returns() []PeerReturn {
	var returns []PeerReturn
	for peer, tokens := range loan.received {
		if tokens > 0 {
			returns = append(returns, PeerReturn{To: peer, Return: Return{ID: loan.id, Account: loan.account, Tokens: tokens}})
		}
	}
	slices.SortFunc(returns, func(left, right PeerReturn) int { return cmp.Compare(left.To, right.To) })
	return returns
}
