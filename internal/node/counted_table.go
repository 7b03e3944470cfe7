package node

import (
	"context"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/metric"
)

// countedTable is a Table that counts the rows this node reads and writes in its metrics.
type countedTable struct {
	table mimosatide.Table
	meter *metric.Meter
}

// Read returns the rows of the given keys that exist.
func (counted countedTable) Read(ctx context.Context, keys ...string) ([]mimosatide.Row, error) {
	counted.meter.CountTableRows(len(keys), 0)
	return counted.table.Read(ctx, keys...)
}

// Scan returns the rows whose keys start with prefix.
func (counted countedTable) Scan(ctx context.Context, prefix string) ([]mimosatide.Row, error) {
	rows, err := counted.table.Scan(ctx, prefix)
	counted.meter.CountTableRows(max(1, len(rows)), 0)
	return rows, err
}

// Commit applies a transaction.
func (counted countedTable) Commit(ctx context.Context, transaction mimosatide.Transaction) mimosatide.CommitOutcome {
	counted.meter.CountTableRows(0, len(transaction.Writes))
	return counted.table.Commit(ctx, transaction)
}
