package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/load"
)

// warmConcurrency is high enough that requests don't queue, so that the measured
// overhead excludes time in the queue.
const warmConcurrency = 4096

type warmCommand struct {
	PerSecond float64       `help:"Number of requests per second." default:"2000"`
	Phase     time.Duration `help:"Length of each phase." default:"4s"`
	Phases    int           `help:"Number of phases of each kind, direct and routed." default:"3"`
	Tokens    int           `help:"Number of tokens that each request asks for." default:"1"`
	NodePIDs  string        `help:"Process ids of the nodes, separated by spaces; the first one is measured." env:"MIMOSATIDE_NODE_PIDS"`
}

// Run sends requests for a loaded model through the first node and directly, and prints the overhead.
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
