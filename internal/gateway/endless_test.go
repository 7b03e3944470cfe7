package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
)

const (
	// faultyTargets send answers without end, each to requestsPerTarget requests at once.
	faultyTargets     = 60
	requestsPerTarget = 4
	// maxHeapGrowth is the growth of the heap, in bytes, that all these answers together may
	// cause, with the goroutines and buffers of both ends of their connections.
	maxHeapGrowth = 80 << 20
)

// endlessAnswer is an answer that goes on until its connection is closed.
type endlessAnswer struct {
	// stream says that the answer is that of a stream.
	stream bool
	// start comes after the status line and the fields of an answer to the request.
	start string
	// piece is sent again and again, at once until burst bytes are sent, and slowly from
	// then on. A %d in it is the number of the piece.
	piece string
	burst int
	// text is the piece many times, for one without a number.
	text []byte
}

// endlessHeads are the ways in which a target can send the head of an answer without end,
// or a head that is much larger in memory than on its way.
var endlessHeads = map[string]endlessAnswer{
	"fields":                   {piece: "%d:\r\n", burst: 60 << 10},
	"repeated":                 {piece: "a:\r\n", burst: 60 << 10},
	"line":                     {start: "X: ", piece: "aaaaaaaaaaaaaaaa", burst: 60 << 10},
	"folded line":              {start: "X: a", piece: "\r\n ", burst: 60 << 10},
	"informational":            {start: "\r\n", piece: "HTTP/1.1 103 Early Hints\r\nX-%d: a\r\n\r\n", burst: 60 << 10},
	"fields before a body":     {start: manyFields(6000) + "\r\n", piece: "a"},
	"few fields before a body": {start: manyFields(300) + "\r\n", piece: "a"},
}

// endlessBodies are the ways in which a target can send a body without end.
var endlessBodies = map[string]endlessAnswer{
	"with a length":         {start: "Content-Length: 1000000\r\n\r\n", piece: "aaaaaaaaaaaaaaaa", burst: 990_000},
	"without a length":      {start: "Connection: close\r\n\r\n", piece: "aaaaaaaaaaaaaaaa", burst: 1_000_000},
	"without a pause":       {start: "Connection: close\r\n\r\n", piece: "aaaaaaaaaaaaaaaa", burst: 1 << 40},
	"in chunks":             {start: "Transfer-Encoding: chunked\r\n\r\n", piece: "10\r\naaaaaaaaaaaaaaaa\r\n", burst: 1_200_000},
	"chunk extensions":      {start: "Transfer-Encoding: chunked\r\n\r\n10;", piece: "a=aaaaaaaaaaaaa;", burst: 1_000_000},
	"trailers":              {start: "Transfer-Encoding: chunked\r\n\r\n0\r\n", piece: "%d: a\r\n", burst: 1_000_000},
	"line of an event":      {stream: true, start: "\r\ndata: ", piece: "aaaaaaaaaaaaaaaa", burst: 1_000_000},
	"lines of an event":     {stream: true, start: "\r\n", piece: "data: a\n", burst: 1_000_000},
	"event without a pause": {stream: true, start: "\r\n", piece: "data: a\n", burst: 1 << 40},
}

func manyFields(count int) string {
	var fields strings.Builder
	for number := range count {
		fmt.Fprintf(&fields, "%d:\r\n", number)
	}
	return fields.String()
}

func (answer endlessAnswer) service() string {
	if answer.stream {
		return "llm"
	}
	return "desk"
}

func (answer endlessAnswer) path() string {
	if answer.stream {
		return "/long-timeout/x"
	}
	return "/slow/x"
}

// addEndlessTarget adds a target that answers each request with bytes without end.
func (fixture *fixture) addEndlessTarget(id string, answer endlessAnswer) {
	fixture.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fixture.t.Fatal(err)
	}
	fixture.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answer.send(connection)
		}
	}()
	fixture.targets.Put(mimosatide.Instance{
		ID: id, Service: answer.service(), Address: listener.Addr().String(), Zone: "a", Slots: 64,
		Holdings: []mimosatide.Holding{{Model: "m"}},
	})
}

// send answers the request on a connection until that is closed.
func (answer endlessAnswer) send(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\n%s",
		request.Header.Get("Attempt-Id"), answer.start)
	sent, number := 0, 0
	for err == nil {
		text := answer.text
		if text == nil {
			text = []byte(strings.ReplaceAll(answer.piece, "%d", strconv.Itoa(number)))
			number++
		}
		if sent >= answer.burst {
			time.Sleep(20 * time.Millisecond)
			text = text[:1]
		}
		var count int
		count, err = connection.Write(text)
		sent += count
	}
}

