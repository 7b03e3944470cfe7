// Package loading decides which engine loads which model and adapter, and sends
// the orders. An engine is a target that loads language models.
//
// The engines of a service take orders from one node at a time: the holder of a
// Lease, whose table row carries a fencing token called the term. Every node runs
// a Controller per service with engines, which sends orders only while the node
// holds the lease. Plan is a pure function from demand and the models that the
// engines hold to the next steps. A worker per engine carries out the steps one
// after the other.
//
// # Usage
//
//	lease := loading.NewLease(loading.LeaseSettings{Key: "orders/llm", ...}, table, clock, answeredAt, log)
//	controller := loading.New(loading.Settings{...}, lease, engines, targets, class, publish, log)
//	go lease.Run(ctx, rank)
//	go controller.Run(ctx)
//	controller.AddNeed(loading.Need{Service: "llm", Model: "translate"}, true, time.Now())
package loading
