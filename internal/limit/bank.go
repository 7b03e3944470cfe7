package limit

import (
	"maps"
	"slices"
	"sync"
	"time"

	"mimosatide.example/mimosatide"
)

// The defaults of the bank's settings.
const (
	DefaultShareCount = 64
	// DefaultLoanTerm bounds the time from a debit at a giver to the spend at the receiver.
	DefaultLoanTerm = 250 * time.Millisecond
	// DefaultRateMargin is the largest error in rate of a host's clock, as a part of one.
	DefaultRateMargin = 0.001
	// receiptLife is how long a giver remembers a debit for a return.
	receiptLife = 5 * time.Second
)

// Settings are the fixed parameters of a Bank.
type Settings struct {
	ShareCount int
	LoanTerm   time.Duration
	RateMargin float64
}

// DefaultSettings returns the settings with every default.
func DefaultSettings() Settings {
	return Settings{ShareCount: DefaultShareCount, LoanTerm: DefaultLoanTerm, RateMargin: DefaultRateMargin}
}

// Bank holds this node's part of every account's tokens. It is safe for concurrent use.
type Bank struct {
	settings Settings

	lock     sync.RWMutex
	held     int
	until    time.Duration
	accounts map[string]*holding
}

// holding is one account's bucket and its dealings with peers.
type holding struct {
	lock     sync.Mutex
	account  mimosatide.Account
	bucket   Bucket
	estimate map[string]estimate
	given    map[loanKey]gift
	loans    map[uint64]*Loan
}

// New returns a bank without shares and without accounts.
func New(settings Settings) *Bank {
	return &Bank{settings: settings, accounts: map[string]*holding{}}
}

// SetShares tells how many shares the node holds until when; new shares start empty.
func (bank *Bank) SetShares(now time.Duration, held int, until time.Duration) {
	bank.lock.Lock()
	defer bank.lock.Unlock()
	before := bank.held
	bank.held = held
	bank.until = until
	for _, holding := range bank.accounts {
		holding.lock.Lock()
		if held == before {
			holding.bucket.Extend(now, until)
		} else {
			bank.resize(now, holding, keptPart(before, held))
		}
		holding.lock.Unlock()
	}
}

// keptPart is the part of a balance that stays when shares are given away.
func keptPart(before, held int) float64 {
	if before == 0 || held >= before {
		return 1
	}
	return float64(held) / float64(before)
}

// SetAccount puts an account's limits in force; a new account starts empty.
func (bank *Bank) SetAccount(now time.Duration, account mimosatide.Account) {
	bank.lock.Lock()
	defer bank.lock.Unlock()
	known, found := bank.accounts[account.Name]
	if !found {
		known = &holding{
			estimate: map[string]estimate{},
			given:    map[loanKey]gift{},
			loans:    map[uint64]*Loan{},
		}
		bank.accounts[account.Name] = known
	}
	known.lock.Lock()
	defer known.lock.Unlock()
	same := found && known.account.Rate == account.Rate && known.account.Burst == account.Burst
	known.account = account
	if !same {
		bank.resize(now, known, 1)
	}
}

// RemoveAccount forgets an account.
func (bank *Bank) RemoveAccount(name string) {
	bank.lock.Lock()
	defer bank.lock.Unlock()
	delete(bank.accounts, name)
}

func (bank *Bank) resize(now time.Duration, holding *holding, kept float64) {
	part := float64(bank.held) / float64(bank.settings.ShareCount)
	rate := holding.account.Rate * (1 - bank.settings.RateMargin) * part
	holding.bucket.Resize(now, rate, bank.FleetCeiling(holding.account)*part, kept, bank.until)
}

// FleetCeiling returns the largest sum of an account's balances over the fleet.
// What a loan may carry in flight is kept free below the burst.
func (bank *Bank) FleetCeiling(account mimosatide.Account) float64 {
	return max(0, account.Burst-account.Rate*bank.settings.LoanTerm.Seconds())
}

func (bank *Bank) find(name string) *holding {
	bank.lock.RLock()
	defer bank.lock.RUnlock()
	return bank.accounts[name]
}

// Spend debits tokens from this node's part.
func (bank *Bank) Spend(now time.Duration, account string, tokens float64) (Receipt, bool) {
	holding := bank.find(account)
	if holding == nil {
		return Receipt{}, false
	}
	holding.lock.Lock()
	defer holding.lock.Unlock()
	return holding.bucket.Spend(now, tokens)
}

// Refund returns the unused part of a debit.
func (bank *Bank) Refund(now time.Duration, account string, receipt Receipt, unused float64) {
	holding := bank.find(account)
	if holding == nil {
		return
	}
	holding.lock.Lock()
	defer holding.lock.Unlock()
	holding.bucket.Refund(now, receipt, unused)
}

// Balance returns this node's balance of an account.
func (bank *Bank) Balance(now time.Duration, account string) float64 {
	holding := bank.find(account)
	if holding == nil {
		return 0
	}
	holding.lock.Lock()
	defer holding.lock.Unlock()
	return holding.bucket.Balance(now)
}

// Accounts returns the names of the known accounts.
func (bank *Bank) Accounts() []string {
	bank.lock.RLock()
	defer bank.lock.RUnlock()
	return slices.Sorted(maps.Keys(bank.accounts))
}
