package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide/pkg/client"
)

// Burst sends the first requests for every model at every node at once.
type Burst struct {
	Deployment Deployment
	// Rounds is how often; between two rounds the models fall idle and are unloaded.
	Rounds int
	// Pause is the time between two rounds.
	Pause  time.Duration
	Tokens int
}

// BurstResult is what one round got.
type BurstResult struct {
	Round  int
	Sent   int
	Lost   int
	First  *hdrhistogram.Histogram
	Loads  int
	Over   int
	Idle   float64
	Spread time.Duration
}

// Run sends the rounds.
func (burst Burst) Run(ctx context.Context, fleet Fleet) ([]BurstResult, error) {
	caller, err := client.NewCaller(callTimeout * 5)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var results []BurstResult
	for round := 1; round <= burst.Rounds; round++ {
		if round > 1 {
			time.Sleep(burst.Pause)
		}
		result, err := burst.round(ctx, fleet, caller, round)
		if err != nil {
			return nil, errors.Trace(err)
		}
		results = append(results, result)
	}
	return results, nil
}

func (burst Burst) round(ctx context.Context, fleet Fleet, caller *client.Caller, round int) (BurstResult, error) {
	result := BurstResult{Round: round, First: newHistogram()}
	var lock sync.Mutex
	var running sync.WaitGroup
	accounts := burst.Deployment.Accounts
	for model := range burst.Deployment.Models {
		for index, node := range fleet.Callers {
			account := accounts[(model+index)%len(accounts)].Name
			call := Chat(node, KeyOf(account), ModelName(model), fmt.Sprintf("round %d", round), burst.Tokens, true)
			running.Add(1)
			go func() {
				defer running.Done()
				answer, err := caller.Send(ctx, call)
				lock.Lock()
				defer lock.Unlock()
				result.Sent++
				if err != nil || !answer.Whole {
					result.Lost++
					return
				}
				_ = result.First.RecordValue(answer.FirstToken.Microseconds())
			}()
		}
	}
	running.Wait()
	truth, err := fleet.Truth(ctx)
	if err != nil {
		return result, errors.Trace(err)
	}
	for _, loads := range truth.Loads {
		result.Loads += loads
	}
	result.Over, result.Idle = truth.Overcommitted, truth.IdleSeconds
	return result, nil
}

// Print writes the result as one line. Times are in milliseconds; loads and idle time count from the start.
func (result BurstResult) Print(out io.Writer, name string) {
	fmt.Fprintf(out, "%-14s round %d: sent %d lost %d, first token p50 %.0f p95 %.0f p99 %.0f max %.0f ms, loads so far %d, overcommitted %d, idle replica seconds %.0f\n",
		name, result.Round, result.Sent, result.Lost, milliseconds(result.First.ValueAtQuantile(50)),
		milliseconds(result.First.ValueAtQuantile(95)), milliseconds(result.First.ValueAtQuantile(99)),
		milliseconds(result.First.Max()), result.Loads, result.Over, result.Idle)
}
