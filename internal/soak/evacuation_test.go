package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

var evacuateZones = flag.Bool("soak.evacuations", true, "evacuate an availability zone and take it back in some runs without restores")

const (
	// farZone is the availability zone of every second target.
	farZone = "b"
	// evacuationBound is the time within which a zone gets nothing more: hosts may hear of it only
	// after one fault of their connections or of the store has ended.
	evacuationBound = maxFaultDuration + 3*time.Second
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
		testbed.store.Put("op", "evacuate/"+farZone, "{}")
		testbed.lock.Lock()
		testbed.evacuations = append(testbed.evacuations, evacuation{began: time.Now()})
		last := len(testbed.evacuations) - 1
		testbed.lock.Unlock()
		onFault("evacuate zone " + farZone)
		sleepContext(ctx, time.Duration(random.Int64N(int64(2*evacuationBound))))
		testbed.lock.Lock()
		testbed.evacuations[last].ended = time.Now()
		testbed.lock.Unlock()
		testbed.store.Remove("op", "evacuate/"+farZone)
		onFault("take zone " + farZone + " back")
	}
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
