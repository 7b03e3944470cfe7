package loading

import (
	"math"
	"time"
)

const (
	// prefillTimeConstant is the time constant of the moving average of prefill time: placement follows
	// a shift of demand within it.
	prefillTimeConstant = 2 * time.Second
	// steadyTimeConstant is that of the average for models with about one request a second, of which the
	// fast average swings by half of its value.
	steadyTimeConstant = 8 * time.Second
	// rateTimeConstant is that of the rate of requests, by which models make room for others: models that
	// are asked for every few seconds have to differ from those that are asked for once.
	rateTimeConstant = 20 * time.Second
)

// average is a moving average of events of different sizes, per second. Its error is that of events
// that come independently of each other.
type average struct {
	timeConstant time.Duration
	sum          float64
	squares      float64
	updatedAt    time.Time
}

// plus returns the average after an event of the given size.
func (average average) plus(size float64, now time.Time) average {
	part := size / average.timeConstant.Seconds()
	sum, deviation := average.at(now)
	average.sum, average.squares, average.updatedAt = sum+part, deviation*deviation+part*part, now
	return average
}

// at returns the average and its standard deviation at the given time.
func (average average) at(now time.Time) (value, deviation float64) {
	if average.sum == 0 {
		return 0, 0
	}
	faded := math.Exp(-now.Sub(average.updatedAt).Seconds() / average.timeConstant.Seconds())
	return average.sum * faded, math.Sqrt(average.squares) * faded
}

// modelUsage is the recent usage of a model.
type modelUsage struct {
	fast     average
	steady   average
	requests average
	lastUsed time.Time
}

func newModelUsage() *modelUsage {
	return &modelUsage{
		fast:     average{timeConstant: prefillTimeConstant},
		steady:   average{timeConstant: steadyTimeConstant},
		requests: average{timeConstant: rateTimeConstant},
	}
}

// add counts a report of prompts that take the given number of seconds to prefill. It counts as one
// request: of many hosts each reports a model's requests one by one.
func (usage *modelUsage) add(seconds float64, now time.Time) {
	usage.fast, usage.steady = usage.fast.plus(seconds, now), usage.steady.plus(seconds, now)
	usage.requests = usage.requests.plus(1, now)
}

// demand returns the demand for the model at the given time.
func (usage *modelUsage) demand(now time.Time) ModelDemand {
	demand := ModelDemand{Idle: now.Sub(usage.lastUsed)}
	demand.PrefillLoad, demand.LoadDeviation = usage.fast.at(now)
	demand.SteadyLoad, demand.SteadyDeviation = usage.steady.at(now)
	demand.RequestRate, _ = usage.requests.at(now)
	return demand
}

// leastLoad returns the load that the model has at least: chance alone does not make it busy.
func (demand ModelDemand) leastLoad() float64 {
	return max(demand.PrefillLoad-demand.LoadDeviation, demand.SteadyLoad-demand.SteadyDeviation, 0)
}

// likelyLoad returns the load that the model may have: a pause by chance does not make it idle.
func (demand ModelDemand) likelyLoad() float64 {
	return max(demand.PrefillLoad, min(demand.PrefillLoad+2*demand.LoadDeviation, demand.SteadyLoad))
}
