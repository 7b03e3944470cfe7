package main

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/load"
)

type overloadCommand struct {
	Name      string        `help:"Name to print with the results." default:"mimosatide"`
	Duration  time.Duration `help:"How long the overload lasts." default:"15s"`
	Configure bool          `help:"Put the deployment's configuration in force first." negatable:"" default:"true"`
}

// Run sends the overload and prints one line for each account.
func (command *overloadCommand) Run(ctx context.Context, fleet load.Fleet) error {
	deployment := load.OverloadDeployment()
	if err := prepare(ctx, fleet, deployment, command.Configure, 4*time.Second); err != nil {
		return errors.Trace(err)
	}
	overload := load.Overload{
		Deployment: deployment, Duration: command.Duration, Tokens: 20,
		PerSecond: map[string]float64{"flooding": 280, "schools": 20, "reviews": 20},
	}
	return overload.Run(ctx, fleet, command.Name, os.Stdout)
}
