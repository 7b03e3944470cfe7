package permit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide/internal/permit"
)

const (
	simStep     = 25 * time.Millisecond
	simDigest   = 400 * time.Millisecond
	simDelivery = 200 * time.Millisecond
	simDelay    = simDigest + simDelivery
	// In a fleet with relays a host counts as heard for simSilence after its last digest, and others hear it
	// simBatches later.
	simSilence      = 1150 * time.Millisecond
	simBatches      = 900 * time.Millisecond
	simRelayedDelay = simSilence + 550*time.Millisecond + simDelivery
)

// simHost is a host of a simulated fleet, the peers of its own desk.
type simHost struct {
	fleet *simFleet
	name  string
	side  int
	// sideBefore is the side until movedAt.
	sideBefore int
	movedAt    time.Time
	desk       *permit.Desk
	contacts   *permit.Contacts
	heard      map[string]time.Time
	silent     map[string]time.Time
	digestAt   time.Time
}

// simFleet is a fleet in virtual time whose hosts send one cold target all that they may. Hosts of different
// sides don't reach each other, and only those of side 0 reach the store after storeLost.
type simFleet struct {
	relayed   bool
	delay     time.Duration
	random    *rand.Rand
	now       time.Time
	hosts     []*simHost
	listed    [2]map[string]bool
	storeLost time.Time
	arrivals  []time.Time
	// mostParts is the largest sum of the parts of the rate that were issued at a time.
	mostParts float64
}

func (*simHost) Home(string) (string, bool)         { return "", false }
func (*simHost) Ask(string, uint64, permit.Request) {}
func (*simHost) Silent(string)                      {}

func (host *simHost) IsDeputy(target string) bool {
	return host.contacts.Precedes(target, host.name, host.fleet.delay, host.fleet.now)
}

func (host *simHost) Heard() float64 {
	lost := host.fleet.storeLost
	current := host.side == 0 || lost.IsZero() || host.fleet.now.Sub(lost) <= permit.ListAge
	return host.contacts.Part(host.fleet.delay, current, host.fleet.now)
}

// move puts a host on a side.
func (host *simHost) move(side int) {
	host.sideBefore, host.side, host.movedAt = host.side, side, host.fleet.now
}

// sideAt returns the side on which a host was at a time.
func (host *simHost) sideAt(at time.Time) int {
	if at.Before(host.movedAt) {
		return host.sideBefore
	}
	return host.side
}

// hears reports whether news of another host reach this one.
func (host *simHost) hears(other *simHost) bool {
	if !host.fleet.relayed {
		return host.side == other.side
	}
	batched, silent := host.fleet.now.Add(-simBatches), host.fleet.now.Add(-simSilence)
	if host.side == other.side {
		return host.sideAt(batched) == other.sideAt(batched)
	}
	return host.sideAt(silent) == other.sideAt(silent)
}

func (host *simHost) restart() {
	host.desk = permit.NewDesk(nil, permit.NewIssuer(), host, logr.Discard())
	host.move(0)
	host.digestAt = host.fleet.now.Add(time.Duration(host.fleet.random.Int64N(int64(simDigest))))
	host.contacts, host.heard, host.silent = permit.NewContacts(), map[string]time.Time{}, map[string]time.Time{}
}

func newSimFleet(hosts int, relayed bool, seed uint64) *simFleet {
	fleet := &simFleet{relayed: relayed, delay: simDelay, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), listed: [2]map[string]bool{{}, {}}}
	if relayed {
		fleet.delay = simRelayedDelay
	}
	for index := range hosts {
		host := &simHost{fleet: fleet, name: fmt.Sprintf("n%d", index)}
		host.restart()
		fleet.hosts = append(fleet.hosts, host)
		fleet.listed[0][host.name], fleet.listed[1][host.name] = true, true
	}
	// The first host is the target's home.
	slices.SortFunc(fleet.hosts, func(one, other *simHost) int {
		if permit.Weight("a", one.name) > permit.Weight("a", other.name) {
			return -1
		}
		return 1
	})
	return fleet
}