// liveHeap collects garbage and returns the bytes on the heap that were in use.
func liveHeap() int64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// peakHeap returns the largest live heap until stop is closed.
func peakHeap(stop <-chan struct{}) int64 {
	var peak int64
	for {
		peak = max(peak, liveHeap())
		select {
		case <-stop:
			return peak
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// sendAll sends a request to each slot of the faulty targets at once and waits until all
// have ended. It returns how many got each status, completely or not.
func (fixture *fixture) sendAll(path string) map[string]int {
	outcomes := map[string]int{}
	var lock sync.Mutex
	var group sync.WaitGroup
	for index := range faultyTargets * requestsPerTarget {
		group.Go(func() {
			request := newChatRequest(fixture, path, "m")
			request.Header.Set("Attempt-Id", "r-"+strconv.Itoa(index))
			request.Header.Set("Deadline-Ms", "1500")
			outcome := "no answer"
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			if response, err := client.Do(request); err == nil {
				outcome = strconv.Itoa(response.StatusCode)
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					outcome += " cut"
				}
				_ = response.Body.Close()
			}
			lock.Lock()
			defer lock.Unlock()
			outcomes[outcome]++
		})
	}
	group.Wait()
	return outcomes
}

// testEndlessAnswers checks that answers without end fail their own requests, that all of
// them together don't fill the memory, and that requests to sound targets are served meanwhile.
func testEndlessAnswers(t *testing.T, answer endlessAnswer) {
	t.Helper()
	if !strings.Contains(answer.piece, "%d") {
		answer.text = []byte(strings.Repeat(answer.piece, 1+4096/len(answer.piece)))
	}
	fixture := newFixture(t)
	for index := range faultyTargets {
		fixture.addEndlessTarget("f-"+strconv.Itoa(index), answer)
	}
	sound := endlessAnswer{stream: !answer.stream}
	want := strings.Repeat("id: 1\ndata: event\n\n", 10_000)
	fixture.addTarget("s-1", sound.service(), respond(want), "m")
	before := liveHeap()
	stop, peak, done := make(chan struct{}), make(chan int64, 1), make(chan map[string]int, 1)
	go func() { peak <- peakHeap(stop) }()
	go func() { done <- fixture.sendAll(answer.path()) }()
	var outcomes map[string]int
	for outcomes == nil {
		response, body, whole := fixture.send(newChatRequest(fixture, sound.path(), "m"))
		if response == nil || response.StatusCode != http.StatusOK || !whole || body != want {
			t.Errorf("request to a sound target: got answer %v, complete %v and %d bytes, want 200, true and %d",
				response, whole, len(body), len(want))
		}
		select {
		case outcomes = <-done:
		default:
		}
	}
	close(stop)
	grown := <-peak - before
	t.Logf("the heap grew by %d KB; outcomes %v", grown>>10, outcomes)
	if outcomes["200"] > 0 {
		t.Errorf("got outcomes %v, want no complete answer", outcomes)
	}
	fixture.server.Close()
	if used := fixture.answers.Used(); used != 0 {
		t.Errorf("after all requests: got %d bytes of buffers left, want none", used)
	}
	if grown > maxHeapGrowth {
		t.Errorf("%d requests at %d targets: got a heap that grew by %d MB, want at most %d MB",
			faultyTargets*requestsPerTarget, faultyTargets, grown>>20, maxHeapGrowth>>20)
	}
}

// TestHeadsWithoutEndDontFillTheMemory guards against a node that runs out of memory, so that
// the requests of all its callers end with it, while many targets send heads without end.
func TestHeadsWithoutEndDontFillTheMemory(t *testing.T) {
	for name, answer := range endlessHeads {
		t.Run(name, func(t *testing.T) { testEndlessAnswers(t, answer) })
	}
}

// TestBodiesWithoutEndDontFillTheMemory guards against a node that runs out of memory, so that
// the requests of all its callers end with it, while many targets send bodies without end.
func TestBodiesWithoutEndDontFillTheMemory(t *testing.T) {
	for name, answer := range endlessBodies {
		t.Run(name, func(t *testing.T) { testEndlessAnswers(t, answer) })
	}
}
