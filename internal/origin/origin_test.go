package origin_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/origin"
)

// lifetime is how long streams may be taken up in these tests.
const lifetime = 10 * time.Second

// fakeTable is a table of the store, which all nodes of a test share.
type fakeTable struct {
	lock sync.Mutex
	rows map[string]mimosatide.Row
	last mimosatide.RowVersion
	// down makes all calls fail, commits counts the others.
	down    bool
	commits int
}

func (table *fakeTable) setDown(down bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.down = down
}

// count returns the numbers of rows and of commits.
func (table *fakeTable) count() (rows, commits int) {
	table.lock.Lock()
	defer table.lock.Unlock()
	return len(table.rows), table.commits
}

var errDown = errors.New("the store does not answer")

func (table *fakeTable) Read(_ context.Context, keys ...string) ([]mimosatide.Row, mimosatide.RowVersion, error) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.down {
		return nil, 0, errDown
	}
	var rows []mimosatide.Row
	for _, key := range keys {
		if row, found := table.rows[key]; found {
			rows = append(rows, row)
		}
	}
	return rows, table.last, nil
}

func (table *fakeTable) Rows(context.Context) ([]mimosatide.Row, error) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.down {
		return nil, errDown
	}
	var rows []mimosatide.Row
	for _, row := range table.rows {
		rows = append(rows, row)
	}
	return rows, nil
}

func (table *fakeTable) Commit(
	_ context.Context, transaction mimosatide.Transaction,
) (mimosatide.CommitOutcome, mimosatide.RowVersion, error) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.down {
		return mimosatide.CommitUnknown, 0, errDown
	}
	for _, condition := range transaction.Conditions {
		if table.rows[condition.Key].Version != condition.Version {
			return mimosatide.CommitConflict, 0, nil
		}
	}
	table.last++
	table.commits++
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(table.rows, write.Key)
			continue
		}
		table.rows[write.Key] = mimosatide.Row{Key: write.Key, Value: write.Value, Version: table.last}
	}
	return mimosatide.CommitDone, table.last, nil
}

// platform is what the nodes of a test have in common.
type platform struct {
	versions *fakeTable
	streams  *fakeTable
	era      atomic.Uint64
	// rank is that of the node that starts next, hosts the number of nodes that it knows.
	rank  int
	hosts int
}

func newPlatform() *platform {
	created := &platform{
		versions: &fakeTable{rows: map[string]mimosatide.Row{}}, streams: &fakeTable{rows: map[string]mimosatide.Row{}},
	}
	created.era.Store(1)
	return created
}

// restore restores the store to a copy without rows.
func (platform *platform) restore() {
	for _, table := range []*fakeTable{platform.versions, platform.streams} {
		table.lock.Lock()
		clear(table.rows)
		table.lock.Unlock()
	}
	platform.era.Store(2)
}

// node is one node, with the versions that it knows of the targets.
type node struct {
	*origin.Tracker
	// kill ends the node's process.
	kill context.CancelFunc

	lock    sync.Mutex
	present []string
	fresh   bool
}

// set sets the versions that the node knows of the targets, and whether it has kept in touch.
func (node *node) set(present []string, fresh bool) {
	node.lock.Lock()
	defer node.lock.Unlock()
	node.present, node.fresh = present, fresh
}

func (node *node) get() (present []string, fresh bool) {
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.present, node.fresh
}

func (platform *platform) start(t *testing.T, firstStart bool, present ...string) *node {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	rank, hosts := platform.rank, max(platform.hosts, 2)
	started := &node{present: present, fresh: true, kill: cancel}
	started.Tracker = origin.New(origin.Settings{
		Present: func(string) []string {
			present, _ := started.get()
			return present
		},
		Services: func() []string { return []string{"llm"} },
		Lifetime: func() time.Duration { return lifetime },
		Fresh: func() bool {
			_, fresh := started.get()
			return fresh
		},
		Rank:            func() int { return rank },
		Hosts:           func() int { return hosts },
		WritesPerSecond: 300,
		Era:             platform.era.Load,
		FirstStart:      firstStart,
	}, platform.versions, platform.streams, logr.Discard())
	go started.Run(ctx)
	time.Sleep(time.Second)
	return started
}

