package placement

import (
	"slices"

	"mimosatide.example/mimosatide"
)

// forgetLost removes a placement whose engine is gone, with its reservation and store loads.
func forgetLost(situation Situation) (Decision, bool, error) {
	for _, placement := range situation.Row.Placements {
		target, known := situation.findTarget(placement.Target)
		if known && !target.Lost {
			continue
		}
		builder := situation.newTransaction().
			putPlacement(placement.WithEvent("TargetLost")).
			putStore(situation.Store.WithoutPlacement(placement.ID))
		if known {
			builder = builder.putTarget(target, target.Row.WithoutReservation(placement.ID))
		}
		return builder.decide(ForgetLost, placement, "the engine is gone")
	}
	return noDecision()
}

// adopt adds this process to a placement's orderers before it sends an order that
// another process decided.
func adopt(situation Situation) (Decision, bool, error) {
	for _, placement := range situation.Row.Placements {
		if !placement.needsOrder() || slices.Contains(placement.Orderers, situation.Self) {
			continue
		}
		target, known := situation.findTarget(placement.Target)
		if !known {
			continue
		}
		row := target.Row.WithNextFencingToken()
		adopted := placement.WithOrderer(situation.Self, row.FencingToken)
		return situation.newTransaction().putPlacement(adopted).putTarget(target, row).
			decide(Adopt, adopted, "the process that decided it is not the home any more")
	}
	return noDecision()
}

// renumber gives an order a new fencing token after the engine rejected its token
// as stale, because an order with a higher one arrived first.
func renumber(situation Situation) (Decision, bool, error) {
	for _, placement := range situation.Row.Placements {
		target, known := situation.findTarget(placement.Target)
		if !known || !placement.needsOrder() || situation.StaleFencingTokens[placement.ID] < placement.FencingToken {
			continue
		}
		row := target.Row.WithNextFencingToken()
		renewed := placement.WithOrderer(situation.Self, row.FencingToken)
		return situation.newTransaction().putPlacement(renewed).putTarget(target, row).
			decide(Renumber, renewed, "the engine had seen a higher number")
	}
	return noDecision()
}

// needsOrder reports whether an order for the placement is not completed yet.
func (placement Placement) needsOrder() bool {
	return placement.State != Ready || placement.pendingAdapter()
}

func (placement Placement) pendingAdapter() bool {
	return slices.ContainsFunc(placement.Adapters, func(adapter AdapterState) bool { return !adapter.Ready })
}

// markLoaded marks a placement as ready once the engine reports it, and frees its weight store slot.
func markLoaded(situation Situation) (Decision, bool, error) {
	for _, placement := range situation.Row.Placements {
		target, known := situation.findTarget(placement.Target)
		if placement.State != Loading || !known || target.Report.Placements[placement.ID] != mimosatide.OrderReady {
			continue
		}
		loaded := placement.WithEvent("Loaded")
		return situation.newTransaction().putPlacement(loaded).
			putStore(situation.Store.Without(StoreLoad{Placement: placement.ID})).
			decide(MarkLoaded, loaded, "the engine reports it ready")
	}
	return noDecision()
}

// markAdapter marks an adapter as ready once the engine reports it, and frees its weight store slot.
func markAdapter(situation Situation) (Decision, bool, error) {
	for _, placement := range situation.Row.Placements {
		target, known := situation.findTarget(placement.Target)
		if placement.State != Ready || !known {
			continue
		}
		for _, adapter := range placement.Adapters {
			if adapter.Ready || !slices.Contains(target.Report.Adapters[placement.ID], adapter.Name) {
				continue
			}
			adapter.Ready = true
			ready := placement.WithAdapter(adapter)
			return situation.newTransaction().putPlacement(ready).
				putStore(situation.Store.Without(StoreLoad{Placement: placement.ID, Adapter: adapter.Name})).
				decide(MarkAdapter, ready, "the engine reports adapter "+adapter.Name+" ready")
		}
	}
	return noDecision()
}

