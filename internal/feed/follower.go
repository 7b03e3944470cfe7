// Package feed keeps a copy of a table of the platform's store up to date.
//
// A Follower reads the whole table once and then follows its changes with one
// long poll at a time. A node that the store refuses takes snapshots from its
// peers instead: versions come from a single counter, so the highest one wins,
// from whichever side it came, and nothing reverts. A follower that is guided
// does not ask the store: another node passes the changes on to it.
//
// # Usage
//
//	follower := feed.New(feed.Settings{Table: "hosts"}, store, clock, log, apply)
//	go follower.Run(ctx)
//	follower.Offer(snapshotOfAPeer)
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

// The times of a follower.
const (
	// DefaultWait is how long the store holds a poll open; a longer one costs fewer calls.
	DefaultWait = 10 * time.Second
	// answerSlack is how much later than asked the store may answer a poll.
	answerSlack     = 2 * time.Second
	snapshotTimeout = 2 * time.Second
	// retryAfter is the pause after a first failure; it doubles with each further
	// one up to retryMost, as each call is priced also when it is refused.
	retryAfter = 150 * time.Millisecond
	retryMost  = 600 * time.Millisecond
	// guidedEvery is how often a guided follower looks whether it still is.
	guidedEvery = 150 * time.Millisecond
	// DefaultGather is how long changes are gathered after one has come, to save calls.
	DefaultGather = 200 * time.Millisecond
	// recoveryTime is how long after an outage a deletion may still be an effect of
	// it: what lapsed meanwhile comes with the first changes that are read.
	recoveryTime = 300 * time.Millisecond
	// steadyTime is how long after an outage a node may still learn of its effects.
	steadyTime = 3 * time.Second
)

// Update is what a follower hands on: the changed rows, and whether a deletion
// may be an effect of an outage.
type Update struct {
	Rows []mimosatide.RowChange
	// Recovering says that the store was away until a moment ago.
	Recovering bool
}

// State is how current a follower is.
type State struct {
	// Version is the version up to which all changes are known.
	Version mimosatide.RowVersion
	// Changed is the version of the newest change.
	Changed mimosatide.RowVersion
	// Healthy says that the store answers this node.
	Healthy bool
	// CurrentAt is the reading of the clock at which the copy was last known to be current.
	CurrentAt time.Duration
	// Known says that the whole table has been read, here or by a peer.
	Known bool
}

// Clock reads a clock that counts the time in which the machine is suspended.
type Clock interface {
	Now() time.Duration
}

// Settings are the parameters of a Follower.
type Settings struct {
	Table string
	// Wait is how long the store holds a poll open; zero stands for DefaultWait.
	// The copy is never known to be more current than that.
	Wait time.Duration
	// Gather is how long changes are gathered after one has come; zero stands for DefaultGather.
	Gather time.Duration
	// Guide is nil for a follower that works alone.
	Guide Guide
	// GuideWait replaces Wait while other nodes rely on this one, so that a store
	// that has gone silent is noticed soon; zero stands for Wait.
	GuideWait time.Duration
	// Gate is shared by the followers of one store, so that only one of them finds out
	// when a lost store answers again; nil for a follower that works alone.
	Gate *Gate
}

// Guide is how a follower works together with those of other nodes.
type Guide interface {
	// Guided says whether another node passes on the changes of a table.
	Guided(table string) bool
	// Guides says whether other nodes rely on this one for the changes.
	Guides() bool
	// PassOn hands on changes that came from the store; after is the newest change before them.
	PassOn(table string, after mimosatide.RowVersion, batch mimosatide.RowBatch, recovering bool)
}

// Follower holds a copy of one table.
type Follower struct {
	table  string
	store  mimosatide.RowFeed
	log    logr.Logger
	apply  func(Update)
	clock  Clock
	wait   time.Duration
	gather time.Duration
	guide  Guide
	// guideWait is how long a poll may stay open while other nodes rely on this one.
	guideWait time.Duration
	gate      *Gate

	lock sync.Mutex
	// endPoll ends the poll that is under way.
	endPoll  context.CancelFunc
	rows     map[string]mimosatide.Row
	state    State
	lostAt   time.Time
	regained time.Time
	// heard is the newest version that steady nodes know; lives says that they have
	// read changes since this node lost the store, so that there is no outage.
	heard     mimosatide.RowVersion
	lives     bool
	everAsked bool
	// led says that another node passed the changes on when that was last looked at.
	led bool
}

// New returns a follower of a table that hands changes to apply, one call at a time.
func New(settings Settings, store mimosatide.RowFeed, clock Clock, log logr.Logger, apply func(Update)) *Follower {
	if settings.Wait <= 0 {
		settings.Wait = DefaultWait
	}
	if settings.Gather <= 0 {
		settings.Gather = DefaultGather
	}
	if settings.Gate == nil {
		settings.Gate = &Gate{}
	}
	return &Follower{
		table:  settings.Table,
		wait:   settings.Wait,
		gather: settings.Gather,
		guide:  settings.Guide,

		guideWait: settings.GuideWait,
		gate:      settings.Gate,
		endPoll:   func() {},
		clock:     clock,
		store:     store,
		log:       log,
		apply:     apply,
		rows:      map[string]mimosatide.Row{},
	}
}

// State returns how current the copy is.
func (follower *Follower) State() State {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	return follower.state
}

// Snapshot returns the whole copy, for a peer that the store refuses.
func (follower *Follower) Snapshot() mimosatide.RowBatch {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	batch := mimosatide.RowBatch{Version: follower.state.Version, Complete: true}
	for _, row := range follower.rows {
		batch.Rows = append(batch.Rows, mimosatide.RowChange{Row: row})
	}
	return batch
}

