package entrynode

import (
	"sync"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/allowance"
	"mimosatide.example/mimosatide/internal/feed"
	"mimosatide.example/mimosatide/internal/gossip"
	"mimosatide.example/mimosatide/platform"
)

const (
	// inForceTable is the name under which peers request the configuration in force. It is no
	// table of the store.
	inForceTable = "configuration in force"
	// inForceRequestInterval is the least time between two such requests.
	inForceRequestInterval = 300 * time.Millisecond
)

// configurationState is the row of the configuration in force. Within an era of the store the
// latest row is in force. A restored store may hold an older configuration, which doesn't
// replace a newer one of an earlier era.
type configurationState struct {
	lock sync.Mutex
	row  mimosatide.Row
	// version is that of the configuration; ahead is true if the table's row is older.
	version     int64
	ahead       bool
	requestedAt time.Time
}

// applyConfiguration puts a new configuration in force; after one that can't be decoded the last one stays.
// The evacuations come first, since a node serves from its first configuration on.
func (node *Node) applyConfiguration(update feed.Update) {
	node.applyEvacuations(update)
	for _, change := range update.Rows {
		switch {
		case change.Key != platform.ConfigurationKey:
		case !change.Deleted:
			node.configure(change.Row, "")
		case update.Restored:
			node.markAhead()
		}
	}
}

// markAhead records that the restored store has no configuration: peers that start now get
// the one in force from this node.
func (node *Node) markAhead() {
	node.configuration.lock.Lock()
	defer node.configuration.lock.Unlock()
	node.configuration.ahead = node.deployment.Load() != nil
}

// configure puts the configuration of a row in force unless it is older than the one that is;
// peer is the peer address of the node that sent the row, or empty for the row of the table.
func (node *Node) configure(row mimosatide.Row, peer string) {
	start := time.Now()
	deployment, err := platform.DecodeDeployment(row.Value)
	if err != nil {
		node.log.Error(err, "configuration unreadable", "row", row.Version, "peer", peer)
		return
	}
	decoding := time.Since(start)
	state := &node.configuration
	state.lock.Lock()
	defer state.lock.Unlock()
	inForce := node.deployment.Load() != nil
	if inForce && row.Version.Era() == state.row.Version.Era() && row.Version < state.row.Version {
		node.log.Info("late configuration ignored", "version", deployment.Version, "row", row.Version,
			"inForce", state.version, "inForceRow", state.row.Version, "peer", peer)
		return
	}
	if inForce && deployment.Version < state.version && row.Version.Era() > state.row.Version.Era() {
		state.ahead = true
		node.log.Info("older configuration ignored", "version", deployment.Version, "row", row.Version,
			"inForce", state.version, "inForceRow", state.row.Version, "peer", peer)
		return
	}
	if inForce && peer != "" && deployment.Version <= state.version {
		return
	}
	state.row, state.version, state.ahead = row, deployment.Version, peer != ""
	node.deployment.Store(&deployment)
	node.log.Info("configuration in force", "version", deployment.Version, "row", row.Version,
		"routes", deployment.Routes(), "accounts", len(deployment.Accounts), "bytes", len(row.Value),
		"decoding", decoding, "peer", peer)
	limits := make(map[string]allowance.Limit, len(deployment.Accounts))
	for name, account := range deployment.Accounts {
		limits[name] = allowance.Limit{Rate: account.Rate, Burst: account.Burst}
	}
	node.ledger.SetAccounts(limits, time.Now())
	node.setColdLimits(&deployment)
	node.loader.configure(&deployment)
}

// newerConfiguration returns the version of the configuration in force if the store was
// restored to an older one; otherwise zero.
func (node *Node) newerConfiguration() int64 {
	node.configuration.lock.Lock()
	defer node.configuration.lock.Unlock()
	if !node.configuration.ahead {
		return 0
	}
	return node.configuration.version
}

// requestConfiguration requests the configuration that a peer has in force, whose version is
// given, if that is newer than this node's: a node that has started since the restore knows
// only what the store was restored to.
func (node *Node) requestConfiguration(from string, version int64, now time.Time) {
	state := &node.configuration
	state.lock.Lock()
	due := version > state.version && now.Sub(state.requestedAt) >= inForceRequestInterval
	if due {
		state.requestedAt = now
	}
	state.lock.Unlock()
	if due {
		node.hub.Send(from, gossip.RowsRequest{Table: inForceTable, From: node.peerAddress, Compression: true})
	}
}

// sendConfiguration answers a peer's request for the configuration in force.
func (node *Node) sendConfiguration(to string, request gossip.RowsRequest) {
	node.configuration.lock.Lock()
	row := node.configuration.row
	node.configuration.lock.Unlock()
	if row.Version == 0 {
		return
	}
	batch := mimosatide.RowBatch{Version: row.Version, Rows: []mimosatide.RowChange{{Row: row}}}
	message, err := node.compressor.EncodeRows(request, batch)
	if err != nil {
		node.log.Error(err, "configuration not sent to peer", "peer", to, "row", row.Version)
		return
	}
	node.hub.Send(to, message)
}

// handleConfiguration takes the configuration that a peer has in force, once this node has read the table:
// it must know the evacuations before it serves.
func (node *Node) handleConfiguration(from string, message gossip.RowsResponse) {
	if !node.followers[platform.ConfigurationTable].State().Synced {
		return
	}
	batch, err := message.Batch(func(string) (mimosatide.Row, bool) { return mimosatide.Row{}, false })
	if err != nil {
		node.log.Error(err, "configuration of peer discarded", "peer", from)
		return
	}
	for _, change := range batch.Rows {
		node.configure(change.Row, from)
	}
}
