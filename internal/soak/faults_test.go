package soak_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

const (
	// maxFaultPause is the longest pause before the next fault begins. It is shorter
	// than maxFaultDuration, so that faults overlap.
	maxFaultPause    = 500 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// rowLifetime is how long the row of a crashed target stays in the store, unless
	// the target restarts before.
	rowLifetime = time.Second
	// exitMargin is the time in addition to the grace period after which a process
	// that got SIGTERM is killed.
	exitMargin = time.Second
)

// fault is a fault that a run injects.
type fault struct {
	name string
	// begin starts the fault and returns a function that ends it, or nil if there is
	// nothing to end.
	begin func(testbed *testbed, program string) func()
}

// faults returns the faults that a run chooses from.
func faults() []fault {
	return []fault{
		{"pause a node", (*testbed).pauseNode},
		{"kill a node", func(testbed *testbed, program string) func() { return testbed.restartNode(program, syscall.SIGKILL) }},
		{"kill all nodes", (*testbed).restartAllNodes},
		{"terminate a node", func(testbed *testbed, program string) func() { return testbed.restartNode(program, syscall.SIGTERM) }},
		{"reload a node's settings", func(testbed *testbed, _ string) func() {
			testbed.randomNode().signal(syscall.SIGHUP)
			return nil
		}},
		{"make the store unavailable to a node", func(testbed *testbed, _ string) func() {
			endpoint := testbed.randomNode().storeEndpoint
			endpoint.SetUnavailable(true)
			return func() { endpoint.SetUnavailable(false) }
		}},
		{"begin a store outage", (*testbed).storeOutage},
		{"lose the store's answers to a node", func(testbed *testbed, _ string) func() {
			endpoint := testbed.randomNode().storeEndpoint
			endpoint.LoseAnswers(0.5)
			return func() { endpoint.LoseAnswers(0) }
		}},
		{"slow the store for a node", func(testbed *testbed, _ string) func() {
			endpoint := testbed.randomNode().storeEndpoint
			endpoint.Slow(time.Duration(testbed.random.IntN(300)) * time.Millisecond)
			return func() { endpoint.Slow(0) }
		}},
		{"drop the store's change history", func(testbed *testbed, _ string) func() {
			testbed.store.DropHistory()
			return nil
		}},
		{"disrupt a node's connections to the store", func(testbed *testbed, _ string) func() { return testbed.disrupt(testbed.randomNode().storeProxy) }},
		{"disrupt the connections between nodes", func(testbed *testbed, _ string) func() { return testbed.disrupt(testbed.randomNode().peerProxy) }},
		{"disrupt the connections to a target", func(testbed *testbed, _ string) func() {
			return testbed.disrupt(testbed.targetProxies[testbed.random.IntN(len(testbed.targetProxies))])
		}},
		{"disrupt the connections of a node's callers", func(testbed *testbed, _ string) func() { return testbed.disrupt(testbed.randomNode().callerProxy) }},
		{"crash a target", (*testbed).crashTarget},
		{"let a target leave", func(testbed *testbed, _ string) func() {
			target := testbed.targets[testbed.random.IntN(len(testbed.targets))]
			target.Leave(testbed.random.IntN(2) == 0)
			return func() { testbed.replaceLeaving(target) }
		}},
		{"let a target ask for pauses", func(testbed *testbed, _ string) func() {
			target := testbed.targets[testbed.random.IntN(len(testbed.targets))]
			target.SetPause(pauseMargin + time.Duration(testbed.random.Int64N(int64(maxFaultDuration))))
			return func() { target.SetPause(0) }
		}},
		{"let a target be cold", func(testbed *testbed, _ string) func() {
			testbed.targets[testbed.random.IntN(len(testbed.targets))].SetCold(coldSpread + time.Duration(testbed.random.Int64N(int64(maxFaultDuration))))
			return nil
		}},
		{"let a target limit its requests", func(testbed *testbed, _ string) func() {
			// The limit lasts to the end of the faults, since it binds only after some seconds.
			testbed.targets[testbed.random.IntN(len(testbed.targets))].SetLimit(0.5 + 4*testbed.random.Float64())
			return nil
		}},
		{"let a target lose answers, delay orders and fail requests", func(testbed *testbed, _ string) func() {
			target := testbed.targets[testbed.random.IntN(len(testbed.targets))]
			target.SetFailureRates(testbed.random.Float64()/2, testbed.random.Float64()/2, testbed.random.Float64()/2)
			return func() { target.SetFailureRates(0, 0, 0) }
		}},
		{"change the configuration", func(testbed *testbed, _ string) func() {
			testbed.rotateKey()
			return nil
		}},
	}
}

