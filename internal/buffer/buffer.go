// Package buffer holds answers of targets in memory, all of them within one budget.
//
// A buffer grows with the bytes that have arrived. Its first bytes are free, so that small
// answers always fit; what it takes beyond them counts against the budget until it is
// released. A buffer that would exceed its limit or the budget keeps what it has and
// returns an error, which concerns its own answer only.
//
// # Usage
//
//	budget := buffer.NewBudget(16 << 20)
//	held := budget.NewBuffer(1 << 20)
//	defer held.Release()
//	if err := held.Fill(body); errors.Is(err, buffer.ErrNoMemory) {
//		return errors.Trace(err)
//	}
//	_, err = writer.Write(held.Bytes())
package buffer

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// freeBytes is the size of a buffer that doesn't count against the budget.
	freeBytes = 16 << 10
	// firstBytes is the size of a buffer when its first byte arrives.
	firstBytes = 1 << 10
)

var (
	// ErrTooLarge is the error of bytes that exceed the limit of their buffer.
	ErrTooLarge = errors.New("the answer exceeds the limit of its buffer")
	// ErrNoMemory is the error of bytes that don't fit into the budget.
	ErrNoMemory = errors.New("the memory for answers is used up")
)

// Budget is the memory that buffers share. It is safe for concurrent use.
type Budget struct {
	free *semaphore.Weighted
	used atomic.Int64
}

// NewBudget returns a budget of size bytes.
func NewBudget(size int64) *Budget {
	return &Budget{free: semaphore.NewWeighted(size)}
}

// Used returns the bytes that the buffers hold of the budget.
func (budget *Budget) Used() int64 {
	return budget.used.Load()
}

func (budget *Budget) take(size int64) bool {
	if !budget.free.TryAcquire(size) {
		return false
	}
	budget.used.Add(size)
	return true
}

func (budget *Budget) giveBack(size int64) {
	budget.used.Add(-size)
	budget.free.Release(size)
}

// NewBuffer returns an empty buffer for at most limit bytes. The caller has to call Release.
func (budget *Budget) NewBuffer(limit int) *Buffer {
	return &Buffer{budget: budget, limit: limit}
}

// Buffer holds bytes within a budget. It is not safe for concurrent use.
type Buffer struct {
	budget *Budget
	limit  int
	data   []byte
	// taken is what the buffer has taken of the budget, in bytes.
	taken int64
}

// Bytes returns what the buffer holds, until its next change.
func (buffer *Buffer) Bytes() []byte {
	return buffer.data
}

// Append adds all of the data, or nothing and returns ErrTooLarge or ErrNoMemory.
func (buffer *Buffer) Append(data []byte) error {
	needed := len(buffer.data) + len(data)
	if needed > buffer.limit {
		return errors.Trace(ErrTooLarge)
	}
	if err := buffer.grow(needed); err != nil {
		return errors.Trace(err)
	}
	buffer.data = append(buffer.data, data...)
	return nil
}

// Fill reads until the end of the source. It returns ErrTooLarge or ErrNoMemory if the rest
// does not fit, or the source's error; the buffer then holds what was read until then.
func (buffer *Buffer) Fill(source io.Reader) error {
	for {
		if len(buffer.data) > buffer.limit {
			return errors.Trace(ErrTooLarge)
		}
		// One byte beyond the limit tells a source that ends there from a longer one.
		if err := buffer.grow(len(buffer.data) + 1); err != nil {
			return errors.Trace(err)
		}
		count, err := source.Read(buffer.data[len(buffer.data):cap(buffer.data)])
		buffer.data = buffer.data[:len(buffer.data)+count]
		if err == io.EOF {
			if len(buffer.data) > buffer.limit {
				return errors.Trace(ErrTooLarge)
			}
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
	}
}

// grow makes room for size bytes, and doubles the buffer if it has to grow.
func (buffer *Buffer) grow(size int) error {
	if size <= cap(buffer.data) {
		return nil
	}
	capacity := max(firstBytes, cap(buffer.data))
	for capacity < size {
		capacity *= 2
	}
	capacity = max(size, min(capacity, buffer.limit+1))
	if extra := int64(capacity-freeBytes) - buffer.taken; extra > 0 {
		if !buffer.budget.take(extra) {
			return errors.Trace(ErrNoMemory)
		}
		buffer.taken += extra
	}
	grown := make([]byte, len(buffer.data), capacity)
	copy(grown, buffer.data)
	buffer.data = grown
	return nil
}

// Reset empties the buffer and gives back what it has taken of the budget.
func (buffer *Buffer) Reset() {
	if buffer.taken > 0 {
		buffer.Release()
		return
	}
	buffer.data = buffer.data[:0]
}

// Release empties the buffer and gives back its memory. The buffer can be used again.
func (buffer *Buffer) Release() {
	buffer.data = nil
	buffer.budget.giveBack(buffer.taken)
	buffer.taken = 0
}
