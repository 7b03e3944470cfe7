package soak_test

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"strings"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

// recoveryTimeout bounds the time until the fleet serves again after all faults have ended.
const recoveryTimeout = 30 * time.Second

// drainTime is how long requests may still be sent to a target that leaves, as the
// nodes' settings say.
const drainTime = time.Second

// configurationSpread is the time within which a configuration has to be in force on every
// node, as the nodes' settings say.
const configurationSpread = 2 * time.Second

// Of the requests that crash targets, maxLateCrashes may reach one later than
// quarantineTime after the crash with the number crashesBeforeQuarantine.
const (
	crashesBeforeQuarantine = 5
	quarantineTime          = 3 * time.Second
	maxLateCrashes          = 3
)

// No more than maxPausedArrivals requests of a node may reach a target between pauseMargin
// after it asked that node for a pause and the end of the pause.
const (
	pauseMargin       = 500 * time.Millisecond
	maxPausedArrivals = 2
)

// From limitDelay after a target has named its limit, no window may have more requests than
// limitFactor times what it allows and limitSlack, counted over the nodes that passed on such
// an answer limitMargin before.
const (
	limitDelay  = 3 * time.Second
	limitMargin = 500 * time.Millisecond
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// notRun are the status codes which state that a request has not run.
var notRun = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// check returns a description of every broken promise in the run.
func (testbed *testbed) check() []string {
	violations := testbed.recorder.Violations()
	runs := map[string][]emulator.Run{}
	for _, run := range testbed.recorder.Runs() {
		runs[run.Request] = append(runs[run.Request], run)
	}
	testbed.lock.Lock()
	results := testbed.results
	violations = append(violations, testbed.violations...)
	testbed.lock.Unlock()
	for _, result := range results {
		if violation := testbed.checkResult(result, runs[result.id]); violation != "" {
			violations = append(violations, fmt.Sprintf("%s %s at %s, sent %s, took %s, status %d, error %v, runs %d: %s",
				result.route, result.id, result.node.name, result.sent.Format(time.TimeOnly+".000"),
				result.ended.Sub(result.sent).Round(time.Millisecond), result.status, result.err, len(runs[result.id]), violation))
		}
		delete(runs, result.id)
	}
	for id := range runs {
		violations = append(violations, "a target ran request "+id+", which no caller sent")
	}
	violations = append(violations, testbed.checkLeaving(results)...)
	violations = append(violations, testbed.checkPauses(results)...)
	violations = append(violations, testbed.checkLimits(results)...)
	violations = append(violations, testbed.checkEvacuations(results)...)
	violations = append(violations, testbed.checkCold()...)
	violations = append(violations, testbed.checkDeadly(results)...)
	violations = append(violations, testbed.checkConfigurations(results)...)
	violations = append(violations, testbed.checkStaleOrders()...)
	violations = append(violations, checkSoftware(results)...)
	violations = append(violations, testbed.checkMemory()...)
	return append(violations, testbed.checkQuota()...)
}

// deniedWrongly reports whether a request was answered 401 or 404 although its key had been
// in force when it was sent, for longer than a configuration may take to spread and a
// fault may delay a message, and still was when the answer came.
func (testbed *testbed) deniedWrongly(result result) bool {
	if result.status != http.StatusUnauthorized && result.status != http.StatusNotFound {
		return false
	}
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	lifetime, found := testbed.keys[result.key]
	if !found || result.status == http.StatusNotFound {
		// The key of the other account and all routes are in every configuration.
		return true
	}
	return result.sent.After(lifetime.added.Add(configurationSpread+maxFaultDuration)) &&
		(lifetime.withdrawn.IsZero() || result.ended.Before(lifetime.withdrawn))
}

// checkLeaving describes the requests that a node sent to a target although it had passed
// on an answer in which this incarnation of the target said that it leaves, more than the
// drain time before the caller sent the request. A disruption or restart of the node since
// then excuses them.
func (testbed *testbed) checkLeaving(results []result) []string {
	type knowledge struct {
		node        *node
		incarnation string
	}
	known := map[knowledge]time.Time{}
	nodeOf := map[string]result{}
	for _, result := range results {
		nodeOf[result.id] = result
		key := knowledge{node: result.node, incarnation: result.leaving}
		if at, found := known[key]; result.leaving != "" && (!found || result.ended.Before(at)) {
			known[key] = result.ended
		}
	}
	var violations []string
	for _, run := range testbed.recorder.Runs() {
		result, sent := nodeOf[run.Request]
		at, told := known[knowledge{node: result.node, incarnation: run.Incarnation}]
		if sent && told && result.sent.After(at.Add(drainTime)) && !result.node.changedWithin(at, run.Began) {
			violations = append(violations, fmt.Sprintf("%s ran at target %s %s after node %s had passed on that the target leaves",
				run.Request, run.Target, result.sent.Sub(at).Round(time.Millisecond), result.node.name))
		}
	}
	return violations
}

// checkPauses describes the pauses in which a target that had asked a node for one got too
// many requests from that node. A disruption or restart of the node or of the connections
// to the target since then excuses them.
func (testbed *testbed) checkPauses(results []result) []string {
	nodeOf := map[string]*node{}
	for _, result := range results {
		nodeOf[result.id] = result.node
	}
	arrivals := testbed.recorder.Arrivals()
	var violations []string
	for index, rejected := range arrivals {
		node := nodeOf[rejected.Request]
		if rejected.Pause == 0 || node == nil {
			continue
		}
		count, end := 0, rejected.At.Add(rejected.Pause)
		for _, later := range arrivals[index+1:] {
			if later.At.After(rejected.At.Add(pauseMargin)) && later.At.Before(end) &&
				later.Incarnation == rejected.Incarnation && nodeOf[later.Request] == node {
				count++
			}
		}
		if count > maxPausedArrivals && !node.changedWithin(rejected.At, end) && !testbed.linkDisrupted(rejected.Incarnation, rejected.At, end) {
			violations = append(violations, fmt.Sprintf("target %s got %d requests from node %s within %s although it had rejected %s with that pause, want at most %d",
				rejected.Incarnation, count, node.name, rejected.Pause, rejected.Request, maxPausedArrivals))
		}
	}
	return violations
}

// checkLimits describes the targets that got too many requests from nodes that knew their
// limit. Nodes that were disrupted or started, or whose connections to their peers were
// disrupted, since they were told or shortly before are excused.
func (testbed *testbed) checkLimits(results []result) []string {
	type knowledge struct {
		node        *node
		incarnation string
	}
	told, nodeOf := map[knowledge]time.Time{}, map[string]*node{}
	for _, result := range results {
		nodeOf[result.id] = result.node
		key := knowledge{node: result.node, incarnation: result.limited}
		if at, found := told[key]; result.limited != "" && (!found || result.ended.Before(at)) {
			told[key] = result.ended
		}
	}
	named := map[string]time.Time{}
	counted := map[string][]emulator.Arrival{}
	for _, arrival := range testbed.recorder.Arrivals() {
		if arrival.Limit == 0 {
			continue
		}
		if _, found := named[arrival.Incarnation]; !found {
			named[arrival.Incarnation] = arrival.At
		}
		node := nodeOf[arrival.Request]
		at, knows := told[knowledge{node: node, incarnation: arrival.Incarnation}]
		since := arrival.At.Add(-limitWindow - maxFaultDuration)
		if node == nil || !knows || arrival.At.Before(at.Add(limitMargin)) || arrival.At.Before(named[arrival.Incarnation].Add(limitDelay)) ||
			node.changedWithin(since, arrival.At) || node.peerProxy.disruptedWithin(since, arrival.At) {
			continue
		}
		counted[arrival.Incarnation] = append(counted[arrival.Incarnation], arrival)
	}
	var violations []string
	for incarnation, arrivals := range counted {
		for first, start := range arrivals {
			count, limit := 0, start.Limit
			for _, later := range arrivals[first:] {
				if later.At.Sub(start.At) < limitWindow {
					count++
					limit = max(limit, later.Limit)
				}
			}
			if most := int(limitFactor*limit*limitWindow.Seconds() + limitSlack); count > most {
				violations = append(violations, fmt.Sprintf("target %s got %d requests within %s although it takes %.1f a second, want at most %d",
					incarnation, count, limitWindow, limit, most))
				break
			}
		}
	}
	return violations
}

// linkDisrupted reports whether the connections to a target were disrupted between two
// times, or shortly before.
func (testbed *testbed) linkDisrupted(incarnation string, from, to time.Time) bool {
	for index, proxy := range testbed.targetProxies {
		if strings.HasPrefix(incarnation, fmt.Sprintf("t-%d@", index)) {
			return proxy.disruptedWithin(from.Add(-maxFaultDuration), to)
		}
	}
	return false
}

// checkDeadly describes the requests with the deadly part that reached targets later than
// quarantineTime after the fifth crash, if they are too many. Nodes that were disrupted or
// started, or whose connections to their peers were disrupted, within that time are
// excused.
func (testbed *testbed) checkDeadly(results []result) []string {
	nodeOf := map[string]*node{}
	for _, result := range results {
		nodeOf[result.id] = result.node
	}
	var crashes []emulator.Run
	for _, run := range testbed.recorder.Runs() {
		if run.Deadly {
			crashes = append(crashes, run)
		}
	}
	if len(crashes) <= crashesBeforeQuarantine {
		return nil
	}
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Began.Before(crashes[j].Began) })
	end := crashes[crashesBeforeQuarantine-1].Began.Add(quarantineTime)
	late := 0
	for _, crash := range crashes {
		node, since := nodeOf[crash.Request], crash.Began.Add(-quarantineTime)
		if crash.Began.After(end) && !node.changedWithin(since, crash.Began) && !node.peerProxy.disruptedWithin(since, crash.Began) {
			late++
		}
	}
	if late > maxLateCrashes {
		return []string{fmt.Sprintf("%d requests with a deadly part crashed targets later than %s after the fifth crash, want at most %d",
			late, quarantineTime, maxLateCrashes)}
	}
	return nil
}