// stream lets a stream begin at a version.
func (node *node) stream(id, software string) {
	node.Send(origin.Stream{ID: id, Service: "llm", Software: software})
	node.Begin(id)
}

// wantOrigin checks which version a node takes for the one that began a stream; an empty one is that
// none is known.
func wantOrigin(t *testing.T, what string, node *node, id, want string) {
	t.Helper()
	got, known := node.Find(context.Background(), "llm", id)
	if !known {
		got = ""
	}
	if got != want {
		t.Errorf("%s: got the origin %q of stream %s, want %q", what, got, id, want)
	}
}

func TestStreamOfAnotherNodeIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		first, second := platform.start(t, true, "v1", "v2"), platform.start(t, true, "v1", "v2")
		first.stream("a", "v1")
		first.stream("b", "v2")
		time.Sleep(time.Second)
		for _, node := range []*node{first, second} {
			wantOrigin(t, "two versions", node, "a", "v1")
			wantOrigin(t, "two versions", node, "b", "v2")
			wantOrigin(t, "never begun", node, "c", "")
			wantOrigin(t, "not named", node, "", "")
		}
	})
}

// All nodes are killed at once. The targets of the old version leave while none runs, so that
// the next processes see the new one only.
func TestStreamIsFoundAfterAllNodesWereKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		first := platform.start(t, true, "v1", "v2")
		first.stream("a", "v1")
		time.Sleep(time.Second)
		platform.streams.setDown(true)
		first.stream("late", "v1")
		time.Sleep(time.Second)
		first.kill()
		synctest.Wait()
		platform.streams.setDown(false)
		next := platform.start(t, false, "v2")
		wantOrigin(t, "old version gone", next, "a", "v1")
		wantOrigin(t, "killed before it was saved", next, "late", "")
	})
}

// A stream that began while there was one version is not saved; once there are two, it must not be
// taken for one of the new version.
func TestStreamFromBeforeTheSecondVersionIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		first := platform.start(t, true, "v1")
		first.stream("a", "v1")
		time.Sleep(time.Second)
		if _, commits := platform.streams.count(); commits != 0 {
			t.Errorf("got %d calls of the store for streams while there is one version, want none", commits)
		}
		first.set([]string{"v1", "v2"}, true)
		time.Sleep(time.Second)
		first.kill()
		next := platform.start(t, false, "v2")
		wantOrigin(t, "begun before the release", next, "a", "v1")
	})
}

// While one version serves, each stream goes on there, also after all nodes were killed.
func TestStreamOfTheOnlyVersionNeedsNoRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		first := platform.start(t, true, "v1")
		first.stream("a", "v1")
		first.kill()
		next := platform.start(t, false, "v1")
		wantOrigin(t, "after a restart", next, "a", "v1")
		wantOrigin(t, "not named", next, "", "v1")
		platform.versions.setDown(true)
		wantOrigin(t, "store down", next, "other", "")
		next.set([]string{"v1"}, false)
		wantOrigin(t, "store down and copy old", next, "other", "")
	})
}

// A node that has lost touch knows one version only, but the store names two.
func TestNodeThatHasLostTouchDoesNotGuess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		lost := platform.start(t, true, "v1")
		other := platform.start(t, true, "v1", "v2")
		other.stream("a", "v2")
		time.Sleep(time.Second)
		wantOrigin(t, "lost touch", lost, "a", "v2")
		wantOrigin(t, "lost touch, not saved", lost, "b", "")
	})
}

// A version joins just as a node loses the store, and a stream that begins there breaks off while the
// node's copy of the targets, which lacks the version, still passes for fresh.
func TestNodeThatHasJustLostTouchDoesNotGuess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		lost, other := platform.start(t, true, "v1"), platform.start(t, true, "v1")
		lost.stream("own", "v1")
		other.set([]string{"v1", "v2"}, true)
		time.Sleep(time.Second)
		if !other.MayBegin("llm", "v2") {
			t.Fatal("second version: got no streams at it, want them")
		}
		other.stream("a", "v2")
		platform.versions.setDown(true)
		wantOrigin(t, "of another node, just cut off", lost, "a", "")
		wantOrigin(t, "of the node itself, just cut off", lost, "own", "v1")
	})
}

