// Package entrynode puts the parts of an entry node on the users' platform
// together: it follows the store, talks with its peers, answers callers and
// orders engines, and it starts and drains in good order.
//
// # Usage
//
//	node, err := entrynode.New(settings, "9464", log)
//	err = node.Run(ctx)
package entrynode
