package permit_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/permit"
)

func target(id string, born int64) mimosatide.Instance {
	return mimosatide.Instance{ID: id, Born: time.UnixMilli(born)}
}

// TestIssuerKeepsTheRateInEveryWindow guards against bursts above what a target takes.
func TestIssuerKeepsTheRateInEveryWindow(t *testing.T) {
	const window = 4 * time.Second
	for _, rate := range []float64{0.1, 0.3, 1, 1.5, 7, 200} {
		issuer := permit.NewIssuer()
		random := rand.New(rand.NewPCG(1, uint64(rate*10)))
		now := time.Unix(1000, 0)
		var sends []time.Time
		offered := 0
		for end := now.Add(time.Minute); now.Before(end); now = now.Add(time.Duration(random.Int64N(int64(20 * time.Millisecond)))) {
			if random.IntN(1000) == 0 {
				now = now.Add(5 * time.Second)
			}
			offered++
			patience := time.Duration(random.Int64N(int64(time.Second)))
			verdict := issuer.Issue(permit.Request{Target: "a", Rate: rate, Patience: patience, Spare: random.IntN(3) == 0}, now)
			if verdict.Granted && verdict.Wait > patience {
				t.Fatalf("rate %v: granted after %v, want at most %v", rate, verdict.Wait, patience)
			}
			if verdict.Granted {
				sends = append(sends, now.Add(verdict.Wait))
			}
		}
		for first, start := range sends {
			count := 0
			for _, at := range sends[first:] {
				if at.Sub(start) < window {
					count++
				}
			}
			if most := rate*window.Seconds()*1.5 + 5; float64(count) > most {
				t.Fatalf("rate %v: got %d permits in %v, want at most %v", rate, count, window, most)
			}
		}
		if least := min(int(rate*20), offered/2); len(sends) < least {
			t.Errorf("rate %v: got %d permits in a minute for %d requests, want at least %d", rate, len(sends), offered, least)
		}
	}
}

func TestDeniedRequestLearnsWhenAPermitIsAvailable(t *testing.T) {
	issuer, now := permit.NewIssuer(), time.Unix(1000, 0)
	request := permit.Request{Target: "a", Rate: 0.5}
	for issuer.Issue(request, now).Granted {
	}
	verdict := issuer.Issue(request, now)
	if verdict.Granted || verdict.Wait <= 0 {
		t.Fatalf("a request too many: got %+v, want denied with a wait", verdict)
	}
	if later := issuer.Issue(request, now.Add(verdict.Wait)); !later.Granted {
		t.Errorf("after that wait: got %+v, want granted", later)
	}
	request.Born = time.UnixMilli(1)
	if restarted := issuer.Issue(request, now); !restarted.Granted {
		t.Errorf("a new incarnation: got %+v, want granted", restarted)
	}
}

// TestNewestWordOfATargetCounts guards against a limit that ends with an answer from before
// it, or that outlives its target's incarnation.
func TestNewestWordOfATargetCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	rateOf := func(limits *permit.Limits, instance mimosatide.Instance) float64 {
		rate, _ := limits.Rate(instance)
		return rate
	}
	limits, old := permit.NewLimits(), target("a", 5)
	limits.Name(old, 2, at(10))
	if limits.End(old, at(9), at(11)) || rateOf(limits, old) != 2 {
		t.Error("an answer without a limit to a request from before it was named: got the limit ended, want kept")
	}
	limits.Apply("a", permit.Limit{Born: old.Born, Rate: 9, At: at(8)})
	if rate := rateOf(limits, old); rate != 2 {
		t.Errorf("an older limit from a peer: got %v, want 2", rate)
	}
	limits.Apply("a", permit.Limit{Born: old.Born, Rate: 3, At: at(12)})
	if rate := rateOf(limits, old); rate != 3 {
		t.Errorf("a newer limit from a peer: got %v, want 3", rate)
	}
	restarted := target("a", 6)
	if rate := rateOf(limits, restarted); rate != 0 {
		t.Errorf("limit of a new incarnation: got %v, want none", rate)
	}
	if !limits.End(old, at(13), at(14)) || rateOf(limits, old) != 0 {
		t.Error("an answer without a limit to a later request: got the limit kept, want ended")
	}
	if heard := limits.Heard(at(15)); len(heard) != 1 || heard["a"].Rate != 0 {
		t.Errorf("reported to peers: got %v, want the end of the limit", heard)
	}
	limits.Name(restarted, 4, at(14))
	if limits.Name(old, 1, at(20)); rateOf(limits, restarted) != 4 {
		t.Error("a late answer of the earlier incarnation: got it believed, want ignored")
	}
	if heard := limits.Heard(at(60)); heard != nil {
		t.Errorf("reported long after the last answer: got %v, want nothing", heard)
	}
	limits.Prune(func(string) bool { return false })
	if rate := rateOf(limits, restarted); rate != 0 {
		t.Errorf("limit of a target that is gone: got %v, want none", rate)
	}
}

