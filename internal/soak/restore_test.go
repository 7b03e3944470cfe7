package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

const (
	// maxRestorePause is the longest pause between two restores, maxLostTime the longest
	// time that a restore takes back, and maxRestoreOutage the longest outage before it.
	maxRestorePause  = 2 * time.Second
	maxLostTime      = 6 * time.Second
	maxRestoreOutage = 1500 * time.Millisecond
	// maxRewriteDelay is the longest time until the operator and the targets write again.
	maxRewriteDelay = 1500 * time.Millisecond
	// maxLostEvents is the highest number of events in the time that a restore takes back.
	maxLostEvents = 3
	// meanOldKeyPause is the mean pause between two requests with a withdrawn key.
	meanOldKeyPause = 60 * time.Millisecond
	// rollbackSlack is how long after the effect of a configuration older ones may still
	// be seen at the same node.
	rollbackSlack = 250 * time.Millisecond
)

// injectRestores restores the store from older copies, one after another, until the context
// ends. It passes the name of each event to onFault.
func (testbed *testbed) injectRestores(ctx context.Context, program string, random *rand.Rand, onFault func(name string)) {
	var group sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(maxRestorePause))))
		older := testbed.store.Copy()
		for range random.IntN(maxLostEvents + 1) {
			time.Sleep(time.Duration(random.Int64N(int64(maxLostTime / (maxLostEvents + 1)))))
			testbed.changeAroundRestore(program, random, &group, onFault)
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxLostTime / (maxLostEvents + 1)))))
		onFault("take the store away")
		testbed.store.SetUnavailable(true)
		time.Sleep(time.Duration(random.Int64N(int64(maxRestoreOutage))))
		if random.IntN(2) == 0 {
			testbed.changeAroundRestore(program, random, &group, onFault)
		}
		lost := testbed.store.Restore(older)
		onFault("restore the store from an older copy")
		testbed.store.SetUnavailable(false)
		if random.IntN(3) == 0 {
			testbed.changeAroundRestore(program, random, &group, onFault)
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxRewriteDelay))))
		testbed.store.WriteAgain(lost)
		testbed.writeEvacuationAgain()
		onFault("write again")
		testbed.lock.Lock()
		for _, row := range lost {
			if lifetime := testbed.keys[testbed.key]; row.Table == "op" {
				lifetime.added = time.Now()
				testbed.keys[testbed.key] = lifetime
			}
		}
		testbed.lock.Unlock()
	}
	group.Wait()
}

// changeAroundRestore rotates the key, changes the holder of the lease on orders, lets a
// target leave or restarts it. A target that restarts lacks all models, so that orders follow.
func (testbed *testbed) changeAroundRestore(program string, random *rand.Rand, group *sync.WaitGroup, onFault func(name string)) {
	duration := time.Duration(random.Int64N(int64(maxFaultDuration)))
	target := testbed.targets[random.IntN(len(testbed.targets))]
	var ends []func()
	switch random.IntN(6) {
	case 0, 1:
		onFault("change the configuration around a restore")
		testbed.rotateKeyBy(1 + random.IntN(3))
	case 2, 3:
		onFault("restart the holder of the lease and a target around a restore")
		signal := syscall.SIGTERM
		if random.IntN(2) == 0 {
			signal = syscall.SIGKILL
		}
		// The name of the node begins the holder's.
		holder, _, _ := strings.Cut(testbed.recorder.LastHolder(), "@")
		for _, node := range testbed.nodes {
			if node.name == holder {
				ends = append(ends, node.restart(program, signal))
			}
		}
		ends = append(ends, testbed.restartTarget(target))
	case 4:
		onFault("let a target leave around a restore")
		target.Leave(random.IntN(2) == 0)
		ends = append(ends, func() { testbed.replaceLeaving(target) })
	default:
		onFault("restart a target around a restore")
		ends = append(ends, testbed.restartTarget(target))
	}
	for _, end := range ends {
		if end != nil {
			group.Go(func() {
				time.Sleep(duration)
				end()
			})
		}
	}
}

