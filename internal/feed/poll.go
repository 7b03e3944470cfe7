package feed

import (
	"context"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// pollOnce makes one poll and reports whether it was cancelled before an answer came,
// because it was interrupted or replaced.
func (follower *Follower) pollOnce(ctx context.Context, hasSnapshot *bool) (bool, error) {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	follower.lock.Lock()
	follower.cancelPoll = cancel
	follower.pollStart = follower.clock.Now()
	follower.polling = true
	follower.received, follower.lastReceived = 0, 0
	follower.lock.Unlock()
	err := follower.poll(pollCtx, hasSnapshot)
	return err != nil && pollCtx.Err() != nil, err
}

// poll reads the whole table if hasSnapshot is false, and sets it; otherwise it waits
// for changes after the copy's version.
func (follower *Follower) poll(ctx context.Context, hasSnapshot *bool) error {
	start := follower.clock.Now()
	follower.lock.Lock()
	state, suspected, slowdown := follower.state, follower.suspected, time.Duration(1)
	follower.lock.Unlock()
	if follower.failed {
		slowdown = 2
	}
	if !*hasSnapshot {
		callCtx, end := follower.awaitAnswer(ctx, slowdown*snapshotTimeout)
		batch, err := follower.store.Snapshot(callCtx, follower.table, follower.recordProgress)
		end()
		if err != nil {
			return errors.Trace(err)
		}
		follower.Merge(batch)
		follower.markCurrent(start)
		*hasSnapshot = true
		after := follower.State()
		if follower.peers != nil && state.Synced && after.LastChange > state.LastChange {
			follower.peers.ForwardTable(follower.table, state.LastChange)
		}
		follower.probeGate.announceEra(follower, after.Version.Era())
		return nil
	}
	wait := follower.pollWait
	if follower.peers != nil {
		if limit := follower.peers.PollWaitLimit(follower.table); limit > 0 {
			wait = min(wait, limit)
		}
	}
	if !state.Healthy || suspected {
		wait = 0
	}
	callCtx, end := follower.awaitAnswer(ctx, wait+slowdown*pollSlack)
	batch, err := follower.store.Changes(callCtx, follower.table, state.Version, wait, follower.recordProgress)
	end()
	if err != nil {
		return errors.Trace(err)
	}
	follower.endSuspicion(len(batch.Rows) > 0)
	recovering := follower.recovering()
	batch.Rows = newestRows(batch.Rows)
	previous := follower.rowsBefore(batch.Rows)
	follower.Merge(batch)
	follower.markCurrent(start)
	if len(batch.Rows) > 0 {
		follower.batched = true
		if follower.peers != nil {
			follower.peers.Forward(follower.table, state.LastChange, batch, previous, recovering)
		}
	}
	return nil
}

// newestRows leaves out the changes of rows that changed again later in the same list.
func newestRows(changes []mimosatide.RowChange) []mimosatide.RowChange {
	newest := make(map[string]int, len(changes))
	for index, change := range changes {
		newest[change.Key] = index
	}
	kept := make([]mimosatide.RowChange, 0, len(newest))
	for index, change := range changes {
		if newest[change.Key] == index {
			kept = append(kept, change)
		}
	}
	return kept
}

// rowsBefore returns the copy's rows that the changes replace.
func (follower *Follower) rowsBefore(changes []mimosatide.RowChange) map[string]mimosatide.Row {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	rows := make(map[string]mimosatide.Row, len(changes))
	for _, change := range changes {
		if row, found := follower.rows[change.Key]; found {
			rows[change.Key] = row
		}
	}
	return rows
}

// awaitAnswer returns a context for a call to the store that ends unless its answer begins
// to arrive within limit, or if the answer stops arriving. The function that it returns
// has to be called at the end of the call.
func (follower *Follower) awaitAnswer(ctx context.Context, limit time.Duration) (context.Context, func()) {
	callCtx, cancel := context.WithTimeout(ctx, limit+maxTransferTime)
	follower.lock.Lock()
	defer follower.lock.Unlock()
	timer := time.AfterFunc(limit, cancel)
	follower.answerTimer = timer
	return callCtx, func() {
		timer.Stop()
		cancel()
		follower.lock.Lock()
		defer follower.lock.Unlock()
		follower.polling = false
	}
}

// recordProgress records that more of the answer to the current poll has arrived.
func (follower *Follower) recordProgress(bytes int) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	follower.received += bytes
	follower.lastReceived = follower.clock.Now()
	if follower.answerTimer.Stop() {
		follower.answerTimer.Reset(transferPause)
	}
}

// receivingLocked reports whether the answer to the current poll is arriving.
func (follower *Follower) receivingLocked() bool {
	return follower.received > 0 && follower.clock.Now()-follower.lastReceived < silentPollDelay
}

// Interrupt cancels the current poll, so that the next one uses the poll wait for
// this node's present role. Call it when the node becomes a relay.
func (follower *Follower) Interrupt() {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	follower.cancelPoll()
}

// ReplaceUnconfirmed replaces the open poll if the poll, what has arrived of its answer, and
// the last confirmation of the copy by the store, to this node or a peer, are all older than limit:
// its answer may be lost, and no peer may have noticed.
func (follower *Follower) ReplaceUnconfirmed(limit time.Duration) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	last := max(follower.state.ConfirmedAt, follower.pollStart, follower.lastReceived)
	if follower.clock.Now()-last >= limit {
		follower.suspectPollLocked("not confirmed")
	}
}

// suspectPoll replaces the open poll, if there is one, by one that doesn't wait.
func (follower *Follower) suspectPoll(reason string) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	follower.suspectPollLocked(reason)
}

func (follower *Follower) suspectPollLocked(reason string) {
	if !follower.polling || follower.suspected || !follower.state.Healthy || follower.receivingLocked() {
		return
	}
	follower.suspected = true
	follower.counts.ReplacedPolls++
	follower.log.Info("poll replaced", "table", follower.table, "version", follower.state.Version,
		"open", follower.clock.Now()-follower.pollStart, "received", follower.received,
		"confirmedAge", follower.clock.Now()-follower.state.ConfirmedAt, "reason", reason)
	follower.cancelPoll()
}

// announceEra replaces the open poll, if there is one, if the copy is of an earlier era of the
// store: the poll waits for a number that this era may give out much later.
func (follower *Follower) announceEra(era uint64) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if follower.state.Version.Era() < era {
		follower.suspectPollLocked("the store was restored")
	}
}

// endSuspicion ends the suspicion of the last poll. If the poll that replaced it returned
// changes at once, the last one was silent: the store may have had an outage that this
// follower did not notice, and deletions may be effects of it.
func (follower *Follower) endSuspicion(changed bool) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if follower.suspected && changed {
		follower.lostAt = time.Now()
		follower.recoveredAt = follower.lostAt
	}
	follower.suspected = false
}
