package loading_test

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/loading"
)

// manualClock only moves when the test advances it.
type manualClock struct {
	lock sync.Mutex
	now  time.Duration
}

func (clock *manualClock) Now() time.Duration {
	clock.lock.Lock()
	defer clock.lock.Unlock()
	return clock.now
}

func (clock *manualClock) advance(by time.Duration) {
	clock.lock.Lock()
	defer clock.lock.Unlock()
	clock.now += by
}

// memoryTable is an in-memory table that can refuse calls, lose the answers to commits, and be
// restored from an older copy.
type memoryTable struct {
	lock sync.Mutex
	rows map[string]mimosatide.Row
	// version is the newest version of the store, in its present era.
	version mimosatide.RowVersion
	// refuse fails all calls; loseAnswers applies commits but reports no outcome.
	refuse      bool
	loseAnswers bool
	// namesNewest lets other rows be written between a commit and its answer, which names the
	// newest version of the store.
	namesNewest bool
	reads       int
}

func newTable() *memoryTable {
	return &memoryTable{rows: map[string]mimosatide.Row{}, namesNewest: answersNameNewest}
}

func (table *memoryTable) Read(_ context.Context, keys ...string) ([]mimosatide.Row, mimosatide.RowVersion, error) {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.reads++
	if table.refuse {
		return nil, 0, errors.New("table refused the call")
	}
	var rows []mimosatide.Row
	for _, key := range keys {
		if row, found := table.rows[key]; found {
			rows = append(rows, row)
		}
	}
	return rows, table.version, nil
}

func (table *memoryTable) Commit(
	_ context.Context, transaction mimosatide.Transaction,
) (mimosatide.CommitOutcome, mimosatide.RowVersion, error) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.refuse {
		return mimosatide.CommitRefused, 0, errors.New("table refused the call")
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
	if table.namesNewest {
		table.version += 2
	}
	if table.loseAnswers {
		return mimosatide.CommitUnknown, 0, errors.New("no answer to the commit")
	}
	return mimosatide.CommitDone, table.version, nil
}

func (table *memoryTable) setRefuse(refuse bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.refuse = refuse
}

// copy returns a copy of the table that it can be restored from.
func (table *memoryTable) copy() *memoryTable {
	table.lock.Lock()
	defer table.lock.Unlock()
	return &memoryTable{rows: maps.Clone(table.rows), version: table.version}
}

// restore replaces the table by a copy, in the next era.
func (table *memoryTable) restore(t *testing.T, earlier *memoryTable) {
	t.Helper()
	table.lock.Lock()
	defer table.lock.Unlock()
	table.restoreToEra(t, earlier, max(table.version.Era(), 1)+1)
}

func (table *memoryTable) restoreToEra(t *testing.T, earlier *memoryTable, era uint64) {
	t.Helper()
	inEra := func(version mimosatide.RowVersion) mimosatide.RowVersion {
		moved, err := mimosatide.NewRowVersion(era, version.Number())
		if err != nil {
			t.Fatal(err)
		}
		return moved
	}
	table.rows = map[string]mimosatide.Row{}
	for key, row := range earlier.rows {
		row.Version = inEra(row.Version)
		table.rows[key] = row
	}
	table.version = inEra(earlier.version)
}

// hookedTable calls beforeAnswer, if it is set, once a commit is done and not yet answered.
type hookedTable struct {
	*memoryTable
	beforeAnswer func()
}

func (table *hookedTable) Commit(
	ctx context.Context, transaction mimosatide.Transaction,
) (mimosatide.CommitOutcome, mimosatide.RowVersion, error) {
	outcome, version, err := table.memoryTable.Commit(ctx, transaction)
	if table.beforeAnswer != nil {
		table.beforeAnswer()
	}
	return outcome, version, err
}

const handoverDelay = 3 * time.Second

// newLease returns a lease of a table that answers other nodes all the time.
func newLease(holder string, table loading.LeaseTable, clock loading.Clock) *loading.Lease {
	settings := loading.LeaseSettings{Key: "orders/llm", Holder: holder, HandoverDelay: handoverDelay}
	return loading.NewLease(settings, table, clock, clock.Now, logr.Discard())
}

// failRenewals lets three renewals fail, 200 ms apart.
func failRenewals(clock *manualClock, table *memoryTable, lease *loading.Lease) {
	table.refuse = true
	for range 3 {
		lease.Step(context.Background(), 0)
		clock.advance(200 * time.Millisecond)
	}
	table.refuse = false
}

func mayOrder(lease *loading.Lease) bool {
	_, held := lease.FencingToken()
	return held
}

func TestFirstHolderMayOrderImmediately(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	lease := newLease("a", table, clock)
	lease.Step(context.Background(), 0)
	if !mayOrder(lease) {
		t.Error("first holder: got orders not allowed, want allowed")
	}
}

