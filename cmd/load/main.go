// Command load sends requests to a running fleet and judges what it gets.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/load"
)

type commandLine struct {
	Nodes       int    `help:"Number of nodes that scripts/cluster.sh has started." default:"3"`
	OperatorKey string `help:"Operators' key." env:"MIMOSATIDE_OPERATOR_KEY"`

	Demo demoCommand `cmd:"" help:"Send one request of each kind and check the answers."`
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

func main() {
	hlog.SetLevel(hlog.LevelFatal)
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("load"), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run(load.LocalFleet(line.Nodes, line.OperatorKey)))
}
