package registry

import (
	"time"

	"mimosatide.example/mimosatide"
)

// restoredHold is how long a removed target whose row a restore of the store brought back is
// kept away. A live target writes its row again sooner, and the row of an ended one is
// deleted again.
const restoredHold = 10 * time.Second

// removedMark says that an incarnation of a target was removed.
type removedMark struct {
	born time.Time
	at   time.Time
}

// PutRestored adds or updates targets as their rows describe them to which the store was
// restored. These may be older than what was known: a target that was removed is taken for
// leaving until its row is written again, and an incarnation before the known one is ignored.
func (registry *Registry) PutRestored(instances []mimosatide.Instance, now time.Time) {
	if len(instances) == 0 {
		return
	}
	registry.lock.Lock()
	defer registry.lock.Unlock()
	var taken []mimosatide.Instance
	held := map[string]bool{}
	for _, instance := range instances {
		if known, found := registry.instances[instance.ID]; found && known.Born.After(instance.Born) {
			registry.log.Info("restored row of an earlier incarnation ignored", "target", instance.ID,
				"born", instance.Born.UnixMilli(), "known", known.Born.UnixMilli())
			continue
		}
		if mark, removed := registry.removed[instance.ID]; removed && !instance.Born.After(mark.born) {
			held[instance.ID] = true
		}
		taken = append(taken, instance)
	}
	registry.putAllLocked(taken)
	for id := range held {
		registry.heldBack[id] = now.Add(restoredHold)
		registry.log.Info("removed target back by a restore", "target", id, "service", registry.instances[id].Service)
	}
}

// expireRemoved forgets incarnations that were removed long ago, and reports whether targets
// are no longer kept away.
func (registry *Registry) expireRemoved(now time.Time) bool {
	for id, mark := range registry.removed {
		if now.Sub(mark.at) > leavingRetention {
			delete(registry.removed, id)
		}
	}
	expired := false
	for id, until := range registry.heldBack {
		if now.After(until) {
			delete(registry.heldBack, id)
			expired = true
		}
	}
	return expired
}
