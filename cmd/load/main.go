// Command load sends requests to a running fleet and judges what it gets.
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
	Limits   limitsCommand   `cmd:"" help:"Compare the limits with one home node and with a static split, in virtual time."`
	Idle     idleCommand     `cmd:"" help:"Watch what an idle fleet uses."`
	Slopes   slopesCommand   `cmd:"" help:"Measure what each role costs a node, by the size of the fleet."`
	Warm     warmCommand     `cmd:"" help:"Compare warm requests through one node with direct calls of the engine."`
	Routers  routersCommand  `cmd:"" help:"Play the simple routers that the product is compared with, at the nodes' addresses."`
	Burst    burstCommand    `cmd:"" help:"Send the first requests for every model at every node at once."`
	Overload overloadCommand `cmd:"" help:"Send twice what a model's engine can do, most of it from one account."`
	Mix      mixCommand      `cmd:"" help:"Send a seeded mix of requests and check that no promise is broken."`
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
