package dispatch

import (
	"context"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/placement"
)

// Request is a validated request of a caller.
type Request struct {
	ID      string
	Account mimosatide.Account
	Key     mimosatide.KeyDigest
	// Model and Adapter are empty for requests to plain services.
	Model   mimosatide.Model
	Adapter string
	Route   mimosatide.Route
	Method  string
	Path    string
	Headers map[string]string
	Body    []byte
	// Tokens is the most that the request may cost.
	Tokens float64
	// PromptTokens is the part of the cost that is due once the first event arrives.
	PromptTokens float64
	// WaitLimit bounds the wait for the first event of a model's answer, or for the
	// whole answer of a plain service.
	WaitLimit      time.Duration
	IdempotencyKey string
	Digest         Digest
	// Arrived is the reading of the node's clock when the request came in.
	Arrived time.Duration
}

// Result is the outcome of a request: a refusal or an answer.
type Result struct {
	Refusal mimosatide.Refusal
	// Answer is set when the target's answer is complete.
	Answer mimosatide.Answer
	// Tokens is what the request cost.
	Tokens float64
	// Replayed is set when the answer is that of an earlier request with the same idempotency key.
	Replayed bool
}

func refused(refusal mimosatide.Refusal) Result {
	return Result{Refusal: refusal}
}

// Gate decides whether requests may be admitted.
type Gate interface {
	// Admit returns the reason why a request with the key may not run now, or an empty reason.
	Admit(key mimosatide.KeyDigest, account string) mimosatide.Reason
	// WaitFresh waits until the node's configuration is confirmed to be fresh. It
	// returns false when the context ends or the gate gives up first.
	WaitFresh(ctx context.Context) bool
}

// Peers sends messages to the other nodes of the fleet.
type Peers interface {
	// Send sends a message to the peer at an address.
	Send(to string, message any)
	// Others returns the addresses of the other live members.
	Others() []string
	// Lenders returns the addresses of the other live members that hold rate-limit shares.
	Lenders() []string
}

// Placements reports demand for models and returns the state of targets.
type Placements interface {
	// ReportDemand sends this node's demand for a model to the node that decides the
	// model's placements.
	ReportDemand(report placement.DemandReport)
	// Leaving reports whether a target is leaving and must get no new requests.
	Leaving(target string) bool
	// ReportedLoad returns the load in a target's last report, in requests.
	ReportedLoad(target string) int
}
