package loading

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"mimosatide.example/mimosatide"
)

const (
	// minEvictionIdle is how long the only replica of a model must have been idle
	// before it is evicted, unless the model to be loaded is urgent.
	minEvictionIdle = 1500 * time.Millisecond
	// limitedReplica is the part of a replica that one on an engine counts for which limits
	// its requests.
	limitedReplica = 0.25
	// urgentAfter is how long requests wait for a model before it is urgent: it may
	// then displace a model in use, or be fetched from the weight store although an
	// engine has a copy, unless that engine will be free before. By then no idle model could
	// be evicted, and no engine with a copy has become free.
	urgentAfter = time.Second
	// evictionCooldown is how long nothing is evicted from an engine after a model
	// was placed on it, or after its report was applied to bring its state up to date.
	evictionCooldown = 1500 * time.Millisecond
	// evictionCostScale converts the use of a model into the cost of its eviction, which
	// is added to the load time. An only replica costs half the scale, plus a part by how likely it is asked
	// for soon. Without a known rate of requests that falls with idle time and has halved after evictionIdleScale.
	evictionCostScale = 4 * time.Second
	evictionIdleScale = 4 * time.Second
	// maxAbsentShare is the share of the models without a copy at any engine up to which they are
	// loaded before a request comes.
	maxAbsentShare = 0.1
	// usualHoldings is the number of models that an engine usually holds.
	usualHoldings = 4
	// aheadIdle is how long a model must have been idle to be evicted for one that nobody has
	// asked for.
	aheadIdle = 10 * time.Second
)

// The reasons of a step: requests wait for a model without a replica, the replicas
// of a model are busy, or no engine has a copy of a model.
const (
	reasonWaiting = "Waiting"
	reasonBusy    = "Busy"
	reasonAhead   = "Ahead"
	// reasonDisplaced is that of a model whose replicas are all in evacuated zones.
	reasonDisplaced = "Displaced"
)

// Engine is an engine as Plan sees it.
type Engine struct {
	Instance mimosatide.Instance
	// Occupied engines have an order under way or do not answer; they are not used.
	Occupied bool
	// FreeIn is the expected time until a load under way at the engine ends; zero if there is none.
	FreeIn time.Duration
	// Loading is the model of a load under way; empty if there is none.
	Loading string
	// Down engines do not answer: nobody can use what they hold.
	Down bool
	// Limited engines limit their requests. Their replicas count for limitedReplica of one,
	// and busy models get no further replicas there.
	Limited bool
	// PlacedAt is when a report of the engine was last applied: after a model was placed
	// on it, or to bring its known state up to date.
	PlacedAt time.Time
}

// Tier returns the nearest tier that has a model's weights and the expected time of
// a load from there.
func Tier(instance mimosatide.Instance, model mimosatide.EngineModel) (mimosatide.CacheTier, time.Duration) {
	if contains(instance.InMemory, model.Name) {
		return mimosatide.TierMemory, model.WarmLoadTime
	}
	if contains(instance.OnDisk, model.Name) {
		return mimosatide.TierDisk, model.DiskLoadTime
	}
	return mimosatide.TierRemote, model.LoadTime
}

// Step is a model to be loaded on an engine after its victims have been evicted.
type Step struct {
	Instance string
	Model    string
	Victims  []string
	Tier     mimosatide.CacheTier
	// LoadTime is the expected time of the load.
	LoadTime time.Duration
	Reason   string
	// Waited is how long requests have waited for the model, and Asked how many have recently
	// found no replica of it, older ones counting less.
	Waited time.Duration
	Asked  float64
	// Gain and Loss are how much less the callers of the model wait in sum, and how much longer those of
	// the victims that have no other replica.
	Gain time.Duration
	Loss time.Duration
}

// Snapshot is the input of Plan.
type Snapshot struct {
	Class   mimosatide.EngineClass
	Engines []Engine
	// Demand is the demand by model.
	Demand map[string]ModelDemand
	// Loading counts the loads under way by model.
	Loading map[string]int
	// Displaced are the models that engines of evacuated zones hold.
	Displaced map[string]bool
	// RemoteLoadsToStart is the number of loads from the weight store that may start now.
	RemoteLoadsToStart int
	// LoadAhead allows loads of models that nobody waits for, Quiet says that no request has come
	// yet.
	LoadAhead bool
	Quiet     bool
	Now       time.Time
}