// ask acquires a permit of the target's home in the eyes of a host.
func (fleet *simFleet) ask(host *simHost, cold permit.ColdLimit) {
	home := host
	for _, other := range slices.Backward(fleet.hosts) {
		near := fleet.now.Sub(host.heard[other.name]) <= permit.HeardAge && fleet.now.After(host.silent[other.name])
		if other == host || near && permit.Weight("a", other.name) > permit.Weight("a", home.name) {
			home = other
		}
	}
	if home.side != host.side {
		host.silent[home.name] = fleet.now.Add(3 * time.Second)
		return
	}
	patience := time.Duration(fleet.random.Int64N(int64(300 * time.Millisecond)))
	verdict := home.desk.Issue(permit.Request{
		Target: "a", Rate: cold.Rate, Ahead: cold.Ahead, Shared: true, MinPart: cold.MinPart, Patience: patience,
	}, fleet.now)
	if verdict.Granted {
		delivery := time.Duration(fleet.random.Int64N(int64(simDelivery)))
		fleet.arrivals = append(fleet.arrivals, fleet.now.Add(verdict.Wait+delivery))
	}
}

// run lets a time pass and returns how many requests have arrived at the target in it.
func (fleet *simFleet) run(duration time.Duration) int {
	cold := permit.NewColdLimit(3*time.Second, coldRate, coldOverage, coldSlack)
	before := len(fleet.arrivals)
	for end := fleet.now.Add(duration); fleet.now.Before(end); fleet.now = fleet.now.Add(simStep) {
		for _, host := range fleet.hosts {
			if !fleet.now.Before(host.digestAt) {
				host.digestAt = fleet.now.Add(simDigest)
				for _, other := range fleet.hosts {
					if other != host && other.hears(host) {
						other.heard[host.name] = fleet.now
					}
				}
			}
		}
		parts := 0.0
		for _, host := range fleet.hosts {
			listed := map[string]time.Time{}
			for name := range fleet.listed[min(host.side, 1)] {
				if name != host.name {
					listed[name] = host.heard[name]
				}
			}
			host.contacts.Update(listed, fleet.now)
			if !host.IsDeputy("a") {
				parts += host.Heard()
			}
			if fleet.random.IntN(4) == 0 {
				fleet.ask(host, cold)
			}
		}
		fleet.mostParts = max(fleet.mostParts, parts)
	}
	return len(fleet.arrivals) - before
}

// runAfter lets a time pass before it runs.
func (fleet *simFleet) runAfter(pause, duration time.Duration) int {
	fleet.run(pause)
	return fleet.run(duration)
}

// divide puts the hosts into sides by their index, the home into the given one.
func (fleet *simFleet) divide(sides, ofHome int) {
	for index, host := range fleet.hosts {
		host.move((index + ofHome) % sides)
	}
	fleet.storeLost = fleet.now
}

// TestHomesTogetherKeepTheBoundOfColdTargets guards against targets that crash because two homes issue the same
// part of the rate: directly after a fleet divides, once its larger side has removed the others, when they come
// back, and when homes start again; and against cold targets that a fleet can't use though it is whole.
func TestHomesTogetherKeepTheBoundOfColdTargets(t *testing.T) {
	cases := map[string]func(t *testing.T, fleet *simFleet){
		"divided, the home on the larger side":  func(_ *testing.T, fleet *simFleet) { fleet.divide(2, 0); fleet.run(12 * time.Second) },
		"divided, the home on the smaller side": func(_ *testing.T, fleet *simFleet) { fleet.divide(2, 1); fleet.run(12 * time.Second) },
		"divided in five":                       func(_ *testing.T, fleet *simFleet) { fleet.divide(5, 2); fleet.run(12 * time.Second) },
		"the others removed from the list, then back": func(t *testing.T, fleet *simFleet) {
			fleet.divide(3, fleet.random.IntN(3))
			fleet.run(8 * time.Second)
			for _, host := range fleet.hosts {
				if host.side > 0 {
					delete(fleet.listed[0], host.name)
				}
			}
			fleet.run(40 * time.Second)
			if got := fleet.run(10 * time.Second); got < 70 {
				t.Errorf("removed for 40 s: got %d requests in 10 s, want about 80 from the side that is left", got)
			}
			fleet.listed[0] = fleet.listed[1]
			for _, host := range fleet.hosts {
				host.move(0)
			}
			fleet.run(5 * time.Second)
		},
		"hosts change sides": func(_ *testing.T, fleet *simFleet) {
			fleet.divide(2, 0)
			for _, host := range fleet.hosts[4:8] {
				fleet.run(8 * time.Second)
				host.move(1 - host.side)
			}
			fleet.run(8 * time.Second)
		},
		"hosts without contact": func(t *testing.T, fleet *simFleet) {
			fleet.divide(12, 0)
			fleet.run(3 * time.Second)
			if got := fleet.run(5 * time.Second); got > 0 {
				t.Errorf("no contact: got %d requests, want none: each host would send one at the same time", got)
			}
		},
		"the home starts again and again": func(t *testing.T, fleet *simFleet) {
			for index := range 10 {
				home := fleet.hosts[index%2]
				home.move(1)
				fleet.run(time.Duration(index) * 500 * time.Millisecond)
				home.restart()
				if got := fleet.runAfter(2*fleet.delay, 2*time.Second); got < 12 {
					t.Errorf("home started again: got %d requests in 2 s, want at least 12", got)
				}
			}
		},
		"all hosts start again": func(t *testing.T, fleet *simFleet) {
			for _, host := range fleet.hosts {
				host.restart()
			}
			if got := fleet.runAfter(2*fleet.delay, 2*time.Second); got < 12 {
				t.Errorf("all hosts started again: got %d requests in 2 s, want at least 12", got)
			}
		},
	}
	for name, disturb := range cases {
		for seed := range uint64(6) {
			relayed := seed%2 == 1
			fleet := newSimFleet(12, relayed, seed)
			fleet.run(3 * time.Second)
			if got := fleet.run(5 * time.Second); got < 36 {
				t.Errorf("%s: got %d requests in 5 s from a whole fleet, want about 40", name, got)
			}
			disturb(t, fleet)
			if fleet.mostParts > 1.001 {
				t.Errorf("%s, seed %d: got %.2f of the rate issued at a time, want at most the whole", name, seed, fleet.mostParts)
			}
			slices.SortFunc(fleet.arrivals, time.Time.Compare)
			if most, allowed := mostInASecond(fleet.arrivals), int(coldRate*coldOverage+coldSlack); most > allowed {
				t.Errorf("%s, seed %d: got %d requests in a second, want at most %d", name, seed, most, allowed)
			}
		}
	}
}