// changedWithin reports whether the node was disrupted or started between two times.
func (node *node) changedWithin(from, to time.Time) bool {
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.changes.anyWithin(from, to)
}

// checkResult describes how a request and its runs break a promise; empty if they do not.
func (testbed *testbed) checkResult(result result, runs []emulator.Run) string {
	repeatable := result.route == "look" || result.route == "draft"
	account := "school"
	if result.key == "club" {
		account = "club"
	}
	for _, run := range runs {
		if run.HasKey || run.Account != account {
			return "a target got the caller's key, or an account that is not the key's: " + run.Account
		}
	}
	switch {
	case !repeatable && len(runs) > 1:
		return "ran more than once, want at most one run"
	case !result.deadly && len(runs) == 0 && strings.HasPrefix(result.body, "PoisonRequest"):
		return "was refused as one that crashes targets although it has nothing in common with those but shared parts"
	case testbed.deniedWrongly(result):
		return "was denied although its route and key had long been in force"
	case notRun[result.status] && len(runs) > 0:
		return "was refused as not run but has run"
	case result.status != 0 && (result.status < http.StatusOK || result.status > 599):
		return "got a status that is none of HTTP"
	case result.status == http.StatusOK:
		return checkBody(result)
	case result.status == 0 && len(runs) > 0 && !result.node.disrupted(result.sent):
		return "reached a target but the caller's connection ended without an answer"
	case result.ended.Sub(result.sent) > clientTimeout-time.Second && !result.node.disrupted(result.sent):
		return "got no complete answer within the client timeout"
	}
	return ""
}

