package soak_test

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

// recoverTime bounds how long the fleet may take to serve again after all faults have ended.
const recoverTime = 30 * time.Second

// notRun are the statuses that promise that a request has not run.
var notRun = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// check returns every promise that was broken.
func (world *world) check() []string {
	broken := world.book.Breaches()
	runs := map[string][]emulator.Run{}
	for _, run := range world.book.Runs() {
		runs[run.Request] = append(runs[run.Request], run)
	}
	world.lock.Lock()
	results := world.results
	broken = append(broken, world.broken...)
	world.lock.Unlock()
	for _, result := range results {
		if fault := world.checkResult(result, runs[result.id]); fault != "" {
			broken = append(broken, fmt.Sprintf("%s %s at %s, sent %s, took %s, status %d, error %v, runs %d: %s",
				result.route, result.id, result.node.name, result.sent.Format(time.TimeOnly+".000"),
				result.ended.Sub(result.sent).Round(time.Millisecond), result.status, result.err, len(runs[result.id]), fault))
		}
		delete(runs, result.id)
	}
	for id := range runs {
		broken = append(broken, "a target ran "+id+", which no caller sent")
	}
	return append(broken, world.checkQuota()...)
}

// checkResult says what is wrong with one request.
func (world *world) checkResult(result result, runs []emulator.Run) string {
	repeatable := result.route == "look" || result.route == "draft"
	account := "school"
	if result.key == "club" {
		account = "club"
	}
	for _, run := range runs {
		if run.HasKey || run.Account != account {
			return "a target saw the key or another account: " + run.Account
		}
	}
	switch {
	case !repeatable && len(runs) > 1:
		return "ran more than once"
	case notRun[result.status] && len(runs) > 0:
		return "was refused as not run and has run"
	case result.status == http.StatusOK:
		return checkBody(result)
	case result.status == 0 && len(runs) > 0 && !result.node.disturbed(result.sent):
		return "was passed on and its connection ended without an answer"
	case result.ended.Sub(result.sent) > callerGiveUp-time.Second && !result.node.disturbed(result.sent):
		return "was left without an answer"
	}
	return ""
}

// disturbed says whether the node or the way to it was disturbed since a time.
func (node *node) disturbed(since time.Time) bool {
	node.lock.Lock()
	defer node.lock.Unlock()
	node.callerWay.lock.Lock()
	defer node.callerWay.lock.Unlock()
	// A disturbance that ended a moment before may still have an effect.
	since = since.Add(-faultLength)
	return node.touched.After(since) || node.callerWay.touched.After(since)
}

// checkBody demands the target's whole answer, or a beginning of it that can't be taken for a whole one.
func checkBody(result result) string {
	if result.route == "look" || result.route == "buy" {
		target := strings.TrimPrefix(result.signature, "signed by ")
		if result.err == nil && result.body != result.id+" done by "+target {
			return "answer is not its target's: " + result.body
		}
		return ""
	}
	events := strings.Split(result.body, "\n\n")
	whole := 0
	for _, event := range events[:len(events)-1] {
		want := fmt.Sprintf("id: %d\ndata: %s %d of %d", whole+1, result.id, whole+1, streamSize)
		if event != want {
			return fmt.Sprintf("event %d is %q", whole+1, event)
		}
		whole++
	}
	if result.err == nil && (whole != streamSize || events[len(events)-1] != "") {
		return fmt.Sprintf("stream ended as whole after %d events", whole)
	}
	return ""
}

// checkQuota demands that the limited account keeps within its rate in every window.
func (world *world) checkQuota() []string {
	first := map[string]emulator.Run{}
	for _, run := range world.book.Runs() {
		if known, found := first[run.Request]; run.Account == "club" && (!found || run.Began.Before(known.Began)) {
			first[run.Request] = run
		}
	}
	var runs []emulator.Run
	for _, run := range first {
		runs = append(runs, run)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Began.Before(runs[j].Began) })
	most := (clubRate*quotaWindow.Seconds()+clubBurst)*quotaOver + quotaSlack
	sum, begin := 0.0, 0
	for _, run := range runs {
		sum += run.Tokens
		for run.Began.Sub(runs[begin].Began) > quotaWindow {
			sum -= runs[begin].Tokens
			begin++
		}
		if sum > most {
			return []string{fmt.Sprintf("club ran %.0f tokens in %s, %.0f are allowed", sum, quotaWindow, most)}
		}
	}
	return nil
}

// recovered says what a node does not do yet after all faults have ended.
func (world *world) recovered(client *http.Client, oldKey string) string {
	for _, node := range world.nodes {
		response, err := client.Get("http://" + node.readiness + "/ready")
		if err != nil {
			return node.name + " does not answer: " + err.Error()
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return node.name + " is not ready"
		}
		for index, route := range routes {
			probe := result{id: fmt.Sprintf("probe-%s-%d-%d", node.name, index, time.Now().UnixNano()), route: route, node: node}
			probe.key = world.schoolKey()
			got := call(client, node.callers, probe, 20)
			world.lock.Lock()
			world.results = append(world.results, got)
			world.lock.Unlock()
			if got.status != http.StatusOK || got.err != nil {
				return fmt.Sprintf("%s answers %s with %d, %v: %s", node.name, route, got.status, got.err, got.body)
			}
		}
		probe := result{id: fmt.Sprintf("old-%s-%d", node.name, time.Now().UnixNano()), route: "look", node: node, key: oldKey}
		if got := call(client, node.callers, probe, 20); got.status != http.StatusUnauthorized {
			return fmt.Sprintf("%s answers a withdrawn key with %d", node.name, got.status)
		}
	}
	return ""
}
