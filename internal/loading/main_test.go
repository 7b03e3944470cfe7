package loading_test

import (
	"os"
	"testing"
)

// answersNameNewest is whether the answer to a write names the newest version of the store, and
// not that of the written row.
var answersNameNewest bool

// TestMain runs all tests with both kinds of answers.
func TestMain(m *testing.M) {
	for _, answersNameNewest = range []bool{false, true} {
		if code := m.Run(); code != 0 {
			os.Exit(code)
		}
	}
}
