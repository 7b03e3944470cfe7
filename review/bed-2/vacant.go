package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Of the engines' places for adapters there is one for ten adapters, so that most requests need an order.
	vacantEngines  = 3
	vacantAdapters = 240
	// beatTime is heartbeatMs. The store has rows of twelve replicas.
	beatTime    = 1200 * time.Millisecond
	vacantBeats = 12
	// answerTime is how long the store's answers take, slowFactor the factor of that while it is slow, for slowTime.
	answerTime = 4 * time.Millisecond
	slowFactor = 73
	slowTime   = 3200 * time.Millisecond
	// lossTime is how long after the answer to one of its writes a machine is removed.
	lossTime = 450 * time.Millisecond
	// recoverTime is recoverS, vacantAfter for how long requests are counted after it.
	recoverTime = 12 * time.Second
	vacantAfter = 25 * time.Second
)

// slowLink passes a node's calls on to the store, whose answers take some time. The newest version, which an answer
// about rows names, is that of the time of the answer.
type slowLink struct {
	bed  *bed
	to   string
	slow *atomic.Bool
	// ahead is the number of answers in the slow time that named a newer version than that of the write.
	ahead atomic.Int64
}

func (link *slowLink) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	forwarded := request.Clone(request.Context())
	forwarded.URL.Scheme, forwarded.URL.Host, forwarded.RequestURI = "http", link.to, ""
	answer, err := http.DefaultTransport.RoundTrip(forwarded)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	wait := answerTime
	if link.slow.Load() {
		wait *= slowFactor
	}
	time.Sleep(wait)
	for name, values := range answer.Header {
		writer.Header()[name] = values
	}
	writer.Header().Del("Content-Length")
	if request.Method == http.MethodPost && answer.StatusCode == http.StatusOK {
		body = link.newest(body)
	}
	writer.WriteHeader(answer.StatusCode)
	_, _ = writer.Write(body)
}

// newest replaces the version in the answer to a write by the newest one.
func (link *slowLink) newest(body []byte) []byte {
	bed := link.bed
	var written, read struct {
		Ver uint64 `json:"ver"`
	}
	answer, err := http.Get("http://" + link.to + "/rows-get?table=none&part=")
	if err != nil {
		return body
	}
	defer func() { _ = answer.Body.Close() }()
	if json.Unmarshal(body, &written) != nil || json.NewDecoder(answer.Body).Decode(&read) != nil {
		return body
	}
	if read.Ver > written.Ver {
		bed.note("store: a write got version %d, its answer names the newest one, %d", written.Ver, read.Ver)
		if link.slow.Load() {
			link.ahead.Add(1)
		}
	}
	replaced, err := json.Marshal(map[string]any{"ver": read.Ver, "nowMs": time.Since(bed.began).Milliseconds()})
	if err != nil {
		return body
	}
	return replaced
}

