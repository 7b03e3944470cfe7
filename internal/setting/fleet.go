package setting

import "time"

const minSecret = 16

// Fleet is how a node acts with the others.
type Fleet struct {
	PeerSecret  string        `help:"Secret that all nodes share, 16 characters or more." env:"MIMOSATIDE_PEER_SECRET"`
	OperatorKey string        `help:"Key that operators show, 16 characters or more." env:"MIMOSATIDE_OPERATOR_KEY"`
	Freshness   time.Duration `help:"Longest age of the confirmed configuration on which work is admitted." default:"1500ms" env:"MIMOSATIDE_FRESHNESS"`
	Term        time.Duration `help:"Term of a node's lease on its shares of the accounts' rates." default:"10m" env:"MIMOSATIDE_TERM"`
}

func (fleet Fleet) check(found *checks) {
	found.text("peer-secret", fleet.PeerSecret, minSecret)
	found.text("operator-key", fleet.OperatorKey, minSecret)
	// A patch is in force everywhere within 5 s only while the proposal's 2.5 s and twice this bound fit.
	found.between("freshness", fleet.Freshness, time.Second, 2*time.Second)
	found.between("term", fleet.Term, 30*time.Second, 24*time.Hour)
}
