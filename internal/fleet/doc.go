// Package fleet coordinates the nodes through the platform's table, without a
// stateful service of its own.
//
// Core tracks the newest head of the configuration log, judges whether that
// knowledge is fresh enough to admit work, carries patches from proposal to
// acceptance, and holds this node's lease and its shares of every account's
// rate. Step takes one event and returns effects; the caller of Step owns the
// sockets, the table client and the clock.
//
// The head is one row of the table, and the row's version orders all heads. A
// peer never decides anything: it only states the newest head that it knows.
//
// The first Settings.WitnessLimit members of a head are its witnesses: the
// voting members. A majority of them must acknowledge a proposal, and only they
// hold shares. The first Settings.RelayLimit members also read the table on
// behalf of the others.
//
// # Usage
//
//	core := fleet.New(fleet.DefaultSettings(self, nonce))
//	for _, effect := range core.Step(clock.Now(), fleet.Tick{}) {
//		runner.perform(effect)
//	}
//	if core.Fresh(clock.Now()) {
//		// work may be admitted
//	}
package fleet
