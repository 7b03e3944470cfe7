package loading

import (
	"slices"
	"time"

	"mimosatide.example/mimosatide"
)

const (
	// minRemaining is the expected rest of a load that has taken longer than expected, and of
	// an order of an earlier holder.
	minRemaining = 300 * time.Millisecond
	// overdueAfter is how long after its expected end a load may still be about to end.
	overdueAfter = 2 * time.Second
	// progressLifetime is how long the last progress of a holder that is gone counts: its
	// loads may go on for several times as long as they should.
	progressLifetime = time.Minute
)

// LoadUnderWay is a load that an engine carries out.
type LoadUnderWay struct {
	Instance string
	Model    string
	// Remaining is the expected time until its end.
	Remaining time.Duration
}

// Progress is what the holder of the lease knows of the loads of a service. The other nodes
// use it to refuse what can't be loaded in time, and the next holder to continue.
type Progress struct {
	Loads []LoadUnderWay
	// RemoteLimit is the learned limit on concurrent loads from the weight store.
	RemoteLimit int
	// Expected is the expected time until a model is loaded, by model, for those that wait for
	// the weight store or are being loaded.
	Expected map[string]time.Duration
}

// Line is the state of the weight store and of what waits for it.
type Line struct {
	// Loads are all loads under way, RemoteEnds the expected times until the end of those
	// from the weight store.
	Loads      []LoadUnderWay
	RemoteEnds []time.Duration
	// Waiting are the models that requests wait for, in the order in which they are loaded.
	Waiting []WaitingModel
	// Limit is the limit on concurrent loads from the weight store.
	Limit int
}

// WaitingModel is a model that requests wait for.
type WaitingModel struct {
	mimosatide.EngineModel
	// Local is the expected time until it is loaded from a copy at an engine, zero if no
	// engine has one.
	Local time.Duration
}

// Forecast returns the expected time until each model of the line is loaded. It assumes that an
// engine is free when the weight store is, so that no model is loaded earlier.
func Forecast(line Line) map[string]time.Duration {
	expected := map[string]time.Duration{}
	for _, load := range line.Loads {
		if known, found := expected[load.Model]; !found || load.Remaining < known {
			expected[load.Model] = load.Remaining
		}
	}
	// free holds when each of the store's places is free, the next one first.
	free := slices.Sorted(slices.Values(line.RemoteEnds))
	for len(free) < line.Limit {
		free = append([]time.Duration{0}, free...)
	}
	if len(free) > line.Limit {
		// The loads beyond the limit have to end before another one may begin.
		free = free[len(free)-line.Limit:]
	}
	for _, model := range line.Waiting {
		if _, found := expected[model.Name]; found {
			continue
		}
		if model.Local > 0 {
			expected[model.Name] = model.Local
			continue
		}
		if len(free) == 0 {
			continue
		}
		end := free[0] + model.LoadTime
		expected[model.Name] = end
		free = free[1:]
		at, _ := slices.BinarySearch(free, end)
		free = slices.Insert(free, at, end)
	}
	return expected
}

// Progress returns what this node as the holder of the lease knows of the loads.
func (controller *Controller) Progress(now time.Time) Progress {
	class, known := controller.class()
	if !known {
		return Progress{}
	}
	demand := controller.demand.Models(now)
	controller.lock.Lock()
	defer controller.lock.Unlock()
	line := Line{Limit: controller.remoteLimit.current}
	local := map[string]time.Duration{}
	planner := newPlanner(Snapshot{Class: class, Demand: demand})
	for id, worker := range controller.workers {
		instance, _, _ := worker.view()
		freeIn, remote := controller.freeIn(id, worker, now)
		if remote {
			line.RemoteEnds = append(line.RemoteEnds, freeIn)
		}
		if load, loads := controller.underWay[id]; loads {
			line.Loads = append(line.Loads, LoadUnderWay{Instance: id, Model: load.Model, Remaining: freeIn})
		} else if model, adopted := controller.adopted[id]; adopted && freeIn > 0 {
			line.Loads = append(line.Loads, LoadUnderWay{Instance: id, Model: model, Remaining: freeIn})
		}
		if worker.isDown() {
			continue
		}
		for _, holding := range instance.Holdings {
			planner.replicas[holding.Model]++
		}
		for _, name := range append(slices.Clone(instance.InMemory), instance.OnDisk...) {
			_, loadTime := Tier(instance, class.Models[name])
			if known, found := local[name]; !found || freeIn+loadTime < known {
				local[name] = freeIn + loadTime
			}
		}
	}
	for _, name := range planner.missing() {
		if model, found := class.Models[name]; found {
			line.Waiting = append(line.Waiting, WaitingModel{EngineModel: model, Local: local[name]})
		}
	}
	return Progress{Loads: line.Loads, RemoteLimit: line.Limit, Expected: Forecast(line)}
}

// freeIn returns the expected time until a load under way at an engine ends, zero if there is
// none, and whether it may be one from the weight store.
func (controller *Controller) freeIn(id string, worker *worker, now time.Time) (time.Duration, bool) {
	if load, loads := controller.underWay[id]; loads {
		return max(load.LoadTime-now.Sub(load.begun), minRemaining), load.Tier == mimosatide.TierRemote
	}
	if worker.isBusy() {
		return max(controller.busyUntil[id].Sub(now), minRemaining), true
	}
	return 0, false
}

// overdue reports whether a load at an engine has taken so much longer than expected that its end
// can't be foreseen.
func (controller *Controller) overdue(id string, now time.Time) bool {
	end := controller.busyUntil[id]
	if load, loads := controller.underWay[id]; loads {
		end = load.begun.Add(load.LoadTime)
	}
	return now.Sub(end) > overdueAfter
}

// ObserveProgress records the progress of the lease's holder, for the case that this node is
// the next one.
func (controller *Controller) ObserveProgress(progress Progress, now time.Time) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	controller.observed, controller.observedAt = progress, now
}

// adoptProgress continues with the loads of the holder before: the engines that carry them
// out count as busy until they say otherwise, and the limit was learned from the same store.
func (controller *Controller) adoptProgress(now time.Time) {
	if now.Sub(controller.observedAt) > progressLifetime {
		return
	}
	if controller.observed.RemoteLimit > 0 {
		controller.remoteLimit.current = controller.observed.RemoteLimit
	}
	for _, load := range controller.observed.Loads {
		if worker := controller.workers[load.Instance]; worker != nil {
			worker.awaitIdle()
			controller.adopted[load.Instance] = load.Model
			controller.busyUntil[load.Instance] = controller.observedAt.Add(load.Remaining)
		}
	}
}
