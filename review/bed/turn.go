//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The times of the turn case, from the SIGTERM of the first holder on.
const (
	// orderDelay is how long the first holder runs on after its order.
	orderDelay = 10 * time.Millisecond
	// laterAt is when adapters are asked for at the latest.
	laterAt = 2200 * time.Millisecond
)

// playTurn stops the holder of the lease after an order, which is planned work, and kills the
// process that takes the lease from it.
func playTurn(bed *bed) string {
	bed.store.Put("op", "config", adapterManifest)
	engine := bed.startEngine(101)
	for index := range 3 {
		bed.addNode(string("abc"[index])).start(true)
	}
	bed.awaitReady()
	time.Sleep(6 * time.Second)
	first := bed.leaseHolder("orders/letter-models")
	if first == nil {
		bed.fail("no machine holds the lease")
	}
	bed.note("%s holds the lease", first.name)
	go bed.ask(first, "0000000000000001", "a1")
	select {
	case <-engine.ordered:
	case <-time.After(10 * time.Second):
		bed.fail("no order came")
	}
	time.Sleep(orderDelay)
	stopped := time.Now()
	bed.note("%s gets SIGTERM", first.name)
	first.signal(syscall.SIGTERM)
	time.AfterFunc(stopGrace, func() { first.signal(syscall.SIGKILL) })
	second := first
	for second == first {
		if time.Since(stopped) > 10*time.Second {
			bed.fail("no other machine takes the lease")
		}
		time.Sleep(5 * time.Millisecond)
		second = bed.leaseHolder("orders/letter-models")
	}
	bed.note("%s has taken the lease", second.name)
	if bed.trouble {
		bed.note("%s: its process gets SIGKILL", second.name)
		second.signal(syscall.SIGKILL)
		<-second.ended
		time.Sleep(restartDelay)
		second.start(false)
		for !second.isReady() {
			time.Sleep(10 * time.Millisecond)
		}
	} else {
		time.Sleep(time.Until(stopped.Add(laterAt)))
	}
	var group sync.WaitGroup
	for index, node := range bed.nodes {
		if node != first {
			group.Go(func() { bed.ask(node, fmt.Sprintf("%016x", 2+index), fmt.Sprintf("a%d", 2+index)) })
		}
	}
	group.Wait()
	return engine.turns()
}
