package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/decisionlog"
)

type explainCommand struct {
	nodeFlags
	Log     string `help:"Log file of entry nodes to search instead of asking a node; - reads standard input." type:"existingfile"`
	Subject string `arg:"" help:"Id of a request, a placement or a patch."`
}

// Run shows the decisions about a request, a placement or a patch.
func (command *explainCommand) Run() error {
	if command.Log != "" {
		return command.explainLog()
	}
	api, err := command.client()
	if err != nil {
		return err
	}
	decisions, err := api.Explain(context.Background(), command.Subject)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, decision := range decisions {
		var details []string
		for _, detail := range decision.Details {
			details = append(details, detail.Name+"="+detail.Value)
		}
		at := time.Duration(decision.AtMs) * time.Millisecond
		rows = append(rows, []string{decision.Node, at.String(), decision.What, decision.Reason, strings.Join(details, " ")})
	}
	return command.print(decisions, []string{"NODE", "NODE'S CLOCK", "DECISION", "REASON", "DETAILS"}, rows)
}

// explainLog prints the log lines that explain the outcome of a request.
func (command *explainCommand) explainLog() error {
	file := os.Stdin
	if command.Log != "-" {
		opened, err := os.Open(command.Log)
		if err != nil {
			return errors.Trace(err)
		}
		defer func() { _ = opened.Close() }()
		file = opened
	}
	lines, err := decisionlog.Read(file)
	if err != nil {
		return errors.Trace(err)
	}
	matching := decisionlog.Explain(lines, command.Subject)
	if len(matching) == 0 {
		return errors.NotFoundf("request %s in the log", command.Subject)
	}
	for _, line := range matching {
		fmt.Println(line.Text)
	}
	return nil
}
