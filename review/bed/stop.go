//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

// The times of the stop case.
const (
	stopGrace = 8 * time.Second
	// lateStart is when the first request is sent after SIGTERM, lateStep the time between two.
	lateStart = 3200 * time.Millisecond
	lateStep  = 150 * time.Millisecond
	lateCount = 5
	orderWork = 5 * time.Second
	// loseTime is how long after SIGTERM the answers to the machine's writes are lost.
	loseTime = time.Second
	// lossWindow is how long answers may be lost at a time, by the site file.
	lossWindow = 4500 * time.Millisecond
)

// storeGate stands between a machine and its endpoint of the store. It can lose the answers
// to writes: they are done, and the channel delivers nothing further.
type storeGate struct {
	bed    *bed
	target string
	server *httptest.Server

	lock sync.Mutex
	lose bool
}

// storeWrites counts the writes of all machines and those without an answer, in the time
// of the longest impairment of this kind.
type storeWrites struct {
	lock sync.Mutex
	at   []time.Time
	lost int
}

var writes storeWrites

func (writes *storeWrites) add(lost bool) {
	writes.lock.Lock()
	defer writes.lock.Unlock()
	writes.at = append(writes.at, time.Now())
	if lost {
		writes.lost++
	}
}

// since returns the number of writes since a time.
func (writes *storeWrites) since(from time.Time) int {
	writes.lock.Lock()
	defer writes.lock.Unlock()
	count := 0
	for _, at := range writes.at {
		if at.After(from) {
			count++
		}
	}
	return count
}

func (bed *bed) newStoreGate(node *node) *storeGate {
	gate := &storeGate{bed: bed, target: node.endpoint.Address()}
	gate.server = httptest.NewServer(http.HandlerFunc(gate.serve))
	node.storeAddress = strings.TrimPrefix(gate.server.URL, "http://")
	return gate
}

func (gate *storeGate) setLose(lose bool) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.lose = lose
}

func (gate *storeGate) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	gate.lock.Lock()
	lost := gate.lose && request.URL.Path == "/rows-tx"
	gate.lock.Unlock()
	if request.URL.Path == "/rows-tx" {
		writes.add(lost)
	}
	passed, err := http.NewRequestWithContext(request.Context(), request.Method, "http://"+gate.target+request.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return
	}
	passed.Header = request.Header
	answer, err := http.DefaultTransport.RoundTrip(passed)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = answer.Body.Close() }()
	if lost {
		gate.bed.note("the store has done a write of a machine (status %d), its answer is lost", answer.StatusCode)
		<-request.Context().Done()
		return
	}
	writer.WriteHeader(answer.StatusCode)
	_, _ = io.Copy(writer, answer.Body)
}

const orderRoute = `{"name":"r-order","host":"ficu95.example","prefix":"/order/","kind":"non_idempotent","timeoutMs":13000,"targetLatencyMs":6000,
 "priority":1,"service":"postage-desk","maxAttempts":1,"public":true,"sticky":false,"resumable":false}`

// orders are the runs of the stop case.
type orders struct {
	lock sync.Mutex
	runs map[string]string
}

// playStop stops the machine that holds the lease on the orders to the engines.
func playStop(bed *bed) string {
	load := &orders{runs: map[string]string{}}
	bed.store.Put("op", "config", `{"version":7,"routes":[`+orderRoute+`],
 "services":[{"name":"postage-desk","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},
  {"name":"letter-models","healthPath":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":263704,
   "hostMb":150000,"diskMb":860000,"weightsSizeMb":230000,"adapterSlots":8,"loadsPerS":1.6,
   "models":[{"name":"daka510000","weightsSizeMb":72700,"loadS":6,"adapters":0,"adapterSizeMb":66,"warmS":0.32,"diskS":0.44}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["i9n73hh2b9wu3fexd9dn"],"unit":"tokens","plainTokens":200}]}`)
	recorder := emulator.NewRecorder()
	for index := range 2 {
		_, err := bed.addEngine(index, recorder)
		if err != nil {
			bed.fail("%v", err)
		}
		load.startServer(bed, index)
	}
	gates := map[*node]*storeGate{}
	for index := range 3 {
		added := bed.addNode(string("abc"[index]))
		gates[added] = bed.newStoreGate(added)
		defer gates[added].server.CloseClientConnections()
		added.start(true)
	}
	bed.awaitReady()
	time.Sleep(5 * time.Second)
	holder := bed.leaseHolder("orders/letter-models")
	if holder == nil {
		bed.fail("no machine holds the lease")
	}
	channels := make([]net.Conn, lateCount)
	for index := range channels {
		opened, err := net.DialTimeout("tcp", holder.callers, time.Second)
		if err != nil {
			bed.fail("%v", err)
		}
		channels[index] = opened
	}
	if bed.trouble {
		gates[holder].setLose(true)
		time.AfterFunc(loseTime, func() { gates[holder].setLose(false) })
	}
	stopped := time.Now()
	bed.note("%s, which holds the lease, gets SIGTERM", holder.name)
	holder.signal(syscall.SIGTERM)
	time.AfterFunc(stopGrace, func() { holder.signal(syscall.SIGKILL) })
	time.AfterFunc(loseTime, func() {
		bed.note("of the %d writes of the last %s, %d got no answer", writes.since(time.Now().Add(-lossWindow)), lossWindow, writes.lost)
	})
	var group sync.WaitGroup
	lost := make([]bool, lateCount)
	for index, opened := range channels {
		group.Go(func() {
			time.Sleep(time.Until(stopped.Add(lateStart + time.Duration(index)*lateStep)))
			lost[index] = load.request(bed, opened, fmt.Sprintf("%016x", index+1), stopped)
		})
	}
	<-holder.ended
	bed.note("%s has ended, %.2f s after SIGTERM", holder.name, time.Since(stopped).Seconds())
	group.Wait()
	count := 0
	for _, one := range lost {
		if one {
			count++
		}
	}
	if count > 0 {
		return fmt.Sprintf("LOST: %d requests that a stopped machine had read and passed on to a server got no answer", count)
	}
	return ""
}

