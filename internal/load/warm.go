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

// clockTicksPerSecond is the unit in which the kernel counts CPU time (USER_HZ).
const clockTicksPerSecond = 100

// Warm measures the overhead of a node: it compares requests for a loaded model
// through the node with requests sent directly to the engine.
type Warm struct {
	// PerSecond is the number of requests per second.
	PerSecond float64
	// Phase is the length of each phase; direct and routed phases alternate.
	Phase time.Duration
	// Phases is the number of phases of each kind.
	Phases int
	// NodePID is the process id of the node, for its CPU time; without one no CPU time is printed.
	NodePID int
	// Tokens is the number of tokens that each request asks for.
	Tokens int
}

// Run prints the times to the whole answer for both kinds, and the node's CPU time per request.
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
	latencies := map[string]*hdrhistogram.Histogram{"direct": newHistogram(), "routed": newHistogram()}
	sent, lost, cpuUsed := 0, 0, time.Duration(0)
	for phase := range 2 * warm.Phases {
		name, call := "direct", direct
		if phase%2 == 1 {
			name, call = "routed", routed
		}
		cpuBefore := cpuTime(warm.NodePID)
		count, failed := warm.runPhase(ctx, caller, call, latencies[name])
		lost += failed
		if name == "routed" {
			sent += count
			cpuUsed += cpuTime(warm.NodePID) - cpuBefore
		}
	}
	for _, name := range []string{"direct", "routed"} {
		fmt.Fprintf(out, "%s: whole answer p50 %.2f p90 %.2f p99 %.2f max %.2f ms\n", name, milliseconds(latencies[name].ValueAtQuantile(50)),
			milliseconds(latencies[name].ValueAtQuantile(90)), milliseconds(latencies[name].ValueAtQuantile(99)), milliseconds(latencies[name].Max()))
	}
	fmt.Fprintf(out, "overhead: p50 %.2f p99 %.2f ms at %.0f requests a second; lost %d\n",
		milliseconds(latencies["routed"].ValueAtQuantile(50)-latencies["direct"].ValueAtQuantile(50)),
		milliseconds(latencies["routed"].ValueAtQuantile(99)-latencies["direct"].ValueAtQuantile(99)), warm.PerSecond, lost)
	if cpuUsed > 0 {
		microsPerRequest := float64(cpuUsed.Microseconds()) / float64(sent)
		fmt.Fprintf(out, "node: %.0f µs of a core a request of %d tokens, %.1f µs a token, %.0f requests a second a core\n",
			microsPerRequest, warm.Tokens, microsPerRequest/float64(warm.Tokens), float64(sent)/cpuUsed.Seconds())
	}
	return nil
}

// directCall returns the request in the form in which a node sends it to the engine that holds the model.
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
			engineIndex, _ := strconv.Atoi(strings.TrimPrefix(placement.Target, "engine-"))
			_, port, err := splitHostPort(fleet.Platform)
			routed.Node = fmt.Sprintf("127.0.0.1:%d", port+engineIndex)
			routed.Key = ""
			routed.Headers = map[string]string{"Mimosatide-Placement": placement.ID}
			return routed, errors.Trace(err)
		}
	}
	return client.Call{}, errors.NotFoundf("placement of %s", ModelName(0))
}

// runPhase sends requests at a fixed rate for one phase, and returns the numbers of sent and lost requests.
func (warm Warm) runPhase(ctx context.Context, caller *client.Caller, call client.Call, latencies *hdrhistogram.Histogram) (int, int) {
	var running sync.WaitGroup
	var lock sync.Mutex
	sent, lost := 0, 0
	start := time.Now()
	for time.Since(start) < warm.Phase {
		due := int(time.Since(start).Seconds() * warm.PerSecond)
		for ; sent < due; sent++ {
			call := call
			call.Headers = withRequestID(call.Headers, sent)
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
				_ = latencies.RecordValue(answer.Took.Microseconds())
			}()
		}
		time.Sleep(200 * time.Microsecond)
	}
	running.Wait()
	return sent, lost
}

// withRequestID adds a unique request id to the headers of a direct call; other headers stay as they are.
func withRequestID(headers map[string]string, index int) map[string]string {
	if headers["Mimosatide-Placement"] == "" {
		return headers
	}
	return map[string]string{
		"Mimosatide-Placement": headers["Mimosatide-Placement"],
		"Mimosatide-Request":   fmt.Sprintf("direct-%d-%d", time.Now().UnixNano(), index),
	}
}

// cpuTime returns the CPU time that a process has used, or zero if it can't be read.
func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The process id and the command's name, which may contain spaces, are cut off. The
	// times in user and system mode, fields 14 and 15 of the line, are then at 11 and 12.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}
