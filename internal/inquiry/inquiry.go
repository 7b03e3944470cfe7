// Package inquiry matches the answers of other nodes with the questions that this one has asked them.
//
// # Usage
//
//	open := inquiry.New[bool]()
//	answer, answered := open.Ask(ctx, 250*time.Millisecond, func(number uint64) { send(number) })
//
// When an answer arrives:
//
//	open.Deliver(message.Number, message.Given)
package inquiry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Open holds the questions without an answer. It is safe for concurrent use.
type Open[Answer any] struct {
	lock sync.Mutex
	// number is that of the last question. The first is random, so that the numbers differ
	// from those of an earlier process of the node, whose answers may still arrive.
	number uint64
	// answers holds, by the number of its question, where each answer is awaited.
	answers map[uint64]chan Answer
}

// New returns an Open without questions.
func New[Answer any]() *Open[Answer] {
	return &Open[Answer]{number: rand.Uint64(), answers: map[uint64]chan Answer{}}
}

// Ask sends a question and returns its answer; false if there is none after patience or at the end of ctx.
func (open *Open[Answer]) Ask(ctx context.Context, patience time.Duration, send func(number uint64)) (Answer, bool) {
	answer := make(chan Answer, 1)
	open.lock.Lock()
	open.number++
	number := open.number
	open.answers[number] = answer
	open.lock.Unlock()
	defer func() {
		open.lock.Lock()
		defer open.lock.Unlock()
		delete(open.answers, number)
	}()
	send(number)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case answered := <-answer:
		return answered, true
	case <-ctx.Done():
	case <-timer.C:
	}
	var none Answer
	return none, false
}

// Deliver takes the answer to a question.
func (open *Open[Answer]) Deliver(number uint64, answered Answer) {
	open.lock.Lock()
	defer open.lock.Unlock()
	if answer, found := open.answers[number]; found {
		// Its buffer holds the only answer.
		answer <- answered
		delete(open.answers, number)
	}
}
