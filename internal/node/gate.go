package node

import (
	"context"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/invariant"
)

// gate lets work in while the configuration is confirmed fresh.
type gate struct {
	node *Node
}

// Admit returns why a key's request may not run now, or an empty reason.
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

// WaitFresh waits until the node's configuration is confirmed fresh again.
func (gate gate) WaitFresh(ctx context.Context) bool {
	return gate.node.fleet.waitFresh(ctx)
}
