// Package gossip is what the entry nodes tell each other: what they have spent
// and have under way, which models are asked for, who orders the targets of a
// service, and rows of the store for a node that the store refuses.
//
// # Usage
//
//	hub, err := peer.New(peer.Settings{Codec: gossip.Codec{}}, log, receive)
//	hub.Send(address, gossip.Digest{Node: "entry-1"})
package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// Digest is what a node tells all others several times a second.
type Digest struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Spent holds the running totals of tokens by account that changed.
	Spent map[string]float64 `cbor:"3,keyasint,omitempty"`
	// Loads is what the node has under way by target.
	Loads map[string]Load `cbor:"4,keyasint,omitempty"`
	// Tables are the newest changes that the node knows by table.
	Tables map[string]uint64 `cbor:"5,keyasint,omitempty"`
	// Owned are the services whose targets the node orders.
	Owned []Ownership `cbor:"6,keyasint,omitempty"`
	// GivenUp are leases under which the node will not order again.
	GivenUp []Handover `cbor:"7,keyasint,omitempty"`
	// Leads says that the node follows all tables and passes their changes on to its zone.
	Leads bool `cbor:"9,keyasint,omitempty"`
	// Unfit says that the node is a relay which the store does not answer.
	Unfit bool `cbor:"10,keyasint,omitempty"`
	// Steady says that the store answers the node itself and has not been away lately.
	Steady bool `cbor:"11,keyasint,omitempty"`
	// Crashes are requests at whose start a target crashed, by the digest of their content.
	Crashes map[uint64]int `cbor:"8,keyasint,omitempty"`
}

// Load is what a node has under way at a target.
type Load struct {
	Running       int   `cbor:"1,keyasint"`
	PrefillMillis int64 `cbor:"2,keyasint,omitempty"`
	// Reading and Waiting count the requests whose long prompts are being read or held back.
	Reading int `cbor:"3,keyasint,omitempty"`
	Waiting int `cbor:"4,keyasint,omitempty"`
}

