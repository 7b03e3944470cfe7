package quarantine

import (
	"maps"
	"slices"
	"time"
)

// charge sums up what a feature is suspected of since its last acquittal.
type charge struct {
	feature Feature
	firstAt time.Time
	// crashes holds when each crash was first suspected. A request that is sent again is
	// suspected anew, so counted leaves out the crashes under contents that were suspected
	// of an earlier crash.
	crashes  map[uint64]time.Time
	counted  map[uint64]time.Time
	contents map[Feature]bool
	// depth is the position of a part in the prompts, from the first; deeper parts are
	// shared by fewer requests.
	depth int
	// answered says that a request with the feature was answered well shortly before the
	// feature was suspected. Such crashes may have another cause.
	answered bool
	// weight orders the suspects: crashes, less one if the feature was answered.
	weight int
}

func newCharge(feature Feature, firstAt time.Time) *charge {
	return &charge{
		feature: feature, firstAt: firstAt,
		crashes: map[uint64]time.Time{}, counted: map[uint64]time.Time{}, contents: map[Feature]bool{},
	}
}

// add adds a suspicion.
func (charged *charge) add(suspicion Suspicion, depth int) {
	charged.depth = max(charged.depth, depth)
	if _, known := charged.crashes[suspicion.Crash]; !known {
		charged.crashes[suspicion.Crash] = suspicion.At
	}
	content := suspicion.Features.Content
	if _, known := charged.counted[suspicion.Crash]; !known && !charged.contents[content] {
		charged.counted[suspicion.Crash] = suspicion.At
	}
	charged.contents[content] = true
}

// suspectedMore reports whether a feature is a likelier cause than another one: the one
// with more crashes, that was not answered before, or that fewer requests share.
func (charged *charge) suspectedMore(other *charge) bool {
	switch {
	case charged.weight != other.weight:
		return charged.weight > other.weight
	case charged.answered != other.answered:
		return !charged.answered
	case charged.depth != other.depth:
		return charged.depth > other.depth
	}
	return charged.feature < other.feature
}

// spaced counts crashes that are at least crashSpacing apart.
func spaced(crashes map[uint64]time.Time) int {
	count := 0
	var last time.Time
	for _, at := range slices.SortedFunc(maps.Values(crashes), time.Time.Compare) {
		if count == 0 || at.Sub(last) >= crashSpacing {
			count++
			last = at
		}
	}
	return count
}

// judge quarantines what has been suspected of enough crashes, and releases the parts
// whose crashes are explained by another one.
func (tracker *Tracker) judge(now time.Time) {
	tracker.expire(now)
	for {
		feature, crashes, found := tracker.culprit(now)
		if !found {
			break
		}
		tracker.quarantined[feature] = now
		delete(tracker.ended, feature)
		tracker.recordChange(feature)
		tracker.log.Info("requests quarantined", "feature", feature, "crashes", crashes, "term", term)
	}
	tracker.release(now)
}

// culprit returns a feature that is suspected of enough crashes to be quarantined, and
// their number.
func (tracker *Tracker) culprit(now time.Time) (Feature, int, bool) {
	contents, parts := tracker.charges(now)
	for feature := range tracker.ended {
		for _, charges := range []map[Feature]*charge{contents, parts} {
			if again, suspected := charges[feature]; suspected && len(tracker.unexplained(again, parts)) > 0 {
				return feature, len(again.crashes), true
			}
		}
	}
	for _, content := range contents {
		if !content.answered && len(content.crashes) >= contentCrashes || spaced(content.crashes) >= doubtfulCrashes {
			return content.feature, len(content.crashes), true
		}
	}
	return tracker.guiltiest(parts)
}

// charges returns the charges of the contents that are not quarantined, and of all parts.
func (tracker *Tracker) charges(now time.Time) (contents, parts map[Feature]*charge) {
	contents, parts = map[Feature]*charge{}, map[Feature]*charge{}
	for _, suspicion := range tracker.suspicions {
		if !tracker.holds(suspicion.Features, now) {
			tracker.charge(contents, suspicion, suspicion.Features.Content, 0)
		}
		for depth, part := range suspicion.Features.Parts {
			tracker.charge(parts, suspicion, part, depth)
		}
	}
	for _, charges := range []map[Feature]*charge{contents, parts} {
		for _, charged := range charges {
			charged.answered = tracker.wasAnsweredBefore(charged)
			charged.weight = spaced(charged.counted)
			if charged.answered {
				charged.weight--
			}
		}
	}
	return contents, parts
}

