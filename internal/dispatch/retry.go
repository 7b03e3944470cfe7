package dispatch

import (
	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/metric"
)

// budget returns the retry budget of a name; the lock is held.
func budget(budgets map[string]*RetryBudget, name string) *RetryBudget {
	known, found := budgets[name]
	if !found {
		known = NewRetryBudget()
		budgets[name] = known
	}
	return known
}

// noteAnswer remembers whether a target answers. That a caller went away says nothing of it.
func (service *Service) noteAnswer(target string, answer mimosatide.Answer) {
	if answer.Failure == mimosatide.CallCancelled {
		return
	}
	service.lock.Lock()
	defer service.lock.Unlock()
	service.health.note(service.clock.Now(), target, answer.Failure == mimosatide.CallSucceeded)
}

func (service *Service) earnRetries(account, target string) {
	service.lock.Lock()
	defer service.lock.Unlock()
	budget(service.accountBudgets, account).Earn()
	budget(service.targetBudgets, target).Earn()
}

// mayRetry takes one retry from the budgets of the account and of the failed target.
func (service *Service) mayRetry(account, target string, reason metric.RetryReason) bool {
	service.lock.Lock()
	defer service.lock.Unlock()
	ofAccount, ofTarget := budget(service.accountBudgets, account), budget(service.targetBudgets, target)
	if !ofAccount.CanSpend() || !ofTarget.CanSpend() {
		return false
	}
	ofAccount.Spend()
	ofTarget.Spend()
	service.meter.CountRetry(reason)
	return true
}
