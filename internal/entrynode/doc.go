// Package entrynode assembles an entry node on the users' platform.
//
// A Node follows the tables of the platform's store, exchanges digests with its
// peers, serves callers' requests and, for the services whose lease it holds,
// orders the loading of models on engines. When its context is cancelled, it
// drains before Run returns.
//
// # Usage
//
//	node, err := entrynode.New(settings, "9464", log)
//	err = node.Run(ctx)
package entrynode
