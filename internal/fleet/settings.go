package fleet

import (
	"time"

	"mimosatide.example/mimosatide"
)

// The defaults of a node's fleet settings.
const (
	DefaultFreshness        = 1500 * time.Millisecond
	DefaultReadEvery        = 500 * time.Millisecond
	DefaultPingEvery        = 400 * time.Millisecond
	DefaultPushEvery        = 200 * time.Millisecond
	DefaultLeaseReadEvery   = 4 * time.Second
	DefaultTerm             = 10 * time.Minute
	DefaultRenewEvery       = 30 * time.Second
	DefaultProposalDeadline = 2500 * time.Millisecond
	DefaultCallTimeout      = 800 * time.Millisecond
	DefaultHostLag          = 5 * time.Second
	DefaultShareCount       = 64
	// DefaultWitnessLimit is how many members make up the quorums and hold the shares.
	DefaultWitnessLimit = 64
	// DefaultRelayLimit is how many of the witnesses read the table for the others.
	DefaultRelayLimit = 24
	// DefaultWatchLimit is how many other members each node watches by pings.
	DefaultWatchLimit = 16
	// DefaultClockDrift is the largest difference in rate between two clocks that is tolerated.
	DefaultClockDrift = 0.05
	// MinLiveAfter is the shortest silence after which a peer isn't counted as live.
	MinLiveAfter = 3 * time.Second
)

// Settings are the fixed parameters of a Core.
type Settings struct {
	Self mimosatide.Member
	// Nonce tells this process from every other one.
	Nonce string
	// Freshness bounds the age of the knowledge on which work is admitted.
	Freshness        time.Duration
	ReadEvery        time.Duration
	PingEvery        time.Duration
	PushEvery        time.Duration
	LeaseReadEvery   time.Duration
	Term             time.Duration
	RenewEvery       time.Duration
	ProposalDeadline time.Duration
	CallTimeout      time.Duration
	HostLag          time.Duration
	ShareCount       int
	ClockDrift       float64
	// WitnessLimit is how many members, the first of the list, make up the quorums.
	WitnessLimit int
	RelayLimit   int
	WatchLimit   int
	// Applied is the sequence of the snapshot with which the node starts.
	Applied uint64
}

// DefaultSettings returns the settings of a node with every default.
func DefaultSettings(self mimosatide.Member, nonce string) Settings {
	return Settings{
		Self:             self,
		Nonce:            nonce,
		Freshness:        DefaultFreshness,
		ReadEvery:        DefaultReadEvery,
		PingEvery:        DefaultPingEvery,
		PushEvery:        DefaultPushEvery,
		LeaseReadEvery:   DefaultLeaseReadEvery,
		Term:             DefaultTerm,
		RenewEvery:       DefaultRenewEvery,
		ProposalDeadline: DefaultProposalDeadline,
		CallTimeout:      DefaultCallTimeout,
		HostLag:          DefaultHostLag,
		ShareCount:       DefaultShareCount,
		ClockDrift:       DefaultClockDrift,
		WitnessLimit:     DefaultWitnessLimit,
		RelayLimit:       DefaultRelayLimit,
		WatchLimit:       DefaultWatchLimit,
	}
}

// WithApplied returns a copy that starts behind the given sequence.
func (settings Settings) WithApplied(sequence uint64) Settings {
	settings.Applied = sequence
	return settings
}

// lengthened returns a duration that is over for every clock once it is over here.
func (settings Settings) lengthened(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 + 2*settings.ClockDrift))
}

// shortened returns a duration that is over here before it is over for any other clock.
func (settings Settings) shortened(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 - settings.ClockDrift))
}
