// Package dispatch decides where a request runs, whether it may be tried
// again, and which requests are suspected of crashing their targets.
//
// Its types are plain state; the service that runs requests owns the clock and
// the sockets.
//
// # Usage
//
//	chosen, found := chooser.Choose(candidates, exclude)
//	if budget.Spend(now) {
//		// the request may be tried again
//	}
//	if suspects.Crashes(now, digest) >= dispatch.MaxCrashes {
//		// refused as PoisonRequest
//	}
package dispatch
