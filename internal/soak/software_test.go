package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// modelTargets is the number of the targets that are model engines, which come first.
	modelTargets = 3
	// softwareVersions is the number of versions that releases choose from, so that old ones return.
	softwareVersions = 3
	maxReleasePause  = 1500 * time.Millisecond
	// A node may be out of step from up to maxLeadTime before a release, for maxOutOfStep at most.
	maxLeadTime  = 300 * time.Millisecond
	maxOutOfStep = 2500 * time.Millisecond
	// streamCallers is the number of callers that only send streams of one model, so that many are
	// under way when a version joins.
	streamCallers = 6
	// brokenStreams is the largest share of the streams that a target breaks off.
	brokenStreams = 0.6
)

// injectReleases replaces model engines by such with other software until the context ends. Some
// leave before, some crash, and at times all nodes are killed while the last targets of a version
// leave. Before some of them a node, drawn from lost, loses touch. It passes the name of each event
// to onFault.
func (testbed *testbed) injectReleases(ctx context.Context, program string, random, lost *rand.Rand, onFault func(name string)) {
	var group sync.WaitGroup
	testbed.joinUnseen(&group, lost, onFault)
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(maxReleasePause))))
		if lost.IntN(2) == 0 {
			testbed.loseTouch(&group, lost, onFault)
		}
		software := fmt.Sprintf("v%d", random.IntN(softwareVersions))
		count := 1 + random.IntN(modelTargets)
		killAll := random.IntN(4) == 0
		onFault(fmt.Sprintf("release %s at %d targets, nodes killed meanwhile %t", software, count, killAll))
		if killAll {
			if start := testbed.restartAllNodes(program); start != nil {
				outage := time.Duration(random.Int64N(int64(time.Second)))
				group.Go(func() {
					time.Sleep(outage)
					start()
				})
			}
		}
		for _, target := range testbed.targets[:modelTargets] {
			target.SetFailureRates(brokenStreams*random.Float64(), 0, 0)
		}
		for _, index := range random.Perm(modelTargets)[:count] {
			target := testbed.targets[index]
			target.Upgrade(software)
			pause := time.Duration(random.Int64N(int64(drainTime)))
			if random.IntN(3) == 0 {
				target.Crash()
				group.Go(func() {
					time.Sleep(pause)
					if err := target.Restart(); err != nil {
						testbed.t.Logf("restart target %d: %v", index, err)
					}
				})
				continue
			}
			target.Leave(random.IntN(2) == 0)
			group.Go(func() {
				time.Sleep(pause)
				testbed.replaceLeaving(target)
			})
		}
	}
	group.Wait()
}

// runStreamCallers starts callers in the group that send streams and take them up, until the context
// ends.
func (testbed *testbed) runStreamCallers(ctx context.Context, group *sync.WaitGroup, seed uint64) {
	for index := range streamCallers {
		random := rand.New(rand.NewPCG(seed, uint64(100+index)))
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
			defer client.CloseIdleConnections()
			for count := 0; ctx.Err() == nil; count++ {
				request := result{
					id: fmt.Sprintf("s%d-%d", index, count), route: "draft", model: "m0",
					node: testbed.nodes[random.IntN(len(testbed.nodes))], key: testbed.schoolKey(),
				}
				got := send(client, request.node.callerProxy.address(), request, 50)
				testbed.addResult(got)
				testbed.takeUp(client, got, 50, random)
				time.Sleep(time.Duration(random.Int64N(int64(2 * meanCallerPause))))
			}
		})
	}
}

// joinUnseen lets a second version join at once while a node is cut off, which knows one only, and
// has its targets break off streams that are taken up there.
func (testbed *testbed) joinUnseen(group *sync.WaitGroup, random *rand.Rand, onFault func(name string)) {
	testbed.loseTouch(group, random, onFault)
	for _, target := range testbed.targets[:modelTargets-1] {
		target.Upgrade("v0")
		target.Crash()
		if err := target.Restart(); err != nil {
			testbed.t.Logf("restart a target: %v", err)
		}
		target.SetFailureRates(brokenStreams, 0, 0)
	}
	onFault("release v0 while a node is out of step")
}

