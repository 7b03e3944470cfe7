// Package placement decides which engine loads which model, and when a model is unloaded.
//
// The authoritative state is in the table: one transaction writes a decision,
// the memory that it reserves at the engine and its slot of the weight store's
// budget, so that two nodes that decide at the same time conflict instead of
// loading twice. Each model has a home node, chosen from the live members, that
// decides about it; this saves work, and correctness does not depend on it.
//
// Orders to engines may arrive late. The memory of an unloaded placement is
// released only when no load order for it can still take effect: the engine
// checks fencing tokens, or the placement is quiesced, which means that no
// process can have a load order for it in flight.
//
// Decide is a pure function from a Situation to a Decision. The Controller reads
// and writes the rows, sends the orders and talks to the other nodes.
//
// # Usage
//
//	decision, err := placement.Decide(situation)
//	if err == nil && decision.Writes() {
//		outcome := table.Commit(ctx, decision.Transaction)
//	}
package placement
