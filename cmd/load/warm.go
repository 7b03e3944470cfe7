package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/load"
)

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
