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
	// 320 requests per second are twice what one engine of the stand-in serves by default:
	// it runs 16 requests at once, and each of them takes 100 ms for 20 tokens of 5 ms.
	overload := load.Overload{
		Deployment: deployment, Duration: command.Duration, Tokens: 20,
		PerSecond: map[string]float64{"flooding": 280, "schools": 20, "reviews": 20},
	}
	return overload.Run(ctx, fleet, command.Name, os.Stdout)
}
