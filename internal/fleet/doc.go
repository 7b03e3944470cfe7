// Package fleet lets the nodes act as one without a service of their own that
// keeps state.
//
// Its Core knows the newest head of the configuration log, judges whether that
// knowledge is fresh, carries patches from proposal to acceptance, and holds
// this node's lease and its shares of every account's rate. All of it is a
// plain step from an event to effects: the shell around it owns the sockets,
// the table service and the clock.
//
// The head is one row of the table. A peer never decides anything; it states
// the newest head that it knows, which the row's version orders.
//
// # Usage
//
//	core := fleet.New(fleet.DefaultSettings(self, nonce))
//	for _, effect := range core.Step(clock.Now(), fleet.Tick{}) {
//		shell.run(effect)
//	}
//	if core.Fresh(clock.Now()) {
//		// work may be admitted
//	}
package fleet
