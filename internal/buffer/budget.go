package buffer

import "sync"

// keptDivisor is the part of the budget that free segments may take. It covers those between two
// events of the streams that run at once.
const keptDivisor = 4

// Budget is the memory that buffers share. It is safe for concurrent use.
type Budget struct {
	size int64

	lock sync.Mutex
	used int64
	// kept are the segments that are not in use. They count against the budget.
	kept [][]byte
}

// NewBudget returns a budget of size bytes.
func NewBudget(size int64) *Budget {
	return &Budget{size: size}
}

// Used returns the bytes that the buffers hold of the budget.
func (budget *Budget) Used() int64 {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	return budget.used
}

// Kept returns the bytes of the segments that are kept for the next buffers.
func (budget *Budget) Kept() int64 {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	return int64(len(budget.kept)) * segmentBytes
}

// take returns an empty segment that counts the given bytes against the budget. It returns false if
// the budget does not have that many.
func (budget *Budget) take(bytes int64) ([]byte, bool) {
	segment, ok := budget.takeKept(bytes)
	if ok && segment == nil {
		segment = make([]byte, 0, segmentBytes)
	}
	return segment, ok
}

// takeKept is take without a new segment: it returns nil if none is kept.
func (budget *Budget) takeKept(bytes int64) ([]byte, bool) {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	if budget.used+bytes > budget.size {
		return nil, false
	}
	budget.used += bytes
	last := len(budget.kept) - 1
	if last < 0 {
		return nil, true
	}
	segment := budget.kept[last]
	budget.kept[last] = nil
	budget.kept = budget.kept[:last]
	return segment, true
}

// giveBack gives back the bytes that segments count against the budget, and the segments, which are
// kept if there is room.
func (budget *Budget) giveBack(bytes int64, segments ...[]byte) {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	budget.used -= bytes
	for _, segment := range segments {
		kept := int64(len(budget.kept)+1) * segmentBytes
		if kept > budget.size/keptDivisor || budget.used+kept > budget.size {
			return
		}
		budget.kept = append(budget.kept, segment[:0])
	}
}
