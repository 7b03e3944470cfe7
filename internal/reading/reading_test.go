package reading_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/reading"
	"mimosatide.example/mimosatide/internal/triage"
)

// prompt returns the turn of a prompt of 9,190 tokens, of which 6,300 are shared.
func prompt(prefix uint32, patience time.Duration) reading.Turn {
	return reading.Turn{
		Target: "e-1", Born: time.UnixMilli(1), Cost: 72 * time.Millisecond, Shared: 158 * time.Millisecond, Prefix: prefix,
		Room: 300 * time.Millisecond, Patience: patience, Rank: triage.Request{Large: true},
	}
}

func newHome() *reading.Home {
	return reading.NewHome(triage.New(logr.Discard()), make(chan struct{}))
}

// TestPromptsOfManyNodesTakeTurns guards against an engine that reads many long prompts at once because each came
// from another node, which had not heard of the others: the gaps between the events of its streams exceeded 600 ms.
func TestPromptsOfManyNodesTakeTurns(t *testing.T) {
	home, now := newHome(), time.Unix(1000, 0)
	draw := rand.New(rand.NewPCG(1, 2))
	pending, waiting := 0*time.Millisecond, []reading.Turn{}
	var read, most time.Duration
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		if pending > 0 {
			pending, read = pending-5*time.Millisecond, read+5*time.Millisecond
		}
		// Three prompts a second of each of three prefixes: a load of 0.65.
		if draw.Float64() < 0.045 {
			waiting = append(waiting, prompt(uint32(1+draw.IntN(3)), 0))
		}
		if len(waiting) > 0 && home.Take(waiting[0], now) {
			pending += waiting[0].Cost
			waiting = waiting[1:]
		}
		most = max(most, pending)
	}
	if most > 300*time.Millisecond {
		t.Errorf("prompts to read at once: got %v, want at most the room of 300 ms", most)
	}
	if len(waiting) > 5 {
		t.Errorf("got %d prompts that still wait, want an engine that isn't left idle", len(waiting))
	}
}

// TestPrefixIsReadOnce guards against turns by the whole prompt although the engine holds its shared part, which
// leave engines idle.
func TestPrefixIsReadOnce(t *testing.T) {
	home, now := newHome(), time.Unix(1000, 0)
	taken := 0
	for home.Take(prompt(7, 0), now) {
		taken++
	}
	if taken != 1 {
		t.Fatalf("prompts whose prefix is not known: got %d at once, want 1", taken)
	}
	now = now.Add(time.Second)
	for taken = 0; home.Take(prompt(7, 0), now); {
		taken++
	}
	if taken != 4 {
		t.Errorf("prompts whose prefix was read: got %d at once, want 4", taken)
	}
	restarted := prompt(7, 0)
	restarted.Born = restarted.Born.Add(time.Second)
	if !home.Take(restarted, now) || home.Take(restarted, now) {
		t.Error("prompts at an engine that has restarted: want one turn, with an empty cache")
	}
}

// TestMostUrgentPromptIsNext guards against turns in the order of arrival.
func TestMostUrgentPromptIsNext(t *testing.T) {
	home := newHome()
	blocking := prompt(0, 0)
	blocking.Cost, blocking.Room = 400*time.Millisecond, time.Second
	home.Take(blocking, time.Now())
	order := make(chan int, 2)
	for priority := 2; priority >= 1; priority-- {
		turn := prompt(0, 10*time.Second)
		turn.Room, turn.Rank.Priority, turn.Rank.Objective = 250*time.Millisecond, priority, time.Now().Add(time.Minute)
		go func() {
			if home.Give(context.Background(), turn) {
				order <- priority
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	if first := <-order; first != 1 {
		t.Errorf("got the prompt of priority %d first, want the more urgent one", first)
	}
}

// lostHome is the home of all engines, which does not answer.
type lostHome struct{ silent []string }

func (*lostHome) Home(string) (string, bool)           { return "n2", false }
func (*lostHome) AskTurn(string, uint64, reading.Turn) {}
func (peers *lostHome) Silent(address string)          { peers.silent = append(peers.silent, address) }

// TestPromptsGoOnWithoutTheirHome guards against prompts that wait for a home that has been lost.
func TestPromptsGoOnWithoutTheirHome(t *testing.T) {
	peers := &lostHome{}
	outcome := reading.NewDesk(newHome(), peers, logr.Discard()).Await(context.Background(), prompt(0, time.Hour))
	if outcome != reading.Unknown || fmt.Sprint(peers.silent) != "[n2]" {
		t.Errorf("got %s and silent homes %v, want Unknown and n2", outcome, peers.silent)
	}
}

// fullHome is the home of all engines, which answers at once that it is not the prompt's turn.
type fullHome struct {
	desk  *reading.Desk
	asked int
}

func (*fullHome) Home(string) (string, bool) { return "n2", false }
func (*fullHome) Silent(string)              {}
func (peers *fullHome) AskTurn(_ string, number uint64, _ reading.Turn) {
	peers.asked++
	go peers.desk.Deliver(number, false)
}

// TestHomeThatDoesNotLetWaitIsAskedRarely guards against a question in every round trip, from each waiting
// request, to a home that stops.
func TestHomeThatDoesNotLetWaitIsAskedRarely(t *testing.T) {
	peers := &fullHome{}
	peers.desk = reading.NewDesk(newHome(), peers, logr.Discard())
	outcome := peers.desk.Await(context.Background(), prompt(0, 600*time.Millisecond))
	if outcome != reading.Late || peers.asked > 4 {
		t.Errorf("got %s after %d questions in 600 ms, want Late after 4 at most", outcome, peers.asked)
	}
}

// ownHome makes the node the home of all engines.
type ownHome struct{ lostHome }

func (*ownHome) Home(string) (string, bool) { return "n1", true }

// TestOwnPromptsOfAHomeHaveNoFloorOfTheirOwn guards against a home whose own prompts go before more urgent ones of
// the same account and model from other nodes, because it knows them by other names.
func TestOwnPromptsOfAHomeHaveNoFloorOfTheirOwn(t *testing.T) {
	home := newHome()
	turnOf := func(priority int, cost, room time.Duration) reading.Turn {
		turn := prompt(0, 10*time.Second)
		turn.Cost, turn.Shared, turn.Room = cost, 0, room
		turn.Rank = triage.Request{
			Account: "a", Model: "m", Large: true, Priority: priority, Arrived: time.Now(), Objective: time.Now().Add(time.Minute),
		}
		return turn
	}
	remote := func(turn reading.Turn) reading.Turn {
		return gossip.EncodeTurnRequest("n2", 1, turn, time.Now()).Turn(time.Now())
	}
	home.Take(remote(turnOf(0, 500*time.Millisecond, time.Second)), time.Now())
	order := make(chan string, 2)
	go func() {
		home.Give(context.Background(), remote(turnOf(1, 200*time.Millisecond, 0)))
		order <- "other"
	}()
	time.Sleep(50 * time.Millisecond)
	// These get the recent places.
	short := make(chan bool)
	for range 25 {
		go func() { short <- home.Give(context.Background(), remote(turnOf(0, 0, time.Minute))) }()
	}
	for range 25 {
		<-short
	}
	go func() {
		reading.NewDesk(home, &ownHome{}, logr.Discard()).Await(context.Background(), turnOf(2, 200*time.Millisecond, 0))
		order <- "own"
	}()
	if first := <-order; first != "other" {
		t.Errorf("got the %s prompt first, want the more urgent one of the other node", first)
	}
}