// disrupted reports whether the node or the connections of its callers were disrupted since a time.
func (node *node) disrupted(since time.Time) bool {
	node.lock.Lock()
	defer node.lock.Unlock()
	node.callerProxy.lock.Lock()
	defer node.callerProxy.lock.Unlock()
	// A disruption that ended shortly before the request may still affect it.
	since = since.Add(-maxFaultDuration)
	return node.lastDisrupted.After(since) || node.callerProxy.lastDisrupted.After(since)
}

// checkBody requires the target's complete answer, or a truncated one that the
// caller can recognize as such.
func checkBody(result result) string {
	if result.route == "look" || result.route == "buy" {
		target := strings.TrimPrefix(result.signature, "signed by ")
		if result.err == nil && result.body != result.id+" done by "+target {
			return "answer is not that of its target: " + result.body
		}
		return ""
	}
	events := strings.Split(result.body, "\n\n")
	received := result.after
	for _, event := range events[:len(events)-1] {
		want := fmt.Sprintf("id: %d\ndata: %s %d of %d by ", received+1, result.id, received+1, streamSize)
		if !strings.HasPrefix(event, want) {
			return fmt.Sprintf("unexpected event %d: %q", received+1, event)
		}
		received++
	}
	if result.err == nil && (received != streamSize || events[len(events)-1] != "") {
		return fmt.Sprintf("stream ended without an error after %d events, want all events", received)
	}
	return ""
}

