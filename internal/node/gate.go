package node

import (
	"context"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/invariant"
)

// gate is the dispatcher's Gate: it admits requests while the configuration is confirmed fresh.
type gate struct {
	node *Node
}

// Admit returns the reason why a request with the key may not run for the account now, or an empty
// reason. An empty key belongs to an open route, which needs no account.
func (gate gate) Admit(key mimosatide.KeyDigest, account string) mimosatide.Reason {
	if !gate.node.fleet.fresh() {
		return mimosatide.ReasonNotFresh
	}
	if key == "" {
		return ""
	}
	owner, reason := gate.node.store.View().Authenticate(key)
	if reason != "" {
		return reason
	}
	invariant.Check(account != "", "a request with a key has no account")
	if owner.Name != account {
		return mimosatide.ReasonUnknownKey
	}
	return ""
}

// WaitFresh waits until the configuration is confirmed fresh. It returns false if that takes longer
// than freshnessTimeout or the context ends first.
func (gate gate) WaitFresh(ctx context.Context) bool {
	return gate.node.fleet.waitFresh(ctx)
}
