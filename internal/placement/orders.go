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
	sentAt       time.Duration
	fencingToken mimosatide.FencingToken
	// unansweredAt is when the last order failed without an answer; zero if none has.
	unansweredAt time.Duration
}

// sendOrders sends the orders that the model's placements need, and asks the
// other orderers to quiesce the unloaded ones.
func (controller *Controller) sendOrders(ctx context.Context, model string) {
	controller.lock.Lock()
	row, err := DecodeModelRow(controller.rowCache[ModelKey(model)].value)
	controller.lock.Unlock()
	if err != nil {
		return
	}
	for _, placement := range row.Placements {
		spec, known := controller.store.View().Document.GetTarget(placement.Target)
		if !known || !placement.needsOrder() || !slices.Contains(placement.Orderers, controller.fleet.Self()) {
			continue
		}
		for _, order := range controller.ordersFor(placement) {
			if controller.claimOrder(placement, order) {
				controller.submit(func() { controller.sendOrder(ctx, spec, placement, order) })
			}
		}
		if placement.State == Unloading && !spec.ChecksFencing {
			controller.requestQuiescence(placement)
		}
	}
}

// ordersFor returns the orders for a placement that the engine has not completed.
func (controller *Controller) ordersFor(placement Placement) []mimosatide.Order {
	base := mimosatide.Order{
		Placement:    placement.ID,
		Model:        placement.Model,
		Version:      placement.Version,
		FencingToken: placement.FencingToken,
	}
	model, _ := controller.store.View().Document.GetModel(placement.Model)
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

// orderKey returns the key of an order in Controller.orders.
func orderKey(order mimosatide.Order) string {
	return order.Placement + " " + string(order.Kind) + " " + order.Adapter
}

// claimOrder reports whether an order is to be sent now, and marks it as in flight if so.
func (controller *Controller) claimOrder(placement Placement, order mimosatide.Order) bool {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	now := controller.clock.Now()
	state, known := controller.orders[orderKey(order)]
	if !known {
		state = &orderState{}
		controller.orders[orderKey(order)] = state
	}
	if state.inFlight > 0 || (order.Kind != mimosatide.OrderUnload && controller.loadsStopped[placement.ID]) {
		return false
	}
	if state.fencingToken == order.FencingToken && now-state.sentAt < orderRetryInterval {
		return false
	}
	state.fencingToken, state.sentAt = order.FencingToken, now
	state.inFlight++
	return true
}

// sendOrder sends a claimed order and records the engine's answer, or that none came.
func (controller *Controller) sendOrder(ctx context.Context, spec mimosatide.TargetSpec, placement Placement, order mimosatide.Order) {
	if !controller.mayStillSend(order) {
		return
	}
	answer, err := controller.targets.SendOrder(ctx, spec, order)
	controller.lock.Lock()
	defer controller.lock.Unlock()
	now := controller.clock.Now()
	state := controller.orders[orderKey(order)]
	state.inFlight--
	controller.log.Info("order sent", "kind", string(order.Kind), "placement", order.Placement, "target", spec.Name,
		"number", order.FencingToken, "answer", string(answer), "adapter", order.Adapter)
	if err != nil {
		state.unansweredAt = now
		return
	}
	switch {
	case answer == mimosatide.OrderStale:
		// The engine has seen a higher fencing token: read the rows again and give the order a new token.
		delete(controller.rowCache, ModelKey(placement.Model))
		delete(controller.rowCache, TargetKey(placement.Target))
		controller.staleFencingTokens[placement.ID] = order.FencingToken
	case order.Kind == mimosatide.OrderUnload && answer == mimosatide.OrderAbsent:
		// The answer says nothing about load orders that arrived after the unload order was sent.
		controller.state(placement.Model).confirmedUnloadSentAt[placement.ID] = state.sentAt
	}
	controller.state(placement.Model).nextRun = now
	controller.wake()
}

// mayStillSend reports whether a claimed order may be sent, and releases the claim
// if not: after a pause of this process, the placement may have been unloaded and
// the engine may have lost the fencing token that would reject the order.
func (controller *Controller) mayStillSend(order mimosatide.Order) bool {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	state := controller.orders[orderKey(order)]
	if controller.clock.Now()-state.sentAt <= orderRetryInterval {
		return true
	}
	state.inFlight--
	return false
}

// isQuiesced reports whether no process can have a load order for the placement in
// flight. The caller holds the lock.
func (controller *Controller) isQuiesced(now time.Duration, placement Placement) bool {
	quiesced := true
	for _, orderer := range placement.Orderers {
		// Check every orderer, so that the waits for ended processes run in parallel, not
		// one after the other.
		ordererQuiesced := controller.isOrdererQuiesced(now, placement.ID, orderer)
		quiesced = quiesced && ordererQuiesced
	}
	return quiesced
}

// isOrdererQuiesced reports whether a process can't have a load order for the
// placement in flight. The caller holds the lock.
func (controller *Controller) isOrdererQuiesced(now time.Duration, placement string, orderer Orderer) bool {
	if orderer == controller.fleet.Self() {
		return controller.ownLoadsQuiesced(now, placement)
	}
	return controller.quiesced[quiescedKey{placement: placement, orderer: orderer}] || controller.endedLongAgo(now, orderer)
}

// endedLongAgo reports whether this node has known for maxOrderDelay that the
// process ended, so that none of its orders can still arrive. The caller holds the lock.
func (controller *Controller) endedLongAgo(now time.Duration, orderer Orderer) bool {
	if !controller.fleet.ProcessEnded(orderer) && controller.newestIncarnation[orderer.Address] <= orderer.Incarnation {
		return false
	}
	since, known := controller.endedAt[orderer]
	if !known {
		controller.endedAt[orderer] = now
		return false
	}
	return now-since >= maxOrderDelay
}

// ownLoadsQuiesced reports whether no load order of this process can still arrive. The caller holds the lock.
func (controller *Controller) ownLoadsQuiesced(now time.Duration, placement string) bool {
	for key, state := range controller.orders {
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
func (controller *Controller) requestQuiescence(placement Placement) {
	for _, orderer := range placement.Orderers {
		if orderer != controller.fleet.Self() && !controller.fleet.ProcessEnded(orderer) {
			controller.peers.Send(orderer.Address, QuiesceRequest{Placement: placement.ID})
		}
	}
}

// HandleQuiesceRequest stops this process's load orders for a placement, and confirms
// it if none can still arrive. Without a confirmation, the sender asks again.
func (controller *Controller) HandleQuiesceRequest(from string, request QuiesceRequest) {
	controller.lock.Lock()
	controller.loadsStopped[request.Placement] = true
	quiesced := controller.ownLoadsQuiesced(controller.clock.Now(), request.Placement)
	// The cached row is outdated: another process has taken over the model.
	delete(controller.rowCache, ModelKey(ModelOfID(request.Placement)))
	controller.lock.Unlock()
	if quiesced {
		controller.peers.Send(from, QuiesceConfirmation{Placement: request.Placement, Incarnation: controller.fleet.Self().Incarnation})
	}
}

// HandleQuiesceConfirmation records that another process has quiesced a placement.
func (controller *Controller) HandleQuiesceConfirmation(from string, confirmation QuiesceConfirmation) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	orderer := Orderer{Address: from, Incarnation: confirmation.Incarnation}
	controller.quiesced[quiescedKey{placement: confirmation.Placement, orderer: orderer}] = true
	// Only one process at a time can listen on an address, so earlier incarnations have ended.
	controller.newestIncarnation[from] = max(controller.newestIncarnation[from], confirmation.Incarnation)
	controller.state(ModelOfID(confirmation.Placement)).nextRun = controller.clock.Now()
}
