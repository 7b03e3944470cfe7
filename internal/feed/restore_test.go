package feed_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

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
