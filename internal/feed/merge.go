package feed

import (
	"bytes"
	"time"

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
	// ReplacedPolls is the number of polls that were given up because their answers seemed lost.
	ReplacedPolls int
}

// Counts returns the totals since the start.
func (follower *Follower) Counts() Counts {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	return follower.counts
}

// Merge takes rows from the store or from a peer. It ignores a batch that is older
// than the copy, and an incomplete one before the whole table of its era is known.
func (follower *Follower) Merge(batch mimosatide.RowBatch) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if batch.Version < follower.state.Version || (!batch.Complete && !follower.knowsTableOfLocked(batch.Version)) {
		follower.ignoreLocked(batch)
		return
	}
	follower.mergeLocked(batch, follower.recoveringLocked())
}

// knowsTableOfLocked reports whether the copy holds the whole table of the era of a version.
func (follower *Follower) knowsTableOfLocked(version mimosatide.RowVersion) bool {
	return follower.state.Synced && follower.state.Version.Era() >= version.Era()
}

// MergeChanges takes changes that another node forwards; after is the version of the
// newest change before them. It returns false if the copy lacks that change: the
// caller then needs a snapshot for Merge.
func (follower *Follower) MergeChanges(after mimosatide.RowVersion, batch mimosatide.RowBatch, recovering bool) bool {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if !follower.knowsTableOfLocked(batch.Version) || follower.state.Version < after {
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
	before := follower.state
	restored := before.Synced && batch.Version.Era() > before.Version.Era()
	update := Update{Recovering: recovering || restored, Restored: restored}
	changed, lost := 0, 0
	seen := map[string]bool{}
	for _, change := range batch.Rows {
		seen[change.Key] = true
		known, found := follower.rows[change.Key]
		if found && change.Version <= known.Version {
			continue
		}
		if change.Deleted {
			delete(follower.rows, change.Key)
			if !found {
				continue
			}
		} else {
			follower.rows[change.Key] = change.Row
		}
		follower.state.LastChange = max(follower.state.LastChange, change.Version)
		if found && restored {
			if bytes.Equal(known.Value, change.Value) {
				continue
			}
			changed++
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
				if !restored {
					follower.state.LastChange = max(follower.state.LastChange, batch.Version)
				}
			}
		}
		// All hosts that have read the table of an era know its start, also of an empty table.
		eraStart := batch.Version - mimosatide.RowVersion(batch.Version.Number())
		follower.state.LastChange = max(follower.state.LastChange, eraStart)
	}
	follower.state.Version = batch.Version
	follower.state.Synced = true
	if restored {
		follower.recordRestoreLocked(before.Version, changed, lost)
	}
	if len(update.Rows) > 0 || !before.Synced {
		follower.onUpdate(update)
	}
}

// recordRestoreLocked records that the copy was replaced by one of a later era. A restore
// counts as an outage: rows that it took away are written again. An open poll waits for a
// number of the era before.
func (follower *Follower) recordRestoreLocked(before mimosatide.RowVersion, changed, lost int) {
	follower.lostAt = time.Now()
	follower.recoveredAt = follower.lostAt
	follower.counts.Restores++
	follower.counts.ChangedRows += changed
	follower.counts.LostRows += lost
	version := follower.state.Version
	follower.log.Info("store restored", "table", follower.table, "eraBefore", before.Era(), "era", version.Era(),
		"before", before, "version", version, "rows", len(follower.rows), "changed", changed, "lost", lost)
	follower.suspectPollLocked("the store was restored")
}
