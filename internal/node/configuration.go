package node

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/configuration"
	"mimosatide.example/mimosatide/internal/fleet"
	"mimosatide.example/mimosatide/internal/invariant"
)

const (
	snapshotKey = "configuration/snapshot"

	// snapshotRetryDelay is the pause before the next attempt to load the snapshot at the start.
	snapshotRetryDelay = 500 * time.Millisecond
	// snapshotInterval is the number of log entries from one snapshot to the next.
	snapshotInterval = 64
	// retainedEntries is the number of entries that stay in the table up to and including that of
	// the newest snapshot.
	retainedEntries = 256

	// drainPollInterval is the interval at which a draining node checks for running requests.
	drainPollInterval = 20 * time.Millisecond
	// leaveTimeout bounds the wait until the node has left the fleet.
	leaveTimeout = 6 * time.Second
	// shutdownTimeout bounds the shutdown of the HTTP servers.
	shutdownTimeout = 2 * time.Second

	entryKeyPrefix = "configuration/entry/"
)

// snapshotWire is the row that names the newest snapshot of the configuration document.
// Sequence is the last log entry that the snapshot contains, Object its name in the object store.
type snapshotWire struct {
	Sequence uint64
	Version  uint64
	Object   string
}

// applyEntry applies an accepted log entry to the document. It is called in the order of the entries.
func (node *Node) applyEntry(sequence uint64, entry fleet.Entry) {
	changes, err := configuration.DecodeChanges(entry.Changes)
	if err == nil {
		err = node.store.Apply(entry.Version, changes)
	}
	invariant.Check(err == nil, "accepted entry %d can't be applied: %v", sequence, err)
	node.applyAccounts(changes)
	node.dispatch.CancelWithdrawnKeys()
	if len(changes) > 0 {
		node.log.Info("configuration applied", "version", uint64(entry.Version), "sequence", sequence,
			"patch", entry.PatchID, "operator", entry.Operator, "changes", len(changes))
	}
	node.writeSnapshotIfDue(sequence)
}

// applyAccounts updates the rate limits of the changed accounts.
func (node *Node) applyAccounts(changes []configuration.Change) {
	now := node.clock.Now()
	document := node.store.View().Document
	for _, change := range changes {
		if change.Section != configuration.AccountSection {
			continue
		}
		if account, found := document.GetAccount(change.Name); found {
			node.limiter.SetAccount(now, account)
		} else {
			node.limiter.RemoveAccount(change.Name)
		}
	}
}

// updateProposal updates the proposal that the store keeps beside the document in force: a key must be
// valid under both.
func (node *Node) updateProposal(head fleet.Head) {
	if head.Proposal == nil || len(head.Proposal.Changes) == 0 {
		node.store.DropProposal()
		return
	}
	changes, err := configuration.DecodeChanges(head.Proposal.Changes)
	if err == nil {
		err = node.store.Propose(changes)
	}
	if err != nil {
		node.log.Error(err, "pending proposal can't be applied; keys that it withdraws stay valid for now", "nonce", head.Proposal.Nonce)
	}
}

// applyShares updates the number of rate shares that this node holds.
func (node *Node) applyShares(report fleet.ReportShares) {
	node.limiter.SetShares(node.clock.Now(), report.Held, report.Until)
	node.log.Info("shares changed", "held", report.Held)
}

// loadSnapshot applies the newest snapshot, if there is one that is newer than the applied entries.
func (node *Node) loadSnapshot(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, node.settings.PlatformTimeout)
	defer cancel()
	rows, err := node.table.Read(callCtx, snapshotKey)
	if err != nil {
		return errors.Trace(err)
	}
	if len(rows) == 0 {
		return nil
	}
	var wire snapshotWire
	if err := json.Unmarshal(rows[0].Value, &wire); err != nil {
		return errors.Annotate(err, "decode snapshot row")
	}
	data, err := node.objects.GetObject(callCtx, wire.Object)
	if err != nil {
		return errors.Annotate(err, "read snapshot object")
	}
	document, err := configuration.Decode(data)
	if err != nil {
		return errors.Trace(err)
	}
	node.fleet.skipTo(wire.Sequence, func() { node.applySnapshot(mimosatide.Version(wire.Version), document) })
	node.log.Info("snapshot loaded", "sequence", wire.Sequence, "version", wire.Version)
	return nil
}

func (node *Node) applySnapshot(version mimosatide.Version, document *configuration.Document) {
	node.store.Load(version, document)
	now := node.clock.Now()
	for _, account := range document.Accounts() {
		node.limiter.SetAccount(now, account)
	}
}

// reloadSnapshot loads the newest snapshot after the log entries that this node lacks were
// deleted from the table.
func (node *Node) reloadSnapshot() {
	if err := node.loadSnapshot(context.Background()); err != nil {
		node.log.Info("snapshot not loaded", "reason", err.Error())
	}
}

