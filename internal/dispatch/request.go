package dispatch

import (
	"context"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/placement"
)

// Request is one caller's request, checked and ready to be served.
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
	// Tokens are what the request may cost at most.
	Tokens float64
	// PromptTokens are what it costs at least.
	PromptTokens   float64
	WaitLimit      time.Duration
	IdempotencyKey string
	Digest         Digest
	Arrived        time.Duration
}

// Result is what became of a request.
type Result struct {
	Refusal mimosatide.Refusal
	// Answer is set when the target's answer is whole.
	Answer mimosatide.Answer
	// Tokens are what the request has cost.
	Tokens float64
	// Replayed is set when the answer is that of an earlier request with the same idempotency key.
	Replayed bool
}

func refused(refusal mimosatide.Refusal) Result {
	return Result{Refusal: refusal}
}

// Gate says whether work may be admitted and for whom.
type Gate interface {
	// Admit returns why a key's request may not run now, or an empty reason.
	Admit(key mimosatide.KeyDigest, account string) mimosatide.Reason
	// WaitFresh waits until the node's configuration is confirmed fresh again.
	WaitFresh(ctx context.Context) bool
}

// Peers reaches the other nodes of the fleet.
type Peers interface {
	// Send sends a message to the peer at an address.
	Send(to string, message any)
	// Others returns the addresses of the other live members.
	Others() []string
	// Lenders returns the addresses of the other live members that hold shares.
	Lenders() []string
}

// Placements knows where models are served.
type Placements interface {
	// TellWant passes this node's demand to the model's home.
	TellWant(want placement.Want)
	// Leaving says whether a target gets no new work.
	Leaving(target string) bool
	// Reported returns the load that a target stated last.
	Reported(target string) int
}
