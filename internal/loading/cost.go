package loading

import (
	"slices"
	"time"

	"mimosatide.example/mimosatide"
)

// crowdingCostScale is the cost of a load on an engine that reads prompts all the time.
const crowdingCostScale = 2 * time.Second

// evictableAhead reports whether a model may be evicted for one that nobody has asked for: it is
// idle and has another replica or a copy at the engine.
func (planner *planner) evictableAhead(engine Engine, name string) bool {
	if demand, known := planner.Demand[name]; known && demand.Idle < aheadIdle {
		return false
	}
	tier, _ := Tier(engine.Instance, planner.Class.Models[name])
	return tier != mimosatide.TierRemote || planner.replicas[name] > engine.weight()
}

// evictionCost returns the cost of evicting one replica of a model, which counts for
// weight, as load time. It
// reports false if the replica may not be evicted: requests wait for the model, the
// other replicas would come close to the replica threshold, or an only replica is
// in use.
func (planner *planner) evictionCost(name string, weight float64, reason string) (time.Duration, bool) {
	demand, known := planner.Demand[name]
	if !known {
		demand.Idle = time.Hour
	}
	if demand.Waiting || len(demand.Bound) > 0 {
		return 0, false
	}
	if others := planner.replicas[name] - weight; others > 0 {
		after := demand.PrefillLoad / others
		if after > planner.replicaThreshold()*0.8 {
			return 0, false
		}
		return time.Duration(after * float64(evictionCostScale)), true
	}
	if demand.Idle < minEvictionIdle && !planner.urgent || reason != reasonWaiting && demand.PrefillLoad > planner.replicaThreshold()/4 {
		return 0, false
	}
	idle := demand.Idle.Seconds() / evictionIdleScale.Seconds()
	return evictionCostScale/2 + time.Duration(float64(evictionCostScale)/(1+idle*idle)), true
}

// crowdingCost returns the cost of a further model at an engine that already reads prompts for those
// that it holds, without the victims: they would all wait for each other.
func (planner *planner) crowdingCost(engine Engine, victims []string) time.Duration {
	load := 0.0
	for _, holding := range engine.Instance.Holdings {
		if count := planner.replicas[holding.Model]; count > 0 && !slices.Contains(victims, holding.Model) {
			load += planner.Demand[holding.Model].PrefillLoad / count
		}
	}
	return time.Duration(load * float64(crowdingCostScale))
}