func TestHolderMayNotOrderAfterLeaseExpires(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	lease := newLease("a", table, clock)
	lease.Step(context.Background(), 0)
	clock.advance(4 * time.Second)
	if mayOrder(lease) {
		t.Error("holder suspended until its lease expired: got orders allowed, want not allowed")
	}
}

// TestTwoHoldersNeverOrderWithinHandoverDelay stops the renewals of a holder and has
// another node take over. It checks in steps of 50 ms that the orders of the two are
// at least the handover delay apart.
func TestTwoHoldersNeverOrderWithinHandoverDelay(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	last := clock.Now()
	for range 400 {
		clock.advance(50 * time.Millisecond)
		if mayOrder(first) {
			last = clock.Now()
		}
		second.Step(context.Background(), 0)
		if !mayOrder(second) {
			continue
		}
		if gap := clock.Now() - last; gap < handoverDelay {
			t.Fatalf("got a gap of %s between the orders of two holders, want at least the handover delay", gap)
		}
		return
	}
	t.Error("got no takeover of the lease within 20 s, want one")
}

func TestReleasedLeaseIsTakenImmediatelyButOrdersWait(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	first.Release(context.Background())
	second.Step(context.Background(), 0)
	if _, _, held := second.Held(); !held || mayOrder(second) {
		t.Error("released lease: got it not taken or orders allowed, want it taken and orders delayed")
	}
	if mayOrder(first) {
		t.Error("former holder: got orders allowed, want not allowed")
	}
}

// TestReleasedLeaseIsNotTakenBack guards against a draining node that takes its own lease
// again, so that the others wait for its expiry once the process is gone.
func TestReleasedLeaseIsNotTakenBack(t *testing.T) {
	table, clock := newTable(), &manualClock{}
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	first.Release(context.Background())
	clock.advance(2 * time.Second)
	first.Step(context.Background(), 0)
	if _, _, held := first.Held(); held {
		t.Error("after its release: got the lease held again, want not")
	}
	second.Step(context.Background(), 0)
	if _, _, held := second.Held(); !held {
		t.Error("other node after the release: got no lease, want it at once")
	}
}

// TestLeaseThatIsReleasedWhileItIsTakenIsGivenBack guards against the same if the release
// meets a takeover whose answer is still on its way.
func TestLeaseThatIsReleasedWhileItIsTakenIsGivenBack(t *testing.T) {
	table, clock := newTable(), &manualClock{}
	slow := &hookedTable{memoryTable: table}
	first, second := newLease("a", slow, clock), newLease("b", table, clock)
	slow.beforeAnswer = func() {
		slow.beforeAnswer = nil
		first.Release(context.Background())
	}
	first.Step(context.Background(), 0)
	if _, _, held := first.Held(); held {
		t.Error("released before the answer: got the lease held, want not")
	}
	second.Step(context.Background(), 0)
	if _, _, held := second.Held(); !held {
		t.Error("other node after the release: got no lease, want it at once")
	}
}

func TestHolderGivesUpLeaseWhenTableDoesNotAnswer(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	first.RecordOrder()
	clock.advance(time.Second)
	failRenewals(clock, table, first)
	row, idle, givenUp := first.GivenUp()
	if !givenUp || mayOrder(first) || idle != 1600*time.Millisecond {
		t.Fatalf("got given up %v, idle %s; want true, 1.6s and no more orders", givenUp, idle)
	}
	second.ObserveGivenUp(row, idle)
	second.Step(context.Background(), 0)
	if _, _, held := second.Held(); !held || mayOrder(second) {
		t.Error("given-up lease: got it not taken or orders allowed, want it taken and orders delayed")
	}
	clock.advance(handoverDelay - idle + 300*time.Millisecond)
	if !mayOrder(second) {
		t.Error("got orders still delayed, want the handover delay to count from the last order")
	}
}

// TestHolderKeepsItsLeaseWhileTheTableAnswersNobody guards against seconds without orders around
// each outage of the table: no other node could take the lease meanwhile.
func TestHolderKeepsItsLeaseWhileTheTableAnswersNobody(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	answeredAt := clock.Now()
	lease := loading.NewLease(loading.LeaseSettings{Key: "orders/llm", Holder: "a", HandoverDelay: handoverDelay}, table, clock,
		func() time.Duration { return answeredAt }, logr.Discard())
	lease.Step(context.Background(), 0)
	table.refuse = true
	for clock.Now() < time.Hour+2900*time.Millisecond {
		lease.Step(context.Background(), 0)
		if _, _, givenUp := lease.GivenUp(); givenUp || !mayOrder(lease) {
			t.Fatalf("after %s: got given up %t, orders allowed %t; want the lease kept", clock.Now()-time.Hour, givenUp, mayOrder(lease))
		}
		clock.advance(100 * time.Millisecond)
	}
	clock.advance(200 * time.Millisecond)
	if _, _, givenUp := lease.GivenUp(); !givenUp || mayOrder(lease) {
		t.Errorf("expired lease: got given up %t, orders allowed %t; want true and false", givenUp, mayOrder(lease))
	}
}

