// Package node puts the parts of a node together and runs them.
//
// # Usage
//
//	node, err := node.New(settings, log)
//	err = node.Run(ctx) // returns once ctx has ended and the node has drained
package node
