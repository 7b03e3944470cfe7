package gateway

import (
	"context"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/loading"
)

// The times of finding a target.
const (
	// needEvery is how often a need is told again while a request waits.
	needEvery = 300 * time.Millisecond
	// adapterWait is how long a request waits for its adapter at the chosen target.
	adapterWait = 250 * time.Millisecond
	// loadOverhead is what a load takes besides the time from the weights' tier.
	loadOverhead = 300 * time.Millisecond
	// startRetry is when a caller may try a node that has just started again.
	startRetry = 500 * time.Millisecond
	// drainRetry is when a caller may come back, to another node.
	drainRetry = 50 * time.Millisecond
	// capacityRetry is when a caller may come back after finding no target.
	capacityRetry = time.Second
)

// find returns a target for the request. For a model engine it waits until one holds the model.
func (passage *passage) find(ctx context.Context) (mimosatide.Instance, mimosatide.Refusal) {
	if passage.service.Engine == nil {
		return passage.findPlain()
	}
	if passage.entry.Model == "" {
		return mimosatide.Instance{}, mimosatide.Refuse(mimosatide.ReasonMalformed, "the request names no model")
	}
	for {
		changed := passage.gate.Targets.Changed()
		candidates := passage.gate.Targets.View().Service(passage.service.Name)
		ready, _ := balance.Ready(passage.entry, candidates)
		if len(ready) > 0 {
			return passage.withAdapter(ctx, ready)
		}
		if refusal := passage.hopeless(candidates); refusal.Refused() {
			return mimosatide.Instance{}, refusal
		}
		passage.need(loading.Need{Service: passage.service.Name, Model: passage.entry.Model})
		if !passage.wait(ctx, changed, needEvery) {
			return mimosatide.Instance{}, passage.waitedOut(ctx)
		}
	}
}

func (passage *passage) findPlain() (mimosatide.Instance, mimosatide.Refusal) {
	candidates := passage.gate.Targets.View().Service(passage.service.Name)
	instance, _, found := passage.gate.Tracker.Choose(passage.query(), candidates, time.Now())
	if !found {
		return mimosatide.Instance{}, mimosatide.Refuse(mimosatide.ReasonNoCapacity, "the service has no target").WithRetryAfter(capacityRetry)
	}
	return instance, mimosatide.Refusal{}
}

// withAdapter chooses among targets that hold the model; if the choice lacks the
// adapter, the request waits for it a moment and then takes any target that has it.
func (passage *passage) withAdapter(ctx context.Context, ready []mimosatide.Instance) (mimosatide.Instance, mimosatide.Refusal) {
	chosen, _, found := passage.gate.Tracker.Choose(passage.query(), ready, time.Now())
	if !found {
		return mimosatide.Instance{}, mimosatide.Refuse(mimosatide.ReasonNoCapacity, "no target may be tried again").WithRetryAfter(capacityRetry)
	}
	if passage.entry.Adapter == "" {
		return chosen, mimosatide.Refusal{}
	}
	until := time.Now().Add(adapterWait)
	for {
		changed := passage.gate.Targets.Changed()
		candidates := passage.gate.Targets.View().Service(passage.service.Name)
		_, complete := balance.Ready(passage.entry, candidates)
		for _, candidate := range complete {
			if candidate.ID == chosen.ID {
				return candidate, mimosatide.Refusal{}
			}
		}
		if time.Now().After(until) && len(complete) > 0 {
			other, _, found := passage.gate.Tracker.Choose(passage.query(), complete, time.Now())
			if found {
				return other, mimosatide.Refusal{}
			}
		}
		passage.need(loading.Need{
			Service: passage.service.Name, Model: passage.entry.Model, Adapter: passage.entry.Adapter, Instance: chosen.ID,
		})
		if !passage.wait(ctx, changed, needEvery) {
			return mimosatide.Instance{}, passage.waitedOut(ctx)
		}
		if _, present := passage.gate.Targets.View().Instance(chosen.ID); !present || time.Now().After(until) {
			ready, _ := balance.Ready(passage.entry, passage.gate.Targets.View().Service(passage.service.Name))
			if len(ready) == 0 {
				return passage.find(ctx)
			}
			chosen, _, _ = passage.gate.Tracker.Choose(passage.query(), ready, time.Now())
		}
	}
}

// hopeless refuses a request whose model can't be loaded before its deadline.
func (passage *passage) hopeless(candidates []mimosatide.Instance) mimosatide.Refusal {
	model, known := passage.service.Engine.Models[passage.entry.Model]
	if !known {
		return mimosatide.Refuse(mimosatide.ReasonUnknownModel, "the model is not configured").WithRetryAfter(capacityRetry)
	}
	if len(candidates) == 0 {
		return mimosatide.Refuse(mimosatide.ReasonNoCapacity, "the service has no target").WithRetryAfter(capacityRetry)
	}
	least := model.LoadTime
	for _, candidate := range candidates {
		_, loadTime := loading.Tier(candidate, model)
		least = min(least, loadTime)
	}
	if passage.waitingSince.IsZero() {
		passage.waitingSince = time.Now()
	}
	left := least + loadOverhead - time.Since(passage.waitingSince)
	if time.Until(passage.deadline) >= left {
		return mimosatide.Refusal{}
	}
	// The model is loaded all the same, for when the caller comes back.
	passage.need(loading.Need{Service: passage.service.Name, Model: passage.entry.Model})
	return mimosatide.Refuse(mimosatide.ReasonNoCapacity, "the model can't be loaded in time").WithRetryAfter(least)
}

func (passage *passage) need(need loading.Need) {
	passage.gate.Loader.Need(need)
}

func (passage *passage) query() balance.Query {
	return balance.Query{Entry: passage.entry, Engine: passage.service.Engine != nil, Tried: passage.tried}
}

func (passage *passage) waitedOut(ctx context.Context) mimosatide.Refusal {
	if ctx.Err() == context.Canceled {
		return mimosatide.Refuse(mimosatide.ReasonCallerGone, "the caller left while the request waited")
	}
	if ctx.Err() == nil {
		return mimosatide.Refuse(mimosatide.ReasonDraining, "the node ends before the request could be served").WithRetryAfter(drainRetry)
	}
	return mimosatide.Refuse(mimosatide.ReasonWaitExpired, "no target became ready in time").WithRetryAfter(capacityRetry)
}

// wait returns when something changed or after a time; it returns false when the
// request can't wait any longer.
func (passage *passage) wait(ctx context.Context, changed <-chan struct{}, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-passage.gate.Draining:
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}
