// Package dispatch queues requests, sends them to targets, and retries or refuses
// them.
//
// Service runs the requests and owns the lock and the clock. Chooser picks the
// target, RetryBudget limits retries and CrashTracker finds the requests that
// crash their targets; these hold plain state and are called under the lock.
//
// # Usage
//
//	service := dispatch.New(dispatch.Settings{Zone: "a", MaxQueued: 20000}, dependencies)
//	go service.Run(ctx)
//	result := service.RunModel(ctx, request, onEvent)
//	if result.Refusal.Refused() {
//		// the request was not served
//	}
package dispatch
