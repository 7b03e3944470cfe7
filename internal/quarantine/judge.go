package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxQuarantinedParts bounds the parts of one quarantine.
const maxQuarantinedParts = 5

// charge sums up what a part or a content is suspected of since its last acquittal.
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

// left returns the counted crashes that are not explained.
func (charged *charge) left(explained map[uint64]bool) map[uint64]time.Time {
	left := maps.Clone(charged.counted)
	maps.DeleteFunc(left, func(crash uint64, _ time.Time) bool { return explained[crash] })
	return left
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

// verdict is what is found to have caused crashes, and their number.
type verdict struct {
	feature Feature
	crashes int
}

// judge puts in quarantine what is suspected of enough crashes, and releases what would
// not be quarantined by all that is known now: a node that knew only some of the crashes
// may have quarantined parts that sound requests have too.
func (tracker *Tracker) judge(now time.Time) {
	tracker.expire(now)
	for feature, end := range tracker.ended {
		if tracker.suspectedAgain(feature, end, now) {
			tracker.quarantine(verdict{feature: feature, crashes: 1}, now)
		}
	}
	contents, parts := tracker.charges(now)
	for _, content := range contents {
		if !content.answered && len(content.crashes) >= contentCrashes || spaced(content.crashes) >= doubtfulCrashes {
			tracker.quarantine(verdict{feature: content.feature, crashes: len(content.crashes)}, now)
		}
	}
	verdicts, explained := tracker.verdicts(parts)
	tracker.release(verdicts, explained, now)
	for _, found := range verdicts {
		if since, held := tracker.quarantined[found.feature]; !held || now.Sub(since) >= term {
			tracker.quarantine(found, now)
		}
	}
}

func (tracker *Tracker) quarantine(found verdict, now time.Time) {
	tracker.quarantined[found.feature] = now
	delete(tracker.ended, found.feature)
	tracker.recordChange(found.feature)
	tracker.log.Info("requests quarantined", "feature", found.feature, "crashes", found.crashes, "term", term)
}

// suspectedAgain reports whether a request with a feature whose quarantine has ended is
// suspected of a later crash that no other quarantine explains.
func (tracker *Tracker) suspectedAgain(feature Feature, end, now time.Time) bool {
	return slices.ContainsFunc(tracker.suspicions, func(known Suspicion) bool {
		return known.At.After(end) && known.Features.has(feature) && !tracker.holds(known.Features, now)
	})
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
			at, found := tracker.goodAnswers[charged.feature]
			charged.answered = found && charged.firstAt.Sub(at) < goodMemory
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
		known = &charge{
			feature: feature, firstAt: suspicion.At,
			crashes: map[uint64]time.Time{}, counted: map[uint64]time.Time{}, contents: map[Feature]bool{},
		}
		charges[feature] = known
	}
	known.add(suspicion, depth)
}

// verdicts returns what is to be in quarantine by the present suspicions, and the crashes
// that this explains. The most suspected part comes first; the crashes under its requests
// don't count against others, which may merely have waited at the targets.
func (tracker *Tracker) verdicts(parts map[Feature]*charge) ([]verdict, map[uint64]bool) {
	var verdicts []verdict
	explained := map[uint64]bool{}
	for feature := range tracker.quarantined {
		// The crashes behind an older quarantine may be forgotten by now.
		if crashes := tracker.crashesUnder(feature); spaced(crashes) < partCrashes {
			markExplained(explained, crashes)
		}
	}
	for {
		worst, crashes := mostSuspected(parts, explained)
		if worst == nil {
			return verdicts, explained
		}
		common := tracker.commonParts(worst, crashes, parts)
		count := spaced(crashes)
		if count < doubtfulCrashes && (worst.answered || hasRival(common, count, parts, explained)) {
			return verdicts, explained
		}
		verdicts = append(verdicts, verdict{feature: join(common), crashes: count})
		markExplained(explained, tracker.crashesUnder(join(common)))
	}
}

// crashesUnder returns the crashes of which a request with a feature is suspected.
func (tracker *Tracker) crashesUnder(feature Feature) map[uint64]time.Time {
	crashes := map[uint64]time.Time{}
	for _, suspicion := range tracker.suspicions {
		if suspicion.Features.has(feature) {
			crashes[suspicion.Crash] = suspicion.At
		}
	}
	return crashes
}

func markExplained(explained map[uint64]bool, crashes map[uint64]time.Time) {
	for crash := range crashes {
		explained[crash] = true
	}
}