// answerFaults returns the faults in the answers of targets that the seed has drawn.
func answerFaults(random *rand.Rand) []fault {
	var drawn []fault
	if random.IntN(2) == 0 && *sendTwice {
		drawn = append(drawn,
			fault{"let a target send answers twice and refuse requests", func(testbed *testbed, _ string) func() {
				target := testbed.targets[random.IntN(len(testbed.targets))]
				target.SendAnswersTwice(random.Float64() / 2)
				target.RefuseRequests(random.Float64() / 2)
				return func() {
					target.SendAnswersTwice(0)
					target.RefuseRequests(0)
				}
			}})
	}
	if random.IntN(3) == 0 && *sendEndless {
		drawn = append(drawn,
			fault{"let a target send bytes without end", func(testbed *testbed, _ string) func() {
				target := testbed.targets[random.IntN(len(testbed.targets))]
				target.SendWithoutEnd(random.Float64() / 4)
				return func() { target.SendWithoutEnd(0) }
			}})
	}
	return drawn
}

// brokenFaults returns the fault that lets targets break answers. The requests of such a run
// have long uploads, so that targets can answer while they are still written.
func brokenFaults(random *rand.Rand) []fault {
	return []fault{{"let a target break answers", func(testbed *testbed, _ string) func() {
		target := testbed.targets[random.IntN(len(testbed.targets))]
		target.SendBroken(random.Float64() / 2)
		return func() { target.SendBroken(0) }
	}}}
}

func (testbed *testbed) randomNode() *node {
	return testbed.nodes[testbed.random.IntN(len(testbed.nodes))]
}

func (testbed *testbed) pauseNode(string) func() {
	node := testbed.randomNode()
	node.markDisrupted()
	node.signal(syscall.SIGSTOP)
	return func() {
		node.signal(syscall.SIGCONT)
		node.markDisrupted()
	}
}

// restartAllNodes kills all nodes at the same time and returns a function that starts them
// again, together.
func (testbed *testbed) restartAllNodes(program string) func() {
	var starts []func()
	for _, node := range testbed.nodes {
		if start := node.restart(program, syscall.SIGKILL); start != nil {
			starts = append(starts, start)
		}
	}
	return func() {
		for _, start := range starts {
			start()
		}
	}
}

// restartNode restarts a random node.
func (testbed *testbed) restartNode(program string, signal syscall.Signal) func() {
	return testbed.randomNode().restart(program, signal)
}

// restart stops the node's process by the signal and returns a function that starts it
// again, or nil if the node is stopped already. A process that has not exited within the
// grace period after SIGTERM is killed, which counts as a disruption of its callers.
func (node *node) restart(program string, signal syscall.Signal) func() {
	testbed := node.testbed
	node.lock.Lock()
	stopping := node.exitExpected
	node.exitExpected = true
	node.lock.Unlock()
	if stopping {
		return nil
	}
	if signal == syscall.SIGKILL {
		node.markDisrupted()
	}
	node.signal(signal)
	return func() {
		if signal == syscall.SIGTERM {
			select {
			case <-node.ended:
			case <-time.After(shutdownGrace + exitMargin):
				node.markDisrupted()
			}
		}
		node.signal(syscall.SIGCONT)
		node.signal(syscall.SIGKILL)
		<-node.ended
		testbed.lock.Lock()
		testbed.bootstrap = false
		testbed.lock.Unlock()
		node.start(program)
		node.lock.Lock()
		node.exitExpected = false
		node.lock.Unlock()
	}
}

