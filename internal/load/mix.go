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

// Mix is a random mix of requests for one deployment, determined by its seed.
type Mix struct {
	Deployment Deployment
	Seed       uint64
	Duration   time.Duration
	// PerSecond is the mean number of requests per second; the times between them are
	// exponentially distributed.
	PerSecond float64
	// Tokens is about the mean number of tokens that a request asks for.
	Tokens int
	// Skew is the exponent of the Zipf distribution of requests over models; the larger
	// it is, the fewer models are popular.
	Skew float64
	// OrderFraction and LookupFraction are the fractions of the requests that go to plain services.
	OrderFraction  float64
	LookupFraction float64
}

// DefaultMix returns a mix of 60 s at 60 requests per second.
func DefaultMix(deployment Deployment) Mix {
	return Mix{
		Deployment: deployment, Seed: 1, Duration: time.Minute, PerSecond: 60, Tokens: 24, Skew: 1.1, OrderFraction: 0.05, LookupFraction: 0.1,
	}
}

// plannedRequest is one request of a mix.
type plannedRequest struct {
	// at is the arrival time since the start of the mix.
	at      time.Duration
	account string
	call    client.Call
	// orderBody is the body of a request that must not run twice; it is empty for other requests.
	orderBody string
}

// plan draws all requests of the mix. The same seed gives the same requests.
func (mix Mix) plan(fleet Fleet) []plannedRequest {
	random := rand.New(rand.NewPCG(mix.Seed, mix.Seed))
	popularity := rand.NewZipf(random, mix.Skew, 1, uint64(mix.Deployment.Models-1))
	var requests []plannedRequest
	for at := time.Duration(0); at < mix.Duration; {
		at += time.Duration(random.ExpFloat64() / mix.PerSecond * float64(time.Second))
		node := fleet.Callers[random.IntN(len(fleet.Callers))]
		account := mix.drawAccount(random)
		requests = append(requests, mix.drawRequest(random, popularity, at, node, account))
	}
	return requests
}

func (mix Mix) drawAccount(random *rand.Rand) string {
	roll := random.Float64()
	for _, account := range mix.Deployment.Accounts {
		if roll < account.Fraction {
			return account.Name
		}
		roll -= account.Fraction
	}
	return mix.Deployment.Accounts[0].Name
}

func (mix Mix) drawRequest(random *rand.Rand, popularity *rand.Zipf, at time.Duration, node, account string) plannedRequest {
	request := plannedRequest{at: at, account: account}
	roll := random.Float64()
	switch {
	case roll < mix.OrderFraction:
		request.orderBody = fmt.Sprintf(`{"Order":"%d-%d"}`, mix.Seed, at.Nanoseconds())
		request.call = client.Call{
			Node: node, Method: http.MethodPost, Path: "/services/" + mix.Deployment.RouteName + "/orders",
			Key: KeyOf(account), Headers: map[string]string{"Idempotency-Key": request.orderBody}, Body: []byte(request.orderBody),
		}
	case roll < mix.OrderFraction+mix.LookupFraction:
		request.call = client.Call{Node: node, Method: http.MethodGet, Path: fmt.Sprintf("/services/lookups/%d", random.IntN(1000))}
	default:
		tokens := 1 + int(math.Min(4*float64(mix.Tokens), random.ExpFloat64()*float64(mix.Tokens)))
		text := fmt.Sprintf("request %d of %s", at.Nanoseconds(), account)
		request.call = Chat(node, KeyOf(account), ModelName(int(popularity.Uint64())), text, tokens, true)
	}
	return request
}

// outcome is a request with its answer or error.
type outcome struct {
	request plannedRequest
	answer  client.Answer
	err     error
}

// Run sends the mix and summarizes the answers. It is an open-loop load: requests
// are sent at their arrival times whether or not earlier ones have been answered.
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
	for result := range outcomes {
		report.add(result)
	}
	return report, nil
}

// Configure puts the deployment's configuration in force through the first node.
func (mix Mix) Configure(ctx context.Context, fleet Fleet, loadTime, waitLimit time.Duration) error {
	_, port, err := splitHostPort(fleet.Platform)
	if err != nil {
		return errors.Trace(err)
	}
	document := mix.Deployment.Document(port, loadTime, waitLimit, func(key string) string {
		return string(mimosatide.DigestKey(key))
	})
	_, err = fleet.Patch(ctx, 0, document)
	return errors.Trace(err)
}
