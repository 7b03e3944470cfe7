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
	snapshotKey    = "configuration/snapshot"
	snapshotRetry  = 500 * time.Millisecond
	snapshotEvery  = 64
	keptBehind     = 256
	drainPoll      = 20 * time.Millisecond
	leaveLimit     = 6 * time.Second
	closeLimit     = 2 * time.Second
	entryKeyPrefix = "configuration/entry/"
)

// snapshotWire is the row that points at the newest snapshot of the document.
type snapshotWire struct {
	Sequence uint64
	Version  uint64
	Object   string
}

// applyEntry puts an accepted entry in force. The core calls it in the order of the entries.
func (node *Node) applyEntry(sequence uint64, entry fleet.Entry) {
	changes, err := configuration.DecodeChanges(entry.Changes)
	if err == nil {
		err = node.store.Apply(entry.Version, changes)
	}
	invariant.Check(err == nil, "accepted entry %d can't be applied: %v", sequence, err)
	node.applyAccounts(changes)
	node.dispatch.EndWithdrawn()
	if len(changes) > 0 {
		node.log.Info("configuration applied", "version", uint64(entry.Version), "sequence", sequence,
			"patch", entry.PatchID, "operator", entry.Operator, "changes", len(changes))
	}
	node.writeSnapshotAtTimes(sequence)
}

func (node *Node) applyAccounts(changes []configuration.Change) {
	now := node.clock.Now()
	document := node.store.View().Document
	for _, change := range changes {
		if change.Section != configuration.AccountSection {
			continue
		}
		if account, found := document.GetAccount(change.Name); found {
			node.bank.SetAccount(now, account)
		} else {
			node.bank.RemoveAccount(change.Name)
		}
	}
}

// noteHead keeps the known proposal beside the document: a key must be good under both.
func (node *Node) noteHead(head fleet.Head) {
	if head.Proposal == nil || len(head.Proposal.Changes) == 0 {
		node.store.Withdraw()
		return
	}
	changes, err := configuration.DecodeChanges(head.Proposal.Changes)
	if err == nil {
		err = node.store.Propose(changes)
	}
	if err != nil {
		node.log.Error(err, "proposal not understood", "nonce", head.Proposal.Nonce)
	}
}

func (node *Node) changeShares(change fleet.ChangeShares) {
	node.bank.SetShares(node.clock.Now(), change.Held, change.Until)
	node.log.Info("shares changed", "held", change.Held)
}

// loadSnapshot puts the newest snapshot in force, if there is one.
func (node *Node) loadSnapshot(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, node.settings.PlatformLimit)
	defer cancel()
	rows, err := node.table.Read(bounded, snapshotKey)
	if err != nil {
		return errors.Trace(err)
	}
	if len(rows) == 0 {
		return nil
	}
	var wire snapshotWire
	if err := json.Unmarshal(rows[0].Value, &wire); err != nil {
		return errors.Annotate(err, "snapshot row")
	}
	data, err := node.objects.GetObject(bounded, wire.Object)
	if err != nil {
		return errors.Annotate(err, "snapshot")
	}
	document, err := configuration.Decode(data)
	if err != nil {
		return errors.Trace(err)
	}
	node.fleet.skipTo(wire.Sequence, func() { node.putInForce(mimosatide.Version(wire.Version), document) })
	node.log.Info("snapshot loaded", "sequence", wire.Sequence, "version", wire.Version)
	return nil
}

func (node *Node) putInForce(version mimosatide.Version, document *configuration.Document) {
	node.store.Load(version, document)
	now := node.clock.Now()
	for _, account := range document.Accounts() {
		node.bank.SetAccount(now, account)
	}
}

// reloadSnapshot catches up when the table no longer has the entries that this node lacks.
func (node *Node) reloadSnapshot() {
	if err := node.loadSnapshot(context.Background()); err != nil {
		node.log.Info("snapshot not loaded", "reason", err.Error())
	}
}

// writeSnapshotAtTimes lets the first member store the document now and then.
func (node *Node) writeSnapshotAtTimes(sequence uint64) {
	if sequence%snapshotEvery != 0 {
		return
	}
	view := node.store.View()
	node.fleet.submit(func() { node.writeSnapshot(sequence, view) })
}

func (node *Node) writeSnapshot(sequence uint64, view *configuration.View) {
	members := node.fleet.head().Members
	if len(members) == 0 || members[0].Address != node.settings.Member.Address {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), node.settings.PlatformLimit*2)
	defer cancel()
	if err := node.storeSnapshot(ctx, sequence, view); err != nil {
		node.log.Info("snapshot not stored", "sequence", sequence, "reason", err.Error())
	}
}

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
		return errors.Errorf("the row's write ended %s", outcome)
	}
	return nil
}

// snapshotTransaction points at a newer snapshot and trims the entries far behind it.
func snapshotTransaction(rows []mimosatide.Row, next snapshotWire) (mimosatide.Transaction, error) {
	var before snapshotWire
	condition := mimosatide.Condition{Key: snapshotKey}
	if len(rows) > 0 {
		if err := json.Unmarshal(rows[0].Value, &before); err != nil {
			return mimosatide.Transaction{}, errors.Annotate(err, "snapshot row")
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
	for sequence := trimmedUpTo(before.Sequence) + 1; sequence <= trimmedUpTo(next.Sequence); sequence++ {
		transaction.Writes = append(transaction.Writes, mimosatide.Write{Key: fleet.EntryKey(sequence), Delete: true})
	}
	return transaction, nil
}

// trimmedUpTo is the last entry that is deleted once a snapshot stands.
func trimmedUpTo(snapshot uint64) uint64 {
	if snapshot <= keptBehind {
		return 0
	}
	return snapshot - keptBehind
}

// ProposePatch hands a checked patch to the fleet and waits until it is settled.
func (node *Node) ProposePatch(ctx context.Context, asked fleet.PatchAsked) fleet.SettlePatch {
	settled := node.fleet.propose(ctx, asked)
	node.recordPatch(asked, settled)
	return settled
}

// FindPatch returns the version that a patch id was accepted with.
func (node *Node) FindPatch(ctx context.Context, id string) (mimosatide.Version, bool, error) {
	rows, err := node.table.Read(ctx, fleet.PatchKey(id))
	if err != nil || len(rows) == 0 {
		return 0, false, errors.Trace(err)
	}
	entry, err := fleet.DecodeEntry(rows[0].Value)
	return entry.Version, err == nil, errors.Trace(err)
}

// History returns the accepted entries of operators, the newest last.
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
