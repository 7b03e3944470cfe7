// Package buffer holds answers of targets in memory, all of them within one budget.
//
// A buffer grows with the bytes that have arrived. Its first bytes are free, so that small
// answers always fit; what it takes beyond them counts against the budget until it is
// released. A buffer that would exceed its limit or the budget keeps what it has and
// returns an error, which concerns its own answer only.
//
// Beyond its first bytes a buffer consists of segments of one size. They are not copied when it
// grows, and those of released buffers are kept for the next ones, within a share of the budget.
// Long answers and large events then leave no garbage: with it, a process that is short of processor
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
//	_, err = held.WriteTo(writer)
package buffer

import (
	"io"
	"slices"

	"github.com/juju/errors"
)

const (
	// segmentBytes is the size of a segment. The first one doesn't count against the budget.
	segmentBytes = 16 << 10
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
	length int
	// first holds the first bytes. It doubles up to segmentBytes; rest are full segments but for the
	// last one.
	first []byte
	rest  [][]byte
}

// Len returns the number of bytes that the buffer holds.
func (buffer *Buffer) Len() int {
	return buffer.length
}

// Bytes returns what the buffer holds, until its next change. It copies content of more than one
// segment.
func (buffer *Buffer) Bytes() []byte {
	if len(buffer.rest) == 0 {
		return buffer.first
	}
	return slices.Concat(append([][]byte{buffer.first}, buffer.rest...)...)
}

// WriteTo writes what the buffer holds, which it keeps.
func (buffer *Buffer) WriteTo(writer io.Writer) (int64, error) {
	count, err := writer.Write(buffer.first)
	written := int64(count)
	for _, segment := range buffer.rest {
		if err != nil {
			break
		}
		count, err = writer.Write(segment)
		written += int64(count)
	}
	return written, err
}

// Append adds all of the data, or nothing and returns ErrTooLarge or ErrNoMemory.
func (buffer *Buffer) Append(data []byte) error {
	if buffer.length+len(data) > buffer.limit {
		return errors.Trace(ErrTooLarge)
	}
	before := buffer.length
	for len(data) > 0 {
		open, err := buffer.open(len(data))
		if err != nil {
			buffer.truncate(before)
			return errors.Trace(err)
		}
		count := min(len(data), cap(*open)-len(*open))
		*open = append(*open, data[:count]...)
		buffer.length += count
		data = data[count:]
	}
	return nil
}

// Fill reads until the end of the source. It returns ErrTooLarge or ErrNoMemory if the rest
// does not fit, or the source's error; the buffer then holds what was read until then.
func (buffer *Buffer) Fill(source io.Reader) error {
	for {
		if buffer.length > buffer.limit {
			return errors.Trace(ErrTooLarge)
		}
		open, err := buffer.open(1)
		if err != nil {
			return errors.Trace(err)
		}
		// One byte beyond the limit tells a source that ends there from a longer one.
		room := min(cap(*open)-len(*open), buffer.limit+1-buffer.length)
		count, err := source.Read((*open)[len(*open) : len(*open)+room])
		*open = (*open)[:len(*open)+count]
		buffer.length += count
		if err == io.EOF {
			if buffer.length > buffer.limit {
				return errors.Trace(ErrTooLarge)
			}
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
	}
}

// open returns the segment that holds the next byte; it has room for at least one. wanted is the
// number of bytes that are known to follow.
func (buffer *Buffer) open(wanted int) (*[]byte, error) {
	if count := len(buffer.first); count < segmentBytes {
		if count == cap(buffer.first) {
			buffer.growFirst(count + wanted)
		}
		return &buffer.first, nil
	}
	last := len(buffer.rest) - 1
	if last < 0 || len(buffer.rest[last]) == segmentBytes {
		segment, ok := buffer.budget.take(segmentBytes)
		if !ok {
			return nil, errors.Trace(ErrNoMemory)
		}
		buffer.rest = append(buffer.rest, segment)
		last++
	}
	return &buffer.rest[last], nil
}

// growFirst doubles the first segment until it has room for size bytes, or up to its largest size.
func (buffer *Buffer) growFirst(size int) {
	capacity := max(firstBytes, 2*cap(buffer.first))
	for capacity < size {
		capacity *= 2
	}
	if capacity < segmentBytes {
		buffer.first = append(make([]byte, 0, capacity), buffer.first...)
		return
	}
	// A segment that takes nothing of the budget is always available.
	segment, _ := buffer.budget.take(0)
	buffer.first = append(segment, buffer.first...)
}

// truncate drops what is beyond length bytes, and gives back its segments.
func (buffer *Buffer) truncate(length int) {
	buffer.length = length
	buffer.first = buffer.first[:min(len(buffer.first), length)]
	length -= len(buffer.first)
	needed := (length + segmentBytes - 1) / segmentBytes
	if dropped := buffer.rest[needed:]; len(dropped) > 0 {
		buffer.budget.giveBack(int64(len(dropped))*segmentBytes, dropped...)
		clear(dropped)
	}
	buffer.rest = buffer.rest[:needed]
	if needed > 0 {
		buffer.rest[needed-1] = buffer.rest[needed-1][:length-(needed-1)*segmentBytes]
	}
}

// Reset empties the buffer and gives back what it has taken of the budget.
func (buffer *Buffer) Reset() {
	buffer.truncate(0)
}

// Release empties the buffer and gives back its memory. The buffer can be used again.
func (buffer *Buffer) Release() {
	buffer.truncate(0)
	if cap(buffer.first) == segmentBytes {
		buffer.budget.giveBack(0, buffer.first)
	}
	buffer.first, buffer.rest = nil, nil
}
