package placement

import (
	"maps"
	"slices"
	"time"
)

// TellWant reports this node's demand for a model to the model's home node.
func (keeper *Keeper) TellWant(want Want) {
	want.Zone = keeper.settings.Zone
	home := keeper.home(want.Model)
	if home == keeper.settings.Self {
		keeper.TakeWant(home, want)
		return
	}
	keeper.peers.Send(home, want)
}

// TakeWant records a node's demand for a model whose home is this node, and sends it the model's placements.
func (keeper *Keeper) TakeWant(from string, want Want) {
	now := keeper.clock.Now()
	keeper.lock.Lock()
	state := keeper.state(want.Model)
	first := len(state.demandByNode) == 0 || !state.isPublished
	state.demandByNode[from] = nodeDemand{want: want, at: now}
	state.subscribers[from] = now
	if want.Waiting > 0 || want.Outstanding > 0 {
		state.lastUsed = now
	}
	if first || (want.Waiting > 0 && state.nextRun > now+busyReconcileInterval) {
		state.nextRun = now
		state.rerun = state.running
	}
	if state.nextRun <= now {
		keeper.wake()
	}
	list, listed := state.published, state.isPublished
	list.Holdup = state.holdup
	list.Outstanding = keeper.demand(now, state).Outstanding
	keeper.lock.Unlock()
	if listed {
		keeper.sendList(from, list)
	}
}

// sendList sends a list to a node, which may be this one.
func (keeper *Keeper) sendList(to string, list List) {
	if to == keeper.settings.Self {
		keeper.onList(list)
		return
	}
	keeper.peers.Send(to, list)
}

// publish sends the model's list to its subscribers if the placements or the
// holdup have changed.
func (keeper *Keeper) publish(model string) {
	keeper.lock.Lock()
	state := keeper.state(model)
	list := keeper.currentList(model, state)
	changed := !state.isPublished || list.Row != state.published.Row || list.Holdup != state.published.Holdup
	state.published, state.isPublished = list, true
	subscribers := keeper.subscribers(state)
	keeper.lock.Unlock()
	if !changed {
		return
	}
	for _, subscriber := range subscribers {
		keeper.sendList(subscriber, list)
	}
}

// currentList returns the placements of the model's cached row, or the published
// ones if the row is missing, older or unreadable. The caller holds the lock.
func (keeper *Keeper) currentList(model string, state *modelState) List {
	list := state.published
	list.Model, list.Holdup = model, state.holdup
	cached, found := keeper.rowCache[ModelKey(model)]
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
func (keeper *Keeper) subscribers(state *modelState) []string {
	now := keeper.clock.Now()
	maps.DeleteFunc(state.subscribers, func(_ string, lastHeard time.Duration) bool { return now-lastHeard > subscriberTTL })
	return slices.Sorted(maps.Keys(state.subscribers))
}

// sendStakes sends the stakes of the models that wait here for a weight store slot to the other members.
func (keeper *Keeper) sendStakes(now time.Duration) {
	keeper.lock.Lock()
	stakes := Stakes{ByModel: map[string]float64{}}
	for model, state := range keeper.models {
		if state.waitsForSlot {
			stakes.ByModel[model] = keeper.localStake(now, model)
		}
	}
	due := len(stakes.ByModel) > 0 && now-keeper.lastStakesSent >= stakeTTL/4
	if due {
		keeper.lastStakesSent = now
	}
	keeper.lock.Unlock()
	if !due {
		return
	}
	for _, member := range keeper.fleet.Live() {
		if member != keeper.settings.Self {
			keeper.peers.Send(member, stakes)
		}
	}
}

// TakeStakes records the stakes of models that wait at another home node.
func (keeper *Keeper) TakeStakes(stakes Stakes) {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	now := keeper.clock.Now()
	for model, stake := range stakes.ByModel {
		keeper.remoteStakes[model] = remoteStake{stake: stake, at: now}
	}
}

// announceSlotFreed wakes the models that wait for a weight store slot, on every live member.
func (keeper *Keeper) announceSlotFreed() {
	keeper.TakeSlotFreed()
	for _, member := range keeper.fleet.Live() {
		if member != keeper.settings.Self {
			keeper.peers.Send(member, SlotFreed{})
		}
	}
}

// TakeSlotFreed schedules the models that wait for a weight store slot and reads the store's row again.
func (keeper *Keeper) TakeSlotFreed() {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	now := keeper.clock.Now()
	for _, state := range keeper.models {
		if state.waitsForSlot {
			delete(keeper.rowCache, StoreKey)
			state.nextRun = now
			state.rerun = state.running
			keeper.wake()
		}
	}
}

// requestEvictions asks the home nodes of the placements to evict them.
func (keeper *Keeper) requestEvictions(victims []string) {
	for _, victim := range victims {
		home := keeper.home(ModelOfID(victim))
		if home == keeper.settings.Self {
			keeper.TakeAskEvict(AskEvict{Placement: victim})
			continue
		}
		keeper.peers.Send(home, AskEvict{Placement: victim})
	}
}

// TakeAskEvict records that another model needs a placement's memory.
func (keeper *Keeper) TakeAskEvict(ask AskEvict) {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	state := keeper.state(ModelOfID(ask.Placement))
	state.evictRequestedAt[ask.Placement] = keeper.clock.Now()
	state.nextRun = keeper.clock.Now()
	state.rerun = state.running
	keeper.wake()
}