// A host that already sees a new version must not refuse to go on with streams of the only version at
// which any has begun.
func TestVersionThatHasBegunNoStreamDoesNotHideTheOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		node, other := platform.start(t, true, "v1"), platform.start(t, true, "v1")
		other.stream("a", "v1")
		// What the nodes do at this instant comes before the version joins.
		synctest.Wait()
		node.set([]string{"v1", "v2"}, true)
		wantOrigin(t, "new version not named yet", node, "a", "v1")
	})
}

// All targets of the named version are gone. Until the row names the next one another node would take
// its streams for those of the version before.
func TestStreamDoesNotBeginAtTheOnlyVersionLeftBeforeItIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		node := platform.start(t, true, "v1")
		platform.versions.setDown(true)
		node.set([]string{"v2"}, true)
		if node.MayBegin("llm", "v2") {
			t.Error("version without a row: got streams at it, want none")
		}
		platform.versions.setDown(false)
		time.Sleep(2 * time.Second)
		if !node.MayBegin("llm", "v2") {
			t.Error("version named: got no streams at it, want them")
		}
	})
}

// While a restarted node can't read the store, streams go on to begin where there is one version only.
func TestStreamsOfTheOnlyVersionBeginWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		platform.start(t, true, "v1")
		platform.versions.setDown(true)
		if started := platform.start(t, false, "v1"); !started.MayBegin("llm", "v1") {
			t.Error("one version: got no streams at it, want them")
		}
		if started := platform.start(t, false, "v1", "v2"); started.MayBegin("llm", "v1") || started.MayBegin("llm", "v2") {
			t.Error("two versions, and not known which are named: got streams at one, want none")
		}
	})
}

// After a restore the row may name fewer versions than have begun streams, also at a node that has
// just started.
func TestRestoredRowIsNotTakenForTheOnlyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		first := platform.start(t, true, "v1")
		before, _, err := platform.versions.Read(context.Background(), "llm")
		if err != nil {
			t.Fatal(err)
		}
		first.set([]string{"v1", "v2"}, true)
		time.Sleep(time.Second)
		first.stream("a", "v2")
		platform.restore()
		platform.versions.lock.Lock()
		platform.versions.rows["llm"] = before[0]
		platform.versions.lock.Unlock()
		platform.rank = 1
		platform.versions.setDown(true)
		started := platform.start(t, false, "v1", "v2")
		platform.versions.setDown(false)
		for _, node := range []*node{first, started} {
			if got, known := node.Find(context.Background(), "llm", "a"); known && got != "v2" {
				t.Errorf("just restored: got the origin %q, want v2 or none", got)
			}
		}
	})
}

// No stream may begin at a version that the store does not name: another node would take the old
// one for the only one.
func TestStreamBeginsOnlyAtANamedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		node := platform.start(t, true, "v1")
		platform.versions.setDown(true)
		node.set([]string{"v1", "v2"}, true)
		time.Sleep(time.Second)
		if node.MayBegin("llm", "v2") || !node.MayBegin("llm", "v1") {
			t.Error("store down: got streams at v2 or none at v1, want them at v1 only")
		}
		platform.versions.setDown(false)
		time.Sleep(2 * time.Second)
		if !node.MayBegin("llm", "v2") {
			t.Error("store back: got no streams at v2, want them")
		}
	})
}

// Nodes of the build before have saved nothing.
func TestStreamOfTheBuildBeforeIsNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		node := platform.start(t, false, "v2")
		wantOrigin(t, "just upgraded", node, "a", "")
		time.Sleep(lifetime)
		wantOrigin(t, "a stream's lifetime later", node, "a", "v2")
	})
}

