// Package buffer holds answers of targets in memory, all of them within one budget.
//
// A buffer grows with the bytes that have arrived. Its first bytes are free, so that small
// answers always fit; what it takes beyond them counts against the budget until it is
// released. A buffer that would exceed its limit or the budget keeps what it has and
// returns an error, which concerns its own answer only.
//
// The arrays of released buffers are kept for the next ones, within a share of the budget. The
// events of a stream are then read without garbage: with it, a process that is short of processor
// time exceeds its memory, because its garbage collector falls behind.
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

	"github.com/juju/errors"
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
	// expected is the length of the content before the last Reset, in bytes.
	expected int
}

// Bytes returns what the buffer holds, until its next change. Its memory is then used again.
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

// grow makes room for size bytes. The first array of new content has room for as many bytes as
// the content before it had, if the budget allows that; otherwise the capacity doubles.
func (buffer *Buffer) grow(size int) error {
	if size <= cap(buffer.data) {
		return nil
	}
	least := buffer.bounded(size, max(size, 2*cap(buffer.data), firstBytes))
	if wanted := buffer.bounded(size, buffer.expected); buffer.taken == 0 && wanted > least && buffer.replace(wanted) {
		return nil
	}
	if !buffer.replace(least) {
		return errors.Trace(ErrNoMemory)
	}
	return nil
}

// bounded returns the capacity of an array for size bytes, preferably for wanted bytes.
func (buffer *Buffer) bounded(size, wanted int) int {
	return max(size, min(roundUp(wanted), buffer.limit+1))
}

// replace moves the content to an array of the given capacity, and reports whether the budget
// allows it.
func (buffer *Buffer) replace(capacity int) bool {
	extra := max(0, int64(capacity-freeBytes)-buffer.taken)
	array, ok := buffer.budget.take(extra, capacity)
	if !ok {
		return false
	}
	old := buffer.data
	buffer.data = append(array, old...)
	buffer.budget.giveBack(0, old)
	buffer.taken += extra
	return true
}

// Reset empties the buffer and gives back what it has taken of the budget. The next content is
// expected to be about as long.
func (buffer *Buffer) Reset() {
	buffer.expected = len(buffer.data)
	if buffer.taken > 0 {
		buffer.Release()
		return
	}
	buffer.data = buffer.data[:0]
}

// Release empties the buffer and gives back its memory. The buffer can be used again.
func (buffer *Buffer) Release() {
	buffer.budget.giveBack(buffer.taken, buffer.data)
	buffer.data = nil
	buffer.taken = 0
}
