// Package quarantine finds out what crashes targets and keeps it from being sent again.
//
// A crash of a target puts the requests that it was about to answer under suspicion:
// each by its whole content, and by the parts of its prompt that other requests share.
// An answer that goes well acquits the content and the parts of its request. What has
// been suspected of several crashes since its last acquittal is quarantined, over all
// nodes, and after the end of its quarantine as soon as it is suspected again.
//
// If the requests of the crashes have several parts in common, which of them is the cause
// is not known, and only requests with all of these are refused. An acquittal or a crash
// of a request that lacks some of them shows which it is.
//
// Crashes that a quarantine explains don't count against other parts, so that those of
// requests that were waiting at the target are not taken for the cause. What is in
// quarantine is judged again as reports come in: a node may have known a part of the
// crashes only.
//
// Nodes exchange suspicions, acquittals and quarantines as reports. An Archive keeps the
// quarantines in the store, for the case that all nodes restart.
//
// # Usage
//
//	tracker := quarantine.New(log)
//	features := quarantine.NewFeatures(content, parts)
//	if tracker.Holds(features, time.Now()) { ... }
//	tracker.Suspect(crash, features, time.Now())
//	tracker.Acquit(features, time.Now())
//	peer.Apply(tracker.Report(time.Now()), time.Now())
//	go quarantine.NewArchive(tracker, table, quarantine.ArchiveSettings{Era: store.Era}, log).Run(ctx)
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// suspicionTTL is how long a suspicion counts.
	suspicionTTL = 2 * time.Minute
	// term is how long a quarantine lasts.
	term = 5 * time.Minute
	// reconsiderTime is how long after its begin a quarantine may be narrowed, as reports of
	// the same crashes come in.
	reconsiderTime = 10 * time.Second
	// relapseTime is how long after the end of a quarantine a single crash renews it.
	relapseTime = time.Hour
	// reportTime is how long a suspicion or an acquittal is reported: several digests.
	reportTime = 1200 * time.Millisecond
	// maxSuspicions bounds the suspicions that a node keeps; the oldest ones are dropped.
	maxSuspicions = 256
	// contentCrashes is the number of crashes from which a request's content is quarantined,
	// partCrashes the same for a prompt part.
	contentCrashes = 2
	partCrashes    = 3
	// doubtfulCrashes is that number for a part while one of other requests is suspected of as
	// many crashes, and for what was answered well shortly before it was suspected.
	doubtfulCrashes = 4
	// goodMemory is how long before a suspicion a good answer raises a doubt.
	goodMemory = 15 * time.Second
	// maxGoodAnswers bounds the features whose last good answer is remembered.
	maxGoodAnswers = 4096
	// crashSpacing is the least time between two crashes that count against something that
	// several requests have in common: targets that crash together have another cause.
	crashSpacing = 100 * time.Millisecond
)

// Suspicion is a request that may have crashed a target.
type Suspicion struct {
	// Crash identifies the incarnation of the target.
	Crash    uint64
	Features Features
	At       time.Time
	// own says that a request of this node was cut.
	own bool
}

// acquittal is the last good answer of a suspected feature.
type acquittal struct {
	at time.Time
	// own says that it was an answer to this node.
	own bool
}

// lifting is the early end of a quarantine.
type lifting struct {
	at time.Time
	// own says that this node has decided it.
	own bool
	// reportUntil is until when it is reported: longer while a peer does not know of it.
	reportUntil time.Time
}

// Tracker keeps what is suspected and what is quarantined. It is safe for concurrent use.
type Tracker struct {
	log logr.Logger

	lock sync.Mutex
	// suspicions are sorted by time.
	suspicions []Suspicion
	// acquittals holds when a suspected feature was last acquitted.
	acquittals map[Feature]acquittal
	// goodAnswers holds when a request of this node with a feature was last answered well.
	goodAnswers map[Feature]time.Time
	// quarantined holds since when a feature is in quarantine, ended when its quarantine
	// ended without an acquittal.
	quarantined map[Feature]time.Time
	ended       map[Feature]time.Time
	// lifted holds when a quarantine was last ended early.
	lifted map[Feature]lifting

	// unsaved holds the features whose quarantine has begun or ended since it was saved,
	// saved those that this node has saved as quarantined.
	unsaved map[Feature]bool
	saved   map[Feature]bool
	// changed wakes the archive.
	changed chan struct{}
}

// New returns a tracker that suspects nothing.
func New(log logr.Logger) *Tracker {
	return &Tracker{
		log: log, acquittals: map[Feature]acquittal{}, goodAnswers: map[Feature]time.Time{},
		quarantined: map[Feature]time.Time{}, ended: map[Feature]time.Time{}, lifted: map[Feature]lifting{},
		unsaved: map[Feature]bool{}, saved: map[Feature]bool{}, changed: make(chan struct{}, 1),
	}
}

// Holds reports whether a request with the features must not be sent.
func (tracker *Tracker) Holds(features Features, now time.Time) bool {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	return tracker.holds(features, now)
}

func (tracker *Tracker) holds(features Features, now time.Time) bool {
	for feature, since := range tracker.quarantined {
		if now.Sub(since) < term && features.has(feature) {
			return true
		}
	}
	return false
}

