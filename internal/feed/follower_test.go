package feed_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/feed"
)

// scriptedStore gives the listed answers, then lets every call wait for its context.
type scriptedStore struct {
	lock    sync.Mutex
	answers []answer
	calls   []string
}

type answer struct {
	batch mimosatide.RowBatch
	err   error
	// delay is how long the store takes to answer.
	delay time.Duration
	// silent says that the store never answers the call.
	silent bool
	// transfer is how long the answer then takes to arrive, a part of it every 100 ms.
	transfer time.Duration
	// stalls says that the rest of the answer never arrives.
	stalls bool
}

func (store *scriptedStore) next(ctx context.Context, call string, progress mimosatide.Progress) (mimosatide.RowBatch, error) {
	store.lock.Lock()
	store.calls = append(store.calls, call)
	next := answer{silent: true}
	if len(store.answers) > 0 {
		next = store.answers[0]
		store.answers = store.answers[1:]
	}
	store.lock.Unlock()
	if next.silent {
		<-ctx.Done()
		return mimosatide.RowBatch{}, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return mimosatide.RowBatch{}, ctx.Err()
	case <-time.After(next.delay):
	}
	for end := time.Now().Add(next.transfer); time.Now().Before(end); {
		progress(1000)
		select {
		case <-ctx.Done():
			return mimosatide.RowBatch{}, ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	if next.stalls {
		<-ctx.Done()
		return mimosatide.RowBatch{}, ctx.Err()
	}
	return next.batch, next.err
}

// called returns the calls so far.
func (store *scriptedStore) called() []string {
	store.lock.Lock()
	defer store.lock.Unlock()
	return slices.Clone(store.calls)
}

func (store *scriptedStore) Snapshot(ctx context.Context, _ string, progress mimosatide.Progress) (mimosatide.RowBatch, error) {
	return store.next(ctx, "snapshot", progress)
}

func (store *scriptedStore) Changes(
	ctx context.Context, _ string, _ mimosatide.RowVersion, _ time.Duration, progress mimosatide.Progress,
) (mimosatide.RowBatch, error) {
	return store.next(ctx, "changes", progress)
}

func row(key string, version mimosatide.RowVersion) mimosatide.RowChange {
	return mimosatide.RowChange{Row: mimosatide.Row{Key: key, Value: []byte("v"), Version: version}}
}

// collector receives the updates of a follower.
type collector struct {
	updates chan feed.Update
}

func newFollower(store mimosatide.RowFeed) (*feed.Follower, collector) {
	collected := collector{updates: make(chan feed.Update, 100)}
	follower := feed.New(feed.Settings{Table: "t", BatchDelay: time.Millisecond}, store, mimosatide.NewMonotonicClock(),
		logr.Discard(), func(update feed.Update) { collected.updates <- update })
	return follower, collected
}

func TestSnapshotAfterLostHistoryReportsDeletions(t *testing.T) {
	store := &scriptedStore{answers: []answer{
		{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1), row("b", 2)}, Version: 2, Complete: true}},
		{err: errors.Trace(mimosatide.ErrHistoryGone)},
		{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("b", 2), row("c", 7)}, Version: 9, Complete: true}},
	}}
	follower, collected := newFollower(store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go follower.Run(ctx)
	if first := <-collected.updates; len(first.Rows) != 2 {
		t.Fatalf("first update: got %+v, want 2 rows", first)
	}
	second := <-collected.updates
	changes := map[string]bool{}
	for _, change := range second.Rows {
		changes[change.Key] = change.Deleted
	}
	if len(changes) != 2 || !changes["a"] || changes["c"] {
		t.Errorf("second update: got %+v, want a deleted and c written", second.Rows)
	}
}

// TestHistoryThatIsAlwaysGoneIsNotReadWithoutAPause guards against a node that reads the
// whole table over and over, because no answer ever holds the changes since.
func TestHistoryThatIsAlwaysGoneIsNotReadWithoutAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{}
		for range 10_000 {
			store.answers = append(store.answers,
				answer{delay: time.Millisecond, batch: mimosatide.RowBatch{Version: 1, Complete: true}},
				answer{delay: time.Millisecond, err: errors.Trace(mimosatide.ErrHistoryGone)})
		}
		follower, _ := newFollower(store)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		follower.Run(ctx)
		if calls := len(store.called()); calls > 100 {
			t.Errorf("calls in 10 s to a store whose history is always gone: got %d, want at most 100", calls)
		}
	})
}

func TestLostHistoryIsNotAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 2, Complete: true}},
			{err: errors.Trace(mimosatide.ErrHistoryGone)},
		}}
		follower, _ := newFollower(store)
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		// Less than the limit of the snapshot, which this store leaves without an answer.
		time.Sleep(500 * time.Millisecond)
		if len(store.called()) != 3 || store.called()[2] != "snapshot" || !follower.State().Healthy {
			t.Errorf("got calls %v and healthy %v, want 3 calls with a snapshot last, and healthy", store.called(), follower.State().Healthy)
		}
		cancel()
		synctest.Wait()
	})
}

func TestOlderRowsOfAPeerAreIgnored(t *testing.T) {
	follower, collected := newFollower(&scriptedStore{})
	follower.Merge(mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 5)}, Version: 6, Complete: true})
	<-collected.updates
	follower.Merge(mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 3)}, Version: 4, Complete: true})
	follower.Merge(mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 3)}, Version: 7})
	if len(collected.updates) != 0 {
		t.Errorf("got update %+v for older rows, want none", <-collected.updates)
	}
	if state := follower.State(); state.Version != 7 || state.LastChange != 5 {
		t.Errorf("got state %+v, want version 7 and last change 5", state)
	}
}

// TestChangesBeforeTheFirstSnapshotAreIgnored guards against taking a part of a table for
// the whole table.
func TestChangesBeforeTheFirstSnapshotAreIgnored(t *testing.T) {
	follower, collected := newFollower(&scriptedStore{})
	follower.Merge(mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 5)}, Version: 6})
	if follower.State().Synced || len(collected.updates) != 0 {
		t.Error("incomplete batch before the first snapshot: got merged, want ignored")
	}
}

func TestSnapshotOfAPeerSyncsAFollower(t *testing.T) {
	first, _ := newFollower(&scriptedStore{})
	first.Merge(mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 5)}, Version: 6, Complete: true})
	second, collected := newFollower(&scriptedStore{})
	second.Merge(first.Snapshot())
	if update := <-collected.updates; len(update.Rows) != 1 || !second.State().Synced {
		t.Errorf("got update %+v, want 1 row and the follower synced", update)
	}
}

func TestDeletionDuringAnOutageIsMarkedRecovering(t *testing.T) {
	store := &scriptedStore{answers: []answer{
		{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 2, Complete: true}},
		{err: errors.New("down")},
		{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{{Row: mimosatide.Row{Key: "a", Version: 3}, Deleted: true}}, Version: 3}},
	}}
	follower, collected := newFollower(store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go follower.Run(ctx)
	if first := <-collected.updates; first.Recovering {
		t.Error("first update: got Recovering, want not recovering")
	}
	if second := <-collected.updates; !second.Recovering {
		t.Error("deletion read right after an outage: got not recovering, want Recovering")
	}
}

// TestDeletionAfterTheRecoveryWindowIsNotMarkedRecovering deletes a row one
// second after the store answered again: a target that leaves then must not be
// kept as one whose row only expired.
func TestDeletionAfterTheRecoveryWindowIsNotMarkedRecovering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone := mimosatide.RowChange{Row: mimosatide.Row{Key: "a", Version: 3}, Deleted: true}
		store := &scriptedStore{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 2, Complete: true}},
			{err: errors.New("down")},
			{batch: mimosatide.RowBatch{Version: 2}},
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{gone}, Version: 3}, delay: time.Second},
		}}
		follower, collected := newFollower(store)
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		<-collected.updates
		if second := <-collected.updates; second.Recovering {
			t.Error("deletion one second after the outage: got Recovering, want not recovering")
		}
		cancel()
		synctest.Wait()
	})
}

func TestFollowerIsNotSteadyRightAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		empty := answer{batch: mimosatide.RowBatch{Version: 2}, delay: time.Second}
		store := &scriptedStore{answers: []answer{
			{batch: mimosatide.RowBatch{Version: 2, Complete: true}},
			{err: errors.New("down")},
			empty, empty, empty, empty, empty, empty,
		}}
		follower, _ := newFollower(store)
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		time.Sleep(2 * time.Second)
		if !follower.State().Healthy || follower.Steady() {
			t.Error("just after the outage: got unhealthy or steady, want healthy and not steady")
		}
		time.Sleep(4 * time.Second)
		if !follower.Steady() {
			t.Error("4 s later without another outage: got not steady, want steady")
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// fakePeers records after which version a follower forwards changes, and reports whether
// the follower receives changes from a relay.
type fakePeers struct {
	lock           sync.Mutex
	receives       bool
	expects        bool
	changed        chan struct{}
	forwardedAfter []mimosatide.RowVersion
	tablesAfter    []mimosatide.RowVersion
}

func (peers *fakePeers) ReceivesFromRelay(string) bool {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	return peers.receives
}

func (peers *fakePeers) ExpectsRelay(string) bool {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	return peers.expects
}

func (peers *fakePeers) RelayChanged() <-chan struct{} {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	if peers.changed == nil {
		peers.changed = make(chan struct{})
	}
	return peers.changed
}

func (peers *fakePeers) PollWaitLimit(string) time.Duration { return 0 }

func (peers *fakePeers) Forward(
	_ string, after mimosatide.RowVersion, _ mimosatide.RowBatch, _ map[string]mimosatide.Row, _ bool,
) {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	peers.forwardedAfter = append(peers.forwardedAfter, after)
}

func (peers *fakePeers) ForwardTable(_ string, after mimosatide.RowVersion) {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	peers.tablesAfter = append(peers.tablesAfter, after)
}

func (peers *fakePeers) tables() []mimosatide.RowVersion {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	return slices.Clone(peers.tablesAfter)
}

func (peers *fakePeers) forwarded() []mimosatide.RowVersion {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	return slices.Clone(peers.forwardedAfter)
}

func (peers *fakePeers) setReceives(receives bool) {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	peers.receives = receives
	if peers.changed != nil {
		close(peers.changed)
		peers.changed = nil
	}
}

func newFollowerWithPeers(store mimosatide.RowFeed, peers feed.Peers) (*feed.Follower, collector) {
	collected := collector{updates: make(chan feed.Update, 100)}
	settings := feed.Settings{Table: "t", BatchDelay: time.Millisecond, Peers: peers}
	follower := feed.New(settings, store, mimosatide.NewMonotonicClock(), logr.Discard(),
		func(update feed.Update) { collected.updates <- update })
	return follower, collected
}

// TestFollowerThatExpectsARelaySparesItsPoll guards against a start of hundreds of hosts each of
// which polls every table once before its relay takes over, and is charged for it.
func TestFollowerThatExpectsARelaySparesItsPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 4, Complete: true}},
		}}
		peers := &fakePeers{expects: true}
		follower, collected := newFollowerWithPeers(store, peers)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go follower.Run(ctx)
		<-collected.updates
		time.Sleep(time.Second)
		if calls := store.called(); len(calls) != 1 {
			t.Errorf("got calls %v while a relay is expected, want the first one only", calls)
		}
		peers.lock.Lock()
		peers.expects = false
		peers.lock.Unlock()
		time.Sleep(time.Second)
		if calls := store.called(); len(calls) < 2 {
			t.Errorf("got calls %v once no relay is expected, want a poll", calls)
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

func TestFollowerCallsTheStoreOnlyWithoutARelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 4, Complete: true}},
		}}
		peers := &fakePeers{receives: true}
		follower, collected := newFollowerWithPeers(store, peers)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go follower.Run(ctx)
		<-collected.updates
		time.Sleep(time.Minute)
		if len(store.called()) != 1 {
			t.Errorf("got calls %v while a relay forwards, want the first one only", store.called())
		}
		if !follower.MergeChanges(1, mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("b", 6)}, Version: 6}, true) {
			t.Error("changes that follow the copy: got rejected, want merged")
		}
		if update := <-collected.updates; len(update.Rows) != 1 || !update.Recovering {
			t.Errorf("got update %+v, want 1 row with Recovering", update)
		}
		peers.setReceives(false)
		time.Sleep(time.Second)
		if len(store.called()) != 2 || store.called()[1] != "changes" {
			t.Errorf("got calls %v without a relay, want a second one for changes", store.called())
		}
		cancel()
		synctest.Wait()
	})
}

