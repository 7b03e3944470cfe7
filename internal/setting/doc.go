// Package setting holds a node's settings, one section to a file, with their
// defaults, environment variables and checks.
//
// # Usage
//
//	var serve setting.Serve // filled from flags and environment variables
//	faults := serve.Check()
package setting
