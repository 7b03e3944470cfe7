package quarantine

import "time"

// Report is what a node tells the others. Times are given as ages, since the clocks of
// nodes differ.
type Report struct {
	Suspicions []ReportedSuspicion
	// Acquittals and Quarantined hold the time since a feature was acquitted or quarantined,
	// Lifted that since a quarantine was ended early.
	Acquittals  map[Feature]time.Duration
	Quarantined map[Feature]time.Duration
	Lifted      map[Feature]time.Duration
}

// ReportedSuspicion is a suspicion with its age.
type ReportedSuspicion struct {
	Crash    uint64
	Features Features
	Age      time.Duration
}

// Report returns this node's latest suspicions, acquittals and liftings, and all quarantines.
func (tracker *Tracker) Report(now time.Time) Report {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	tracker.expire(now)
	report := Report{
		Acquittals: map[Feature]time.Duration{}, Quarantined: map[Feature]time.Duration{}, Lifted: map[Feature]time.Duration{},
	}
	for _, known := range tracker.suspicions {
		if age := now.Sub(known.At); known.own && age <= reportTime {
			report.Suspicions = append(report.Suspicions, ReportedSuspicion{Crash: known.Crash, Features: known.Features, Age: age})
		}
	}
	for feature, known := range tracker.acquittals {
		if age := now.Sub(known.at); known.own && age <= reportTime {
			report.Acquittals[feature] = age
		}
	}
	for feature, since := range tracker.quarantined {
		report.Quarantined[feature] = now.Sub(since)
	}
	for feature, known := range tracker.lifted {
		if known.own && !now.After(known.reportUntil) {
			report.Lifted[feature] = now.Sub(known.at)
		}
	}
	return report
}

// Apply takes a report of another node.
func (tracker *Tracker) Apply(report Report, now time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	for _, suspicion := range report.Suspicions {
		tracker.add(Suspicion{Crash: suspicion.Crash, Features: suspicion.Features, At: now.Add(-suspicion.Age)})
	}
	for feature, age := range report.Acquittals {
		if at := now.Add(-age); at.After(tracker.acquittals[feature].at) {
			tracker.acquittals[feature] = acquittal{at: at}
		}
	}
	tracker.liftAcquitted(now, false)
	for feature, age := range report.Lifted {
		at := now.Add(-age)
		if begin := tracker.begin(feature); !begin.IsZero() && at.After(begin) {
			tracker.lift(feature, at, false)
		}
	}
	adopted := false
	for feature, age := range report.Quarantined {
		adopted = tracker.adopt(feature, age, now) || adopted
	}
	if adopted || len(report.Suspicions) > 0 {
		tracker.judge(now)
	}
}

// adopt takes a quarantine of a peer and reports whether it is new here. A peer that does
// not know that it was lifted is told.
func (tracker *Tracker) adopt(feature Feature, age time.Duration, now time.Time) bool {
	since := now.Add(-age)
	if _, held := tracker.quarantined[feature]; held || age >= term {
		return false
	}
	if known, found := tracker.lifted[feature]; found && !since.After(known.at) {
		known.own, known.reportUntil = true, now.Add(reportTime)
		tracker.lifted[feature] = known
		return false
	}
	if tracker.acquittedSince(feature, since) {
		return false
	}
	tracker.quarantined[feature] = since
	tracker.recordChange(feature)
	tracker.log.Info("requests quarantined", "feature", feature, "byPeer", true, "age", age)
	return true
}

// Empty reports whether there is nothing to tell.
func (report Report) Empty() bool {
	return len(report.Suspicions) == 0 && len(report.Acquittals) == 0 && len(report.Quarantined) == 0 && len(report.Lifted) == 0
}
