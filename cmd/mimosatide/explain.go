package main

import (
	"context"
	"strings"
	"time"
)

type explainCommand struct {
	nodeFlags
	Subject string `arg:"" help:"Id of a request, a placement or a patch."`
}

// Run shows every decision about the subject.
func (command *explainCommand) Run() error {
	operators, err := command.client()
	if err != nil {
		return err
	}
	decisions, err := operators.Explain(context.Background(), command.Subject)
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