// Suspect records that a target crashed while it was about to answer a request. Two
// requests under which the same incarnation crashed count as one crash.
func (tracker *Tracker) Suspect(crash uint64, features Features, now time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	tracker.add(Suspicion{Crash: crash, Features: features, At: now, own: true})
	tracker.judge(now)
}

// Acquit records that a request with the features was answered without a crash.
func (tracker *Tracker) Acquit(features Features, now time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	tracker.forgetGoodAnswers(now)
	narrows := false
	for _, feature := range features.all() {
		tracker.goodAnswers[feature] = now
		if tracker.isSuspected(feature) {
			tracker.acquittals[feature] = acquittal{at: now, own: true}
			narrows = narrows || tracker.isQuarantined(feature)
		}
	}
	for _, feature := range tracker.liftAcquitted(now, true) {
		tracker.markUnsaved(feature)
	}
	if narrows {
		tracker.judge(now)
	}
}

// forgetGoodAnswers makes room for those of another request.
func (tracker *Tracker) forgetGoodAnswers(now time.Time) {
	if len(tracker.goodAnswers) < maxGoodAnswers {
		return
	}
	for feature, at := range tracker.goodAnswers {
		if now.Sub(at) > goodMemory {
			delete(tracker.goodAnswers, feature)
		}
	}
	for feature := range tracker.goodAnswers {
		if len(tracker.goodAnswers) < maxGoodAnswers/2 {
			return
		}
		delete(tracker.goodAnswers, feature)
	}
}

// isSuspected reports whether a part or a content is suspected of a crash, or is an element
// of what is or was in quarantine.
func (tracker *Tracker) isSuspected(feature Feature) bool {
	return tracker.isQuarantined(feature) ||
		slices.ContainsFunc(tracker.suspicions, func(known Suspicion) bool { return known.Features.has(feature) })
}

// isQuarantined reports whether a part or a content is an element of what is in quarantine
// or would be after one more crash.
func (tracker *Tracker) isQuarantined(feature Feature) bool {
	for _, features := range []map[Feature]time.Time{tracker.quarantined, tracker.ended} {
		for quarantined := range features {
			if slices.Contains(quarantined.elements(), feature) {
				return true
			}
		}
	}
	return false
}

// liftAcquitted ends the quarantines of which every element was acquitted since, and
// returns their features.
func (tracker *Tracker) liftAcquitted(now time.Time, own bool) []Feature {
	var lifted []Feature
	for _, features := range []map[Feature]time.Time{tracker.quarantined, tracker.ended} {
		for feature, since := range features {
			if tracker.acquittedSince(feature, since) {
				lifted = append(lifted, feature)
			}
		}
	}
	for _, feature := range lifted {
		tracker.lift(feature, now, own)
	}
	return lifted
}

func (tracker *Tracker) acquittedSince(feature Feature, since time.Time) bool {
	for _, element := range feature.elements() {
		if !tracker.acquittals[element].at.After(since) {
			return false
		}
	}
	return true
}

// lift ends a quarantine, or the time after one in which a single crash renews it.
func (tracker *Tracker) lift(feature Feature, at time.Time, own bool) {
	if since, held := tracker.quarantined[feature]; held {
		tracker.log.Info("quarantine lifted", "feature", feature, "after", at.Sub(since), "byPeer", !own)
	}
	delete(tracker.quarantined, feature)
	delete(tracker.ended, feature)
	tracker.lifted[feature] = lifting{at: at, own: own, reportUntil: at.Add(reportTime)}
	tracker.recordChange(feature)
}

// add inserts a suspicion by its time, unless it is known.
func (tracker *Tracker) add(suspicion Suspicion) {
	for _, known := range tracker.suspicions {
		if known.Crash == suspicion.Crash && known.Features.equal(suspicion.Features) {
			return
		}
	}
	index, _ := slices.BinarySearchFunc(tracker.suspicions, suspicion.At, func(known Suspicion, at time.Time) int {
		return known.At.Compare(at)
	})
	tracker.suspicions = slices.Insert(tracker.suspicions, index, suspicion)
	if len(tracker.suspicions) > maxSuspicions {
		tracker.suspicions = tracker.suspicions[1:]
	}
}

// expire drops old suspicions and acquittals, and ends old quarantines.
func (tracker *Tracker) expire(now time.Time) {
	tracker.suspicions = slices.DeleteFunc(tracker.suspicions, func(known Suspicion) bool {
		return now.Sub(known.At) > suspicionTTL
	})
	for feature, known := range tracker.acquittals {
		if now.Sub(known.at) > suspicionTTL {
			delete(tracker.acquittals, feature)
		}
	}
	for feature, known := range tracker.lifted {
		if now.Sub(known.at) > term {
			delete(tracker.lifted, feature)
		}
	}
	for feature, since := range tracker.quarantined {
		if now.Sub(since) >= term {
			delete(tracker.quarantined, feature)
			tracker.ended[feature] = since.Add(term)
		}
	}
	for feature, at := range tracker.ended {
		if now.Sub(at) > relapseTime {
			delete(tracker.ended, feature)
			tracker.recordChange(feature)
		}
	}
}
