package loading

import (
	"sort"
	"time"

	"mimosatide.example/mimosatide"
)

// The figures of placement.
const (
	// A model gets another replica when its prompts take more than a part of its
	// engines' time: busyBase, and busyRoom parted by the number of engines, as a
	// replica takes the place of other models where engines are few; busyMost at most.
	busyBase = 0.2
	busyRoom = 1.8
	busyMost = 0.35
	// minIdle is how long the only replica of a model must have been idle to make way.
	minIdle = 1500 * time.Millisecond
	// patience is how long a model is waited for before one makes way for it that is
	// in use, or before its weights are fetched although an engine has a copy: by
	// then neither an idle model nor an engine with a copy has become free.
	patience = time.Second
	// settleTime is how long a target is left alone after a model was placed on it.
	settleTime = 1500 * time.Millisecond
	// evictionValue is the time that evicting a model that was just used stands for;
	// it halves with each evictionHalf of idleness.
	evictionValue = 4 * time.Second
	evictionHalf  = 4 * time.Second
)

// Why a model is placed.
const (
	reasonWaiting = "Waiting"
	reasonBusy    = "Busy"
)

// Engine is what the planner knows of an engine.
type Engine struct {
	Instance mimosatide.Instance
	// Occupied engines have an order under way or are not reached.
	Occupied bool
	// PlacedAt is when a model was last placed on the engine.
	PlacedAt time.Time
}

// Tier returns the nearest place of a model's weights and the time of a load from there.
func Tier(instance mimosatide.Instance, model mimosatide.EngineModel) (mimosatide.CacheTier, time.Duration) {
	if contains(instance.InMemory, model.Name) {
		return mimosatide.TierMemory, model.WarmLoadTime
	}
	if contains(instance.OnDisk, model.Name) {
		return mimosatide.TierDisk, model.DiskLoadTime
	}
	return mimosatide.TierRemote, model.LoadTime
}

// Step is a model to be placed on an engine after others have made way.
type Step struct {
	Instance string
	Model    string
	Victims  []string
	Tier     mimosatide.CacheTier
	LoadTime time.Duration
	Reason   string
}

// Picture is what a plan is made from.
type Picture struct {
	Class   mimosatide.EngineClass
	Engines []Engine
	Demand  map[string]ModelDemand
	// Loading counts the replicas under way by model.
	Loading map[string]int
	// RemoteLoads is the number of loads that the weight store allows at this moment.
	RemoteLoads int
	Now         time.Time
}

// Plan returns the next steps: models that requests wait for come first, then replicas of busy models.
func Plan(picture Picture) []Step {
	planner := planner{Picture: picture, replicas: map[string]int{}}
	for _, engine := range picture.Engines {
		for _, holding := range engine.Instance.Holdings {
			planner.replicas[holding.Model]++
		}
	}
	for model, count := range picture.Loading {
		planner.replicas[model] += count
	}
	for _, model := range planner.missing() {
		planner.place(model, reasonWaiting)
	}
	for _, model := range planner.busy() {
		planner.place(model, reasonBusy)
	}
	return planner.steps
}

type planner struct {
	Picture
	replicas map[string]int
	steps    []Step
	// pressing says that the model that is being placed has been waited for too long.
	pressing bool
}

// busyShare is the part of an engine's time above which a model gets another replica.
func (planner *planner) busyShare() float64 {
	return min(busyBase+busyRoom/float64(max(len(planner.Engines), 1)), busyMost)
}

// missing lists the models that requests wait for and no engine holds.
func (planner *planner) missing() []string {
	var models []string
	for name, demand := range planner.Demand {
		if demand.Waiting && planner.replicas[name] == 0 {
			models = append(models, name)
		}
	}
	sort.Strings(models)
	return models
}

// busy lists the models that need another replica, the busiest first.
func (planner *planner) busy() []string {
	var models []string
	for name, demand := range planner.Demand {
		count := planner.replicas[name]
		if count > 0 && count < len(planner.Engines) && demand.Prefill/float64(count) > planner.busyShare() {
			models = append(models, name)
		}
	}
	sort.Slice(models, func(i, j int) bool {
		first, second := planner.Demand[models[i]].Prefill, planner.Demand[models[j]].Prefill
		if first != second {
			return first > second
		}
		return models[i] < models[j]
	})
	return models
}

