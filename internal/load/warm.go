package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide/pkg/client"
)

// clockTicks is how many ticks a second the kernel counts processor time in.
const clockTicks = 100

// Warm compares warm requests through one node with direct calls of the engine.
type Warm struct {
	PerSecond float64
	// Phase is the length of each phase; direct and routed ones take turns.
	Phase  time.Duration
	Phases int
	// NodePID is the node's process, whose processor time is read.
	NodePID int
	// Tokens is how many tokens each request asks for.
	Tokens int
}

// Run prints the times to the whole answer of both ways, and the node's requests a second a core.
func (warm Warm) Run(ctx context.Context, fleet Fleet, deployment Deployment, out io.Writer) error {
	caller, err := client.NewCaller(callTimeout)
	if err != nil {
		return errors.Trace(err)
	}
	routed := Chat(fleet.Callers[0], KeyOf(deployment.Accounts[0].Name), ModelName(0), "warm", warm.Tokens, true)
	if _, err := caller.Send(ctx, routed); err != nil {
		return errors.Trace(err)
	}
	direct, err := fleet.directCall(ctx, routed)
	if err != nil {
		return errors.Trace(err)
	}
	times := map[string]*hdrhistogram.Histogram{"direct": newHistogram(), "routed": newHistogram()}
	sent, lost, used := 0, 0, time.Duration(0)
	for phase := range 2 * warm.Phases {
		name, call := "direct", direct
		if phase%2 == 1 {
			name, call = "routed", routed
		}
		before := processorTime(warm.NodePID)
		count, failed := warm.phase(ctx, caller, call, times[name])
		lost += failed
		if name == "routed" {
			sent += count
			used += processorTime(warm.NodePID) - before
		}
	}
	for _, name := range []string{"direct", "routed"} {
		fmt.Fprintf(out, "%s: whole answer p50 %.2f p90 %.2f p99 %.2f max %.2f ms\n", name, milliseconds(times[name].ValueAtQuantile(50)),
			milliseconds(times[name].ValueAtQuantile(90)), milliseconds(times[name].ValueAtQuantile(99)), milliseconds(times[name].Max()))
	}
	fmt.Fprintf(out, "overhead: p50 %.2f p99 %.2f ms at %.0f requests a second; lost %d\n",
		milliseconds(times["routed"].ValueAtQuantile(50)-times["direct"].ValueAtQuantile(50)),
		milliseconds(times["routed"].ValueAtQuantile(99)-times["direct"].ValueAtQuantile(99)), warm.PerSecond, lost)
	if used > 0 {
		each := float64(used.Microseconds()) / float64(sent)
		fmt.Fprintf(out, "node: %.0f µs of a core a request of %d tokens, %.1f µs a token, %.0f requests a second a core\n",
			each, warm.Tokens, each/float64(warm.Tokens), float64(sent)/used.Seconds())
	}
	return nil
}

// directCall is the call that the node sends to the engine.
func (fleet Fleet) directCall(ctx context.Context, routed client.Call) (client.Call, error) {
	operators, err := fleet.Operator(0)
	if err != nil {
		return client.Call{}, errors.Trace(err)
	}
	status, err := operators.GetStatus(ctx)
	if err != nil {
		return client.Call{}, errors.Trace(err)
	}
	for _, placement := range status.Placements {
		if placement.Model == ModelName(0) {
			number, _ := strconv.Atoi(strings.TrimPrefix(placement.Target, "engine-"))
			_, port, err := splitPort(fleet.Platform)
			routed.Node = fmt.Sprintf("127.0.0.1:%d", port+number)
			routed.Key = ""
			routed.Headers = map[string]string{"Mimosatide-Placement": placement.ID}
			return routed, errors.Trace(err)
		}
	}
	return client.Call{}, errors.NotFoundf("placement of %s", ModelName(0))
}

func (warm Warm) phase(ctx context.Context, caller *client.Caller, call client.Call, times *hdrhistogram.Histogram) (int, int) {
	var running sync.WaitGroup
	var lock sync.Mutex
	sent, lost := 0, 0
	start := time.Now()
	for time.Since(start) < warm.Phase {
		due := int(time.Since(start).Seconds() * warm.PerSecond)
		for ; sent < due; sent++ {
			call := call
			call.Headers = withRequest(call.Headers, sent)
			running.Add(1)
			go func() {
				defer running.Done()
				answer, err := caller.Send(ctx, call)
				lock.Lock()
				defer lock.Unlock()
				if err != nil || !answer.Whole {
					lost++
					return
				}
				_ = times.RecordValue(answer.Took.Microseconds())
			}()
		}
		time.Sleep(200 * time.Microsecond)
	}
	running.Wait()
	return sent, lost
}

// withRequest gives a direct call a request id of its own.
func withRequest(headers map[string]string, index int) map[string]string {
	if headers["Mimosatide-Placement"] == "" {
		return headers
	}
	return map[string]string{
		"Mimosatide-Placement": headers["Mimosatide-Placement"],
		"Mimosatide-Request":   fmt.Sprintf("direct-%d-%d", time.Now().UnixNano(), index),
	}
}

// processorTime reads how much processor time a process has used.
func processorTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks
}
