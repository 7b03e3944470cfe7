package main

import (
	"fmt"

	"mimosatide.example/mimosatide/internal/experiment"
)

type limitsCommand struct{}

// Run prints one line for each load and limiter.
func (command *limitsCommand) Run() error {
	for _, run := range experiment.DefaultLimitRuns() {
		for _, result := range experiment.CompareLimits(run) {
			fmt.Println(result)
		}
	}
	return nil
}