// addEngine starts a model engine.
func (bed *bed) addEngine(index int, recorder *emulator.Recorder) (*emulator.Target, error) {
	engine, err := emulator.NewTarget(emulator.TargetSettings{
		ID: fmt.Sprintf("i-e%d", index), Service: "letter-models", Zone: string("ab"[index]), Slots: 64, MaxModels: 3, Events: 7,
		ProcessingTime: 20 * time.Millisecond, LoadTime: 6 * time.Second, DiskLoadTime: 440 * time.Millisecond,
	}, bed.store, recorder, bed.address(121+index)+":0")
	if err != nil {
		return nil, err
	}
	engine.Announce()
	return engine, nil
}

// leaseHolder returns the machine that holds a lease, by its row in the store.
func (bed *bed) leaseHolder(key string) *node {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
		row, found := bed.store.Row("mimosatide-leases", key)
		for _, node := range bed.nodes {
			if found && bytes.Contains(row.Value, []byte(node.name+"@"+node.ip)) {
				return node
			}
		}
	}
	return nil
}

// startServer starts a plain server and writes its entry.
func (load *orders) startServer(bed *bed, index int) {
	id := fmt.Sprintf("i-%d", index)
	listener := bed.listen(101 + index)
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Target-Instance") != id {
			writer.Header().Set("Instance-Id", id)
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		attempt := request.Header.Get("Attempt-Id")
		load.lock.Lock()
		load.runs[attempt] = id
		load.lock.Unlock()
		bed.note("%s runs %s", id, attempt)
		select {
		case <-time.After(orderWork):
			bed.note("%s has run %s to its end", id, attempt)
		case <-request.Context().Done():
			bed.note("the channel of %s to %s was closed while it was at work", attempt, id)
			return
		}
		writer.Header().Set("Attempt-Id", attempt)
		writer.Header().Set("Response-Signature", "s."+id)
		fmt.Fprint(writer, strings.Repeat("x", 800))
	})}
	go func() { _ = server.Serve(listener) }()
	bed.store.Put("servers", id, fmt.Sprintf(`{"service":"postage-desk","address":%q,"zone":"%c","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"callSeq":1,"born":%d}`,
		listener.Addr().String(), "ab"[index%2], time.Now().UnixMilli()))
}

// request sends one request on a channel and reports whether it was lost.
func (load *orders) request(bed *bed, opened net.Conn, id string, stopped time.Time) bool {
	defer func() { _ = opened.Close() }()
	bed.note("%s is sent, %.2f s after SIGTERM", id, time.Since(stopped).Seconds())
	_ = opened.SetDeadline(time.Now().Add(13 * time.Second))
	_, err := fmt.Fprintf(opened, "POST /order/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 13000\r\n"+
		"Content-Length: 11\r\n\r\none stamp..", id)
	outcome := ""
	answered := false
	if err == nil {
		var response *http.Response
		if response, err = http.ReadResponse(bufio.NewReader(opened), nil); err == nil {
			var body []byte
			if body, err = io.ReadAll(response.Body); err == nil {
				answered = true
				outcome = fmt.Sprintf("answered %d, %d bytes, Retry-After %q", response.StatusCode, len(body), response.Header.Get("Retry-After"))
			}
		}
	}
	if err != nil {
		outcome = "channel ended without a complete answer: " + err.Error()
	}
	load.lock.Lock()
	server, ran := load.runs[id]
	load.lock.Unlock()
	bed.note("%s ends %.2f s after SIGTERM: %s; passed on: %t %s", id, time.Since(stopped).Seconds(), outcome, ran, server)
	return ran && !answered
}
