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

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/experiment"
	"mimosatide.example/mimosatide/internal/load"
)

type commandLine struct {
	Nodes       int    `help:"Number of nodes that scripts/cluster.sh has started." default:"3"`
	OperatorKey string `help:"Operators' key." env:"MIMOSATIDE_OPERATOR_KEY"`

	Demo     demoCommand     `cmd:"" help:"Send one request of each kind and check the answers."`
	Limits   limitsCommand   `cmd:"" help:"Compare the limits with one home node and with a static split, in virtual time."`
	Idle     idleCommand     `cmd:"" help:"Watch what an idle fleet uses."`
	Slopes   slopesCommand   `cmd:"" help:"Measure what each role costs a node, by the size of the fleet."`
	Warm     warmCommand     `cmd:"" help:"Compare warm requests through one node with direct calls of the engine."`
	Baseline baselineCommand `cmd:"" help:"Play the simple routers that the product is compared with, at the nodes' addresses."`
	Burst    burstCommand    `cmd:"" help:"Send the first requests for every model at every node at once."`
	Overload overloadCommand `cmd:"" help:"Send twice what a model's engine can do, most of it from one account."`
	Mix      mixCommand      `cmd:"" help:"Send a seeded mix of requests and check that no promise is broken."`
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

type baselineCommand struct {
	Engines     int           `help:"Engines behind the platform's port." default:"9"`
	Idle        time.Duration `help:"Idle time until a model is unloaded." default:"10s"`
	Coordinated bool          `help:"Let one router serve all nodes' callers, with one view of what is loaded."`
}

// Run plays the routers that the product is compared with.
func (command *baselineCommand) Run(ctx context.Context, fleet load.Fleet) error {
	var engines []mimosatide.TargetSpec
	for index := range command.Engines {
		engines = append(engines, mimosatide.TargetSpec{Address: fmt.Sprintf("127.0.0.1:%d", 7001+index)})
	}
	groups := [][]string{}
	for _, address := range fleet.Callers {
		groups = append(groups, []string{address})
	}
	if command.Coordinated {
		groups = [][]string{fleet.Callers}
	}
	ended := make(chan error, len(groups))
	for index, addresses := range groups {
		router, err := experiment.NewBaseline(fmt.Sprint("router-", index), engines, 20<<30, command.Idle)
		if err != nil {
			return errors.Trace(err)
		}
		go func() { ended <- router.Serve(ctx, addresses...) }()
	}
	return <-ended
}

type burstCommand struct {
	Name       string        `help:"Name to print." default:"mimosatide"`
	Deployment string        `help:"Which deployment: association or cinturon." enum:"association,cinturon" default:"association"`
	Rounds     int           `help:"Number of bursts." default:"2"`
	Pause      time.Duration `help:"Time between two bursts." default:"20s"`
	Configure  bool          `help:"Put the deployment's configuration in force first." negatable:"" default:"true"`
}

// Run sends the bursts.
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

func prepare(ctx context.Context, fleet load.Fleet, deployment load.Deployment, configure bool, waitLimit time.Duration) error {
	if err := fleet.WaitReady(ctx); err != nil {
		return errors.Trace(err)
	}
	if !configure {
		return nil
	}
	return load.DefaultMix(deployment).Configure(ctx, fleet, 2*time.Second, waitLimit)
}

type overloadCommand struct {
	Name      string        `help:"Name to print." default:"mimosatide"`
	Duration  time.Duration `help:"How long the overload lasts." default:"15s"`
	Configure bool          `help:"Put the configuration in force first." negatable:"" default:"true"`
}

// Run sends the overload.
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

// warmConcurrency keeps the queue out of the measurement of overhead.
const warmConcurrency = 4096

type warmCommand struct {
	PerSecond float64       `help:"Requests a second." default:"2000"`
	Phase     time.Duration `help:"Length of each phase." default:"4s"`
	Phases    int           `help:"Phases of each way." default:"3"`
	Tokens    int           `help:"Tokens of each request." default:"1"`
	NodePIDs  string        `help:"Process ids of the nodes." env:"MIMOSATIDE_NODE_PIDS"`
}

// Run compares warm requests through a node with direct calls.
func (command *warmCommand) Run(ctx context.Context, fleet load.Fleet) error {
	deployment := load.OverloadDeployment()
	deployment.Concurrency = warmConcurrency
	for index := range deployment.Accounts {
		deployment.Accounts[index].Rate = 1e8
	}
	if err := prepare(ctx, fleet, deployment, true, 10*time.Second); err != nil {
		return errors.Trace(err)
	}
	var pid int
	_, _ = fmt.Sscan(command.NodePIDs, &pid)
	warm := load.Warm{PerSecond: command.PerSecond, Phase: command.Phase, Phases: command.Phases, NodePID: pid, Tokens: command.Tokens}
	return warm.Run(ctx, fleet, deployment, os.Stdout)
}

type slopesCommand struct{}

// Run prints the slopes.
func (command *slopesCommand) Run() error {
	return experiment.PrintSlopes(os.Stdout)
}

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
	NodePIDs   string        `help:"Process ids of the nodes." env:"MIMOSATIDE_NODE_PIDS"`
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