// charge adds a suspicion to the charge of a feature, unless it was acquitted since.
func (tracker *Tracker) charge(charges map[Feature]*charge, suspicion Suspicion, feature Feature, depth int) {
	if !suspicion.At.After(tracker.acquittals[feature].at) {
		return
	}
	known, found := charges[feature]
	if !found {
		known = newCharge(feature, suspicion.At)
		charges[feature] = known
	}
	known.add(suspicion, depth)
}

func (tracker *Tracker) wasAnsweredBefore(known *charge) bool {
	at, found := tracker.goodAnswers[known.feature]
	return found && known.firstAt.Sub(at) < goodMemory
}

// guiltiest returns the most suspected part that is not quarantined and has enough crashes
// which no quarantined part explains. They have to be more if they may well have another
// cause: the part was answered before, or another one is suspected of as many.
func (tracker *Tracker) guiltiest(parts map[Feature]*charge) (Feature, int, bool) {
	var worst *charge
	left := map[Feature]int{}
	for feature, part := range parts {
		if _, held := tracker.quarantined[feature]; held {
			continue
		}
		left[feature] = spaced(tracker.unexplained(part, parts))
		if left[feature] >= partCrashes && (worst == nil || part.suspectedMore(worst)) {
			worst = part
		}
	}
	if worst == nil {
		return "", 0, false
	}
	crashes, doubtful := left[worst.feature], worst.answered
	for feature, others := range left {
		doubtful = doubtful || feature != worst.feature && others >= crashes
	}
	return worst.feature, crashes, !doubtful || crashes >= doubtfulCrashes
}

// unexplained returns the counted crashes of a part without those of a quarantined part
// that is suspected more.
func (tracker *Tracker) unexplained(part *charge, parts map[Feature]*charge) map[uint64]time.Time {
	rest := maps.Clone(part.counted)
	for feature := range tracker.quarantined {
		if other, known := parts[feature]; known && other != part && other.suspectedMore(part) {
			maps.DeleteFunc(rest, func(crash uint64, _ time.Time) bool {
				_, shared := other.crashes[crash]
				return shared
			})
		}
	}
	return rest
}

// release ends the quarantine of the parts that would not be quarantined any more, because
// another part explains their crashes. A node that knew only some of the crashes may have
// quarantined a part that sound requests share.
func (tracker *Tracker) release(now time.Time) {
	_, parts := tracker.charges(now)
	for feature := range tracker.quarantined {
		part, known := parts[feature]
		if !known {
			continue
		}
		rest := tracker.unexplained(part, parts)
		if len(rest) < len(part.counted) && spaced(rest) < partCrashes {
			tracker.releasePart(feature, len(part.counted), "another part in quarantine", now)
		} else if rival, found := likelierCause(part, parts); found {
			tracker.releasePart(feature, len(part.counted), string(rival), now)
		}
	}
}

func (tracker *Tracker) releasePart(feature Feature, crashes int, cause string, now time.Time) {
	tracker.log.Info("crashes explained by another part", "feature", feature, "crashes", crashes, "by", cause)
	tracker.acquit(feature, acquittal{at: now, own: true})
}

// likelierCause returns a part that is suspected more than another one, and of all of its
// crashes, if these are too few to quarantine one of the two.
func likelierCause(part *charge, parts map[Feature]*charge) (Feature, bool) {
	crashes := spaced(part.counted)
	if crashes < partCrashes || crashes >= doubtfulCrashes {
		return "", false
	}
	for feature, other := range parts {
		if other != part && other.suspectedMore(part) && other.hasAll(part.counted) {
			return feature, true
		}
	}
	return "", false
}

// hasAll reports whether the feature is suspected of all of the crashes.
func (charged *charge) hasAll(crashes map[uint64]time.Time) bool {
	for crash := range crashes {
		if _, known := charged.crashes[crash]; !known {
			return false
		}
	}
	return true
}
