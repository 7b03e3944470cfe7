// Package queue orders the requests that wait for one model at one node.
//
// It is a weighted fair queue over client accounts (start-time fair queueing):
// requests of one account run in order of arrival, and the accounts share the
// model in proportion to their weights, measured in tokens. An account gains no
// credit while it is idle, and no account with waiting requests starves.
//
// # Usage
//
//	requests := queue.New()
//	requests.Push(queue.Item{ID: id, Account: "schools", Weight: 4, Tokens: 300})
//	item, found := requests.Next(blocked)
package queue

import (
	"maps"
	"slices"

	"mimosatide.example/mimosatide/internal/invariant"
)

// Item is one waiting request.
type Item struct {
	ID      string
	Account string
	// Weight is the account's relative share of the model; it must be positive.
	Weight float64
	// Tokens is the cost of the request.
	Tokens float64
}

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue struct {
	// flows holds the requests by account.
	flows map[string]*accountFlow
	// accountByID holds the account of each waiting request.
	accountByID map[string]string
	// virtualTime is the largest start tag of the requests served so far.
	virtualTime float64
}

// accountFlow holds the waiting requests of one account in order.
type accountFlow struct {
	entries []entry
	// lastFinish is the finish tag of the request that was pushed last: its start tag
	// plus its tokens divided by the account's weight.
	lastFinish float64
}

// entry is a request with its start tag, the virtual time at which it is due. Among
// the first entries of the accounts, the one with the smallest start tag is served next.
type entry struct {
	item  Item
	start float64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{flows: map[string]*accountFlow{}, accountByID: map[string]string{}}
}

// Push adds a request behind the others of its account. The ID must not be queued yet.
func (queue *Queue) Push(item Item) {
	invariant.Check(item.Weight > 0, "request %s of account %s has no positive weight", item.ID, item.Account)
	_, queued := queue.accountByID[item.ID]
	invariant.Check(!queued, "request %s is already queued", item.ID)
	flow, known := queue.flows[item.Account]
	if !known {
		flow = &accountFlow{}
		queue.flows[item.Account] = flow
	}
	start := max(queue.virtualTime, flow.lastFinish)
	flow.lastFinish = start + item.Tokens/item.Weight
	flow.entries = append(flow.entries, entry{item: item, start: start})
	queue.accountByID[item.ID] = item.Account
}

// PushFront puts a request that Next returned but that could not run back
// ahead of the others of its account.
func (queue *Queue) PushFront(item Item) {
	_, queued := queue.accountByID[item.ID]
	invariant.Check(!queued, "request %s is already queued", item.ID)
	flow, known := queue.flows[item.Account]
	if !known {
		flow = &accountFlow{lastFinish: queue.virtualTime}
		queue.flows[item.Account] = flow
	}
	start := queue.virtualTime
	if len(flow.entries) > 0 {
		start = min(start, flow.entries[0].start)
	}
	flow.entries = slices.Insert(flow.entries, 0, entry{item: item, start: start})
	queue.accountByID[item.ID] = item.Account
}

// Next removes and returns the request to run next, skipping blocked accounts.
// It returns false when no account that is not blocked has a request.
func (queue *Queue) Next(blocked func(account string) bool) (Item, bool) {
	best := ""
	for _, account := range slices.Sorted(maps.Keys(queue.flows)) {
		flow := queue.flows[account]
		if len(flow.entries) == 0 || blocked(account) {
			continue
		}
		if best == "" || flow.entries[0].start < queue.flows[best].entries[0].start {
			best = account
		}
	}
	if best == "" {
		return Item{}, false
	}
	flow := queue.flows[best]
	first := flow.entries[0]
	flow.entries = flow.entries[1:]
	queue.virtualTime = max(queue.virtualTime, first.start)
	delete(queue.accountByID, first.item.ID)
	queue.removeIfIdle(best)
	return first.item, true
}

// Remove removes a request by its ID and reports whether it was queued.
func (queue *Queue) Remove(id string) bool {
	account, found := queue.accountByID[id]
	if !found {
		return false
	}
	flow := queue.flows[account]
	flow.entries = slices.DeleteFunc(flow.entries, func(waiting entry) bool { return waiting.item.ID == id })
	delete(queue.accountByID, id)
	queue.removeIfIdle(account)
	return true
}

// removeIfIdle drops an account without requests once its finish tag has fallen
// behind the virtual time and can no longer affect a start tag.
func (queue *Queue) removeIfIdle(account string) {
	flow := queue.flows[account]
	if len(flow.entries) == 0 && flow.lastFinish <= queue.virtualTime {
		delete(queue.flows, account)
	}
}

// Len returns the number of waiting requests.
func (queue *Queue) Len() int {
	return len(queue.accountByID)
}

// Waiting returns the number of waiting requests of an account and the sum of their tokens.
func (queue *Queue) Waiting(account string) (int, float64) {
	flow, known := queue.flows[account]
	if !known {
		return 0, 0
	}
	tokens := 0.0
	for _, waiting := range flow.entries {
		tokens += waiting.item.Tokens
	}
	return len(flow.entries), tokens
}

// Accounts returns the number of waiting requests by account, without accounts that have none.
func (queue *Queue) Accounts() map[string]int {
	counts := map[string]int{}
	for account, flow := range queue.flows {
		if len(flow.entries) > 0 {
			counts[account] = len(flow.entries)
		}
	}
	return counts
}