// releaseMemory releases an unloaded placement's memory once no load order for it can take effect.
func releaseMemory(situation Situation) (Decision, bool, error) {
	for _, placement := range situation.Row.Placements {
		target, known := situation.findTarget(placement.Target)
		if placement.State != Unloading || !known || !situation.Unloaded[placement.ID] {
			continue
		}
		// An engine that checks fencing tokens has seen the unload order's token,
		// which is higher than that of any load order.
		if !target.Spec.ChecksFencing && !situation.Quiesced[placement.ID] {
			continue
		}
		return situation.newTransaction().
			putPlacement(placement.WithEvent("Unloaded")).
			putTarget(target, target.Row.WithoutReservation(placement.ID)).
			putStore(situation.Store.WithoutPlacement(placement.ID)).
			decide(ReleaseMemory, placement, "the engine doesn't hold it and no order is under way")
	}
	return noDecision()
}

// unloadUnwanted unloads a placement that its engine lost, that is outdated or no
// longer configured, or that is idle and on a leaving engine or in the way of another model.
func unloadUnwanted(situation Situation) (Decision, bool, error) {
	for _, placement := range situation.Row.Placements {
		if placement.State == Unloading {
			continue
		}
		if reason := situation.unloadReason(placement); reason != "" {
			return situation.unload(placement, reason)
		}
	}
	return noDecision()
}

// unloadReason returns why the placement is to be unloaded, or an empty string.
func (situation Situation) unloadReason(placement Placement) string {
	target, _ := situation.findTarget(placement.Target)
	idle := situation.Demand.Waiting == 0 && situation.Demand.Outstanding == 0
	outdated := placement.Version != situation.Model.Version
	switch {
	case placement.State == Ready && situation.Missing[placement.ID]:
		return "the engine lost it"
	case situation.Model.Name == "":
		return "the model is no longer configured"
	case outdated && (idle || situation.hasReady()):
		return "the model has version " + situation.Model.Version
	case target.Leaving && placement.State == Ready && idle:
		return "the engine is leaving"
	case situation.EvictRequested[placement.ID] && placement.State == Ready && idle:
		return "another model needs the memory"
	default:
		return ""
	}
}

// hasReady reports whether a replica of the configured version is ready.
func (situation Situation) hasReady() bool {
	return slices.ContainsFunc(situation.Row.Placements, func(placement Placement) bool {
		return placement.State == Ready && placement.Version == situation.Model.Version
	})
}

func (situation Situation) unload(placement Placement, reason string) (Decision, bool, error) {
	target, known := situation.findTarget(placement.Target)
	if !known {
		return noDecision()
	}
	row := target.Row.WithNextFencingToken()
	evicted := placement.WithEvent("Evict").WithOrderer(situation.Self, row.FencingToken)
	evicted.Adapters = nil
	return situation.newTransaction().putPlacement(evicted).putTarget(target, row).
		putStore(situation.Store.WithoutPlacement(placement.ID)).
		decide(Unload, evicted, reason)
}

// unloadIdle unloads a replica of a model that has had no requests for KeepIdle.
func unloadIdle(situation Situation) (Decision, bool, error) {
	busy := situation.Demand.Waiting > 0 || situation.Demand.Outstanding > 0
	if busy || situation.Demand.Idle < situation.KeepIdle {
		return noDecision()
	}
	for _, placement := range situation.Row.Placements {
		if placement.State == Ready {
			return situation.unload(placement, "idle for "+situation.Demand.Idle.String())
		}
	}
	return noDecision()
}

// activeReplicas counts the placements of the configured version that are ready or
// loading, without those on leaving engines.
func (situation Situation) activeReplicas() int {
	count := 0
	for _, placement := range situation.Row.Placements {
		target, _ := situation.findTarget(placement.Target)
		active := placement.State == Loading || placement.State == Ready
		if active && placement.Version == situation.Model.Version && !target.Leaving {
			count++
		}
	}
	return count
}

// wantedReplicas returns how many replicas the demand calls for; zero if no request waits.
func (situation Situation) wantedReplicas() int {
	work := situation.Demand.Waiting + situation.Demand.Outstanding
	if work == 0 || situation.Demand.Waiting == 0 || situation.Model.Concurrency == 0 {
		return 0
	}
	replicas := (work + situation.Model.Concurrency - 1) / situation.Model.Concurrency
	return min(replicas, situation.Model.MaxReplicas)
}