// place adds the cheapest step that brings a model to an engine, if there is one.
func (planner *planner) place(name, reason string) {
	model, known := planner.Class.Models[name]
	if !known {
		return
	}
	planner.pressing = planner.Demand[name].Waited > patience
	best, found := Step{}, false
	var least time.Duration
	for index := range planner.Engines {
		engine := &planner.Engines[index]
		if engine.Occupied || engine.Instance.Leaving || engine.Instance.Holds(name) {
			continue
		}
		step, cost, possible := planner.consider(*engine, model, reason)
		if possible && (!found || cost < least) {
			best, least, found = step, cost, true
		}
	}
	if !found {
		return
	}
	best.Reason = reason
	planner.steps = append(planner.steps, best)
	planner.replicas[name]++
	for _, victim := range best.Victims {
		planner.replicas[victim]--
	}
	if best.Tier == mimosatide.TierRemote {
		planner.RemoteLoads--
	}
	for index := range planner.Engines {
		if planner.Engines[index].Instance.ID == best.Instance {
			planner.Engines[index].Occupied = true
		}
	}
}

// consider returns the step that places a model on an engine, and its cost as time.
func (planner *planner) consider(engine Engine, model mimosatide.EngineModel, reason string) (Step, time.Duration, bool) {
	tier, loadTime := Tier(engine.Instance, model)
	if tier == mimosatide.TierRemote && (planner.RemoteLoads <= 0 || planner.copyIsNear(model, reason)) {
		return Step{}, 0, false
	}
	victims, lost, possible := planner.victims(engine, model.MemoryMB, reason)
	if !possible {
		return Step{}, 0, false
	}
	cost := loadTime + lost
	step := Step{
		Instance: engine.Instance.ID,
		Model:    model.Name,
		Victims:  victims,
		Tier:     tier,
		LoadTime: loadTime,
	}
	return step, cost, true
}

// copyIsNear says whether it is worth waiting for an engine that has a copy of the
// weights of a model that none holds.
func (planner *planner) copyIsNear(model mimosatide.EngineModel, reason string) bool {
	if planner.pressing || reason != reasonWaiting {
		return false
	}
	for _, engine := range planner.Engines {
		if tier, _ := Tier(engine.Instance, model); tier != mimosatide.TierRemote && !engine.Instance.Leaving {
			return true
		}
	}
	return false
}

// victims lists the models that make way for so much memory, the least valuable first.
func (planner *planner) victims(engine Engine, memoryMB float64, reason string) ([]string, time.Duration, bool) {
	free := planner.Class.MemoryMB - UsedMB(planner.Class, engine.Instance)
	if free >= memoryMB {
		return nil, 0, true
	}
	if planner.Now.Sub(engine.PlacedAt) < settleTime {
		return nil, 0, false
	}
	type candidate struct {
		holding mimosatide.Holding
		value   time.Duration
	}
	var candidates []candidate
	for _, holding := range engine.Instance.Holdings {
		value, evictable := planner.value(holding.Model, reason)
		if evictable {
			candidates = append(candidates, candidate{holding: holding, value: value})
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].value != candidates[j].value {
			return candidates[i].value < candidates[j].value
		}
		return candidates[i].holding.Model < candidates[j].holding.Model
	})
	var victims []string
	var lost time.Duration
	for _, candidate := range candidates {
		if free >= memoryMB {
			break
		}
		victims = append(victims, candidate.holding.Model)
		lost += candidate.value
		free += HoldingMB(planner.Class, candidate.holding)
	}
	return victims, lost, free >= memoryMB
}

// value is the time that evicting one replica of a model stands for.
func (planner *planner) value(name, reason string) (time.Duration, bool) {
	demand, asked := planner.Demand[name]
	if !asked {
		demand.Idle = time.Hour
	}
	if demand.Waiting {
		return 0, false
	}
	count := planner.replicas[name]
	if count > 1 {
		after := demand.Prefill / float64(count-1)
		if after > planner.busyShare()*0.8 {
			return 0, false
		}
		return time.Duration(after * float64(evictionValue)), true
	}
	if demand.Idle < minIdle && !planner.pressing || reason != reasonWaiting && demand.Prefill > planner.busyShare()/4 {
		return 0, false
	}
	halvings := demand.Idle.Seconds() / evictionHalf.Seconds()
	return evictionValue/2 + time.Duration(float64(evictionValue)/(1+halvings*halvings)), true
}

// UsedMB is the memory that an engine's models and adapters take.
func UsedMB(class mimosatide.EngineClass, instance mimosatide.Instance) float64 {
	sum := 0.0
	for _, holding := range instance.Holdings {
		sum += HoldingMB(class, holding)
	}
	return sum
}

// HoldingMB is the memory that a model takes with its adapters.
func HoldingMB(class mimosatide.EngineClass, holding mimosatide.Holding) float64 {
	model := class.Models[holding.Model]
	return model.MemoryMB + float64(len(holding.Adapters)+len(holding.Coming))*model.AdapterMemoryMB
}

func contains(list []string, item string) bool {
	for _, each := range list {
		if each == item {
			return true
		}
	}
	return false
}
