// Package loading decides which engine holds which model and adapter, and gives
// the orders.
//
// The orders to the engines of a service belong to one node at a time, the
// holder of a leased row with a fencing number. Plan is a plain function from
// what is asked for and what is held to the next steps; a Worker for each engine
// carries them out one after the other.
//
// # Usage
//
//	owner := loading.New(loading.Settings{...}, engines, targets, publish, log)
//	go owner.Run(ctx)
//	owner.Need(loading.Need{Model: "translate"}, time.Now())
package loading
