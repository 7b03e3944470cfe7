package loading

import (
	"math"
	"time"

	"mimosatide.example/mimosatide"
)

// The gain of a load and the loss by an eviction are both the time that callers wait in sum, so
// that they can be compared.
const (
	// longPromptTime is the time that an engine takes to read a long prompt, of 9,190 tokens.
	longPromptTime   = 230 * time.Millisecond
	longPromptTokens = 9190
	// lostCallerTime is what a caller loses at most, by a refusal or by any wait: the shortest
	// deadline of a request.
	lostCallerTime = 5 * time.Second
	// replicaGainTime is the time over which a further replica gains. It is that of a load from the
	// weight store, after which a model that was evicted for it can be back.
	replicaGainTime = 8 * time.Second
	// steepLoad is the load from which on the delay by prompts in the queue grows linearly with the
	// load. A queue that grows all the time has no mean length.
	steepLoad = 0.9
	// promisedRequests is the number of requests after which a model is served whatever that costs
	// others, so that none starves: a model that was asked for four times over 8 s has to be served.
	promisedRequests = 4
	// unservedWeight is what a request for a model that has never been loaded counts for in the line. Five of
	// them come before a model that loses its replicas again and again, at one request in two seconds.
	unservedWeight = 4.0
	// maxUnservedRequests bounds the requests that count so: a model that can't be loaded must not stay first.
	maxUnservedRequests = 16
)

// promptDelay returns the mean time for which a request waits until an engine with the given load has
// read the prompts before it.
func promptDelay(load float64) time.Duration {
	steep := 0.0
	if load > steepLoad {
		steep = (load - steepLoad) / ((1 - steepLoad) * (1 - steepLoad))
		load = steepLoad
	}
	return time.Duration(float64(longPromptTime) / 2 * (load/(1-load) + steep))
}

// requestRate returns the number of requests a second for a model. Reports may join several requests,
// but each takes at most about the time of a long prompt.
func (demand ModelDemand) requestRate() float64 {
	return max(demand.RequestRate, demand.likelyLoad()/longPromptTime.Seconds())
}

// gain returns how much less the callers of a model wait in sum if it is loaded.
func (planner *planner) gain(name, reason string) time.Duration {
	demand := planner.Demand[name]
	if reason != reasonBusy {
		callers := max(planner.worth(name), 1)
		if reason == reasonDisplaced {
			// Nobody has found it missing yet.
			callers = max(callers, demand.requestRate()*replicaGainTime.Seconds())
		}
		return time.Duration(callers * float64(lostCallerTime))
	}
	count := max(planner.replicas[name], limitedReplica)
	load := planner.loadMet(name)
	saved := promptDelay(load) - promptDelay(load*count/(count+1))
	return time.Duration(demand.requestRate() * replicaGainTime.Seconds() * float64(saved))
}

// isPromised reports whether the model was asked for so often that it has to be served.
func (demand ModelDemand) isPromised() bool {
	return max(demand.Asked, float64(demand.Unserved)) >= promisedRequests
}

// worth returns what the requests for a model without a replica count for if it is loaded now: those
// expected, as many as have found none recently, and those that wait and will not have left by its end.
func (planner *planner) worth(name string) float64 {
	demand := planner.Demand[name]
	expected := demand.Expected
	if expected == 0 {
		expected = demand.Asked
	}
	if len(demand.Waiters) == 0 {
		return expected
	}
	model := planner.Class.Models[name]
	loadTime := model.LoadTime
	if planner.copied()[name] {
		loadTime = model.DiskLoadTime
	}
	return expected + demand.served(loadTime)
}

// rank returns what a model comes into the line with: what its load is worth, and the requests for a model
// that has never been loaded, which are not forgotten, so that it comes before others at last.
func (planner *planner) rank(name string) float64 {
	return planner.worth(name) + unservedWeight*float64(min(planner.Demand[name].Unserved, maxUnservedRequests))
}

// loss returns how much longer the callers of a model wait in sum if its only replica is evicted from
// an engine: the next one, if it comes soon, and those that come until the model is loaded again.
func (planner *planner) loss(engine Engine, name string, idle time.Duration) time.Duration {
	model := planner.Class.Models[name]
	tier, reload := Tier(engine.Instance, model)
	if tier == mimosatide.TierRemote && planner.copied()[name] {
		reload = model.DiskLoadTime
	}
	reload = min(reload, lostCallerTime)
	callers := 1 + planner.Demand[name].requestRate()*reload.Seconds()/2
	return time.Duration(planner.soon(name, idle) * callers * float64(reload))
}

// lossBy returns how much longer the callers of the victims of a step wait that have no other replica.
func (planner *planner) lossBy(step Step) time.Duration {
	total := time.Duration(0)
	for _, engine := range planner.Engines {
		if engine.Instance.ID != step.Instance {
			continue
		}
		for _, victim := range step.Victims {
			if demand, known := planner.Demand[victim]; known && planner.replicas[victim] <= engine.weight() {
				total += planner.loss(engine, victim, demand.Idle)
			}
		}
	}
	return total
}

// soon returns the chance that a model is asked for soon: by the rate of its requests, or by how long
// it has been idle if that is not known.
func (planner *planner) soon(name string, idle time.Duration) float64 {
	if rate := planner.Demand[name].requestRate(); rate > 0 {
		return 1 - math.Exp(-rate*replicaGainTime.Seconds())
	}
	ratio := idle.Seconds() / evictionIdleScale.Seconds()
	return 1 / (1 + ratio*ratio)
}

// worthLoss reports whether a model may take the place of an only replica.
func (planner *planner) worthLoss(engine Engine, victim string, idle time.Duration) bool {
	if planner.reason == reasonWaiting && planner.Demand[planner.model].isPromised() {
		return true
	}
	return planner.modelGain >= planner.loss(engine, victim, idle)
}