// TestAnswerAtTheEndOfAnOutageDoesNotEndTheLease guards against a holder that gives its lease up
// as the table is back, because another node was answered first.
func TestAnswerAtTheEndOfAnOutageDoesNotEndTheLease(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	answeredAt := clock.Now()
	lease := loading.NewLease(loading.LeaseSettings{Key: "orders/llm", Holder: "a", HandoverDelay: handoverDelay}, table, clock,
		func() time.Duration { return answeredAt }, logr.Discard())
	lease.Step(context.Background(), 0)
	table.refuse = true
	for range 5 {
		lease.Step(context.Background(), 0)
		clock.advance(200 * time.Millisecond)
	}
	answeredAt = clock.Now()
	lease.Step(context.Background(), 0)
	if _, _, givenUp := lease.GivenUp(); givenUp || !mayOrder(lease) {
		t.Errorf("end of the outage: got given up %t, orders allowed %t; want the lease kept", givenUp, mayOrder(lease))
	}
}

// TestRepeatedGiveUpMessageIsIgnoredAfterTakeover guards against a takeover from a
// live holder: the node that gave up the lease keeps repeating its message after
// another node has taken the lease.
func TestRepeatedGiveUpMessageIsIgnoredAfterTakeover(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	third := newLease("c", table, clock)
	third.ObserveGivenUp(4, time.Second)
	third.ObserveHolder(5)
	third.ObserveGivenUp(4, time.Second)
	third.Step(context.Background(), 0)
	if table.reads > 0 {
		t.Error("got a read of the table although the holder is live, want none")
	}
	third.ObserveGivenUp(5, time.Second)
	third.Step(context.Background(), 0)
	if table.reads == 0 {
		t.Error("got no read of the table after the holder gave up the lease, want one")
	}
}

func TestLostAnswerToTakeoverIsSettledByNextRead(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	lease := newLease("a", table, clock)
	table.loseAnswers = true
	lease.Step(context.Background(), 0)
	if mayOrder(lease) {
		t.Fatal("got orders allowed after a takeover without an answer, want not allowed")
	}
	table.loseAnswers = false
	// The next term is at least the newest version of the store.
	want := max(2, table.version.Number())
	lease.Step(context.Background(), 0)
	if term, _, held := lease.Held(); !held || term != want {
		t.Errorf("got term %d, held %v; want %d, true", term, held, want)
	}
}

// TestLeaseOfALostHolderIsTakenWhateverWasHeardOfItsRow guards against nodes that wait for a version of the row
// that only its holder has heard of from the store.
func TestLeaseOfALostHolderIsTakenWhateverWasHeardOfItsRow(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	_, row, _ := first.Held()
	second.ObserveHolder(row)
	lost := clock.Now()
	for ; clock.Now()-lost < time.Minute; clock.advance(50 * time.Millisecond) {
		second.Step(context.Background(), 0)
		if _, _, held := second.Held(); held {
			return
		}
	}
	t.Error("got the lease not taken a minute after the loss of its holder, want it taken")
}

// TestHolderGoesOnUnderItsTermAfterALostAnswer guards against a holder that takes its own renewal, which was done and
// not answered, for that of another node, and orders under two terms at once.
func TestHolderGoesOnUnderItsTermAfterALostAnswer(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	lease := newLease("a", table, clock)
	lease.Step(context.Background(), 0)
	before, _, _ := lease.Held()
	clock.advance(time.Second)
	table.loseAnswers = true
	lease.Step(context.Background(), 0)
	table.loseAnswers = false
	for range 8 {
		clock.advance(500 * time.Millisecond)
		lease.Step(context.Background(), 0)
		if term, _, held := lease.Held(); !held || term != before || !mayOrder(lease) {
			t.Fatalf("got term %d, held %t, orders allowed %t; want term %d, held and allowed", term, held, mayOrder(lease), before)
		}
	}
}

// TestReleaseAfterAnAnswerThatNamesANewerVersionIsWritten guards against a release that the next holder does not
// hear of, so that it waits until the lease expires.
func TestReleaseAfterAnAnswerThatNamesANewerVersionIsWritten(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	first.Release(context.Background())
	second.Step(context.Background(), 0)
	if _, _, held := second.Held(); !held {
		t.Error("got the released lease not taken at once, want it taken")
	}
}

