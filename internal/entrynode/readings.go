package entrynode

import (
	"context"
	"time"

	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/internal/reading"
)

// AskTurn implements reading.Peers.
func (fleet *fleet) AskTurn(address string, number uint64, turn reading.Turn) {
	fleet.node.hub.Send(address, gossip.EncodeTurnRequest(fleet.node.peerAddress, number, turn, time.Now()))
}

// handleTurnRequest answers a peer's request for the turn of a long prompt, once it is given or the peer's
// patience has ended.
func (node *Node) handleTurnRequest(message gossip.TurnRequest, now time.Time) {
	turn := message.Turn(now)
	go func() {
		given := node.readings.Answer(context.Background(), turn)
		node.hub.Send(message.From, gossip.TurnResponse{Number: message.Number, Given: given})
	}()
}
