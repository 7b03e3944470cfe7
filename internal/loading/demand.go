package loading

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// needTTL is how long a need is kept after it was last reported.
	needTTL = 1200 * time.Millisecond
	// refusedTimeConstant is the time constant by which the requests are forgotten that found no
	// replica of their model. It spans a few loads from the weight store: a model stays in line
	// while others are loaded, though none of its requests can wait for so long.
	refusedTimeConstant = 20 * time.Second
	// minAsked is the number of such requests below which a model is no longer in line.
	minAsked = 0.3
)

// Need is a model or an adapter that a request waits for.
type Need struct {
	Service string
	Model   string
	// Adapter is empty if the model itself is needed.
	Adapter string
	// Instance is the target at which the adapter is needed.
	Instance string
	// Software is the version of the engine's software that the model is needed at, to go on with a
	// stream; empty if any will do.
	Software string
}

// ModelDemand is the demand for a model over all nodes.
type ModelDemand struct {
	// Waiting says that a request waits for the model to be loaded, and Waited is
	// how long requests have been waiting.
	Waiting bool
	Waited  time.Duration
	// Asked is the number of recent requests that found no replica of the model, older ones
	// counting less.
	Asked float64
	// Bound holds how long streams that only engines of a version of the software can go on with
	// have been waiting for the model, by version.
	Bound map[string]time.Duration
	// PrefillLoad is the engine time spent on the model's prompts, in seconds per second.
	// LoadDeviation is the standard deviation of this figure.
	PrefillLoad   float64
	LoadDeviation float64
	// SteadyLoad is the same over a longer time, and SteadyDeviation its standard deviation.
	SteadyLoad      float64
	SteadyDeviation float64
	// RequestRate is the number of requests a second, at least.
	RequestRate float64
	// Idle is the time since the model was last requested.
	Idle time.Duration
}

// fadingCount counts events, older ones less.
type fadingCount struct {
	count     float64
	updatedAt time.Time
}

// value returns the count at the given time.
func (fading fadingCount) value(now time.Time) float64 {
	return fading.count * math.Exp(-now.Sub(fading.updatedAt).Seconds()/refusedTimeConstant.Seconds())
}

// needTimes holds when a need was first and last reported.
type needTimes struct {
	first time.Time
	last  time.Time
}

// Demand collects the needs and the usage that all nodes report for one service.
// It is safe for concurrent use.
type Demand struct {
	lock  sync.Mutex
	needs map[Need]needTimes
	// asked counts, by model, the requests that found no replica since it was last loaded.
	asked map[string]fadingCount
	usage map[string]*modelUsage
	// totals holds the last reported running totals of prefill time, in seconds, by
	// node and model.
	totals map[string]map[string]float64
	// adapters holds when each adapter was last used.
	adapters map[AdapterAt]time.Time
}

// AdapterAt is an adapter of a model at a target.
type AdapterAt struct {
	Instance string
	Model    string
	Adapter  string
}

// NewDemand returns an empty Demand.
func NewDemand() *Demand {
	return &Demand{
		needs:    map[Need]needTimes{},
		asked:    map[string]fadingCount{},
		usage:    map[string]*modelUsage{},
		totals:   map[string]map[string]float64{},
		adapters: map[AdapterAt]time.Time{},
	}
}

// AddNeed records a need and reports whether it is new. first says that the request that has
// it reports it for the first time.
func (demand *Demand) AddNeed(need Need, first bool, now time.Time) bool {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	if first && need.Adapter == "" && need.Software == "" {
		demand.asked[need.Model] = fadingCount{count: demand.asked[need.Model].value(now) + 1, updatedAt: now}
	}
	times, known := demand.needs[need]
	if !known {
		times.first = now
	}
	times.last = now
	demand.needs[need] = times
	return !known
}

// RecordUsage records a node's usage of a model: total is the node's running total
// of prefill time in seconds, recent the part of it that is new in this report, running the number of
// its requests in flight.
func (demand *Demand) RecordUsage(node, model string, total, recent float64, running int, now time.Time) {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	totals, found := demand.totals[node]
	if !found {
		totals = map[string]float64{}
		demand.totals[node] = totals
	}
	before, found := totals[model]
	totals[model] = total
	usage, known := demand.usage[model]
	if !known {
		usage = newModelUsage()
		demand.usage[model] = usage
	}
	if running > 0 || total != before {
		usage.lastUsed = now
	}
	if found && total > before {
		usage.add(total-before, now)
	}
	if !found {
		// The first total from a node does not say when its prompts were prefilled. In a fleet of many
		// hosts most reports are the first of their host and model.
		usage.lastUsed = now
		usage.add(min(max(recent, 0), total), now)
	}
}

// RecordAdapterUse records that an adapter was used.
func (demand *Demand) RecordAdapterUse(adapter AdapterAt, now time.Time) {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	demand.adapters[adapter] = now
}

// AdapterIdle returns the time since an adapter was last used, or an hour if no
// use of it is known.
func (demand *Demand) AdapterIdle(adapter AdapterAt, now time.Time) time.Duration {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	last, found := demand.adapters[adapter]
	if !found {
		return time.Hour
	}
	return now.Sub(last)
}

// Needs returns the current needs and removes the expired ones.
func (demand *Demand) Needs(now time.Time) []Need {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	var needs []Need
	for need, times := range demand.needs {
		if now.Sub(times.last) > needTTL {
			delete(demand.needs, need)
			continue
		}
		needs = append(needs, need)
	}
	return needs
}

// RemoveNeed removes a need that has been met.
func (demand *Demand) RemoveNeed(need Need) {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	delete(demand.needs, need)
}

// Met forgets the requests that found no replica of a model: it has been loaded.
func (demand *Demand) Met(model string) {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	delete(demand.asked, model)
	maps.DeleteFunc(demand.needs, func(need Need, _ needTimes) bool {
		return need.Model == model && need.Adapter == "" && need.Software == ""
	})
}

// Models returns the demand for every model that has ever been requested.
func (demand *Demand) Models(now time.Time) map[string]ModelDemand {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	models := make(map[string]ModelDemand, len(demand.usage))
	for name, usage := range demand.usage {
		models[name] = usage.demand(now)
	}
	for name, asked := range demand.asked {
		value := asked.value(now)
		if value < minAsked {
			delete(demand.asked, name)
			continue
		}
		known, used := models[name]
		if !used {
			known.Idle = now.Sub(asked.updatedAt)
		}
		known.Asked = value
		models[name] = known
	}
	for need, times := range demand.needs {
		if need.Adapter == "" {
			known := models[need.Model]
			known.Idle = 0
			waited := now.Sub(times.first)
			if need.Software == "" {
				known.Waiting, known.Waited = true, waited
			} else {
				if known.Bound == nil {
					known.Bound = map[string]time.Duration{}
				}
				known.Bound[need.Software] = waited
			}
			models[need.Model] = known
		}
	}
	return models
}
