package dispatch

import (
	"time"

	"mimosatide.example/mimosatide/internal/journal"
)

// AccountStats are the totals of one account at this node since the process started.
type AccountStats struct {
	// Served and Refused count requests.
	Served  int
	Refused int
	// Tokens is the cost of the served requests.
	Tokens float64
	// Wait is the sum of the waiting times until the first send.
	Wait time.Duration
}

// recordResult records a request's result in the statistics, metrics, journal and log.
func (service *Service) recordResult(request Request, result Result) {
	service.lock.Lock()
	stats, known := service.accountStats[request.Account.Name]
	if !known {
		stats = &AccountStats{}
		service.accountStats[request.Account.Name] = stats
	}
	if result.Refusal.Refused() {
		stats.Refused++
	} else {
		stats.Served++
		stats.Tokens += result.Tokens
	}
	service.lock.Unlock()
	if result.Refusal.Refused() {
		service.meter.CountRefusal(result.Refusal.Reason)
		service.journalDecision(request, "Refused", string(result.Refusal.Reason)+": "+result.Refusal.Detail)
		service.log.Info("request refused", "request", request.ID, "account", request.Account.Name,
			"reason", string(result.Refusal.Reason), "run", string(result.Refusal.Run), "detail", result.Refusal.Detail)
		return
	}
	service.meter.CountServed(request.Account.Name, result.Tokens)
	service.journalDecision(request, "Served", "")
	service.log.Info("request served", "request", request.ID, "account", request.Account.Name,
		"status", result.Answer.Status, "tokens", result.Tokens, "took", service.clock.Now()-request.Arrived)
}

// recordWait records how long a request waited until it was first granted.
func (service *Service) recordWait(request Request, wait time.Duration) {
	service.meter.ObserveQueueWait(request.Account.Name, wait)
	service.lock.Lock()
	defer service.lock.Unlock()
	if stats, known := service.accountStats[request.Account.Name]; known {
		stats.Wait += wait
		return
	}
	service.accountStats[request.Account.Name] = &AccountStats{Wait: wait}
}

// journalDecision adds an entry to the request's journal. The fields are pairs of
// name and value.
func (service *Service) journalDecision(request Request, what, reason string, fields ...string) {
	entry := journal.NewEntry(service.clock.Now(), what, reason).
		With("Account", request.Account.Name).
		WithNumber("Version", uint64(service.store.View().Version))
	for index := 0; index+1 < len(fields); index += 2 {
		entry = entry.With(fields[index], fields[index+1])
	}
	service.journal.Add(request.ID, entry)
}

// AccountStats returns the statistics by account.
func (service *Service) AccountStats() map[string]AccountStats {
	service.lock.Lock()
	defer service.lock.Unlock()
	copied := map[string]AccountStats{}
	for name, stats := range service.accountStats {
		copied[name] = *stats
	}
	return copied
}

// Waiting returns the number of waiting requests by model and account.
func (service *Service) Waiting() map[string]map[string]int {
	service.lock.Lock()
	defer service.lock.Unlock()
	waiting := map[string]map[string]int{}
	for model, modelQueue := range service.modelQueues {
		if modelQueue.pending.Len() > 0 {
			waiting[model] = modelQueue.pending.Accounts()
		}
	}
	return waiting
}
