package quarantine

import (
	"slices"
	"time"
)

// recordChange marks a feature whose quarantine has begun or ended as one to be saved, if
// this node has cut requests with it or has saved it before: all nodes come to the same
// decisions, and those that took part are enough.
func (tracker *Tracker) recordChange(feature Feature) {
	ownSuspicion := func(known Suspicion) bool { return known.own && known.Features.has(feature) }
	if tracker.saved[feature] || slices.ContainsFunc(tracker.suspicions, ownSuspicion) {
		tracker.markUnsaved(feature)
	}
}

func (tracker *Tracker) markUnsaved(feature Feature) {
	tracker.unsaved[feature] = true
	tracker.signalUnsaved()
}

// signalUnsaved wakes the archive.
func (tracker *Tracker) signalUnsaved() {
	select {
	case tracker.changed <- struct{}{}:
	default:
	}
}

// changes returns up to limit features that have to be saved, with the begin of their
// quarantine, or the zero time if it has ended for good.
func (tracker *Tracker) changes(limit int) map[Feature]time.Time {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	changes := map[Feature]time.Time{}
	for feature := range tracker.unsaved {
		if len(changes) == limit {
			break
		}
		changes[feature] = tracker.begin(feature)
	}
	return changes
}

// begin returns when the last quarantine of a feature began; the zero time if there is
// none, or none that a single crash would renew.
func (tracker *Tracker) begin(feature Feature) time.Time {
	if since, held := tracker.quarantined[feature]; held {
		return since
	}
	if end, ended := tracker.ended[feature]; ended {
		return end.Add(-term)
	}
	return time.Time{}
}

// markSaved records that changes are in the store; what has changed since remains unsaved.
func (tracker *Tracker) markSaved(changes map[Feature]time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	for feature, begin := range changes {
		if begin.IsZero() {
			delete(tracker.saved, feature)
		} else {
			tracker.saved[feature] = true
		}
		if tracker.begin(feature).Equal(begin) {
			delete(tracker.unsaved, feature)
		}
	}
	if len(tracker.unsaved) > 0 {
		tracker.signalUnsaved()
	}
}

// restore takes a quarantine that an earlier process has saved. One whose term is over is
// renewed by a single crash; one that nothing would renew is deleted.
func (tracker *Tracker) restore(feature Feature, since, now time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if since.After(now) {
		since = now
	}
	if now.Sub(since) > term+relapseTime {
		tracker.markUnsaved(feature)
		return
	}
	if !tracker.begin(feature).IsZero() || !since.After(tracker.lifted[feature].at) || tracker.acquittedSince(feature, since) {
		return
	}
	tracker.quarantined[feature] = since
	tracker.log.Info("requests quarantined", "feature", feature, "restored", true, "age", now.Sub(since))
	tracker.expire(now)
}
