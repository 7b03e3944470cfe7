package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The deployment of the case, and its times.
const (
	lateCrashNodes    = 3
	lateCrashReplicas = 5
	// lateCrashTime is how long the clients send, deadlyPause the time between the end of the deadly request and when
	// its client sends it again.
	lateCrashTime = 45 * time.Second
	deadlyPause   = time.Second
	soundPause    = 400 * time.Millisecond
	// stableWindow and mostRetries are the bounds of the rule.
	stableWindow = 3 * time.Second
	mostRetries  = 3
)

const lateCrashConfig = `{"version":7,
 "routes":[{"name":"chat","host":"api.example","prefix":"/chat/","kind":"stream","timeoutMs":12000,"targetLatencyMs":600,
  "priority":0,"service":"models","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":500}],
 "services":[{"name":"models","healthPath":"/health","maxConns":370,"engine":{"slots":64,"kvCapacity":263704,
  "weightsSizeMb":230000,"hostMb":150000,"diskMb":860000,"adapterSlots":8,"loadsPerS":1.6,
  "models":[{"name":"m0","weightsSizeMb":72700,"loadS":6,"warmS":0.32,"diskS":0.44,"adapters":0,"adapterSizeMb":66}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"club","apiKeys":["club-key"],"unit":"tokens","plainTokens":200},
  {"name":"school","apiKeys":["school-key"],"unit":"tokens","plainTokens":200}]}`

// runLateCrash lets a client send a request again and again that crashes each replica which runs it, some time after
// its first event. It reports whether the rule was broken.
func runLateCrash(fleet *fleet, trouble bool, crashAfter time.Duration, dark bool, deadline time.Duration) (bool, error) {
	log := fleet.record
	var engines []*engine
	for index := range lateCrashReplicas {
		settings := engineSettings{
			id: fmt.Sprintf("i-%d", index+1), service: "models", slots: 64, firstEvent: 60 * time.Millisecond,
			pause: 40 * time.Millisecond, events: 42, diskLoad: 440 * time.Millisecond, downtime: 3 * time.Second, crashAfter: crashAfter, dark: dark,
		}
		if trouble {
			settings.crashes = func(request *http.Request) bool { return strings.HasPrefix(request.URL.Path, "/chat/deadly") }
		}
		started, err := startEngine(settings, fleet.store, log, fleet.address(firstReplica+index), "m0")
		if err != nil {
			return false, err
		}
		defer started.end()
		engines = append(engines, started)
	}
	fleet.store.Put("op", "config", lateCrashConfig)
	if err := fleet.start(lateCrashNodes); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), lateCrashTime)
	defer cancel()
	var sound, lost atomic.Int64
	var group sync.WaitGroup
	for client := range 4 {
		group.Go(func() {
			for number := client; ctx.Err() == nil; number++ {
				// The other clients' requests go on to their end.
				got := send(context.Background(), log, fleet.nodes[number%lateCrashNodes], call{
					path: fmt.Sprintf("/chat/%d-%d", client, number), body: fmt.Sprintf("hello %d %d", client, number), key: "school-key",
					model: "m0", prefix: fmt.Sprintf("5c1e07a2:800,%x:660", 1<<20+client<<12+number), deadline: 12 * time.Second,
				})
				sound.Add(1)
				if got.status == http.StatusOK && got.err != nil {
					lost.Add(1)
				}
				pause(ctx, soundPause)
			}
		})
	}
	for number := 0; ctx.Err() == nil; number++ {
		send(context.Background(), log, fleet.nodes[number%lateCrashNodes], call{
			path: "/chat/deadly", body: "the deadly request", key: "club-key", model: "m0", prefix: "5c1e07a2:800,91bd3f06:660", deadline: deadline,
		})
		pause(ctx, deadlyPause)
	}
	group.Wait()
	fmt.Printf("requests of other clients: %d, of these broken off within their answer: %d\n", sound.Load(), lost.Load())
	return judgeLateCrash(log, engines), nil
}

// judgeLateCrash counts the arrivals of the deadly request later than the stable window after its third crash.
func judgeLateCrash(log *record, engines []*engine) bool {
	var arrivals, crashes []time.Time
	for _, engine := range engines {
		engine.lock.Lock()
		arrivals, crashes = append(arrivals, engine.arrivals...), append(crashes, engine.crashed...)
		engine.lock.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	fmt.Printf("arrivals of the deadly request: %d, crashes: %d\n", len(arrivals), len(crashes))
	if len(crashes) < 3 {
		return false
	}
	late := 0
	for _, at := range arrivals {
		if at.Sub(crashes[2]) > stableWindow {
			late++
		}
	}
	fmt.Printf("third crash at %.1f s; arrivals later than %s after it: %d, allowed: %d\n", log.since(crashes[2]), stableWindow, late, mostRetries)
	return late > mostRetries
}
