// Package decisionlog writes log lines without blocking the callers, and finds the
// lines of a log that explain the outcome of a request.
//
// Lines go into a bounded buffer and are written in batches. Lines that exceed the
// buffer or the rate limit are dropped, and a line reports how many.
//
// # Usage
//
//	writer := decisionlog.New(os.Stdout)
//	defer writer.Close()
//	log := logr.FromSlogHandler(slog.NewTextHandler(writer, nil))
//
//	lines, err := decisionlog.Read(file)
//	explaining := decisionlog.Explain(lines, "r-1")
package decisionlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// The bounds of the buffer.
const (
	// bufferBytes is the capacity of the buffer, and the largest burst beyond the rate limit.
	bufferBytes = 256 << 10
	// flushInterval is the time from a line's arrival in an idle writer to its write.
	flushInterval = 100 * time.Millisecond
	// maxBytesPerSecond limits the average rate of accepted lines.
	maxBytesPerSecond = 512 << 10
)

// Writer is an io.Writer whose Write never blocks on the output.
type Writer struct {
	output io.Writer
	lock   sync.Mutex
	buffer []byte
	// tokens is the number of bytes that the rate limit still admits.
	tokens     float64
	refilledAt time.Time
	// dropped is the number of lines dropped since the last flush.
	dropped int
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
}

// New returns a writer that writes to output until it is closed.
func New(output io.Writer) *Writer {
	writer := &Writer{
		output:     output,
		tokens:     bufferBytes,
		refilledAt: time.Now(),
		wake:       make(chan struct{}, 1),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
	}
	go writer.run()
	return writer
}

// Write accepts a line, or drops it if the buffer is full or the rate limit exceeded.
// It always returns the length of the line and no error.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.lock.Lock()
	defer writer.lock.Unlock()
	now := time.Now()
	writer.tokens = min(writer.tokens+maxBytesPerSecond*now.Sub(writer.refilledAt).Seconds(), bufferBytes)
	writer.refilledAt = now
	if float64(len(line)) > writer.tokens || len(writer.buffer)+len(line) > bufferBytes {
		writer.dropped++
		return len(line), nil
	}
	writer.tokens -= float64(len(line))
	writer.buffer = append(writer.buffer, line...)
	select {
	case writer.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the buffered lines and stops the writer. It must be called only once.
func (writer *Writer) Close() {
	close(writer.stop)
	<-writer.done
}

func (writer *Writer) run() {
	defer close(writer.done)
	for {
		select {
		case <-writer.wake:
		case <-writer.stop:
			writer.flush()
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-writer.stop:
		}
		writer.flush()
	}
}

func (writer *Writer) flush() {
	writer.lock.Lock()
	batch := writer.buffer
	dropped := writer.dropped
	writer.buffer = nil
	writer.dropped = 0
	writer.lock.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n",
			time.Now().Format(time.RFC3339Nano), dropped)
	}
	if len(batch) == 0 {
		return
	}
	// A failed write can't be reported, since this is the log.
	_, _ = writer.output.Write(batch)
}
