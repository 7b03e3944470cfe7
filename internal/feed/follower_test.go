package feed_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/feed"
)

// script is a store that answers from a list, and then waits.
type script struct {
	lock    sync.Mutex
	answers []answer
	asked   []string
}

type answer struct {
	batch mimosatide.RowBatch
	err   error
	// after is how long the store takes to answer.
	after time.Duration
}

func (script *script) next(ctx context.Context, what string) (mimosatide.RowBatch, error) {
	script.lock.Lock()
	script.asked = append(script.asked, what)
	if len(script.answers) == 0 {
		script.lock.Unlock()
		<-ctx.Done()
		return mimosatide.RowBatch{}, ctx.Err()
	}
	given := script.answers[0]
	script.answers = script.answers[1:]
	script.lock.Unlock()
	time.Sleep(given.after)
	return given.batch, given.err
}

func (script *script) Snapshot(ctx context.Context, _ string) (mimosatide.RowBatch, error) {
	return script.next(ctx, "snapshot")
}

func (script *script) Changes(
	ctx context.Context, _ string, _ mimosatide.RowVersion, _ time.Duration,
) (mimosatide.RowBatch, error) {
	return script.next(ctx, "changes")
}

func row(key string, version mimosatide.RowVersion) mimosatide.RowChange {
	return mimosatide.RowChange{Row: mimosatide.Row{Key: key, Value: []byte("v"), Version: version}}
}

// collector keeps what a follower hands on.
type collector struct {
	updates chan feed.Update
}

func newFollower(store mimosatide.RowFeed) (*feed.Follower, collector) {
	collected := collector{updates: make(chan feed.Update, 100)}
	follower := feed.New(feed.Settings{Table: "t", Gather: time.Millisecond}, store, mimosatide.NewMonotonicClock(),
		logr.Discard(), func(update feed.Update) { collected.updates <- update })
	return follower, collected
}

func TestForgottenHistoryIsReadAnewWithItsDeletions(t *testing.T) {
	store := &script{answers: []answer{
		{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1), row("b", 2)}, Version: 2, Complete: true}},
		{err: errors.Trace(mimosatide.ErrHistoryGone)},
		{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("b", 2), row("c", 7)}, Version: 9, Complete: true}},
	}}
	follower, collected := newFollower(store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go follower.Run(ctx)
	if first := <-collected.updates; len(first.Rows) != 2 {
		t.Fatalf("first update: %+v", first)
	}
	second := <-collected.updates
	changes := map[string]bool{}
	for _, change := range second.Rows {
		changes[change.Key] = change.Deleted
	}
	if len(changes) != 2 || !changes["a"] || changes["c"] {
		t.Errorf("second update: %+v", second.Rows)
	}
}

func TestStoreThatHasForgottenItsHistoryIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &script{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 2, Complete: true}},
			{err: errors.Trace(mimosatide.ErrHistoryGone)},
		}}
		follower, _ := newFollower(store)
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		if len(store.asked) != 3 || store.asked[2] != "snapshot" || !follower.State().Healthy {
			t.Errorf("asked %v, healthy %v", store.asked, follower.State().Healthy)
		}
		cancel()
		synctest.Wait()
	})
}

func TestOlderRowsOfAPeerRevertNothing(t *testing.T) {
	follower, collected := newFollower(&script{})
	follower.Offer(mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 5)}, Version: 6, Complete: true})
	<-collected.updates
	follower.Offer(mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 3)}, Version: 4, Complete: true})
	follower.Offer(mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 3)}, Version: 7})
	if len(collected.updates) != 0 {
		t.Errorf("an older row was handed on: %+v", <-collected.updates)
	}
	if state := follower.State(); state.Version != 7 || state.Changed != 5 {
		t.Errorf("state: %+v", state)
	}
}

func TestChangesBeforeTheFirstSnapshotAreLeftOut(t *testing.T) {
	follower, collected := newFollower(&script{})
	follower.Offer(mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 5)}, Version: 6})
	if follower.State().Known || len(collected.updates) != 0 {
		t.Error("a part of a table was taken for the whole")
	}
}

