package main

import (
	"os"

	"mimosatide.example/mimosatide/internal/experiment"
)

type slopesCommand struct{}

// Run prints the tables of costs.
func (command *slopesCommand) Run() error {
	return experiment.PrintSlopes(os.Stdout)
}
