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

// pageSize is how many bytes the kernel counts resident memory in.
const pageSize = 4096

// Usage is what the fleet used over some time.
type Usage struct {
	pids   []int
	start  time.Time
	before standin.Truth
	cores  []time.Duration
}

// StartUsage begins to count what the nodes with the given process ids use.
func (fleet Fleet) StartUsage(ctx context.Context, pids string) (*Usage, error) {
	truth, err := fleet.Truth(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	usage := &Usage{start: time.Now(), before: truth}
	for _, text := range strings.Fields(pids) {
		pid, err := strconv.Atoi(text)
		if err != nil {
			return nil, errors.Annotate(err, "process id")
		}
		usage.pids = append(usage.pids, pid)
		usage.cores = append(usage.cores, processorTime(pid))
	}
	return usage, nil
}

// Print writes what was used since the start.
func (usage *Usage) Print(ctx context.Context, fleet Fleet, out io.Writer) error {
	after, err := fleet.Truth(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	seconds := time.Since(usage.start).Seconds()
	fmt.Fprintf(out, "table: %.1f rows read and %.1f rows written a second\n",
		float64(after.Reads-usage.before.Reads)/seconds, float64(after.Writes-usage.before.Writes)/seconds)
	for index, pid := range usage.pids {
		core := (processorTime(pid) - usage.cores[index]).Seconds() / seconds
		fmt.Fprintf(out, "node %d: %.2f %% of a core, %d MB resident\n", index+1, 100*core, residentMemory(pid)>>20)
	}
	return nil
}

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
	return pages * pageSize
}
