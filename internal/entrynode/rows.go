package entrynode

import (
	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/gossip"
)

// requestRows requests a table of a peer: what this node's copy lacks of it.
func (node *Node) requestRows(from, table string) {
	node.hub.Send(from, gossip.RowsRequest{
		Table: table, From: node.peerAddress, After: uint64(node.followers[table].State().Version), Compression: true,
	})
}

// sendRows answers a peer's request for a table.
func (node *Node) sendRows(to string, request gossip.RowsRequest) {
	if request.Table == inForceTable {
		node.sendConfiguration(to, request)
		return
	}
	follower, found := node.followers[request.Table]
	if !found || !follower.State().Synced {
		return
	}
	message, err := node.compressor.EncodeRows(request, follower.Snapshot())
	if err != nil {
		node.log.Error(err, "rows not sent to peer", "peer", to, "table", request.Table)
		return
	}
	node.hub.Send(to, message)
}

// handleRows merges a table that a peer has sent.
func (node *Node) handleRows(from string, message gossip.RowsResponse) {
	if message.Table == inForceTable {
		node.handleConfiguration(from, message)
		return
	}
	follower, found := node.followers[message.Table]
	if !found || uint64(follower.State().Version) > message.Version {
		return
	}
	batch, err := message.Batch(follower.Row)
	if err != nil {
		// A row that was left out may have been deleted since the request.
		node.log.Info("rows of peer discarded", "peer", from, "table", message.Table, "version", message.Version, "reason", err.Error())
		return
	}
	node.log.V(1).Info("received rows from peer", "peer", from, "table", message.Table, "version", message.Version)
	follower.Merge(batch)
}

// handleChanges merges changes that a relay forwards, or requests the table if earlier
// ones are missing.
func (node *Node) handleChanges(from string, message gossip.Changes) {
	follower, found := node.followers[message.Table]
	if !found {
		return
	}
	state := follower.State()
	if state.Synced && uint64(state.Version) >= message.Version {
		return
	}
	batch, err := message.Batch(follower.Row)
	if err != nil {
		node.log.V(1).Info("changes lack their base", "peer", from, "table", message.Table, "version", message.Version,
			"known", state.Version, "reason", err.Error())
		node.requestRows(from, message.Table)
		return
	}
	if !follower.MergeChanges(mimosatide.RowVersion(message.After), batch, message.Recovering) {
		node.requestRows(from, message.Table)
	}
}
