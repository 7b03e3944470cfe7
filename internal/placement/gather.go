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
func (controller *Controller) gather(ctx context.Context, model string) (Situation, error) {
	view := controller.store.View()
	engines := controller.candidatesOf(model, view.Document.Engines())
	if err := controller.readRows(ctx, model, engines); err != nil {
		return Situation{}, errors.Trace(err)
	}
	controller.lock.Lock()
	defer controller.lock.Unlock()
	now := controller.clock.Now()
	state := controller.state(model)
	configured, _ := view.Document.GetModel(model)
	situation := Situation{
		Model:              configured,
		Name:               model,
		Configuration:      view.Version,
		Budget:             view.Document.Budget(),
		Demand:             controller.demand(now, state),
		Self:               controller.fleet.Self(),
		NewID:              NewID(model, controller.newID()),
		KeepIdle:           controller.keepIdle(configured),
		EvictRequested:     controller.pendingEvictions(now, state),
		Unloaded:           map[string]bool{},
		StaleFencingTokens: maps.Clone(controller.staleFencingTokens),
		Quiesced:           map[string]bool{},
		Missing:            map[string]bool{},
	}
	if err := controller.decodeRows(&situation, engines); err != nil {
		return Situation{}, errors.Trace(err)
	}
	situation.Turn = controller.hasTurn(now, model, situation.Budget.LoadSlots-situation.Store.Models())
	for _, placement := range situation.Row.Placements {
		situation.Quiesced[placement.ID] = controller.isQuiesced(now, placement)
		situation.Unloaded[placement.ID] = controller.isUnloaded(now, state, placement, situation.Quiesced[placement.ID])
		situation.Missing[placement.ID] = controller.isMissing(now, placement)
	}
	return situation, nil
}

// candidatesOf returns the engines to consider for the model.
func (controller *Controller) candidatesOf(model string, engines []mimosatide.TargetSpec) []mimosatide.TargetSpec {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	state := controller.state(model)
	placed := state.published.Placements
	if row, err := DecodeModelRow(controller.rowCache[ModelKey(model)].value); err == nil {
		placed = row.Placements
	}
	return candidateEngines(model, engines, placed, state.skippedCandidates)
}

// isUnloaded reports whether the engine has confirmed that it doesn't hold the
// placement. An engine that ignores fencing tokens must confirm it again once
// the placement is quiesced, because a load order may have arrived after the
// first answer. The caller holds the lock.
func (controller *Controller) isUnloaded(now time.Duration, state *modelState, placement Placement, quiesced bool) bool {
	if quiesced && state.quiescedAt[placement.ID] == 0 {
		state.quiescedAt[placement.ID] = now
	}
	sent, answered := state.confirmedUnloadSentAt[placement.ID]
	spec, _ := controller.store.View().Document.GetTarget(placement.Target)
	if spec.ChecksFencing {
		return answered
	}
	return answered && quiesced && sent >= state.quiescedAt[placement.ID]
}

// keepIdle returns how long the model stays loaded without requests.
func (controller *Controller) keepIdle(model mimosatide.Model) time.Duration {
	return max(controller.settings.MinKeep, time.Duration(controller.settings.KeepFactor*float64(model.LoadTime)))
}

// readRows reads the rows that are not cached or have expired into the cache.
func (controller *Controller) readRows(ctx context.Context, model string, engines []mimosatide.TargetSpec) error {
	keys := controller.rowKeysToRead(model, engines)
	if len(keys) == 0 {
		return nil
	}
	rows, err := controller.table.Read(ctx, keys...)
	if err != nil {
		return errors.Trace(err)
	}
	controller.lock.Lock()
	defer controller.lock.Unlock()
	now := controller.clock.Now()
	for _, key := range keys {
		index := slices.IndexFunc(rows, func(row mimosatide.Row) bool { return row.Key == key })
		fresh := cachedRow{at: now}
		if index >= 0 {
			fresh.value, fresh.version = rows[index].Value, rows[index].Version
		}
		if known, found := controller.rowCache[key]; !found || fresh.version >= known.version {
			controller.rowCache[key] = fresh
		}
	}
	return nil
}

