// Command mimosatide serves rarely used language models, and is the operators' tool.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide/pkg/client"
)

// The exit codes of the operators' commands.
const (
	exitFailed  = 1
	exitRefused = 2
	exitStale   = 3
)

type commandLine struct {
	Serve   serveCommand   `cmd:"" help:"Run a node."`
	Entry   entryCommand   `cmd:"" help:"Run an entry node on the users' platform."`
	Config  configCommand  `cmd:"" help:"Show and patch the configuration."`
	Key     keyCommand     `cmd:"" help:"Grant and withdraw callers' keys."`
	Account accountCommand `cmd:"" help:"Show and change client accounts."`
	Model   modelCommand   `cmd:"" help:"Show models, their placements and adapters."`
	Status  statusCommand  `cmd:"" help:"Show members, shares, targets, placements and accounts."`
	Explain explainCommand `cmd:"" help:"Show what was decided about a request, a placement or a patch, and why."`
}

func main() {
	var line commandLine
	context := kong.Parse(&line,
		kong.Name("mimosatide"),
		kong.Description("Serves language models that are rarely used.\n\n"+
			"Exit codes: 0 done, 1 failed, 2 refused, 3 the configuration has another version by now."),
		kong.UsageOnError(),
	)
	if err := context.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "mimosatide: "+err.Error())
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var refusal *client.Error
	switch {
	case !errors.As(err, &refusal):
		return exitFailed
	case refusal.Kind == "Stale":
		return exitStale
	default:
		return exitRefused
	}
}
