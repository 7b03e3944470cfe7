// Package reading lets the long prompts of all nodes take turns at the engines.
//
// An engine reads its prompts concurrently and lengthens the gaps between the events of its streams with each of
// them. Nodes hear of each other's prompts some hundred milliseconds late; a node that has few requests of a model
// can't tell from its own that the engine already reads several. So each engine has a home, one of the nodes, which
// knows the long prompts that all nodes send there, and lets them wait in the order of package triage.
//
// # Usage
//
//	desk := reading.NewDesk(reading.NewHome(queues, ending), peers, log)
//	desk.Await(ctx, reading.Turn{Target: instance.ID, Born: instance.Born, Cost: cost, Room: room, Patience: patience})
package reading

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide/internal/inquiry"
)

const (
	// maxAsk is the longest wait of one question to a home, answerTimeout how much later its answer may come. A
	// home that has just been lost delays a prompt by their sum: a half of the shortest objective of long prompts.
	maxAsk        = 250 * time.Millisecond
	answerTimeout = 150 * time.Millisecond
)

// Peers reaches the homes of engines.
type Peers interface {
	// Home returns the peer address of a target's home, and whether it is this node.
	Home(target string) (address string, self bool)
	// AskTurn sends a question to a home; Desk.Deliver takes the answer with the same number.
	AskTurn(address string, number uint64, turn Turn)
	// Silent tells that a home has not answered.
	Silent(address string)
}

// Outcome says how a wait for a turn has ended.
type Outcome string

// The outcomes of a wait for a turn.
const (
	// Given means that it is the prompt's turn.
	Given Outcome = "TurnGiven"
	// Late means that the request has waited for as long as it may.
	Late Outcome = "TurnLate"
	// Unknown means that the home has not answered.
	Unknown Outcome = "TurnUnknown"
)

// Desk awaits the turns of one node's requests. It is safe for concurrent use.
type Desk struct {
	home  *Home
	peers Peers
	log   logr.Logger
	// open holds the questions to other homes.
	open *inquiry.Open[bool]
}

// NewDesk returns a desk of the node with the given home.
func NewDesk(home *Home, peers Peers, log logr.Logger) *Desk {
	return &Desk{home: home, peers: peers, log: log, open: inquiry.New[bool]()}
}

// Await waits until it is the turn of a prompt, at most for Turn.Patience. The prompt may be sent whatever
// the outcome is: a turn spares the streams of the engine, it is no permission.
func (desk *Desk) Await(ctx context.Context, turn Turn) Outcome {
	until := time.Now().Add(turn.Patience)
	for {
		address, self := desk.peers.Home(turn.Target)
		turn.Patience, turn.Final = time.Until(until), true
		if self {
			turn.Rank = byDigests(turn.Rank)
			if desk.home.Give(ctx, turn) {
				return Given
			}
			return Late
		}
		turn.Final = turn.Patience <= maxAsk
		turn.Patience = min(max(turn.Patience, 0), maxAsk)
		askAgain := time.Now().Add(turn.Patience)
		given, answered := desk.ask(ctx, address, turn)
		switch {
		case given:
			return Given
		case ctx.Err() != nil || answered && turn.Final:
			return Late
		case !answered:
			desk.log.Info("no answer to a request for a turn", "target", turn.Target, "peer", address)
			desk.peers.Silent(address)
			return Unknown
		}
		// A home that stops, or where too many requests wait, answers at once. Asked again at once, it would get
		// a question of each waiting request in every round trip.
		pause(ctx, time.Until(askAgain))
	}
}

// pause returns after a time, or once the context has ended.
func pause(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ask asks another node, and reports whether it has given the turn and whether it has answered.
func (desk *Desk) ask(ctx context.Context, address string, turn Turn) (given, answered bool) {
	return desk.open.Ask(ctx, turn.Patience+answerTimeout, func(number uint64) { desk.peers.AskTurn(address, number, turn) })
}

// Deliver takes the answer of a home.
func (desk *Desk) Deliver(number uint64, given bool) {
	desk.open.Deliver(number, given)
}

// Answer answers the question of another node as the home of its target.
func (desk *Desk) Answer(ctx context.Context, turn Turn) bool {
	turn.Patience = min(max(turn.Patience, 0), maxAsk)
	return desk.home.Give(ctx, turn)
}
