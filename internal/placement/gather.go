package placement

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// gather reads what a decision about the model depends on. Rows come from the
// cache where they can: a decision on a stale row fails its conditions.
func (keeper *Keeper) gather(ctx context.Context, model string) (Situation, error) {
	view := keeper.store.View()
	engines := keeper.candidatesOf(model, view.Document.Engines())
	if err := keeper.readRows(ctx, model, engines); err != nil {
		return Situation{}, errors.Trace(err)
	}
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	now := keeper.clock.Now()
	state := keeper.state(model)
	configured, _ := view.Document.GetModel(model)
	situation := Situation{
		Model:         configured,
		Name:          model,
		Configuration: view.Version,
		Budget:        view.Document.Budget(),
		Demand:        keeper.demand(now, state),
		Self:          keeper.fleet.Self(),
		NewID:         NewID(model, keeper.newID()),
		KeepIdle:      keeper.keepIdle(configured),
		Evict:         keeper.evictions(now, state),
		Unloaded:      map[string]bool{},
		Stale:         maps.Clone(keeper.stale),
		Harmless:      map[string]bool{},
		Missing:       map[string]bool{},
	}
	if err := keeper.decodeRows(&situation, engines); err != nil {
		return Situation{}, errors.Trace(err)
	}
	situation.Turn = keeper.hasTurn(now, model, situation.Budget.LoadSlots-situation.Store.Models())
	for _, placement := range situation.Row.Placements {
		situation.Harmless[placement.ID] = keeper.isHarmless(now, placement)
		situation.Unloaded[placement.ID] = keeper.isUnloaded(now, state, placement, situation.Harmless[placement.ID])
		situation.Missing[placement.ID] = keeper.isMissing(now, placement)
	}
	return situation, nil
}

// candidatesOf returns the engines that a decision about the model looks at.
func (keeper *Keeper) candidatesOf(model string, engines []mimosatide.TargetSpec) []mimosatide.TargetSpec {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	state := keeper.state(model)
	placed := state.list.Placements
	if row, err := DecodeModelRow(keeper.rows[ModelKey(model)].value); err == nil {
		placed = row.Placements
	}
	return candidates(model, engines, placed, state.skipped)
}

// isUnloaded says whether the engine has answered that it doesn't hold the
// placement. Once no order is under way it is asked again, because one may have
// arrived behind the first answer; the lock is held.
func (keeper *Keeper) isUnloaded(now time.Duration, state *modelState, placement Placement, harmless bool) bool {
	if harmless && state.harmlessAt[placement.ID] == 0 {
		state.harmlessAt[placement.ID] = now
	}
	sent, answered := state.unloaded[placement.ID]
	spec, _ := keeper.store.View().Document.GetTarget(placement.Target)
	if spec.ChecksFencing {
		return answered
	}
	return answered && harmless && sent >= state.harmlessAt[placement.ID]
}

func (keeper *Keeper) keepIdle(model mimosatide.Model) time.Duration {
	return max(keeper.settings.MinKeep, time.Duration(keeper.settings.KeepFactor*float64(model.LoadTime)))
}

// readRows fills the cache with the rows that it lacks.
func (keeper *Keeper) readRows(ctx context.Context, model string, engines []mimosatide.TargetSpec) error {
	keys := keeper.missingRows(model, engines)
	if len(keys) == 0 {
		return nil
	}
	rows, err := keeper.table.Read(ctx, keys...)
	if err != nil {
		return errors.Trace(err)
	}
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	now := keeper.clock.Now()
	for _, key := range keys {
		index := slices.IndexFunc(rows, func(row mimosatide.Row) bool { return row.Key == key })
		fresh := cachedRow{at: now}
		if index >= 0 {
			fresh.value, fresh.version = rows[index].Value, rows[index].Version
		}
		if known, found := keeper.rows[key]; !found || fresh.version >= known.version {
			keeper.rows[key] = fresh
		}
	}
	return nil
}

