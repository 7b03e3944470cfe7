package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/pkg/client"
)

// Overload sends more requests for one model than its engines can serve, most of them from one account.
type Overload struct {
	Deployment Deployment
	// PerSecond is the number of requests that each account sends per second.
	PerSecond map[string]float64
	Duration  time.Duration
	// Tokens is the number of tokens that each request asks for.
	Tokens int
}

// Run loads the model with one request, sends the overload, and prints for each
// account how many of its requests were served before the overload ended.
func (overload Overload) Run(ctx context.Context, fleet Fleet, name string, out io.Writer) error {
	caller, err := client.NewCaller(callTimeout)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := caller.Send(ctx, overload.call(fleet, overload.Deployment.Accounts[0].Name, 0)); err != nil {
		return errors.Trace(err)
	}
	var running sync.WaitGroup
	var lock sync.Mutex
	served, sent := map[string]int{}, map[string]int{}
	deadline := time.Now().Add(overload.Duration)
	for account, perSecond := range overload.PerSecond {
		running.Add(1)
		go func() {
			defer running.Done()
			ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer ticker.Stop()
			for index := 0; time.Now().Before(deadline); index++ {
				<-ticker.C
				running.Add(1)
				go func() {
					defer running.Done()
					answer, err := caller.Send(ctx, overload.call(fleet, account, index))
					lock.Lock()
					defer lock.Unlock()
					sent[account]++
					// After the end of the load the engines catch up, so later answers don't count.
					if err == nil && answer.Whole && time.Now().Before(deadline) {
						served[account]++
					}
				}()
			}
		}()
	}
	running.Wait()
	for _, account := range overload.Deployment.Accounts {
		if sent[account.Name] > 0 {
			fmt.Fprintf(out, "%-14s account %-14s sent %5d served in time %5d (%.2f)\n", name, account.Name, sent[account.Name],
				served[account.Name], float64(served[account.Name])/float64(sent[account.Name]))
		}
	}
	return nil
}

func (overload Overload) call(fleet Fleet, account string, index int) client.Call {
	node := fleet.Callers[index%len(fleet.Callers)]
	return Chat(node, KeyOf(account), ModelName(0), fmt.Sprintf("letter %d of %s", index, account), overload.Tokens, true)
}
