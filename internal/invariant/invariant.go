// Package invariant panics when an internal invariant of the program does not hold.
//
// It is meant for programming errors only. Conditions that can occur in normal
// operation are returned as values.
//
// # Usage
//
//	invariant.Check(balance <= ceiling, "balance %f above ceiling %f", balance, ceiling)
package invariant

import "fmt"

// Violation is the panic value of a failed check.
type Violation struct {
	Message string
}

// Error implements error.
func (violation Violation) Error() string {
	return "broken invariant: " + violation.Message
}

// Check panics with a Violation value if holds is false. format and args describe
// the violation as in fmt.Sprintf.
func Check(holds bool, format string, args ...any) {
	if holds {
		return
	}
	panic(Violation{Message: fmt.Sprintf(format, args...)})
}