// Plan returns the next steps: first the models that requests wait for, then
// replicas of busy models, then models that could be loaded from nowhere else when a request
// comes.
func Plan(snapshot Snapshot) []Step {
	planner := newPlanner(snapshot)
	planner.plan()
	return planner.steps
}

// weight returns how many replicas one on this engine counts for.
func (engine Engine) weight() float64 {
	if engine.Limited {
		return limitedReplica
	}
	return 1
}

type planner struct {
	Snapshot
	// replicas counts the replicas by model, each by the weight of its engine, including
	// those that are loading and the changes that the steps make.
	replicas map[string]float64
	// copies are the models of which an engine has a copy, nil until they are needed.
	copies map[string]bool
	steps  []Step
	// urgent says that requests have waited longer than urgentAfter for the model
	// that is being placed.
	urgent bool
	// model is the model that is being placed, reason why, and modelGain what its callers gain.
	model     string
	reason    string
	modelGain time.Duration
	// modelLoad is the load that its requests meet.
	modelLoad float64
	// holders are the engines that hold each model, placed counts the steps by model.
	holders map[string][]int
	placed  map[string]int
	// displacedIdle is how long the displaced model that is being placed has been idle: those used since
	// are not evicted for it.
	displacedIdle time.Duration
	// accept says on which engines it may be placed.
	accept func(Engine) bool
}

// missing returns the models in line: those without a replica that requests wait for, or that
// recent requests have found missing, if they can only be loaded from the weight store. The one of the highest
// rank is first, then the one that has been waited for longest.
func (planner *planner) missing() []string {
	type entry struct {
		name   string
		rank   float64
		waited time.Duration
	}
	var line []entry
	for name, demand := range planner.Demand {
		if planner.replicas[name] == 0 && (demand.Waiting || demand.Asked > 0 && !planner.copied()[name]) {
			line = append(line, entry{name: name, rank: planner.rank(name), waited: demand.Waited})
		}
	}
	slices.SortFunc(line, func(first, second entry) int {
		return cmp.Or(cmp.Compare(second.rank, first.rank), cmp.Compare(second.waited, first.waited), strings.Compare(first.name, second.name))
	})
	models := make([]string, len(line))
	for index, entry := range line {
		models[index] = entry.name
	}
	return models
}

// copied returns the models of which an engine has a copy of the weights.
func (planner *planner) copied() map[string]bool {
	if planner.copies != nil {
		return planner.copies
	}
	copied := map[string]bool{}
	for _, engine := range planner.Engines {
		if engine.Instance.Leaving {
			continue
		}
		for _, name := range slices.Concat(engine.Instance.InMemory, engine.Instance.OnDisk) {
			copied[name] = true
		}
	}
	planner.copies = copied
	return copied
}

// place adds the cheapest step that loads the model, if any is possible.
func (planner *planner) place(name, reason string) {
	planner.urgent = planner.Demand[name].Waited > urgentAfter
	planner.placeWhere(name, reason, func(Engine) bool { return true })
}

// placeWhere adds the cheapest step that loads the model on an engine that accept accepts.
func (planner *planner) placeWhere(name, reason string, accept func(Engine) bool) {
	model, known := planner.Class.Models[name]
	if !known {
		return
	}
	planner.accept = accept
	planner.model, planner.reason, planner.modelGain = name, reason, planner.gain(name, reason)
	planner.modelLoad = planner.loadMet(name)
	waitForCopy := planner.waitForCopy(model)
	best, found := Step{}, false
	var lowestCost time.Duration
	for index := range planner.Engines {
		engine := &planner.Engines[index]
		if engine.Occupied || engine.Instance.Leaving || engine.Instance.Holds(name) || !accept(*engine) {
			continue
		}
		if engine.Limited && reason == reasonBusy {
			continue
		}
		step, cost, possible := planner.evaluate(*engine, model, waitForCopy)
		if possible && (!found || cost < lowestCost) {
			best, lowestCost, found = step, cost, true
		}
	}
	if !found {
		return
	}
	best.Reason = reason
	best.Waited, best.Asked = planner.Demand[name].Waited, planner.Demand[name].Asked
	best.Gain, best.Loss = planner.modelGain, planner.lossBy(best)
	planner.steps = append(planner.steps, best)
	planner.placed[name]++
	weight := planner.weightOf(best.Instance)
	planner.replicas[name] += weight
	for _, victim := range best.Victims {
		planner.replicas[victim] -= weight
	}
	if best.Tier == mimosatide.TierRemote {
		planner.RemoteLoadsToStart--
	}
	for index := range planner.Engines {
		if planner.Engines[index].Instance.ID == best.Instance {
			planner.Engines[index].Occupied = true
		}
	}
}

