package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/allowance"
)

// The range of priorities that engines accept; 0 is the most urgent.
const (
	highestPriority = 0
	lowestPriority  = 9
)

// The wait for an account's tokens on a node that has only just started. Its peers are heard within about
// half a second.
const (
	settlingWait = time.Second
	// settlingShare is the share of the time until its deadline for which a request waits at most.
	settlingShare = 0.25
	settlingPoll  = 50 * time.Millisecond
)

// resolve determines the request's route, the account of its key and its service.
func (handler *requestHandler) resolve(deployment *mimosatide.Deployment) mimosatide.Refusal {
	request := handler.request
	if request.ID == "" {
		return mimosatide.Refuse(mimosatide.ReasonMalformed, "the request has no id")
	}
	route, found := deployment.Match(request.Host, request.Path)
	if !found {
		return mimosatide.Refuse(mimosatide.ReasonUnknownRoute, "no route matches")
	}
	handler.route = route
	handler.priority = min(max(route.Priority, highestPriority), lowestPriority)
	if account, known := deployment.AccountOfKey[request.Key]; known {
		handler.account = deployment.Accounts[account]
	} else if !route.Open {
		if request.Key == "" {
			return mimosatide.Refuse(mimosatide.ReasonNoKey, "the route needs a key")
		}
		return mimosatide.Refuse(mimosatide.ReasonUnknownKey, "the key is not known")
	}
	if handler.account.HasPriority {
		handler.priority = min(max(handler.account.Priority, highestPriority), lowestPriority)
	}
	name := pickService(route, request.ID)
	handler.service = deployment.Services[name]
	handler.gapObjective = deployment.ShortestEventGap(name)
	handler.triaged = handler.gateway.Triage != nil && deployment.RanksDiffer(name)
	if handler.service.Name == "" {
		return mimosatide.Refuse(mimosatide.ReasonNoCapacity, "the route's service is not configured")
	}
	return mimosatide.Refusal{}
}

// confirmDenial replaces a refusal that is final for the caller by one that asks it to come
// back, if the configuration behind it may be out of date.
func (handler *requestHandler) confirmDenial(refusal mimosatide.Refusal) mimosatide.Refusal {
	switch refusal.Reason {
	case mimosatide.ReasonUnknownRoute, mimosatide.ReasonNoKey, mimosatide.ReasonUnknownKey, mimosatide.ReasonTooLarge:
	default:
		return refusal
	}
	if handler.versionAge <= handler.gateway.MaxDenialAge {
		return refusal
	}
	detail := "the configuration may be out of date; by version " + strconv.FormatInt(handler.version, 10) + ": " + refusal.Detail
	return mimosatide.Refuse(mimosatide.ReasonNotFresh, detail).WithRetryAfter(startupRetryAfter)
}

// pickService splits a route's requests over its services by weight. The choice
// depends only on the request id.
func pickService(route mimosatide.PathRoute, id string) string {
	total := 0.0
	for _, share := range route.Services {
		total += share.Weight
	}
	// The upper 53 bits of the hash, scaled to [0, total).
	point := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * total
	for _, share := range route.Services {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return route.Services[len(route.Services)-1].Service
}

// admit charges the request's tokens to its account. A request without an account is free. On a node
// that has only just started, a request waits for its account's tokens instead of being refused.
func (handler *requestHandler) admit(ctx context.Context) mimosatide.Refusal {
	account := handler.account
	if account.Name == "" {
		return mimosatide.Refusal{}
	}
	tokens := handler.request.Tokens(account.TokensPerCall)
	limit := allowance.Limit{Rate: account.Rate, Burst: account.Burst}
	verdict := handler.gateway.Ledger.Admit(account.Name, limit, tokens, rand.Float64(), time.Now())
	until := handler.arrived.Add(min(settlingWait, time.Duration(float64(handler.deadline.Sub(handler.arrived))*settlingShare)))
	for !verdict.Granted && verdict.Settling && time.Now().Before(until) {
		if !handler.wait(ctx, nil, settlingPoll) {
			return handler.waitRefusal(ctx)
		}
		settling := verdict.Settling
		verdict = handler.gateway.Ledger.Spend(account.Name, limit, tokens, time.Now())
		verdict.Settling = settling
	}
	if !verdict.Granted {
		detail := fmt.Sprintf("%.0f tokens asked, %.0f left of a rate of %.0f and a burst of %.0f; this node's side may spend %.2f of it",
			tokens, verdict.Level, account.Rate, account.Burst, verdict.Fraction)
		return mimosatide.Refuse(mimosatide.ReasonOverRate, detail).WithRetryAfter(verdict.Wait)
	}
	handler.chargedTokens = tokens
	return mimosatide.Refusal{}
}

// refund returns the charged tokens of a request that did not run.
func (handler *requestHandler) refund() {
	if handler.chargedTokens > 0 {
		handler.gateway.Ledger.Refund(handler.account.Name, handler.chargedTokens)
		handler.chargedTokens = 0
	}
}
