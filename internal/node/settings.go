package node

import (
	"time"

	"mimosatide.example/mimosatide"
)

// Settings are everything that a node is told at its start.
type Settings struct {
	Member mimosatide.Member
	// PeerListen is the address of the peer port; Member.Address is how peers reach it.
	PeerListen     string
	CallerListen   string
	OperatorListen string
	Platform       string
	PlatformLimit  time.Duration
	PeerSecret     []byte
	OperatorKey    string
	DrainLimit     time.Duration
	// Freshness bounds the age of the configuration on which work is admitted.
	Freshness time.Duration
	// Term is how long a node holds its shares without renewing its lease.
	Term          time.Duration
	HostLag       time.Duration
	ProgressLimit time.Duration
	MaxBody       int
	MaxHeader     int
	MaxQueued     int
	KeepFactor    float64
	MinKeep       time.Duration
	PoolSize      int
}
