// Package target is the HTTP client for model engines and plain services.
//
// Only headers on an allow list are forwarded, so that no key or cookie of a
// caller reaches a target. Every call carries the request's id, and an answer that
// names another id is discarded. On a kept connection, so is one that names none. A target
// that names none is sent each call over a new connection.
//
// # Usage
//
//	client, err := target.New(target.DefaultSettings())
//	answer := client.Run(ctx, spec, call, onEvent)
//	if answer.Failure == mimosatide.CallNotSent {
//		// no byte reached the target, so the call may be retried at another one
//	}
package target