// Ownership is a lease on the orders to a service's targets.
type Ownership struct {
	Service string `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
	Row     uint64 `cbor:"3,keyasint"`
}

// Handover is a lease that was given up before its term's end.
type Handover struct {
	Service string `cbor:"1,keyasint"`
	Row     uint64 `cbor:"2,keyasint"`
	// IdleMillis is how long ago the last order left.
	IdleMillis int64 `cbor:"3,keyasint"`
}

// Usage tells the owner of a service what is asked for.
type Usage struct {
	Node    string              `cbor:"1,keyasint"`
	Service string              `cbor:"2,keyasint"`
	Models  map[string]ModelUse `cbor:"3,keyasint,omitempty"`
	// Adapters are those that were used since the last message.
	Adapters []AdapterUse `cbor:"4,keyasint,omitempty"`
}

// ModelUse is a running total of the prompts that came for a model, and what is under way.
type ModelUse struct {
	PrefillMillis float64 `cbor:"1,keyasint"`
	Running       int     `cbor:"2,keyasint,omitempty"`
}

// AdapterUse is an adapter that a request used at a target.
type AdapterUse struct {
	Instance string `cbor:"1,keyasint"`
	Model    string `cbor:"2,keyasint"`
	Adapter  string `cbor:"3,keyasint"`
}

// Need asks the owner of a service for a model or adapter that a request waits for.
type Need struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Adapter string `cbor:"3,keyasint,omitempty"`
	// Instance is where an adapter is wanted.
	Instance string `cbor:"4,keyasint,omitempty"`
}

// Placement tells all nodes what a target holds.
type Placement struct {
	Instance string    `cbor:"1,keyasint"`
	Born     int64     `cbor:"2,keyasint"`
	Orders   int64     `cbor:"3,keyasint"`
	Holdings []Holding `cbor:"4,keyasint,omitempty"`
	InMemory []string  `cbor:"5,keyasint,omitempty"`
	OnDisk   []string  `cbor:"6,keyasint,omitempty"`
}

// Holding is a model that a target holds, with its adapters.
type Holding struct {
	Model    string   `cbor:"1,keyasint"`
	Adapters []string `cbor:"2,keyasint,omitempty"`
}

// Reach says how far a relay passes a batch on.
type Reach uint8

// The reaches of a batch.
const (
	// ReachSelf is for the receiver alone.
	ReachSelf Reach = iota
	// ReachZone is for all nodes of the receiver's zone.
	ReachZone
	// ReachAll is for all nodes of all zones.
	ReachAll
)

// Batch is news of several nodes that a relay has gathered.
type Batch struct {
	Reach      Reach       `cbor:"1,keyasint,omitempty"`
	Digests    []Digest    `cbor:"2,keyasint,omitempty"`
	Placements []Placement `cbor:"3,keyasint,omitempty"`
}

// Empty says that there is nothing in the batch.
func (batch Batch) Empty() bool {
	return len(batch.Digests) == 0 && len(batch.Placements) == 0
}

// With returns a batch that also has the content of another one.
func (batch Batch) With(more Batch) Batch {
	batch.Digests = append(batch.Digests, more.Digests...)
	batch.Placements = append(batch.Placements, more.Placements...)
	return batch
}

// Changes are the rows of a table that changed after another change.
type Changes struct {
	Table string `cbor:"1,keyasint"`
	// After is the newest change before these; a copy that lacks it lacks more than these.
	After   uint64   `cbor:"2,keyasint"`
	Version uint64   `cbor:"3,keyasint"`
	Rows    []Change `cbor:"4,keyasint"`
	// Recovering says that a deletion may be an effect of an outage of the store.
	Recovering bool `cbor:"5,keyasint,omitempty"`
}

// Change is a row that was written or deleted.
type Change struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// EncodeChanges makes a message of changed rows.
func EncodeChanges(table string, after mimosatide.RowVersion, batch mimosatide.RowBatch, recovering bool) Changes {
	message := Changes{Table: table, After: uint64(after), Version: uint64(batch.Version), Recovering: recovering}
	for _, row := range batch.Rows {
		message.Rows = append(message.Rows, Change{
			Key: row.Key, Value: row.Value, Version: uint64(row.Version), Deleted: row.Deleted,
		})
	}
	return message
}

// Batch returns the changed rows.
func (message Changes) Batch() mimosatide.RowBatch {
	batch := mimosatide.RowBatch{Version: mimosatide.RowVersion(message.Version)}
	for _, row := range message.Rows {
		batch.Rows = append(batch.Rows, mimosatide.RowChange{
			Row:     mimosatide.Row{Key: row.Key, Value: row.Value, Version: mimosatide.RowVersion(row.Version)},
			Deleted: row.Deleted,
		})
	}
	return batch
}

// AskRows asks a peer for a table.
type AskRows struct {
	Table string
	From  string
}

// GiveRows is a peer's copy of a table.
type GiveRows struct {
	Table   string
	Version uint64
	Rows    []Row
}

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// EncodeRows makes a message of a copy of a table.
func EncodeRows(table string, batch mimosatide.RowBatch) GiveRows {
	message := GiveRows{Table: table, Version: uint64(batch.Version)}
	for _, row := range batch.Rows {
		message.Rows = append(message.Rows, Row{Key: row.Key, Value: row.Value, Version: uint64(row.Version)})
	}
	return message
}

// Batch returns the copy as a batch of rows.
func (message GiveRows) Batch() mimosatide.RowBatch {
	batch := mimosatide.RowBatch{Version: mimosatide.RowVersion(message.Version), Complete: true}
	for _, row := range message.Rows {
		batch.Rows = append(batch.Rows, mimosatide.RowChange{
			Row: mimosatide.Row{Key: row.Key, Value: row.Value, Version: mimosatide.RowVersion(row.Version)},
		})
	}
	return batch
}

// BornTime returns the start of the target's incarnation.
func (message Placement) BornTime() time.Time {
	return time.UnixMilli(message.Born)
}

// kind numbers the type of a message on the wire.
type kind uint8

const (
	kindDigest kind = iota + 1
	kindUsage
	kindNeed
	kindPlacement
	kindAskRows
	kindGiveRows
	kindBatch
	kindChanges
)

type envelope struct {
	Kind kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// Codec encodes the messages between entry nodes.
type Codec struct{}

// Encode makes bytes of a message.
func (Codec) Encode(message any) ([]byte, error) {
	var sort kind
	switch message.(type) {
	case Digest:
		sort = kindDigest
	case Usage:
		sort = kindUsage
	case Need:
		sort = kindNeed
	case Placement:
		sort = kindPlacement
	case AskRows:
		sort = kindAskRows
	case GiveRows:
		sort = kindGiveRows
	case Batch:
		sort = kindBatch
	case Changes:
		sort = kindChanges
	default:
		return nil, errors.NotSupportedf("message %T", message)
	}
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, errors.Trace(err)
	}
	data, err := cbor.Marshal(envelope{Kind: sort, Body: body})
	return data, errors.Trace(err)
}

// Decode makes a message of bytes.
func (Codec) Decode(data []byte) (any, error) {
	var wrapped envelope
	if err := cbor.Unmarshal(data, &wrapped); err != nil {
		return nil, errors.Annotate(err, "peer message")
	}
	switch wrapped.Kind {
	case kindDigest:
		return decode[Digest](wrapped.Body)
	case kindUsage:
		return decode[Usage](wrapped.Body)
	case kindNeed:
		return decode[Need](wrapped.Body)
	case kindPlacement:
		return decode[Placement](wrapped.Body)
	case kindAskRows:
		return decode[AskRows](wrapped.Body)
	case kindGiveRows:
		return decode[GiveRows](wrapped.Body)
	case kindBatch:
		return decode[Batch](wrapped.Body)
	case kindChanges:
		return decode[Changes](wrapped.Body)
	default:
		return nil, errors.NotSupportedf("message kind %d", wrapped.Kind)
	}
}

func decode[Message any](body []byte) (any, error) {
	var message Message
	err := cbor.Unmarshal(body, &message)
	return message, errors.Annotatef(err, "%T", message)
}
