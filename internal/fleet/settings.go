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
	DefaultLeaseTerm        = 10 * time.Minute
	DefaultRenewEvery       = 30 * time.Second
	DefaultProposalDeadline = 2500 * time.Millisecond
	DefaultCallTimeout      = 800 * time.Millisecond
	DefaultHostLag          = 5 * time.Second
	DefaultShareCount       = 64
	// DefaultWitnessLimit is the largest number of members that vote and hold shares.
	DefaultWitnessLimit = 64
	// DefaultRelayLimit is the largest number of members that read the table for the others.
	DefaultRelayLimit = 24
	// DefaultWatchLimit is the largest number of members that each node watches by pings.
	DefaultWatchLimit = 16
	// DefaultClockDrift is the largest tolerated difference in rate between two clocks, as a fraction.
	DefaultClockDrift = 0.05
	// LivenessTimeout is the time without a message after which a peer no longer counts as live.
	LivenessTimeout = 3 * time.Second
)

// Settings are the fixed parameters of a Core.
type Settings struct {
	Self mimosatide.Member
	// Nonce is unique to this process.
	Nonce string
	// Freshness bounds the staleness of the head on which work is admitted.
	Freshness time.Duration
	// ReadEvery is the interval between reads of the head.
	ReadEvery time.Duration
	// PingEvery is the interval between pings of the watched members.
	PingEvery time.Duration
	// PushEvery is the interval at which a patch's head is pushed to the members
	// that have not acknowledged it.
	PushEvery time.Duration
	// LeaseReadEvery is the interval between reads of the other leases once the
	// shares are spread evenly.
	LeaseReadEvery time.Duration
	// LeaseTerm is the duration of a lease.
	LeaseTerm time.Duration
	// RenewEvery is the interval between renewals of a witness's lease.
	RenewEvery time.Duration
	// ProposalDeadline is how long a patch may take to be proposed and acknowledged
	// by a majority.
	ProposalDeadline time.Duration
	// CallTimeout is the deadline of one table call. Core does not use it.
	CallTimeout time.Duration
	// HostLag is how long a host must be absent from the platform's list to count as gone.
	HostLag time.Duration
	// ShareCount is the number of shares into which every account's rate is divided.
	ShareCount int
	// ClockDrift is the largest tolerated difference in rate between two clocks, as a fraction.
	ClockDrift float64
	// WitnessLimit is the number of members, from the start of the list, that vote
	// and hold shares.
	WitnessLimit int
	// RelayLimit is the number of members, from the start of the list, that read
	// the table for the others.
	RelayLimit int
	// WatchLimit is the largest number of members that this node watches by pings.
	WatchLimit int
	// Applied is the sequence of the snapshot that the node starts from.
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
		LeaseTerm:        DefaultLeaseTerm,
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

// WithApplied returns a copy that starts after the given sequence.
func (settings Settings) WithApplied(sequence uint64) Settings {
	settings.Applied = sequence
	return settings
}

// lengthened returns how long to wait here for the duration to have passed on every clock.
func (settings Settings) lengthened(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 + 2*settings.ClockDrift))
}

// shortened returns a time that passes here before the duration passes on any other clock.
func (settings Settings) shortened(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 - settings.ClockDrift))
}
