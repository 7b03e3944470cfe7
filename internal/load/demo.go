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

// The keys of the demo.
const (
	schoolsKey   = "sk-demo-schools-1"
	reviewsKey   = "sk-demo-reviews-1"
	withdrawnKey = "sk-demo-schools-withdrawn"
)

// overRateTries bounds the requests until one is over its rate.
const overRateTries = 40

// demoStep is one request of the demo and the answer that it must get.
type demoStep struct {
	name   string
	call   client.Call
	status int
	reason string
	check  func(answer client.Answer) error
}

// RunDemo sets the demo's configuration, sends each kind of request and prints what it got.
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
	failed += overRate(ctx, caller, fleet, table)
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
		return errors.Errorf("%d answers were not as expected", failed)
	}
	return nil
}

func configureDemo(ctx context.Context, fleet Fleet, document []byte) error {
	var merge map[string]any
	if err := json.Unmarshal(document, &merge); err != nil {
		return errors.Annotate(err, "demo document")
	}
	if _, err := fleet.Patch(ctx, 0, merge); err != nil {
		return errors.Trace(err)
	}
	for key, account := range map[string]string{schoolsKey: "schools", reviewsKey: "reviews", withdrawnKey: "schools"} {
		if err := fleet.GrantKey(ctx, key, account, false); err != nil {
			return errors.Trace(err)
		}
	}
	return fleet.GrantKey(ctx, withdrawnKey, "schools", true)
}

// oversizedBody is more than a node takes, in bytes.
const oversizedBody = 5 << 20

const demoOrder = `{"Item":"stamps","Count":2}`

func demoSteps(fleet Fleet) []demoStep {
	node := func(index int) string { return fleet.Callers[index%len(fleet.Callers)] }
	order := client.Call{
		Node:    node(0),
		Method:  http.MethodPost,
		Path:    "/services/orders/buy",
		Key:     schoolsKey,
		Headers: map[string]string{"Idempotency-Key": "demo-order-1"},
		Body:    []byte(demoOrder),
	}
	again := order
	again.Node = node(1)
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
		{name: "order that may run once", call: order, status: 200, check: notReplayed},
		{name: "the same order at another node", call: again, status: 200, check: replayed},
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

func wholeStream(tokens int) func(client.Answer) error {
	return func(answer client.Answer) error {
		if !answer.Whole || answer.Tokens != tokens {
			return errors.Errorf("%d tokens of %d", answer.Tokens, tokens)
		}
		return nil
	}
}

func wholeText(tokens int) func(client.Answer) error {
	return func(answer client.Answer) error {
		if got := strings.Count(string(answer.Body), "t"); got < tokens {
			return errors.Errorf("the answer lacks tokens: %s", answer.Body)
		}
		return nil
	}
}

func replayed(answer client.Answer) error {
	if !answer.Replayed {
		return errors.New("the order ran again")
	}
	return nil
}

func notReplayed(answer client.Answer) error {
	if answer.Replayed {
		return errors.New("the first order was taken for a repeated one")
	}
	return nil
}

// runStep sends one request and returns the number of failures, zero or one.
func runStep(ctx context.Context, caller *client.Caller, step demoStep, out io.Writer) int {
	answer, err := caller.Send(ctx, step.call)
	verdict := judge(step, answer, err)
	fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\n", step.name, answer.Status, answer.Reason, answer.Run, answer.Tokens,
		answer.FirstToken.Round(time.Millisecond), answer.Took.Round(time.Millisecond), verdict)
	if verdict != "as expected" {
		return 1
	}
	return 0
}

func judge(step demoStep, answer client.Answer, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case answer.Status != step.status || answer.Reason != step.reason:
		return fmt.Sprintf("expected %d %s", step.status, step.reason)
	case answer.Reason != "" && answer.Run != "NotRun":
		return "a refused request is not said to be not run"
	case step.check == nil:
		return "as expected"
	}
	if err := step.check(answer); err != nil {
		return err.Error()
	}
	return "as expected"
}

// overRate sends more than the account's rate and expects to be told so.
func overRate(ctx context.Context, caller *client.Caller, fleet Fleet, out io.Writer) int {
	answers := make(chan client.Answer, overRateTries)
	for index := range overRateTries {
		node := fleet.Callers[index%len(fleet.Callers)]
		go func() {
			answer, _ := caller.Send(ctx, Chat(node, reviewsKey, "translate", "hello", 100, true))
			answers <- answer
		}()
	}
	refused := client.Answer{}
	for range overRateTries {
		if answer := <-answers; answer.Reason == "OverRate" {
			refused = answer
		}
	}
	step := demoStep{name: "over its rate", status: 429, reason: "OverRate"}
	verdict := judge(step, refused, nil)
	fmt.Fprintf(out, "%s\t%d\t%s\t%s\t\t\t%s\t%s\n", step.name, refused.Status, refused.Reason, refused.Run,
		refused.Took.Round(time.Millisecond), verdict)
	if verdict != "as expected" {
		return 1
	}
	return 0
}