// TestNewHomeIssuesNothingAheadOfTime guards against a target that gets, within a second, the permits that two homes
// have issued ahead of time, and those that a home did not issue while its part was small.
func TestNewHomeIssuesNothingAheadOfTime(t *testing.T) {
	issuer, now := permit.NewIssuer(), time.Unix(1000, 0)
	issueAll := func(rate float64, at time.Time) int {
		granted := 0
		for issuer.Issue(permit.Request{Target: "a", Rate: rate, Ahead: 500 * time.Millisecond, Shared: true}, at).Granted {
			granted++
		}
		return granted
	}
	if got := issueAll(1, now); got != 1 {
		t.Errorf("new home: got %d permits at once, want 1", got)
	}
	if got := issueAll(8, now.Add(5*time.Second)); got != 1 {
		t.Errorf("home whose part has risen from 1 to 8 a second: got %d permits at once, want 1", got)
	}
	if got := issueAll(8, now.Add(10*time.Second)); got != 5 {
		t.Errorf("home at 8 a second for 5 s: got %d permits at once, want 5", got)
	}
}

// TestAlternatingRatesDoNotUseUpPermits guards against a cold target without permits because the nodes that ask
// for them know different limits of it, or because its home loses and regains contact.
func TestAlternatingRatesDoNotUseUpPermits(t *testing.T) {
	limit := permit.NewColdLimit(3*time.Second, 8, 1.5, 5)
	for _, period := range []time.Duration{4 * time.Millisecond, 40 * time.Millisecond, 400 * time.Millisecond} {
		issuer, begin := permit.NewIssuer(), time.Unix(1000, 0)
		var due []time.Time
		for passed := time.Duration(0); passed < 20*time.Second; passed += time.Millisecond {
			request := permit.Request{Target: "i-1", Rate: limit.Rate, Ahead: limit.Ahead, Shared: true, Patience: 50 * time.Millisecond}
			if passed/period%2 == 1 {
				request.Rate /= 2
			}
			now := begin.Add(passed)
			if verdict := issuer.Issue(request, now); verdict.Granted {
				due = append(due, now.Add(verdict.Wait))
			}
		}
		// The mean rate is 6 a second.
		if len(due) < 20*4 {
			t.Errorf("permits in 20 s with rates of 8 and 4 a second that alternate every %v: got %d, want at least 80", period, len(due))
		}
		most := 0
		for first := range due {
			last := first
			for last < len(due) && due[last].Sub(due[first]) < time.Second {
				last++
			}
			most = max(most, last-first)
		}
		// 8 in a second, 2 ahead of time and the first.
		if most > 11 {
			t.Errorf("permits in a second with rates that alternate every %v: got %d, want at most 11", period, most)
		}
	}
}
