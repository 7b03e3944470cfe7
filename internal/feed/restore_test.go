package feed_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/feed"
)

// at returns a version of an era of the store.
func at(era, number uint64) mimosatide.RowVersion {
	version, err := mimosatide.NewRowVersion(era, number)
	if err != nil {
		panic(err)
	}
	return version
}

// valued returns a row with a value.
func valued(key, value string, version mimosatide.RowVersion) mimosatide.RowChange {
	return mimosatide.RowChange{Row: mimosatide.Row{Key: key, Value: []byte(value), Version: version}}
}

// whole returns a batch of a whole table.
func whole(version mimosatide.RowVersion, rows ...mimosatide.RowChange) mimosatide.RowBatch {
	return mimosatide.RowBatch{Rows: rows, Version: version, Complete: true}
}

// loggingFollower returns a follower and a function that returns its log.
func loggingFollower(store mimosatide.RowFeed, settings feed.Settings) (*feed.Follower, collector, func() string) {
	var lock sync.Mutex
	var lines []string
	log := funcr.New(func(_, line string) {
		lock.Lock()
		defer lock.Unlock()
		lines = append(lines, line)
	}, funcr.Options{})
	collected := collector{updates: make(chan feed.Update, 100)}
	settings.Table, settings.BatchDelay = "t", time.Millisecond
	follower := feed.New(settings, store, mimosatide.NewMonotonicClock(), log, func(update feed.Update) { collected.updates <- update })
	return follower, collected, func() string {
		lock.Lock()
		defer lock.Unlock()
		return strings.Join(lines, "\n")
	}
}

// TestRestoreIsToldWithWhatItTook guards against a restore that leaves no trace in a node's log
// and metrics.
func TestRestoreIsToldWithWhatItTook(t *testing.T) {
	follower, _, log := loggingFollower(&scriptedStore{}, feed.Settings{})
	follower.Merge(whole(at(1, 90), valued("same", "1", at(1, 5)), valued("older", "2", at(1, 80)), valued("lost", "1", at(1, 85))))
	follower.Merge(whole(at(2, 70), valued("same", "1", at(2, 5)), valued("older", "1", at(2, 60))))
	follower.Merge(whole(at(1, 95), valued("lost", "1", at(1, 85))))
	if counts := follower.Counts(); counts != (feed.Counts{Restores: 1, ChangedRows: 1, LostRows: 1, Ignored: 1}) {
		t.Errorf("got counts %+v, want one restore that changed a row and took one, and one batch ignored", counts)
	}
	if strings.Count(log(), "store restored") != 1 || !strings.Contains(log(), `"eraBefore"=1 "era"=2 "before"="1/90" "version"="2/70"`) {
		t.Errorf("got log\n%s\nwant one line with the eras and versions of the restore", log())
	}
}

// TestRowsOfAnEarlierEraNeverWin guards against rows of before a restore that arrive after it,
// from the store, a relay or a peer.
func TestRowsOfAnEarlierEraNeverWin(t *testing.T) {
	follower, collected, _ := loggingFollower(&scriptedStore{}, feed.Settings{})
	follower.Merge(whole(at(1, 90), valued("a", "lost", at(1, 85))))
	if follower.MergeChanges(at(1, 90), mimosatide.RowBatch{Version: at(2, 75), Rows: []mimosatide.RowChange{valued("b", "1", at(2, 75))}}, false) {
		t.Error("changes of the next era after one of this era: got merged, want rejected, as the restored rows are missing")
	}
	follower.Merge(mimosatide.RowBatch{Version: at(2, 75), Rows: []mimosatide.RowChange{valued("b", "1", at(2, 75))}})
	if state := follower.State(); state.Version != at(1, 90) {
		t.Errorf("after changes of the next era without its table: got version %s, want 1/90", state.Version)
	}
	follower.Merge(whole(at(2, 70), valued("a", "restored", at(2, 60))))
	<-collected.updates
	<-collected.updates
	follower.Merge(whole(at(1, 95), valued("a", "late", at(1, 95))))
	follower.Merge(mimosatide.RowBatch{Version: at(1, 95), Rows: []mimosatide.RowChange{valued("a", "late", at(1, 95))}})
	follower.MergeChanges(at(1, 90), mimosatide.RowBatch{Version: at(1, 95), Rows: []mimosatide.RowChange{valued("a", "late", at(1, 95))}}, false)
	follower.MergeChanges(at(1, 90), mimosatide.RowBatch{Version: 9000, Rows: []mimosatide.RowChange{valued("a", "late", 9000)}}, false)
	if row, _ := follower.Row("a"); string(row.Value) != "restored" || follower.State().Version != at(2, 70) || len(collected.updates) != 0 {
		t.Errorf("got row %+v at version %s, want the restored row at 2/70", row, follower.State().Version)
	}
}

