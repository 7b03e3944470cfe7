package limit

import (
	"maps"
	"slices"
	"sync"
	"time"

	"mimosatide.example/mimosatide"
)

// The defaults of the limiter's settings.
const (
	// DefaultShareCount is the number of shares into which each account's rate and
	// burst are split; it equals fleet.DefaultShareCount.
	DefaultShareCount = 64
	// DefaultLoanTerm bounds the time from a lender's debit to the borrower's spend.
	DefaultLoanTerm = 250 * time.Millisecond
	// DefaultRateMargin is the largest relative error of the rate of a host's clock.
	DefaultRateMargin = 0.001
	// loanRetention is how long a lender remembers a debit for a possible return, and
	// how long a borrower remembers a finished loan.
	loanRetention = 5 * time.Second
)

// Settings are the fixed parameters of a Limiter.
type Settings struct {
	ShareCount int
	LoanTerm   time.Duration
	// RateMargin is the fraction by which every rate is lowered to allow for fast clocks.
	RateMargin float64
}

// DefaultSettings returns the settings with every default.
func DefaultSettings() Settings {
	return Settings{ShareCount: DefaultShareCount, LoanTerm: DefaultLoanTerm, RateMargin: DefaultRateMargin}
}

// Limiter holds this node's token buckets of all accounts. It is safe for concurrent use.
type Limiter struct {
	settings Settings

	lock sync.RWMutex
	// heldShares is the number of shares that this node holds until validUntil.
	heldShares int
	validUntil time.Duration
	accounts   map[string]*accountState
}

// accountState is an account's bucket with its loans from and to peers.
type accountState struct {
	lock    sync.Mutex
	account mimosatide.Account
	bucket  Bucket
	// peerBalances holds the last known balances by peer.
	peerBalances map[string]peerBalance
	// lent holds the debits for loans to peers.
	lent map[loanKey]lending
	// loans holds the loans from peers by id.
	loans map[uint64]*Loan
}

// New returns a limiter without shares and without accounts.
func New(settings Settings) *Limiter {
	return &Limiter{settings: settings, accounts: map[string]*accountState{}}
}

// SetShares sets the number of shares that the node holds until validUntil.
// Buckets that grow keep their balance, so new shares start empty.
func (limiter *Limiter) SetShares(now time.Duration, held int, validUntil time.Duration) {
	limiter.lock.Lock()
	defer limiter.lock.Unlock()
	before := limiter.heldShares
	limiter.heldShares = held
	limiter.validUntil = validUntil
	for _, state := range limiter.accounts {
		state.lock.Lock()
		if held == before {
			state.bucket.Extend(now, validUntil)
		} else {
			limiter.resize(now, state, keptFraction(before, held))
		}
		state.lock.Unlock()
	}
}

// keptFraction returns the fraction of a balance that is kept when the number of shares changes.
func keptFraction(before, held int) float64 {
	if before == 0 || held >= before {
		return 1
	}
	return float64(held) / float64(before)
}

// SetAccount applies an account's limits; the bucket of a new account starts empty.
func (limiter *Limiter) SetAccount(now time.Duration, account mimosatide.Account) {
	limiter.lock.Lock()
	defer limiter.lock.Unlock()
	state, found := limiter.accounts[account.Name]
	if !found {
		state = &accountState{
			peerBalances: map[string]peerBalance{},
			lent:         map[loanKey]lending{},
			loans:        map[uint64]*Loan{},
		}
		limiter.accounts[account.Name] = state
	}
	state.lock.Lock()
	defer state.lock.Unlock()
	same := found && state.account.Rate == account.Rate && state.account.Burst == account.Burst
	state.account = account
	if !same {
		limiter.resize(now, state, 1)
	}
}

// RemoveAccount removes an account with its bucket and loans.
func (limiter *Limiter) RemoveAccount(name string) {
	limiter.lock.Lock()
	defer limiter.lock.Unlock()
	delete(limiter.accounts, name)
}

func (limiter *Limiter) resize(now time.Duration, state *accountState, keptFraction float64) {
	fraction := float64(limiter.heldShares) / float64(limiter.settings.ShareCount)
	rate := state.account.Rate * (1 - limiter.settings.RateMargin) * fraction
	state.bucket.Resize(now, rate, limiter.FleetCeiling(state.account)*fraction, keptFraction, limiter.validUntil)
}

// FleetCeiling returns the largest sum of an account's balances over the fleet, in
// tokens. It is below the burst by what accrues within one loan term, since
// borrowed tokens in flight are in no bucket.
func (limiter *Limiter) FleetCeiling(account mimosatide.Account) float64 {
	return max(0, account.Burst-account.Rate*limiter.settings.LoanTerm.Seconds())
}

func (limiter *Limiter) find(name string) *accountState {
	limiter.lock.RLock()
	defer limiter.lock.RUnlock()
	return limiter.accounts[name]
}

// Spend debits tokens from this node's bucket if its balance covers all of them.
// It grants nothing to unknown accounts.
func (limiter *Limiter) Spend(now time.Duration, account string, tokens float64) (Receipt, bool) {
	state := limiter.find(account)
	if state == nil {
		return Receipt{}, false
	}
	state.lock.Lock()
	defer state.lock.Unlock()
	return state.bucket.Spend(now, tokens)
}

// Refund credits the unused tokens of a debit.
func (limiter *Limiter) Refund(now time.Duration, account string, receipt Receipt, unused float64) {
	state := limiter.find(account)
	if state == nil {
		return
	}
	state.lock.Lock()
	defer state.lock.Unlock()
	state.bucket.Refund(now, receipt, unused)
}

// Balance returns the balance of an account at this node, in tokens.
func (limiter *Limiter) Balance(now time.Duration, account string) float64 {
	state := limiter.find(account)
	if state == nil {
		return 0
	}
	state.lock.Lock()
	defer state.lock.Unlock()
	return state.bucket.Balance(now)
}

// Accounts returns the names of the known accounts, sorted.
func (limiter *Limiter) Accounts() []string {
	limiter.lock.RLock()
	defer limiter.lock.RUnlock()
	return slices.Sorted(maps.Keys(limiter.accounts))
}