// TestInterruptedPollIsRepeated interrupts an open poll: the next one must start at once,
// and the interruption must not count as an outage of the store.
func TestInterruptedPollIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 4, Complete: true}},
		}}
		follower, _ := newFollower(store)
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		follower.Interrupt()
		synctest.Wait()
		if len(store.called()) != 3 || !follower.State().Healthy {
			t.Errorf("got calls %v and healthy %v, want 3 calls and healthy", store.called(), follower.State().Healthy)
		}
		cancel()
		synctest.Wait()
	})
}

// TestLostStoreIsProbedByOneFollower lets two followers of one store lose it: only the
// first may probe it, since every call is charged for, and both must call it again once
// it answers the first. The open poll of the second is replaced once, when the first loses
// the store.
func TestLostStoreIsProbedByOneFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := &feed.ProbeGate{}
		whole := answer{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 4, Complete: true}}
		down := answer{err: errors.New("down"), delay: time.Millisecond}
		back := answer{batch: mimosatide.RowBatch{Version: 4}}
		stores := []*scriptedStore{
			{answers: []answer{whole, down, down, down, down, back}},
			{answers: []answer{whole, {silent: true}, {err: errors.New("down"), delay: 10 * time.Millisecond}, back}},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var followers []*feed.Follower
		for _, store := range stores {
			settings := feed.Settings{Table: "t", BatchDelay: time.Millisecond, ProbeGate: gate}
			follower := feed.New(settings, store, mimosatide.NewMonotonicClock(), logr.Discard(), func(feed.Update) {})
			followers = append(followers, follower)
			go follower.Run(ctx)
		}
		time.Sleep(300 * time.Millisecond)
		if len(stores[1].called()) != 3 {
			t.Errorf("got calls %v of the follower that does not probe, want 3", stores[1].called())
		}
		time.Sleep(5 * time.Second)
		for index, follower := range followers {
			if !follower.State().Healthy {
				t.Errorf("follower %d after the store answers again: got not healthy, want healthy; its calls: %v", index, stores[index].called())
			}
		}
		cancel()
		synctest.Wait()
	})
}

// TestFollowerOfARelayIsNotTheProber guards against followers that wait for ever for a
// prober which has stopped calling the store, because a relay forwards its table.
func TestFollowerOfARelayIsNotTheProber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := &feed.ProbeGate{}
		whole := answer{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 4, Complete: true}}
		down := answer{err: errors.New("down"), delay: time.Millisecond}
		peers := &fakePeers{}
		stores := []*scriptedStore{
			{answers: []answer{whole, down}},
			{answers: []answer{
				whole, {silent: true}, {err: errors.New("down"), delay: 10 * time.Millisecond}, {batch: mimosatide.RowBatch{Version: 4}},
			}},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var followers []*feed.Follower
		for index, store := range stores {
			settings := feed.Settings{Table: "t", BatchDelay: time.Millisecond, ProbeGate: gate}
			if index == 0 {
				settings.Peers = peers
			}
			follower := feed.New(settings, store, mimosatide.NewMonotonicClock(), logr.Discard(), func(feed.Update) {})
			followers = append(followers, follower)
			go follower.Run(ctx)
		}
		time.Sleep(20 * time.Millisecond)
		peers.setReceives(true)
		time.Sleep(5 * time.Second)
		if !followers[1].State().Healthy {
			t.Errorf("with a prober that follows a relay: got calls %v of the other follower, want it to probe the store", stores[1].called())
		}
		cancel()
		synctest.Wait()
	})
}

// observeFor passes a version that a peer knows to a follower, as its digests do for the
// given time.
func observeFor(follower *feed.Follower, version mimosatide.RowVersion, duration time.Duration) {
	for passed := time.Duration(0); passed < duration; passed += 200 * time.Millisecond {
		follower.ObserveVersion("peer", version)
		time.Sleep(200 * time.Millisecond)
	}
}

