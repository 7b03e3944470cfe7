package node

import (
	"context"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/dispatch"
	"mimosatide.example/mimosatide/internal/invariant"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/internal/placement"
)

// gate lets work in while the configuration is confirmed fresh.
type gate struct {
	node *Node
}

// Admit returns why a key's request may not run now, or an empty reason.
func (gate gate) Admit(key mimosatide.KeyDigest, account string) mimosatide.Reason {
	if !gate.node.fleet.fresh() {
		return mimosatide.ReasonNotFresh
	}
	if key == "" {
		return ""
	}
	owner, reason := gate.node.store.View().Authenticate(key)
	if reason != "" {
		return reason
	}
	invariant.Check(account != "", "a request with a key has no account")
	if owner.Name != account {
		return mimosatide.ReasonUnknownKey
	}
	return ""
}

// WaitFresh waits until the node's configuration is confirmed fresh again.
func (gate gate) WaitFresh(ctx context.Context) bool {
	return gate.node.fleet.waitFresh(ctx)
}

// placements adapts the keeper to what the dispatch service asks.
type placements struct {
	keeper *placement.Keeper
}

// TellWant passes this node's demand to the model's home.
func (known placements) TellWant(want dispatch.WantOf) {
	known.keeper.TellWant(placement.Want{
		Model:       want.Model,
		Waiting:     want.Waiting,
		Outstanding: want.Outstanding,
		Adapters:    want.Adapters,
		Stake:       want.Stake,
	})
}

// Leaving says whether a target gets no new work.
func (known placements) Leaving(target string) bool {
	return known.keeper.Leaving(target)
}

// Reported returns the load that a target stated last.
func (known placements) Reported(target string) int {
	return known.keeper.Reported(target)
}

// countedTable counts what this node reads from and writes to the table.
type countedTable struct {
	table mimosatide.Table
	meter *metric.Meter
}

// Read returns the rows of the given keys that exist.
func (counted countedTable) Read(ctx context.Context, keys ...string) ([]mimosatide.Row, error) {
	counted.meter.CountTable(len(keys), 0)
	return counted.table.Read(ctx, keys...)
}

// Scan returns the rows whose keys start with prefix.
func (counted countedTable) Scan(ctx context.Context, prefix string) ([]mimosatide.Row, error) {
	rows, err := counted.table.Scan(ctx, prefix)
	counted.meter.CountTable(max(1, len(rows)), 0)
	return rows, err
}

// Commit applies a transaction.
func (counted countedTable) Commit(ctx context.Context, transaction mimosatide.Transaction) mimosatide.CommitOutcome {
	counted.meter.CountTable(0, len(transaction.Writes))
	return counted.table.Commit(ctx, transaction)
}
