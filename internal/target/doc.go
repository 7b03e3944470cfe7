// Package target reaches the model engines and plain services over HTTP.
//
// Headers towards a target are an allow list, so that no key or cookie of a
// caller can pass. Every call carries the request's id, and an answer that
// names another one is discarded.
//
// # Usage
//
//	client, err := target.New(target.DefaultSettings())
//	answer := client.Run(ctx, spec, call, onEvent)
//	if answer.Failure == mimosatide.CallNotSent {
//		// no byte reached the target: another one may be tried
//	}
package target
