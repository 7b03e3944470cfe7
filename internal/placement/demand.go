package placement

import (
	"maps"
	"slices"
	"time"
)

// TellWant passes this node's demand for a model to the model's home.
func (keeper *Keeper) TellWant(want Want) {
	want.Zone = keeper.settings.Zone
	home := keeper.home(want.Model)
	if home == keeper.settings.Self {
		keeper.TakeWant(home, want)
		return
	}
	keeper.peers.Send(home, want)
}

// TakeWant notes a node's demand for a model whose home is this node.
func (keeper *Keeper) TakeWant(from string, want Want) {
	now := keeper.clock.Now()
	keeper.lock.Lock()
	state := keeper.state(want.Model)
	first := len(state.wants) == 0 || !state.listed
	state.wants[from] = wantOf{want: want, at: now}
	state.listeners[from] = now
	if want.Waiting > 0 || want.Outstanding > 0 {
		state.lastUse = now
	}
	if first || (want.Waiting > 0 && state.due > now+busyEvery) {
		state.due = now
		state.again = state.busy
	}
	if state.due <= now {
		keeper.wake()
	}
	list, listed := state.list, state.listed
	list.Holdup = state.holdup
	list.Outstanding = keeper.demand(now, state).Outstanding
	keeper.lock.Unlock()
	if listed {
		keeper.tell(from, list)
	}
}

// tell hands a list to a node, this one included.
func (keeper *Keeper) tell(to string, list List) {
	if to == keeper.settings.Self {
		keeper.onList(list)
		return
	}
	keeper.peers.Send(to, list)
}

// publish tells the nodes that use a model when its placements, or what holds
// them up, have changed.
func (keeper *Keeper) publish(model string) {
	keeper.lock.Lock()
	state := keeper.state(model)
	list := keeper.listOf(model, state)
	changed := !state.listed || list.Row != state.list.Row || list.Holdup != state.list.Holdup
	state.list, state.listed = list, true
	listeners := keeper.listeners(state)
	keeper.lock.Unlock()
	if !changed {
		return
	}
	for _, listener := range listeners {
		keeper.tell(listener, list)
	}
}

// listOf returns the model's placements by the cached row, or those that were
// known before when the row can't be read; the lock is held.
func (keeper *Keeper) listOf(model string, state *modelState) List {
	list := state.list
	list.Model, list.Holdup = model, state.holdup
	cached, found := keeper.rows[ModelKey(model)]
	if !found || cached.version < list.Row {
		return list
	}
	row, err := DecodeModelRow(cached.value)
	if err == nil {
		list.Row, list.Placements = cached.version, row.Placements
	}
	return list
}

func (keeper *Keeper) listeners(state *modelState) []string {
	now := keeper.clock.Now()
	maps.DeleteFunc(state.listeners, func(_ string, heard time.Duration) bool { return now-heard > listenerLife })
	return slices.Sorted(maps.Keys(state.listeners))
}

// sendStakes tells the other homes which models wait here for the weight store.
func (keeper *Keeper) sendStakes(now time.Duration) {
	keeper.lock.Lock()
	stakes := Stakes{ByModel: map[string]float64{}}
	for model, state := range keeper.models {
		if state.slotWait {
			stakes.ByModel[model] = keeper.stakeOf(now, model)
		}
	}
	due := len(stakes.ByModel) > 0 && now-keeper.stakesSent >= stakeLife/4
	if due {
		keeper.stakesSent = now
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

// TakeStakes notes what waits at another home.
func (keeper *Keeper) TakeStakes(stakes Stakes) {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	now := keeper.clock.Now()
	for model, stake := range stakes.ByModel {
		keeper.stakes[model] = stakeOf{stake: stake, at: now}
	}
}

// tellSlotFreed lets the homes that wait for the weight store go on at once.
func (keeper *Keeper) tellSlotFreed() {
	keeper.TakeSlotFreed()
	for _, member := range keeper.fleet.Live() {
		if member != keeper.settings.Self {
			keeper.peers.Send(member, SlotFreed{})
		}
	}
}

// TakeSlotFreed makes the models that wait for the weight store due.
func (keeper *Keeper) TakeSlotFreed() {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	now := keeper.clock.Now()
	for _, state := range keeper.models {
		if state.slotWait {
			delete(keeper.rows, StoreKey)
			state.due = now
			state.again = state.busy
			keeper.wake()
		}
	}
}

// askForRoom asks the homes of other models to give up idle placements.
func (keeper *Keeper) askForRoom(victims []string) {
	for _, victim := range victims {
		home := keeper.home(ModelOfID(victim))
		if home == keeper.settings.Self {
			keeper.TakeAskEvict(AskEvict{Placement: victim})
			continue
		}
		keeper.peers.Send(home, AskEvict{Placement: victim})
	}
}

// TakeAskEvict notes that another model needs a placement's memory.
func (keeper *Keeper) TakeAskEvict(ask AskEvict) {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	state := keeper.state(ModelOfID(ask.Placement))
	state.evict[ask.Placement] = keeper.clock.Now()
	state.due = keeper.clock.Now()
	state.again = state.busy
	keeper.wake()
}
