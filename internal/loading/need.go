package loading

import (
	"maps"
	"time"
)

const (
	// maxWaiters bounds the requests that are remembered as waiting for one model: more do not change
	// that it is loaded first.
	maxWaiters = 64
	// maxCounted bounds the requests that are remembered as counted: those that found no replica within
	// refusedTimeConstant, at 400 a second.
	maxCounted = 8000
	// countedSweepInterval is the time between two sweeps of them, each of which takes 0.2 ms.
	countedSweepInterval = time.Second
	// maxUnserved bounds the models of which unserved requests are counted; a service has a few hundred.
	maxUnserved = 4096
)

// priorityWeights are what requests count for by their priority; those beyond count as the last. The
// most urgent counts for twice the least urgent, so that several requests always count for more than one.
var priorityWeights = [...]float64{4.0 / 3, 1, 2.0 / 3}

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

	// Request identifies the caller's request, also if it comes to another host again; zero if that
	// is not known.
	Request uint64
	// Priority is the rank of the request, zero the most urgent, if HasPriority is set.
	Priority    int
	HasPriority bool
	// Leaves is the time until the caller leaves; zero if that is not known or the request does not wait.
	Leaves time.Duration
	// PromptTokens is the size of the request.
	PromptTokens int
}

// Waiter is a request that waits for a model.
type Waiter struct {
	// Weight is what it counts for.
	Weight float64
	// Leaves is the time until its caller leaves, and Work the time that its prompt takes to read.
	Leaves time.Duration
	Work   time.Duration
}

// waiter is a Waiter by the time at which its caller leaves.
type waiter struct {
	weight   float64
	leavesAt time.Time
	work     time.Duration
	seenAt   time.Time
}

// key returns what is needed, without the request that needs it.
func (need Need) key() Need {
	return Need{Service: need.Service, Model: need.Model, Adapter: need.Adapter, Instance: need.Instance, Software: need.Software}
}

// weight returns what the request counts for.
func (need Need) weight() float64 {
	if !need.HasPriority {
		return 1
	}
	return priorityWeights[min(max(need.Priority, 0), len(priorityWeights)-1)]
}

// work returns the time that an engine takes to read the prompt.
func (need Need) work() time.Duration {
	return time.Duration(need.PromptTokens) * longPromptTime / longPromptTokens
}

// countOnce reports whether a request has not been counted yet: a caller that was refused at a host may
// come again at another.
func (demand *Demand) countOnce(request uint64, now time.Time) bool {
	if request == 0 {
		return true
	}
	if at, found := demand.counted[request]; found && now.Sub(at) < refusedTimeConstant {
		return false
	}
	if len(demand.counted) >= maxCounted && now.Sub(demand.countedSweptAt) >= countedSweepInterval {
		demand.countedSweptAt = now
		maps.DeleteFunc(demand.counted, func(_ uint64, at time.Time) bool { return now.Sub(at) >= refusedTimeConstant })
	}
	if len(demand.counted) < maxCounted {
		demand.counted[request] = now
	}
	return true
}

// recordUnserved counts a request for a model that has not been loaded yet.
func (demand *Demand) recordUnserved(model string) {
	if _, known := demand.unserved[model]; !demand.loaded[model] && (known || len(demand.unserved) < maxUnserved) {
		demand.unserved[model]++
	}
}

// recordWaiter records that a request waits, once for all hosts.
func (demand *Demand) recordWaiter(need Need, now time.Time) {
	if need.Request == 0 || need.Leaves <= 0 {
		return
	}
	waiters := demand.waiters[need.Model]
	if waiters == nil {
		waiters = map[uint64]waiter{}
		demand.waiters[need.Model] = waiters
	}
	if _, known := waiters[need.Request]; known || len(waiters) < maxWaiters {
		waiters[need.Request] = waiter{weight: need.weight(), leavesAt: now.Add(need.Leaves), work: need.work(), seenAt: now}
	}
}

// waitersOf returns the requests that wait for a model, and forgets those that no longer do.
func (demand *Demand) waitersOf(model string, now time.Time) []Waiter {
	var list []Waiter
	for request, each := range demand.waiters[model] {
		if now.Sub(each.seenAt) > needTTL || !now.Before(each.leavesAt) {
			delete(demand.waiters[model], request)
			continue
		}
		list = append(list, Waiter{Weight: each.weight, Leaves: each.leavesAt.Sub(now), Work: each.work})
	}
	if len(list) == 0 {
		delete(demand.waiters, model)
	}
	return list
}

// served returns what the requests count for that wait for a model and can still be answered if it is
// loaded after the given time.
func (demand ModelDemand) served(after time.Duration) float64 {
	sum := 0.0
	for _, waiter := range demand.Waiters {
		if after+waiter.Work < waiter.Leaves {
			sum += waiter.Weight
		}
	}
	return sum
}

// countWaiters returns the number of requests that wait for models.
func countWaiters(models map[string]ModelDemand) int {
	count := 0
	for _, demand := range models {
		count += len(demand.Waiters)
	}
	return count
}