func TestPeerWithTheStoreHelpsOneWithoutIt(t *testing.T) {
	first, _ := newFollower(&script{})
	first.Offer(mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 5)}, Version: 6, Complete: true})
	second, collected := newFollower(&script{})
	second.Offer(first.Snapshot())
	if update := <-collected.updates; len(update.Rows) != 1 || !second.State().Known {
		t.Errorf("update: %+v", update)
	}
}

func TestRowsThatLapseDuringAnOutageAreMarked(t *testing.T) {
	store := &script{answers: []answer{
		{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 2, Complete: true}},
		{err: errors.New("down")},
		{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{{Row: mimosatide.Row{Key: "a", Version: 3}, Deleted: true}}, Version: 3}},
	}}
	follower, collected := newFollower(store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go follower.Run(ctx)
	if first := <-collected.updates; first.Recovering {
		t.Error("the first read counts as recovery")
	}
	if second := <-collected.updates; !second.Recovering {
		t.Error("a row that went with an outage counts as gone for good")
	}
}

// TestTargetThatLeavesAfterAnOutageIsNotTakenForLapsed deletes a row a second
// after the store has answered again.
func TestTargetThatLeavesAfterAnOutageIsNotTakenForLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone := mimosatide.RowChange{Row: mimosatide.Row{Key: "a", Version: 3}, Deleted: true}
		store := &script{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 2, Complete: true}},
			{err: errors.New("down")},
			{batch: mimosatide.RowBatch{Version: 2}},
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{gone}, Version: 3}, after: time.Second},
		}}
		follower, collected := newFollower(store)
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		<-collected.updates
		if second := <-collected.updates; second.Recovering {
			t.Error("a target that left after the outage counts as lapsed")
		}
		cancel()
		synctest.Wait()
	})
}

func TestFollowerIsNotSteadyRightAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		empty := answer{batch: mimosatide.RowBatch{Version: 2}, after: time.Second}
		store := &script{answers: []answer{
			{batch: mimosatide.RowBatch{Version: 2, Complete: true}},
			{err: errors.New("down")},
			empty, empty, empty, empty, empty, empty,
		}}
		follower, _ := newFollower(store)
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		time.Sleep(2 * time.Second)
		if !follower.State().Healthy || follower.Steady() {
			t.Error("a follower whose store was away a moment ago counts as steady")
		}
		time.Sleep(4 * time.Second)
		if !follower.Steady() {
			t.Error("a follower whose store has answered for seconds is not steady")
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// guide plays the node that passes changes on.
type guide struct {
	lock   sync.Mutex
	guided bool
	after  []mimosatide.RowVersion
}

func (guide *guide) Guided(string) bool {
	guide.lock.Lock()
	defer guide.lock.Unlock()
	return guide.guided
}

func (guide *guide) Guides() bool { return false }

func (guide *guide) PassOn(_ string, after mimosatide.RowVersion, _ mimosatide.RowBatch, _ bool) {
	guide.lock.Lock()
	defer guide.lock.Unlock()
	guide.after = append(guide.after, after)
}

func (guide *guide) set(guided bool) {
	guide.lock.Lock()
	defer guide.lock.Unlock()
	guide.guided = guided
}

func newGuided(store mimosatide.RowFeed, guide feed.Guide) (*feed.Follower, collector) {
	collected := collector{updates: make(chan feed.Update, 100)}
	settings := feed.Settings{Table: "t", Gather: time.Millisecond, Guide: guide}
	follower := feed.New(settings, store, mimosatide.NewMonotonicClock(), logr.Discard(),
		func(update feed.Update) { collected.updates <- update })
	return follower, collected
}

func TestGuidedFollowerAsksTheStoreOnlyWithoutItsGuide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &script{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 4, Complete: true}},
		}}
		passed := &guide{guided: true}
		follower, collected := newGuided(store, passed)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go follower.Run(ctx)
		<-collected.updates
		time.Sleep(time.Minute)
		if len(store.asked) != 1 {
			t.Errorf("the store was asked %v", store.asked)
		}
		if !follower.OfferChanges(1, mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("b", 6)}, Version: 6}, true) {
			t.Error("changes right after the copy were not taken")
		}
		if update := <-collected.updates; len(update.Rows) != 1 || !update.Recovering {
			t.Errorf("update %+v", update)
		}
		passed.set(false)
		time.Sleep(time.Second)
		if len(store.asked) != 2 || store.asked[1] != "changes" {
			t.Errorf("without its guide the follower asked %v", store.asked)
		}
		cancel()
		synctest.Wait()
	})
}

func TestInterruptedPollIsMadeAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &script{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 4, Complete: true}},
		}}
		follower, _ := newFollower(store)
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		follower.Interrupt()
		synctest.Wait()
		if len(store.asked) != 3 || !follower.State().Healthy {
			t.Errorf("asked %v, healthy %v", store.asked, follower.State().Healthy)
		}
		cancel()
		synctest.Wait()
	})
}

func TestLostStoreIsAskedByOneFollowerAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := &feed.Gate{}
		whole := answer{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 1)}, Version: 4, Complete: true}}
		down := answer{err: errors.New("down"), after: time.Millisecond}
		back := answer{batch: mimosatide.RowBatch{Version: 4}}
		stores := []*script{
			{answers: []answer{whole, down, down, down, down, back}},
			{answers: []answer{whole, {err: errors.New("down"), after: 10 * time.Millisecond}, back}},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var followers []*feed.Follower
		for _, store := range stores {
			settings := feed.Settings{Table: "t", Gather: time.Millisecond, Gate: gate}
			follower := feed.New(settings, store, mimosatide.NewMonotonicClock(), logr.Discard(), func(feed.Update) {})
			followers = append(followers, follower)
			go follower.Run(ctx)
		}
		time.Sleep(300 * time.Millisecond)
		if len(stores[1].asked) != 2 {
			t.Errorf("beside the follower that probes the other one asked %v", stores[1].asked)
		}
		time.Sleep(5 * time.Second)
		for index, follower := range followers {
			if !follower.State().Healthy {
				t.Errorf("follower %d has not found the store again; it asked %v", index, stores[index].asked)
			}
		}
		cancel()
		synctest.Wait()
	})
}

func TestChangesBehindAGapAreNotTaken(t *testing.T) {
	follower, _ := newFollower(&script{})
	batch := mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("b", 9)}, Version: 9}
	if follower.OfferChanges(0, batch, false) {
		t.Error("changes were taken into a copy that is not known yet")
	}
	follower.Offer(mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 3)}, Version: 5, Complete: true})
	if follower.OfferChanges(7, batch, false) {
		t.Error("the copy lacks change 7 and took those after it")
	}
	if state := follower.State(); state.Version != 5 {
		t.Errorf("version %d", state.Version)
	}
	if !follower.OfferChanges(5, batch, false) || follower.State().Version != 9 {
		t.Error("changes without a gap were not taken")
	}
	older := mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("b", 7)}, Version: 7}
	if !follower.OfferChanges(5, older, false) || follower.State().Version != 9 {
		t.Error("the copy has reverted")
	}
}

func TestChangesFromTheStoreArePassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &script{answers: []answer{
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 3)}, Version: 5, Complete: true}},
			{batch: mimosatide.RowBatch{Version: 8}},
			{batch: mimosatide.RowBatch{Rows: []mimosatide.RowChange{row("a", 9)}, Version: 9}},
		}}
		passed := &guide{}
		follower, _ := newGuided(store, passed)
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		if len(passed.after) != 1 || passed.after[0] != 3 {
			t.Errorf("passed on after %v: nodes know change 3 and not the version of a poll without changes", passed.after)
		}
		cancel()
		synctest.Wait()
	})
}
