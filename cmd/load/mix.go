package main

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/load"
)

type mixCommand struct {
	Deployment string        `help:"Deployment to configure: association or cinturon." enum:"association,cinturon" default:"association"`
	Seed       uint64        `help:"Seed of the mix." default:"1"`
	Duration   time.Duration `help:"Time during which requests are sent." default:"60s"`
	PerSecond  float64       `help:"Mean number of requests per second." default:"60"`
	LoadTime   time.Duration `help:"Load time of every model in the configuration." default:"2s"`
	WaitLimit  time.Duration `help:"Wait limit of every model and route." default:"30s"`
	NodePIDs   string        `help:"Process ids of the nodes, separated by spaces." env:"MIMOSATIDE_NODE_PIDS"`
}

// Run sends the mix, prints the report and returns an error if a promise was broken.
func (command *mixCommand) Run(ctx context.Context, fleet load.Fleet) error {
	deployment, found := load.FindDeployment(command.Deployment)
	if !found {
		return errors.NotFoundf("deployment %q", command.Deployment)
	}
	mix := load.DefaultMix(deployment)
	mix.Seed, mix.Duration, mix.PerSecond = command.Seed, command.Duration, command.PerSecond
	if err := fleet.WaitReady(ctx); err != nil {
		return errors.Trace(err)
	}
	if err := mix.Configure(ctx, fleet, command.LoadTime, command.WaitLimit); err != nil {
		return errors.Trace(err)
	}
	usage, err := fleet.StartUsage(ctx, command.NodePIDs)
	if err != nil {
		return errors.Trace(err)
	}
	report, err := mix.Run(ctx, fleet)
	if err != nil {
		return errors.Trace(err)
	}
	if err := usage.Print(ctx, fleet, os.Stdout); err != nil {
		return errors.Trace(err)
	}
	if err := report.Print(os.Stdout); err != nil {
		return errors.Trace(err)
	}
	violations, err := report.Check(ctx, fleet)
	if err != nil {
		return errors.Trace(err)
	}
	if len(violations) > 0 {
		return errors.Errorf("broken promises: %v", violations)
	}
	return nil
}