// restartTarget crashes a target and returns a function that starts it again.
func (testbed *testbed) restartTarget(target *emulator.Target) func() {
	target.Crash()
	return func() {
		if err := target.Restart(); err != nil {
			testbed.t.Logf("restart target %s: %v", target.Address(), err)
		}
	}
}

// runOldKeyCaller sends requests with the key before the current one until the context ends.
func (testbed *testbed) runOldKeyCaller(ctx context.Context, group *sync.WaitGroup, random *rand.Rand) {
	group.Go(func() {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
		defer client.CloseIdleConnections()
		for count := 0; ctx.Err() == nil; count++ {
			testbed.lock.Lock()
			request := result{id: fmt.Sprintf("old-key-%d", count), route: "look", key: testbed.previousKey}
			testbed.lock.Unlock()
			request.node = testbed.nodes[random.IntN(len(testbed.nodes))]
			if request.key == "" {
				request.key = testbed.schoolKey()
			}
			got := send(client, request.node.callerProxy.address(), request, 20)
			testbed.lock.Lock()
			testbed.results = append(testbed.results, got)
			testbed.lock.Unlock()
			time.Sleep(time.Duration(random.Int64N(int64(2 * meanOldKeyPause))))
		}
	})
}

// checkConfigurations describes the requests that a node handled by an older configuration
// than one that it had in force before: it accepted a key that had been withdrawn by then, or
// denied a key that it had accepted and that was still the current one. A disruption or
// restart of the node since then excuses them.
func (testbed *testbed) checkConfigurations(results []result) []string {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	accepted := map[*node][]result{}
	for _, result := range results {
		if _, known := testbed.keys[result.key]; known && result.status == http.StatusOK {
			accepted[result.node] = append(accepted[result.node], result)
		}
	}
	var violations []string
	for _, later := range results {
		lifetime, known := testbed.keys[later.key]
		if !known || later.status != http.StatusOK && later.status != http.StatusUnauthorized {
			continue
		}
		for _, earlier := range accepted[later.node] {
			version := testbed.keys[earlier.key].version
			reverted := later.status == http.StatusOK && version > lifetime.version
			denied := later.status == http.StatusUnauthorized && version == lifetime.version && (lifetime.withdrawn.IsZero() || later.ended.Before(lifetime.withdrawn))
			if (reverted || denied) && later.sent.After(earlier.ended.Add(rollbackSlack)) && !later.node.changedWithin(earlier.sent, later.ended) {
				violations = append(violations, fmt.Sprintf("%s at %s, sent %s, status %d: handled by another configuration than version %d, although %s had been accepted by that one at %s",
					later.id, later.node.name, later.sent.Format(time.TimeOnly+".000"), later.status, version, earlier.id, earlier.ended.Format(time.TimeOnly+".000")))
				break
			}
		}
	}
	return violations
}

// A holder may send no more than maxStaleOrders orders with a fencing token later than
// staleOrderMargin after one with it was refused as stale.
const (
	maxStaleOrders   = 3
	staleOrderMargin = time.Second + maxFaultDuration
)

// checkStaleOrders describes the holders that went on to send orders with a stale fencing
// token.
func (testbed *testbed) checkStaleOrders() []string {
	first, count := map[string]time.Time{}, map[string]int{}
	for _, order := range testbed.recorder.StaleOrders() {
		key := fmt.Sprintf("%s to service %s with fencing token %d", order.Holder, order.Service, order.FencingToken)
		if _, found := first[key]; !found {
			first[key] = order.At
		}
		if order.At.After(first[key].Add(staleOrderMargin)) {
			count[key]++
		}
	}
	var violations []string
	for key, number := range count {
		if number > maxStaleOrders {
			violations = append(violations, fmt.Sprintf("%d orders of %s later than %s after one was refused as stale, want at most %d", number, key, staleOrderMargin, maxStaleOrders))
		}
	}
	sort.Strings(violations)
	return violations
}