func (controller *Controller) rowKeysToRead(model string, engines []mimosatide.TargetSpec) []string {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	blockedReason := controller.state(model).blockedReason
	var keys []string
	add := func(key string, ttl time.Duration) {
		if row, found := controller.rowCache[key]; !found || controller.clock.Now()-row.at > ttl {
			keys = append(keys, key)
		}
	}
	add(ModelKey(model), modelRowTTL)
	add(StoreKey, rowTTL(blockedReason == string(WaitForSlot), slotWaitRowTTL))
	for _, engine := range engines {
		add(TargetKey(engine.Name), rowTTL(blockedReason == string(WaitForMemory), memoryWaitRowTTL))
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

func (controller *Controller) invalidateRows(transaction mimosatide.Transaction) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	for _, condition := range transaction.Conditions {
		delete(controller.rowCache, condition.Key)
	}
}

// cacheWrittenRows caches the rows of a committed transaction.
func (controller *Controller) cacheWrittenRows(transaction mimosatide.Transaction) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	for index, write := range transaction.Writes {
		controller.rowCache[write.Key] = cachedRow{
			value:   write.Value,
			version: transaction.Conditions[index].Version + 1,
			at:      controller.clock.Now(),
		}
	}
}

// decodeRows adds the cached rows and the engines' states to the situation. The caller holds the lock.
func (controller *Controller) decodeRows(situation *Situation, engines []mimosatide.TargetSpec) error {
	modelRow := controller.rowCache[ModelKey(situation.Name)]
	storeRow := controller.rowCache[StoreKey]
	var err error
	if situation.Row, err = DecodeModelRow(modelRow.value); err != nil {
		return errors.Trace(err)
	}
	if situation.Store, err = DecodeStoreRow(storeRow.value); err != nil {
		return errors.Trace(err)
	}
	situation.RowVersion, situation.StoreVersion = modelRow.version, storeRow.version
	for _, engine := range engines {
		cached := controller.rowCache[TargetKey(engine.Name)]
		row, err := DecodeTargetRow(cached.value)
		if err != nil {
			return errors.Trace(err)
		}
		watched := controller.engine(engine.Name)
		situation.Targets = append(situation.Targets, TargetState{
			Spec:      engine,
			Row:       row,
			Version:   cached.version,
			Report:    watched.report,
			Reachable: watched.reachable,
			Leaving:   controller.leaving[engine.Name] || watched.report.Leaving,
			Lost:      controller.lost[engine.Name],
		})
	}
	return nil
}

// demand sums up the nodes' demand for a model, without reports older than demandTTL.
// The caller holds the lock.
func (controller *Controller) demand(now time.Duration, state *modelState) Demand {
	demand := Demand{Adapters: map[string]int{}, Zones: map[string]int{}, Idle: now - state.lastUsed}
	for node, known := range state.demandByNode {
		if now-known.at > demandTTL {
			delete(state.demandByNode, node)
			continue
		}
		demand.Waiting += known.report.Waiting
		demand.Outstanding += known.report.Outstanding
		demand.Zones[known.report.Zone] += known.report.Waiting
		for adapter, count := range known.report.Adapters {
			demand.Adapters[adapter] += count
		}
	}
	return demand
}

// pendingEvictions returns the model's placements with an unexpired eviction request.
// The caller holds the lock.
func (controller *Controller) pendingEvictions(now time.Duration, state *modelState) map[string]bool {
	pending := map[string]bool{}
	for id, requestedAt := range state.evictRequestedAt {
		if now-requestedAt > evictRequestTTL {
			delete(state.evictRequestedAt, id)
			continue
		}
		pending[id] = true
	}
	return pending
}

// hasTurn reports whether fewer models with a larger stake wait than slots are free.
// The caller holds the lock.
func (controller *Controller) hasTurn(now time.Duration, model string, freeSlots int) bool {
	own := controller.localStake(now, model)
	ahead := 0
	for other, known := range controller.remoteStakes {
		if other != model && now-known.at <= stakeTTL && known.stake > own {
			ahead++
		}
	}
	for other, state := range controller.models {
		if other != model && state.waitsForSlot && controller.localStake(now, other) > own {
			ahead++
		}
	}
	return ahead < freeSlots
}

// localStake sums up the stakes that the nodes reported for a model. The caller holds the lock.
func (controller *Controller) localStake(now time.Duration, model string) float64 {
	sum := 0.0
	for _, known := range controller.state(model).demandByNode {
		if now-known.at <= demandTTL {
			sum += known.report.Stake
		}
	}
	return sum
}
