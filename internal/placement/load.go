package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"mimosatide.example/mimosatide"
)

// The part of a load from the weight store that a load from a nearer tier takes.
const (
	diskPart   = 0.3
	memoryPart = 0.1
	// farPenalty is the cost of serving from another zone, in time of a load.
	farPenalty = 50 * time.Millisecond
)

// loadModel starts one more replica when requests wait for it.
func loadModel(situation Situation) (Decision, bool, error) {
	if situation.Model.Name == "" || situation.countActive() >= situation.wanted() {
		return undecided()
	}
	chosen, weighed, found := situation.chooseTarget()
	if !found {
		return Decision{
			Kind:    WaitForMemory,
			Reason:  "no engine has room",
			Weighed: weighed,
			Victims: situation.victims(),
		}, true, nil
	}
	if !situation.Turn || situation.Store.Models() >= situation.Budget.LoadSlots {
		return Decision{Kind: WaitForSlot, Reason: "the weight store is busy", Weighed: weighed}, true, nil
	}
	row := chosen.Row.WithNextNumber().WithReservation(situation.NewID, situation.Model.Memory, chosen.Spec.Memory)
	placement := Placement{
		ID:           situation.NewID,
		Model:        situation.Model.Name,
		Version:      situation.Model.Version,
		Target:       chosen.Spec.Name,
		State:        placementChart.Initial(),
		DecidedUnder: situation.Configuration,
	}.WithOrderer(situation.Self, row.Number)
	decision, decided, err := situation.change().
		placement(placement).
		target(chosen, row).
		store(situation.Store.With(StoreLoad{Placement: placement.ID})).
		decide(LoadModel, placement, "requests wait")
	decision.Weighed = weighed
	return decision, decided, err
}

// chooseTarget returns the engine on which the model is ready first.
func (situation Situation) chooseTarget() (TargetState, []Weighed, bool) {
	var weighed []Weighed
	var fitting []TargetState
	for _, target := range situation.Targets {
		excluded := situation.excluded(target)
		weighed = append(weighed, Weighed{
			Target:   target.Spec.Name,
			Cost:     situation.loadCost(target),
			Excluded: excluded,
		})
		if excluded == "" {
			fitting = append(fitting, target)
		}
	}
	if len(fitting) == 0 {
		return TargetState{}, weighed, false
	}
	chosen := slices.MinFunc(fitting, func(left, right TargetState) int {
		return cmp.Or(
			cmp.Compare(situation.loadCost(left), situation.loadCost(right)),
			cmp.Compare(left.free(), right.free()),
			cmp.Compare(left.Spec.Name, right.Spec.Name),
		)
	})
	return chosen, weighed, true
}

func (target TargetState) free() int64 {
	return target.Spec.Memory - target.Row.Reserved()
}

func (situation Situation) excluded(target TargetState) string {
	switch {
	case target.Lost:
		return "gone"
	case target.Leaving:
		return "leaving"
	case !target.Reachable:
		return "unreachable"
	case situation.placedOn(target.Spec.Name):
		return "has a replica"
	case target.free() < situation.Model.Memory:
		return "no room"
	default:
		return ""
	}
}

func (situation Situation) placedOn(target string) bool {
	return slices.ContainsFunc(situation.Row.Placements, func(placement Placement) bool {
		return placement.Target == target
	})
}

// loadCost is the expected time of a load at an engine.
func (situation Situation) loadCost(target TargetState) time.Duration {
	cost := situation.Model.LoadTime
	switch target.Report.Cached[situation.Model.Name] {
	case mimosatide.TierMemory:
		cost = time.Duration(float64(cost) * memoryPart)
	case mimosatide.TierDisk:
		cost = time.Duration(float64(cost) * diskPart)
	}
	if situation.Demand.Zones[target.Spec.Zone] == 0 {
		cost += farPenalty
	}
	return cost
}

// victims names the placements whose eviction makes room at the engine where
// the fewest are needed. Their own homes decide whether they are idle.
func (situation Situation) victims() []string {
	var best []string
	for _, target := range situation.Targets {
		exclusion := situation.excluded(target)
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

func (situation Situation) victimsAt(target TargetState) []string {
	reservations := slices.Clone(target.Row.Reservations)
	slices.SortFunc(reservations, func(left, right Reservation) int { return cmp.Compare(right.Memory, left.Memory) })
	missing := situation.Model.Memory - target.free()
	var chosen []string
	for _, reservation := range reservations {
		if missing <= 0 {
			break
		}
		chosen = append(chosen, reservation.Placement)
		missing -= reservation.Memory
	}
	if missing > 0 {
		return nil
	}
	return chosen
}

// idSeparator stands between the model and the rest of a placement's id.
const idSeparator = "@"

// NewID returns the id of a placement; unique is different each time.
func NewID(model, unique string) string {
	return model + idSeparator + unique
}

// ModelOfID returns the model of a placement's id.
func ModelOfID(id string) string {
	model, _, _ := strings.Cut(id, idSeparator)
	return model
}

// loadAdapter adds an adapter that requests wait for to a replica that serves.
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
			fits := known && target.free() >= adapter.Memory && !target.Leaving
			if placement.State == Ready && placement.Version == situation.Model.Version && fits {
				return situation.addAdapter(placement, target, adapter)
			}
		}
	}
	return undecided()
}

func (situation Situation) hasAdapter(adapter mimosatide.Adapter) bool {
	return slices.ContainsFunc(situation.Row.Placements, func(placement Placement) bool {
		known, found := placement.FindAdapter(adapter.Name)
		return found && known.Version == adapter.Version && placement.State == Ready
	})
}

func (situation Situation) addAdapter(placement Placement, target TargetState, adapter mimosatide.Adapter) (Decision, bool, error) {
	row := target.Row.WithNextNumber().WithReservation(placement.ID, adapter.Memory, target.Spec.Memory)
	added := placement.
		WithAdapter(AdapterState{Name: adapter.Name, Version: adapter.Version}).
		WithOrderer(situation.Self, row.Number)
	return situation.change().placement(added).target(target, row).
		store(situation.Store.With(StoreLoad{Placement: placement.ID, Adapter: adapter.Name})).
		decide(LoadAdapter, added, "requests wait for adapter "+adapter.Name)
}
