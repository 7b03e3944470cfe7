package gateway

import "sync"

// The shares that one node uses of the retry bounds of the whole fleet.
const (
	// retryRatioShare leaves room for the borders of a time window over which requests
	// and retries are counted: the window may contain a retry without its request.
	retryRatioShare = 0.75
	// retrySlackShare is the part of the slack that all nodes use together: a node that restarts
	// has its part anew.
	retrySlackShare = 0.5
	// minBudgetHosts is the least number of nodes that the slack is shared among: after a start
	// a node doesn't know all others.
	minBudgetHosts = 8
)

// RetryBudget holds a token bucket of retries for each service, which is filled by
// the requests that this node accepts. As each node retries only a share of its own
// requests, the fleet stays within its bounds without communication. It is safe for
// concurrent use.
type RetryBudget struct {
	ratio float64
	// fleetSlack is what all nodes use of the slack, slack this node's part of it.
	fleetSlack float64
	lock       sync.Mutex
	slack      float64
	tokens     map[string]float64
}

// NewRetryBudget returns the budget of one node. The bounds are those of the whole
// fleet: ratio is the number of retries per request, slack the number of retries
// allowed on top.
func NewRetryBudget(ratio, slack float64) *RetryBudget {
	budget := &RetryBudget{ratio: ratio * retryRatioShare, fleetSlack: slack * retrySlackShare, tokens: map[string]float64{}}
	budget.SetHosts(minBudgetHosts)
	return budget
}

// SetHosts sets the number of nodes that share the slack. A node has at least one retry.
func (budget *RetryBudget) SetHosts(hosts int) {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	budget.slack = max(budget.fleetSlack/float64(max(hosts, minBudgetHosts)), 1)
	for service, tokens := range budget.tokens {
		budget.tokens[service] = min(tokens, budget.slack)
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
