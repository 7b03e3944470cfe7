package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide"
)

// candidateLimit bounds the engines that one decision considers, besides those that hold the model.
const candidateLimit = 16

// candidateEngines returns the engines to consider for a model: all engines of
// a small deployment, otherwise candidateLimit of them and those that hold the
// model. The choice is stable for each model, so that the model is loaded again
// where its weights are cached; skipped leaves out engines that were full.
func candidateEngines(model string, engines []mimosatide.TargetSpec, placed []Placement, skipped int) []mimosatide.TargetSpec {
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

// watchedEngines returns the engines to poll for reports: all engines of a small
// deployment, otherwise those that hold models whose home is this node and the
// candidates of models in demand. The caller holds the lock.
func (controller *Controller) watchedEngines(now time.Duration) []mimosatide.TargetSpec {
	if now < controller.watchedUntil {
		return controller.watched
	}
	controller.watchedUntil = now + watchRefreshInterval
	engines := controller.store.View().Document.Engines()
	if len(engines) > candidateLimit {
		engines = controller.neededEngines(engines)
	}
	controller.watched = engines
	return engines
}

func (controller *Controller) neededEngines(engines []mimosatide.TargetSpec) []mimosatide.TargetSpec {
	needed := map[string]bool{}
	for name, state := range controller.models {
		for _, placement := range state.published.Placements {
			needed[placement.Target] = true
		}
		if len(state.demandByNode) == 0 {
			continue
		}
		for _, engine := range candidateEngines(name, engines, nil, state.skippedCandidates) {
			needed[engine.Name] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(engines), func(engine mimosatide.TargetSpec) bool { return !needed[engine.Name] })
}
