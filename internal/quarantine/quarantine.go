// Package quarantine finds out what crashes targets and keeps it from being sent again.
//
// A crash of a target puts the requests that it was about to answer under suspicion:
// each by its whole content, and by the parts of its prompt that other requests share.
// An answer that goes well acquits the content and the parts of its request. What has
// been suspected of several crashes since its last acquittal is quarantined, over all
// nodes, and after the end of its quarantine as soon as it is suspected again.
//
// Crashes that a quarantined part explains don't count against parts that are suspected
// less, so that the parts that sound requests have too, and those of requests that were
// waiting at the target, are not taken for the cause. If one of them was quarantined
// before the evidence was complete, it is released.
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
//	go quarantine.NewArchive(tracker, table, log).Run(ctx)
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
	// doubtfulCrashes is that number for a part while another one is suspected of as many
	// crashes, and for what was answered well shortly before it was suspected.
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
		quarantined: map[Feature]time.Time{}, ended: map[Feature]time.Time{},
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
	if len(tracker.quarantined) == 0 {
		return false
	}
	return slices.ContainsFunc(features.all(), func(feature Feature) bool {
		since, found := tracker.quarantined[feature]
		return found && now.Sub(since) < term
	})
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
	for _, feature := range features.all() {
		tracker.goodAnswers[feature] = now
		if !tracker.isSuspected(feature) {
			continue
		}
		if tracker.acquit(feature, acquittal{at: now, own: true}) {
			tracker.markUnsaved(feature)
		}
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

func (tracker *Tracker) isSuspected(feature Feature) bool {
	if _, found := tracker.quarantined[feature]; found {
		return true
	}
	if _, found := tracker.ended[feature]; found {
		return true
	}
	return slices.ContainsFunc(tracker.suspicions, func(known Suspicion) bool { return known.Features.has(feature) })
}

// acquit reports whether it ended a quarantine, or the time after one in which a single
// crash renews it.
func (tracker *Tracker) acquit(feature Feature, acquitted acquittal) bool {
	if acquitted.at.After(tracker.acquittals[feature].at) {
		tracker.acquittals[feature] = acquitted
	}
	_, ended := tracker.ended[feature]
	delete(tracker.ended, feature)
	since, held := tracker.quarantined[feature]
	lifted := held && acquitted.at.After(since)
	if lifted {
		delete(tracker.quarantined, feature)
		tracker.log.Info("quarantine lifted", "feature", feature, "after", acquitted.at.Sub(since))
	}
	if ended || lifted {
		tracker.recordChange(feature)
	}
	return ended || lifted
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
