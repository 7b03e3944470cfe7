package buffer

import (
	"math/bits"
	"sync"
)

const (
	// keptDivisor is the part of the budget that kept arrays may take. It covers the arrays between
	// two events of the streams that run at once, and leaves most of the budget to answers that
	// need arrays of other sizes.
	keptDivisor = 4
	// classes is the number of capacities of kept arrays: two for each power of two.
	classes = 2 * 22
)

// Budget is the memory that buffers share. It is safe for concurrent use.
type Budget struct {
	size int64

	lock sync.Mutex
	used int64
	// kept are the arrays that are not in use, by class; keptBytes is their memory, which counts
	// against the budget.
	kept      [classes][][]byte
	keptBytes int64
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

// Kept returns the bytes of the arrays that are kept for the next buffers.
func (budget *Budget) Kept() int64 {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	return budget.keptBytes
}

// take takes extra bytes of the budget and returns an empty array of the given capacity. It
// returns false, and takes nothing, if the budget does not have that many.
func (budget *Budget) take(extra int64, capacity int) ([]byte, bool) {
	if capacity <= freeBytes {
		return make([]byte, 0, capacity), true
	}
	array, ok := budget.takeKept(extra, capacity)
	if ok && array == nil {
		array = make([]byte, 0, capacity)
	}
	return array, ok
}

// takeKept takes extra bytes of the budget and returns a kept array, nil if there is none of the
// capacity. Kept arrays give way to those in use.
func (budget *Budget) takeKept(extra int64, capacity int) ([]byte, bool) {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	if budget.used+extra > budget.size {
		return nil, false
	}
	budget.used += extra
	var array []byte
	if class, exact := classOf(capacity); exact {
		array = budget.pop(class)
	}
	for class := classes - 1; class >= 0 && budget.used+budget.keptBytes > budget.size; {
		if budget.pop(class) == nil {
			class--
		}
	}
	return array, true
}

// pop removes a kept array of a class and returns it, nil if there is none.
func (budget *Budget) pop(class int) []byte {
	list := budget.kept[class]
	if len(list) == 0 {
		return nil
	}
	last := len(list) - 1
	array := list[last]
	list[last] = nil
	budget.kept[class] = list[:last]
	budget.keptBytes -= int64(cap(array))
	return array
}

// giveBack gives back bytes of the budget and an array, which is kept if there is room.
func (budget *Budget) giveBack(bytes int64, array []byte) {
	if cap(array) <= freeBytes && bytes == 0 {
		return
	}
	class, exact := classOf(cap(array))
	budget.lock.Lock()
	defer budget.lock.Unlock()
	budget.used -= bytes
	after := budget.keptBytes + int64(cap(array))
	if exact && cap(array) > freeBytes && after <= budget.size/keptDivisor && budget.used+after <= budget.size {
		budget.kept[class] = append(budget.kept[class], array[:0])
		budget.keptBytes = after
	}
}

// roundUp returns the capacity of the smallest class that holds size bytes, or size if there is
// none.
func roundUp(size int) int {
	class, exact := classOf(size)
	if exact || class >= classes {
		return size
	}
	return capacityOf(class)
}

// classOf returns the smallest class whose arrays hold size bytes, and whether they hold exactly
// that. A class of classes or more has no arrays.
func classOf(size int) (class int, exact bool) {
	if size > 1 {
		// The class of the next power of two, or the one below it.
		class = 2*bits.Len(uint(size-1)) - 1
		if size <= capacityOf(class-1) {
			class--
		}
	}
	return class, class < classes && capacityOf(class) == size
}

// capacityOf returns the capacity of the arrays of a class: 1, 2, 3, 4, 6, 8, 12, 16 and so on.
func capacityOf(class int) int {
	power := class / 2
	if class%2 == 1 {
		return 2 << power
	}
	return 1<<power + 1<<power/2
}
