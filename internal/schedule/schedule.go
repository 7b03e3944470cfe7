// Package schedule lets tests with random schedules give the same verdict every run.
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

// fixedSeed is the seed of all runs that name none.
const fixedSeed = "1"

// Run runs a package's tests with a fixed seed and number of schedules, unless flags say otherwise.
func Run(m *testing.M, checks int) int {
	defaults := map[string]string{
		"rapid.seed":       fixedSeed,
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