func newPlanner(snapshot Snapshot) *planner {
	planner := &planner{Snapshot: snapshot, replicas: map[string]float64{}, holders: map[string][]int{}, placed: map[string]int{}}
	for index, engine := range snapshot.Engines {
		if engine.Down {
			continue
		}
		for _, holding := range engine.Instance.Holdings {
			planner.holders[holding.Model] = append(planner.holders[holding.Model], index)
			planner.replicas[holding.Model] += engine.weight()
		}
	}
	for model, count := range snapshot.Loading {
		planner.replicas[model] += float64(count)
	}
	return planner
}

// plan adds all steps.
func (planner *planner) plan() {
	for _, model := range planner.missing() {
		planner.place(model, reasonWaiting)
	}
	planner.placeBound()
	for _, model := range planner.displaced() {
		planner.displacedIdle = planner.Demand[model].Idle
		planner.place(model, reasonDisplaced)
	}
	planner.placeBusy()
	planner.loadAhead()
}

// placeBound adds loads of models that streams wait for which only engines of one version of the
// software can go on with, if none of these has the model.
func (planner *planner) placeBound() {
	for _, name := range slices.Sorted(maps.Keys(planner.Demand)) {
		for software, waited := range planner.Demand[name].Bound {
			serves := func(engine Engine) bool {
				return engine.Instance.Software == software && !engine.Down && (engine.Instance.Holds(name) || engine.Loading == name)
			}
			if slices.ContainsFunc(planner.Engines, serves) {
				continue
			}
			planner.urgent = waited > urgentAfter
			planner.placeWhere(name, reasonWaiting, func(engine Engine) bool { return engine.Instance.Software == software })
		}
	}
}

// loadAhead adds loads of models that no engine holds or has a copy of, while the weight store
// has nothing else to do. It adds none if there are too many of them to tell which will be
// asked for, and leaves a place to the next request unless there are no requests yet.
func (planner *planner) loadAhead() {
	if !planner.LoadAhead || planner.RemoteLoadsToStart <= 0 || len(planner.missing()) > 0 {
		return
	}
	var absent []string
	for name := range planner.Class.Models {
		if planner.replicas[name] == 0 && !planner.copied()[name] {
			absent = append(absent, name)
		}
	}
	if float64(len(absent)) > maxAbsentShare*float64(len(planner.Class.Models)) {
		return
	}
	sort.Strings(absent)
	kept := 1
	if planner.Quiet {
		kept = 0
	}
	for _, name := range absent {
		if planner.RemoteLoadsToStart <= kept {
			return
		}
		planner.place(name, reasonAhead)
	}
}

// weightOf returns the weight of the replicas on an engine.
func (planner *planner) weightOf(instance string) float64 {
	for _, engine := range planner.Engines {
		if engine.Instance.ID == instance {
			return engine.weight()
		}
	}
	return 0
}

// evaluate returns the step that loads a model on an engine and its cost: the load
// time plus the eviction costs of the victims. It reports false if the load has to
// wait: for the weight store, for an engine that has a copy of the weights, or for
// memory on this engine.
func (planner *planner) evaluate(engine Engine, model mimosatide.EngineModel, waitForCopy bool) (Step, time.Duration, bool) {
	tier, loadTime := Tier(engine.Instance, model)
	if tier == mimosatide.TierRemote && (planner.RemoteLoadsToStart <= 0 || waitForCopy) {
		return Step{}, 0, false
	}
	victims, evictionCost, possible := planner.selectVictims(engine, model.MemoryMB)
	if !possible {
		return Step{}, 0, false
	}
	if planner.reason == reasonBusy && !planner.relieves(engine, victims) {
		return Step{}, 0, false
	}
	cost := loadTime + evictionCost + planner.crowdingCost(engine, victims)
	step := Step{
		Instance: engine.Instance.ID,
		Model:    model.Name,
		Victims:  victims,
		Tier:     tier,
		LoadTime: loadTime,
	}
	return step, cost, true
}

