package feed

import (
	"bytes"

	"mimosatide.example/mimosatide"
)

// Counts are totals of a follower since its start.
type Counts struct {
	// Restores is how often the copy was replaced because the store had been restored.
	Restores int
	// ChangedRows and LostRows are the rows of the copy that the restored tables held with
	// another value, or no longer held.
	ChangedRows int
	LostRows    int
	// Ignored is the number of batches that were older than the copy.
	Ignored int
}

// Counts returns the totals since the start.
func (follower *Follower) Counts() Counts {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	return follower.counts
}

// Merge takes rows from the store or from a peer. It ignores a batch that is older
// than the copy, and an incomplete one before the whole table is known.
func (follower *Follower) Merge(batch mimosatide.RowBatch) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if batch.Version < follower.state.Version || (!batch.Complete && !follower.state.Synced) {
		follower.ignoreLocked(batch)
		return
	}
	follower.mergeLocked(batch, follower.recoveringLocked())
}

// MergeChanges takes changes that another node forwards; after is the version of the
// newest change before them. It returns false if the copy lacks that change: the
// caller then needs a snapshot for Merge.
func (follower *Follower) MergeChanges(after mimosatide.RowVersion, batch mimosatide.RowBatch, recovering bool) bool {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if !follower.state.Synced || follower.state.Version < after {
		return false
	}
	switch {
	case batch.Version < follower.state.Version:
		follower.ignoreLocked(batch)
	case batch.Version > follower.state.Version:
		follower.mergeLocked(batch, recovering)
	}
	return true
}

// ignoreLocked counts a batch that is older than the copy.
func (follower *Follower) ignoreLocked(batch mimosatide.RowBatch) {
	follower.counts.Ignored++
	follower.log.V(1).Info("older rows ignored", "table", follower.table, "version", follower.state.Version,
		"batch", batch.Version, "rows", len(batch.Rows), "whole", batch.Complete)
}

// mergeLocked replaces the rows that are older than those of the batch, and passes
// the differences to onUpdate. A complete batch also deletes the rows it lacks.
func (follower *Follower) mergeLocked(batch mimosatide.RowBatch, recovering bool) {
	update := Update{Recovering: recovering}
	restored := follower.state.Synced && batch.Version.Era() > follower.state.Version.Era()
	changed, lost := 0, 0
	seen := map[string]bool{}
	for _, change := range batch.Rows {
		seen[change.Key] = true
		known, found := follower.rows[change.Key]
		if found && change.Version <= known.Version {
			continue
		}
		if found && !bytes.Equal(known.Value, change.Value) {
			changed++
		}
		if change.Deleted {
			delete(follower.rows, change.Key)
			if !found {
				continue
			}
		} else {
			follower.rows[change.Key] = change.Row
		}
		update.Rows = append(update.Rows, change)
	}
	if batch.Complete {
		for key, row := range follower.rows {
			if !seen[key] && row.Version <= batch.Version {
				delete(follower.rows, key)
				lost++
				deletion := mimosatide.RowChange{Row: mimosatide.Row{Key: key, Version: batch.Version}, Deleted: true}
				update.Rows = append(update.Rows, deletion)
			}
		}
	}
	for _, change := range update.Rows {
		follower.state.LastChange = max(follower.state.LastChange, change.Version)
	}
	if restored {
		follower.counts.Restores++
		follower.counts.ChangedRows += changed
		follower.counts.LostRows += lost
		follower.log.Info("store restored", "table", follower.table, "eraBefore", follower.state.Version.Era(), "era", batch.Version.Era(),
			"before", follower.state.Version, "version", batch.Version, "rows", len(follower.rows), "changed", changed, "lost", lost)
	}
	follower.state.Version = batch.Version
	first := !follower.state.Synced
	follower.state.Synced = true
	if len(update.Rows) > 0 || first {
		follower.onUpdate(update)
	}
}
