package watch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/feed"
	"mimosatide.example/mimosatide/internal/watch"
)

const (
	digestInterval = 200 * time.Millisecond
	// hostLifetime is how long a digest counts as news of its host.
	hostLifetime = 800 * time.Millisecond
	messageTime  = 5 * time.Millisecond
	// rowsInterval is the least time between two copies that a host takes from others.
	rowsInterval = 300 * time.Millisecond
)

var tables = []string{"configurations", "targets"}

// clock implements feed.Clock by the time of the test.
type clock struct{ start time.Time }

func (clock clock) Now() time.Duration { return time.Since(clock.start) }

type digest struct {
	host      watch.Host
	versions  map[string]mimosatide.RowVersion
	confirmed map[string]time.Duration
}

// host follows the tables with real followers. It implements feed.Peers for a fleet without relays.
type host struct {
	name      string
	zone      int
	path      *path
	clock     clock
	followers map[string]*feed.Follower
	watching  atomic.Bool
	// waitLimit is that of the polls of a watching host.
	waitLimit time.Duration
	// cut is set while no messages reach or leave the host.
	cut atomic.Bool

	lock     sync.Mutex
	heard    map[string]digest
	heardAt  map[string]time.Time
	copiedAt time.Time
}

func newHost(name string, zone int, store *store, clock clock, waitLimit time.Duration) *host {
	host := &host{
		name: name, zone: zone, path: newPath(store), clock: clock, waitLimit: waitLimit, followers: map[string]*feed.Follower{},
		heard: map[string]digest{}, heardAt: map[string]time.Time{},
	}
	gate := &feed.ProbeGate{}
	for _, table := range tables {
		settings := feed.Settings{Table: table, Peers: host, ProbeGate: gate}
		host.followers[table] = feed.New(settings, host.path, clock, logr.Discard(), func(feed.Update) {})
	}
	return host
}

func (host *host) ReceivesFromRelay(string) bool              { return false }
func (host *host) RelayChanged() <-chan struct{}              { return nil }
func (host *host) ExpectsRelay(string) bool                   { return false }
func (host *host) ForwardTable(string, mimosatide.RowVersion) {}
func (host *host) Forward(string, mimosatide.RowVersion, mimosatide.RowBatch, map[string]mimosatide.Row, bool) {
}

func (host *host) PollWaitLimit(string) time.Duration {
	if host.watching.Load() {
		return host.waitLimit
	}
	return 0
}

// run sends digests and keeps the host's duty until ctx is cancelled.
func (host *host) run(ctx context.Context, fleet []*host) {
	for _, follower := range host.followers {
		go follower.Run(ctx)
	}
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		own := host.state()
		host.update(own.host)
		for _, other := range fleet {
			if other != host && !host.cut.Load() {
				time.AfterFunc(messageTime, func() { other.receive(host, own) })
			}
		}
	}
}

func (host *host) state() digest {
	own := digest{
		host: watch.Host{Name: host.name, CPUShare: 1, Answered: true}, versions: map[string]mimosatide.RowVersion{},
		confirmed: map[string]time.Duration{},
	}
	for table, follower := range host.followers {
		state := follower.State()
		own.host.Answered = own.host.Answered && state.Healthy
		own.versions[table], own.confirmed[table] = state.LastChange, state.CurrentAt
	}
	return own
}

func (host *host) update(own watch.Host) {
	host.lock.Lock()
	var others []watch.Host
	for name, digest := range host.heard {
		if time.Since(host.heardAt[name]) < hostLifetime {
			others = append(others, digest.host)
		}
	}
	host.lock.Unlock()
	duty := watch.Decide(own, others)
	watched := host.watching.Swap(duty.Watches)
	for _, follower := range host.followers {
		follower.ReplaceUnconfirmed(duty.Limit)
		if duty.Watches && !watched {
			follower.Interrupt()
		}
	}
}

func (host *host) receive(from *host, digest digest) {
	if host.cut.Load() {
		return
	}
	host.lock.Lock()
	host.heard[from.name], host.heardAt[from.name] = digest, time.Now()
	host.lock.Unlock()
	for table, follower := range host.followers {
		version := digest.versions[table]
		if digest.confirmed[table] > 0 {
			follower.Confirm(version, digest.confirmed[table])
		}
		if follower.Knows(version) {
			continue
		}
		behind := follower.ObserveVersion(from.name, version)
		host.lock.Lock()
		due := (behind || !follower.State().Healthy) && time.Since(host.copiedAt) >= rowsInterval
		if due {
			host.copiedAt = time.Now()
		}
		host.lock.Unlock()
		if due {
			follower.Merge(from.followers[table].Snapshot())
		}
	}
}

// stale returns what the host lacks although the store has answered it for long enough.
func (host *host) stale(store *store) string {
	if host.path.answersFor() < returnBound {
		return ""
	}
	for table, follower := range host.followers {
		if want := store.newestBefore(table, time.Now().Add(-applyBound)); !follower.Knows(want) {
			return fmt.Sprintf("%s has version %d of %s, want %d", host.name, follower.State().LastChange, table, want)
		}
	}
	return ""
}