// network connects the desks of several nodes. Homes are the nodes by the target's name,
// as long as they answer.
type network struct {
	lock  sync.Mutex
	desks map[string]*permit.Desk
	// issuers lack the nodes that have ended.
	issuers map[string]*permit.Issuer
	silent  map[string]bool
	delay   time.Duration
	// sides holds the side of each node of a divided network; nil if it isn't divided.
	sides map[string]int
}

type endpoint struct {
	network *network
	node    string
}

func (endpoint endpoint) Home(string) (string, bool) {
	endpoint.network.lock.Lock()
	defer endpoint.network.lock.Unlock()
	for _, node := range []string{"n1", "n2", "n3"} {
		if !endpoint.network.silent[node] {
			return node, node == endpoint.node
		}
	}
	return endpoint.node, true
}

func (endpoint endpoint) IsDeputy(string) bool { return false }

// Heard implements permit.Peers: a node hears the nodes of its side.
func (endpoint endpoint) Heard() float64 {
	endpoint.network.lock.Lock()
	defer endpoint.network.lock.Unlock()
	if endpoint.network.sides == nil {
		return 1
	}
	heard := 0
	for _, side := range endpoint.network.sides {
		if side == endpoint.network.sides[endpoint.node] {
			heard++
		}
	}
	return float64(heard) / float64(len(endpoint.network.sides))
}

func (endpoint endpoint) Ask(address string, number uint64, request permit.Request) {
	go func() {
		time.Sleep(endpoint.network.delay)
		endpoint.network.lock.Lock()
		_, alive := endpoint.network.issuers[address]
		home, desk := endpoint.network.desks[address], endpoint.network.desks[endpoint.node]
		endpoint.network.lock.Unlock()
		if alive {
			desk.Deliver(number, home.Issue(request, time.Now()))
		}
	}()
}

func (endpoint endpoint) Silent(address string) {
	endpoint.network.lock.Lock()
	defer endpoint.network.lock.Unlock()
	endpoint.network.silent[address] = true
}

func newNetwork(nodes int) (*network, []*permit.Limits) {
	created := &network{
		desks: map[string]*permit.Desk{}, issuers: map[string]*permit.Issuer{}, silent: map[string]bool{}, delay: 2 * time.Millisecond,
	}
	var limits []*permit.Limits
	for index := range nodes {
		name := fmt.Sprintf("n%d", index+1)
		limits = append(limits, permit.NewLimits())
		created.issuers[name] = permit.NewIssuer()
		created.desks[name] = permit.NewDesk(limits[index], created.issuers[name], endpoint{network: created, node: name}, logr.Discard())
	}
	return created, limits
}