// A version that comes back is the one that it was, and targets that name none may differ.
func TestVersionsThatComeBackOrAreNotNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		node := platform.start(t, true, "v1", "v2")
		node.stream("a", "v1")
		node.set([]string{"v2"}, true)
		time.Sleep(lifetime / 2)
		node.set([]string{"v1", "v2"}, true)
		wantOrigin(t, "rolled back", node, "a", "v1")
		node.set([]string{"", "v1"}, true)
		time.Sleep(time.Second)
		node.stream("b", "")
		wantOrigin(t, "version not named", node, "b", "")
		unnamed := newPlatform().start(t, true, "")
		unnamed.stream("c", "")
		if _, known := unnamed.Find(context.Background(), "llm", "c"); !known {
			t.Error("no target names a version: got no origin, want it known")
		}
	})
}

// The store comes back from a copy that names one version and no stream.
func TestOriginsAreSavedAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		node := platform.start(t, true, "v1", "v2")
		node.stream("a", "v1")
		time.Sleep(time.Second)
		platform.restore()
		time.Sleep(time.Second)
		wantOrigin(t, "after the restore", platform.start(t, false, "v2"), "a", "v1")
	})
}

// Rows must not pile up: neither those of complete streams nor those that a killed node has left.
func TestRowsOfStreamsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		killed := platform.start(t, true, "v1", "v2")
		killed.stream("left", "v1")
		time.Sleep(time.Second)
		killed.kill()
		node := platform.start(t, false, "v1", "v2")
		node.stream("ended", "v1")
		node.stream("expired", "v1")
		time.Sleep(time.Second)
		node.End("ended")
		node.set([]string{"v2"}, true)
		time.Sleep(5 * lifetime)
		if rows, _ := platform.streams.count(); rows != 0 {
			t.Errorf("got %d rows, want none", rows)
		}
		wantOrigin(t, "one version again", node, "any", "v2")
	})
}

// A release shows to all nodes at once. The store must not get a write from each of them.
func TestManyNodesNameAVersionOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		var nodes []*node
		for platform.rank = range 20 {
			nodes = append(nodes, platform.start(t, true, "v1"))
		}
		_, before := platform.versions.count()
		for _, node := range nodes {
			node.set([]string{"v1", "v2"}, true)
		}
		time.Sleep(2 * time.Second)
		if _, commits := platform.versions.count(); commits != before+1 {
			t.Errorf("got %d writes for one new version, want 1", commits-before)
		}
		for _, node := range nodes {
			if !node.MayBegin("llm", "v2") {
				t.Fatal("got a node that lets no stream begin at v2, want it at all")
			}
		}
	})
}

// A version is no longer named once its last target has been gone for long. All nodes have to know:
// as long as one takes the service for mixed, it saves each of its streams.
func TestStreamsAreNoLongerSavedOnceOneVersionIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		first := platform.start(t, true, "v1", "v2")
		platform.rank = 1
		second := platform.start(t, true, "v1", "v2")
		for _, node := range []*node{first, second} {
			node.set([]string{"v2"}, true)
		}
		time.Sleep(5 * lifetime)
		_, before := platform.streams.count()
		second.stream("a", "v2")
		time.Sleep(time.Second)
		if _, after := platform.streams.count(); after != before {
			t.Errorf("got %d writes for a stream of the only version, want none", after-before)
		}
	})
}

// In a large fleet a node may write seldom. A stream that begins after a pause must be saved at once
// all the same, as its node may be killed.
func TestStreamOfALargeFleetIsFoundAfterItsNodeWasKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		platform.hosts = 300
		node, other := platform.start(t, true, "v1", "v2"), platform.start(t, true, "v1", "v2")
		time.Sleep(20 * time.Second)
		for _, id := range []string{"a", "b"} {
			node.stream(id, "v1")
			time.Sleep(100 * time.Millisecond)
		}
		node.kill()
		wantOrigin(t, "after a pause", other, "a", "v1")
		wantOrigin(t, "right behind it", other, "b", "v1")
		_, before := platform.streams.count()
		for count := range 100 {
			other.stream(fmt.Sprint("c", count), "v2")
			time.Sleep(100 * time.Millisecond)
		}
		if _, after := platform.streams.count(); after-before > 8 {
			t.Errorf("got %d writes in ten seconds, want at most the node's share of 0.3 a second and a burst of 3", after-before)
		}
	})
}
