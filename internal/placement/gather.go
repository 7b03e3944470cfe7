package placement

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// gather collects the input of a decision about the model. Cached rows may be
// stale: a transaction that is based on one fails its conditions.
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
		Model:          configured,
		Name:           model,
		Configuration:  view.Version,
		Budget:         view.Document.Budget(),
		Demand:         keeper.demand(now, state),
		Self:           keeper.fleet.Self(),
		NewID:          NewID(model, keeper.newID()),
		KeepIdle:       keeper.keepIdle(configured),
		EvictRequested: keeper.pendingEvictions(now, state),
		Unloaded:       map[string]bool{},
		StaleNumbers:   maps.Clone(keeper.staleNumbers),
		Quiesced:       map[string]bool{},
		Missing:        map[string]bool{},
	}
	if err := keeper.decodeRows(&situation, engines); err != nil {
		return Situation{}, errors.Trace(err)
	}
	situation.Turn = keeper.hasTurn(now, model, situation.Budget.LoadSlots-situation.Store.Models())
	for _, placement := range situation.Row.Placements {
		situation.Quiesced[placement.ID] = keeper.isQuiesced(now, placement)
		situation.Unloaded[placement.ID] = keeper.isUnloaded(now, state, placement, situation.Quiesced[placement.ID])
		situation.Missing[placement.ID] = keeper.isMissing(now, placement)
	}
	return situation, nil
}

// candidatesOf returns the engines to consider for the model.
func (keeper *Keeper) candidatesOf(model string, engines []mimosatide.TargetSpec) []mimosatide.TargetSpec {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	state := keeper.state(model)
	placed := state.published.Placements
	if row, err := DecodeModelRow(keeper.rowCache[ModelKey(model)].value); err == nil {
		placed = row.Placements
	}
	return candidateEngines(model, engines, placed, state.skippedCandidates)
}

// isUnloaded reports whether the engine has confirmed that it doesn't hold the
// placement. An engine that ignores fencing tokens must confirm it again once
// the placement is quiesced, because a load order may have arrived after the
// first answer. The caller holds the lock.
func (keeper *Keeper) isUnloaded(now time.Duration, state *modelState, placement Placement, quiesced bool) bool {
	if quiesced && state.quiescedAt[placement.ID] == 0 {
		state.quiescedAt[placement.ID] = now
	}
	sent, answered := state.confirmedUnloadSentAt[placement.ID]
	spec, _ := keeper.store.View().Document.GetTarget(placement.Target)
	if spec.ChecksFencing {
		return answered
	}
	return answered && quiesced && sent >= state.quiescedAt[placement.ID]
}

// keepIdle returns how long the model stays loaded without requests.
func (keeper *Keeper) keepIdle(model mimosatide.Model) time.Duration {
	return max(keeper.settings.MinKeep, time.Duration(keeper.settings.KeepFactor*float64(model.LoadTime)))
}

// readRows reads the rows that are not cached or have expired into the cache.
func (keeper *Keeper) readRows(ctx context.Context, model string, engines []mimosatide.TargetSpec) error {
	keys := keeper.rowKeysToRead(model, engines)
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
		if known, found := keeper.rowCache[key]; !found || fresh.version >= known.version {
			keeper.rowCache[key] = fresh
		}
	}
	return nil
}

func (keeper *Keeper) rowKeysToRead(model string, engines []mimosatide.TargetSpec) []string {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	holdup := keeper.state(model).holdup
	var keys []string
	add := func(key string, ttl time.Duration) {
		if row, found := keeper.rowCache[key]; !found || keeper.clock.Now()-row.at > ttl {
			keys = append(keys, key)
		}
	}
	add(ModelKey(model), modelRowTTL)
	add(StoreKey, rowTTL(holdup == string(WaitForSlot), slotWaitRowTTL))
	for _, engine := range engines {
		add(TargetKey(engine.Name), rowTTL(holdup == string(WaitForMemory), memoryWaitRowTTL))
	}
	return keys
}

// rowTTL returns how long a cached row is used: waitTTL while a model waits for
// capacity that other nodes free, idleRowTTL otherwise. A stale row that shows
// free capacity does no harm, because the transaction's condition fails.
func rowTTL(waiting bool, waitTTL time.Duration) time.Duration {
	if waiting {
		return waitTTL
	}
	return idleRowTTL
}

func (keeper *Keeper) invalidateRows(transaction mimosatide.Transaction) {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	for _, condition := range transaction.Conditions {
		delete(keeper.rowCache, condition.Key)
	}
}

// cacheWrittenRows caches the rows of a committed transaction.
func (keeper *Keeper) cacheWrittenRows(transaction mimosatide.Transaction) {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	for index, write := range transaction.Writes {
		keeper.rowCache[write.Key] = cachedRow{
			value:   write.Value,
			version: transaction.Conditions[index].Version + 1,
			at:      keeper.clock.Now(),
		}
	}
}

// decodeRows adds the cached rows and the engines' states to the situation. The caller holds the lock.
func (keeper *Keeper) decodeRows(situation *Situation, engines []mimosatide.TargetSpec) error {
	modelRow := keeper.rowCache[ModelKey(situation.Name)]
	storeRow := keeper.rowCache[StoreKey]
	var err error
	if situation.Row, err = DecodeModelRow(modelRow.value); err != nil {
		return errors.Trace(err)
	}
	if situation.Store, err = DecodeStoreRow(storeRow.value); err != nil {
		return errors.Trace(err)
	}
	situation.RowVersion, situation.StoreVersion = modelRow.version, storeRow.version
	for _, engine := range engines {
		cached := keeper.rowCache[TargetKey(engine.Name)]
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

// demand sums up the nodes' demand for a model, without reports older than demandTTL. The caller holds the lock.
func (keeper *Keeper) demand(now time.Duration, state *modelState) Demand {
	demand := Demand{Adapters: map[string]int{}, Zones: map[string]int{}, Idle: now - state.lastUsed}
	for node, known := range state.demandByNode {
		if now-known.at > demandTTL {
			delete(state.demandByNode, node)
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

// pendingEvictions returns the model's placements with an unexpired eviction request. The caller holds the lock.
func (keeper *Keeper) pendingEvictions(now time.Duration, state *modelState) map[string]bool {
	wanted := map[string]bool{}
	for id, asked := range state.evictRequestedAt {
		if now-asked > evictRequestTTL {
			delete(state.evictRequestedAt, id)
			continue
		}
		wanted[id] = true
	}
	return wanted
}

// hasTurn reports whether fewer models with a larger stake wait than slots are free. The caller holds the lock.
func (keeper *Keeper) hasTurn(now time.Duration, model string, freeSlots int) bool {
	own := keeper.localStake(now, model)
	ahead := 0
	for other, known := range keeper.remoteStakes {
		if other != model && now-known.at <= stakeTTL && known.stake > own {
			ahead++
		}
	}
	for other, state := range keeper.models {
		if other != model && state.waitsForSlot && keeper.localStake(now, other) > own {
			ahead++
		}
	}
	return ahead < freeSlots
}

// localStake sums up the stakes that the nodes reported for a model. The caller holds the lock.
func (keeper *Keeper) localStake(now time.Duration, model string) float64 {
	sum := 0.0
	for _, known := range keeper.state(model).demandByNode {
		if now-known.at <= demandTTL {
			sum += known.want.Stake
		}
	}
	return sum
}
