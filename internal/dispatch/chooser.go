package dispatch

import (
	"math/rand/v2"
	"slices"

	"mimosatide.example/mimosatide"
)

// Candidate is a replica or a service that could run a request.
type Candidate struct {
	Target string
	// Placement and FencingToken are empty for plain services.
	Placement    string
	FencingToken mimosatide.FencingToken
	// Outstanding is the number of requests that this node runs at the candidate.
	Outstanding int
	// MaxOutstanding bounds Outstanding.
	MaxOutstanding int
	// ReportedLoad is the load in the target's last report, which lags.
	ReportedLoad int
	// Affinity is set when the target last ran a request with the same prefix,
	// model and adapter, so that its cache is likely to be warm.
	Affinity bool
	// SameZone is set when the target is in this node's zone.
	SameZone bool
}

// The weights of the load score; the bonuses are in requests.
const (
	// affinityBonus is the extra load at which a target with affinity is still preferred.
	affinityBonus = 2
	// sameZoneBonus is the extra load at which a target of the same zone is still preferred.
	sameZoneBonus = 1
	// reportedWeight discounts the reported load, since it lags behind the node's own count.
	reportedWeight = 0.25
)

// Chooser picks the less loaded of two random candidates (power of two choices).
type Chooser struct {
	random *rand.Rand
}

// NewChooser returns a chooser that uses the given random source.
func NewChooser(random *rand.Rand) *Chooser {
	return &Chooser{random: random}
}

// Choose returns one of the candidates below their limit, without the excluded
// targets. It returns false when there is none.
func (chooser *Chooser) Choose(candidates []Candidate, exclude map[string]bool) (Candidate, bool) {
	free := slices.DeleteFunc(slices.Clone(candidates), func(candidate Candidate) bool {
		return exclude[candidate.Target] || candidate.Outstanding >= candidate.MaxOutstanding
	})
	if len(free) == 0 {
		return Candidate{}, false
	}
	first := chooser.random.IntN(len(free))
	if len(free) == 1 {
		return free[first], true
	}
	second := chooser.random.IntN(len(free) - 1)
	if second >= first {
		second++
	}
	if load(free[second]) < load(free[first]) {
		return free[second], true
	}
	return free[first], true
}

// load returns the load score of a candidate, in requests; lower is better.
func load(candidate Candidate) float64 {
	sum := float64(candidate.Outstanding) + reportedWeight*float64(candidate.ReportedLoad)
	if candidate.Affinity {
		sum -= affinityBonus
	}
	if candidate.SameZone {
		sum -= sameZoneBonus
	}
	return sum
}