// vacant shows a fleet that gives no orders any more, although all machines but the last holder of the lease are there.
func vacant(bed *bed, trouble bool) int {
	bed.store.Put("op", "config", strings.ReplaceAll(engineConfig, fmt.Sprintf(`"adapters":%d`, adapters), fmt.Sprintf(`"adapters":%d`, vacantAdapters)))
	var all []*engine
	for index := range vacantEngines {
		started := &engine{bed: bed, id: fmt.Sprintf("e-%d", index), adapters: []string{"a1"}, quiet: true}
		started.start(100 + index)
		all = append(all, started)
	}
	stop := make(chan struct{})
	var background sync.WaitGroup
	for index := range vacantBeats {
		background.Go(func() { bed.beat(index, all, stop) })
	}
	slow := &atomic.Bool{}
	links := map[string]*slowLink{}
	for range 3 {
		added := bed.addNode()
		links[added.name] = &slowLink{bed: bed, to: added.endpoint.Address(), slow: slow}
		added.storeAddress = bed.serve(220+len(bed.nodes), links[added.name])
	}
	for _, node := range bed.nodes {
		node.start(true)
	}
	bed.awaitReady()
	counts := newCounts()
	var lock sync.Mutex
	alive := append([]*node{}, bed.nodes...)
	for worker := range 24 {
		background.Go(func() {
			random := rand.New(rand.NewPCG(uint64(worker), 4))
			for count := 0; ; count++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				lock.Lock()
				node := alive[random.IntN(len(alive))]
				lock.Unlock()
				sent := time.Now()
				counts.add(sent, bed.ask(node, fmt.Sprintf("c%d-%d", worker, count), fmt.Sprintf("m1/a%d", 1+random.IntN(vacantAdapters))))
			}
		})
	}
	time.Sleep(10 * time.Second)
	slow.Store(trouble)
	bed.note("the store's answers take %d times as long: %t", slowFactor, trouble)
	faultAt := time.Now()
	holder := holderOf(all)
	if trouble {
		for links[holder] != nil && links[holder].ahead.Load() == 0 && time.Since(faultAt) < slowTime-lossTime {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(lossTime)
		lock.Lock()
		kept := alive[:0:0]
		for _, node := range alive {
			if node.name != holder {
				kept = append(kept, node)
				continue
			}
			bed.note("%s, which orders, is removed for good", holder)
			check(node.process.Process.Kill())
		}
		alive = kept
		lock.Unlock()
	}
	time.Sleep(time.Until(faultAt.Add(slowTime)))
	slow.Store(false)
	bed.note("the store is as fast as before")
	back := time.Now()
	time.Sleep(recoverTime + vacantAfter)
	close(stop)
	background.Wait()
	before, beforeServed := counts.between(time.Time{}, faultAt)
	after, afterServed := counts.between(back.Add(recoverTime), time.Now())
	late := 0
	for _, engine := range all {
		for _, order := range engine.received() {
			if order.at.After(back.Add(recoverTime)) {
				late++
			}
		}
	}
	bed.note("before: %d of %d requests served; later than %s after the fault: %d of %d; %d orders since then",
		beforeServed, before, recoverTime, afterServed, after, late)
	switch {
	case before < 50 || after < 50 || 4*beforeServed < before:
		return couldNotRun
	case 4*afterServed < after:
		bed.note("RECOVER broken: less than a quarter is served")
		return brokenRule
	default:
		return heldRule
	}
}

// beat writes the row of a replica in its interval: that of an engine, or of one of another service.
func (bed *bed) beat(index int, engines []*engine, stop <-chan struct{}) {
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(beatTime):
		}
		if index < len(engines) {
			engines[index].lock.Lock()
			engines[index].putRow()
			engines[index].lock.Unlock()
			continue
		}
		bed.store.Put("servers", fmt.Sprintf("d-%d", index), fmt.Sprintf(
			`{"service":"desk","address":"%s99:9","zone":"a","version":"v1","slots":6,"state":"ready","callSeq":%d,"born":1}`, bed.prefix, count))
	}
}

// ask sends a request and reports whether it was served.
func (bed *bed) ask(node *node, id, model string) bool {
	client := &http.Client{Timeout: 5 * time.Second}
	request, err := http.NewRequest(http.MethodPost, "http://"+node.callers+"/chat/1", strings.NewReader("prompt"))
	check(err)
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", "4000")
	request.Header.Set("Model", model)
	request.Header.Set("Token-Usage", "100,20")
	answer, err := client.Do(request)
	if err != nil {
		bed.note("%s to %s for %s: %v", id, node.name, model, err)
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	bed.note("%s to %s for %s: %d", id, node.name, model, answer.StatusCode)
	return err == nil && answer.StatusCode == http.StatusOK
}

// counts are the requests by when they were sent.
type counts struct {
	lock   sync.Mutex
	sent   []time.Time
	served []bool
}

func newCounts() *counts {
	return &counts{}
}

func (counts *counts) add(sent time.Time, served bool) {
	counts.lock.Lock()
	defer counts.lock.Unlock()
	counts.sent, counts.served = append(counts.sent, sent), append(counts.served, served)
}

// between returns how many requests were sent between two times, and how many of them were served.
func (counts *counts) between(from, to time.Time) (all, served int) {
	counts.lock.Lock()
	defer counts.lock.Unlock()
	for index, at := range counts.sent {
		if at.Before(from) || at.After(to) {
			continue
		}
		all++
		if counts.served[index] {
			served++
		}
	}
	return all, served
}
