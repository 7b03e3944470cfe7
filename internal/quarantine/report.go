package quarantine

import "time"

// Report is what a node tells the others. Times are given as ages, since the clocks of
// nodes differ.
type Report struct {
	Suspicions []ReportedSuspicion
	// Acquittals and Quarantined hold the time since a feature was acquitted or quarantined.
	Acquittals  map[Feature]time.Duration
	Quarantined map[Feature]time.Duration
}

// ReportedSuspicion is a suspicion with its age.
type ReportedSuspicion struct {
	Crash    uint64
	Features Features
	Age      time.Duration
}

// Report returns this node's latest suspicions and acquittals, and all quarantines.
func (tracker *Tracker) Report(now time.Time) Report {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	tracker.expire(now)
	report := Report{Acquittals: map[Feature]time.Duration{}, Quarantined: map[Feature]time.Duration{}}
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
		tracker.acquit(feature, acquittal{at: now.Add(-age)})
	}
	adopted := false
	for feature, age := range report.Quarantined {
		since := now.Add(-age)
		if _, found := tracker.quarantined[feature]; found || age >= term || !since.After(tracker.acquittals[feature].at) {
			continue
		}
		tracker.quarantined[feature] = since
		adopted = true
		tracker.log.Info("requests quarantined", "feature", feature, "byPeer", true, "age", age)
	}
	if adopted || len(report.Suspicions) > 0 {
		tracker.judge(now)
	}
}

// Empty reports whether there is nothing to tell.
func (report Report) Empty() bool {
	return len(report.Suspicions) == 0 && len(report.Acquittals) == 0 && len(report.Quarantined) == 0
}
