package decisionlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"mimosatide.example/mimosatide/internal/decisionlog"
)

// stuck is a target that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	lock    sync.Mutex
	written bytes.Buffer
}

func (target *stuck) Write(data []byte) (int, error) {
	<-target.release
	target.lock.Lock()
	defer target.lock.Unlock()
	return target.written.Write(data)
}

func TestLogNeverBlocksAndTellsWhatItDropped(t *testing.T) {
	target := &stuck{release: make(chan struct{})}
	writer := decisionlog.New(target)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2000 {
		if _, err := writer.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	close(target.release)
	writer.Close()
	text := target.written.String()
	if !strings.Contains(text, "log lines dropped") || len(text) > 1<<20 {
		t.Errorf("%d bytes written, dropped lines told: %v", len(text), strings.Contains(text, "dropped"))
	}
}

func TestLogIsWrittenAtTheEnd(t *testing.T) {
	var target bytes.Buffer
	writer := decisionlog.New(&target)
	_, _ = writer.Write([]byte("a line\n"))
	writer.Close()
	if target.String() != "a line\n" {
		t.Errorf("written: %q", target.String())
	}
}
