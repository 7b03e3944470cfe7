package quarantine_test

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/quarantine"
)

// memoryTable is a table that fails its next calls on request.
type memoryTable struct {
	lock     sync.Mutex
	rows     map[string][]byte
	failures int
	commits  int
	reads    int
	// era is that of the store, zero in a store that names none.
	era uint64
}

func newMemoryTable() *memoryTable {
	return &memoryTable{rows: map[string][]byte{}}
}

var errUnavailable = errors.New("the store is unavailable")

func (table *memoryTable) Rows(context.Context) ([]mimosatide.Row, error) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.failures > 0 {
		table.failures--
		return nil, errUnavailable
	}
	table.reads++
	var rows []mimosatide.Row
	for key, value := range table.rows {
		rows = append(rows, mimosatide.Row{Key: key, Value: value, Version: 1})
	}
	return rows, nil
}

func (table *memoryTable) Commit(
	_ context.Context, transaction mimosatide.Transaction,
) (mimosatide.CommitOutcome, mimosatide.RowVersion, error) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.failures > 0 {
		table.failures--
		return mimosatide.CommitRefused, 0, errUnavailable
	}
	table.commits++
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(table.rows, write.Key)
		} else {
			table.rows[write.Key] = write.Value
		}
	}
	return mimosatide.CommitDone, 1, nil
}

func (table *memoryTable) has(key string) bool {
	table.lock.Lock()
	defer table.lock.Unlock()
	_, found := table.rows[key]
	return found
}

// fail makes the next calls fail.
func (table *memoryTable) fail(calls int) {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.failures = calls
}

// storeEra returns the era of the store.
func (table *memoryTable) storeEra() uint64 {
	table.lock.Lock()
	defer table.lock.Unlock()
	return table.era
}

// copy returns the rows.
func (table *memoryTable) copy() map[string][]byte {
	table.lock.Lock()
	defer table.lock.Unlock()
	return maps.Clone(table.rows)
}

// restore replaces the rows by those of an earlier copy, in an era of the store.
func (table *memoryTable) restore(rows map[string][]byte, era uint64) {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.rows, table.era = rows, era
}

// counts returns the numbers of reads and writes.
func (table *memoryTable) counts() (reads, commits int) {
	table.lock.Lock()
	defer table.lock.Unlock()
	return table.reads, table.commits
}

