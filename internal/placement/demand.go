package placement

import (
	"maps"
	"slices"
	"time"
)

// ReportDemand reports this node's demand for a model to the model's home node.
func (controller *Controller) ReportDemand(report DemandReport) {
	report.Zone = controller.settings.Zone
	home := controller.home(report.Model)
	if home == controller.settings.Self {
		controller.HandleDemandReport(home, report)
		return
	}
	controller.peers.Send(home, report)
}

// HandleDemandReport records a node's demand for a model whose home is this node, and sends it the model's placements.
func (controller *Controller) HandleDemandReport(from string, report DemandReport) {
	now := controller.clock.Now()
	controller.lock.Lock()
	state := controller.state(report.Model)
	first := len(state.demandByNode) == 0 || !state.isPublished
	state.demandByNode[from] = nodeDemand{report: report, at: now}
	state.subscribers[from] = now
	if report.Waiting > 0 || report.Outstanding > 0 {
		state.lastUsed = now
	}
	if first || (report.Waiting > 0 && state.nextRun > now+busyReconcileInterval) {
		state.nextRun = now
		state.rerun = state.running
	}
	if state.nextRun <= now {
		controller.wake()
	}
	list, isPublished := state.published, state.isPublished
	list.BlockedReason = state.blockedReason
	list.Outstanding = controller.demand(now, state).Outstanding
	controller.lock.Unlock()
	if isPublished {
		controller.sendList(from, list)
	}
}

// sendList sends a list to a node, which may be this one.
func (controller *Controller) sendList(to string, list ModelPlacements) {
	if to == controller.settings.Self {
		controller.onModelPlacements(list)
		return
	}
	controller.peers.Send(to, list)
}

// publish sends the model's list to its subscribers if the placements or the
// blocked reason have changed.
func (controller *Controller) publish(model string) {
	controller.lock.Lock()
	state := controller.state(model)
	list := controller.currentList(model, state)
	changed := !state.isPublished || list.Row != state.published.Row || list.BlockedReason != state.published.BlockedReason
	state.published, state.isPublished = list, true
	subscribers := controller.subscribers(state)
	controller.lock.Unlock()
	if !changed {
		return
	}
	for _, subscriber := range subscribers {
		controller.sendList(subscriber, list)
	}
}

// currentList returns a list with the placements of the model's cached row, or with the
// published ones if the row is missing, older or unreadable. The caller holds the lock.
func (controller *Controller) currentList(model string, state *modelState) ModelPlacements {
	list := state.published
	list.Model, list.BlockedReason = model, state.blockedReason
	cached, found := controller.rowCache[ModelKey(model)]
	if !found || cached.version < list.Row {
		return list
	}
	row, err := DecodeModelRow(cached.value)
	if err == nil {
		list.Row, list.Placements = cached.version, row.Placements
	}
	return list
}

// subscribers returns the nodes that reported demand within subscriberTTL. The caller holds the lock.
func (controller *Controller) subscribers(state *modelState) []string {
	now := controller.clock.Now()
	maps.DeleteFunc(state.subscribers, func(_ string, reportedAt time.Duration) bool { return now-reportedAt > subscriberTTL })
	return slices.Sorted(maps.Keys(state.subscribers))
}

// sendStakes sends the stakes of the models that wait here for a weight store slot to the other members.
func (controller *Controller) sendStakes(now time.Duration) {
	controller.lock.Lock()
	stakes := Stakes{ByModel: map[string]float64{}}
	for model, state := range controller.models {
		if state.waitsForSlot {
			stakes.ByModel[model] = controller.localStake(now, model)
		}
	}
	due := len(stakes.ByModel) > 0 && now-controller.lastStakesSent >= stakeTTL/4
	if due {
		controller.lastStakesSent = now
	}
	controller.lock.Unlock()
	if !due {
		return
	}
	for _, member := range controller.fleet.Live() {
		if member != controller.settings.Self {
			controller.peers.Send(member, stakes)
		}
	}
}

// HandleStakes records the stakes of models that wait at another home node.
func (controller *Controller) HandleStakes(stakes Stakes) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	now := controller.clock.Now()
	for model, stake := range stakes.ByModel {
		controller.remoteStakes[model] = remoteStake{stake: stake, at: now}
	}
}

// announceSlotFreed wakes the models that wait for a weight store slot, on every live member.
func (controller *Controller) announceSlotFreed() {
	controller.HandleSlotFreed()
	for _, member := range controller.fleet.Live() {
		if member != controller.settings.Self {
			controller.peers.Send(member, SlotFreed{})
		}
	}
}

// HandleSlotFreed schedules the models that wait for a weight store slot and reads the store's row again.
func (controller *Controller) HandleSlotFreed() {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	now := controller.clock.Now()
	for _, state := range controller.models {
		if state.waitsForSlot {
			delete(controller.rowCache, StoreKey)
			state.nextRun = now
			state.rerun = state.running
			controller.wake()
		}
	}
}

// requestEvictions asks the home nodes of the placements to evict them.
func (controller *Controller) requestEvictions(victims []string) {
	for _, victim := range victims {
		home := controller.home(ModelOfID(victim))
		if home == controller.settings.Self {
			controller.HandleEvictRequest(EvictRequest{Placement: victim})
			continue
		}
		controller.peers.Send(home, EvictRequest{Placement: victim})
	}
}

// HandleEvictRequest records that another model needs a placement's memory.
func (controller *Controller) HandleEvictRequest(request EvictRequest) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	state := controller.state(ModelOfID(request.Placement))
	state.evictRequestedAt[request.Placement] = controller.clock.Now()
	state.nextRun = controller.clock.Now()
	state.rerun = state.running
	controller.wake()
}
