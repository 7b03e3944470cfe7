package placement

import (
	"context"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
)

// orderState tracks the orders of one kind that this process has sent for a placement or one of its adapters.
type orderState struct {
	inFlight int
	// sentAt is when the newest order was claimed for sending.
	sentAt time.Duration
	number mimosatide.FencingToken
	// unansweredAt is when the last order failed without an answer; zero if none has.
	unansweredAt time.Duration
}

// sendOrders sends the orders that the model's placements need, and asks the
// other orderers to quiesce the unloaded ones.
func (keeper *Keeper) sendOrders(ctx context.Context, model string) {
	keeper.lock.Lock()
	row, err := DecodeModelRow(keeper.rowCache[ModelKey(model)].value)
	keeper.lock.Unlock()
	if err != nil {
		return
	}
	for _, placement := range row.Placements {
		spec, known := keeper.store.View().Document.GetTarget(placement.Target)
		if !known || !placement.needsOrder() || !slices.Contains(placement.Orderers, keeper.fleet.Self()) {
			continue
		}
		for _, order := range keeper.ordersFor(placement) {
			if keeper.claimOrder(placement, order) {
				keeper.submit(func() { keeper.sendOrder(ctx, spec, placement, order) })
			}
		}
		if placement.State == Unloading && !spec.ChecksFencing {
			keeper.requestQuiescence(placement)
		}
	}
}

// ordersFor returns the orders for a placement that the engine has not completed.
func (keeper *Keeper) ordersFor(placement Placement) []mimosatide.Order {
	base := mimosatide.Order{
		Placement: placement.ID,
		Model:     placement.Model,
		Version:   placement.Version,
		Number:    placement.Number,
	}
	model, _ := keeper.store.View().Document.GetModel(placement.Model)
	switch placement.State {
	case Loading:
		base.Kind, base.Memory = mimosatide.OrderLoad, model.Memory
		return []mimosatide.Order{base}
	case Unloading:
		base.Kind = mimosatide.OrderUnload
		return []mimosatide.Order{base}
	}
	var orders []mimosatide.Order
	for _, adapter := range placement.Adapters {
		if adapter.Ready {
			continue
		}
		order := base
		order.Kind, order.Adapter = mimosatide.OrderLoadAdapter, adapter.Name
		order.Version, order.Memory = adapter.Version, model.Adapters[adapter.Name].Memory
		orders = append(orders, order)
	}
	return orders
}

// orderKey returns the key of an order in Keeper.orders.
func orderKey(order mimosatide.Order) string {
	return order.Placement + " " + string(order.Kind) + " " + order.Adapter
}

// claimOrder reports whether an order is to be sent now, and marks it as in flight if so.
func (keeper *Keeper) claimOrder(placement Placement, order mimosatide.Order) bool {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	now := keeper.clock.Now()
	state, known := keeper.orders[orderKey(order)]
	if !known {
		state = &orderState{}
		keeper.orders[orderKey(order)] = state
	}
	if state.inFlight > 0 || (order.Kind != mimosatide.OrderUnload && keeper.loadsStopped[placement.ID]) {
		return false
	}
	if state.number == order.Number && now-state.sentAt < orderRetryInterval {
		return false
	}
	state.number, state.sentAt = order.Number, now
	state.inFlight++
	return true
}

func (keeper *Keeper) sendOrder(ctx context.Context, spec mimosatide.TargetSpec, placement Placement, order mimosatide.Order) {
	if !keeper.mayStillSend(order) {
		return
	}
	answer, err := keeper.targets.SendOrder(ctx, spec, order)
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	now := keeper.clock.Now()
	state := keeper.orders[orderKey(order)]
	state.inFlight--
	keeper.log.Info("order sent", "kind", string(order.Kind), "placement", order.Placement, "target", spec.Name,
		"number", order.Number, "answer", string(answer), "adapter", order.Adapter)
	if err != nil {
		state.unansweredAt = now
		return
	}
	switch {
	case answer == mimosatide.OrderStale:
		// The engine has seen a higher fencing token: read the rows again and give the order a new token.
		delete(keeper.rowCache, ModelKey(placement.Model))
		delete(keeper.rowCache, TargetKey(placement.Target))
		keeper.staleNumbers[placement.ID] = order.Number
	case order.Kind == mimosatide.OrderUnload && answer == mimosatide.OrderAbsent:
		// The answer says nothing about load orders that arrived after the unload order was sent.
		keeper.state(placement.Model).confirmedUnloadSentAt[placement.ID] = state.sentAt
	}
	keeper.state(placement.Model).nextRun = now
	keeper.wake()
}

