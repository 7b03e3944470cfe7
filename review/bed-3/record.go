package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line each, with the time since the start.
type record struct {
	lock  sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// add writes a line and returns its time.
func (record *record) add(format string, values ...any) time.Time {
	record.lock.Lock()
	defer record.lock.Unlock()
	now := time.Now()
	fmt.Fprintf(record.file, "%8.3f  %s\n", now.Sub(record.start).Seconds(), fmt.Sprintf(format, values...))
	return now
}

// since returns the time since the start in seconds.
func (record *record) since(at time.Time) float64 {
	return at.Sub(record.start).Seconds()
}
