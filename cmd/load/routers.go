package main

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/experiment"
	"mimosatide.example/mimosatide/internal/load"
)

type routersCommand struct {
	Engines     int           `help:"Number of engines; they listen on the ports from 7001 on." default:"9"`
	Idle        time.Duration `help:"Idle time until a model is unloaded." default:"10s"`
	Coordinated bool          `help:"Run one router for the callers of all nodes, instead of one router each, so that it knows every loaded model."`
}

// Run serves callers with simple routers until the context ends or one of them fails.
func (command *routersCommand) Run(ctx context.Context, fleet load.Fleet) error {
	var engines []mimosatide.TargetSpec
	for index := range command.Engines {
		engines = append(engines, mimosatide.TargetSpec{Address: fmt.Sprintf("127.0.0.1:%d", 7001+index)})
	}
	addressGroups := [][]string{}
	for _, address := range fleet.Callers {
		addressGroups = append(addressGroups, []string{address})
	}
	if command.Coordinated {
		addressGroups = [][]string{fleet.Callers}
	}
	ended := make(chan error, len(addressGroups))
	for index, addresses := range addressGroups {
		router, err := experiment.NewSimpleRouter(fmt.Sprint("router-", index), engines, 20<<30, command.Idle)
		if err != nil {
			return errors.Trace(err)
		}
		go func() { ended <- router.Serve(ctx, addresses...) }()
	}
	return <-ended
}
