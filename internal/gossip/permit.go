package gossip

import (
	"time"

	"mimosatide.example/mimosatide/internal/permit"
)

// RateLimit is the limit that a target has named to the node, or its end.
type RateLimit struct {
	// Born is the start of the target's incarnation in milliseconds of Unix time.
	Born int64 `cbor:"1,keyasint"`
	// Rate is in requests a second; zero says that the limit has ended.
	Rate float64 `cbor:"2,keyasint,omitempty"`
	// AgeMillis is the time since the target said so.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
}

// EncodeLimits returns the limits for a digest; nil if there are none.
func EncodeLimits(limits map[string]permit.Limit, now time.Time) map[string]RateLimit {
	if len(limits) == 0 {
		return nil
	}
	encoded := make(map[string]RateLimit, len(limits))
	for id, limit := range limits {
		encoded[id] = RateLimit{Born: limit.Born.UnixMilli(), Rate: limit.Rate, AgeMillis: now.Sub(limit.At).Milliseconds()}
	}
	return encoded
}

// Limit returns the limit.
func (limit RateLimit) Limit(now time.Time) permit.Limit {
	return permit.Limit{
		Born: time.UnixMilli(limit.Born), Rate: limit.Rate,
		At: now.Add(-time.Duration(limit.AgeMillis) * time.Millisecond),
	}
}

// PermitRequest asks the home of a target for a permit to send it a request.
type PermitRequest struct {
	// From is the peer address of the asking node, Number its number of the request.
	From   string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	Target string `cbor:"3,keyasint"`
	// Born is the start of the target's incarnation in milliseconds of Unix time.
	Born int64 `cbor:"4,keyasint"`
	// Rate is the target's limit, in requests a second.
	Rate           float64 `cbor:"5,keyasint"`
	PatienceMillis int64   `cbor:"6,keyasint,omitempty"`
	// Spare says that the request has other targets.
	Spare bool `cbor:"7,keyasint,omitempty"`
	// AheadMillis and Shared are those of the limit; a node that doesn't know them issues as for
	// limits that targets name.
	AheadMillis int64 `cbor:"8,keyasint,omitempty"`
	Shared      bool  `cbor:"9,keyasint,omitempty"`
	// MinPart is that of the limit.
	MinPart float64 `cbor:"10,keyasint,omitempty"`
}

// EncodePermitRequest returns the message for a request.
func EncodePermitRequest(from string, number uint64, request permit.Request) PermitRequest {
	return PermitRequest{
		From: from, Number: number, Target: request.Target, Born: request.Born.UnixMilli(), Rate: request.Rate,
		PatienceMillis: request.Patience.Milliseconds(), Spare: request.Spare,
		AheadMillis: request.Ahead.Milliseconds(), Shared: request.Shared, MinPart: request.MinPart,
	}
}

// Request returns the request.
func (message PermitRequest) Request() permit.Request {
	return permit.Request{
		Target: message.Target, Born: time.UnixMilli(message.Born), Rate: message.Rate,
		Patience: time.Duration(message.PatienceMillis) * time.Millisecond, Spare: message.Spare,
		Ahead: time.Duration(message.AheadMillis) * time.Millisecond, Shared: message.Shared, MinPart: message.MinPart,
	}
}

// PermitResponse answers a PermitRequest.
type PermitResponse struct {
	Number     uint64 `cbor:"1,keyasint"`
	Granted    bool   `cbor:"2,keyasint,omitempty"`
	WaitMillis int64  `cbor:"3,keyasint,omitempty"`
}

// EncodePermitResponse returns the message for a verdict.
func EncodePermitResponse(number uint64, verdict permit.Verdict) PermitResponse {
	// A permit that is used a part of a millisecond early would be one too many.
	wait := (verdict.Wait + time.Millisecond - 1).Milliseconds()
	return PermitResponse{Number: number, Granted: verdict.Granted, WaitMillis: wait}
}

// Verdict returns the verdict.
func (message PermitResponse) Verdict() permit.Verdict {
	return permit.Verdict{Granted: message.Granted, Wait: time.Duration(message.WaitMillis) * time.Millisecond}
}
