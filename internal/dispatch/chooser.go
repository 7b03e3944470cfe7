package dispatch

import (
	"math/rand/v2"
	"slices"

	"mimosatide.example/mimosatide"
)

// Candidate is a replica or a service that could run a request.
type Candidate struct {
	Target    string
	Placement string
	Number    mimosatide.FencingNumber
	// Outstanding is this node's own work at the candidate.
	Outstanding int
	// Limit bounds this node's work at the candidate.
	Limit int
	// Reported is the load that the target stated last; it lags.
	Reported int
	// Affinity is set when the target should hold the request's prefix or adapter.
	Affinity bool
	// Near is set when the target is in this node's zone.
	Near bool
}

const (
	// affinityBonus is how many requests more a target with the prefix or adapter may have.
	affinityBonus = 2
	// nearBonus is how many requests more a target of the same zone may have.
	nearBonus = 1
	// reportedPart is how much the lagging report counts beside the node's own work.
	reportedPart = 0.25
)

// Chooser picks the less loaded of two random candidates.
type Chooser struct {
	random *rand.Rand
}

// NewChooser returns a chooser that draws from the random source.
func NewChooser(random *rand.Rand) *Chooser {
	return &Chooser{random: random}
}

// Choose returns one of the candidates that have room, passing over excluded targets.
func (chooser *Chooser) Choose(candidates []Candidate, exclude map[string]bool) (Candidate, bool) {
	free := slices.DeleteFunc(slices.Clone(candidates), func(candidate Candidate) bool {
		return exclude[candidate.Target] || candidate.Outstanding >= candidate.Limit
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

func load(candidate Candidate) float64 {
	sum := float64(candidate.Outstanding) + reportedPart*float64(candidate.Reported)
	if candidate.Affinity {
		sum -= affinityBonus
	}
	if candidate.Near {
		sum -= nearBonus
	}
	return sum
}
