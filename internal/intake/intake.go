// Package intake bounds the memory that the requests of callers take in a process, headers and
// bodies together.
//
// Memory is granted as bytes arrive, not as a header announces them. The first bytes of each
// request are free, so that small requests are served although others have used up the budget;
// their memory is bounded by the number of connections. A larger one gets more only while it
// takes no more than half of what the others leave, so that many large requests can't shut out
// smaller ones. A request that is the only one beyond its free bytes may exceed the budget: a
// body of the configured limit is served where nothing competes with it.
//
// # Usage
//
//	budget := intake.NewBudget(16 << 20)
//	hold := budget.NewHold()
//	defer hold.Release()
//	if !hold.Grow(int64(cap(body)) * 2) {
//		return ErrNoMemory
//	}
package intake

import (
	"context"
	"sync"
)

const (
	// FreeBytes is the memory of a request that doesn't count against the budget.
	FreeBytes = 8 << 10
	// fairDivisor is the part of what the other requests leave that one may take.
	fairDivisor = 2
	// loneFactor is how many times the budget a request may take that is the only one.
	loneFactor = 2
)

// Budget is the memory that requests share. It is safe for concurrent use.
type Budget struct {
	size int64
	lock sync.Mutex
	used int64
}

// NewBudget returns a budget of size bytes.
func NewBudget(size int64) *Budget {
	return &Budget{size: size}
}

// Used returns the bytes that requests hold of the budget.
func (budget *Budget) Used() int64 {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	return budget.used
}

// Pressed reports whether more than half of the budget is used.
func (budget *Budget) Pressed() bool {
	return budget.Used() > budget.size/2
}

// NewHold returns a hold without memory. The caller has to call Release.
func (budget *Budget) NewHold() *Hold {
	return &Hold{budget: budget}
}

// holdKey is the key of the hold of a connection's headers in a context.
type holdKey struct{}

// WithHeader returns a context for the requests of a connection whose headers are held by hold.
func WithHeader(ctx context.Context, hold *Hold) context.Context {
	return context.WithValue(ctx, holdKey{}, hold)
}

// NewBodyHold returns a hold without memory for the body of a request with a context from
// WithHeader. The memory of its own header does not count as that of another request. The caller
// has to call Release.
func (budget *Budget) NewBodyHold(ctx context.Context) *Hold {
	header, _ := ctx.Value(holdKey{}).(*Hold)
	return &Hold{budget: budget, header: header}
}

// Hold is the memory of one request. It is not safe for concurrent use.
type Hold struct {
	budget *Budget
	// header is the hold of the request's header, nil if it is not known.
	header *Hold
	// held is what counts against the budget.
	held int64
}

// Grow asks for a total of size bytes, and reports whether the request may have them. If not,
// it keeps what it had. A smaller size than before changes nothing.
func (hold *Hold) Grow(size int64) bool {
	wanted := size - FreeBytes
	if wanted <= hold.held {
		return true
	}
	budget := hold.budget
	budget.lock.Lock()
	defer budget.lock.Unlock()
	others := budget.used - hold.held
	if hold.header != nil {
		others -= hold.header.held
	}
	most := (budget.size - others) / fairDivisor
	if others == 0 {
		most = budget.size * loneFactor
	}
	if wanted > most {
		return false
	}
	budget.used += wanted - hold.held
	hold.held = wanted
	return true
}

// Release gives the memory back. The hold can be used again.
func (hold *Hold) Release() {
	if hold.held == 0 {
		return
	}
	hold.budget.lock.Lock()
	defer hold.budget.lock.Unlock()
	hold.budget.used -= hold.held
	hold.held = 0
}
