package placement

import (
	"maps"
	"strings"
	"time"

	"mimosatide.example/mimosatide"
)

// modelState is what the controller knows about one model.
type modelState struct {
	// demandByNode is the newest demand of each node, by the node's address.
	demandByNode map[string]nodeDemand
	// lastUsed is when a node last reported waiting or running requests.
	lastUsed time.Duration
	// nextRun is when the model is reconciled next; running is set during a
	// reconciliation, and rerun if another one is to follow at once.
	nextRun time.Duration
	running bool
	rerun   bool
	// published is the list last sent to the subscribers; isPublished is false before the first.
	published   ModelPlacements
	isPublished bool
	// subscribers holds when each node last reported demand, by the node's address.
	subscribers map[string]time.Duration
	// evictRequestedAt is when another model last requested a placement's memory, by placement.
	evictRequestedAt map[string]time.Duration
	// blockedReason is the reason why the model can't be loaded; waitsForSlot is set when
	// it waits for a weight store slot.
	blockedReason string
	waitsForSlot  bool
	// skippedCandidates is by how many engines the choice of candidates is shifted, as
	// the earlier ones were full. It keeps growing; the choice wraps round.
	skippedCandidates int
	// confirmedUnloadSentAt is when the newest unload order that the engine confirmed was sent, by placement.
	confirmedUnloadSentAt map[string]time.Duration
	// quiescedAt is when this node first found a placement quiesced, by placement.
	quiescedAt map[string]time.Duration
}

// nodeDemand is a node's demand and when it was received.
type nodeDemand struct {
	report DemandReport
	at     time.Duration
}

// remoteStake is the stake of a model that waits at another home node, and when it was received.
type remoteStake struct {
	stake float64
	at    time.Duration
}

// cachedRow is a row of the table and when it was read or written.
type cachedRow struct {
	value   []byte
	version mimosatide.RowVersion
	at      time.Duration
}

// quiescedKey identifies an orderer's confirmation that it has quiesced a placement.
type quiescedKey struct {
	placement string
	orderer   Orderer
}

// state returns the state of a model, and adds it if it is new. The caller holds the lock.
func (controller *Controller) state(model string) *modelState {
	known, found := controller.models[model]
	if !found {
		known = &modelState{
			demandByNode:          map[string]nodeDemand{},
			subscribers:           map[string]time.Duration{},
			evictRequestedAt:      map[string]time.Duration{},
			confirmedUnloadSentAt: map[string]time.Duration{},
			quiescedAt:            map[string]time.Duration{},
			lastUsed:              controller.clock.Now(),
		}
		controller.models[model] = known
	}
	return known
}

// forgetPlacement drops the state of a placement whose memory has been released.
func (controller *Controller) forgetPlacement(placement Placement) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	state := controller.state(placement.Model)
	delete(state.confirmedUnloadSentAt, placement.ID)
	delete(state.quiescedAt, placement.ID)
	delete(state.evictRequestedAt, placement.ID)
	delete(controller.staleFencingTokens, placement.ID)
	delete(controller.engine(placement.Target).lastReported, placement.ID)
	for _, orderer := range placement.Orderers {
		delete(controller.quiesced, quiescedKey{placement: placement.ID, orderer: orderer})
	}
	maps.DeleteFunc(controller.orders, func(key string, order *orderState) bool {
		return strings.HasPrefix(key, placement.ID+" ") && order.inFlight == 0
	})
}
