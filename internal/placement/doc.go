// Package placement decides which engine loads which model, and takes models
// away again.
//
// The truth is in the table: one transaction writes a decision, the memory
// that it reserves at the engine and its slot of the weight store's budget, so
// that two nodes which decide at once conflict instead of loading twice. The
// home of a model, chosen from the live members, only saves work.
//
// Decide is a plain function from a Situation to a Decision. The Keeper around
// it reads and writes the rows and sends the orders.
//
// # Usage
//
//	decision := placement.Decide(situation)
//	if decision.Kind != placement.Nothing {
//		outcome := table.Commit(ctx, decision.Transaction)
//	}
package placement
