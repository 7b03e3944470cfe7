// Package ingress serves HTTP requests on connections that callers keep open, and stops without
// cutting any of them. Unlike http.Server.Shutdown, a stop still answers the requests that come on
// connections which were opened before.
//
// # Usage
//
//	server := ingress.New(ingress.Settings{...}, handler)
//	go server.Serve(listener)
//	server.CloseIdle()
//	err := server.Finish(ctx)
package ingress
