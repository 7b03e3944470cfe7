package standin

import (
	"context"
	"sync"
	"time"
)

// progressInterval is the interval at which a load's progress is updated.
const progressInterval = 10 * time.Millisecond

// weightStore simulates a store of limited throughput: up to slots loads run at
// full speed, more of them share that throughput equally.
type weightStore struct {
	lock       sync.Mutex
	slots      int
	running    int
	maxRunning int
	// speedPercent is the store's speed in percent of full speed.
	speedPercent int
}

func newWeightStore(settings Settings) *weightStore {
	return &weightStore{slots: settings.StoreSlots, speedPercent: 100}
}

// setSpeed sets the speed, at least one percent.
func (store *weightStore) setSpeed(percent int) {
	store.lock.Lock()
	defer store.lock.Unlock()
	store.speedPercent = max(1, percent)
}

// load waits for a load that takes loadTime at full speed. It returns false if the
// context ended first.
func (store *weightStore) load(ctx context.Context, loadTime time.Duration) bool {
	store.lock.Lock()
	store.running++
	store.maxRunning = max(store.maxRunning, store.running)
	store.lock.Unlock()
	defer func() {
		store.lock.Lock()
		store.running--
		store.lock.Unlock()
	}()
	for remaining := loadTime; remaining > 0; {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(progressInterval):
		}
		remaining -= time.Duration(float64(progressInterval) * store.speedFactor())
	}
	return true
}

// speedFactor returns the present speed of each load as a fraction of full speed.
func (store *weightStore) speedFactor() float64 {
	store.lock.Lock()
	defer store.lock.Unlock()
	factor := float64(store.speedPercent) / 100
	if store.running > store.slots {
		factor *= float64(store.slots) / float64(store.running)
	}
	return factor
}

// maxConcurrent returns the largest number of loads that ran at once.
func (store *weightStore) maxConcurrent() int {
	store.lock.Lock()
	defer store.lock.Unlock()
	return store.maxRunning
}
