// Package standin simulates the environment of a fleet in one process: the
// platform's table service, object store and host list, the weight store, model
// engines and plain services. Faults are injected over HTTP: POST /faults takes a
// Fault, GET /truth returns what the targets and the table have recorded.
//
// It serves the demo and tests on real processes. It uses net/http because
// it must abort and silence single connections.
//
// # Usage
//
//	environment := standin.New(standin.DefaultSettings())
//	err := environment.Run(ctx)
package standin
