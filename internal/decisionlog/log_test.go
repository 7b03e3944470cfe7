package decisionlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"mimosatide.example/mimosatide/internal/decisionlog"
)

// blockedWriter blocks every write until it is unblocked.
type blockedWriter struct {
	unblock chan struct{}
	lock    sync.Mutex
	written bytes.Buffer
}

func (output *blockedWriter) Write(data []byte) (int, error) {
	<-output.unblock
	output.lock.Lock()
	defer output.lock.Unlock()
	return output.written.Write(data)
}

func TestWriteDoesNotBlockAndReportsDroppedLines(t *testing.T) {
	output := &blockedWriter{unblock: make(chan struct{})}
	writer := decisionlog.New(output)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2000 {
		if _, err := writer.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	close(output.unblock)
	writer.Close()
	text := output.written.String()
	if !strings.Contains(text, "log lines dropped") || len(text) > 1<<20 {
		t.Errorf("got %d bytes written with dropped lines reported: %v, want at most 1 MiB with a report", len(text), strings.Contains(text, "dropped"))
	}
}

func TestCloseWritesBufferedLines(t *testing.T) {
	var output bytes.Buffer
	writer := decisionlog.New(&output)
	_, _ = writer.Write([]byte("a line\n"))
	writer.Close()
	if output.String() != "a line\n" {
		t.Errorf("got %q written, want the buffered line", output.String())
	}
}