// mayStillSend reports whether a claimed order may be sent, and releases the claim
// if not: after a pause of this process, the placement may have been unloaded and
// the engine may have lost the fencing token that would reject the order.
func (keeper *Keeper) mayStillSend(order mimosatide.Order) bool {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	state := keeper.orders[orderKey(order)]
	if keeper.clock.Now()-state.sentAt <= orderRetryInterval {
		return true
	}
	state.inFlight--
	return false
}

// isQuiesced reports whether no process can have a load order for the placement in
// flight. The caller holds the lock.
func (keeper *Keeper) isQuiesced(now time.Duration, placement Placement) bool {
	quiesced := true
	for _, orderer := range placement.Orderers {
		// Check every orderer, so that the waits for ended processes run in parallel, not one after the other.
		ordererQuiesced := keeper.isOrdererQuiesced(now, placement.ID, orderer)
		quiesced = quiesced && ordererQuiesced
	}
	return quiesced
}

// isOrdererQuiesced reports whether a process can't have a load order for the
// placement in flight. The caller holds the lock.
func (keeper *Keeper) isOrdererQuiesced(now time.Duration, placement string, orderer Orderer) bool {
	if orderer == keeper.fleet.Self() {
		return keeper.ownLoadsQuiesced(now, placement)
	}
	return keeper.quiesced[quiescedKey{placement: placement, orderer: orderer}] || keeper.endedLongAgo(now, orderer)
}

// endedLongAgo reports whether this node has known for maxOrderDelay that the
// process ended, so that none of its orders can still arrive. The caller holds the lock.
func (keeper *Keeper) endedLongAgo(now time.Duration, orderer Orderer) bool {
	if !keeper.fleet.ProcessEnded(orderer) && keeper.newestIncarnation[orderer.Address] <= orderer.Incarnation {
		return false
	}
	since, known := keeper.endedAt[orderer]
	if !known {
		keeper.endedAt[orderer] = now
		return false
	}
	return now-since >= maxOrderDelay
}

// ownLoadsQuiesced reports whether no load order of this process can still arrive. The caller holds the lock.
func (keeper *Keeper) ownLoadsQuiesced(now time.Duration, placement string) bool {
	for key, state := range keeper.orders {
		if !isLoadOrderKey(key, placement) {
			continue
		}
		mayArrive := state.unansweredAt > 0 && now-state.unansweredAt < maxOrderDelay
		if state.inFlight > 0 || mayArrive {
			return false
		}
	}
	return true
}

// isLoadOrderKey reports whether the key is that of a load order for the placement.
func isLoadOrderKey(key, placement string) bool {
	for _, kind := range []mimosatide.OrderKind{mimosatide.OrderLoad, mimosatide.OrderLoadAdapter} {
		prefix := placement + " " + string(kind)
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			return true
		}
	}
	return false
}

// requestQuiescence asks the other live orderers of a placement to quiesce it.
func (keeper *Keeper) requestQuiescence(placement Placement) {
	for _, orderer := range placement.Orderers {
		if orderer != keeper.fleet.Self() && !keeper.fleet.ProcessEnded(orderer) {
			keeper.peers.Send(orderer.Address, AskHarmless{Placement: placement.ID})
		}
	}
}

// TakeAskHarmless stops this process's load orders for a placement, and confirms
// it if none is in flight; otherwise the sender asks again.
func (keeper *Keeper) TakeAskHarmless(from string, ask AskHarmless) {
	keeper.lock.Lock()
	keeper.loadsStopped[ask.Placement] = true
	quiesced := keeper.ownLoadsQuiesced(keeper.clock.Now(), ask.Placement)
	// The cached row is outdated: another process has taken over the model.
	delete(keeper.rowCache, ModelKey(ModelOfID(ask.Placement)))
	keeper.lock.Unlock()
	if quiesced {
		keeper.peers.Send(from, Harmless{Placement: ask.Placement, Incarnation: keeper.fleet.Self().Incarnation})
	}
}

// TakeHarmless records that another process has quiesced a placement.
func (keeper *Keeper) TakeHarmless(from string, confirmation Harmless) {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	orderer := Orderer{Address: from, Incarnation: confirmation.Incarnation}
	keeper.quiesced[quiescedKey{placement: confirmation.Placement, orderer: orderer}] = true
	// Only one process at a time can listen on an address, so earlier incarnations have ended.
	keeper.newestIncarnation[from] = max(keeper.newestIncarnation[from], confirmation.Incarnation)
	keeper.state(ModelOfID(confirmation.Placement)).nextRun = keeper.clock.Now()
}
