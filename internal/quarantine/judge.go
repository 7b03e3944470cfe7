package quarantine

import "time"

// charge sums up what a feature is suspected of since its last acquittal.
type charge struct {
	feature Feature
	firstAt time.Time
	// crashes counts the crashes, spaced those at least crashSpacing apart, the last of
	// them at spacedAt.
	crashes  int
	spaced   int
	spacedAt time.Time
	seen     map[uint64]bool
	// depth is the position of a part in the prompts, from the first; deeper parts are
	// shared by fewer requests.
	depth int
}

// culprit returns a feature that is suspected of enough crashes to be quarantined, and
// their number. Suspicions that a quarantined feature explains count against no other.
func (tracker *Tracker) culprit(now time.Time) (Feature, int, bool) {
	contents, parts := map[Feature]*charge{}, map[Feature]*charge{}
	for _, suspicion := range tracker.suspicions {
		if tracker.holds(suspicion.Features, now) {
			continue
		}
		tracker.charge(contents, suspicion, suspicion.Features.Content, 0)
		for depth, part := range suspicion.Features.Parts {
			tracker.charge(parts, suspicion, part, depth)
		}
	}
	for _, content := range contents {
		doubtful := tracker.wasAnsweredBefore(content)
		if !doubtful && content.crashes >= contentCrashes || content.spaced >= doubtfulCrashes {
			return content.feature, content.crashes, true
		}
	}
	return tracker.guiltiest(parts)
}

// charge adds a suspicion to the charge of a feature, unless it was acquitted since.
func (tracker *Tracker) charge(charges map[Feature]*charge, suspicion Suspicion, feature Feature, depth int) {
	if !suspicion.At.After(tracker.acquittals[feature].at) {
		return
	}
	known, found := charges[feature]
	if !found {
		known = &charge{feature: feature, firstAt: suspicion.At, seen: map[uint64]bool{}}
		charges[feature] = known
	}
	known.depth = max(known.depth, depth)
	if known.seen[suspicion.Crash] {
		return
	}
	known.seen[suspicion.Crash] = true
	known.crashes++
	if known.spaced == 0 || suspicion.At.Sub(known.spacedAt) >= crashSpacing {
		known.spaced++
		known.spacedAt = suspicion.At
	}
}

// wasAnsweredBefore reports whether a request with the feature was answered well shortly
// before the feature was suspected. Such crashes may have another cause.
func (tracker *Tracker) wasAnsweredBefore(known *charge) bool {
	at, found := tracker.goodAnswers[known.feature]
	return found && known.firstAt.Sub(at) < goodMemory
}

// guiltiest returns the part with the most crashes, if they are enough. Among parts with
// as many, one that was not answered before comes first, then the deepest.
func (tracker *Tracker) guiltiest(parts map[Feature]*charge) (Feature, int, bool) {
	var worst *charge
	doubtful := false
	for _, part := range parts {
		switch {
		case worst == nil || part.spaced > worst.spaced:
			worst, doubtful = part, tracker.wasAnsweredBefore(part)
		case part.spaced == worst.spaced:
			doubtful = true
			if tracker.suspectsMore(part, worst) {
				worst = part
			}
		}
	}
	if worst == nil || worst.spaced < partCrashes || doubtful && worst.spaced < doubtfulCrashes {
		return "", 0, false
	}
	return worst.feature, worst.spaced, true
}

// suspectsMore reports whether the first of two parts with as many crashes is the more
// likely cause.
func (tracker *Tracker) suspectsMore(part, other *charge) bool {
	answered, otherAnswered := tracker.wasAnsweredBefore(part), tracker.wasAnsweredBefore(other)
	if answered != otherAnswered {
		return !answered
	}
	if part.depth != other.depth {
		return part.depth > other.depth
	}
	return part.feature < other.feature
}
