// Package caller serves callers by the published completions protocol and
// passes calls on to plain services.
//
// Its handlers parse requests and write answers; the dispatch service decides
// everything between the two.
//
// # Usage
//
//	server := caller.New(settings, parts)
//	server.Register(engine)
package caller