// TestSilentPollIsReplacedOnceAPeerKnowsMore guards against a copy that stays old for the
// whole wait of a poll whose answer was lost, while the store answers new calls.
func TestSilentPollIsReplacedOnceAPeerKnowsMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 4, Complete: true}},
			{silent: true},
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 9)}, Version: 9}},
		}}
		follower, _ := newFollower(store)
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		observeFor(follower, 9, 2*time.Second)
		if state := follower.State(); state.Version != 9 || len(store.called()) != 4 {
			t.Errorf("2 s after a peer knew version 9: got version %d and calls %v, want version 9 and 4 calls", state.Version, store.called())
		}
		cancel()
		synctest.Wait()
	})
}

// TestDeletionAfterASilentPollIsMarkedRecovering guards against taking a row that lapsed
// during an outage for deleted, because the poll was silent and the outage not noticed.
func TestDeletionAfterASilentPollIsMarkedRecovering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone := mimosatide.RowChange{Row: mimosatide.Row{Key: "a", Version: 9}, Deleted: true}
		store := &scriptedStore{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 4, Complete: true}},
			{silent: true},
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{gone}, Version: 9}},
		}}
		follower, collected := newFollower(store)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		go follower.Run(ctx)
		<-collected.updates
		observeFor(follower, 9, 2*time.Second)
		if len(collected.updates) != 1 {
			t.Fatalf("got %d updates after a peer knew version 9, want 1", len(collected.updates))
		}
		if update := <-collected.updates; !update.Recovering || follower.Steady() {
			t.Errorf("got update %+v and steady %v, want Recovering and not steady", update, follower.Steady())
		}
	})
}

// TestFailedCallReplacesTheOpenPollsOfTheOtherFollowers guards against a silent poll of
// one table that is kept although the store was seen to fail meanwhile.
func TestFailedCallReplacesTheOpenPollsOfTheOtherFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := &feed.ProbeGate{}
		whole := answer{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 4, Complete: true}}
		failing := &scriptedStore{answers: []answer{
			whole, {err: errors.New("down"), delay: time.Second}, {batch: mimosatide.RowBatch{Version: 9}},
		}}
		silent := &scriptedStore{answers: []answer{
			whole, {silent: true}, {batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 9)}, Version: 9}},
		}}
		ctx, cancel := context.WithCancel(context.Background())
		var followers []*feed.Follower
		for _, store := range []*scriptedStore{failing, silent} {
			settings := feed.Settings{Table: "t", BatchDelay: time.Millisecond, ProbeGate: gate}
			follower := feed.New(settings, store, mimosatide.NewMonotonicClock(), logr.Discard(), func(feed.Update) {})
			followers = append(followers, follower)
			go follower.Run(ctx)
		}
		time.Sleep(3 * time.Second)
		if state := followers[1].State(); state.Version != 9 {
			t.Errorf("2 s after the store failed: got version %d of the other follower and calls %v, want 9", state.Version, silent.called())
		}
		cancel()
		synctest.Wait()
	})
}

// TestCopyIsConfirmedOnlyIfItHasThePeersChanges guards against an old copy that counts as
// current because a newer one does.
func TestCopyIsConfirmedOnlyIfItHasThePeersChanges(t *testing.T) {
	follower, _ := newFollower(&scriptedStore{})
	follower.Confirm(0, time.Hour)
	follower.Merge(mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 3)}, Version: 5, Complete: true})
	follower.Confirm(6, 2*time.Hour)
	if state := follower.State(); state.ConfirmedAt != 0 {
		t.Errorf("confirmed by nobody with the same changes: got confirmed at %v, want never", state.ConfirmedAt)
	}
	follower.Confirm(4, time.Hour)
	follower.Confirm(4, time.Minute)
	if state := follower.State(); state.ConfirmedAt != time.Hour || state.CurrentAt != 0 {
		t.Errorf("got confirmed at %v and current at %v, want 1h and never", state.ConfirmedAt, state.CurrentAt)
	}
}

