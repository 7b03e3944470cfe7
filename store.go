package mimosatide

import (
	"context"
	"time"
)

// RowChange is a row that was written or deleted. A deleted row has no value.
type RowChange struct {
	Row
	Deleted bool
}

// RowBatch holds either all rows of a table as of Version, or the rows that changed up
// to Version. Some of the rows of a whole table may be newer.
type RowBatch struct {
	Rows []RowChange
	// Version is the version after which Changes continues.
	Version RowVersion
	// Complete says that the batch contains every row of the table.
	Complete bool
}

// Progress is called with the number of bytes each time that more of an answer arrives.
type Progress func(bytes int)

// RowFeed reads the tables of a store and their changes.
type RowFeed interface {
	// Snapshot returns all rows of a table.
	Snapshot(ctx context.Context, table string, progress Progress) (RowBatch, error)
	// Changes returns the rows that changed after a version. If there are none, it
	// waits for the first change, but no longer than the given time. It returns
	// ErrHistoryGone if the table has to be read with Snapshot again.
	Changes(ctx context.Context, table string, after RowVersion, wait time.Duration, progress Progress) (RowBatch, error)
}

// ErrHistoryGone is returned when the store no longer has all changes after a version.
const ErrHistoryGone = constantError("table history no longer contains the changes after this version")

// constantError is an error type whose values can be constants.
type constantError string

// Error implements error.
func (err constantError) Error() string {
	return string(err)
}
