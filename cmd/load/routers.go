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
	Engines     int           `help:"Engines behind the platform's port." default:"9"`
	Idle        time.Duration `help:"Idle time until a model is unloaded." default:"10s"`
	Coordinated bool          `help:"Let one router serve all nodes' callers, with one view of what is loaded."`
}

// Run plays the routers that the product is compared with.
func (command *routersCommand) Run(ctx context.Context, fleet load.Fleet) error {
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
		router, err := experiment.NewSimpleRouter(fmt.Sprint("router-", index), engines, 20<<30, command.Idle)
		if err != nil {
			return errors.Trace(err)
		}
		go func() { ended <- router.Serve(ctx, addresses...) }()
	}
	return <-ended
}
