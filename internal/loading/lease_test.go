package loading_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/loading"
)

// manualClock is moved by the test.
type manualClock struct {
	lock sync.Mutex
	now  time.Duration
}

func (clock *manualClock) Now() time.Duration {
	clock.lock.Lock()
	defer clock.lock.Unlock()
	return clock.now
}

func (clock *manualClock) move(by time.Duration) {
	clock.lock.Lock()
	defer clock.lock.Unlock()
	clock.now += by
}

// memoryTable is a table with one row per key that can refuse or lose answers.
type memoryTable struct {
	lock    sync.Mutex
	rows    map[string]mimosatide.Row
	version mimosatide.RowVersion
	refuse  bool
	lose    bool
	reads   int
}

func newTable() *memoryTable {
	return &memoryTable{rows: map[string]mimosatide.Row{}}
}

func (table *memoryTable) Read(_ context.Context, keys ...string) ([]mimosatide.Row, error) {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.reads++
	if table.refuse {
		return nil, errors.New("refused")
	}
	var rows []mimosatide.Row
	for _, key := range keys {
		if row, found := table.rows[key]; found {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (table *memoryTable) Commit(
	_ context.Context, transaction mimosatide.Transaction,
) (mimosatide.CommitOutcome, mimosatide.RowVersion, error) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.refuse {
		return mimosatide.CommitRefused, 0, errors.New("refused")
	}
	for _, condition := range transaction.Conditions {
		if table.rows[condition.Key].Version != condition.Version {
			return mimosatide.CommitConflict, 0, nil
		}
	}
	table.version++
	for _, write := range transaction.Writes {
		table.rows[write.Key] = mimosatide.Row{Key: write.Key, Value: write.Value, Version: table.version}
	}
	if table.lose {
		return mimosatide.CommitUnknown, 0, errors.New("lost")
	}
	return mimosatide.CommitDone, table.version, nil
}

const quiet = 3 * time.Second

func newLease(holder string, table loading.LeaseTable, clock loading.Clock) *loading.Lease {
	return loading.NewLease("orders/llm", holder, quiet, table, clock, logr.Discard())
}

func may(lease *loading.Lease) bool {
	_, held := lease.Term()
	return held
}

func TestFirstHolderMayOrderAtOnce(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	lease := newLease("a", table, clock)
	lease.Step(context.Background(), 0)
	if !may(lease) {
		t.Error("the first holder may not order")
	}
}

func TestHolderStopsAtItsTermsEndWithoutRenewal(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	lease := newLease("a", table, clock)
	lease.Step(context.Background(), 0)
	clock.move(4 * time.Second)
	if may(lease) {
		t.Error("a holder that was suspended past its term may order")
	}
}

// TestTwoHoldersNeverOrderWithinTheQuietTime lets a holder end and another take
// over, and looks at every moment in between.
func TestTwoHoldersNeverOrderWithinTheQuietTime(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	last := clock.Now()
	for range 400 {
		clock.move(50 * time.Millisecond)
		if may(first) {
			last = clock.Now()
		}
		second.Step(context.Background(), 0)
		if !may(second) {
			continue
		}
		if gap := clock.Now() - last; gap < quiet {
			t.Fatalf("the second holder orders %s after the first one", gap)
		}
		return
	}
	t.Error("nobody has taken the lease over")
}

func TestReleasedLeaseIsTakenAtOnceButStaysQuiet(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	first.Release(context.Background())
	second.Step(context.Background(), 0)
	if _, _, held := second.Held(); !held || may(second) {
		t.Error("a released lease is not taken at once, or is used too early")
	}
	if may(first) {
		t.Error("a released lease is still used")
	}
}

func TestHolderWithoutTheStoreGivesItsLeaseUp(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	first.Ordered()
	clock.move(time.Second)
	table.refuse = true
	first.Step(context.Background(), 0)
	first.Step(context.Background(), 0)
	table.refuse = false
	row, idle, given := first.GivenUp()
	if !given || may(first) || idle != time.Second {
		t.Fatalf("given up: %v, idle %s", given, idle)
	}
	second.HearGivenUp(row, idle)
	second.Step(context.Background(), 0)
	if _, _, held := second.Held(); !held || may(second) {
		t.Error("the lease was not taken at once, or is used too early")
	}
	clock.move(quiet - idle + 300*time.Millisecond)
	if !may(second) {
		t.Error("the quiet time does not count from the last order")
	}
}

// TestWordOfAnEarlierHolderDoesNotMakeItsSuccessorAway has the node that gave its
// lease up go on saying so after another one has taken it.
func TestWordOfAnEarlierHolderDoesNotMakeItsSuccessorAway(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	third := newLease("c", table, clock)
	third.HearGivenUp(4, time.Second)
	third.Hear(5)
	third.HearGivenUp(4, time.Second)
	third.Step(context.Background(), 0)
	if table.reads > 0 {
		t.Error("a candidate has asked the store although the holder was just heard")
	}
	third.HearGivenUp(5, time.Second)
	third.Step(context.Background(), 0)
	if table.reads == 0 {
		t.Error("a candidate has not asked the store although the lease was given up")
	}
}

func TestLostAnswerOfATakeIsSettledByTheRow(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	lease := newLease("a", table, clock)
	table.lose = true
	lease.Step(context.Background(), 0)
	if may(lease) {
		t.Fatal("a take without an answer counts as done")
	}
	table.lose = false
	lease.Step(context.Background(), 0)
	if term, _, held := lease.Held(); !held || term != 2 {
		t.Errorf("term %d, held %v", term, held)
	}
}

func TestReleaseThatTheStoreRefusesIsToldToThePeers(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	lease := newLease("a", table, clock)
	lease.Step(context.Background(), 0)
	table.refuse = true
	lease.Release(context.Background())
	if _, _, given := lease.GivenUp(); !given || may(lease) {
		t.Error("the peers are not told of a lease that is not used any more")
	}
}

func TestRestartedHolderOrdersAtOnceUnderANewTerm(t *testing.T) {
	table, clock := newTable(), &manualClock{}
	before := newLease("a@10.0.0.1", table, clock)
	before.Step(context.Background(), 0)
	first, _ := before.Term()
	clock.move(time.Second)

	replaced := newLease("a@10.0.0.2", table, clock)
	replaced.Step(context.Background(), 0)
	if may(replaced) {
		t.Error("another machine of the same name has taken a lease in its term")
	}
	again := newLease("a@10.0.0.1", table, clock)
	again.Step(context.Background(), 0)
	second, held := again.Term()
	if !held || second <= first {
		t.Errorf("the restarted machine may order: %t, term %d after %d", held, second, first)
	}
}
