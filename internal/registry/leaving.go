package registry

import (
	"time"

	"mimosatide.example/mimosatide"
)

const (
	// leavingRetention is how long it is remembered that an incarnation leaves after its row
	// is gone: longer than a leaving target goes on serving.
	leavingRetention = 10 * time.Minute
	// leavingReportTime is how long a target's own answer that it leaves is reported to peers.
	leavingReportTime = 5 * time.Second
)

// leavingMark says that an incarnation of a target leaves. It outlasts the target's row,
// because a late row or snapshot may still call the incarnation ready.
type leavingMark struct {
	born time.Time
	at   time.Time
	// answered is when an answer of the target to this node said so; zero if none did.
	answered time.Time
}

// MarkLeaving records that an answer of a target to this node said that the target leaves.
func (registry *Registry) MarkLeaving(instance mimosatide.Instance, now time.Time) {
	registry.markLeaving(instance.ID, instance.Born, now, now)
}

// MarkLeavingByPeer records that a target told a peer that it leaves.
func (registry *Registry) MarkLeavingByPeer(id string, born, now time.Time) {
	registry.markLeaving(id, born, now, time.Time{})
}

// ToldLeaving returns the targets whose answers recently told this node that they leave,
// with the start of the incarnation.
func (registry *Registry) ToldLeaving(now time.Time) map[string]time.Time {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	var told map[string]time.Time
	for id, mark := range registry.leaving {
		if mark.answered.IsZero() || now.Sub(mark.answered) > leavingReportTime {
			continue
		}
		if told == nil {
			told = map[string]time.Time{}
		}
		told[id] = mark.born
	}
	return told
}

func (registry *Registry) markLeaving(id string, born, now, answered time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	if !registry.markLeavingLocked(id, born, now, answered) {
		return
	}
	registry.log.Info("target says that it leaves", "target", id, "service", registry.instances[id].Service,
		"born", born.UnixMilli(), "fromAnswer", !answered.IsZero())
	registry.markChanged()
}

// markLeavingLocked reports whether the mark is new.
func (registry *Registry) markLeavingLocked(id string, born, now, answered time.Time) bool {
	mark, found := registry.leaving[id]
	if found && !born.After(mark.born) {
		if born.Equal(mark.born) && mark.answered.IsZero() {
			mark.answered = answered
			registry.leaving[id] = mark
		}
		return false
	}
	registry.leaving[id] = leavingMark{born: born, at: now, answered: answered}
	return true
}

// isLeaving reports whether a target's row or an answer said that this incarnation leaves, or
// whether it had been removed before the store was restored.
func (registry *Registry) isLeaving(instance mimosatide.Instance) bool {
	mark, found := registry.leaving[instance.ID]
	_, heldBack := registry.heldBack[instance.ID]
	return instance.Leaving || heldBack || found && !instance.Born.After(mark.born)
}

// expireLeaving forgets incarnations whose rows have long been gone.
func (registry *Registry) expireLeaving(now time.Time) {
	for id, mark := range registry.leaving {
		if _, known := registry.instances[id]; !known && now.Sub(mark.at) > leavingRetention {
			delete(registry.leaving, id)
		}
	}
}
