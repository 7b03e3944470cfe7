// Package permit keeps the limits that targets name in their answers, and those of cold targets:
// the requests a second that a target takes from all nodes together.
//
// Each target has a home, one of the nodes, chosen by rendezvous hashing over those that
// are alive. The home issues the permits to send a request to the target at the target's
// rate, first come, first served. A node with a request for a target that has a limit asks
// the home for a permit; for other targets no permit is needed. So the limit holds whatever
// the number of nodes, and goes to those that have requests. A change of the home costs at
// most the permits of a moment, since a new home begins with an empty schedule.
//
// Cold targets crash above their limit. Contacts decides what part of it a home may issue, so that
// the homes of a divided fleet together keep to it.
//
// # Usage
//
//	desk := permit.NewDesk(limits, permit.NewIssuer(), peers, log)
//	verdict := desk.Acquire(ctx, instance, 200*time.Millisecond, false)
//	if verdict.Granted {
//		time.Sleep(verdict.Wait)
//	}
package permit

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/inquiry"
)

const (
	// answerTimeout is how long a home may take to answer. Without an answer there is no permit.
	answerTimeout = 250 * time.Millisecond
	// DeputyShare is the part of the rate that a target has named at which a node issues permits while, as
	// far as it knows, another one is the home and issues the whole rate. For cold targets it issues none.
	DeputyShare = 0.25
)

// Peers reaches the homes of targets.
type Peers interface {
	// Home returns the peer address of a target's home, and whether it is this node.
	Home(target string) (address string, self bool)
	// Heard returns the part of the rates of cold targets, from 0 to 1, that this node may issue for the
	// nodes that it hears, itself included.
	Heard() float64
	// IsDeputy reports whether another node may still issue permits for a cold target to nodes that this one
	// hears.
	IsDeputy(target string) bool
	// Ask sends a request to a home; Desk.Deliver takes the answer with the same number.
	Ask(address string, number uint64, request Request)
	// Silent tells that a home has not answered.
	Silent(address string)
}

// Desk acquires permits for the requests of one node. It is safe for concurrent use.
type Desk struct {
	limits *Limits
	issuer *Issuer
	peers  Peers
	log    logr.Logger
	// open holds the questions to other homes.
	open *inquiry.Open[Verdict]
}

// NewDesk returns a desk.
func NewDesk(limits *Limits, issuer *Issuer, peers Peers, log logr.Logger) *Desk {
	return &Desk{
		limits: limits, issuer: issuer, peers: peers, log: log, open: inquiry.New[Verdict](),
	}
}

// Acquire asks for a permit to send one request to a target. Without a limit it is granted
// at once. A granted request has to wait for Verdict.Wait, which is at most patience; see
// Request for spare.
func (desk *Desk) Acquire(ctx context.Context, instance mimosatide.Instance, patience time.Duration, spare bool) Verdict {
	bound, limited := desk.limits.Bound(instance, time.Now())
	if !limited {
		return Verdict{Granted: true}
	}
	request := Request{
		Target: instance.ID, Born: instance.Born, Rate: bound.Rate, Ahead: bound.Ahead, Shared: bound.Shared, MinPart: bound.MinPart,
		Patience: patience, Spare: spare,
	}
	address, self := desk.peers.Home(instance.ID)
	if self {
		return desk.Issue(request, time.Now())
	}
	return desk.ask(ctx, address, request)
}

// Issue answers a request as the home of its target.
func (desk *Desk) Issue(request Request, now time.Time) Verdict {
	if request.Shared {
		part := desk.peers.Heard()
		if part <= 0 || part < request.MinPart || desk.peers.IsDeputy(request.Target) {
			return Verdict{Wait: answerTimeout}
		}
		request.Rate *= part
	}
	return desk.issuer.Issue(request, now)
}

func (desk *Desk) ask(ctx context.Context, address string, request Request) Verdict {
	verdict, answered := desk.open.Ask(ctx, answerTimeout, func(number uint64) { desk.peers.Ask(address, number, request) })
	if !answered && ctx.Err() == nil {
		desk.log.Info("no answer to a request for a permit", "target", request.Target, "peer", address, "rate", request.Rate)
		desk.peers.Silent(address)
		return Verdict{Wait: answerTimeout}
	}
	return verdict
}

// Deliver takes the answer of a home.
func (desk *Desk) Deliver(number uint64, verdict Verdict) {
	desk.open.Deliver(number, verdict)
}
