package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"mimosatide.example/mimosatide"
)

const (
	// diskLoadFraction and memoryLoadFraction are the load times from the engine's
	// disk and memory, as fractions of the load time from the weight store.
	diskLoadFraction   = 0.3
	memoryLoadFraction = 0.1
	// crossZonePenalty is added to the load time at engines in zones without waiting requests.
	crossZonePenalty = 50 * time.Millisecond
)

// loadModel starts another replica when requests wait and the demand calls for more replicas.
func loadModel(situation Situation) (Decision, bool, error) {
	if situation.Model.Name == "" || situation.activeReplicas() >= situation.wantedReplicas() {
		return noDecision()
	}
	chosen, candidates, found := situation.chooseTarget()
	if !found {
		return Decision{
			Kind:       WaitForMemory,
			Reason:     "no engine has room",
			Candidates: candidates,
			Victims:    situation.victims(),
		}, true, nil
	}
	if !situation.Turn || situation.Store.Models() >= situation.Budget.LoadSlots {
		return Decision{Kind: WaitForSlot, Reason: "the weight store is busy", Candidates: candidates}, true, nil
	}
	row := chosen.Row.WithNextFencingToken().WithReservation(situation.NewID, situation.Model.Memory, chosen.Spec.Memory)
	placement := Placement{
		ID:           situation.NewID,
		Model:        situation.Model.Name,
		Version:      situation.Model.Version,
		Target:       chosen.Spec.Name,
		State:        placementChart.Initial(),
		DecidedUnder: situation.Configuration,
	}.WithOrderer(situation.Self, row.FencingToken)
	decision, decided, err := situation.newTransaction().
		putPlacement(placement).
		putTarget(chosen, row).
		putStore(situation.Store.With(StoreLoad{Placement: placement.ID})).
		decide(LoadModel, placement, "requests wait")
	decision.Candidates = candidates
	return decision, decided, err
}

// chooseTarget returns the engine with the lowest load cost, then with the least free memory.
func (situation Situation) chooseTarget() (TargetState, []Candidate, bool) {
	var candidates []Candidate
	var fitting []TargetState
	for _, target := range situation.Targets {
		excluded := situation.exclusionReason(target)
		candidates = append(candidates, Candidate{
			Target:   target.Spec.Name,
			Cost:     situation.loadCost(target),
			Excluded: excluded,
		})
		if excluded == "" {
			fitting = append(fitting, target)
		}
	}
	if len(fitting) == 0 {
		return TargetState{}, candidates, false
	}
	chosen := slices.MinFunc(fitting, func(left, right TargetState) int {
		return cmp.Or(
			cmp.Compare(situation.loadCost(left), situation.loadCost(right)),
			cmp.Compare(left.freeMemory(), right.freeMemory()),
			cmp.Compare(left.Spec.Name, right.Spec.Name),
		)
	})
	return chosen, candidates, true
}

func (target TargetState) freeMemory() int64 {
	return target.Spec.Memory - target.Row.Reserved()
}

// exclusionReason returns why the engine can't take the model, or an empty string.
func (situation Situation) exclusionReason(target TargetState) string {
	switch {
	case target.Lost:
		return "gone"
	case target.Leaving:
		return "leaving"
	case !target.Reachable:
		return "unreachable"
	case situation.hasPlacementOn(target.Spec.Name):
		return "has a replica"
	case target.freeMemory() < situation.Model.Memory:
		return "no room"
	default:
		return ""
	}
}

func (situation Situation) hasPlacementOn(target string) bool {
	return slices.ContainsFunc(situation.Row.Placements, func(placement Placement) bool {
		return placement.Target == target
	})
}

// loadCost returns the expected load time at an engine, with the penalty for a zone without demand.
func (situation Situation) loadCost(target TargetState) time.Duration {
	cost := situation.Model.LoadTime
	switch target.Report.Cached[situation.Model.Name] {
	case mimosatide.TierMemory:
		cost = time.Duration(float64(cost) * memoryLoadFraction)
	case mimosatide.TierDisk:
		cost = time.Duration(float64(cost) * diskLoadFraction)
	}
	if situation.Demand.Zones[target.Spec.Zone] == 0 {
		cost += crossZonePenalty
	}
	return cost
}

// victims returns the placements to evict at the engine where the fewest
// evictions free enough memory. Their home nodes decide whether they are idle.
func (situation Situation) victims() []string {
	var best []string
	for _, target := range situation.Targets {
		exclusion := situation.exclusionReason(target)
		if exclusion != "no room" {
			continue
		}
		chosen := situation.victimsAt(target)
		if len(chosen) > 0 && (best == nil || len(chosen) < len(best)) {
			best = chosen
		}
	}
	return best
}

// victimsAt returns the largest placements at an engine that together free enough memory, or nil.
func (situation Situation) victimsAt(target TargetState) []string {
	reservations := slices.Clone(target.Row.Reservations)
	slices.SortFunc(reservations, func(left, right Reservation) int { return cmp.Compare(right.Memory, left.Memory) })
	shortfall := situation.Model.Memory - target.freeMemory()
	var chosen []string
	for _, reservation := range reservations {
		if shortfall <= 0 {
			break
		}
		chosen = append(chosen, reservation.Placement)
		shortfall -= reservation.Memory
	}
	if shortfall > 0 {
		return nil
	}
	return chosen
}

// idSeparator separates the model from the unique part of a placement id.
const idSeparator = "@"

// NewID returns a placement id; unique must differ for every placement.
func NewID(model, unique string) string {
	return model + idSeparator + unique
}

// ModelOfID returns the model name in a placement id.
func ModelOfID(id string) string {
	model, _, _ := strings.Cut(id, idSeparator)
	return model
}

// loadAdapter loads an adapter that requests wait for onto a ready replica.
func loadAdapter(situation Situation) (Decision, bool, error) {
	for _, name := range slices.Sorted(maps.Keys(situation.Demand.Adapters)) {
		adapter, configured := situation.Model.Adapters[name]
		if !configured || situation.Demand.Adapters[name] == 0 || situation.hasAdapter(adapter) {
			continue
		}
		if situation.Store.Adapters() >= situation.Budget.AdapterSlots {
			return Decision{Kind: WaitForSlot, Reason: "the weight store is busy with adapters"}, true, nil
		}
		for _, placement := range situation.Row.Placements {
			target, known := situation.findTarget(placement.Target)
			fits := known && target.freeMemory() >= adapter.Memory && !target.Leaving
			if placement.State == Ready && placement.Version == situation.Model.Version && fits {
				return situation.addAdapter(placement, target, adapter)
			}
		}
	}
	return noDecision()
}

func (situation Situation) hasAdapter(adapter mimosatide.Adapter) bool {
	return slices.ContainsFunc(situation.Row.Placements, func(placement Placement) bool {
		known, found := placement.FindAdapter(adapter.Name)
		return found && known.Version == adapter.Version && placement.State == Ready
	})
}

func (situation Situation) addAdapter(placement Placement, target TargetState, adapter mimosatide.Adapter) (Decision, bool, error) {
	row := target.Row.WithNextFencingToken().WithReservation(placement.ID, adapter.Memory, target.Spec.Memory)
	added := placement.
		WithAdapter(AdapterState{Name: adapter.Name, Version: adapter.Version}).
		WithOrderer(situation.Self, row.FencingToken)
	return situation.newTransaction().putPlacement(added).putTarget(target, row).
		putStore(situation.Store.With(StoreLoad{Placement: placement.ID, Adapter: adapter.Name})).
		decide(LoadAdapter, added, "requests wait for adapter "+adapter.Name)
}
