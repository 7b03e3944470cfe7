package dispatch

import (
	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/metric"
)

// budgetFor returns the retry budget of an account or a target. The caller must hold service.lock.
func budgetFor(budgets map[string]*RetryBudget, name string) *RetryBudget {
	known, found := budgets[name]
	if !found {
		known = NewRetryBudget()
		budgets[name] = known
	}
	return known
}

// recordAnswer records in the target's health whether a call succeeded. A call
// that the caller cancelled says nothing about the target and is ignored.
func (service *Service) recordAnswer(target string, answer mimosatide.Answer) {
	if answer.Failure == mimosatide.CallCancelled {
		return
	}
	service.lock.Lock()
	defer service.lock.Unlock()
	service.health.record(service.clock.Now(), target, answer.Failure == mimosatide.CallSucceeded)
}

// earnRetries credits the retry budgets of the account and of the target.
func (service *Service) earnRetries(account, target string) {
	service.lock.Lock()
	defer service.lock.Unlock()
	budgetFor(service.accountBudgets, account).Earn()
	budgetFor(service.targetBudgets, target).Earn()
}

// mayRetry debits one retry from the budgets of the account and of the failed
// target. It returns false and debits nothing when either allows none.
func (service *Service) mayRetry(account, target string, reason metric.RetryReason) bool {
	service.lock.Lock()
	defer service.lock.Unlock()
	accountBudget, targetBudget := budgetFor(service.accountBudgets, account), budgetFor(service.targetBudgets, target)
	if !accountBudget.CanSpend() || !targetBudget.CanSpend() {
		return false
	}
	accountBudget.Spend()
	targetBudget.Spend()
	service.meter.CountRetry(reason)
	return true
}
