// Package operator serves the operators' HTTP API: reading and patching the
// configuration, its history, the state of the fleet and recorded decisions.
//
// # Usage
//
//	server := operator.New(key, store, proposer, explainer, reporter, newID)
//	server.Register(engine)
package operator
