package loading

import (
	"math"
	"sync"
	"time"
)

// The times over which demand is judged.
const (
	// needAge is after how long a need that is not repeated is forgotten.
	needAge = 1200 * time.Millisecond
	// rateTime is the time over which the rate of prompts is averaged.
	rateTime = 2 * time.Second
)

// Need is a model or an adapter that a request waits for.
type Need struct {
	Service string
	Model   string
	Adapter string
	// Instance is where an adapter is wanted.
	Instance string
}

// ModelDemand is how much a model is asked for.
type ModelDemand struct {
	// Waiting says that a request waits for the model to be loaded, and Waited for how long requests have.
	Waiting bool
	Waited  time.Duration
	// Prefill is the time that engines spend a second on the model's prompts.
	Prefill float64
	// Idle is how long the model has not been asked for.
	Idle time.Duration
}

type modelRate struct {
	prefill float64
	at      time.Time
	last    time.Time
}

// add counts prompts that take so many seconds to read.
func (rate *modelRate) add(seconds float64, now time.Time) {
	rate.prefill = rate.value(now) + seconds/rateTime.Seconds()
	rate.at = now
}

func (rate *modelRate) value(now time.Time) float64 {
	return rate.prefill * math.Exp(-now.Sub(rate.at).Seconds()/rateTime.Seconds())
}

// needTime is when a need was first told, and when it was last told again.
type needTime struct {
	first time.Time
	last  time.Time
}

// Demand gathers what is asked for on all nodes.
type Demand struct {
	lock     sync.Mutex
	needs    map[Need]needTime
	rates    map[string]*modelRate
	totals   map[string]map[string]float64
	adapters map[AdapterAt]time.Time
}

// AdapterAt is an adapter of a model at a target.
type AdapterAt struct {
	Instance string
	Model    string
	Adapter  string
}

// NewDemand returns a demand of nothing.
func NewDemand() *Demand {
	return &Demand{
		needs:    map[Need]needTime{},
		rates:    map[string]*modelRate{},
		totals:   map[string]map[string]float64{},
		adapters: map[AdapterAt]time.Time{},
	}
}

// Need notes a need and says whether it is new.
func (demand *Demand) Need(need Need, now time.Time) bool {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	told, known := demand.needs[need]
	if !known {
		told.first = now
	}
	told.last = now
	demand.needs[need] = told
	return !known
}

// Use takes a node's running total of the prompts for a model, in seconds.
func (demand *Demand) Use(node, model string, total float64, running int, now time.Time) {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	totals, found := demand.totals[node]
	if !found {
		totals = map[string]float64{}
		demand.totals[node] = totals
	}
	before, found := totals[model]
	totals[model] = total
	rate, known := demand.rates[model]
	if !known {
		rate = &modelRate{at: now}
		demand.rates[model] = rate
	}
	if running > 0 || total != before {
		rate.last = now
	}
	if found && total > before {
		rate.add(total-before, now)
	}
	if !found {
		// The total of a node heard for the first time says nothing about the present.
		rate.last = now
	}
}

// UseAdapter notes that an adapter was used.
func (demand *Demand) UseAdapter(adapter AdapterAt, now time.Time) {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	demand.adapters[adapter] = now
}

// AdapterIdle returns how long an adapter has not been used.
func (demand *Demand) AdapterIdle(adapter AdapterAt, now time.Time) time.Duration {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	last, found := demand.adapters[adapter]
	if !found {
		return time.Hour
	}
	return now.Sub(last)
}

// Needs returns the present needs and forgets the old ones.
func (demand *Demand) Needs(now time.Time) []Need {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	var needs []Need
	for need, told := range demand.needs {
		if now.Sub(told.last) > needAge {
			delete(demand.needs, need)
			continue
		}
		needs = append(needs, need)
	}
	return needs
}

// Met forgets a need.
func (demand *Demand) Met(need Need) {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	delete(demand.needs, need)
}

// Models returns the demand of every model that was ever asked for.
func (demand *Demand) Models(now time.Time) map[string]ModelDemand {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	models := make(map[string]ModelDemand, len(demand.rates))
	for name, rate := range demand.rates {
		models[name] = ModelDemand{Prefill: rate.value(now), Idle: now.Sub(rate.last)}
	}
	for need, told := range demand.needs {
		if need.Adapter == "" {
			known := models[need.Model]
			known.Waiting = true
			known.Waited = now.Sub(told.first)
			known.Idle = 0
			models[need.Model] = known
		}
	}
	return models
}
