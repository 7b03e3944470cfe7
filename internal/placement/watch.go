package placement

import (
	"context"
	"maps"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
)

// engineState is what this node knows of an engine from its reports.
type engineState struct {
	report    mimosatide.Report
	reachable bool
	due       time.Duration
	asking    bool
	// seen is when a report last had each placement.
	seen map[string]time.Duration
	// at is when the newest report was asked for.
	at time.Duration
}

// engine returns what is known of an engine; the lock is held.
func (keeper *Keeper) engine(name string) *engineState {
	known, found := keeper.engines[name]
	if !found {
		known = &engineState{seen: map[string]time.Duration{}}
		keeper.engines[name] = known
	}
	return known
}

func (keeper *Keeper) dueEngines(now time.Duration) []mimosatide.TargetSpec {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	busy := keeper.busyEngines()
	var due []mimosatide.TargetSpec
	for _, spec := range keeper.watchedEngines(now) {
		state := keeper.engine(spec.Name)
		if state.asking || now < state.due {
			continue
		}
		state.asking = true
		state.due = now + quietReportEvery
		if busy[spec.Name] {
			state.due = now + busyReportEvery
		}
		due = append(due, spec)
	}
	return due
}

// busyEngines are those with an order under way for a model whose home is here; the lock is held.
func (keeper *Keeper) busyEngines() map[string]bool {
	busy := map[string]bool{}
	for _, state := range keeper.models {
		for _, placement := range state.list.Placements {
			if placement.needsOrder() {
				busy[placement.Target] = true
				keeper.engine(placement.Target).due = min(keeper.engine(placement.Target).due, keeper.clock.Now()+busyReportEvery)
			}
		}
	}
	return busy
}

// askReport asks an engine for its state.
func (keeper *Keeper) askReport(ctx context.Context, spec mimosatide.TargetSpec) {
	asked := keeper.clock.Now()
	report, err := keeper.targets.GetReport(ctx, spec)
	keeper.lock.Lock()
	state := keeper.engine(spec.Name)
	state.asking = false
	state.reachable = err == nil
	if err != nil {
		keeper.lock.Unlock()
		return
	}
	news := readiness(state.report) != readiness(report)
	state.report, state.at = report, asked
	for placement := range report.Placements {
		state.seen[placement] = asked
	}
	if news {
		keeper.wakeModels(report)
	}
	keeper.lock.Unlock()
	if report.Leaving {
		keeper.NoteLeaving(spec.Name)
	}
}

// readiness counts what an engine serves, to notice a change.
func readiness(report mimosatide.Report) int {
	count := 0
	for placement, state := range report.Placements {
		if state == mimosatide.OrderReady {
			count += 1 + len(report.Adapters[placement])
		}
	}
	return count
}

// wakeModels makes the models of a report due; the lock is held.
func (keeper *Keeper) wakeModels(report mimosatide.Report) {
	now := keeper.clock.Now()
	for placement := range report.Placements {
		state := keeper.state(ModelOfID(placement))
		state.due = now
		state.again = state.busy
	}
	keeper.wake()
}

// isMissing says whether an engine that answers has lacked a placement for longer than its reports lag; the lock is held.
func (keeper *Keeper) isMissing(now time.Duration, placement Placement) bool {
	state := keeper.engine(placement.Target)
	if _, held := state.report.Placements[placement.ID]; held || !state.reachable {
		return false
	}
	seen, known := state.seen[placement.ID]
	if !known {
		// This node has never seen the placement; its watch begins now.
		state.seen[placement.ID] = now
		return false
	}
	return state.at-seen > reportLag
}

// NoteLeaving notes that a target gets no new work, and tells the other nodes once.
func (keeper *Keeper) NoteLeaving(target string) {
	keeper.lock.Lock()
	known := keeper.leaving[target]
	keeper.leaving[target] = true
	keeper.lock.Unlock()
	if known {
		return
	}
	keeper.log.Info("target is leaving", "target", target)
	for _, member := range keeper.fleet.Live() {
		if member != keeper.settings.Self {
			keeper.peers.Send(member, TargetLeaving{Target: target})
		}
	}
}

// NoteHosts takes the platform's host list in; hosts that it lacks for longer than it lags are lost.
func (keeper *Keeper) NoteHosts(leaving, lost map[string]bool) {
	for _, spec := range keeper.store.View().Document.Targets() {
		if leaving[spec.Host] {
			keeper.NoteLeaving(spec.Name)
		}
		keeper.lock.Lock()
		keeper.lost[spec.Name] = lost[spec.Host]
		if !leaving[spec.Host] && !lost[spec.Host] && !keeper.engine(spec.Name).report.Leaving {
			delete(keeper.leaving, spec.Name)
		}
		keeper.lock.Unlock()
	}
}

// Leaving says whether a target gets no new work.
func (keeper *Keeper) Leaving(target string) bool {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	return keeper.leaving[target] || keeper.lost[target]
}

// Reported returns the load that an engine stated last.
func (keeper *Keeper) Reported(target string) int {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	report := keeper.engine(target).report
	return report.Running + report.Queued
}

// Reachable says whether an engine has answered lately.
func (keeper *Keeper) Reachable(target string) bool {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	return keeper.engine(target).reachable
}

// Placements returns the placements of the models whose home is this node.
func (keeper *Keeper) Placements() []Placement {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	var placements []Placement
	for _, model := range slices.Sorted(maps.Keys(keeper.models)) {
		placements = append(placements, keeper.models[model].list.Placements...)
	}
	return placements
}