// TestCopyIsNotConfirmedByOneOfAnotherEra guards against a copy that counts as current because
// of a version whose number is of before a restore, or of a node that knows no eras.
func TestCopyIsNotConfirmedByOneOfAnotherEra(t *testing.T) {
	follower, _, _ := loggingFollower(&scriptedStore{}, feed.Settings{})
	follower.Merge(whole(at(2, 70)))
	for _, version := range []mimosatide.RowVersion{at(0, 90), at(1, 90), at(3, 10)} {
		follower.Confirm(version, time.Hour)
		if state := follower.State(); state.ConfirmedAt != 0 {
			t.Errorf("copy at 2/70, confirmed at %s: got confirmed at %v, want never", version, state.ConfirmedAt)
		}
	}
}

// TestRestoreCountsAsAnOutage guards against live targets that are removed because the copy
// from which the store came back lacks their rows. No call to the store has failed.
func TestRestoreCountsAsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quiet := answer{batch: mimosatide.RowBatch{Version: at(2, 70)}, delay: time.Second}
		store := &scriptedStore{answers: []answer{
			{batch: whole(at(1, 90), valued("a", "1", at(1, 85)))},
			{delay: 5 * time.Second, err: errors.Trace(mimosatide.ErrHistoryGone)},
			{batch: whole(at(2, 70))},
			quiet, quiet, quiet, quiet, quiet, quiet,
		}}
		follower, collected, _ := loggingFollower(store, feed.Settings{})
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		<-collected.updates
		update := <-collected.updates
		if len(update.Rows) != 1 || !update.Rows[0].Deleted || !update.Recovering {
			t.Errorf("got update %+v, want the deletion, Recovering", update)
		}
		if !follower.State().Healthy || follower.Steady() {
			t.Error("just after the restore: got unhealthy or steady, want healthy and not steady")
		}
		time.Sleep(4 * time.Second)
		if !follower.Steady() {
			t.Error("4 s after the restore: got not steady, want steady")
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// TestRowsThatARestoreLeftAsTheyWereAreNoUpdate guards against a large configuration that
// every host decodes again after each restore.
func TestRowsThatARestoreLeftAsTheyWereAreNoUpdate(t *testing.T) {
	follower, collected, _ := loggingFollower(&scriptedStore{}, feed.Settings{})
	follower.Merge(whole(at(1, 90), valued("same", "1", at(1, 5)), valued("other", "new", at(1, 85))))
	<-collected.updates
	follower.Merge(whole(at(2, 70), valued("same", "1", at(2, 5)), valued("other", "old", at(2, 60))))
	if update := <-collected.updates; len(update.Rows) != 1 || update.Rows[0].Key != "other" {
		t.Errorf("got update %+v, want the changed row only", update)
	}
	if row, found := follower.Row("same"); !found || row.Version != at(2, 5) {
		t.Errorf("got row %+v, want it with its version 2/5, the base of later changes", row)
	}
	follower.Merge(whole(at(3, 40), valued("same", "1", at(3, 5)), valued("other", "old", at(3, 30))))
	if len(collected.updates) != 0 || follower.State().LastChange != at(3, 30) {
		t.Errorf("after a restore that changed nothing: got %d updates and last change %s, want none and 3/30", len(collected.updates), follower.State().LastChange)
	}
}

// TestRestoreIsAChangeOfEachTable guards against hosts without the store that never hear of a
// restore, because their peers' digests name no newer change of a table.
func TestRestoreIsAChangeOfEachTable(t *testing.T) {
	first, _, _ := loggingFollower(&scriptedStore{}, feed.Settings{})
	second, _, _ := loggingFollower(&scriptedStore{}, feed.Settings{})
	first.Merge(whole(at(1, 90), valued("a", "1", at(1, 85))))
	first.Merge(whole(at(2, 70)))
	second.Merge(whole(at(2, 72)))
	for _, follower := range []*feed.Follower{first, second} {
		if state := follower.State(); state.LastChange != at(2, 0) {
			t.Errorf("empty table of era 2: got last change %s, want 2/0 on each host", state.LastChange)
		}
	}
	behind, _, _ := loggingFollower(&scriptedStore{}, feed.Settings{})
	behind.Merge(whole(at(1, 90)))
	if behind.Knows(first.State().LastChange) {
		t.Error("copy of era 1: got that it knows the restored table, want not")
	}
}

// TestRestoreReplacesTheOpenPolls guards against a copy that misses what is written after a
// restore, because its open poll waits for a number that the store gives out later.
func TestRestoreReplacesTheOpenPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := &feed.ProbeGate{}
		noticing := &scriptedStore{answers: []answer{
			{batch: whole(at(1, 90))}, {delay: time.Second, err: errors.Trace(mimosatide.ErrHistoryGone)}, {batch: whole(at(2, 70))},
		}}
		waiting := &scriptedStore{answers: []answer{{batch: whole(at(1, 90))}}}
		told := &scriptedStore{answers: []answer{{batch: whole(at(1, 90))}}}
		first, _, _ := loggingFollower(noticing, feed.Settings{ProbeGate: gate})
		second, _, _ := loggingFollower(waiting, feed.Settings{ProbeGate: gate})
		ctx, cancel := context.WithCancel(context.Background())
		third, _, _ := loggingFollower(told, feed.Settings{})
		for _, follower := range []*feed.Follower{first, second, third} {
			go follower.Run(ctx)
		}
		time.Sleep(1500 * time.Millisecond)
		if calls := waiting.called(); len(calls) != 3 {
			t.Errorf("calls of the other follower: got %v, want its open poll replaced", calls)
		}
		third.Merge(whole(at(2, 71)))
		time.Sleep(100 * time.Millisecond)
		if calls := told.called(); len(calls) != 3 {
			t.Errorf("calls after a peer's restored copy: got %v, want the open poll replaced", calls)
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// TestTableThatWasReadAgainIsForwarded guards against a zone that lags behind its relay by some
// digests, because the relay read the whole table instead of its changes.
func TestTableThatWasReadAgainIsForwarded(t *testing.T) {
	store := &scriptedStore{answers: []answer{
		{batch: whole(at(1, 90), valued("a", "1", at(1, 85)))},
		{err: errors.Trace(mimosatide.ErrHistoryGone)},
		{batch: whole(at(2, 70), valued("a", "0", at(2, 60)))},
		{batch: mimosatide.RowBatch{Version: at(2, 71), Rows: []mimosatide.RowChange{valued("a", "1", at(2, 71))}}},
	}}
	peers := &fakePeers{}
	follower, collected := newFollowerWithPeers(store, peers)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go follower.Run(ctx)
	for range 3 {
		<-collected.updates
	}
	for len(store.called()) < 5 {
		time.Sleep(time.Millisecond)
	}
	if tables := peers.tables(); len(tables) != 1 || tables[0] != at(1, 85) {
		t.Errorf("tables forwarded after: got %v, want one after 1/85, the last change before", tables)
	}
	if forwarded := peers.forwarded(); len(forwarded) != 1 || forwarded[0] != at(2, 60) {
		t.Errorf("changes forwarded after: got %v, want one after 2/60", forwarded)
	}
}
