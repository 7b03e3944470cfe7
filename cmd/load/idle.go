package main

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/load"
)

type idleCommand struct {
	Duration time.Duration `help:"Length of the measurement." default:"30s"`
	NodePIDs string        `help:"Process ids of the nodes, separated by spaces." env:"MIMOSATIDE_NODE_PIDS"`
}

// Run prints the usage of an idle fleet.
func (command *idleCommand) Run(ctx context.Context, fleet load.Fleet) error {
	if err := prepare(ctx, fleet, load.Association(), true, time.Minute); err != nil {
		return errors.Trace(err)
	}
	time.Sleep(settleTime)
	usage, err := fleet.StartUsage(ctx, command.NodePIDs)
	if err != nil {
		return errors.Trace(err)
	}
	time.Sleep(command.Duration)
	return usage.Print(ctx, fleet, os.Stdout)
}

// settleTime is enough for the shares of a new fleet to spread over its nodes.
const settleTime = 10 * time.Second