// startArchived returns a tracker whose archive runs until the test ends.
func startArchived(t *testing.T, table *memoryTable) *quarantine.Tracker {
	t.Helper()
	tracker := quarantine.New(logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	settings := quarantine.ArchiveSettings{Era: table.storeEra}
	go quarantine.NewArchive(tracker, table, settings, logr.Discard()).Run(ctx)
	return tracker
}

// eventually waits until a condition holds.
func eventually(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: did not happen in time", event)
}

// crashThrice puts the part "deadly" in quarantine, by crashes that end now.
func crashThrice(tracker *quarantine.Tracker) {
	now := time.Now()
	for crash := range uint64(3) {
		tracker.Suspect(crash, request(crash, "deadly"), now.Add(time.Duration(crash)*time.Second-2*time.Second))
	}
}

// TestQuarantineOutlastsARestartOfAllNodes guards against a deadly part that crashes as
// many targets again after each restart of all nodes.
func TestQuarantineOutlastsARestartOfAllNodes(t *testing.T) {
	table := newMemoryTable()
	before := startArchived(t, table)
	table.fail(1)
	crashThrice(before)
	eventually(t, "the row of the part", func() bool { return table.has("part-deadly") })

	table.fail(1)
	after := startArchived(t, table)
	eventually(t, "the quarantine after the restart", func() bool { return held(after, time.Now(), "deadly") })
	if held(after, time.Now().Add(10*time.Minute), "deadly") {
		t.Error("ten minutes later: got quarantined, want the term counted from before the restart")
	}
	after.Suspect(10, request(10, "deadly"), time.Now().Add(10*time.Minute))
	if !held(after, time.Now().Add(10*time.Minute), "deadly") {
		t.Error("crash after the term: got not quarantined, want quarantined again at once")
	}
}

// TestAnswerDeletesASavedQuarantine guards against a sound part that is refused again after
// each restart.
func TestAnswerDeletesASavedQuarantine(t *testing.T) {
	table := newMemoryTable()
	crashThrice(startArchived(t, table))
	eventually(t, "the row of the part", func() bool { return table.has("part-deadly") })
	after := startArchived(t, table)
	eventually(t, "the quarantine after the restart", func() bool { return held(after, time.Now(), "deadly") })
	after.Acquit(request(10, "deadly"), time.Now())
	eventually(t, "the end of the row", func() bool { return !table.has("part-deadly") })
}

// TestOldQuarantineIsDeletedAtTheNextStart guards against rows that nobody deletes.
func TestOldQuarantineIsDeletedAtTheNextStart(t *testing.T) {
	table := newMemoryTable()
	// The encoding of the key SinceMillis with the value 1000.
	table.rows["part-deadly"] = append([]byte{0xa1, 0x6b}, append([]byte("SinceMillis"), 0x19, 0x03, 0xe8)...)
	tracker := startArchived(t, table)
	eventually(t, "the end of the row", func() bool { return !table.has("part-deadly") })
	if held(tracker, time.Now(), "deadly") {
		t.Error("quarantine of 1970: got held, want not")
	}
}

// TestOnlyNodesThatTookPartSaveAQuarantine guards against a write of each node of a large
// fleet at the same moment.
func TestOnlyNodesThatTookPartSaveAQuarantine(t *testing.T) {
	own, others := newMemoryTable(), newMemoryTable()
	tracker, peer := startArchived(t, own), startArchived(t, others)
	crashThrice(tracker)
	peer.Apply(tracker.Report(time.Now()), time.Now())
	eventually(t, "the row of the part", func() bool { return own.has("part-deadly") })
	if !held(peer, time.Now(), "deadly") {
		t.Error("peer: got not quarantined, want quarantined")
	}
	others.lock.Lock()
	defer others.lock.Unlock()
	if others.commits > 0 {
		t.Errorf("peer that cut no request: got %d writes, want none", others.commits)
	}
}

// TestQuarantineThatAPeerDecidedIsSaved guards against a quarantine that is lost with the
// next restart of all nodes, because the node that decided it cut no request itself.
func TestQuarantineThatAPeerDecidedIsSaved(t *testing.T) {
	table := newMemoryTable()
	tookPart, decider := startArchived(t, table), quarantine.New(logr.Discard())
	tookPart.Suspect(1, request(1, "deadly"), time.Now())
	report := quarantine.Report{Quarantined: map[quarantine.Feature]time.Duration{"part-deadly": 0}}
	decider.Apply(report, time.Now())
	tookPart.Apply(decider.Report(time.Now()), time.Now())
	eventually(t, "the row of the part", func() bool { return table.has("part-deadly") })
}

// TestQuarantineThatTheStoreHasLostIsSavedAgain guards against a deadly part that crashes targets
// again after a restart of all nodes, because the store came back from an older copy.
func TestQuarantineThatTheStoreHasLostIsSavedAgain(t *testing.T) {
	table := newMemoryTable()
	earlier := table.copy()
	crashThrice(startArchived(t, table))
	eventually(t, "the row of the part", func() bool { return table.has("part-deadly") })
	table.restore(earlier, 2)
	eventually(t, "the row of the part after the restore", func() bool { return table.has("part-deadly") })
}

// TestLiftedQuarantineThatTheStoreHasBackIsDeleted guards against a sound part that is refused
// after a restart of all nodes, for the same reason.
func TestLiftedQuarantineThatTheStoreHasBackIsDeleted(t *testing.T) {
	table := newMemoryTable()
	tracker := startArchived(t, table)
	crashThrice(tracker)
	eventually(t, "the row of the part", func() bool { return table.has("part-deadly") })
	earlier := table.copy()
	tracker.Acquit(request(10, "deadly"), time.Now())
	eventually(t, "the end of the row", func() bool { return !table.has("part-deadly") })
	table.restore(earlier, 2)
	eventually(t, "the end of the row after the restore", func() bool { return !table.has("part-deadly") })
	if held(tracker, time.Now(), "deadly") {
		t.Error("part that was acquitted before the restore: got quarantined, want not")
	}
}

// TestOneNodeSavesLostQuarantinesForAll guards against a write of each node of a large fleet
// after a restore.
func TestOneNodeSavesLostQuarantinesForAll(t *testing.T) {
	own, others := newMemoryTable(), newMemoryTable()
	tracker, peer := startArchived(t, own), startArchived(t, others)
	crashThrice(tracker)
	eventually(t, "the row of the part", func() bool { return own.has("part-deadly") })
	peer.Apply(tracker.Report(time.Now()), time.Now())
	for era := range uint64(3) {
		before, _ := others.counts()
		// Another node has saved the quarantine again.
		others.restore(own.copy(), era+2)
		eventually(t, "a look at the rows", func() bool {
			reads, _ := others.counts()
			return reads > before
		})
	}
	if _, commits := others.counts(); commits > 0 {
		t.Errorf("node whose quarantines the store has: got %d writes, want none", commits)
	}
}
