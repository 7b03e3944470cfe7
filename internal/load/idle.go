package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/standin"
)

// pageBytes is the unit in which the kernel counts resident memory.
const pageBytes = 4096

// Usage is a measurement of the table accesses, CPU time and memory of a fleet, begun by StartUsage.
type Usage struct {
	pids     []int
	start    time.Time
	initial  standin.Truth
	cpuTimes []time.Duration
}

// StartUsage begins a measurement of the nodes whose process ids are given, separated by spaces.
func (fleet Fleet) StartUsage(ctx context.Context, pids string) (*Usage, error) {
	truth, err := fleet.Truth(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	usage := &Usage{start: time.Now(), initial: truth}
	for _, text := range strings.Fields(pids) {
		pid, err := strconv.Atoi(text)
		if err != nil {
			return nil, errors.Annotate(err, "parse process id")
		}
		usage.pids = append(usage.pids, pid)
		usage.cpuTimes = append(usage.cpuTimes, cpuTime(pid))
	}
	return usage, nil
}

// Print writes the mean usage since the start of the measurement, and the memory of each node now.
func (usage *Usage) Print(ctx context.Context, fleet Fleet, out io.Writer) error {
	after, err := fleet.Truth(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	seconds := time.Since(usage.start).Seconds()
	fmt.Fprintf(out, "table: %.1f rows read and %.1f rows written a second\n",
		float64(after.Reads-usage.initial.Reads)/seconds, float64(after.Writes-usage.initial.Writes)/seconds)
	for index, pid := range usage.pids {
		cpuFraction := (cpuTime(pid) - usage.cpuTimes[index]).Seconds() / seconds
		fmt.Fprintf(out, "node %d: %.2f %% of a core, %d MB resident\n", index+1, 100*cpuFraction, residentMemory(pid)>>20)
	}
	return nil
}

// residentMemory returns the resident memory of a process in bytes, or zero if it can't be read.
func residentMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * pageBytes
}