func (keeper *Keeper) missingRows(model string, engines []mimosatide.TargetSpec) []string {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	holdup := keeper.state(model).holdup
	var keys []string
	add := func(key string, life time.Duration) {
		if row, found := keeper.rows[key]; !found || keeper.clock.Now()-row.at > life {
			keys = append(keys, key)
		}
	}
	add(ModelKey(model), rowLife)
	add(StoreKey, lifeWhile(holdup == string(WaitForSlot), slotLife))
	for _, engine := range engines {
		add(TargetKey(engine.Name), lifeWhile(holdup == string(WaitForMemory), memoryLife))
	}
	return keys
}

// lifeWhile is how long a cached row is believed: briefly while a model waits
// for what other homes free. A row that only looks free fails its condition.
func lifeWhile(waiting bool, brief time.Duration) time.Duration {
	if waiting {
		return brief
	}
	return quietRowLife
}

func (keeper *Keeper) forgetRows(transaction mimosatide.Transaction) {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	for _, condition := range transaction.Conditions {
		delete(keeper.rows, condition.Key)
	}
}

// rememberRows takes the rows of a transaction that took effect into the cache.
func (keeper *Keeper) rememberRows(transaction mimosatide.Transaction) {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	for index, write := range transaction.Writes {
		keeper.rows[write.Key] = cachedRow{
			value:   write.Value,
			version: transaction.Conditions[index].Version + 1,
			at:      keeper.clock.Now(),
		}
	}
}

func (keeper *Keeper) decodeRows(situation *Situation, engines []mimosatide.TargetSpec) error {
	modelRow := keeper.rows[ModelKey(situation.Name)]
	storeRow := keeper.rows[StoreKey]
	var err error
	if situation.Row, err = DecodeModelRow(modelRow.value); err != nil {
		return errors.Trace(err)
	}
	if situation.Store, err = DecodeStoreRow(storeRow.value); err != nil {
		return errors.Trace(err)
	}
	situation.RowVersion, situation.StoreVersion = modelRow.version, storeRow.version
	for _, engine := range engines {
		cached := keeper.rows[TargetKey(engine.Name)]
		row, err := DecodeTargetRow(cached.value)
		if err != nil {
			return errors.Trace(err)
		}
		watched := keeper.engine(engine.Name)
		situation.Targets = append(situation.Targets, TargetState{
			Spec:      engine,
			Row:       row,
			Version:   cached.version,
			Report:    watched.report,
			Reachable: watched.reachable,
			Leaving:   keeper.leaving[engine.Name] || watched.report.Leaving,
			Lost:      keeper.lost[engine.Name],
		})
	}
	return nil
}

// demand sums up what the nodes have stated lately.
func (keeper *Keeper) demand(now time.Duration, state *modelState) Demand {
	demand := Demand{Adapters: map[string]int{}, Zones: map[string]int{}, Idle: now - state.lastUse}
	for node, known := range state.wants {
		if now-known.at > wantLife {
			delete(state.wants, node)
			continue
		}
		demand.Waiting += known.want.Waiting
		demand.Outstanding += known.want.Outstanding
		demand.Zones[known.want.Zone] += known.want.Waiting
		for adapter, count := range known.want.Adapters {
			demand.Adapters[adapter] += count
		}
	}
	return demand
}

func (keeper *Keeper) evictions(now time.Duration, state *modelState) map[string]bool {
	wanted := map[string]bool{}
	for id, asked := range state.evict {
		if now-asked > evictAskLife {
			delete(state.evict, id)
			continue
		}
		wanted[id] = true
	}
	return wanted
}

// hasTurn says whether the model is among those with the most at stake for the free slots.
func (keeper *Keeper) hasTurn(now time.Duration, model string, free int) bool {
	own := keeper.stakeOf(now, model)
	ahead := 0
	for other, known := range keeper.stakes {
		if other != model && now-known.at <= stakeLife && known.stake > own {
			ahead++
		}
	}
	for other, state := range keeper.models {
		if other != model && state.slotWait && keeper.stakeOf(now, other) > own {
			ahead++
		}
	}
	return ahead < free
}

func (keeper *Keeper) stakeOf(now time.Duration, model string) float64 {
	sum := 0.0
	for _, known := range keeper.state(model).wants {
		if now-known.at <= wantLife {
			sum += known.want.Stake
		}
	}
	return sum
}
