package watch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mimosatide.example/mimosatide/internal/watch"
)

const (
	// returnBound is how long after the store's return a host must follow the tables again,
	// applyBound how long a change may then take to arrive.
	returnBound = 3 * time.Second
	applyBound  = 2 * time.Second
	seeds       = 200
)

// TestOneAnsweredHostWatches guards against a fleet that relies on a host which the store refuses.
func TestOneAnsweredHostWatches(t *testing.T) {
	host := func(name string, share float64, answered bool) watch.Host {
		return watch.Host{Name: name, CPUShare: share, Answered: answered}
	}
	a, b, c := host("a", 1, true), host("b", 1, true), host("c", 2, true)
	refused := host("c", 2, false)
	for _, test := range []struct {
		name   string
		own    watch.Host
		others []watch.Host
		want   bool
	}{
		{"alone", a, nil, true},
		{"alone and refused", refused, nil, false},
		{"first by share", c, []watch.Host{a, b}, true},
		{"second", a, []watch.Host{b, c}, false},
		{"first by name", a, []watch.Host{b, refused}, true},
		{"refused", refused, []watch.Host{a, b}, false},
		{"second of those answered", b, []watch.Host{refused, a}, false},
	} {
		duty := watch.Decide(test.own, test.others)
		if duty.Watches != test.want || duty.Limit > watch.MaxLimit {
			t.Errorf("%s: got %+v, want watching %v and a limit of at most %v", test.name, duty, test.want, watch.MaxLimit)
		}
	}
}

// newRun returns a context, and a function that cancels it and waits until all has ended.
func newRun() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	return ctx, func() {
		cancel()
		time.Sleep(time.Minute)
	}
}

// startFleet starts hosts that take turns in the zones; waitLimit is that of the polls of a watching host.
func startFleet(ctx context.Context, store *store, hosts, zones int, waitLimit time.Duration) []*host {
	clock := clock{time.Now()}
	fleet := make([]*host, hosts)
	for index := range fleet {
		fleet[index] = newHost(fmt.Sprintf("h%d", index), index%zones, store, clock, waitLimit)
	}
	for _, host := range fleet {
		go host.run(ctx, fleet)
	}
	return fleet
}

// TestHostsThatTheStoreAnswersFollowItsTables draws outages of the store that end for some hosts only,
// beside hosts that are cut off from the others: what happened to the watching host must not keep any host
// that the store answers from a change.
func TestHostsThatTheStoreAnswersFollowItsTables(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playOutages(t, seed) })
		})
	}
}

func playOutages(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 9))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	ctx, stop := newRun()
	defer stop()
	store := newStore()
	waitLimit := watch.PollWait
	if random.IntN(4) == 0 {
		// Nobody keeps polls short, like the hosts of a zone whose relay has just been lost.
		waitLimit = 0
	}
	fleet := startFleet(ctx, store, 2+random.IntN(7), 1+random.IntN(3), waitLimit)
	var story []string
	for begin := 3 * time.Second; begin < 60*time.Second; {
		// An outage for all, and one that goes on for some when it ends.
		length := between(200*time.Millisecond, 6*time.Second)
		second := begin + length - between(0, 500*time.Millisecond)
		end := second + between(500*time.Millisecond, 9*time.Second)
		first, next := 1+condition(random.IntN(int(conditions)-1)), 1+condition(random.IntN(int(conditions)-1))
		affected := chooseHosts(random, fleet)
		cut := chooseHosts(random, fleet)
		cutAt, cutEnd := between(begin, end), end+between(-time.Second, 3*time.Second)
		story = append(story, fmt.Sprintf("%v %v for all, %v to %v %v for %v, %v to %v cut %v",
			begin, first, second, end, next, names(affected), cutAt, cutEnd, names(cut)))
		for _, host := range fleet {
			time.AfterFunc(begin, func() { host.path.set(first) })
			time.AfterFunc(begin+length, func() { host.path.set(answering) })
		}
		for _, host := range affected {
			time.AfterFunc(max(second, begin+length+1), func() { host.path.set(next) })
			time.AfterFunc(end, func() { host.path.set(answering) })
		}
		for _, host := range cut {
			time.AfterFunc(cutAt, func() { host.cut.Store(true) })
			time.AfterFunc(cutEnd, func() { host.cut.Store(false) })
		}
		begin = max(end, cutEnd) + between(time.Second, 8*time.Second)
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(between(50*time.Millisecond, 3*time.Second))
			store.write(tables[random.IntN(len(tables))])
		}
	}()
	for range 80 * 20 {
		time.Sleep(50 * time.Millisecond)
		for _, host := range fleet {
			if stale := host.stale(store); stale != "" {
				t.Errorf("%d hosts, at %v: %s\n%s", len(fleet), host.clock.Now(), stale, strings.Join(story, "\n"))
				return
			}
		}
	}
}

// chooseHosts returns the first host, a zone, or any hosts.
func chooseHosts(random *rand.Rand, fleet []*host) []*host {
	kind, zone := random.IntN(4), random.IntN(3)
	var chosen []*host
	for index, host := range fleet {
		if kind == 0 && index == 0 || kind == 1 && host.zone == zone || kind == 2 && random.IntN(3) == 0 {
			chosen = append(chosen, host)
		}
	}
	return chosen
}

func names(hosts []*host) []string {
	names := []string{}
	for _, host := range hosts {
		names = append(names, host.name)
	}
	return names
}

// TestConfirmedHostsSpareTheirPolls counts the calls of a fleet in calm: all hosts but the watching one
// must need no more than their long polls.
func TestConfirmedHostsSpareTheirPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 8
		ctx, stop := newRun()
		defer stop()
		store := newStore()
		startFleet(ctx, store, hosts, 3, watch.PollWait)
		time.Sleep(5 * time.Second)
		before := store.callCount()
		time.Sleep(time.Minute)
		watched := len(tables) * int(time.Minute/watch.PollWait)
		others := len(tables) * (hosts - 1) * 7
		if calls := store.callCount() - before; calls > watched+others {
			t.Errorf("got %d calls in a minute, want at most %d", calls, watched+others)
		}
	})
}
