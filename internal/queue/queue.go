// Package queue orders the requests that wait for one model at one node.
//
// It is a weighted fair queue over client accounts: each account's requests
// run in their order, and the accounts share the model in proportion to their
// weights, counted in tokens. An account that was idle gains no credit, and no
// account with waiting requests is passed over for ever.
//
// # Usage
//
//	waiting := queue.New()
//	waiting.Push(queue.Item{ID: id, Account: "schools", Weight: 4, Tokens: 300})
//	item, found := waiting.Next(blocked)
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
	Weight  float64
	Tokens  float64
}

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue struct {
	flows map[string]*flow
	items map[string]string
	// virtual is the start tag of the request served last.
	virtual float64
}

// flow is the requests of one account in their order.
type flow struct {
	waiting []tagged
	// finish is the finish tag of the request that was pushed last.
	finish float64
}

type tagged struct {
	item  Item
	start float64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{flows: map[string]*flow{}, items: map[string]string{}}
}

// Push adds a request behind the others of its account.
func (queue *Queue) Push(item Item) {
	invariant.Check(item.Weight > 0, "request %s of %s has no weight", item.ID, item.Account)
	_, twice := queue.items[item.ID]
	invariant.Check(!twice, "request %s waits twice", item.ID)
	line, known := queue.flows[item.Account]
	if !known {
		line = &flow{}
		queue.flows[item.Account] = line
	}
	start := max(queue.virtual, line.finish)
	line.finish = start + item.Tokens/item.Weight
	line.waiting = append(line.waiting, tagged{item: item, start: start})
	queue.items[item.ID] = item.Account
}

// PushFront puts a request back that could not run, before the others of its account.
func (queue *Queue) PushFront(item Item) {
	_, twice := queue.items[item.ID]
	invariant.Check(!twice, "request %s waits twice", item.ID)
	line, known := queue.flows[item.Account]
	if !known {
		line = &flow{finish: queue.virtual}
		queue.flows[item.Account] = line
	}
	start := queue.virtual
	if len(line.waiting) > 0 {
		start = min(start, line.waiting[0].start)
	}
	line.waiting = slices.Insert(line.waiting, 0, tagged{item: item, start: start})
	queue.items[item.ID] = item.Account
}

// Next takes out the request that runs next, passing over blocked accounts.
func (queue *Queue) Next(blocked func(account string) bool) (Item, bool) {
	best := ""
	for _, account := range slices.Sorted(maps.Keys(queue.flows)) {
		line := queue.flows[account]
		if len(line.waiting) == 0 || blocked(account) {
			continue
		}
		if best == "" || line.waiting[0].start < queue.flows[best].waiting[0].start {
			best = account
		}
	}
	if best == "" {
		return Item{}, false
	}
	line := queue.flows[best]
	first := line.waiting[0]
	line.waiting = line.waiting[1:]
	queue.virtual = max(queue.virtual, first.start)
	delete(queue.items, first.item.ID)
	queue.forgetIdle(best)
	return first.item, true
}

// Remove takes out a request that no longer waits.
func (queue *Queue) Remove(id string) bool {
	account, found := queue.items[id]
	if !found {
		return false
	}
	line := queue.flows[account]
	line.waiting = slices.DeleteFunc(line.waiting, func(entry tagged) bool { return entry.item.ID == id })
	delete(queue.items, id)
	queue.forgetIdle(account)
	return true
}

// forgetIdle drops an account without requests once its finish tag no longer matters.
func (queue *Queue) forgetIdle(account string) {
	line := queue.flows[account]
	if len(line.waiting) == 0 && line.finish <= queue.virtual {
		delete(queue.flows, account)
	}
}

// Len returns how many requests wait.
func (queue *Queue) Len() int {
	return len(queue.items)
}

// Waiting returns how many requests of an account wait, and their tokens.
func (queue *Queue) Waiting(account string) (int, float64) {
	line, known := queue.flows[account]
	if !known {
		return 0, 0
	}
	tokens := 0.0
	for _, entry := range line.waiting {
		tokens += entry.item.Tokens
	}
	return len(line.waiting), tokens
}

// Accounts returns how many requests of each account wait.
func (queue *Queue) Accounts() map[string]int {
	counts := map[string]int{}
	for account, line := range queue.flows {
		if len(line.waiting) > 0 {
			counts[account] = len(line.waiting)
		}
	}
	return counts
}
