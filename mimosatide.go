// Package mimosatide defines the domain values and the interfaces of a serving
// system for rarely used language models.
//
// The package holds no behaviour of its own beyond small helpers on its values.
// Implementations live in the packages below internal/, and each of them is
// built with New and the dependencies it names.
//
// Two kinds of process share these types. A node of the fleet serves the models and
// routes that its operators configure: Model, Route, TargetSpec, Order, Report and
// Call are its types. An entry node serves the services of the users' platform:
// Deployment, PathRoute, Service, Instance, ModelOrder, InstanceReport and
// CallerRequest are its types.
//
// # Usage
//
// A decision core takes the current time as an argument and returns its effects as
// values, so that the same code runs over real sockets and in a test driver:
//
//	core := fleet.New(fleet.DefaultSettings(member, nonce))
//	effects := core.Step(clock.Now(), fleet.Tick{})
//
// The interfaces Table, ObjectStore and HostList give a node of the fleet access to the
// platform's services, the interface Target to model engines and plain services. An
// entry node reads the platform's tables through a RowFeed.
//
//	rows, err := table.Read(ctx, "configuration/head")
//	outcome := table.Commit(ctx, mimosatide.Transaction{Writes: writes})
//
// Values are immutable by convention: With methods return modified copies.
package mimosatide

import "time"

// Clock is a monotonic clock. The readings of two clocks cannot be compared.
type Clock interface {
	// Now returns the time since an arbitrary but fixed point.
	Now() time.Duration
}

// Version is the version of an accepted configuration. It only grows.
type Version uint64

// FencingToken numbers the decisions about one target; in an entry node it is the term
// of the lease that allows orders to the targets of a service. It only grows: an order
// with a lower one than its target has seen is stale.
type FencingToken uint64

// MonotonicClock is the Clock of the running process.
type MonotonicClock struct {
	start time.Time
}

// NewMonotonicClock returns a clock that starts at zero now.
func NewMonotonicClock() MonotonicClock {
	return MonotonicClock{start: time.Now()}
}

// Now returns the time since the clock was created.
func (clock MonotonicClock) Now() time.Duration {
	return time.Since(clock.start)
}
