package mimosatide

import "context"

// RowVersion is the version of a table row. Every write increases it; zero means that
// the row is absent.
type RowVersion uint64

// Row is one row of the platform's table service.
type Row struct {
	Key     string
	Value   []byte
	Version RowVersion
}

// Condition requires that a row has the given version when a transaction commits.
type Condition struct {
	Key     string
	Version RowVersion
}

// Write replaces or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is a set of conditional writes that take effect together or not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// CommitOutcome is the result of a transaction.
type CommitOutcome int

// The results of a transaction.
const (
	// CommitUnknown means that the result was lost: the transaction may have taken effect.
	CommitUnknown CommitOutcome = iota
	// CommitDone means that every write took effect.
	CommitDone
	// CommitConflict means that a condition failed and nothing was written.
	CommitConflict
	// CommitRefused means that the table service did not run the transaction.
	CommitRefused
)

// String returns the outcome's name.
func (outcome CommitOutcome) String() string {
	switch outcome {
	case CommitDone:
		return "Done"
	case CommitConflict:
		return "Conflict"
	case CommitRefused:
		return "Refused"
	default:
		return "Unknown"
	}
}

// Table is the platform's transactional table service.
type Table interface {
	// Read returns the rows of the given keys that exist.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns the rows whose keys start with prefix, sorted by key.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies a transaction if all its conditions hold.
	Commit(ctx context.Context, transaction Transaction) CommitOutcome
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// PutObject stores an object under a name.
	PutObject(ctx context.Context, name string, value []byte) error
	// GetObject returns the object with the given name, or an error that is
	// errors.NotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
}