func TestChangesAfterAGapAreRejected(t *testing.T) {
	follower, _ := newFollower(&scriptedStore{})
	batch := mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("b", 9)}, Version: 9}
	if follower.MergeChanges(0, batch, false) {
		t.Error("changes before the first snapshot: got merged, want rejected")
	}
	follower.Merge(mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 3)}, Version: 5, Complete: true})
	if follower.MergeChanges(7, batch, false) {
		t.Error("changes after 7 for a copy at version 5: got merged, want rejected")
	}
	if state := follower.State(); state.Version != 5 {
		t.Errorf("got version %d, want 5", state.Version)
	}
	if !follower.MergeChanges(5, batch, false) || follower.State().Version != 9 {
		t.Error("changes that follow the copy: got rejected or another version than 9, want merged and version 9")
	}
	older := mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("b", 7)}, Version: 7}
	if !follower.MergeChanges(5, older, false) || follower.State().Version != 9 {
		t.Error("older batch: got rejected or another version than 9, want accepted and version 9")
	}
}

func TestChangesFromTheStoreAreForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 3)}, Version: 5, Complete: true}},
			{batch: mimosatide.RowBatch{Version: 8}},
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 9)}, Version: 9}},
		}}
		peers := &fakePeers{}
		follower, _ := newFollowerWithPeers(store, peers)
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		if !slices.Equal(peers.forwarded(), []mimosatide.RowVersion{3}) {
			// The other nodes know change 3, but not the version of a poll without changes.
			t.Errorf("got changes forwarded after %v, want after 3", peers.forwarded())
		}
		cancel()
		synctest.Wait()
	})
}

// TestAnswerThatIsArrivingIsNotGivenUp guards against a host on a slow link that never gets
// a large row: each read of it is given up on the way, and the next one begins anew.
func TestAnswerThatIsArrivingIsNotGivenUp(t *testing.T) {
	large := mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 8)}, Version: 8}
	for name, answers := range map[string][]answer{
		"changes": {
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 1, Complete: true}},
			{batch: large, transfer: 3 * time.Second},
		},
		"snapshot": {
			{batch: mimosatide.RowBatch{Rows: large.Rows, Version: 8, Complete: true}, transfer: 3 * time.Second},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				follower, _ := newFollower(&scriptedStore{answers: answers})
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				go follower.Run(ctx)
				for ctx.Err() == nil && follower.State().LastChange < 8 {
					follower.ObserveVersion("peer", 8)
					time.Sleep(200 * time.Millisecond)
				}
				if version := follower.State().LastChange; version != 8 {
					t.Errorf("newest change after an answer that takes 3 s to arrive: got %d, want 8", version)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestAnswerThatStopsArrivingIsGivenUp guards against a copy that waits for the rest of an
// answer which never comes.
func TestAnswerThatStopsArrivingIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 1, Complete: true}},
			{transfer: 500 * time.Millisecond, stalls: true},
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 8)}, Version: 8}},
		}}
		follower, _ := newFollower(store)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		go follower.Run(ctx)
		for ctx.Err() == nil && follower.State().LastChange < 8 {
			follower.ObserveVersion("peer", 8)
			time.Sleep(200 * time.Millisecond)
		}
		if version := follower.State().LastChange; version != 8 {
			t.Errorf("newest change after an answer that stopped on the way: got %d, want 8", version)
		}
		cancel()
		synctest.Wait()
	})
}

// TestFollowerThatHasJustStartedIsNotSteady guards against a host that confirms the deletions of
// an outage to others, because it has started just after it and saw none.
func TestFollowerThatHasJustStartedIsNotSteady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quiet := answer{batch: mimosatide.RowBatch{Version: 2}, delay: time.Second}
		store := &scriptedStore{answers: []answer{
			{batch: mimosatide.RowBatch{Version: 2, Complete: true}}, quiet, quiet, quiet, quiet, quiet,
		}}
		follower, _ := newFollower(store)
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		time.Sleep(1500 * time.Millisecond)
		if !follower.State().Healthy || follower.Steady() {
			t.Error("1.5 s after the start: got unhealthy or steady, want healthy and not steady")
		}
		time.Sleep(2500 * time.Millisecond)
		if !follower.Steady() {
			t.Error("4 s after the start: got not steady, want steady")
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}
