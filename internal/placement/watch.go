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
func (controller *Controller) engine(name string) *engineState {
	known, found := controller.engines[name]
	if !found {
		known = &engineState{lastReported: map[string]time.Duration{}}
		controller.engines[name] = known
	}
	return known
}

// dueEngines returns the engines to poll now and marks them as being polled.
func (controller *Controller) dueEngines(now time.Duration) []mimosatide.TargetSpec {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	busy := controller.busyEngines()
	var due []mimosatide.TargetSpec
	for _, spec := range controller.watchedEngines(now) {
		state := controller.engine(spec.Name)
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
func (controller *Controller) busyEngines() map[string]bool {
	busy := map[string]bool{}
	for _, state := range controller.models {
		for _, placement := range state.published.Placements {
			if placement.needsOrder() {
				busy[placement.Target] = true
				controller.engine(placement.Target).nextPoll = min(controller.engine(placement.Target).nextPoll, controller.clock.Now()+busyReportInterval)
			}
		}
	}
	return busy
}

// pollEngine requests an engine's report and wakes the models for which something became ready.
func (controller *Controller) pollEngine(ctx context.Context, spec mimosatide.TargetSpec) {
	requestedAt := controller.clock.Now()
	report, err := controller.targets.GetReport(ctx, spec)
	controller.lock.Lock()
	state := controller.engine(spec.Name)
	state.polling = false
	state.reachable = err == nil
	if err != nil {
		controller.lock.Unlock()
		return
	}
	changed := countReady(state.report) != countReady(report)
	state.report, state.reportRequestedAt = report, requestedAt
	for placement := range report.Placements {
		state.lastReported[placement] = requestedAt
	}
	if changed {
		controller.rescheduleModels(report)
	}
	controller.lock.Unlock()
	if report.Leaving {
		controller.NoteLeaving(spec.Name)
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
func (controller *Controller) rescheduleModels(report mimosatide.Report) {
	now := controller.clock.Now()
	for placement := range report.Placements {
		state := controller.state(ModelOfID(placement))
		state.nextRun = now
		state.rerun = state.running
	}
	controller.wake()
}

// isMissing reports whether a placement has been absent from a reachable engine's
// reports for longer than maxReportLag. The caller holds the lock.
func (controller *Controller) isMissing(now time.Duration, placement Placement) bool {
	state := controller.engine(placement.Target)
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
func (controller *Controller) NoteLeaving(target string) {
	controller.lock.Lock()
	known := controller.leaving[target]
	controller.leaving[target] = true
	controller.lock.Unlock()
	if known {
		return
	}
	controller.log.Info("target is leaving", "target", target)
	for _, member := range controller.fleet.Live() {
		if member != controller.settings.Self {
			controller.peers.Send(member, TargetLeaving{Target: target})
		}
	}
}

// UpdateHosts records which hosts are leaving and which are lost, by host name. A host is
// lost when it has been absent from the platform's host list for longer than the list lags.
func (controller *Controller) UpdateHosts(leaving, lost map[string]bool) {
	for _, spec := range controller.store.View().Document.Targets() {
		if leaving[spec.Host] {
			controller.NoteLeaving(spec.Name)
		}
		controller.lock.Lock()
		controller.lost[spec.Name] = lost[spec.Host]
		if !leaving[spec.Host] && !lost[spec.Host] && !controller.engine(spec.Name).report.Leaving {
			delete(controller.leaving, spec.Name)
		}
		controller.lock.Unlock()
	}
}

// Leaving reports whether a target is leaving or lost, so that it gets no new work.
func (controller *Controller) Leaving(target string) bool {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	return controller.leaving[target] || controller.lost[target]
}

// ReportedLoad returns the running and queued requests in an engine's newest report.
func (controller *Controller) ReportedLoad(target string) int {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	report := controller.engine(target).report
	return report.Running + report.Queued
}

// Reachable reports whether an engine answered the last request for a report.
func (controller *Controller) Reachable(target string) bool {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	return controller.engine(target).reachable
}

// Placements returns the placements that this node last published as a home node.
func (controller *Controller) Placements() []Placement {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	var placements []Placement
	for _, model := range slices.Sorted(maps.Keys(controller.models)) {
		placements = append(placements, controller.models[model].published.Placements...)
	}
	return placements
}