// mostSuspected returns the part with the most crashes that are not explained, and these,
// if they are enough. Of several, the likeliest is one that was not answered before, or
// that fewer requests share.
func mostSuspected(parts map[Feature]*charge, explained map[uint64]bool) (*charge, map[uint64]time.Time) {
	var worst *charge
	var crashes map[uint64]time.Time
	for _, part := range parts {
		left := part.left(explained)
		if spaced(left) < partCrashes {
			continue
		}
		if worst == nil || suspectedMore(part, left, worst, crashes) {
			worst, crashes = part, left
		}
	}
	return worst, crashes
}

func suspectedMore(part *charge, left map[uint64]time.Time, other *charge, otherLeft map[uint64]time.Time) bool {
	if order := cmp.Compare(weight(part, left), weight(other, otherLeft)); order != 0 {
		return order > 0
	}
	switch {
	case part.answered != other.answered:
		return other.answered
	case part.depth != other.depth:
		return part.depth > other.depth
	}
	return part.feature < other.feature
}

// weight is the number of crashes, less one if the part was answered before.
func weight(part *charge, left map[uint64]time.Time) int {
	if part.answered {
		return spaced(left) - 1
	}
	return spaced(left)
}

// commonParts returns a part and those others that a request with it had at each of the
// crashes. Which of them is the cause is not known yet, so that only requests with all of
// them are quarantined.
func (tracker *Tracker) commonParts(worst *charge, crashes map[uint64]time.Time, parts map[Feature]*charge) []Feature {
	var others []*charge
	for _, part := range parts {
		if part != worst && part.hasAll(crashes) {
			others = append(others, part)
		}
	}
	slices.SortFunc(others, func(one, other *charge) int {
		return cmp.Or(cmp.Compare(other.depth, one.depth), cmp.Compare(one.feature, other.feature))
	})
	common := []Feature{worst.feature}
	for _, other := range others {
		extended := append(slices.Clone(common), other.feature)
		if len(extended) <= maxQuarantinedParts && tracker.occurTogether(extended, crashes) {
			common = extended
		}
	}
	return common
}

// occurTogether reports whether at each of the crashes a request with all of the parts is
// suspected.
func (tracker *Tracker) occurTogether(parts []Feature, crashes map[uint64]time.Time) bool {
	found := map[uint64]bool{}
	for _, suspicion := range tracker.suspicions {
		if _, counts := crashes[suspicion.Crash]; counts && suspicion.Features.hasAll(parts) {
			found[suspicion.Crash] = true
		}
	}
	return len(found) == len(crashes)
}

// hasRival reports whether a part that is not among the common ones is suspected of as
// many crashes.
func hasRival(common []Feature, count int, parts map[Feature]*charge, explained map[uint64]bool) bool {
	for feature, part := range parts {
		if !slices.Contains(common, feature) && spaced(part.left(explained)) >= count {
			return true
		}
	}
	return false
}

// release ends the quarantines that the verdicts don't confirm, if they were decided so
// soon after a crash that not all reports of it can have been there; and those whose
// crashes the verdicts explain otherwise, but not by a part of the same requests: some of
// the crashes that spoke against that may be forgotten by now.
func (tracker *Tracker) release(verdicts []verdict, explained map[uint64]bool, now time.Time) {
	for feature, since := range tracker.quarantined {
		crashes := tracker.crashesUnder(feature)
		if feature.isContent() || spaced(crashes) < partCrashes {
			continue
		}
		hasty := now.Sub(since) <= reconsiderTime && since.Sub(latest(crashes)) < reportTime
		confirmed, narrowed := false, false
		for _, found := range verdicts {
			confirmed = confirmed || found.feature == feature
			narrowed = narrowed || Features{Parts: found.feature.elements()}.has(feature)
		}
		if !confirmed && (hasty || allExplained(crashes, explained) && !narrowed) {
			tracker.log.Info("quarantine not confirmed", "feature", feature, "crashes", len(crashes), "hasty", hasty)
			tracker.lift(feature, now, true)
		}
	}
}

// latest returns the time of the last of the crashes.
func latest(crashes map[uint64]time.Time) time.Time {
	return slices.MaxFunc(slices.Collect(maps.Values(crashes)), time.Time.Compare)
}

func allExplained(crashes map[uint64]time.Time, explained map[uint64]bool) bool {
	for crash := range crashes {
		if !explained[crash] {
			return false
		}
	}
	return true
}
