// Package feed keeps a local copy of a table of the platform's store up to date.
//
// A Follower reads the whole table once and then follows its changes with one
// long poll at a time. A poll whose answer was lost looks like one without changes.
// A Follower therefore replaces its poll once a peer knows a newer change, once
// another call to the store has failed, or once neither the store nor a peer has confirmed
// the copy for some time (ReplaceUnconfirmed). While the store rejects a node's calls, the
// node takes snapshots from its peers instead. All versions come from a single counter, so
// the highest one wins, whatever its source, and no row reverts. A store that was restored
// from an older copy counts in a later era, whose versions are all higher; the table is
// then read as a whole. In a large fleet
// the relay of a zone forwards the changes to its nodes; their followers then
// don't call the store.
//
// # Usage
//
//	follower := feed.New(feed.Settings{Table: "hosts"}, store, clock, log, onUpdate)
//	go follower.Run(ctx)
//	follower.Merge(snapshotOfAPeer)
//	behind := follower.ObserveVersion(peer, versionOfAPeer)
//	follower.Confirm(versionOfAPeer, confirmedAt)
//	follower.ReplaceUnconfirmed(limit)
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

const (
	// DefaultPollWait is how long the store may hold a poll open; a longer wait costs fewer calls.
	DefaultPollWait = 10 * time.Second
	// pollSlack is how long after the end of a poll's wait its answer may begin to arrive,
	// and snapshotTimeout the same for a read of the table. Both are doubled after a
	// failed call, because the store may only be slow.
	pollSlack       = 800 * time.Millisecond
	snapshotTimeout = time.Second
	// transferPause is how long an answer that has begun to arrive may pause, and
	// maxTransferTime bounds the whole transfer: a large table takes seconds on a slow link.
	transferPause   = time.Second
	maxTransferTime = 20 * time.Second
	// silentPollDelay is how long an open poll may leave a change unanswered that a peer
	// knows of, before the poll counts as silent.
	silentPollDelay = 400 * time.Millisecond
	// retryDelay is the mean pause after a first failure. It doubles with each further
	// one up to maxRetryDelay, because every call is charged for, even a rejected one.
	retryDelay    = 150 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// standbyInterval is how often a follower that leaves the store to others checks
	// whether it has to call it again.
	standbyInterval = 150 * time.Millisecond
	// DefaultBatchDelay is the pause after a poll that returned changes, so that the
	// next poll returns more of them in one call.
	DefaultBatchDelay = 200 * time.Millisecond
	// behindLogDelay is how long a peer must have known a newer change before that is logged.
	behindLogDelay = time.Second
	// recoveryWindow is how long after an outage of the store a deletion may still be an
	// effect of it: rows that expired in the meantime come with the first changes read.
	recoveryWindow = 300 * time.Millisecond
	// steadyAfter is how long after an outage a node may still learn of its effects.
	steadyAfter = 3 * time.Second
)

// Update is a set of changed rows that a follower passes to its callback.
type Update struct {
	Rows []mimosatide.RowChange
	// Recovering is true during an outage of the store and shortly after it: a
	// deletion may then be an effect of the outage.
	Recovering bool
	// Restored is true if the rows are those to which the store was restored: some may be
	// older than those known before.
	Restored bool
}

// State describes how current a follower's copy is.
type State struct {
	// Version is the version up to which all changes are known.
	Version mimosatide.RowVersion
	// LastChange is the version of the newest change.
	LastChange mimosatide.RowVersion
	// Healthy is true if the store answered this node's last call.
	Healthy bool
	// CurrentAt is the latest clock reading at which the copy was current according to an
	// answer of the store to this node, ConfirmedAt the same according to any node's.
	CurrentAt   time.Duration
	ConfirmedAt time.Duration
	// Synced is true once the whole table has been read, from the store or from a peer.
	Synced bool
}

// Clock is a clock that also counts the time during which the machine is suspended.
type Clock interface {
	Now() time.Duration
}

// Settings are the parameters of a Follower.
type Settings struct {
	Table string
	// PollWait is how long the store may hold a poll open, and so how old the copy may
	// be without changes; zero means DefaultPollWait.
	PollWait time.Duration
	// BatchDelay is the pause after a poll that returned changes; zero means DefaultBatchDelay.
	BatchDelay time.Duration
	// Peers is nil for a follower that works alone.
	Peers Peers
	// ProbeGate is shared by the followers of one store, so that only one of them probes
	// a lost store; nil for a follower that works alone.
	ProbeGate *ProbeGate
}

