// Command mimosatide runs the nodes of a serving system for rarely used language
// models and is its operators' command-line tool.
//
// # Usage
//
//	mimosatide serve --zone a --host host-1 --peer-secret SECRET --operator-key KEY
//	MIMOSATIDE_NODE_FILE=node.conf mimosatide entry
//	mimosatide status --node 127.0.0.1:8081 --operator-key KEY
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
	exitFailed = 1
	// exitRefused means that the node answered with an error.
	exitRefused = 2
	// exitStale means that a patch was based on an outdated configuration version.
	exitStale = 3
)

type commandLine struct {
	Serve        serveCommand        `cmd:"" help:"Run a node of the fleet."`
	Entry        entryCommand        `cmd:"" help:"Run an entry node on the users' platform."`
	Config       configCommand       `cmd:"" help:"Show and change the configuration."`
	Key          keyCommand          `cmd:"" help:"Grant and withdraw callers' keys."`
	Account      accountCommand      `cmd:"" help:"Show and change client accounts."`
	Model        modelCommand        `cmd:"" help:"Show models, their adapters and placements."`
	Status       statusCommand       `cmd:"" help:"Show the members, shares, targets, placements and accounts that a node knows."`
	ExplainRoute explainRouteCommand `cmd:"" help:"Show where a request to an entry node would go now, and why, without sending it."`
	Evacuations  evacuationsCommand  `cmd:"" help:"Show the evacuated zones and the cold targets that an entry node knows."`
	Explain      explainCommand      `cmd:"" help:"Show the decisions about a request, a placement or a patch and their reasons."`
}

func main() {
	var options commandLine
	command := kong.Parse(&options,
		kong.Name("mimosatide"),
		kong.Description("Serves rarely used language models.\n\n"+
			"Exit codes: 0 done, 1 failed, 2 refused, 3 the patch is based on an outdated version."),
		kong.UsageOnError(),
	)
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "mimosatide: "+err.Error())
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var apiError *client.Error
	switch {
	case !errors.As(err, &apiError):
		return exitFailed
	case apiError.Kind == "Stale":
		return exitStale
	default:
		return exitRefused
	}
}
