package loading_test

import (
	"context"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/loading"
)

// token returns a lease's fencing token, whether or not orders are delayed.
func token(t *testing.T, lease *loading.Lease) uint64 {
	t.Helper()
	term, _, held := lease.Held()
	if !held {
		t.Fatal("got the lease not held, want held")
	}
	return term
}

// stepUntilHeld lets a node try until it has the lease, and returns how long that took.
func stepUntilHeld(t *testing.T, clock *manualClock, lease *loading.Lease) time.Duration {
	t.Helper()
	for begun := clock.Now(); clock.Now() < begun+time.Minute; clock.advance(50 * time.Millisecond) {
		lease.Step(context.Background(), 0)
		if _, _, held := lease.Held(); held {
			return clock.Now() - begun
		}
	}
	t.Fatal("got the lease not held within a minute, want held")
	return 0
}

// wantWait checks that a node neither takes the lease nor orders before a holder that the store
// has forgotten must have stopped.
func wantWait(t *testing.T, clock *manualClock, lease *loading.Lease) {
	t.Helper()
	restored := clock.Now()
	if waited := stepUntilHeld(t, clock, lease); waited < 3*time.Second {
		t.Errorf("got the lease taken after %s, want it left until a forgotten holder's has expired", waited)
	}
	for !mayOrder(lease) {
		clock.advance(50 * time.Millisecond)
		lease.Step(context.Background(), 0)
	}
	if waited := clock.Now() - restored; waited < 3*time.Second+handoverDelay {
		t.Errorf("got orders allowed after %s, want the handover delay after a forgotten holder's lease", waited)
	}
}

// TestForgottenTermIsNotGivenOutAgain guards against two holders with one fencing token.
func TestForgottenTermIsNotGivenOutAgain(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second, third := newLease("a", table, clock), newLease("b", table, clock), newLease("c", table, clock)
	first.Step(context.Background(), 0)
	first.Release(context.Background())
	earlier := table.copy()
	second.Step(context.Background(), 0)
	forgotten := token(t, second)
	table.restore(t, earlier)
	stepUntilHeld(t, clock, third)
	if next := token(t, third); next <= forgotten {
		t.Errorf("got fencing token %d after a forgotten %d, want a higher one", next, forgotten)
	}
}

// TestRestoredRowOfThisMachineIsWaitedFor guards against orders of two machines, because the
// store has forgotten the one that took the lease last.
func TestRestoredRowOfThisMachineIsWaitedFor(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	newLease("a", table, clock).Step(context.Background(), 0)
	table.restore(t, table.copy())
	wantWait(t, clock, newLease("a", table, clock))
}

// TestRestoredReleaseIsWaitedFor guards against the same after a release.
func TestRestoredReleaseIsWaitedFor(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first := newLease("a", table, clock)
	first.Step(context.Background(), 0)
	first.Release(context.Background())
	table.restore(t, table.copy())
	wantWait(t, clock, newLease("b", table, clock))
}

// TestAbsentRowOfARestoredStoreIsWaitedFor guards against the same if the first row was lost.
func TestAbsentRowOfARestoredStoreIsWaitedFor(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	earlier := table.copy()
	newLease("a", table, clock).Step(context.Background(), 0)
	table.restore(t, earlier)
	wantWait(t, clock, newLease("b", table, clock))
}

// TestHolderKeepsItsLeaseOverARestore guards against seconds without orders after a restore.
func TestHolderKeepsItsLeaseOverARestore(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	lease := newLease("a", table, clock)
	lease.Step(context.Background(), 0)
	before := token(t, lease)
	table.restore(t, newTable())
	clock.advance(time.Second)
	if waited := stepUntilHeld(t, clock, lease); waited > time.Second || !mayOrder(lease) {
		t.Errorf("got the lease back after %s, orders allowed %t; want both at once", waited, mayOrder(lease))
	}
	if after := token(t, lease); after != before {
		t.Errorf("got fencing token %d after %d, want the same: nobody else has held the lease", after, before)
	}
}

// TestHolderThatWaitsForItsFirstOrderStillDoesAfterARestore guards against orders too soon after
// those of the holder before.
func TestHolderThatWaitsForItsFirstOrderStillDoesAfterARestore(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	first.Release(context.Background())
	earlier, last := table.copy(), clock.Now()
	second.Step(context.Background(), 0)
	table.restore(t, earlier)
	for second.Step(context.Background(), 0); !mayOrder(second); second.Step(context.Background(), 0) {
		clock.advance(50 * time.Millisecond)
	}
	if gap := clock.Now() - last; gap < handoverDelay {
		t.Errorf("got %s between the orders of two machines, want at least the handover delay", gap)
	}
}

// TestGivenUpLeaseIsNotKeptOverARestore guards against two holders: after a holder has given the
// lease up, another one takes it, and the store forgets that.
func TestGivenUpLeaseIsNotKeptOverARestore(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	failRenewals(clock, table, first)
	earlier := table.copy()
	row, idle, _ := first.GivenUp()
	second.ObserveGivenUp(row, idle)
	second.Step(context.Background(), 0)
	token(t, second)
	table.restore(t, earlier)
	wantWait(t, clock, first)
}