// Run follows the table until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	complete := false
	pause := retryAfter
	for ctx.Err() == nil {
		if follower.guided() || follower.gate.holds(follower) {
			sleep(ctx, guidedEvery)
			continue
		}
		interrupted, err := follower.interruptible(ctx, &complete)
		if ctx.Err() != nil {
			return
		}
		if interrupted {
			continue
		}
		if errors.Is(err, mimosatide.ErrHistoryGone) {
			// The store answers; only the way from the last version is lost.
			follower.log.Info("history gone", "table", follower.table, "version", follower.State().Version)
			follower.note(nil)
			complete = false
			continue
		}
		follower.note(err)
		if err == nil {
			pause = retryAfter
			continue
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryMost)
	}
}

// interruptible asks once, and says whether Interrupt has ended that without an answer.
func (follower *Follower) interruptible(ctx context.Context, complete *bool) (bool, error) {
	polling, end := context.WithCancel(ctx)
	defer end()
	follower.lock.Lock()
	follower.endPoll = end
	follower.lock.Unlock()
	err := follower.poll(polling, complete)
	return err != nil && polling.Err() != nil, err
}

// Interrupt ends a poll that is under way, so that the next one is made for how
// other nodes rely on this one now.
func (follower *Follower) Interrupt() {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	follower.endPoll()
}

// Steady says that the store answers this node, and has not been away lately.
func (follower *Follower) Steady() bool {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	return follower.state.Healthy && time.Since(follower.regained) > steadyTime
}

// guided says whether another node passes the changes on, and logs when that begins or ends.
func (follower *Follower) guided() bool {
	if follower.guide == nil {
		return false
	}
	led := follower.State().Known && follower.guide.Guided(follower.table)
	if led != follower.led {
		follower.led = led
		follower.log.Info("changes of a table", "table", follower.table, "throughRelay", led, "version", follower.State().Version)
	}
	return led
}

// poll asks once; complete says whether the copy has a version to go on from.
func (follower *Follower) poll(ctx context.Context, complete *bool) error {
	begun := follower.clock.Now()
	if !*complete {
		bounded, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		batch, err := follower.store.Snapshot(bounded, follower.table)
		if err != nil {
			return errors.Trace(err)
		}
		follower.Offer(batch)
		follower.confirm(begun)
		*complete = true
		return nil
	}
	wait := follower.wait
	state := follower.State()
	if follower.guideWait > 0 && follower.guide != nil && follower.guide.Guides() {
		wait = min(wait, follower.guideWait)
	}
	if !state.Healthy {
		wait = 0
	}
	bounded, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	batch, err := follower.store.Changes(bounded, follower.table, state.Version, wait)
	if err != nil {
		return errors.Trace(err)
	}
	recovering := follower.recoveringNow()
	follower.Offer(batch)
	follower.confirm(begun)
	if len(batch.Rows) > 0 {
		if follower.guide != nil {
			follower.guide.PassOn(follower.table, state.Changed, batch, recovering)
		}
		sleep(ctx, follower.gather)
	}
	return nil
}

// confirm notes that the copy was current at a time of the clock.
func (follower *Follower) confirm(at time.Duration) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	follower.state.CurrentAt = max(follower.state.CurrentAt, at)
}

// note logs when the store is lost or regained.
func (follower *Follower) note(err error) {
	follower.gate.note(follower, err == nil)
	follower.lock.Lock()
	defer follower.lock.Unlock()
	healthy := err == nil
	if healthy == follower.state.Healthy && follower.everAsked {
		return
	}
	if healthy {
		if !follower.lostAt.IsZero() {
			follower.regained = time.Now()
		}
		follower.log.Info("store answers", "table", follower.table, "version", follower.state.Version)
	} else {
		follower.lostAt = time.Now()
		follower.log.Info("store lost", "table", follower.table, "version", follower.state.Version, "reason", err.Error())
	}
	follower.state.Healthy = healthy
	follower.everAsked = true
}

// Offer takes rows from the store or from a peer; what is older than the copy is left out.
func (follower *Follower) Offer(batch mimosatide.RowBatch) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if batch.Version < follower.state.Version || (!batch.Complete && !follower.state.Known) {
		return
	}
	follower.take(batch, follower.recovering())
}

// OfferChanges takes changes that another node passes on. It returns false when
// the copy lacks changes before them, so that it has to be offered a whole one.
func (follower *Follower) OfferChanges(after mimosatide.RowVersion, batch mimosatide.RowBatch, recovering bool) bool {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if !follower.state.Known || follower.state.Version < after {
		return false
	}
	if batch.Version > follower.state.Version {
		follower.take(batch, recovering)
	}
	return true
}

// take puts rows that are newer than the copy in force.
func (follower *Follower) take(batch mimosatide.RowBatch, recovering bool) {
	update := Update{Recovering: recovering}
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
		update.Rows = append(update.Rows, change)
	}
	if batch.Complete {
		for key, row := range follower.rows {
			if !seen[key] && row.Version <= batch.Version {
				delete(follower.rows, key)
				gone := mimosatide.RowChange{Row: mimosatide.Row{Key: key, Version: batch.Version}, Deleted: true}
				update.Rows = append(update.Rows, gone)
			}
		}
	}
	for _, change := range update.Rows {
		follower.state.Changed = max(follower.state.Changed, change.Version)
	}
	follower.state.Version = batch.Version
	first := !follower.state.Known
	follower.state.Known = true
	if len(update.Rows) > 0 || first {
		follower.apply(update)
	}
}

func (follower *Follower) recoveringNow() bool {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	return follower.recovering()
}

func (follower *Follower) recovering() bool {
	if follower.lostAt.IsZero() {
		return false
	}
	return !follower.state.Healthy || time.Since(follower.regained) < recoveryTime
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
