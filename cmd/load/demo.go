package main

import (
	"context"
	"os"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/load"
)

type demoCommand struct {
	Document string `help:"File with the configuration of the demo, as a JSON merge patch." default:"deploy/demo.json"`
}

// Run runs the demo.
func (command *demoCommand) Run(ctx context.Context, fleet load.Fleet) error {
	document, err := os.ReadFile(command.Document)
	if err != nil {
		return errors.Trace(err)
	}
	return load.RunDemo(ctx, fleet, document, os.Stdout)
}
