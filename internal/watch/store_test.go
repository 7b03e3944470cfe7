package watch_test

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// condition is how the store treats the calls of a host.
type condition int

const (
	answering condition = iota
	// silent loses the calls that are open meanwhile, those of before too.
	silent
	// resetting fails these calls.
	resetting
	// refusing fails new calls and leaves the open ones without an answer.
	refusing
	slow
	conditions
)

func (condition condition) String() string {
	return []string{"answering", "silent", "resetting", "refusing", "slow"}[condition]
}

const (
	answerTime     = 4 * time.Millisecond
	slowAnswerTime = 300 * time.Millisecond
)

// store is a store of two tables that is never down for those who write.
type store struct {
	lock    sync.Mutex
	version mimosatide.RowVersion
	rows    map[string][]mimosatide.RowChange
	writeAt map[mimosatide.RowVersion]time.Time
	changed chan struct{}
	calls   int
}

func newStore() *store {
	return &store{
		rows: map[string][]mimosatide.RowChange{}, writeAt: map[mimosatide.RowVersion]time.Time{}, changed: make(chan struct{}),
	}
}

func (store *store) write(table string) {
	store.lock.Lock()
	defer store.lock.Unlock()
	store.version++
	store.writeAt[store.version] = time.Now()
	change := mimosatide.RowChange{Row: mimosatide.Row{Key: "k", Version: store.version}}
	store.rows[table] = append(store.rows[table], change)
	close(store.changed)
	store.changed = make(chan struct{})
}

// changesAfter returns the changes of a table after a version, and a channel that is closed at the next one.
func (store *store) changesAfter(table string, after mimosatide.RowVersion) (mimosatide.RowBatch, <-chan struct{}) {
	store.lock.Lock()
	defer store.lock.Unlock()
	batch := mimosatide.RowBatch{Version: store.version}
	for _, change := range store.rows[table] {
		if change.Version > after {
			batch.Rows = append(batch.Rows, change)
		}
	}
	return batch, store.changed
}

// newestBefore returns the newest version of a table that was written before a time.
func (store *store) newestBefore(table string, limit time.Time) mimosatide.RowVersion {
	store.lock.Lock()
	defer store.lock.Unlock()
	newest := mimosatide.RowVersion(0)
	for _, change := range store.rows[table] {
		if store.writeAt[change.Version].Before(limit) {
			newest = change.Version
		}
	}
	return newest
}

func (store *store) callCount() int {
	store.lock.Lock()
	defer store.lock.Unlock()
	return store.calls
}

// path is the store as one host reaches it. It implements mimosatide.RowFeed.
type path struct {
	store *store
	lock  sync.Mutex
	// condition holds since changedAt; interrupted is closed when it stops answering.
	condition   condition
	changedAt   time.Time
	interrupted chan struct{}
}

func newPath(store *store) *path {
	return &path{store: store, changedAt: time.Now(), interrupted: make(chan struct{})}
}

func (path *path) set(condition condition) {
	path.lock.Lock()
	defer path.lock.Unlock()
	if path.condition == condition {
		return
	}
	path.condition, path.changedAt = condition, time.Now()
	if condition != answering && condition != slow {
		close(path.interrupted)
		path.interrupted = make(chan struct{})
	}
}

func (path *path) state() (condition, <-chan struct{}) {
	path.lock.Lock()
	defer path.lock.Unlock()
	return path.condition, path.interrupted
}

// answersFor returns for how long the store has treated the host well.
func (path *path) answersFor() time.Duration {
	path.lock.Lock()
	defer path.lock.Unlock()
	if path.condition != answering {
		return 0
	}
	return time.Since(path.changedAt)
}

// await waits for a channel or a duration, whichever is first, and then for the answer's way. An interruption
// fails the call or loses its answer.
func (path *path) await(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	condition, interrupted := path.state()
	for range 2 {
		switch condition {
		case silent:
			<-ctx.Done()
			return ctx.Err()
		case resetting, refusing:
			return errors.New("refused")
		}
		waited := make(chan struct{})
		timer := time.AfterFunc(wait, func() { close(waited) })
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-waited:
		case <-interrupted:
			if condition, _ = path.state(); condition == resetting {
				return errors.New("reset")
			}
			<-ctx.Done()
			return ctx.Err()
		}
		condition, interrupted = path.state()
		changed, wait = nil, answerTime
		if condition == slow {
			wait = slowAnswerTime
		}
	}
	return nil
}

func (path *path) Snapshot(ctx context.Context, table string, _ mimosatide.Progress) (mimosatide.RowBatch, error) {
	batch, err := path.Changes(ctx, table, 0, 0, nil)
	batch.Complete = true
	return batch, err
}

func (path *path) Changes(
	ctx context.Context, table string, after mimosatide.RowVersion, wait time.Duration, _ mimosatide.Progress,
) (mimosatide.RowBatch, error) {
	path.store.lock.Lock()
	path.store.calls++
	path.store.lock.Unlock()
	for deadline := time.Now().Add(wait); ; {
		batch, changed := path.store.changesAfter(table, after)
		left := time.Until(deadline)
		if len(batch.Rows) > 0 || left <= 0 {
			left = 0
		}
		if err := path.await(ctx, changed, left); err != nil {
			return mimosatide.RowBatch{}, err
		}
		if left == 0 {
			return batch, nil
		}
	}
}
