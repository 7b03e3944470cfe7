// Package mimosatide defines the domain values and the interfaces of a serving
// system for rarely used language models.
//
// The package holds no behaviour of its own beyond small helpers on its values.
// Implementations live in the packages below internal/, and each of them is
// built with New and the dependencies it names.
//
// # Usage
//
// A decision core takes the present reading of a clock and returns effects as
// values, so that it runs under real sockets and under a test driver alike:
//
//	core := fleet.New(fleet.Settings{Self: member, Term: 10 * time.Minute})
//	effects := core.Step(clock.Now(), fleet.Tick{})
//
// The platform's services are reached through the interfaces Table,
// ObjectStore and HostList, the model engines and plain services through
// Target:
//
//	row, found, err := table.Read(ctx, "configuration/head")
//	outcome := table.Commit(ctx, mimosatide.Transaction{Writes: writes})
//
// Values are immutable by convention: a changed copy comes from a With method.
package mimosatide

import "time"

// Clock reads a monotonic clock; readings of two hosts can't be compared.
type Clock interface {
	// Now returns the time since an arbitrary fixed moment.
	Now() time.Duration
}

// Version is the number of an accepted configuration; it only grows.
type Version uint64

// FencingNumber orders the decisions about one target; it only grows.
type FencingNumber uint64

// MonotonicClock is the Clock of the running process.
type MonotonicClock struct {
	start time.Time
}

// NewMonotonicClock returns a clock that starts at zero.
func NewMonotonicClock() MonotonicClock {
	return MonotonicClock{start: time.Now()}
}

// Now returns the time since the clock was made.
func (clock MonotonicClock) Now() time.Duration {
	return time.Since(clock.start)
}
