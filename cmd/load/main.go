// Command load sends requests to a running fleet and judges what it gets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/experiment"
	"mimosatide.example/mimosatide/internal/load"
)

type commandLine struct {
	Nodes       int    `help:"Number of nodes that scripts/cluster.sh has started." default:"3"`
	OperatorKey string `help:"Operators' key." env:"MIMOSATIDE_OPERATOR_KEY"`

	Demo   demoCommand   `cmd:"" help:"Send one request of each kind and check the answers."`
	Limits limitsCommand `cmd:"" help:"Compare the limits with one home node and with a static split, in virtual time."`
	Mix    mixCommand    `cmd:"" help:"Send a seeded mix of requests and check that no promise is broken."`
}

type demoCommand struct {
	Document string `help:"File with the demo's configuration." default:"deploy/demo.json"`
}

// Run runs the demo.
func (command *demoCommand) Run(ctx context.Context, fleet load.Fleet) error {
	document, err := os.ReadFile(command.Document)
	if err != nil {
		return errors.Trace(err)
	}
	return load.RunDemo(ctx, fleet, document, os.Stdout)
}

type limitsCommand struct{}

// Run prints the comparison.
func (command *limitsCommand) Run() error {
	for _, run := range experiment.DefaultLimitRuns() {
		for _, result := range experiment.CompareLimits(run) {
			fmt.Println(result)
		}
	}
	return nil
}

type mixCommand struct {
	Deployment string        `help:"Which deployment: association or cinturon." enum:"association,cinturon" default:"association"`
	Seed       uint64        `help:"Seed of the mix." default:"1"`
	Duration   time.Duration `help:"How long requests arrive." default:"60s"`
	PerSecond  float64       `help:"Requests a second." default:"60"`
	LoadTime   time.Duration `help:"Load time that the configuration states." default:"2s"`
	WaitLimit  time.Duration `help:"Wait limit of every model and route." default:"30s"`
}

// Run sends the mix.
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
	report, err := mix.Run(ctx, fleet)
	if err != nil {
		return errors.Trace(err)
	}
	if err := report.Print(os.Stdout); err != nil {
		return errors.Trace(err)
	}
	broken, err := report.Check(ctx, fleet)
	if err != nil {
		return errors.Trace(err)
	}
	if len(broken) > 0 {
		return errors.Errorf("broken promises: %v", broken)
	}
	return nil
}

func main() {
	hlog.SetLevel(hlog.LevelFatal)
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("load"), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run(load.LocalFleet(line.Nodes, line.OperatorKey)))
}
