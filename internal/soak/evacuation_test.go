package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

var evacuateZones = flag.Bool("soak.evacuations", true, "evacuate an availability zone and take it back")

const (
	// farZone is the availability zone of every second target.
	farZone = "b"
	// evacuationBound is the time within which a zone gets nothing more: hosts may hear of it only
	// after one fault of their connections or of the store has ended.
	evacuationBound = maxFaultDuration + 3*time.Second
	// coldSpread is the time after which all nodes know that a target is cold, but for those that a fault
	// keeps from it: these get no permits.
	coldSpread = maxFaultDuration + 2*time.Second
	// coldMost is how many requests a cold target bears in a second, by the settings of the nodes.
	coldMost = 8*1.5 + 5
)

// evacuation is a time in which a zone was evacuated.
type evacuation struct {
	began time.Time
	// ended is zero while it lasts.
	ended time.Time
}

// zoneOf returns the availability zone of a target.
func zoneOf(index int) string {
	if index%2 == 1 {
		return farZone
	}
	return "a"
}

// injectEvacuations evacuates farZone and takes it back, again and again, until ctx is cancelled.
func (testbed *testbed) injectEvacuations(ctx context.Context, random *rand.Rand, onFault func(name string)) {
	for {
		sleepContext(ctx, time.Duration(random.Int64N(int64(time.Second))))
		if ctx.Err() != nil {
			return
		}
		testbed.lock.Lock()
		testbed.store.Put("op", "evacuate/"+farZone, "{}")
		testbed.evacuations = append(testbed.evacuations, evacuation{began: time.Now()})
		last := len(testbed.evacuations) - 1
		testbed.lock.Unlock()
		onFault("evacuate zone " + farZone)
		sleepContext(ctx, time.Duration(random.Int64N(int64(2*evacuationBound))))
		testbed.lock.Lock()
		testbed.evacuations[last].ended = time.Now()
		testbed.store.Remove("op", "evacuate/"+farZone)
		testbed.lock.Unlock()
		onFault("take zone " + farZone + " back")
	}
}

// writeEvacuationAgain does what the operator does after a restore of the store: it writes the evacuation that
// is in force again, or deletes the one that has ended.
func (testbed *testbed) writeEvacuationAgain() {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	last := len(testbed.evacuations) - 1
	if last >= 0 && testbed.evacuations[last].ended.IsZero() {
		testbed.store.Put("op", "evacuate/"+farZone, "{}")
	} else {
		testbed.store.Remove("op", "evacuate/"+farZone)
	}
}

// checkCold describes the cold targets that got more requests in a second than they bear, from all nodes.
func (testbed *testbed) checkCold() []string {
	counted := map[string][]time.Time{}
	for _, arrival := range testbed.recorder.Arrivals() {
		if arrival.ColdFor > coldSpread && arrival.Request != "" {
			counted[arrival.Incarnation] = append(counted[arrival.Incarnation], arrival.At)
		}
	}
	var violations []string
	for incarnation, times := range counted {
		for first, start := range times {
			count := 0
			for _, at := range times[first:] {
				if at.Sub(start) < time.Second {
					count++
				}
			}
			if count > coldMost {
				violations = append(violations, fmt.Sprintf("cold target %s got %d requests within a second, want at most %d", incarnation, count, int(coldMost)))
				break
			}
		}
	}
	return violations
}

// checkEvacuations describes the requests that ran at a target of an evacuated zone later than
// evacuationBound. Nodes that were disrupted or started since then, or whose connections to the store
// or to their peers were disrupted, are excused.
func (testbed *testbed) checkEvacuations(results []result) []string {
	nodeOf := map[string]*node{}
	for _, result := range results {
		nodeOf[result.id] = result.node
	}
	var violations []string
	for _, run := range testbed.recorder.Runs() {
		var index int
		node := nodeOf[run.Request]
		if _, err := fmt.Sscanf(strings.TrimPrefix(run.Target, "t-"), "%d", &index); err != nil || node == nil || zoneOf(index) != farZone {
			continue
		}
		for _, evacuation := range testbed.evacuations {
			if run.Began.Before(evacuation.began.Add(evacuationBound)) || run.Began.After(evacuation.ended) {
				continue
			}
			since := run.Began.Add(-evacuationBound)
			if node.changedWithin(since, run.Began) || node.peerProxy.disruptedWithin(since, run.Began) || node.storeProxy.disruptedWithin(since, run.Began) {
				continue
			}
			violations = append(violations, fmt.Sprintf("%s ran at target %s %s after its zone was evacuated, sent by node %s",
				run.Request, run.Target, run.Began.Sub(evacuation.began).Round(time.Millisecond), node.name))
		}
	}
	return violations
}

func sleepContext(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
