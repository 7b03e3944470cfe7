package dispatch

// The shape of a retry budget.
const (
	// RetryRatio is how many retries each request earns.
	RetryRatio = 0.1
	// MaxSavedRetries bounds what a quiet time saves up.
	MaxSavedRetries = 10
)

// RetryBudget lets retries be a fixed part of requests. It is not safe for concurrent use.
type RetryBudget struct {
	saved float64
}

// NewRetryBudget returns a budget with a few retries saved.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{saved: 1}
}

// Earn notes a first try.
func (budget *RetryBudget) Earn() {
	budget.saved = min(MaxSavedRetries, budget.saved+RetryRatio)
}

// CanSpend says whether a retry is left.
func (budget *RetryBudget) CanSpend() bool {
	return budget.saved >= 1
}

// Spend takes one retry.
func (budget *RetryBudget) Spend() bool {
	if !budget.CanSpend() {
		return false
	}
	budget.saved--
	return true
}
