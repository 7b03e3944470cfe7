package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide"
)

// candidateLimit is how many engines one decision looks at, besides those that hold the model.
const candidateLimit = 16

// candidates returns the engines that a decision about the model looks at. In a
// large deployment they are the same few each time, in an order that depends on
// the model, so that its checkpoint is cached where it is loaded again; the
// next ones follow when those are full.
func candidates(model string, engines []mimosatide.TargetSpec, placed []Placement, skipped int) []mimosatide.TargetSpec {
	if len(engines) <= candidateLimit {
		return engines
	}
	ordered := slices.Clone(engines)
	slices.SortFunc(ordered, func(left, right mimosatide.TargetSpec) int {
		return cmp.Compare(xxhash.Sum64String(model+" "+left.Name), xxhash.Sum64String(model+" "+right.Name))
	})
	var chosen []mimosatide.TargetSpec
	for index := range candidateLimit {
		chosen = append(chosen, ordered[(skipped+index)%len(ordered)])
	}
	for _, engine := range engines {
		holds := slices.ContainsFunc(placed, func(placement Placement) bool { return placement.Target == engine.Name })
		if holds && !slices.Contains(chosen, engine) {
			chosen = append(chosen, engine)
		}
	}
	return chosen
}

// watchedEngines returns the engines whose reports this node needs: those that
// hold models whose home it is, and the candidates of models that wait; the lock is held.
func (keeper *Keeper) watchedEngines(now time.Duration) []mimosatide.TargetSpec {
	if now < keeper.nextInterest {
		return keeper.interest
	}
	keeper.nextInterest = now + interestEvery
	engines := keeper.store.View().Document.Engines()
	if len(engines) > candidateLimit {
		engines = keeper.neededEngines(engines)
	}
	keeper.interest = engines
	return engines
}

func (keeper *Keeper) neededEngines(engines []mimosatide.TargetSpec) []mimosatide.TargetSpec {
	needed := map[string]bool{}
	for name, state := range keeper.models {
		for _, placement := range state.list.Placements {
			needed[placement.Target] = true
		}
		if len(state.wants) == 0 {
			continue
		}
		for _, engine := range candidates(name, engines, nil, state.skipped) {
			needed[engine.Name] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(engines), func(engine mimosatide.TargetSpec) bool { return !needed[engine.Name] })
}
