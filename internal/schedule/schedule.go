// Package schedule runs property-based tests with a fixed seed, so that every run
// of a package gives the same result.
//
// # Usage
//
//	func TestMain(m *testing.M) {
//		os.Exit(schedule.Run(m, 25))
//	}
package schedule

import (
	"flag"
	"strconv"
	"testing"
)

const defaultSeed = "1"

// Run runs a package's tests and returns the exit code. It sets rapid's default
// seed and number of checks; flags on the command line override both.
func Run(m *testing.M, checks int) int {
	defaults := map[string]string{
		"rapid.seed":       defaultSeed,
		"rapid.checks":     strconv.Itoa(checks),
		"rapid.nofailfile": "true",
	}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	return m.Run()
}
