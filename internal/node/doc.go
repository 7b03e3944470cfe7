// Package node builds a fleet node from its components and runs it.
//
// # Usage
//
//	node, err := node.New(settings, log)
//	err = node.Run(ctx) // returns after ctx has ended and the node has drained
package node
