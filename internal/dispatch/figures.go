package dispatch

import (
	"time"

	"mimosatide.example/mimosatide/internal/journal"
)

// Served sums up what one account got at this node.
type Served struct {
	Requests int
	Refused  int
	Tokens   float64
	Wait     time.Duration
}

// record notes a request's result in the figures.
func (service *Service) record(request Request, result Result) {
	service.lock.Lock()
	served, known := service.served[request.Account.Name]
	if !known {
		served = &Served{}
		service.served[request.Account.Name] = served
	}
	if result.Refusal.Refused() {
		served.Refused++
	} else {
		served.Requests++
		served.Tokens += result.Tokens
	}
	service.lock.Unlock()
	if result.Refusal.Refused() {
		service.meter.CountRefusal(result.Refusal.Reason)
		service.explain(request, "Refused", string(result.Refusal.Reason)+": "+result.Refusal.Detail)
		service.log.Info("request refused", "request", request.ID, "account", request.Account.Name,
			"reason", string(result.Refusal.Reason), "run", string(result.Refusal.Run), "detail", result.Refusal.Detail)
		return
	}
	service.meter.CountServed(request.Account.Name, result.Tokens)
	service.explain(request, "Served", "")
	service.log.Info("request served", "request", request.ID, "account", request.Account.Name,
		"status", result.Answer.Status, "tokens", result.Tokens, "took", service.clock.Now()-request.Arrived)
}

func (service *Service) noteWait(request Request, wait time.Duration) {
	service.meter.ObserveQueueWait(request.Account.Name, wait)
	service.lock.Lock()
	defer service.lock.Unlock()
	if served, known := service.served[request.Account.Name]; known {
		served.Wait += wait
		return
	}
	service.served[request.Account.Name] = &Served{Wait: wait}
}

func (service *Service) explain(request Request, what, reason string, fields ...string) {
	entry := journal.NewEntry(service.clock.Now(), what, reason).
		With("Account", request.Account.Name).
		WithNumber("Version", uint64(service.store.View().Version))
	for index := 0; index+1 < len(fields); index += 2 {
		entry = entry.With(fields[index], fields[index+1])
	}
	service.journal.Add(request.ID, entry)
}

// AccountShares returns what each account got at this node.
func (service *Service) AccountShares() map[string]Served {
	service.lock.Lock()
	defer service.lock.Unlock()
	shares := map[string]Served{}
	for name, served := range service.served {
		shares[name] = *served
	}
	return shares
}

// Waiting returns how many requests of each account wait, by model.
func (service *Service) Waiting() map[string]map[string]int {
	service.lock.Lock()
	defer service.lock.Unlock()
	waiting := map[string]map[string]int{}
	for model, line := range service.lines {
		if line.waiting.Len() > 0 {
			waiting[model] = line.waiting.Accounts()
		}
	}
	return waiting
}
