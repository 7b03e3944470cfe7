package mimosatide

import (
	"context"
	"time"
)

// RowChange is a row that was written or deleted.
type RowChange struct {
	Row
	Deleted bool
}

// RowBatch is a set of rows as of one version of a table.
type RowBatch struct {
	Rows    []RowChange
	Version RowVersion
	// Complete says that the batch holds every row of the table.
	Complete bool
}

// RowFeed follows the changes of a table.
type RowFeed interface {
	// Snapshot returns all rows of a table.
	Snapshot(ctx context.Context, table string) (RowBatch, error)
	// Changes returns the rows that changed after a version; it waits for the first one.
	Changes(ctx context.Context, table string, after RowVersion, wait time.Duration) (RowBatch, error)
}

// ErrHistoryGone says that the changes after a version are no longer known.
const ErrHistoryGone = constantError("the table's history no longer reaches back that far")

type constantError string

// Error returns the error's text.
func (err constantError) Error() string {
	return string(err)
}
