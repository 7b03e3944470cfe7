package registry

import (
	"maps"
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

// AssumeReturned takes the zones of all targets for ones whose evacuation has just ended, until ApplyReturns says
// which ones have: a process that starts does not know of an evacuation that has ended before.
func (registry *Registry) AssumeReturned(now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	registry.assumedAt = now
	registry.markChanged()
}

// Returns returns when the evacuation of zones has recently ended, and whether these are all: false while
// AssumeReturned is in force.
func (registry *Registry) Returns(now time.Time) (returns map[string]time.Time, all bool) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	return maps.Clone(registry.returns), registry.assumedAt.IsZero() || now.Sub(registry.assumedAt) > returnMemory
}

// ApplyReturns takes what a host reports of its Returns. If these are all, it ends what AssumeReturned began.
func (registry *Registry) ApplyReturns(returns map[string]time.Time, all bool, now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	changed := all && !registry.assumedAt.IsZero()
	if changed {
		registry.log.Info("returned zones known", "zones", len(returns), "after", now.Sub(registry.assumedAt))
		registry.assumedAt = time.Time{}
	}
	for zone, at := range returns {
		_, known := registry.returns[zone]
		if _, evacuated := registry.evacuations[zone]; known || evacuated || at.After(now) || now.Sub(at) > returnMemory {
			continue
		}
		registry.returns[zone] = at
		registry.log.Info("evacuation ended before", "zone", zone, "ago", now.Sub(at))
		changed = true
	}
	if changed {
		registry.markChanged()
	}
}

// returnedAt returns when the evacuation of a zone may last have ended.
func (registry *Registry) returnedAt(zone string) time.Time {
	if at := registry.returns[zone]; at.After(registry.assumedAt) {
		return at
	}
	return registry.assumedAt
}