// writeSnapshotIfDue starts a write of a snapshot after every snapshotInterval entries.
func (node *Node) writeSnapshotIfDue(sequence uint64) {
	if sequence%snapshotInterval != 0 {
		return
	}
	view := node.store.View()
	node.fleet.submit(func() { node.writeSnapshot(sequence, view) })
}

// writeSnapshot stores a snapshot if this node is the first member of the fleet.
func (node *Node) writeSnapshot(sequence uint64, view *configuration.View) {
	members := node.fleet.head().Members
	if len(members) == 0 || members[0].Address != node.settings.Member.Address {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), node.settings.PlatformTimeout*2)
	defer cancel()
	if err := node.storeSnapshot(ctx, sequence, view); err != nil {
		node.log.Info("snapshot not stored", "sequence", sequence, "reason", err.Error())
	}
}

// storeSnapshot writes the snapshot object and then the row that names it.
func (node *Node) storeSnapshot(ctx context.Context, sequence uint64, view *configuration.View) error {
	data, err := view.Document.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	object := fmt.Sprintf("configuration-%016d", sequence)
	if err := node.objects.PutObject(ctx, object, data); err != nil {
		return errors.Trace(err)
	}
	rows, err := node.table.Read(ctx, snapshotKey)
	if err != nil {
		return errors.Trace(err)
	}
	transaction, err := snapshotTransaction(rows, snapshotWire{Sequence: sequence, Version: uint64(view.Version), Object: object})
	if err != nil || len(transaction.Writes) == 0 {
		return errors.Trace(err)
	}
	outcome := node.table.Commit(ctx, transaction)
	if outcome != mimosatide.CommitDone {
		return errors.Errorf("write of the snapshot row ended with outcome %s", outcome)
	}
	return nil
}

// snapshotTransaction returns the conditional write that names the next snapshot and deletes the
// entries that are at least retainedEntries behind it. The transaction is empty if the row
// already names a snapshot as new as this one.
func snapshotTransaction(rows []mimosatide.Row, next snapshotWire) (mimosatide.Transaction, error) {
	var before snapshotWire
	condition := mimosatide.Condition{Key: snapshotKey}
	if len(rows) > 0 {
		if err := json.Unmarshal(rows[0].Value, &before); err != nil {
			return mimosatide.Transaction{}, errors.Annotate(err, "decode snapshot row")
		}
		condition.Version = rows[0].Version
	}
	if before.Sequence >= next.Sequence {
		return mimosatide.Transaction{}, nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return mimosatide.Transaction{}, errors.Trace(err)
	}
	transaction := mimosatide.Transaction{
		Conditions: []mimosatide.Condition{condition},
		Writes:     []mimosatide.Write{{Key: snapshotKey, Value: value}},
	}
	for sequence := lastTrimmedEntry(before.Sequence) + 1; sequence <= lastTrimmedEntry(next.Sequence); sequence++ {
		transaction.Writes = append(transaction.Writes, mimosatide.Write{Key: fleet.EntryKey(sequence), Delete: true})
	}
	return transaction, nil
}

// lastTrimmedEntry returns the sequence of the last entry that is deleted once a snapshot is stored, or zero.
func lastTrimmedEntry(snapshot uint64) uint64 {
	if snapshot <= retainedEntries {
		return 0
	}
	return snapshot - retainedEntries
}

// ProposePatch proposes a validated patch to the fleet and waits for its outcome, which is
// PatchUnsettled if the context ends first.
func (node *Node) ProposePatch(ctx context.Context, patch fleet.PatchRequested) fleet.PatchResult {
	result := node.fleet.propose(ctx, patch)
	node.recordPatch(patch, result)
	return result
}

// FindPatch returns the configuration version at which the patch with the ID was accepted, and
// whether there is one.
func (node *Node) FindPatch(ctx context.Context, id string) (mimosatide.Version, bool, error) {
	rows, err := node.table.Read(ctx, fleet.PatchKey(id))
	if err != nil || len(rows) == 0 {
		return 0, false, errors.Trace(err)
	}
	entry, err := fleet.DecodeEntry(rows[0].Value)
	return entry.Version, err == nil, errors.Trace(err)
}

// History returns the newest accepted entries that change the configuration, at most limit of
// them, the newest last.
func (node *Node) History(ctx context.Context, limit int) ([]fleet.Entry, error) {
	rows, err := node.table.Scan(ctx, entryKeyPrefix)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var entries []fleet.Entry
	for _, row := range rows {
		entry, err := fleet.DecodeEntry(row.Value)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(entry.Changes) > 0 {
			entries = append(entries, entry)
		}
	}
	return entries[max(0, len(entries)-limit):], nil
}
