package main

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/load"
)

type burstCommand struct {
	Name       string        `help:"Name to print with the results." default:"mimosatide"`
	Deployment string        `help:"Deployment to configure: association or cinturon." enum:"association,cinturon" default:"association"`
	Rounds     int           `help:"Number of bursts." default:"2"`
	Pause      time.Duration `help:"Time between two bursts, in which idle models are unloaded." default:"20s"`
	Configure  bool          `help:"Put the deployment's configuration in force first." negatable:"" default:"true"`
}

// Run sends the bursts and prints one line for each.
func (command *burstCommand) Run(ctx context.Context, fleet load.Fleet) error {
	deployment, _ := load.FindDeployment(command.Deployment)
	if err := prepare(ctx, fleet, deployment, command.Configure, time.Minute); err != nil {
		return errors.Trace(err)
	}
	burst := load.Burst{Deployment: deployment, Rounds: command.Rounds, Pause: command.Pause, Tokens: 8}
	results, err := burst.Run(ctx, fleet)
	if err != nil {
		return errors.Trace(err)
	}
	for _, result := range results {
		result.Print(os.Stdout, command.Name)
	}
	return nil
}

// prepare waits until the fleet is ready and puts the deployment's configuration in force if asked to.
func prepare(ctx context.Context, fleet load.Fleet, deployment load.Deployment, configure bool, waitLimit time.Duration) error {
	if err := fleet.WaitReady(ctx); err != nil {
		return errors.Trace(err)
	}
	if !configure {
		return nil
	}
	return load.DefaultMix(deployment).Configure(ctx, fleet, 2*time.Second, waitLimit)
}
