package setting

import "time"

// minSecretLength is the shortest allowed secret or key, in characters.
const minSecretLength = 16

// Fleet holds the secrets of the fleet and the timing of its configuration and leases.
type Fleet struct {
	PeerSecret  string        `help:"Secret that all nodes share, 16 characters or more." env:"MIMOSATIDE_PEER_SECRET"`
	OperatorKey string        `help:"Key that operators authenticate with, 16 characters or more." env:"MIMOSATIDE_OPERATOR_KEY"`
	Freshness   time.Duration `help:"Longest age of the confirmed configuration on which work is admitted." default:"1500ms" env:"MIMOSATIDE_FRESHNESS"`
	Term        time.Duration `help:"Term of a node's lease on its shares of the accounts' rates." default:"10m" env:"MIMOSATIDE_TERM"`
}

func (fleet Fleet) check(checker *checker) {
	checker.checkLength("peer-secret", fleet.PeerSecret, minSecretLength)
	checker.checkLength("operator-key", fleet.OperatorKey, minSecretLength)
	// A patch is in force on all nodes within 5 s only if its proposal, which takes up
	// to 2.5 s, and twice this bound fit into that time.
	checker.checkDuration("freshness", fleet.Freshness, time.Second, 2*time.Second)
	checker.checkDuration("term", fleet.Term, 30*time.Second, 24*time.Hour)
}
