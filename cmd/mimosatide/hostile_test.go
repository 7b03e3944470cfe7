package main_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendChunks sends a chunked body of the given size in chunks of the given size, without the chunk
// that ends it.
func sendChunks(to io.Writer, key string, size, chunk int) error {
	if _, err := io.WriteString(to, head("/small/1", key, "Transfer-Encoding: chunked")); err != nil {
		return err
	}
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	several := max(1, (16<<10)/chunk)
	block := strings.Repeat(one, several)
	for sent := 0; sent < size; sent += several * chunk {
		if _, err := io.WriteString(to, block); err != nil {
			return err
		}
	}
	return nil
}

// unfinishedBody is just under the limit of a body: the process can't refuse it for its size.
const unfinishedBody = hostileMaxBody - 256<<10

// Bodies that stop just short of their end were kept in memory for as long as their callers
// stayed connected.
func TestChunkedBodiesThatStopShortStayWithinTheLimits(t *testing.T) {
	for name, key := range map[string]string{"unknown key": "bad", "valid key": "good"} {
		t.Run(name, func(t *testing.T) {
			limited := startLimitedNode(t, "127.0.8.1", hostileMemoryMB)
			limited.attack(60, func(caller net.Conn) error { return sendChunks(caller, key, unfinishedBody, 64<<10) })
			limited.mustHold()
		})
	}
}

// The same in chunks so small that the process is busy with decoding them.
func TestTinyChunksThatStopShortStayWithinTheLimits(t *testing.T) {
	limited := startLimitedNode(t, "127.0.8.2", hostileMemoryMB)
	limited.attack(40, func(caller net.Conn) error { return sendChunks(caller, "good", unfinishedBody, 16) })
	limited.mustHold()
}

// Callers may go on to send a body that was refused for its announced length. The code from before
// the limits passes this test: it closes the connection after its refusal.
func TestAnnouncedBodiesOverTheLimitStayWithinTheLimits(t *testing.T) {
	limited := startLimitedNode(t, "127.0.8.3", hostileMemoryMB)
	limited.attack(60, func(caller net.Conn) error {
		if _, err := io.WriteString(caller, head("/small/1", "good", "Content-Length: 1073741824")); err != nil {
			return err
		}
		_, err := io.Copy(caller, io.LimitReader(endless{}, 1<<30))
		return err
	})
	limited.mustHold()
}

// Memory that a caller gets by announcing a body costs it nothing. The code from before the
// limits passes this test, because the kernel counts memory only once it is written.
func TestAnnouncedBodiesThatDoNotComeStayWithinTheLimits(t *testing.T) {
	limited := startLimitedNode(t, "127.0.8.10", hostileMemoryMB)
	limited.attack(300, func(caller net.Conn) error {
		_, err := io.WriteString(caller, head("/small/1", "good", fmt.Sprintf("Content-Length: %d", hostileMaxBody))+"the first bytes")
		return err
	})
	limited.mustHold()
}

// Without an announced length the size of a body is known only when it has been read.
func TestSentBodiesOverTheLimitStayWithinTheLimits(t *testing.T) {
	limited := startLimitedNode(t, "127.0.8.4", hostileMemoryMB)
	limited.attack(60, func(caller net.Conn) error { return sendChunks(caller, "good", 1<<30, 64<<10) })
	limited.mustHold()
}

// Short fields take many times their bytes in memory.
func TestHeadersOverTheLimitStayWithinTheLimits(t *testing.T) {
	limited := startLimitedNode(t, "127.0.8.5", hostileMemoryMB)
	limited.attack(600, func(caller net.Conn) error { return sendFields(caller, 60<<10) })
	limited.mustHold()
}

// A header that never ends holds its connection and its memory for as long as its caller sends.
func TestHeadersThatNeverEndStayWithinTheLimits(t *testing.T) {
	limited := startLimitedNode(t, "127.0.8.6", hostileMemoryMB)
	limited.attack(600, func(caller net.Conn) error { return sendFields(caller, hostileMaxHeader-1<<10) })
	limited.mustHold()
}

// sendFields sends a header without its end, of short fields and about the given size.
func sendFields(to io.Writer, size int) error {
	var header strings.Builder
	header.WriteString("POST /small/1 HTTP/1.1\r\nHost: a.example\r\n")
	for field := 0; header.Len() < size; field++ {
		fmt.Fprintf(&header, "%x:\r\n", field)
	}
	_, err := io.WriteString(to, header.String())
	return err
}

// The server must not read empty lines before a request for ever. The code from before the
// limits passes this test: it ends a connection with its first empty line.
func TestEndlessEmptyLinesStayWithinTheLimits(t *testing.T) {
	limited := startLimitedNode(t, "127.0.8.7", hostileMemoryMB)
	lines := strings.Repeat("\r\n", 8<<10)
	limited.attack(200, func(caller net.Conn) error {
		for {
			if _, err := io.WriteString(caller, lines); err != nil {
				return err
			}
		}
	})
	limited.mustHold()
}

// A response that its caller doesn't read holds its memory and a connection to its target.
func TestSlowReadersOfLargeResponsesStayWithinTheLimits(t *testing.T) {
	limited := startLimitedNode(t, "127.0.8.8", hostileMemoryMB)
	limited.attack(300, func(caller net.Conn) error { return askAndStopReading(caller, "/large/1") })
	limited.mustHold()
}

// A stream that its caller doesn't read holds an event, its connection and one to its target.
func TestSlowReadersOfStreamsStayWithinTheLimits(t *testing.T) {
	limited := startLimitedNode(t, "127.0.8.9", hostileMemoryMB)
	limited.attack(300, func(caller net.Conn) error { return askAndStopReading(caller, "/events/1") })
	limited.mustHold()
}

// askAndStopReading sends a request and reads the first bytes of its response, no more.
func askAndStopReading(caller net.Conn, path string) error {
	if _, err := io.WriteString(caller, head(path, "good", "Content-Length: 0")); err != nil {
		return err
	}
	_, err := io.ReadFull(caller, make([]byte, 100))
	return err
}

// The limits for hostile callers must not refuse a body that the configuration allows. The code
// from before the limits passes this test.
func TestBodyOfTheLimitIsServedOnASmallHost(t *testing.T) {
	limited := startLimitedNode(t, "127.0.8.11", 144)
	limited.mustServe(strings.Repeat("x", hostileMaxBody))
	limited.mustHold()
}

// The port for metrics must not be a way to exhaust the process: it had no bound of connections.
func TestConnectionsToTheMetricsPortStayWithinTheLimits(t *testing.T) {
	limited := startLimitedNode(t, "127.0.8.12", hostileMemoryMB)
	callers := limited.callers
	limited.callers = "127.0.8.12:9464"
	limited.attack(600, func(caller net.Conn) error {
		_, err := io.WriteString(caller, "GET /metrics HTTP/1.1\r\nX: "+strings.Repeat("x", 8<<10))
		return err
	})
	status := 0
	for began := time.Now(); status != http.StatusOK && time.Since(began) < servingTime; time.Sleep(50 * time.Millisecond) {
		if answer, err := http.Get("http://" + limited.callers + "/metrics"); err == nil {
			status = answer.StatusCode
			_ = answer.Body.Close()
		}
	}
	if status != http.StatusOK {
		t.Errorf("metrics: got status %d of the last answer, want 200", status)
	}
	limited.callers = callers
	limited.mustHold()
}

// endless is a source of bytes without end.
type endless struct{}

func (endless) Read(buffer []byte) (int, error) { return len(buffer), nil }
