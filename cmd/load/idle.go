package main

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/load"
)

type idleCommand struct {
	Duration time.Duration `help:"How long to watch." default:"30s"`
	NodePIDs string        `help:"Process ids of the nodes." env:"MIMOSATIDE_NODE_PIDS"`
}

// Run prints what an idle fleet uses.
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

// settleTime lets the shares of a new fleet spread.
const settleTime = 10 * time.Second