// Peers connects a follower to those of the other nodes. In a large fleet one node of
// each zone, the relay, forwards the changes to the others.
type Peers interface {
	// ReceivesFromRelay reports whether the relay forwards the changes of a table to this node.
	ReceivesFromRelay(table string) bool
	// RelayChanged returns a channel that is closed when ReceivesFromRelay may return
	// something else.
	RelayChanged() <-chan struct{}
	// ExpectsRelay reports whether the relay will probably begin to forward the changes of a
	// table soon, because this node has only just started.
	ExpectsRelay(table string) bool
	// PollWaitLimit returns the longest PollWait of a table while other nodes depend on this
	// one to notice that the store has stopped answering; zero means PollWait.
	PollWaitLimit(table string) time.Duration
	// Forward passes on changes from the store; after is the version of the newest change
	// before them, and previous has the rows that they replace.
	Forward(
		table string, after mimosatide.RowVersion, batch mimosatide.RowBatch, previous map[string]mimosatide.Row, recovering bool,
	)
	// ForwardTable passes on the whole copy of a table that the store no longer gave the
	// changes of; after is the version of the newest change before.
	ForwardTable(table string, after mimosatide.RowVersion)
}

// Follower holds a copy of one table. Its methods may be called concurrently.
type Follower struct {
	table      string
	store      mimosatide.RowFeed
	log        logr.Logger
	onUpdate   func(Update)
	clock      Clock
	pollWait   time.Duration
	batchDelay time.Duration
	peers      Peers
	probeGate  *ProbeGate

	lock sync.Mutex
	// cancelPoll cancels the current poll, which began at pollStart; polling is false
	// between two polls.
	cancelPoll context.CancelFunc
	pollStart  time.Duration
	polling    bool
	// received is how many bytes of the current poll's answer have arrived, the last of
	// them at lastReceived.
	received     int
	lastReceived time.Duration
	// answerTimer cancels the current poll when its answer is late or stops arriving.
	answerTimer *time.Timer
	// suspected says that the last poll was replaced because it seemed to be silent, so
	// that the next one must not wait.
	suspected bool
	// failed says that the last call failed, batched that it returned changes. Only Run's
	// goroutine uses them.
	failed      bool
	batched     bool
	rows        map[string]mimosatide.Row
	state       State
	lostAt      time.Time
	recoveredAt time.Time
	everCalled  bool
	// newerVersion is the version of the newest change that a peer knows and this copy
	// lacked at newerSince; zero while the copy has all of them. behindLogged is true once
	// that was logged.
	newerVersion mimosatide.RowVersion
	newerSince   time.Duration
	behindLogged bool
	// relayed is true if the last check found that another node forwards the changes.
	relayed bool
	counts  Counts
}

// New returns a follower of a table that passes changes to onUpdate, one call at a time.
// onUpdate must not call the follower.
func New(settings Settings, store mimosatide.RowFeed, clock Clock, log logr.Logger, onUpdate func(Update)) *Follower {
	if settings.PollWait <= 0 {
		settings.PollWait = DefaultPollWait
	}
	if settings.BatchDelay <= 0 {
		settings.BatchDelay = DefaultBatchDelay
	}
	if settings.ProbeGate == nil {
		settings.ProbeGate = &ProbeGate{}
	}
	follower := &Follower{
		table:      settings.Table,
		pollWait:   settings.PollWait,
		batchDelay: settings.BatchDelay,
		peers:      settings.Peers,
		probeGate:  settings.ProbeGate,
		cancelPoll: func() {},
		clock:      clock,
		store:      store,
		log:        log,
		onUpdate:   onUpdate,
		rows:       map[string]mimosatide.Row{},
	}
	follower.probeGate.add(follower)
	return follower
}

// State returns how current the copy is.
func (follower *Follower) State() State {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	return follower.state
}

// Snapshot returns the whole copy, for a peer whose calls the store rejects.
func (follower *Follower) Snapshot() mimosatide.RowBatch {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	batch := mimosatide.RowBatch{Version: follower.state.Version, Complete: true}
	for _, row := range follower.rows {
		batch.Rows = append(batch.Rows, mimosatide.RowChange{Row: row})
	}
	return batch
}

// Row returns a row of the copy.
func (follower *Follower) Row(key string) (mimosatide.Row, bool) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	row, found := follower.rows[key]
	return row, found
}

// Run follows the table until ctx is cancelled.
func (follower *Follower) Run(ctx context.Context) {
	hasSnapshot, afterSnapshot := false, false
	pause := retryDelay
	for ctx.Err() == nil {
		if relayChanged, relayed := follower.receivesFromRelay(); relayed {
			follower.probeGate.withdraw(follower)
			select {
			case <-ctx.Done():
			case <-relayChanged:
			}
			continue
		}
		if follower.probeGate.blocks(follower) || hasSnapshot && follower.expectsRelay() {
			sleep(ctx, standbyInterval)
			continue
		}
		readsSnapshot := !hasSnapshot
		interrupted, err := follower.pollOnce(ctx, &hasSnapshot)
		if ctx.Err() != nil {
			return
		}
		if interrupted {
			continue
		}
		if errors.Is(err, mimosatide.ErrHistoryGone) {
			// The store answers, but no longer knows the changes after this version.
			follower.log.Info("history gone", "table", follower.table, "version", follower.State().Version)
			follower.recordOutcome(nil)
			hasSnapshot = false
			if afterSnapshot {
				sleep(ctx, pause/2+rand.N(pause))
				pause = min(2*pause, maxRetryDelay)
			}
			continue
		}
		follower.recordOutcome(err)
		if err == nil {
			afterSnapshot = readsSnapshot
			if !readsSnapshot {
				pause = retryDelay
			}
			if follower.batched {
				follower.batched = false
				sleep(ctx, follower.batchDelay)
			}
			continue
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxRetryDelay)
	}
}

