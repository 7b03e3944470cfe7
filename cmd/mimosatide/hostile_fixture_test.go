package main_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

// The limits of the processes that the tests with hostile callers start, and of their callers.
const (
	hostileMemoryMB    = 64
	hostileDescriptors = 400
	hostileMaxBody     = 4 << 20
	hostileMaxHeader   = 16 << 10
)

const (
	// sendingTime is how long hostile callers send at most.
	sendingTime = 4 * time.Second
	// holdTime is how long they keep their connections open after that, without sending.
	holdTime = 1500 * time.Millisecond
	// servingTime is how long an ordinary caller repeats its request until it is answered.
	servingTime = 8 * time.Second
)

// limitedNode is an entry node with lowered limits that hostile callers call. It is observed from
// its start to the end of the test.
type limitedNode struct {
	t       testing.TB
	process *os.Process
	callers string
	// memoryMB is the memory that the process is allowed.
	memoryMB int
	// descriptors is the largest number of open descriptors that was seen.
	descriptors atomic.Int64
	observed    sync.WaitGroup
	stop        chan struct{}
}

// startLimitedNode starts the process and its target, and waits until a request is served.
func startLimitedNode(t testing.TB, ip string, memoryMB int) *limitedNode {
	t.Helper()
	store := emulator.NewStore()
	target := httptest.NewServer(http.HandlerFunc(serveAsTarget))
	t.Cleanup(target.Close)
	store.Put("op", "config", fmt.Sprintf(`{"version":1,"routes":[
	  {"name":"small","host":"a.example","prefix":"/small/","kind":"idempotent","service":"desk","maxAttempts":2,"timeoutMs":8000,"targetLatencyMs":500},
	  {"name":"large","host":"a.example","prefix":"/large/","kind":"idempotent","service":"desk","maxAttempts":2,"timeoutMs":12000,"targetLatencyMs":500},
	  {"name":"events","host":"a.example","prefix":"/events/","kind":"stream","service":"desk","maxAttempts":1,"timeoutMs":12000,"targetLatencyMs":500}],
	 "services":[{"name":"desk","maxConns":1000}],"tenants":[{"name":"school","apiKeys":["good"]}],
	 "limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, hostileMaxHeader, hostileMaxBody))
	store.Put("servers", "d-1", fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","slots":1000,"state":"ready","born":1}`,
		strings.TrimPrefix(target.URL, "http://")))
	created := &limitedNode{t: t, memoryMB: memoryMB, stop: make(chan struct{})}
	created.process, created.callers = startEntryNode(t, store, ip, time.Second,
		"limits.memoryMb="+strconv.Itoa(memoryMB), "limits.maxFds="+strconv.Itoa(hostileDescriptors))
	created.observed.Go(created.observeDescriptors)
	created.mustServe("ordinary body")
	return created
}

// serveAsTarget answers as a target: with 8 MiB under /large/, with a stream of events of 32 KiB
// under /events/, with the size of the request's body otherwise.
func serveAsTarget(writer http.ResponseWriter, request *http.Request) {
	count, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	writer.Header().Set("Response-Signature", "signature")
	switch {
	case strings.HasPrefix(request.URL.Path, "/large/"):
		_, _ = writer.Write(bytes.Repeat([]byte("x"), 8<<20))
	case strings.HasPrefix(request.URL.Path, "/events/"):
		writer.Header().Set("Content-Type", "text/event-stream")
		event := "data: " + strings.Repeat("x", 32<<10) + "\n\n"
		for err := error(nil); err == nil && request.Context().Err() == nil; {
			_, err = io.WriteString(writer, event)
		}
	default:
		_, _ = io.WriteString(writer, strconv.FormatInt(count, 10))
	}
}

// observeDescriptors counts the process's open descriptors until the observation is stopped.
func (limited *limitedNode) observeDescriptors() {
	for {
		entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(limited.process.Pid), "fd"))
		if err == nil {
			limited.descriptors.Store(max(limited.descriptors.Load(), int64(len(entries))))
		}
		select {
		case <-limited.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// peakMemory returns the largest resident memory that the process has had, in bytes, and whether
// it is known: that of a process which has ended is not.
func (limited *limitedNode) peakMemory() (int64, bool) {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(limited.process.Pid), "status"))
	if err != nil {
		return 0, false
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kibibytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kibibytes << 10, err == nil
		}
	}
	return 0, false
}

// mustServe sends an ordinary request on a new connection, repeatedly until it is answered.
func (limited *limitedNode) mustServe(body string) {
	limited.t.Helper()
	last := "none was tried"
	for began := time.Now(); time.Since(began) < servingTime; time.Sleep(50 * time.Millisecond) {
		status, answer, err := limited.ask(body)
		if err == nil && status == http.StatusOK && answer == strconv.Itoa(len(body)) {
			return
		}
		last = fmt.Sprintf("status %d, %q, error %v", status, answer, err)
	}
	limited.t.Errorf("ordinary request: got no answer, the last try gave %s, want one with status 200", last)
}

// ask sends one request with a valid key on a connection of its own.
func (limited *limitedNode) ask(body string) (status int, answer string, err error) {
	opened, err := net.DialTimeout("tcp", limited.callers, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = opened.Close() }()
	if err := opened.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return 0, "", err
	}
	if _, err := io.WriteString(opened, head("/small/1", "good", "Content-Length: "+strconv.Itoa(len(body)))+body); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(opened), nil)
	if err != nil {
		return 0, "", err
	}
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// head returns the head of a request.
func head(path, key, field string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r-1\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer " + key + "\r\n" + field + "\r\n\r\n"
}

// attack lets a number of hostile callers send at once, each on a connection of its own, and
// returns when all have sent what they wanted or sendingTime is over, and holdTime has passed.
// Their connections stay open to the end of the test unless the process closes them.
func (limited *limitedNode) attack(callers int, send func(caller net.Conn) error) {
	limited.t.Helper()
	var group sync.WaitGroup
	until := time.Now().Add(sendingTime)
	for range callers {
		group.Go(func() {
			// A refused or closed connection is what the process may answer.
			opened, err := net.DialTimeout("tcp", limited.callers, time.Second)
			if err != nil {
				return
			}
			limited.t.Cleanup(func() { _ = opened.Close() })
			if opened.SetDeadline(until) == nil {
				_ = send(opened)
			}
		})
	}
	group.Wait()
	time.Sleep(holdTime)
}

// mustHold checks that the process lives, has stayed within its limits and serves a request.
func (limited *limitedNode) mustHold() {
	limited.t.Helper()
	limited.mustServe("ordinary body")
	close(limited.stop)
	limited.observed.Wait()
	if err := limited.process.Signal(syscall.Signal(0)); err != nil {
		limited.t.Errorf("process: got %v, want it alive", err)
	}
	peak, known := limited.peakMemory()
	limited.t.Logf("peak memory %.1f MB, peak descriptors %d", float64(peak)/(1<<20), limited.descriptors.Load())
	if !known || peak > int64(limited.memoryMB)<<20 {
		limited.t.Errorf("memory: got a peak of %.1f MB, want at most the limit of %d MB", float64(peak)/(1<<20), limited.memoryMB)
	}
	if most := limited.descriptors.Load(); most > hostileDescriptors {
		limited.t.Errorf("descriptors: got a peak of %d, want at most the limit of %d", most, hostileDescriptors)
	}
}
