package placement_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives rapid a fixed seed and few checks, unless flags say otherwise.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
