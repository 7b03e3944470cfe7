package loading

import (
	"time"

	"mimosatide.example/mimosatide"
)

const (
	// crowdingCostScale is the cost of a load on an engine that reads prompts all the time.
	crowdingCostScale = 2 * time.Second
	// soonCostScale is the cost, as load time, of the eviction of an only replica that is certainly asked
	// for soon. It is a load from the weight store: less, and models in use make room for each other.
	soonCostScale = float64(8 * time.Second)
)

// evictableAhead reports whether a model may be evicted for one that nobody has asked for: it is
// idle and has another replica or a copy at the engine.
func (planner *planner) evictableAhead(engine Engine, name string) bool {
	if demand, known := planner.Demand[name]; known && demand.Idle < aheadIdle {
		return false
	}
	tier, _ := Tier(engine.Instance, planner.Class.Models[name])
	return tier != mimosatide.TierRemote || planner.replicas[name] > engine.weight()
}

// evictionCost returns the cost of evicting one replica of a model from an engine, as load time. It
// reports false if the replica may not be evicted: requests wait for the model, the
// other replicas would come close to the replica threshold, or an only replica is
// in use or is worth more to its callers than the load.
func (planner *planner) evictionCost(engine Engine, name string) (time.Duration, bool) {
	demand, known := planner.Demand[name]
	if !known {
		demand.Idle = time.Hour
	}
	if demand.Waiting || len(demand.Bound) > 0 {
		return 0, false
	}
	load := demand.likelyLoad()
	if others := planner.replicas[name] - engine.weight(); others > 0 {
		after := load / others
		if after > planner.replicaThreshold()*0.8 {
			return 0, false
		}
		return time.Duration(after * float64(evictionCostScale)), true
	}
	if demand.Idle < minEvictionIdle && !planner.urgent || planner.reason != reasonWaiting && load > planner.replicaThreshold()/4 {
		return 0, false
	}
	if !planner.worthLoss(engine, name, demand.Idle) {
		return 0, false
	}
	return evictionCostScale/2 + time.Duration(soonCostScale*planner.soon(name, demand.Idle)), true
}

// crowdingCost returns the cost of a further model at an engine that already reads prompts for those
// that it holds, without the victims: they would all wait for each other.
func (planner *planner) crowdingCost(engine Engine, victims []string) time.Duration {
	return time.Duration(planner.engineLoad(engine.Instance, victims...) * float64(crowdingCostScale))
}
