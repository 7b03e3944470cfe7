package node

import (
	"time"

	"mimosatide.example/mimosatide"
)

// Settings are the parameters of a Node. Addresses are HOST:PORT.
type Settings struct {
	// Member is this node; peers reach it at Member.Address.
	Member mimosatide.Member
	// PeerListen, CallerListen and OperatorListen are the addresses of the ports that the node binds.
	PeerListen     string
	CallerListen   string
	OperatorListen string
	// Platform is the address of the platform, PlatformTimeout the timeout of one call to it.
	Platform        string
	PlatformTimeout time.Duration
	// PeerSecret is the key with which the nodes authenticate each other.
	PeerSecret []byte
	// OperatorKey is the bearer token of the operators' API.
	OperatorKey string
	// DrainTimeout bounds the wait for running requests at a shutdown.
	DrainTimeout time.Duration
	// Freshness bounds the staleness of the configuration with which requests are admitted.
	Freshness time.Duration
	// LeaseTerm is the time for which a node holds its rate shares without renewing its lease.
	LeaseTerm time.Duration
	// HostLag bounds the lag of the platform's host list: a host that is absent for longer is lost.
	HostLag time.Duration
	// ProgressTimeout bounds the time without data from a target during an answer.
	ProgressTimeout time.Duration
	// MaxBody and MaxHeader bound a request, in bytes.
	MaxBody   int
	MaxHeader int
	// MaxQueued bounds the requests that wait or run at this node.
	MaxQueued int
	// An idle model stays loaded for KeepFactor times its load time, and for at least MinKeep.
	KeepFactor float64
	MinKeep    time.Duration
	// PoolSize is the number of workers for background work.
	PoolSize int
}
