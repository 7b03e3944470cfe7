package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxReports is the largest number of targets that one digest reports.
	MaxReports = 32
	// reportAbove and reportBelow are the factors beyond which a target is reported.
	reportAbove = 1.3
	reportBelow = 0.75
	// reportAge is the age of the last observation up to which a target is reported.
	reportAge = 2 * time.Second
	// reportInterval is the time between two reports of a target, unless its deviation has
	// changed by reportChange since the first.
	reportInterval = time.Second
	reportChange   = 0.5
	// reportLifetime is how long a peer's report counts.
	reportLifetime = 2 * time.Second
	// peerShare is the share of the peers' reports in the deviation of a target that this node
	// has not observed; it shrinks with each observation.
	peerShare = 0.5
	// peerGain is the share of a new report in the average of the peers' reports.
	peerGain = 0.3
	// slowFactor is the factor above which a target is logged as slow, normalFactor the one below
	// which it is logged as slow no longer and not counted as slow.
	slowFactor   = 2
	normalFactor = 1.5
	// logInterval is the least time between two log lines on a target.
	logInterval = 5 * time.Second
	// forgottenDeviation is the deviation below which a target is forgotten.
	forgottenDeviation = 0.02
)

// Report is the factor of an incarnation of a target according to the observations of one node.
type Report struct {
	Target string
	Born   time.Time
	Factor float64
}

// Heard returns the reports for the next digest, the largest differences first: of the targets with
// recent observations whose pace clearly differs from the usual one. There are at most limit and
// MaxReports, also within reportInterval. Reports of peers are not passed on.
func (tracker *Tracker) Heard(limit int, now time.Time) []Report {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	type candidate struct {
		id        string
		deviation float64
	}
	var candidates []candidate
	above, below := math.Log2(reportAbove), math.Log2(reportBelow)
	for id, state := range tracker.targets {
		// A deviation only shrinks with time, so that most targets cost no calculation.
		if state.deviation > below && state.deviation < above || now.Sub(state.at) > reportAge {
			continue
		}
		deviation := state.deviationAt(now)
		if deviation > below && deviation < above {
			continue
		}
		if now.Sub(state.reportedAt) < reportInterval && math.Abs(deviation-state.reported) < reportChange {
			continue
		}
		candidates = append(candidates, candidate{id: id, deviation: deviation})
	}
	slices.SortFunc(candidates, func(left, right candidate) int {
		return cmp.Or(cmp.Compare(math.Abs(right.deviation), math.Abs(left.deviation)), cmp.Compare(left.id, right.id))
	})
	most := float64(min(limit, MaxReports))
	tracker.allowance = min(most, tracker.allowance+most*now.Sub(tracker.heardAt).Seconds()/reportInterval.Seconds())
	tracker.heardAt = now
	candidates = candidates[:min(len(candidates), int(tracker.allowance))]
	tracker.allowance -= float64(len(candidates))
	var reports []Report
	for _, chosen := range candidates {
		state := tracker.targets[chosen.id]
		state.reported, state.reportedAt = chosen.deviation, now
		reports = append(reports, Report{Target: chosen.id, Born: state.born, Factor: math.Exp2(chosen.deviation)})
	}
	return reports
}

// Apply takes the reports of a peer's digest; those beyond MaxReports are ignored.
func (tracker *Tracker) Apply(reports []Report, now time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	for _, report := range reports[:min(len(reports), MaxReports)] {
		if !(report.Factor > 0) {
			continue
		}
		deviation := math.Log2(min(max(report.Factor, MinFactor), MaxFactor))
		state, found := tracker.targets[report.Target]
		switch {
		case !found && len(tracker.targets) >= maxTargets:
			continue
		case found && state.born.Equal(report.Born):
		case found && (report.Born.Before(state.born) || state.observations > 0 && now.Sub(state.at) < reportLifetime):
			continue
		default:
			state = &targetState{born: report.Born, at: now}
			tracker.setState(report.Target, state)
		}
		if now.Sub(state.peersAt) > reportLifetime {
			state.peers = deviation
		} else {
			state.peers += peerGain * (deviation - state.peers)
		}
		state.peersAt, state.factorAt = now, 0
	}
}

// peerShare returns the share of the peers' reports in the target's deviation.
func (state *targetState) peerShare(now time.Time) float64 {
	if state.peersAt.IsZero() || now.Sub(state.peersAt) > reportLifetime {
		return 0
	}
	return peerShare / (1 + state.observations*state.remaining(now))
}

// Summary sums up the pace of the targets.
type Summary struct {
	// Slow is the number of targets that are slower than normalFactor times the usual.
	Slow int
	// Largest is the largest factor, at least 1.
	Largest float64
}

// Review logs which targets have become slow and which are so no longer, forgets what has
// decayed, and returns a summary. It is called periodically.
func (tracker *Tracker) Review(now time.Time) Summary {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	summary := Summary{Largest: 1}
	for id, state := range tracker.targets {
		factor := state.factor(now, now.UnixNano())
		summary.Largest = max(summary.Largest, factor)
		if factor > normalFactor {
			summary.Slow++
		}
		becomes := !state.slow && factor > slowFactor
		if (becomes || state.slow && factor < normalFactor) && now.Sub(state.loggedAt) >= logInterval {
			state.slow, state.loggedAt = becomes, now
			message := "target slow"
			if !becomes {
				message = "target no longer slow"
			}
			tracker.log.Info(message, "target", id, "service", state.service, "factor", math.Round(factor*100)/100,
				"observations", math.Round(state.observations))
		}
		idle := now.Sub(state.at) > reportLifetime && now.Sub(state.peersAt) > reportLifetime
		if idle && !state.slow && now.Sub(state.loggedAt) >= logInterval && math.Abs(state.deviationAt(now)) < forgottenDeviation {
			tracker.setState(id, nil)
		}
	}
	for name, known := range tracker.services {
		if now.Sub(known.at) > serviceLifetime {
			delete(tracker.services, name)
		}
	}
	return summary
}
