package quarantine

import (
	"slices"
	"time"
)

// saveTolerance is how far the nodes' times of the same begin of a quarantine may differ: far
// less than the time between two of its begins.
const saveTolerance = 30 * time.Second

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

// remembers reports whether there is anything that the store should hold, or hold no more.
func (tracker *Tracker) remembers() bool {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	return len(tracker.quarantined)+len(tracker.ended)+len(tracker.lifted) > 0
}

// compare marks the quarantines as unsaved that are lost from the rows of the store, and those
// of which the rows are outdated: they began again or were lifted since.
func (tracker *Tracker) compare(rows map[Feature]time.Time) (lost, outdated int) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	for _, features := range []map[Feature]time.Time{tracker.quarantined, tracker.ended} {
		for feature := range features {
			since, found := rows[feature]
			switch {
			case !found:
				lost++
			case tracker.begin(feature).Sub(since).Abs() > saveTolerance:
				outdated++
			default:
				continue
			}
			tracker.markUnsaved(feature)
		}
	}
	for feature, since := range rows {
		if tracker.begin(feature).IsZero() && tracker.lifted[feature].at.After(since) {
			outdated++
			tracker.markUnsaved(feature)
		}
	}
	return lost, outdated
}
