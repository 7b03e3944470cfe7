// Package journal keeps the recent decisions about requests, placements and
// patches, so that a node can explain them.
//
// # Usage
//
//	journal.Add(requestID, journal.NewEntry(now, "Refused", "the rate is used up").With("Account", "schools"))
//	entries := journal.Get(requestID)
package journal

import (
	"slices"
	"strconv"
	"sync"
	"time"
)

// The bounds of a journal's memory.
const (
	DefaultSubjects = 20000
	maxEntries      = 64
)

// Field is one detail of an entry.
type Field struct {
	Name  string
	Value string
}

// Entry is one decision.
type Entry struct {
	// At is the node's own clock, which other nodes don't share.
	At     time.Duration
	What   string
	Reason string
	Fields []Field
}

// NewEntry returns an entry without details.
func NewEntry(at time.Duration, what, reason string) Entry {
	return Entry{At: at, What: what, Reason: reason}
}

// With returns a copy with one more detail.
func (entry Entry) With(name, value string) Entry {
	entry.Fields = append(slices.Clone(entry.Fields), Field{Name: name, Value: value})
	return entry
}

// WithNumber returns a copy with a number as one more detail.
func (entry Entry) WithNumber(name string, value uint64) Entry {
	return entry.With(name, strconv.FormatUint(value, 10))
}

// Journal keeps entries by the id of their subject; the oldest subjects are forgotten first.
type Journal struct {
	lock     sync.Mutex
	limit    int
	subjects map[string][]Entry
	order    []string
}

// New returns a journal that keeps at most the given number of subjects.
func New(limit int) *Journal {
	return &Journal{limit: limit, subjects: map[string][]Entry{}}
}

// Add notes a decision about a subject.
func (journal *Journal) Add(subject string, entry Entry) {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	entries, known := journal.subjects[subject]
	if !known {
		journal.order = append(journal.order, subject)
		journal.forgetOldest()
	}
	if len(entries) < maxEntries {
		journal.subjects[subject] = append(entries, entry)
	}
}

func (journal *Journal) forgetOldest() {
	if len(journal.order) <= journal.limit {
		return
	}
	delete(journal.subjects, journal.order[0])
	journal.order = journal.order[1:]
}

// Get returns the decisions about a subject, in their order.
func (journal *Journal) Get(subject string) []Entry {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	return slices.Clone(journal.subjects[subject])
}
