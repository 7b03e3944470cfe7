// Package decisionlog writes log lines without ever holding up the work that
// they tell of.
//
// Lines go into a bounded buffer and are written in batches. What does not fit
// is dropped and counted, and a line tells how much was left out.
//
// # Usage
//
//	writer := decisionlog.New(os.Stdout)
//	defer writer.Close()
//	log := logr.FromSlogHandler(slog.NewTextHandler(writer, nil))
package decisionlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// The bounds of the buffer.
const (
	// bufferBytes is the most that waits to be written.
	bufferBytes = 256 << 10
	// flushEvery is how often the buffer is written.
	flushEvery = 100 * time.Millisecond
	// bytesPerSecond bounds what is written over time.
	bytesPerSecond = 512 << 10
)

// Writer is an io.Writer that never blocks.
type Writer struct {
	target io.Writer
	lock   sync.Mutex
	buffer []byte
	// room is what may still be taken; it is filled at bytesPerSecond.
	room    float64
	roomAt  time.Time
	dropped int
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
}

// New returns a writer that writes to target until it is closed.
func New(target io.Writer) *Writer {
	writer := &Writer{
		target: target,
		room:   bufferBytes,
		roomAt: time.Now(),
		wake:   make(chan struct{}, 1),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	go writer.run()
	return writer
}

// Write takes a line, or drops it if there is no room.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.lock.Lock()
	defer writer.lock.Unlock()
	now := time.Now()
	writer.room = min(writer.room+bytesPerSecond*now.Sub(writer.roomAt).Seconds(), bufferBytes)
	writer.roomAt = now
	if float64(len(line)) > writer.room || len(writer.buffer)+len(line) > bufferBytes {
		writer.dropped++
		return len(line), nil
	}
	writer.room -= float64(len(line))
	writer.buffer = append(writer.buffer, line...)
	select {
	case writer.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what is left.
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
		case <-time.After(flushEvery):
		case <-writer.stop:
		}
		writer.flush()
	}
}

func (writer *Writer) flush() {
	writer.lock.Lock()
	full := writer.buffer
	dropped := writer.dropped
	writer.buffer = nil
	writer.dropped = 0
	writer.lock.Unlock()
	if dropped > 0 {
		full = fmt.Appendf(full, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n",
			time.Now().Format(time.RFC3339Nano), dropped)
	}
	if len(full) == 0 {
		return
	}
	// Nobody can be told that the log itself can't be written.
	_, _ = writer.target.Write(full)
}
