package balance

import "time"

// The gap between two events of a stream, by what its engine does between them. The figures at the usual pace
// are those of streams with events of six tokens in docs/MEASUREMENTS.md.
const (
	// idleGap and gapPerStream are the gap without prompts: together 50 ms with the 7 requests that
	// streams without long gaps share their engine with.
	idleGap      = 20 * time.Millisecond
	gapPerStream = 4 * time.Millisecond
	// safeGapShare is the share of the objective up to which hardly any stream has a longer gap than its
	// objective, and latePerGap by how much the share of late streams rises if the gap
	// grows by the whole objective: 0.01, 0.12, 0.41 and 0.86 of them are late at 0.28, 0.56, 0.94 and
	// 1.52 times the objective.
	safeGapShare = 0.4
	latePerGap   = 0.77
	// maxGapCost keeps a target that fails from being preferred to one with long gaps.
	maxGapCost = failureCost / 2
)

// eventGap returns the expected gap between two events of a stream at a target, at its pace.
func eventGap(load Load, factor float64) time.Duration {
	streams := max(load.Running-load.LongPrefills, 0)
	gap := idleGap + time.Duration(streams)*gapPerStream + time.Duration(max(load.LongPrefills, 0))*gapPerLongPrefill
	return time.Duration(factor * float64(gap))
}

// gapCost returns what the gaps cost that a request sees and causes at a target. A late stream costs as much
// as a first byte that comes an objective later. The request itself sees the gaps with its own stream;
// those that run there see longer ones while its prompt of length prefill is read, which costs each of them.
func gapCost(load Load, prefill, objective time.Duration, factor float64) time.Duration {
	if objective <= 0 {
		return 0
	}
	excess := func(gap time.Duration) time.Duration {
		return max(gap-time.Duration(safeGapShare*float64(objective)), 0)
	}
	before := eventGap(load, factor)
	cost := excess(before + time.Duration(factor*float64(gapPerStream)))
	if prefill >= longPrefill {
		// A prompt that is read between two events lengthens no more than one gap.
		during := before + time.Duration(factor*float64(min(prefill, gapPerLongPrefill)))
		streams := max(load.Running-load.LongPrefills, 0)
		cost += time.Duration(streams) * (excess(during) - excess(before))
	}
	return min(time.Duration(latePerGap*float64(cost)), maxGapCost)
}
