package mimosatide

import (
	"context"
	"strconv"

	"github.com/juju/errors"
)

// RowVersion is the version of a table row. Every write increases it; zero means that
// the row is absent. A store that was restored from an older copy gives out lower numbers
// again, in a higher era: a version of a later era is the higher one.
type RowVersion uint64

// numberBits is the number of bits of a version that hold its number; the others hold its era.
const numberBits = 48

// NewRowVersion returns the version with a number in an era of the store. It returns an
// error if either is too large.
func NewRowVersion(era, number uint64) (RowVersion, error) {
	if era >= 1<<(64-numberBits) || number >= 1<<numberBits {
		return 0, errors.NotValidf("version %d in era %d of the store", number, era)
	}
	return RowVersion(era<<numberBits | number), nil
}

// Era returns how often the store had been restored, as the store counts it.
func (version RowVersion) Era() uint64 {
	return uint64(version) >> numberBits
}

// Number returns the version's number in its era.
func (version RowVersion) Number() uint64 {
	return uint64(version) & (1<<numberBits - 1)
}

// String returns the number, and the era before it unless that is zero.
func (version RowVersion) String() string {
	if version.Era() == 0 {
		return strconv.FormatUint(version.Number(), 10)
	}
	return strconv.FormatUint(version.Era(), 10) + "/" + strconv.FormatUint(version.Number(), 10)
}

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