// checkQuota checks that the rate-limited account uses at most
// (rate*window + burst)*quotaTolerance + quotaSlack tokens in every window. A request
// counts once, at its first run.
func (testbed *testbed) checkQuota() []string {
	first := map[string]emulator.Run{}
	for _, run := range testbed.recorder.Runs() {
		if known, found := first[run.Request]; run.Account == "club" && (!found || run.Began.Before(known.Began)) {
			first[run.Request] = run
		}
	}
	var runs []emulator.Run
	for _, run := range first {
		runs = append(runs, run)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Began.Before(runs[j].Began) })
	limit := (clubRate*quotaWindow.Seconds()+clubBurst)*quotaTolerance + quotaSlack
	sum, begin := 0.0, 0
	for _, run := range runs {
		sum += run.Tokens
		for run.Began.Sub(runs[begin].Began) > quotaWindow {
			sum -= runs[begin].Tokens
			begin++
		}
		if sum > limit {
			return []string{fmt.Sprintf("account club: %.0f tokens ran within %s, want at most %.0f", sum, quotaWindow, limit)}
		}
	}
	return nil
}

// recoveryProblem describes what a node does not do yet after all faults have ended;
// empty if every node is ready, serves all routes and refuses the withdrawn key.
func (testbed *testbed) recoveryProblem(client *http.Client, oldKey string) string {
	for _, node := range testbed.nodes {
		response, err := client.Get("http://" + node.readiness + "/ready")
		if err != nil {
			return node.name + " does not respond: " + err.Error()
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return node.name + " is not ready"
		}
		for index, route := range routes {
			request := result{id: fmt.Sprintf("probe-%s-%d-%d", node.name, index, time.Now().UnixNano()), route: route, node: node}
			request.key = testbed.schoolKey()
			got := send(client, node.callers, request, 20)
			testbed.lock.Lock()
			testbed.results = append(testbed.results, got)
			testbed.lock.Unlock()
			if got.status != http.StatusOK || got.err != nil {
				return fmt.Sprintf("%s: want status 200 for %s, got %d, error %v: %s", node.name, route, got.status, got.err, got.body)
			}
		}
		request := result{id: fmt.Sprintf("old-%s-%d", node.name, time.Now().UnixNano()), route: "look", node: node, key: oldKey}
		if got := send(client, node.callers, request, 20); got.status != http.StatusUnauthorized {
			return fmt.Sprintf("%s: want status 401 for a withdrawn key, got %d", node.name, got.status)
		}
	}
	return ""
}

// memoryLimit is the memory that a node may use, as its settings say, in kilobytes.
const memoryLimit = 284 << 10

// checkMemory describes the nodes whose process has used more memory than it may, as far as
// the system tells it.
func (testbed *testbed) checkMemory() []string {
	var violations []string
	most := 0
	for _, node := range testbed.nodes {
		peak := node.peakMemory()
		most = max(most, peak)
		if peak > memoryLimit {
			violations = append(violations, fmt.Sprintf("%s used %d KB of memory, want at most %d", node.name, peak, memoryLimit))
		}
	}
	testbed.t.Logf("no node used more than %d KB of memory", most)
	return violations
}

// peakMemory returns the most memory that the node's process has used, in kilobytes; zero if
// the system doesn't tell it.
func (node *node) peakMemory() int {
	node.lock.Lock()
	defer node.lock.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", node.process.Process.Pid))
	if err != nil {
		return 0
	}
	peak := 0
	for _, line := range strings.Split(string(status), "\n") {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			// A field that can't be read leaves zero.
			_, _ = fmt.Sscan(rest, &peak)
		}
	}
	return peak
}