// Steady reports whether the store answers this node and its last outage here, or the start,
// was more than steadyAfter ago.
func (follower *Follower) Steady() bool {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	return follower.state.Healthy && time.Since(follower.recoveredAt) > steadyAfter
}

// Knows reports whether the copy has the change with the given version.
func (follower *Follower) Knows(version mimosatide.RowVersion) bool {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	return version <= follower.state.LastChange
}

// ObserveVersion takes the version of the newest change that a peer knows. A poll that has
// not returned such a change within silentPollDelay is replaced. ObserveVersion returns
// true if the copy still lacks the change after twice that time: the caller should then
// request the peer's copy.
func (follower *Follower) ObserveVersion(peer string, version mimosatide.RowVersion) bool {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	now := follower.clock.Now()
	if follower.state.Version >= follower.newerVersion {
		follower.newerVersion, follower.behindLogged = 0, false
	}
	if version <= follower.state.Version {
		return false
	}
	if follower.newerVersion == 0 {
		follower.newerVersion, follower.newerSince = version, now
	}
	behind := now - follower.newerSince
	if behind >= behindLogDelay && !follower.behindLogged {
		follower.behindLogged = true
		follower.log.Info("copy behind peers", "table", follower.table, "version", follower.state.Version, "peer", peer,
			"peerVersion", version, "behind", behind, "open", now-follower.pollStart, "received", follower.received, "healthy", follower.state.Healthy)
	}
	if now-max(follower.newerSince, follower.pollStart) >= silentPollDelay {
		follower.suspectPollLocked("a peer knows a newer change")
	}
	return follower.state.Synced && behind >= 2*silentPollDelay
}

// receivesFromRelay reports whether another node forwards the changes, and logs when that
// starts or stops. The channel is closed when that may have changed since.
func (follower *Follower) receivesFromRelay() (<-chan struct{}, bool) {
	if follower.peers == nil {
		return nil, false
	}
	changed := follower.peers.RelayChanged()
	relayed := follower.State().Synced && follower.peers.ReceivesFromRelay(follower.table)
	if relayed != follower.relayed {
		follower.relayed = relayed
		follower.log.Info("changes of a table", "table", follower.table, "throughRelay", relayed, "version", follower.State().Version)
	}
	return changed, relayed
}

// expectsRelay reports whether a poll can be spared because the relay will soon forward the
// changes.
func (follower *Follower) expectsRelay() bool {
	return follower.peers != nil && follower.peers.ExpectsRelay(follower.table)
}

// markCurrent records that the copy was current at a clock reading.
func (follower *Follower) markCurrent(at time.Duration) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	follower.state.CurrentAt = max(follower.state.CurrentAt, at)
	follower.state.ConfirmedAt = max(follower.state.ConfirmedAt, at)
}

// Confirm records that a peer's copy, whose newest change has the given version, was
// current at a clock reading. It has no effect if this copy lacks that change, or is of
// another era of the store.
func (follower *Follower) Confirm(version mimosatide.RowVersion, at time.Duration) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if follower.state.Synced && follower.state.Version >= version && follower.state.Version.Era() == version.Era() {
		follower.state.ConfirmedAt = max(follower.state.ConfirmedAt, at)
	}
}

// recordOutcome takes the outcome of a call and logs when the store is lost or answers again.
func (follower *Follower) recordOutcome(err error) {
	follower.failed = err != nil
	follower.probeGate.record(follower, err == nil)
	follower.lock.Lock()
	defer follower.lock.Unlock()
	follower.suspected = false
	healthy := err == nil
	if healthy == follower.state.Healthy && follower.everCalled {
		return
	}
	if healthy {
		// A follower that has just started may have missed an outage.
		follower.recoveredAt = time.Now()
		follower.log.Info("store answers", "table", follower.table, "version", follower.state.Version)
	} else {
		follower.lostAt = time.Now()
		follower.log.Info("store lost", "table", follower.table, "version", follower.state.Version,
			"open", follower.clock.Now()-follower.pollStart, "received", follower.received, "reason", err.Error())
	}
	follower.state.Healthy = healthy
	follower.everCalled = true
}

func (follower *Follower) recovering() bool {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	return follower.recoveringLocked()
}

func (follower *Follower) recoveringLocked() bool {
	if follower.lostAt.IsZero() {
		return false
	}
	return !follower.state.Healthy || time.Since(follower.recoveredAt) < recoveryWindow
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