// storeOutage makes the store unavailable or unresponsive to all nodes.
func (testbed *testbed) storeOutage(string) func() {
	unresponsive := testbed.random.IntN(2) == 0
	setDown := func(down bool) {
		for _, node := range testbed.nodes {
			if unresponsive {
				node.storeEndpoint.SetUnresponsive(down)
			} else {
				node.storeEndpoint.SetUnavailable(down)
			}
		}
	}
	setDown(true)
	return func() { setDown(false) }
}

// disrupt blocks one or both directions of a proxy, delays them, or resets its connections.
func (testbed *testbed) disrupt(proxy *proxy) func() {
	switch testbed.random.IntN(5) {
	case 0:
		proxy.set(linkCondition{blocked: true}, linkCondition{})
	case 1:
		proxy.set(linkCondition{}, linkCondition{blocked: true})
	case 2:
		proxy.set(linkCondition{blocked: true}, linkCondition{blocked: true})
	case 3:
		delay := time.Duration(testbed.random.IntN(200)) * time.Millisecond
		proxy.set(linkCondition{delay: delay}, linkCondition{delay: delay})
	default:
		proxy.reset()
		return nil
	}
	return func() { proxy.set(linkCondition{}, linkCondition{}) }
}

func (testbed *testbed) crashTarget(string) func() {
	index := testbed.random.IntN(len(testbed.targets))
	target := testbed.targets[index]
	target.Crash()
	time.AfterFunc(rowLifetime, func() { target.RemoveRowIfCrashed() })
	return func() {
		if err := target.Restart(); err != nil {
			testbed.t.Logf("restart target %d: %v", index, err)
		}
	}
}

// replaceLeaving ends a leaving target and starts its next incarnation.
func (testbed *testbed) replaceLeaving(target *emulator.Target) {
	if err := target.ReplaceIfLeaving(); err != nil {
		testbed.t.Logf("replace target %s: %v", target.Address(), err)
	}
}

// injectFaults injects random faults of a list until the context ends and waits until all
// have ended. It passes the name of each fault to onFault.
func (testbed *testbed) injectFaults(ctx context.Context, program string, all []fault, random *rand.Rand, onFault func(name string)) {
	var group sync.WaitGroup
	for ctx.Err() == nil && len(all) > 0 {
		fault := all[random.IntN(len(all))]
		duration := time.Duration(random.Int64N(int64(maxFaultDuration)))
		onFault(fault.name)
		if end := fault.begin(testbed, program); end != nil {
			group.Go(func() {
				time.Sleep(duration)
				end()
			})
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultPause))))
	}
	group.Wait()
}

// clearFaults ends every fault that a later one may have left in force.
func (testbed *testbed) clearFaults() {
	for _, node := range testbed.nodes {
		node.signal(syscall.SIGCONT)
		node.storeEndpoint.SetUnavailable(false)
		node.storeEndpoint.SetUnresponsive(false)
		node.storeEndpoint.LoseAnswers(0)
		node.storeEndpoint.Slow(0)
		for _, proxy := range []*proxy{node.storeProxy, node.callerProxy, node.peerProxy} {
			proxy.set(linkCondition{}, linkCondition{})
		}
	}
	for index, target := range testbed.targets {
		testbed.targetProxies[index].set(linkCondition{}, linkCondition{})
		target.SetFailureRates(0, 0, 0)
		target.SetPause(0)
		target.SetLimit(0)
		target.SendAnswersTwice(0)
		target.RefuseRequests(0)
		target.SendWithoutEnd(0)
		target.SendBroken(0)
		testbed.replaceLeaving(target)
	}
}
