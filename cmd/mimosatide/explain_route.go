package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/gateway"
)

// explainTimeout bounds the answer of a node.
const explainTimeout = 5 * time.Second

// maxExplanationBytes bounds the size of that answer: some hundred bytes for each of 10,000 targets.
const maxExplanationBytes = 16 << 20

type explainRouteCommand struct {
	Address      string `required:"" help:"Metrics address of an entry node, as HOST:PORT."`
	Host         string `required:"" help:"Host header of the request."`
	Path         string `required:"" help:"Path of the request."`
	Model        string `help:"Model that the request names."`
	Adapter      string `help:"Adapter that it names."`
	PromptTokens int    `help:"Tokens of its prompt."`
	Parts        string `help:"Parts of its prompt, as ID:TOKENS,ID:TOKENS."`
	JSON         bool   `help:"Print the answer as JSON." name:"json"`
}

// Run shows where a request would go now, and why, without sending it.
func (command *explainRouteCommand) Run() error {
	query := url.Values{
		"Host": {command.Host}, "Path": {command.Path}, "Model": {command.Model}, "Adapter": {command.Adapter},
		"PromptTokens": {strconv.Itoa(command.PromptTokens)}, "Parts": {command.Parts},
	}
	address := url.URL{Scheme: "http", Host: command.Address, Path: "/explain", RawQuery: query.Encode()}
	body, err := queryNode(address)
	if err != nil {
		return errors.Trace(err)
	}
	if command.JSON {
		_, err := os.Stdout.Write(body)
		return errors.Trace(err)
	}
	var explanation gateway.Explanation
	if err := json.Unmarshal(body, &explanation); err != nil {
		return errors.Annotate(err, "explanation")
	}
	return errors.Trace(printExplanation(os.Stdout, explanation))
}

// printExplanation prints the outcome in a line, and a table of the targets.
func printExplanation(to io.Writer, explanation gateway.Explanation) error {
	outcome := "sent to " + explanation.Chosen
	switch {
	case explanation.Refusal != "":
		outcome = fmt.Sprintf("refused as %s: %s", explanation.Refusal, explanation.Detail)
	case explanation.Waits && explanation.LoadExpectedIn > 0:
		outcome = fmt.Sprintf("waits for its model, expected in %.0f ms", explanation.LoadExpectedIn)
	case explanation.Waits:
		outcome = "waits for its model"
	}
	if _, err := fmt.Fprintf(to, "route %s, service %s, configuration %d (confirmed %.0f ms ago): %s\n",
		explanation.Route, explanation.Service, explanation.Configuration, explanation.ConfigurationAge, outcome); err != nil {
		return errors.Trace(err)
	}
	table := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "TARGET\tZONE\tEXCLUDED\tCOST MS\tWORK\tFAILURES\tZONE COST\tLIMITED\tADAPTER\tGAP\tCONNECTION\tFACTOR\tRUNNING\tPREFILL MS")
	for _, target := range explanation.Targets {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%d\t%.1f\n", target.Target, target.Zone, target.Excluded,
			target.Cost, target.Work, target.Failures, target.ZoneCost, target.Limited, target.Adapter, target.Gap, target.Connection,
			target.Factor, target.Running, target.Prefill)
	}
	return errors.Trace(table.Flush())
}