// waitForCopy reports whether a model without a replica, or a busy one, should wait for an engine
// that has a copy of its weights instead of being fetched from the weight store.
func (planner *planner) waitForCopy(model mimosatide.EngineModel) bool {
	if planner.RemoteLoadsToStart <= 0 || planner.reason != reasonWaiting && planner.reason != reasonBusy {
		return false
	}
	for _, engine := range planner.Engines {
		tier, loadTime := Tier(engine.Instance, model)
		if tier == mimosatide.TierRemote || engine.Instance.Leaving || !planner.accept(engine) {
			continue
		}
		if planner.reason == reasonBusy {
			if engine.Down || engine.Limited || engine.Instance.Holds(model.Name) {
				continue
			}
			// An engine that refuses the load for the models that it holds may do so for long.
			if engine.FreeIn > 0 && engine.FreeIn < evictionCooldown || planner.Now.Sub(engine.PlacedAt) < evictionCooldown {
				return true
			}
			continue
		}
		if !planner.urgent || engine.FreeIn > 0 && engine.FreeIn+loadTime < model.LoadTime {
			return true
		}
	}
	return false
}

// candidate is a model that may be evicted at a cost.
type candidate struct {
	holding mimosatide.Holding
	cost    time.Duration
}

// selectVictims returns the models to evict so that the engine has memoryMB free,
// the cheapest first, and the sum of their eviction costs. It reports false if
// that is not possible.
func (planner *planner) selectVictims(engine Engine, memoryMB float64) ([]string, time.Duration, bool) {
	free := planner.Class.MemoryMB - UsedMB(planner.Class, engine.Instance)
	if free >= memoryMB {
		return nil, 0, true
	}
	if planner.Now.Sub(engine.PlacedAt) < evictionCooldown {
		return nil, 0, false
	}
	candidates := make([]candidate, 0, usualHoldings)
	for _, holding := range engine.Instance.Holdings {
		if planner.reason == reasonAhead && !planner.evictableAhead(engine, holding.Model) {
			continue
		}
		if used, known := planner.Demand[holding.Model]; planner.reason == reasonDisplaced && known && used.Idle <= planner.displacedIdle {
			continue
		}
		cost, evictable := planner.evictionCost(engine, holding.Model)
		if evictable {
			candidates = append(candidates, candidate{holding: holding, cost: cost})
		}
	}
	slices.SortFunc(candidates, func(first, second candidate) int {
		return cmp.Or(cmp.Compare(first.cost, second.cost), strings.Compare(first.holding.Model, second.holding.Model))
	})
	var victims []string
	var totalCost time.Duration
	for _, candidate := range candidates {
		if free >= memoryMB {
			break
		}
		victims = append(victims, candidate.holding.Model)
		totalCost += candidate.cost
		free += HoldingMB(planner.Class, candidate.holding)
	}
	return victims, totalCost, free >= memoryMB
}

// UsedMB returns the memory that an engine's models and adapters take, in megabytes.
func UsedMB(class mimosatide.EngineClass, instance mimosatide.Instance) float64 {
	sum := 0.0
	for _, holding := range instance.Holdings {
		sum += HoldingMB(class, holding)
	}
	return sum
}

// HoldingMB returns the memory that a model takes with its adapters, in megabytes.
func HoldingMB(class mimosatide.EngineClass, holding mimosatide.Holding) float64 {
	model := class.Models[holding.Model]
	return model.MemoryMB + float64(len(holding.Adapters)+len(holding.LoadingAdapters))*model.AdapterMemoryMB
}

func contains(list []string, item string) bool {
	for _, each := range list {
		if each == item {
			return true
		}
	}
	return false
}
