// Package invariant stops the process when a promise of the program is broken.
//
// Outcomes that can happen in operation are values and never come here.
//
// # Usage
//
//	invariant.Check(balance <= ceiling, "balance %f above ceiling %f", balance, ceiling)
package invariant

import "fmt"

// Broken is the value with which a broken invariant panics.
type Broken struct {
	Message string
}

// Error returns the message of the broken invariant.
func (broken Broken) Error() string {
	return "broken invariant: " + broken.Message
}

// Check panics with Broken when the condition does not hold.
func Check(holds bool, format string, args ...any) {
	if holds {
		return
	}
	panic(Broken{Message: fmt.Sprintf(format, args...)})
}