// loseTouch makes a node stand still, or cuts it off from the store and the other nodes, shortly
// before a release, so that versions join meanwhile. It waits until the release may begin.
func (testbed *testbed) loseTouch(group *sync.WaitGroup, random *rand.Rand, onFault func(name string)) {
	node := testbed.nodes[random.IntN(len(testbed.nodes))]
	stops, duration := random.IntN(3) == 0, time.Duration(random.Int64N(int64(maxOutOfStep)))
	onFault(fmt.Sprintf("%s out of step, stopped %t", node.name, stops))
	begin := func() {
		node.storeProxy.set(linkCondition{blocked: true}, linkCondition{blocked: true})
		node.peerProxy.set(linkCondition{blocked: true}, linkCondition{blocked: true})
	}
	end := func() {
		node.storeProxy.set(linkCondition{}, linkCondition{})
		node.peerProxy.set(linkCondition{}, linkCondition{})
	}
	if stops {
		begin, end = func() { node.signal(syscall.SIGSTOP) }, func() { node.signal(syscall.SIGCONT) }
	}
	node.markDisrupted()
	testbed.setOutOfStep(node, true)
	begin()
	group.Go(func() {
		time.Sleep(duration)
		end()
		node.markDisrupted()
		// What the node has missed reaches it some time later.
		time.Sleep(maxLeadTime)
		testbed.setOutOfStep(node, false)
	})
	time.Sleep(time.Duration(random.Int64N(int64(maxLeadTime))))
}

func (testbed *testbed) setOutOfStep(node *node, outOfStep bool) {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	if !outOfStep {
		delete(testbed.outOfStep, node)
		return
	}
	testbed.outOfStep[node] = true
}

// takeUpNode returns the node at which a caller takes a stream up: often one that is out of step.
func (testbed *testbed) takeUpNode(random *rand.Rand) *node {
	chosen := testbed.nodes[random.IntN(len(testbed.nodes))]
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	for _, node := range testbed.nodes {
		if testbed.outOfStep[node] && random.IntN(4) > 0 {
			chosen = node
		}
	}
	if testbed.outOfStep[chosen] {
		testbed.takeUpsOutOfStep++
	}
	return chosen
}

var writtenBy = regexp.MustCompile(`data: .* by (\S+)`)

// checkSoftware describes the streams with events of several versions of the targets' software, in
// one answer or over a caller's tries.
func checkSoftware(results []result) []string {
	var violations []string
	software := map[string]string{}
	for _, result := range results {
		begun := result.begun
		if begun == "" {
			begun = result.id
		}
		for _, match := range writtenBy.FindAllStringSubmatch(result.body, -1) {
			first, found := software[begun]
			if !found {
				software[begun] = match[1]
			} else if first != match[1] {
				violations = append(violations, fmt.Sprintf("stream %s holds events of %s and, in attempt %s at %s, sent %s, of %s",
					begun, first, result.id, result.node.name, result.sent.Format(time.TimeOnly+".000"), match[1]))
				break
			}
		}
	}
	return violations
}

// describeTakeUps tells how many streams were taken up, and how many of them went on.
func (testbed *testbed) describeTakeUps(results []result) string {
	takeUps, wentOn, unknown := 0, 0, 0
	for _, result := range results {
		switch {
		case result.begun == "":
			continue
		case writtenBy.MatchString(result.body):
			wentOn++
		case strings.HasPrefix(result.body, "OriginUnknown"):
			unknown++
		}
		takeUps++
	}
	return fmt.Sprintf("%d streams taken up, %d at nodes out of step; %d went on and %d were refused for their unknown origin",
		takeUps, testbed.takeUpsOutOfStep, wentOn, unknown)
}
