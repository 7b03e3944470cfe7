package loading

import (
	"sort"

	"mimosatide.example/mimosatide"
)

// The thresholds follow from small questions, whose first event is due within 500 ms, and from streams,
// whose events may be 500 ms apart. With prompts that take 230 ms and come independently of each other, a request
// finds more than 270 ms of unread prompts in 2 % of the cases at a load of 0.23, in 6 % at 0.35
// and in 15 % at 0.5. Lower thresholds displace more models, whose next requests wait for longer than that.
const (
	// A model gets another replica when its prompts take more than the replica
	// threshold of its engines' time: replicaThresholdBase plus
	// replicaThresholdSpread divided by the number of engines, but at most
	// replicaThresholdMax. The threshold is higher with few engines, as a replica
	// displaces other models there.
	replicaThresholdBase   = 0.2
	replicaThresholdSpread = 1.8
	replicaThresholdMax    = 0.35
	// engineThreshold is the load of a whole engine above which the models that cause much of it get
	// replicas elsewhere.
	engineThreshold = 0.35
	// engineShare is the part of the replica threshold that a model causes at least to get a replica for
	// the load of its engines.
	engineShare = 0.5
	// maxSteps bounds the steps of a plan at which busy models get no more replicas. The next plan is
	// made soon.
	maxSteps = 16
)

// replicaThreshold returns the load per replica, in seconds per second, above
// which a model gets another replica.
func (planner *planner) replicaThreshold() float64 {
	return min(replicaThresholdBase+replicaThresholdSpread/float64(max(len(planner.Engines), 1)), replicaThresholdMax)
}

// busy returns the models that need another replica, the busiest first.
func (planner *planner) busy() []string {
	var models []string
	for name := range planner.Demand {
		if planner.isBusy(name) {
			models = append(models, name)
		}
	}
	sort.Slice(models, func(i, j int) bool {
		first, second := planner.Demand[models[i]].leastLoad(), planner.Demand[models[j]].leastLoad()
		if first != second {
			return first > second
		}
		return models[i] < models[j]
	})
	return models
}

// placeBusy adds all the replicas that busy models need and that can be loaded now.
func (planner *planner) placeBusy() {
	for _, name := range planner.busy() {
		for len(planner.steps) < maxSteps && planner.isBusy(name) {
			before := len(planner.steps)
			planner.place(name, reasonBusy)
			if len(planner.steps) == before {
				break
			}
		}
	}
}

// loadMet returns the load of the engine with the least load that holds a model. Requests go there.
func (planner *planner) loadMet(name string) float64 {
	share := planner.Demand[name].leastLoad() / max(planner.replicas[name], limitedReplica)
	least, found := 0.0, false
	for _, index := range planner.holders[name] {
		load := planner.engineLoad(planner.Engines[index].Instance)
		if !found || load < least {
			least, found = load, true
		}
	}
	return max(least, share)
}

// isBusy reports whether a model needs another replica: its prompts take too much of the time of
// each, or all engines that hold it are busy, and not with other models alone.
func (planner *planner) isBusy(name string) bool {
	count := planner.replicas[name]
	if count <= 0 || count >= float64(len(planner.Engines)) {
		return false
	}
	threshold := planner.replicaThreshold()
	each := planner.Demand[name].leastLoad() / count
	if each > threshold {
		return true
	}
	// Replicas that are being loaded will take a part of the load.
	return each > threshold*engineShare && planner.Loading[name] == 0 && planner.placed[name] == 0 &&
		planner.loadMet(name) > engineThreshold
}

// engineLoad returns the load that the models of an engine cause there, without those given.
func (planner *planner) engineLoad(instance mimosatide.Instance, without ...string) float64 {
	load := 0.0
	for _, holding := range instance.Holdings {
		if count := planner.replicas[holding.Model]; count > 0 && !contains(without, holding.Model) {
			load += planner.Demand[holding.Model].leastLoad() / count
		}
	}
	return load
}

// relieves reports whether requests for the model that is being placed, which is busy, wait for fewer
// prompts at an engine than where it is held.
func (planner *planner) relieves(engine Engine, victims []string) bool {
	count := planner.replicas[planner.model]
	share := planner.Demand[planner.model].leastLoad() / (count + 1)
	return planner.engineLoad(engine.Instance, victims...)+share < planner.modelLoad
}
