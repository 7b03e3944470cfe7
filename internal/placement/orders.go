package placement

import (
	"context"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
)

// orderState is what this process has sent for one placement.
type orderState struct {
	underWay int
	sent     time.Duration
	number   mimosatide.FencingNumber
	// unanswered is when the last order went without an answer.
	unanswered time.Duration
}

// sendOrders sends the orders that the model's placements need.
func (keeper *Keeper) sendOrders(ctx context.Context, model string) {
	keeper.lock.Lock()
	row, err := DecodeModelRow(keeper.rows[ModelKey(model)].value)
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
			if keeper.startOrder(placement, order) {
				keeper.submit(func() { keeper.sendOrder(ctx, spec, placement, order) })
			}
		}
		if placement.State == Unloading && !spec.ChecksFencing {
			keeper.askHarmless(placement)
		}
	}
}

// ordersFor returns what the engine must still do for a placement.
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

func orderKey(order mimosatide.Order) string {
	return order.Placement + " " + string(order.Kind) + " " + order.Adapter
}

// startOrder says whether an order is to be sent now, and notes that it is.
func (keeper *Keeper) startOrder(placement Placement, order mimosatide.Order) bool {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	now := keeper.clock.Now()
	state, known := keeper.orders[orderKey(order)]
	if !known {
		state = &orderState{}
		keeper.orders[orderKey(order)] = state
	}
	if state.underWay > 0 || (order.Kind != mimosatide.OrderUnload && keeper.closed[placement.ID]) {
		return false
	}
	if state.number == order.Number && now-state.sent < orderEvery {
		return false
	}
	state.number, state.sent = order.Number, now
	state.underWay++
	return true
}

func (keeper *Keeper) sendOrder(ctx context.Context, spec mimosatide.TargetSpec, placement Placement, order mimosatide.Order) {
	if !keeper.stillTimely(order) {
		return
	}
	answer, err := keeper.targets.SendOrder(ctx, spec, order)
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	now := keeper.clock.Now()
	state := keeper.orders[orderKey(order)]
	state.underWay--
	keeper.log.Info("order sent", "kind", string(order.Kind), "placement", order.Placement, "target", spec.Name,
		"number", order.Number, "answer", string(answer), "adapter", order.Adapter)
	if err != nil {
		state.unanswered = now
		return
	}
	switch {
	case answer == mimosatide.OrderStale:
		// A newer number exists: the rows are read again, and the order gets a number of its own.
		delete(keeper.rows, ModelKey(placement.Model))
		delete(keeper.rows, TargetKey(placement.Target))
		keeper.stale[placement.ID] = order.Number
	case order.Kind == mimosatide.OrderUnload && answer == mimosatide.OrderAbsent:
		// An answer to an order that was sent earlier says nothing of what has arrived since.
		keeper.state(placement.Model).unloaded[placement.ID] = state.sent
	}
	keeper.state(placement.Model).due = now
	keeper.wake()
}

// stillTimely drops an order that this process was paused over: the placement
// may have been given up meanwhile, and the engine may have forgotten the number.
func (keeper *Keeper) stillTimely(order mimosatide.Order) bool {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	state := keeper.orders[orderKey(order)]
	if keeper.clock.Now()-state.sent <= orderEvery {
		return true
	}
	state.underWay--
	return false
}

// isHarmless says whether no process can have an order for the placement under way; the lock is held.
func (keeper *Keeper) isHarmless(now time.Duration, placement Placement) bool {
	harmless := true
	for _, orderer := range placement.Orderers {
		// Each one is looked at, so that the ends of all are timed together.
		settled := keeper.orderSettled(now, placement.ID, orderer)
		harmless = harmless && settled
	}
	return harmless
}

func (keeper *Keeper) orderSettled(now time.Duration, placement string, orderer Orderer) bool {
	if orderer == keeper.fleet.Self() {
		return keeper.ownOrdersSettled(now, placement)
	}
	return keeper.harmless[harmlessKey{placement: placement, orderer: orderer}] || keeper.endedLongAgo(now, orderer)
}

// endedLongAgo says whether a process ended so long ago that none of its orders
// can still be on its way; the lock is held.
func (keeper *Keeper) endedLongAgo(now time.Duration, orderer Orderer) bool {
	if !keeper.fleet.ProcessEnded(orderer) && keeper.incarnations[orderer.Address] <= orderer.Incarnation {
		return false
	}
	since, known := keeper.ended[orderer]
	if !known {
		keeper.ended[orderer] = now
		return false
	}
	return now-since >= orderSettle
}

// ownOrdersSettled says whether no load order of this process can still arrive; the lock is held.
func (keeper *Keeper) ownOrdersSettled(now time.Duration, placement string) bool {
	for key, state := range keeper.orders {
		if !isLoadOf(key, placement) {
			continue
		}
		recent := state.unanswered > 0 && now-state.unanswered < orderSettle
		if state.underWay > 0 || recent {
			return false
		}
	}
	return true
}

func isLoadOf(key, placement string) bool {
	for _, kind := range []mimosatide.OrderKind{mimosatide.OrderLoad, mimosatide.OrderLoadAdapter} {
		prefix := placement + " " + string(kind)
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			return true
		}
	}
	return false
}

// askHarmless asks the other processes that may have an order under way.
func (keeper *Keeper) askHarmless(placement Placement) {
	for _, orderer := range placement.Orderers {
		if orderer != keeper.fleet.Self() && !keeper.fleet.ProcessEnded(orderer) {
			keeper.peers.Send(orderer.Address, AskHarmless{Placement: placement.ID})
		}
	}
}

// TakeAskHarmless closes a placement's orders here, and promises so once none is under way.
func (keeper *Keeper) TakeAskHarmless(from string, ask AskHarmless) {
	keeper.lock.Lock()
	keeper.closed[ask.Placement] = true
	settled := keeper.ownOrdersSettled(keeper.clock.Now(), ask.Placement)
	// The cached row is from before another process took over.
	delete(keeper.rows, ModelKey(ModelOfID(ask.Placement)))
	keeper.lock.Unlock()
	if settled {
		keeper.peers.Send(from, Harmless{Placement: ask.Placement, Incarnation: keeper.fleet.Self().Incarnation})
	}
}

// TakeHarmless notes another process's promise.
func (keeper *Keeper) TakeHarmless(from string, promise Harmless) {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	orderer := Orderer{Address: from, Incarnation: promise.Incarnation}
	keeper.harmless[harmlessKey{placement: promise.Placement, orderer: orderer}] = true
	// Only one process at a time can listen at an address: earlier ones have ended.
	keeper.incarnations[from] = max(keeper.incarnations[from], promise.Incarnation)
	keeper.state(ModelOfID(promise.Placement)).due = keeper.clock.Now()
}
