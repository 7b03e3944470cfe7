package dispatch

// The parameters of a retry budget.
const (
	// RetryRatio is the number of retries that each request adds to the budget.
	RetryRatio = 0.1
	// MaxRetryBalance bounds the retries that accumulate while few are needed.
	MaxRetryBalance = 10
)

// RetryBudget limits retries to a fixed ratio of requests. It is not safe for concurrent use.
type RetryBudget struct {
	balance float64
}

// NewRetryBudget returns a budget that allows one retry at first.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{balance: 1}
}

// Earn credits the budget for the first attempt of a request.
func (budget *RetryBudget) Earn() {
	budget.balance = min(MaxRetryBalance, budget.balance+RetryRatio)
}

// CanSpend reports whether the budget allows a retry.
func (budget *RetryBudget) CanSpend() bool {
	return budget.balance >= 1
}

// Spend debits one retry and reports whether the budget allowed it.
func (budget *RetryBudget) Spend() bool {
	if !budget.CanSpend() {
		return false
	}
	budget.balance--
	return true
}
