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

// ModelDemand is the demand for a model over all nodes.
type ModelDemand struct {
	// Waiting says that a request waits for the model to be loaded, and Waited is
	// how long requests have been waiting.
	Waiting bool
	Waited  time.Duration
	// Asked is the number of recent requests that found no replica of the model, older ones
	// counting less, and Expected what they count for by their priority: as many are expected.
	Asked    float64
	Expected float64
	// Unserved is the number of all of them, if the model has not been loaded yet.
	Unserved int
	// Waiters are the requests that wait for the model, as far as their hosts say until when.
	Waiters []Waiter
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

// fadingCount counts requests, older ones less.
type fadingCount struct {
	count float64
	// weight is the sum of what they count for.
	weight    float64
	updatedAt time.Time
}

// at returns the count at the given time.
func (fading fadingCount) at(now time.Time) fadingCount {
	part := math.Exp(-now.Sub(fading.updatedAt).Seconds() / refusedTimeConstant.Seconds())
	return fadingCount{count: fading.count * part, weight: fading.weight * part, updatedAt: now}
}

// plus returns the count with a further request.
func (fading fadingCount) plus(weight float64, now time.Time) fadingCount {
	fading = fading.at(now)
	return fadingCount{count: fading.count + 1, weight: fading.weight + weight, updatedAt: now}
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
	// waiters are the requests that wait, by model, and counted those that asked counts.
	waiters map[string]map[uint64]waiter
	counted map[uint64]time.Time
	// countedSweptAt is when the requests counted long ago were last removed.
	countedSweptAt time.Time
	// unserved counts, by model, the requests that found no replica of a model that has not been loaded
	// since this node has known of it; loaded holds those that have.
	unserved map[string]int
	loaded   map[string]bool
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
		waiters:  map[string]map[uint64]waiter{},
		counted:  map[uint64]time.Time{},
		unserved: map[string]int{},
		loaded:   map[string]bool{},
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
	if need.Adapter == "" && need.Software == "" {
		if first && demand.countOnce(need.Request, now) {
			demand.recordUnserved(need.Model)
			demand.asked[need.Model] = demand.asked[need.Model].plus(need.weight(), now)
		}
		demand.recordWaiter(need, now)
	}
	need = need.key()
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

// ForgetTotals makes the next report of each node count with its recent part only. A node that takes the lease
// again has totals from its earlier term; what hosts reported to other holders since must not count at once.
func (demand *Demand) ForgetTotals() {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	clear(demand.totals)
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
	delete(demand.needs, need.key())
}

// Met forgets the requests that found no replica of a model: it has been loaded.
func (demand *Demand) Met(model string) {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	delete(demand.asked, model)
	delete(demand.waiters, model)
	delete(demand.unserved, model)
	if len(demand.loaded) < maxUnserved {
		demand.loaded[model] = true
	}
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
		faded := asked.at(now)
		if faded.count < minAsked {
			delete(demand.asked, name)
			continue
		}
		known, used := models[name]
		if !used {
			known.Idle = now.Sub(asked.updatedAt)
		}
		known.Asked, known.Expected, known.Unserved = faded.count, faded.weight, demand.unserved[name]
		models[name] = known
	}
	for name := range demand.waiters {
		if waiters := demand.waitersOf(name, now); len(waiters) > 0 {
			known := models[name]
			known.Waiters = waiters
			models[name] = known
		}
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
