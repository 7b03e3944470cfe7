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

// Burst sends one request for every model to every node at once. A model that is not
// loaded at that time starts cold.
type Burst struct {
	Deployment Deployment
	// Rounds is the number of bursts.
	Rounds int
	// Pause is the time between two rounds. It must be long enough for idle models to be unloaded.
	Pause time.Duration
	// Tokens is the number of tokens that each request asks for.
	Tokens int
}

// BurstResult is the result of one round. Loads, Overcommitted and IdleSeconds
// are counted since the stand-in started.
type BurstResult struct {
	Round int
	Sent  int
	// Lost counts requests without a whole answer, refused ones included.
	Lost          int
	FirstToken    *hdrhistogram.Histogram
	Loads         int
	Overcommitted int
	IdleSeconds   float64
	Spread        time.Duration
}

// Run sends all rounds and returns one result for each.
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
		result, err := burst.runRound(ctx, fleet, caller, round)
		if err != nil {
			return nil, errors.Trace(err)
		}
		results = append(results, result)
	}
	return results, nil
}

func (burst Burst) runRound(ctx context.Context, fleet Fleet, caller *client.Caller, round int) (BurstResult, error) {
	result := BurstResult{Round: round, FirstToken: newHistogram()}
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
				_ = result.FirstToken.RecordValue(answer.FirstToken.Microseconds())
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
	result.Overcommitted, result.IdleSeconds = truth.Overcommitted, truth.IdleSeconds
	return result, nil
}

// Print writes the result as one line. Times are in milliseconds; loads,
// overcommitments and idle time are totals since the stand-in started.
func (result BurstResult) Print(out io.Writer, name string) {
	fmt.Fprintf(out, "%-14s round %d: sent %d lost %d, first token p50 %.0f p95 %.0f p99 %.0f max %.0f ms, loads so far %d, overcommitted %d, idle replica seconds %.0f\n",
		name, result.Round, result.Sent, result.Lost, milliseconds(result.FirstToken.ValueAtQuantile(50)),
		milliseconds(result.FirstToken.ValueAtQuantile(95)), milliseconds(result.FirstToken.ValueAtQuantile(99)),
		milliseconds(result.FirstToken.Max()), result.Loads, result.Overcommitted, result.IdleSeconds)
}
