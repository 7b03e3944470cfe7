package placement

import (
	"maps"
	"strings"
	"time"

	"mimosatide.example/mimosatide"
)

// modelState is what the keeper knows of one model.
type modelState struct {
	// wants is the demand by the node that stated it.
	wants   map[string]wantOf
	lastUse time.Duration
	// due is when the model is looked at next; busy is set while it is, and
	// again when something has happened meanwhile.
	due   time.Duration
	busy  bool
	again bool
	// list is what the listeners were told last; listed is false before that.
	list      List
	listed    bool
	listeners map[string]time.Duration
	// evict is when another model last asked for a placement's memory.
	evict map[string]time.Duration
	// holdup is why the model isn't loaded; slotWait is set when it is the weight store.
	holdup   string
	slotWait bool
	// skipped is how many candidates were found to be full.
	skipped int
	// unloaded is when the newest answered unload of a placement was sent.
	unloaded map[string]time.Duration
	// harmlessAt is when this node first knew that no order for a placement was under way.
	harmlessAt map[string]time.Duration
}

// wantOf is a node's demand with the time of its statement.
type wantOf struct {
	want Want
	at   time.Duration
}

// stakeOf is what waits at another home with the time of its statement.
type stakeOf struct {
	stake float64
	at    time.Duration
}

// cachedRow is a row of the table with the time of its read.
type cachedRow struct {
	value   []byte
	version mimosatide.RowVersion
	at      time.Duration
}

// harmlessKey names an orderer's promise about a placement.
type harmlessKey struct {
	placement string
	orderer   Orderer
}

// state returns what is known of a model; the lock is held.
func (keeper *Keeper) state(model string) *modelState {
	known, found := keeper.models[model]
	if !found {
		known = &modelState{
			wants:      map[string]wantOf{},
			listeners:  map[string]time.Duration{},
			evict:      map[string]time.Duration{},
			unloaded:   map[string]time.Duration{},
			harmlessAt: map[string]time.Duration{},
			lastUse:    keeper.clock.Now(),
		}
		keeper.models[model] = known
	}
	return known
}

// forgetPlacement drops what was kept about a placement whose memory is free.
func (keeper *Keeper) forgetPlacement(placement Placement) {
	keeper.lock.Lock()
	defer keeper.lock.Unlock()
	state := keeper.state(placement.Model)
	delete(state.unloaded, placement.ID)
	delete(state.harmlessAt, placement.ID)
	delete(state.evict, placement.ID)
	delete(keeper.stale, placement.ID)
	delete(keeper.engine(placement.Target).seen, placement.ID)
	for _, orderer := range placement.Orderers {
		delete(keeper.harmless, harmlessKey{placement: placement.ID, orderer: orderer})
	}
	maps.DeleteFunc(keeper.orders, func(key string, order *orderState) bool {
		return strings.HasPrefix(key, placement.ID+" ") && order.underWay == 0
	})
}
