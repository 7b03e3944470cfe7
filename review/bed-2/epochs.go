package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

const (
	engines, nodes = 15, 4
	// affectedEngines are share (.2) of the engines, which lose packets on the path of one of the nodes: share x (.3).
	affectedEngines = 3
	// lossShare is three packets in ten, lostAnswers the share of the writes whose answers the store loses.
	lossShare   = 0.3
	lostAnswers = 0.35
	// lossyTime is how long each disruption lasts, calmTime the pause before the next one.
	lossyTime    = 4500 * time.Millisecond
	calmTime     = 800 * time.Millisecond
	lossyPeriods = 20
	// thawTime is thawMs.
	thawTime = 300 * time.Millisecond
	adapters = 300
	workers  = 80
)

const engineConfig = `{"version":1,"routes":[{"name":"chat","host":"a.example","prefix":"/chat/","kind":"stream","service":"llm","maxAttempts":1,
"timeoutMs":4000,"targetLatencyMs":800,"gapAimMs":500,"public":true}],
"services":[{"name":"llm","healthPath":"/health","maxConns":370,"engine":{"slots":64,"kvCapacity":200000,"hostMb":150000,"diskMb":860000,
"weightsSizeMb":160000,"adapterSlots":8,"loadsPerS":2,"models":[{"name":"m1","weightsSizeMb":70000,"loadS":6,"warmS":0.3,"diskS":0.4,"adapters":300,"adapterSizeMb":60}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}`

// epochs shows orders whose epoch number is lower than one that their engine had from an earlier arrival.
func epochs(bed *bed, trouble bool) int {
	bed.extra = []string{"bounds.requireFencing=false", "bounds.thawMs=300"}
	bed.store.Put("op", "config", engineConfig)
	var all []*engine
	for index := range engines {
		started := &engine{bed: bed, id: fmt.Sprintf("e-%d", index), adapters: []string{"a1"}}
		started.start(100 + index)
		all = append(all, started)
	}
	lossy := map[string]*atomic.Bool{}
	links := map[string]*link{}
	stores := map[string]*storeLink{}
	for index := range nodes {
		added := bed.addNode()
		lossy[added.name] = &atomic.Bool{}
		for position, engine := range all {
			affected := lossy[added.name]
			if position >= affectedEngines {
				affected = &atomic.Bool{}
			}
			links[added.name+engine.address] = newLink(fmt.Sprintf("%s%d:0", bed.prefix, 200+index), engine.address, affected, lossShare, uint64(index))
		}
		stores[added.name] = &storeLink{to: added.endpoint.Address(), share: lostAnswers, random: rand.New(rand.NewPCG(uint64(index), 2))}
		added.storeAddress = bed.serve(220+index, stores[added.name])
	}
	bed.store.SetRowRewriter(func(node string, row emulator.Row) emulator.Row {
		if row.Table == "servers" {
			for _, engine := range all {
				row.Value = []byte(strings.ReplaceAll(string(row.Value), engine.address, links[node+engine.address].address()))
			}
		}
		return row
	})
	for _, node := range bed.nodes {
		node.start(true)
	}
	bed.awaitReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var served, other atomic.Int64
	for worker := range workers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(worker), 3))
			client := &http.Client{Timeout: 5 * time.Second}
			for count := 0; ; count++ {
				select {
				case <-stop:
					return
				default:
				}
				node := bed.nodes[random.IntN(len(bed.nodes))]
				request, err := http.NewRequest(http.MethodPost, "http://"+node.callers+"/chat/1", strings.NewReader("prompt"))
				check(err)
				request.Host = "a.example"
				request.Header.Set("Attempt-Id", fmt.Sprintf("c%d-%d", worker, count))
				request.Header.Set("Deadline-Ms", "4000")
				request.Header.Set("Model", fmt.Sprintf("m1/a%d", 1+random.IntN(adapters)))
				request.Header.Set("Token-Usage", "100,20")
				answer, err := client.Do(request)
				if err != nil {
					other.Add(1)
					continue
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					served.Add(1)
				} else {
					other.Add(1)
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	for began := time.Now(); holderOf(all) == "" && time.Since(began) < 20*time.Second; {
		time.Sleep(100 * time.Millisecond)
	}
	holder := holderOf(all)
	if holder == "" {
		bed.note("no orders")
		return couldNotRun
	}
	bed.note("%s orders", holder)
	var healed []time.Time
	for range lossyPeriods {
		time.Sleep(calmTime)
		if trouble {
			bed.note("the store loses the answers of 35 in 100 writes of %s, and the paths from it to e-0, e-1 and e-2 lose 3 packets in 10", holder)
			lossy[holder].Store(true)
			stores[holder].losing.Store(true)
		}
		time.Sleep(lossyTime)
		stores[holder].losing.Store(false)
		lossy[holder].Store(false)
		healed = append(healed, time.Now())
		bed.note("both have ended")
		if bed.checkEpochs(all, healed) > 0 {
			break
		}
	}
	close(stop)
	callers.Wait()
	bed.note("%d requests served, %d not; %d answers of the store lost", served.Load(), other.Load(), stores[holder].lost)
	broken, count := bed.checkEpochs(all, healed), 0
	for _, engine := range all {
		count += len(engine.received())
	}
	bed.note("%d orders, %d of them with a lower epoch number after a higher one", count, broken)
	if served.Load() == 0 || count == 0 {
		return couldNotRun
	}
	if broken > 0 {
		return brokenRule
	}
	return heldRule
}

// checkEpochs counts the orders with an epoch number that is lower than one that their engine has had before. Those that
// arrive within thawTime after the end of a disruption don't count.
func (bed *bed) checkEpochs(engines []*engine, healed []time.Time) int {
	broken := 0
	for _, engine := range engines {
		broken += bed.checkOrders(engine.received(), healed)
	}
	return broken
}

func (bed *bed) checkOrders(orders []order, healed []time.Time) int {
	broken, highest := 0, order{}
	for _, received := range orders {
		excused := slices.ContainsFunc(healed, func(end time.Time) bool {
			return received.at.After(end) && received.at.Sub(end) < thawTime
		})
		if received.fenceToken < highest.fenceToken && !excused {
			broken++
			bed.note("ONE broken: at %s an order by %s with epoch %d (%s) arrived %s after the first with epoch %d by %s",
				received.engine, received.holder, received.fenceToken, received.text, received.at.Sub(highest.at).Round(time.Millisecond),
				highest.fenceToken, highest.holder)
		}
		if received.fenceToken > highest.fenceToken {
			highest = received
		}
	}
	return broken
}

// holderOf returns the holder of the last order; empty if there was none.
func holderOf(engines []*engine) string {
	var last order
	for _, engine := range engines {
		if orders := engine.received(); len(orders) > 0 && orders[len(orders)-1].at.After(last.at) {
			last = orders[len(orders)-1]
		}
	}
	return last.holder
}
