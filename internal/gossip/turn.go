package gossip

import (
	"time"

	"mimosatide.example/mimosatide/internal/reading"
	"mimosatide.example/mimosatide/internal/triage"
)

// TurnRequest asks the home of an engine for the turn of a long prompt. All times are durations, so that the
// clocks of the nodes need not agree.
type TurnRequest struct {
	// From is the peer address of the asking node, Number its number of the request.
	From   string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	Target string `cbor:"3,keyasint"`
	// Born is the start of the target's incarnation in milliseconds of Unix time.
	Born           int64 `cbor:"4,keyasint"`
	CostMillis     int64 `cbor:"5,keyasint"`
	RoomMillis     int64 `cbor:"6,keyasint"`
	PatienceMillis int64 `cbor:"7,keyasint,omitempty"`
	// Account and Model are digests of the names: the home compares them only.
	Account  uint32 `cbor:"8,keyasint,omitempty"`
	Model    uint32 `cbor:"9,keyasint,omitempty"`
	Priority int    `cbor:"10,keyasint,omitempty"`
	// AgeMillis is the time since the request arrived, ObjectiveMillis the time left until its first event should.
	AgeMillis       int64 `cbor:"11,keyasint,omitempty"`
	ObjectiveMillis int64 `cbor:"12,keyasint,omitempty"`
	WorkMillis      int64 `cbor:"13,keyasint,omitempty"`
	Begun           bool  `cbor:"14,keyasint,omitempty"`
	// SharedMillis, Prefix and Final are those of the turn.
	SharedMillis int64  `cbor:"15,keyasint,omitempty"`
	Prefix       uint32 `cbor:"16,keyasint,omitempty"`
	Final        bool   `cbor:"17,keyasint,omitempty"`
}

// EncodeTurnRequest returns the message for a turn.
func EncodeTurnRequest(from string, number uint64, turn reading.Turn, now time.Time) TurnRequest {
	return TurnRequest{
		From: from, Number: number, Target: turn.Target, Born: turn.Born.UnixMilli(), CostMillis: turn.Cost.Milliseconds(),
		RoomMillis: turn.Room.Milliseconds(), PatienceMillis: turn.Patience.Milliseconds(),
		Account: reading.Digest(turn.Rank.Account), Model: reading.Digest(turn.Rank.Model), Priority: turn.Rank.Priority,
		AgeMillis: now.Sub(turn.Rank.Arrived).Milliseconds(), ObjectiveMillis: turn.Rank.Objective.Sub(now).Milliseconds(),
		WorkMillis: turn.Rank.Work.Milliseconds(), Begun: turn.Rank.Begun,
		SharedMillis: turn.Shared.Milliseconds(), Prefix: turn.Prefix, Final: turn.Final,
	}
}

// Turn returns the turn that is asked for.
func (message TurnRequest) Turn(now time.Time) reading.Turn {
	return reading.Turn{
		Target: message.Target, Born: time.UnixMilli(message.Born), Cost: milliseconds(message.CostMillis),
		Room: milliseconds(message.RoomMillis), Patience: milliseconds(message.PatienceMillis),
		Shared: milliseconds(message.SharedMillis), Prefix: message.Prefix, Final: message.Final,
		Rank: triage.Request{
			Account: reading.DigestName(message.Account), Model: reading.DigestName(message.Model), Priority: message.Priority, Large: true,
			Arrived: now.Add(-milliseconds(message.AgeMillis)), Objective: now.Add(milliseconds(message.ObjectiveMillis)),
			Work: milliseconds(message.WorkMillis), Begun: message.Begun,
		},
	}
}

// TurnResponse answers a TurnRequest.
type TurnResponse struct {
	Number uint64 `cbor:"1,keyasint"`
	Given  bool   `cbor:"2,keyasint,omitempty"`
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}
