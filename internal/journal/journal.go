// Package journal keeps a node's recent decisions about requests, placements and
// patches in memory, for the explain command.
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

// Bounds of a journal's memory.
const (
	// DefaultSubjects is the number of subjects that a node's journal keeps.
	DefaultSubjects = 20000
	// maxEntries is the number of entries kept for one subject.
	maxEntries = 64
)

// Field is a named detail of an entry.
type Field struct {
	Name  string
	Value string
}

// Entry is a decision and its reason.
type Entry struct {
	// At is the time of the decision by the node's monotonic clock. It can't be
	// compared with the times of other nodes.
	At     time.Duration
	What   string
	Reason string
	Fields []Field
}

// NewEntry returns an entry without details.
func NewEntry(at time.Duration, what, reason string) Entry {
	return Entry{At: at, What: what, Reason: reason}
}

// With returns a copy with a detail added.
func (entry Entry) With(name, value string) Entry {
	entry.Fields = append(slices.Clone(entry.Fields), Field{Name: name, Value: value})
	return entry
}

// WithNumber returns a copy with a number added as a detail.
func (entry Entry) WithNumber(name string, value uint64) Entry {
	return entry.With(name, strconv.FormatUint(value, 10))
}

// Journal keeps entries by the id of their subject. When it is full, the subject that
// was added first is evicted. It is safe for concurrent use.
type Journal struct {
	lock        sync.Mutex
	maxSubjects int
	subjects    map[string][]Entry
	// order lists the subjects, the oldest first.
	order []string
}

// New returns a journal that keeps at most the given number of subjects.
func New(maxSubjects int) *Journal {
	return &Journal{maxSubjects: maxSubjects, subjects: map[string][]Entry{}}
}

// Add records a decision about a subject. The subject keeps its first
// maxEntries entries; later ones are dropped.
func (journal *Journal) Add(subject string, entry Entry) {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	entries, known := journal.subjects[subject]
	if !known {
		journal.order = append(journal.order, subject)
		journal.evictOldest()
	}
	if len(entries) < maxEntries {
		journal.subjects[subject] = append(entries, entry)
	}
}

func (journal *Journal) evictOldest() {
	if len(journal.order) <= journal.maxSubjects {
		return
	}
	delete(journal.subjects, journal.order[0])
	journal.order = journal.order[1:]
}

// Get returns the decisions about a subject, the oldest first.
func (journal *Journal) Get(subject string) []Entry {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	return slices.Clone(journal.subjects[subject])
}
