package gateway

import "sync"

// The shares that one node uses of the retry bounds of the whole fleet.
const (
	// retryRatioShare leaves room for the borders of a time window over which requests
	// and retries are counted: the window may contain a retry without its request.
	retryRatioShare = 0.75
	// retrySlackShare is one node's share of the slack; a larger fleet has more slack.
	retrySlackShare = 1.0 / 16
)

// RetryBudget holds a token bucket of retries for each service, which is filled by
// the requests that this node accepts. As each node retries only a share of its own
// requests, the fleet stays within its bounds without communication. It is safe for
// concurrent use.
type RetryBudget struct {
	ratio  float64
	slack  float64
	lock   sync.Mutex
	tokens map[string]float64
}

// NewRetryBudget returns the budget of one node. The bounds are those of the whole
// fleet: ratio is the number of retries per request, slack the number of retries
// allowed on top.
func NewRetryBudget(ratio, slack float64) *RetryBudget {
	return &RetryBudget{
		ratio:  ratio * retryRatioShare,
		slack:  max(slack*retrySlackShare, 1),
		tokens: map[string]float64{},
	}
}

// RecordRequest adds a request's share of a retry to the budget of a service.
func (budget *RetryBudget) RecordRequest(service string) {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	budget.tokens[service] = min(budget.level(service)+budget.ratio, budget.slack)
}

// TakeRetry takes one retry from the budget of a service; false if none is left.
func (budget *RetryBudget) TakeRetry(service string) bool {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	level := budget.level(service)
	if level < 1 {
		return false
	}
	budget.tokens[service] = level - 1
	return true
}

// level returns the tokens of a service; a new bucket is half full.
func (budget *RetryBudget) level(service string) float64 {
	level, found := budget.tokens[service]
	if !found {
		return budget.slack / 2
	}
	return level
}