// TestLateReleaseOfAnEarlierEraIsWaitedFor guards against a holder that is taken for gone,
// because a call of the time before the restore has met its row.
func TestLateReleaseOfAnEarlierEraIsWaitedFor(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second, third := newLease("a", table, clock), newLease("b", table, clock), newLease("c", table, clock)
	first.Step(context.Background(), 0)
	earlier := table.copy()
	first.Release(context.Background())
	release := table.copy().rows["orders/llm"]
	table.restore(t, earlier)
	stepUntilHeld(t, clock, second)
	// The release was sent for a version with the number that the second node's row has now.
	table.version++
	release.Version = table.version
	table.rows["orders/llm"] = release
	third.Step(context.Background(), 0)
	if _, _, held := third.Held(); held {
		t.Error("row of a late release: got the lease taken, want it left to its holder")
	}
	clock.advance(time.Second)
	if waited := stepUntilHeld(t, clock, second); waited > time.Second {
		t.Errorf("holder whose row was replaced by a late call: got the lease back after %s, want it at once", waited)
	}
}

// TestTokenThatALateCallReplacedIsNotGivenOutAgain guards against two holders with one fencing
// token in one era: the row of the first one was replaced by a late call of the era before.
func TestTokenThatALateCallReplacedIsNotGivenOutAgain(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	newLease("a", table, clock).Step(context.Background(), 0)
	late := table.copy().rows["orders/llm"]
	table.restore(t, table.copy())
	second, third := newLease("b", table, clock), newLease("c", table, clock)
	stepUntilHeld(t, clock, second)
	replaced := token(t, second)
	table.version++
	late.Version = table.version
	table.rows["orders/llm"] = late
	stepUntilHeld(t, clock, third)
	if next := token(t, third); next <= replaced {
		t.Errorf("got fencing token %d after %d, want a higher one", next, replaced)
	}
}

// TestReleaseAfterARestoreIsSeen guards against seconds without orders at each hand-over in a store
// that was restored once.
func TestReleaseAfterARestoreIsSeen(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	table.restore(t, newTable())
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	stepUntilHeld(t, clock, first)
	first.Step(context.Background(), 0)
	restarted := newLease("a", table, clock)
	restarted.Step(context.Background(), 0)
	token(t, restarted)
	restarted.Release(context.Background())
	second.Step(context.Background(), 0)
	token(t, second)
}

// TestRowWrittenInALaterEraThanReadIsNotHeld guards against a holder that takes an absent row
// which was absent in another era.
func TestRowWrittenInALaterEraThanReadIsNotHeld(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	earlier := table.copy()
	lease := newLease("a", &restoringTable{memoryTable: table, t: t, earlier: earlier}, clock)
	lease.Step(context.Background(), 0)
	if _, row, held := lease.Held(); held {
		t.Errorf("got row %s held, want not: it was read in an earlier era", row)
	}
	wantWait(t, clock, lease)
}

// restoringTable is restored once, before its first commit.
type restoringTable struct {
	*memoryTable
	t       *testing.T
	earlier *memoryTable
}

func (table *restoringTable) Commit(
	ctx context.Context, transaction mimosatide.Transaction,
) (mimosatide.CommitOutcome, mimosatide.RowVersion, error) {
	if table.earlier != nil {
		table.restore(table.t, table.earlier)
		table.earlier = nil
	}
	return table.memoryTable.Commit(ctx, transaction)
}

// oldRow is the row of a node that writes no era: Holder "x", Term 7 and, in the second one,
// Released.
var (
	heldOldRow     = []byte("\xa3\x66Holder\x61x\x64Term\x07\x68Released\xf4")
	releasedOldRow = []byte("\xa3\x66Holder\x61x\x64Term\x07\x68Released\xf5")
)

// TestReleaseByANodeOfTheBuildBeforeIsSeen guards against seconds without orders in each rolling
// upgrade of a store that was never restored.
func TestReleaseByANodeOfTheBuildBeforeIsSeen(t *testing.T) {
	for _, era := range []uint64{0, 1} {
		clock, table := &manualClock{now: time.Hour}, newTable()
		earlier := &memoryTable{rows: map[string]mimosatide.Row{
			"orders/llm": {Key: "orders/llm", Value: releasedOldRow, Version: 5},
		}, version: 6}
		table.restoreToEra(t, earlier, era)
		lease := newLease("a", table, clock)
		lease.Step(context.Background(), 0)
		if next := token(t, lease); next <= 7 {
			t.Errorf("era %d: got fencing token %d after 7, want a higher one", era, next)
		}
	}
}

// TestRowOfTheBuildBeforeInARestoredStoreIsWaitedFor guards against a row without an era that
// passes for one of the present era.
func TestRowOfTheBuildBeforeInARestoredStoreIsWaitedFor(t *testing.T) {
	for _, value := range [][]byte{heldOldRow, releasedOldRow} {
		clock, table := &manualClock{now: time.Hour}, newTable()
		earlier := &memoryTable{rows: map[string]mimosatide.Row{
			"orders/llm": {Key: "orders/llm", Value: value, Version: 5},
		}, version: 6}
		table.restoreToEra(t, earlier, 2)
		wantWait(t, clock, newLease("x", table, clock))
	}
}

// TestTokenThatTargetsCannotReadIsNotTaken guards against tokens that lose their last digits in
// JSON, so that two holders have the same one.
func TestTokenThatTargetsCannotReadIsNotTaken(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	for _, last := range []struct {
		era  uint64
		held bool
	}{{8191, true}, {8192, false}} {
		table.restoreToEra(t, newTable(), last.era)
		lease := newLease("a", table, clock)
		for range 100 {
			lease.Step(context.Background(), 0)
			clock.advance(50 * time.Millisecond)
		}
		term, _, held := lease.Held()
		if held != last.held || term >= 1<<53 {
			t.Errorf("era %d: got held %t, fencing token %d; want held %t, below 2^53", last.era, held, term, last.held)
		}
	}
}