// TestManyNodesShareALimitBelowOneASecondEach also takes the home away: the next one must
// go on without more than the permits of a moment.
func TestManyNodesShareALimitBelowOneASecondEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, rate = 82, 3.0
		network, limits := newNetwork(nodes)
		instance := target("a", 1)
		var lock sync.Mutex
		var sends []time.Time
		bySender := map[int]int{}
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		defer cancel()
		var group sync.WaitGroup
		for index := range nodes {
			limits[index].Name(instance, rate, time.Now())
			desk := network.desks[fmt.Sprintf("n%d", index+1)]
			group.Go(func() {
				for ; ctx.Err() == nil; time.Sleep(time.Duration(rand.Int64N(int64(time.Second)))) {
					verdict := desk.Acquire(ctx, instance, 200*time.Millisecond, rand.IntN(2) == 0)
					if !verdict.Granted {
						continue
					}
					time.Sleep(verdict.Wait)
					lock.Lock()
					sends = append(sends, time.Now())
					bySender[index]++
					lock.Unlock()
				}
			})
		}
		time.Sleep(20 * time.Second)
		network.lock.Lock()
		delete(network.issuers, "n1")
		network.lock.Unlock()
		group.Wait()
		for first, start := range sends {
			count := 0
			for _, at := range sends[first:] {
				if at.Sub(start) < 4*time.Second {
					count++
				}
			}
			if most := int(rate*4*1.5 + 5); count > most {
				t.Fatalf("requests in 4 s: got %d, want at most %d", count, most)
			}
		}
		if least := int(rate * 60 * 0.9); len(sends) < least || len(bySender) < nodes/2 {
			t.Errorf("in a minute: got %d requests from %d nodes, want at least %d from at least %d",
				len(sends), len(bySender), least, nodes/2)
		}
	})
}

func TestTargetWithoutALimitNeedsNoPermit(t *testing.T) {
	network, _ := newNetwork(2)
	network.silent["n1"], network.silent["n2"] = true, true
	for range 100 {
		if verdict := network.desks["n2"].Acquire(context.Background(), target("a", 1), 0, true); !verdict.Granted || verdict.Wait != 0 {
			t.Fatalf("got %+v, want granted at once", verdict)
		}
	}
}

// homeElsewhere is a network with one home elsewhere, which answers nothing by itself.
type homeElsewhere struct {
	asked chan uint64
}

func (homeElsewhere) Home(string) (string, bool) { return "n2", false }

func (home homeElsewhere) Ask(_ string, number uint64, _ permit.Request) { home.asked <- number }

func (homeElsewhere) IsDeputy(string) bool { return false }

func (homeElsewhere) Heard() float64 { return 1 }

func (homeElsewhere) Silent(string) {}

// TestAnswerToAnEarlierProcessIsNoPermit guards against a permit that a home issued for a
// request of the process that listened on the node's address before.
func TestAnswerToAnEarlierProcessIsNoPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instance := target("a", 1)
		home := homeElsewhere{asked: make(chan uint64, 1)}
		start := func() (*permit.Desk, <-chan permit.Verdict) {
			limits := permit.NewLimits()
			limits.Name(instance, 3, time.Now())
			desk := permit.NewDesk(limits, permit.NewIssuer(), home, logr.Discard())
			verdict := make(chan permit.Verdict, 1)
			go func() { verdict <- desk.Acquire(t.Context(), instance, time.Second, false) }()
			return desk, verdict
		}
		_, earlier := start()
		late := <-home.asked
		desk, verdict := start()
		own := <-home.asked
		desk.Deliver(late, permit.Verdict{Granted: true})
		if got := <-verdict; got.Granted {
			t.Errorf("answer to question %d of an earlier process, with question %d open: got a permit, want none", late, own)
		}
		<-earlier
	})
}

// TestGarbledRatesLeaveTheScheduleIntact guards against a request with a rate that is no number, or next to zero,
// after which a target gets no permits any more, or any number of them.
func TestGarbledRatesLeaveTheScheduleIntact(t *testing.T) {
	for _, garbled := range []float64{math.NaN(), math.Inf(1), 1e-300} {
		issuer, now := permit.NewIssuer(), time.Unix(1000, 0)
		request := permit.Request{Target: "i-1", Rate: 8, Ahead: 250 * time.Millisecond, Shared: true}
		issuer.Issue(request, now)
		bad := request
		bad.Rate = garbled
		granted := 0
		for range 100 {
			if issuer.Issue(bad, now).Granted {
				granted++
			}
		}
		if granted > 1 {
			t.Errorf("rate %v: got %d permits at once, want at most 1", garbled, granted)
		}
		request.Patience = 200 * time.Millisecond
		if verdict := issuer.Issue(request, now.Add(time.Second)); !verdict.Granted {
			t.Errorf("a second after a request with rate %v: got no permit, want one within 200 ms", garbled)
		}
	}
}
