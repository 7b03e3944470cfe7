// Package ingress serves HTTP requests on connections that callers keep open, bounds what callers
// that aren't trusted can hold, and stops without cutting any request. Unlike http.Server.Shutdown,
// a stop still answers the requests that come on connections which were opened before.
//
// The number of connections is bounded; a Roster decides which one is closed for a new one. A
// sweep several times a second closes the connections whose callers don't go on: with a header,
// with a body, or with reading a response. The memory of headers counts against the budget of the
// requests. A request whose header leaves in doubt where its body ends is refused, since a part of the body could be
// taken for another request. Each connection that is closed for such a reason is counted under its Cause.
//
// # Usage
//
//	server := ingress.New(ingress.Settings{...}, handler, meter, log)
//	go server.Serve(listener)
//	server.CloseIdle()
//	err := server.Finish(ctx)
package ingress
