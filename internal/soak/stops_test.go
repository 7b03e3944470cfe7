package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// steadyCallers is the number of callers that send one request after the other on kept
	// connections while a node stops.
	steadyCallers = 30
	// steadyTime is how long they send before the stop, and at most after it.
	steadyTime   = 200 * time.Millisecond
	maxStopPause = 3 * time.Second
)

// injectStops stops random nodes by SIGTERM while callers send on kept connections, and starts them
// again, until the context ends. It passes the name of each stop to onFault.
func (testbed *testbed) injectStops(ctx context.Context, program string, random *rand.Rand, onFault func(name string)) {
	for count := 0; ctx.Err() == nil; count++ {
		time.Sleep(time.Duration(random.Int64N(int64(maxStopPause))))
		node := testbed.nodes[random.IntN(len(testbed.nodes))]
		onFault("terminate " + node.name + " under load")
		loadCtx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for index := range steadyCallers {
			group.Go(func() { testbed.sendSteadily(loadCtx, node, fmt.Sprintf("stop%d-%d", count, index)) })
		}
		time.Sleep(steadyTime)
		start := node.restart(program, syscall.SIGTERM)
		time.Sleep(steadyTime)
		cancel()
		if start != nil {
			start()
		}
		group.Wait()
	}
}

// sendSteadily sends one request after the other to a node until the context ends.
func (testbed *testbed) sendSteadily(ctx context.Context, node *node, prefix string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for count := 0; ctx.Err() == nil; count++ {
		request := result{id: fmt.Sprintf("%s-%d", prefix, count), route: "buy", node: node, key: testbed.schoolKey()}
		testbed.addResult(send(client, node.callerProxy.address(), request, 50))
	}
}
