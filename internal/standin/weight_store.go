package standin

import (
	"context"
	"sync"
	"time"
)

// loadStep is how often a load's progress is counted.
const loadStep = 10 * time.Millisecond

// weightStore lets a few loads run at full speed and more of them proportionally slower.
type weightStore struct {
	lock    sync.Mutex
	slots   int
	running int
	highest int
	// speed is in percent of full speed.
	speed int
}

func newWeightStore(settings Settings) *weightStore {
	return &weightStore{slots: settings.StoreSlots, speed: 100}
}

func (store *weightStore) slowDown(percent int) {
	store.lock.Lock()
	defer store.lock.Unlock()
	store.speed = max(1, percent)
}

// load takes as long as the rate limit makes it, and says whether it was finished.
func (store *weightStore) load(ctx context.Context, full time.Duration) bool {
	store.lock.Lock()
	store.running++
	store.highest = max(store.highest, store.running)
	store.lock.Unlock()
	defer func() {
		store.lock.Lock()
		store.running--
		store.lock.Unlock()
	}()
	for left := full; left > 0; {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(loadStep):
		}
		left -= time.Duration(float64(loadStep) * store.share())
	}
	return true
}

func (store *weightStore) share() float64 {
	store.lock.Lock()
	defer store.lock.Unlock()
	share := float64(store.speed) / 100
	if store.running > store.slots {
		share *= float64(store.slots) / float64(store.running)
	}
	return share
}

func (store *weightStore) most() int {
	store.lock.Lock()
	defer store.lock.Unlock()
	return store.highest
}
