package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/pkg/client"
)

// The callers' keys that the demo grants.
const (
	schoolsKey   = "sk-demo-schools-1"
	reviewsKey   = "sk-demo-reviews-1"
	withdrawnKey = "sk-demo-schools-withdrawn"
)

// overRateRequests is the number of requests that together exceed the rate of an account.
const overRateRequests = 40

// demoStep is one request of the demo and the answer that it must get.
type demoStep struct {
	name   string
	call   client.Call
	status int
	reason string
	check  func(answer client.Answer) error
	// pending is a reason on which the request is sent again for up to pendingTimeout; empty
	// if it is sent once.
	pending string
}

// The answer to an order is stored for repetitions after it was sent.
const (
	pendingTimeout  = 3 * time.Second
	pendingInterval = 50 * time.Millisecond
)

// RunDemo patches the configuration with the document, sends each kind of request
// and prints a table of the answers. It returns an error if an answer, or what
// the stand-in recorded, is not as expected.
func RunDemo(ctx context.Context, fleet Fleet, document []byte, out io.Writer) error {
	if err := fleet.WaitReady(ctx); err != nil {
		return errors.Trace(err)
	}
	if err := configureDemo(ctx, fleet, document); err != nil {
		return errors.Trace(err)
	}
	caller, err := client.NewCaller(callTimeout)
	if err != nil {
		return errors.Trace(err)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REQUEST\tSTATUS\tREASON\tRUN\tTOKENS\tFIRST TOKEN\tTOOK\tVERDICT")
	failed := 0
	for _, step := range demoSteps(fleet) {
		failed += runStep(ctx, caller, step, table)
	}
	failed += runOverRateStep(ctx, caller, fleet, table)
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	truth, err := fleet.Truth(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(out, "loads of translate: %d, orders run: %d, keys seen by targets: %d\n",
		truth.Loads["translate"], truth.Bodies[demoOrder], truth.KeysSeen)
	if truth.Loads["translate"] != 1 || truth.Bodies[demoOrder] != 1 || truth.KeysSeen != 0 {
		failed++
	}
	if failed > 0 {
		return errors.Errorf("%d checks of the demo failed", failed)
	}
	return nil
}

func configureDemo(ctx context.Context, fleet Fleet, document []byte) error {
	var mergePatch map[string]any
	if err := json.Unmarshal(document, &mergePatch); err != nil {
		return errors.Annotate(err, "parse demo configuration")
	}
	if _, err := fleet.Patch(ctx, 0, mergePatch); err != nil {
		return errors.Trace(err)
	}
	for key, account := range map[string]string{schoolsKey: "schools", reviewsKey: "reviews", withdrawnKey: "schools"} {
		if err := fleet.GrantKey(ctx, key, account, false); err != nil {
			return errors.Trace(err)
		}
	}
	return fleet.GrantKey(ctx, withdrawnKey, "schools", true)
}

// oversizedBody is larger than the request body that a node accepts, in bytes.
const oversizedBody = 5 << 20

// demoOrder is the body of the order, which must run once.
const demoOrder = `{"Item":"stamps","Count":2}`

func demoSteps(fleet Fleet) []demoStep {
	node := func(index int) string { return fleet.Callers[index%len(fleet.Callers)] }
	firstOrder := client.Call{
		Node:    node(0),
		Method:  http.MethodPost,
		Path:    "/services/orders/buy",
		Key:     schoolsKey,
		Headers: map[string]string{"Idempotency-Key": "demo-order-1"},
		Body:    []byte(demoOrder),
	}
	repeated := firstOrder
	repeated.Node = node(1)
	twoKeys := Chat(node(0), schoolsKey, "translate", "hello", 4, false)
	twoKeys.Headers = map[string]string{"X-Api-Key": reviewsKey}
	malformed := client.Call{Node: node(0), Method: http.MethodPost, Path: "/v1/completions", Key: schoolsKey, Body: []byte("{")}
	oversized := Chat(node(0), schoolsKey, "translate", strings.Repeat("a", oversizedBody), 4, false)
	get := func(path string) client.Call {
		return client.Call{Node: node(0), Method: http.MethodGet, Path: path, Key: schoolsKey}
	}
	return []demoStep{
		{name: "cold request", call: Chat(node(0), schoolsKey, "translate", "Dear pen friend", 16, true), status: 200, check: wholeStream(16)},
		{name: "warm streamed request", call: Chat(node(1), schoolsKey, "translate", "Dear pen friend", 16, true), status: 200, check: wholeStream(16)},
		{name: "warm plain request", call: Chat(node(2), schoolsKey, "translate", "Dear pen friend", 16, false), status: 200, check: wholeText(16)},
		{name: "adapter request", call: Chat(node(1), schoolsKey, "translate:letters", "Dear pen friend", 8, true), status: 200, check: wholeStream(8)},
		{name: "order that may run once", call: firstOrder, status: 200, check: notReplayed},
		{name: "the same order at another node", call: repeated, status: 200, check: replayed, pending: "DuplicateRequest"},
		{name: "withdrawn key", call: Chat(node(2), withdrawnKey, "translate", "hello", 4, false), status: 401, reason: "KeyWithdrawn"},
		{name: "no key", call: Chat(node(0), "", "translate", "hello", 4, false), status: 401, reason: "NoKey"},
		{name: "two keys", call: twoKeys, status: 401, reason: "TwoKeys"},
		{name: "unknown model", call: Chat(node(0), schoolsKey, "poems", "hello", 4, false), status: 404, reason: "UnknownModel"},
		{name: "absurd token count", call: Chat(node(0), schoolsKey, "translate", "hello", 1<<30, false), status: 400, reason: "BadTokenCount"},
		{name: "malformed body", call: malformed, status: 400, reason: "Malformed"},
		{name: "oversized body", call: oversized, status: 413, reason: "TooLarge"},
		{name: "unknown route", call: get("/services/parcels/1"), status: 404, reason: "UnknownRoute"},
		{name: "wrong method", call: get("/v1/chat/completions"), status: 405, reason: "WrongMethod"},
		{name: "open lookup without a key", call: client.Call{Node: node(2), Method: http.MethodGet, Path: "/services/lookups/7"}, status: 200},
	}
}

// wholeStream returns a check that a stream is complete and has the given number of tokens.
func wholeStream(tokens int) func(client.Answer) error {
	return func(answer client.Answer) error {
		if !answer.Whole || answer.Tokens != tokens {
			return errors.Errorf("got %d of %d tokens", answer.Tokens, tokens)
		}
		return nil
	}
}

// wholeText returns a check of an answer that isn't streamed, by counting the letter t:
// each token of the stand-in contains one.
func wholeText(tokens int) func(client.Answer) error {
	return func(answer client.Answer) error {
		if got := strings.Count(string(answer.Body), "t"); got < tokens {
			return errors.Errorf("answer has fewer tokens than requested: %s", answer.Body)
		}
		return nil
	}
}

func replayed(answer client.Answer) error {
	if !answer.Replayed {
		return errors.New("repeated order was not answered with a replay")
	}
	return nil
}

func notReplayed(answer client.Answer) error {
	if answer.Replayed {
		return errors.New("first order was answered with a replay")
	}
	return nil
}

// runStep sends one request, prints a table row and returns the number of failures, zero or one.
func runStep(ctx context.Context, caller *client.Caller, step demoStep, out io.Writer) int {
	begun := time.Now()
	answer, err := caller.Send(ctx, step.call)
	for err == nil && step.pending != "" && answer.Reason == step.pending && time.Since(begun) < pendingTimeout {
		time.Sleep(pendingInterval)
		answer, err = caller.Send(ctx, step.call)
	}
	verdict := evaluateStep(step, answer, err)
	fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\n", step.name, answer.Status, answer.Reason, answer.Run, answer.Tokens,
		answer.FirstToken.Round(time.Millisecond), answer.Took.Round(time.Millisecond), verdict)
	if verdict != "as expected" {
		return 1
	}
	return 0
}

func evaluateStep(step demoStep, answer client.Answer, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case answer.Status != step.status || answer.Reason != step.reason:
		return fmt.Sprintf("expected %d %s", step.status, step.reason)
	case answer.Reason != "" && answer.Run != "NotRun":
		return "refused request is not reported as NotRun"
	case step.check == nil:
		return "as expected"
	}
	if err := step.check(answer); err != nil {
		return err.Error()
	}
	return "as expected"
}

// runOverRateStep exceeds an account's rate with concurrent requests and expects
// that at least one of them is refused as OverRate. It returns the number of
// failures, zero or one.
func runOverRateStep(ctx context.Context, caller *client.Caller, fleet Fleet, out io.Writer) int {
	answers := make(chan client.Answer, overRateRequests)
	for index := range overRateRequests {
		node := fleet.Callers[index%len(fleet.Callers)]
		go func() {
			answer, _ := caller.Send(ctx, Chat(node, reviewsKey, "translate", "hello", 100, true))
			answers <- answer
		}()
	}
	refused := client.Answer{}
	for range overRateRequests {
		if answer := <-answers; answer.Reason == "OverRate" {
			refused = answer
		}
	}
	step := demoStep{name: "over its rate", status: 429, reason: "OverRate"}
	verdict := evaluateStep(step, refused, nil)
	fmt.Fprintf(out, "%s\t%d\t%s\t%s\t\t\t%s\t%s\n", step.name, refused.Status, refused.Reason, refused.Run,
		refused.Took.Round(time.Millisecond), verdict)
	if verdict != "as expected" {
		return 1
	}
	return 0
}
