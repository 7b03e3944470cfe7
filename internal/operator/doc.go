// Package operator serves the operators' API: the configuration and its
// patches, the state of the fleet, and the reasons behind decisions.
//
// # Usage
//
//	server := operator.New(key, parts)
//	server.Register(engine)
package operator
