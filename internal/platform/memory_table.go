package platform

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// MemoryTable is an in-memory mimosatide.Table for the stand-in and for tests. It is
// safe for concurrent use.
type MemoryTable struct {
	lock sync.Mutex
	rows map[string]mimosatide.Row
	// versions holds the version of the latest write of each key. Deleted keys stay in
	// it, so that a version isn't used again if the row is created anew.
	versions map[string]mimosatide.RowVersion
	reads    uint64
	writes   uint64
}

// NewMemoryTable returns an empty table.
func NewMemoryTable() *MemoryTable {
	return &MemoryTable{rows: map[string]mimosatide.Row{}, versions: map[string]mimosatide.RowVersion{}}
}

// Read returns the rows of the given keys that exist.
func (table *MemoryTable) Read(_ context.Context, keys ...string) ([]mimosatide.Row, error) {
	table.lock.Lock()
	defer table.lock.Unlock()
	var rows []mimosatide.Row
	for _, key := range keys {
		table.reads++
		if row, found := table.rows[key]; found {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan returns the rows whose keys start with prefix, in the order of their keys.
func (table *MemoryTable) Scan(_ context.Context, prefix string) ([]mimosatide.Row, error) {
	table.lock.Lock()
	defer table.lock.Unlock()
	var rows []mimosatide.Row
	for key, row := range table.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	table.reads += uint64(max(1, len(rows)))
	slices.SortFunc(rows, func(left, right mimosatide.Row) int { return strings.Compare(left.Key, right.Key) })
	return rows, nil
}

// Commit applies a transaction.
func (table *MemoryTable) Commit(_ context.Context, transaction mimosatide.Transaction) mimosatide.CommitOutcome {
	table.lock.Lock()
	defer table.lock.Unlock()
	for _, condition := range transaction.Conditions {
		if table.rows[condition.Key].Version != condition.Version {
			return mimosatide.CommitConflict
		}
	}
	for _, write := range transaction.Writes {
		table.write(write)
	}
	return mimosatide.CommitDone
}

func (table *MemoryTable) write(write mimosatide.Write) {
	table.writes++
	if write.Delete {
		delete(table.rows, write.Key)
		return
	}
	table.versions[write.Key]++
	table.rows[write.Key] = mimosatide.Row{
		Key:     write.Key,
		Value:   slices.Clone(write.Value),
		Version: table.versions[write.Key],
	}
}

// Counts returns the number of rows read and written so far. A read of a missing row
// and a scan without rows count as one row read.
func (table *MemoryTable) Counts() (reads, writes uint64) {
	table.lock.Lock()
	defer table.lock.Unlock()
	return table.reads, table.writes
}

// MemoryObjects is an in-memory mimosatide.ObjectStore for the stand-in and for tests.
// It is safe for concurrent use.
type MemoryObjects struct {
	lock    sync.Mutex
	objects map[string][]byte
}

// NewMemoryObjects returns an empty object store.
func NewMemoryObjects() *MemoryObjects {
	return &MemoryObjects{objects: map[string][]byte{}}
}

// PutObject stores an object under a name.
func (store *MemoryObjects) PutObject(_ context.Context, name string, value []byte) error {
	store.lock.Lock()
	defer store.lock.Unlock()
	store.objects[name] = slices.Clone(value)
	return nil
}

// GetObject returns the object of a name, or a not-found error.
func (store *MemoryObjects) GetObject(_ context.Context, name string) ([]byte, error) {
	store.lock.Lock()
	defer store.lock.Unlock()
	value, found := store.objects[name]
	if !found {
		return nil, errors.NotFoundf("object %q", name)
	}
	return slices.Clone(value), nil
}
