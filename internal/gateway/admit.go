package gateway

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/allowance"
)

// The ranks that engines know.
const (
	mostUrgent  = 0
	leastUrgent = 9
)

// lead finds the request's route, the account of its key and its service.
func (passage *passage) lead(deployment *mimosatide.Deployment) mimosatide.Refusal {
	entry := passage.entry
	if entry.ID == "" {
		return mimosatide.Refuse(mimosatide.ReasonMalformed, "the request has no id")
	}
	route, found := deployment.Match(entry.Host, entry.Path)
	if !found {
		return mimosatide.Refuse(mimosatide.ReasonUnknownRoute, "no route matches")
	}
	passage.route = route
	passage.rank = min(max(route.Priority, mostUrgent), leastUrgent)
	if account, known := deployment.AccountOfKey[entry.Key]; known {
		passage.account = deployment.Accounts[account]
	} else if !route.Open {
		if entry.Key == "" {
			return mimosatide.Refuse(mimosatide.ReasonNoKey, "the route needs a key")
		}
		return mimosatide.Refuse(mimosatide.ReasonUnknownKey, "the key is not known")
	}
	if passage.account.HasPriority {
		passage.rank = min(max(passage.account.Priority, mostUrgent), leastUrgent)
	}
	name := pickService(route, entry.ID)
	passage.service = deployment.Services[name]
	passage.eventGap = deployment.ShortestEventGap(name)
	if passage.service.Name == "" {
		return mimosatide.Refuse(mimosatide.ReasonNoCapacity, "the route's service is not configured")
	}
	return mimosatide.Refusal{}
}

// pickService splits a route's requests over its services by their weights.
func pickService(route mimosatide.PathRoute, id string) string {
	total := 0.0
	for _, share := range route.Services {
		total += share.Weight
	}
	point := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * total
	for _, share := range route.Services {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return route.Services[len(route.Services)-1].Service
}

// admit charges the account.
func (passage *passage) admit() mimosatide.Refusal {
	account := passage.account
	if account.Name == "" {
		return mimosatide.Refusal{}
	}
	tokens := passage.entry.Tokens(account.TokensPerCall)
	limit := allowance.Limit{Rate: account.Rate, Burst: account.Burst}
	verdict := passage.gate.Ledger.Spend(account.Name, limit, tokens, passage.arrived)
	if !verdict.Granted {
		detail := fmt.Sprintf("%.0f tokens asked, %.0f left of a rate of %.0f and a burst of %.0f; this node's side may spend %.2f of it",
			tokens, verdict.Level, account.Rate, account.Burst, verdict.Part)
		return mimosatide.Refuse(mimosatide.ReasonOverRate, detail).WithRetryAfter(verdict.Wait)
	}
	passage.charged = tokens
	return mimosatide.Refusal{}
}

// refund gives back the charge of a request that did not run.
func (passage *passage) refund() {
	if passage.charged > 0 {
		passage.gate.Ledger.Refund(passage.account.Name, passage.charged)
		passage.charged = 0
	}
}
