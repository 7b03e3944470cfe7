// Package standin plays the outside of the system in one process: the
// platform's table service, object store and host list, the weight store, model
// engines and plain services. Faults are switched over HTTP.
//
// It is scaffolding for the demo and for tests on real processes. It uses
// net/http because it must cut and silence single connections.
//
// # Usage
//
//	world := standin.New(standin.DefaultSettings())
//	err := world.Run(ctx)
package standin
