// Package caller serves the callers' HTTP API: the completions protocol for
// models and the routes to plain services.
//
// The handlers validate and authenticate requests and write the answers. The
// Dispatcher queues the requests and sends them to targets.
//
// # Usage
//
//	settings := caller.Settings{MaxBody: 4 << 20, MaxHeader: 16 << 10}
//	server := caller.New(settings, clock, store, dispatcher, meter, newID)
//	server.Register(engine)
package caller
