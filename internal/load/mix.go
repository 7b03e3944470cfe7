package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/pkg/client"
)

// Mix is a seeded mix of requests for one deployment.
type Mix struct {
	Deployment Deployment
	Seed       uint64
	Duration   time.Duration
	// PerSecond is how many requests arrive in a second.
	PerSecond float64
	// Tokens is the mean of the tokens that a request asks for.
	Tokens int
	// Skew makes few models popular: the larger, the fewer.
	Skew float64
	// Orders and Lookups are the parts of requests that go to plain services.
	Orders  float64
	Lookups float64
}

// DefaultMix returns the mix of the 60 s run.
func DefaultMix(deployment Deployment) Mix {
	return Mix{
		Deployment: deployment, Seed: 1, Duration: time.Minute, PerSecond: 60, Tokens: 24, Skew: 1.1, Orders: 0.05, Lookups: 0.1,
	}
}

// planned is one request of a mix.
type planned struct {
	at      time.Duration
	account string
	call    client.Call
	// order is the body of a request that may run once.
	order string
}

// plan draws all requests of the mix, the same for the same seed.
func (mix Mix) plan(fleet Fleet) []planned {
	random := rand.New(rand.NewPCG(mix.Seed, mix.Seed))
	popular := rand.NewZipf(random, mix.Skew, 1, uint64(mix.Deployment.Models-1))
	var requests []planned
	for at := time.Duration(0); at < mix.Duration; {
		at += time.Duration(random.ExpFloat64() / mix.PerSecond * float64(time.Second))
		node := fleet.Callers[random.IntN(len(fleet.Callers))]
		account := mix.drawAccount(random)
		requests = append(requests, mix.draw(random, popular, at, node, account))
	}
	return requests
}

func (mix Mix) drawAccount(random *rand.Rand) string {
	roll := random.Float64()
	for _, account := range mix.Deployment.Accounts {
		if roll < account.Part {
			return account.Name
		}
		roll -= account.Part
	}
	return mix.Deployment.Accounts[0].Name
}

func (mix Mix) draw(random *rand.Rand, popular *rand.Zipf, at time.Duration, node, account string) planned {
	request := planned{at: at, account: account}
	roll := random.Float64()
	switch {
	case roll < mix.Orders:
		request.order = fmt.Sprintf(`{"Order":"%d-%d"}`, mix.Seed, at.Nanoseconds())
		request.call = client.Call{
			Node: node, Method: http.MethodPost, Path: "/services/" + mix.Deployment.RouteName + "/orders",
			Key: KeyOf(account), Headers: map[string]string{"Idempotency-Key": request.order}, Body: []byte(request.order),
		}
	case roll < mix.Orders+mix.Lookups:
		request.call = client.Call{Node: node, Method: http.MethodGet, Path: fmt.Sprintf("/services/lookups/%d", random.IntN(1000))}
	default:
		tokens := 1 + int(math.Min(4*float64(mix.Tokens), random.ExpFloat64()*float64(mix.Tokens)))
		text := fmt.Sprintf("request %d of %s", at.Nanoseconds(), account)
		request.call = Chat(node, KeyOf(account), ModelName(int(popular.Uint64())), text, tokens, true)
	}
	return request
}

// outcome is what one request got.
type outcome struct {
	request planned
	answer  client.Answer
	err     error
}

// Run sends the mix and sums up the answers. Requests arrive at their times
// whether or not earlier ones are answered.
func (mix Mix) Run(ctx context.Context, fleet Fleet) (*Report, error) {
	caller, err := client.NewCaller(callTimeout)
	if err != nil {
		return nil, errors.Trace(err)
	}
	requests := mix.plan(fleet)
	outcomes := make(chan outcome, len(requests))
	var running sync.WaitGroup
	start := time.Now()
	for _, request := range requests {
		if wait := request.at - time.Since(start); wait > 0 {
			time.Sleep(wait)
		}
		running.Add(1)
		go func() {
			defer running.Done()
			answer, err := caller.Send(ctx, request.call)
			outcomes <- outcome{request: request, answer: answer, err: err}
		}()
	}
	running.Wait()
	close(outcomes)
	report := NewReport()
	for done := range outcomes {
		report.add(done)
	}
	return report, nil
}

// Configure puts the deployment's configuration in force.
func (mix Mix) Configure(ctx context.Context, fleet Fleet, loadTime, waitLimit time.Duration) error {
	_, port, err := splitPort(fleet.Platform)
	if err != nil {
		return errors.Trace(err)
	}
	document := mix.Deployment.Document(port, loadTime, waitLimit, func(key string) string {
		return string(mimosatide.DigestKey(key))
	})
	_, err = fleet.Patch(ctx, 0, document)
	return errors.Trace(err)
}
