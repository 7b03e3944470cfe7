// Command load generates load against a running fleet, checks the answers and
// runs the experiments. scripts/cluster.sh starts the fleet and the stand-in:
//
//	scripts/cluster.sh 3 -- bin/load --nodes 3 demo
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
	"github.com/cloudwego/hertz/pkg/common/hlog"

	"mimosatide.example/mimosatide/internal/load"
)

type commandLine struct {
	Nodes       int    `help:"Number of nodes that scripts/cluster.sh has started." default:"3"`
	OperatorKey string `help:"Operators' key." env:"MIMOSATIDE_OPERATOR_KEY"`

	Demo     demoCommand     `cmd:"" help:"Send one request of each kind and check the answers."`
	Limits   limitsCommand   `cmd:"" help:"Compare the account limits with a limiter at one home node and with a static split, in virtual time."`
	Idle     idleCommand     `cmd:"" help:"Measure the table accesses, CPU time and memory of an idle fleet."`
	Slopes   slopesCommand   `cmd:"" help:"Measure what each role in the fleet costs a node, by the size of the fleet."`
	Warm     warmCommand     `cmd:"" help:"Compare requests for a loaded model through one node with requests sent directly to the engine."`
	Routers  routersCommand  `cmd:"" help:"Run simple routers, the baseline of the comparisons, at the nodes' addresses."`
	Burst    burstCommand    `cmd:"" help:"Send one request for every model to every node at once, to measure cold starts."`
	Overload overloadCommand `cmd:"" help:"Send twice the load that a model's engine can serve, most of it from one account."`
	Mix      mixCommand      `cmd:"" help:"Send a random mix of requests and check that no promise is broken."`
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
