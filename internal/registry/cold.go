package registry

import (
	"time"

	"mimosatide.example/mimosatide"
)

// coldTolerance is by how much longer than known a target has to be cold for the targets to change: what answers
// say differs by the time that each was under way.
const coldTolerance = 250 * time.Millisecond

// coldMark says until when an incarnation of a target counts as cold.
type coldMark struct {
	born  time.Time
	until time.Time
}

// MarkCold records that an answer of a target said that it stays cold until a time.
func (registry *Registry) MarkCold(instance mimosatide.Instance, until, now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	if registry.markColdLocked(instance, until, now) {
		registry.markChanged()
	}
}

// markColdLocked reports whether the target was not known to be cold for so long. Word of an earlier
// incarnation is ignored, and the time is never shortened: rows and answers may arrive out of order.
func (registry *Registry) markColdLocked(instance mimosatide.Instance, until, now time.Time) bool {
	known, found := registry.cold[instance.ID]
	if found && (known.born.After(instance.Born) || known.born.Equal(instance.Born) && !until.After(known.until.Add(coldTolerance))) {
		return false
	}
	registry.cold[instance.ID] = coldMark{born: instance.Born, until: until}
	if !found || !known.born.Equal(instance.Born) || now.After(known.until) {
		registry.log.Info("target cold", "target", instance.ID, "service", instance.Service, "zone", instance.Zone,
			"born", instance.Born.UnixMilli(), "left", until.Sub(now))
	}
	return true
}

// expireCold forgets the targets that are no longer cold.
func (registry *Registry) expireCold(now time.Time) {
	for id, mark := range registry.cold {
		if now.After(mark.until) {
			delete(registry.cold, id)
		}
	}
}
