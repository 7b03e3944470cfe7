package placement

import (
	"context"
	"maps"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
)

// engineState is what this node knows about an engine from its reports.
type engineState struct {
	report    mimosatide.Report
	reachable bool
	// nextPoll is when the engine is polled next; polling is set while a poll is in flight.
	nextPoll time.Duration
	polling  bool
	// lastReported is when the newest report with each placement was requested.
	lastReported map[string]time.Duration
	// reportRequestedAt is when the newest report was requested.
	reportRequestedAt time.Duration
}

// engine returns the state of an engine, and adds it if it is new. The caller holds the lock.
func (keeper *Keeper) engine(name string) *engineState {
	known, found := keeper.engines[name]
	if !found {
		known = &engineState{lastReported: map[string]time.Duration{}}
		keeper.engines[name] = known
	}
	return known
}

// dueEngines returns the engines to poll now and marks them as being polled.
func (keeper *Keeper) dueEngines(now time.Duration) []mimosatide.TargetSpec {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	busy := keeper.busyEngines()
	var due []mimosatide.TargetSpec
	for _, spec := range keeper.watchedEngines(now) {
		state := keeper.engine(spec.Name)
		if state.polling || now < state.nextPoll {
			continue
		}
		state.polling = true
		state.nextPoll = now + idleReportInterval
		if busy[spec.Name] {
			state.nextPoll = now + busyReportInterval
		}
		due = append(due, spec)
	}
	return due
}

// busyEngines returns the engines with incomplete orders for the published placements,
// and brings their next poll forward. The caller holds the lock.
func (keeper *Keeper) busyEngines() map[string]bool {
	busy := map[string]bool{}
	for _, state := range keeper.models {
		for _, placement := range state.published.Placements {
			if placement.needsOrder() {
				busy[placement.Target] = true
				keeper.engine(placement.Target).nextPoll = min(keeper.engine(placement.Target).nextPoll, keeper.clock.Now()+busyReportInterval)
			}
		}
	}
	return busy
}

// pollEngine requests an engine's report and wakes the models for which something became ready.
func (keeper *Keeper) pollEngine(ctx context.Context, spec mimosatide.TargetSpec) {
	asked := keeper.clock.Now()
	report, err := keeper.targets.GetReport(ctx, spec)
	keeper.lock.Lock()
	state := keeper.engine(spec.Name)
	state.polling = false
	state.reachable = err == nil
	if err != nil {
		keeper.lock.Unlock()
		return
	}
	changed := countReady(state.report) != countReady(report)
	state.report, state.reportRequestedAt = report, asked
	for placement := range report.Placements {
		state.lastReported[placement] = asked
	}
	if changed {
		keeper.rescheduleModels(report)
	}
	keeper.lock.Unlock()
	if report.Leaving {
		keeper.NoteLeaving(spec.Name)
	}
}

// countReady counts the ready placements and adapters of a report; a different count shows a change.
func countReady(report mimosatide.Report) int {
	count := 0
	for placement, state := range report.Placements {
		if state == mimosatide.OrderReady {
			count += 1 + len(report.Adapters[placement])
		}
	}
	return count
}

// rescheduleModels schedules the models of a report for reconciliation now. The caller holds the lock.
func (keeper *Keeper) rescheduleModels(report mimosatide.Report) {
	now := keeper.clock.Now()
	for placement := range report.Placements {
		state := keeper.state(ModelOfID(placement))
		state.nextRun = now
		state.rerun = state.running
	}
	keeper.wake()
}

// isMissing reports whether a placement has been absent from a reachable engine's
// reports for longer than maxReportLag. The caller holds the lock.
func (keeper *Keeper) isMissing(now time.Duration, placement Placement) bool {
	state := keeper.engine(placement.Target)
	if _, held := state.report.Placements[placement.ID]; held || !state.reachable {
		return false
	}
	seen, known := state.lastReported[placement.ID]
	if !known {
		// This node has not seen the placement before: the time of absence starts now.
		state.lastReported[placement.ID] = now
		return false
	}
	return state.reportRequestedAt-seen > maxReportLag
}

// NoteLeaving records that a target is leaving, and tells the other members the first time.
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

// NoteHosts takes in which hosts are leaving and which have been absent from the
// platform's host list for longer than it lags, by host name.
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

// Leaving reports whether a target is leaving or lost, so that it gets no new work.
func (keeper *Keeper) Leaving(target string) bool {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	return keeper.leaving[target] || keeper.lost[target]
}

// Reported returns the running and queued requests in an engine's newest report.
func (keeper *Keeper) Reported(target string) int {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	report := keeper.engine(target).report
	return report.Running + report.Queued
}

// Reachable reports whether an engine answered the last request for a report.
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
		placements = append(placements, keeper.models[model].published.Placements...)
	}
	return placements
}
