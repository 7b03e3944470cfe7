package main_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// BenchmarkSmallBodies measures requests with bodies of 200 bytes on 32 kept connections: the
// process's own time for one, and requests a second. Another build of the program is measured
// with MIMOSATIDE_BENCH_BINARY=PATH.
func BenchmarkSmallBodies(b *testing.B) {
	if other := os.Getenv("MIMOSATIDE_BENCH_BINARY"); other != "" {
		own := binary
		binary = other
		defer func() { binary = own }()
	}
	limited := startLimitedNode(b, "127.0.9.1", 284)
	request := head("/small/1", "good", "Content-Length: 200") + strings.Repeat("x", 200)
	var left atomic.Int64
	left.Store(int64(b.N))
	before := limited.processorTime()
	b.ResetTimer()
	var group sync.WaitGroup
	for range 32 {
		group.Go(func() {
			opened, err := net.Dial("tcp", limited.callers)
			if err != nil {
				b.Error(err)
				return
			}
			defer func() { _ = opened.Close() }()
			reader := bufio.NewReader(opened)
			for left.Add(-1) >= 0 {
				if _, err := io.WriteString(opened, request); err != nil {
					b.Error(err)
					return
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil || response.StatusCode != http.StatusOK {
					b.Errorf("got %+v, error %v, want status 200", response, err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric((limited.processorTime()-before)*1e6/float64(b.N), "µs-processor/op")
	close(limited.stop)
	limited.observed.Wait()
}

// processorTime returns the processor time that the process has used, in seconds.
func (limited *limitedNode) processorTime() float64 {
	stat, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(limited.process.Pid), "stat"))
	if err != nil {
		limited.t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	sum := 0.0
	// The times in user and kernel mode, in hundredths of a second.
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseFloat(field, 64)
		if err != nil {
			limited.t.Fatal(err)
		}
		sum += ticks / 100
	}
	return sum
}