func TestReleaseRefusedByTableIsReportedToPeers(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	lease := newLease("a", table, clock)
	lease.Step(context.Background(), 0)
	table.refuse = true
	lease.Release(context.Background())
	if _, _, givenUp := lease.GivenUp(); !givenUp || mayOrder(lease) {
		t.Error("got the lease not given up or orders allowed, want it given up and orders not allowed")
	}
}

func TestRestartedHolderOrdersImmediatelyWithNewTerm(t *testing.T) {
	table, clock := newTable(), &manualClock{}
	before := newLease("a@10.0.0.1", table, clock)
	before.Step(context.Background(), 0)
	first, _ := before.FencingToken()
	clock.advance(time.Second)

	replaced := newLease("a@10.0.0.2", table, clock)
	replaced.Step(context.Background(), 0)
	if mayOrder(replaced) {
		t.Error("other machine of the same name: got orders allowed before the lease expired, want not allowed")
	}
	restarted := newLease("a@10.0.0.1", table, clock)
	restarted.Step(context.Background(), 0)
	second, held := restarted.FencingToken()
	if !held || second <= first {
		t.Errorf("restarted machine: got held %t, fencing token %d; want true and a token above %d", held, second, first)
	}
}

// TestLeaseGivenUpBeforeItsFirstOrderKeepsTheHolderBeforeApart guards against orders too soon
// after those of a holder whose successor gave the lease up while it still waited for it.
func TestLeaseGivenUpBeforeItsFirstOrderKeepsTheHolderBeforeApart(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second, third := newLease("a", table, clock), newLease("b", table, clock), newLease("c", table, clock)
	first.Step(context.Background(), 0)
	first.RecordOrder()
	last := clock.Now()
	first.Release(context.Background())
	second.Step(context.Background(), 0)
	clock.advance(500 * time.Millisecond)
	failRenewals(clock, table, second)
	row, idle, givenUp := second.GivenUp()
	if !givenUp {
		t.Fatal("holder that the table refuses: got the lease not given up, want given up")
	}
	third.ObserveGivenUp(row, idle)
	for third.Step(context.Background(), 0); !mayOrder(third); third.Step(context.Background(), 0) {
		clock.advance(50 * time.Millisecond)
	}
	if gap := clock.Now() - last; gap < handoverDelay {
		t.Errorf("got %s between the orders of two machines, want at least the handover delay", gap)
	}
}

// TestTakeoverWithoutAnswerStillWaitsForTheHolderBefore guards against orders too soon after
// those of the holder before, because the row of a takeover without an answer is one's own.
func TestTakeoverWithoutAnswerStillWaitsForTheHolderBefore(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	last := clock.Now()
	first.Release(context.Background())
	table.loseAnswers = true
	second.Step(context.Background(), 0)
	table.loseAnswers = false
	for second.Step(context.Background(), 0); !mayOrder(second); second.Step(context.Background(), 0) {
		clock.advance(50 * time.Millisecond)
	}
	if gap := clock.Now() - last; gap < handoverDelay {
		t.Errorf("got %s between the orders of two machines, want at least the handover delay", gap)
	}
}

// TestNextProcessOfATakerWaitsForTheHolderBefore guards against orders of two machines within the
// lease's time, because the process that took the lease is killed before its first order.
func TestNextProcessOfATakerWaitsForTheHolderBefore(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, second := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	first.RecordOrder()
	first.Release(context.Background())
	second.Step(context.Background(), 0)
	clock.advance(time.Second)
	second.Step(context.Background(), 0)
	next := newLease("b", table, clock)
	next.Step(context.Background(), 0)
	if mayOrder(next) {
		t.Error("next process of a machine that was waiting: got orders allowed after 1s, want them after the handover")
	}
}

// TestNextProcessThatGivesUpCountsTheOrdersOfTheOneBefore guards against orders of two machines
// within the lease's time, because a killed holder's next process has sent none itself.
func TestNextProcessThatGivesUpCountsTheOrdersOfTheOneBefore(t *testing.T) {
	clock, table := &manualClock{now: time.Hour}, newTable()
	first, other := newLease("a", table, clock), newLease("b", table, clock)
	first.Step(context.Background(), 0)
	first.RecordOrder()
	next := newLease("a", table, clock)
	next.Step(context.Background(), 0)
	clock.advance(200 * time.Millisecond)
	failRenewals(clock, table, next)
	row, idle, givenUp := next.GivenUp()
	if !givenUp || idle > 800*time.Millisecond {
		t.Fatalf("got given up %t, idle %s; want true and the time since the takeover at most", givenUp, idle)
	}
	other.ObserveGivenUp(row, idle)
	other.Step(context.Background(), 0)
	clock.advance(time.Second)
	if mayOrder(other) {
		t.Error("holder after a process that has just started: got orders allowed after 1s, want them after the handover")
	}
}
