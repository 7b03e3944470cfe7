// Package gossip defines the messages that entry nodes exchange: spent tokens and
// load at targets, demand for models, the owners of services, what targets hold,
// and table rows for nodes that the store does not answer. The owner of a service
// is the node that holds the lease on the orders to its targets.
//
// Messages are encoded as CBOR with integer keys, only RowsRequest, RowsResponse and
// Row with the names of their fields. Keys, these names and the numbers of the message
// kinds must not change. The versions of rows in messages are values of
// mimosatide.RowVersion.
//
// # Usage
//
//	hub, err := peer.New(peer.Settings{Codec: gossip.Codec{}}, log, receive)
//	hub.Send(address, gossip.Digest{Node: "entry-1"})
package gossip

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/pace"
)

// Digest is the state that a node sends to all other nodes several times a second.
type Digest struct {
	Node string `cbor:"1,keyasint"`
	// Incarnation distinguishes the node's process from earlier ones of the same name.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Spent holds the node's running totals of spent tokens by account, of all accounts unless
	// RecentSpent is set.
	Spent map[string]float64 `cbor:"3,keyasint,omitempty"`
	// Loads holds the node's load by target.
	Loads map[string]Load `cbor:"4,keyasint,omitempty"`
	// Tables holds the version of the newest change that the node knows, by table.
	Tables map[string]uint64 `cbor:"5,keyasint,omitempty"`
	// Ownerships lists the leases that the node holds.
	Ownerships []Ownership `cbor:"6,keyasint,omitempty"`
	// Handovers lists leases under which the node will send no more orders.
	Handovers []Handover `cbor:"7,keyasint,omitempty"`
	// RelaysTables is set by the relay of a zone that follows all tables and forwards
	// their changes to its zone.
	RelaysTables bool `cbor:"9,keyasint,omitempty"`
	// StoreOutage is set by the relay of a zone that gets no answers from the store.
	StoreOutage bool `cbor:"10,keyasint,omitempty"`
	// Steady is set by a node that reads the store itself and has seen no recent outage.
	Steady bool `cbor:"11,keyasint,omitempty"`
	// Key 8 held the crashes of whole requests and must not be used for anything else.

	// Leaving holds the targets whose answers have told the node that they leave, with the
	// start of the incarnation in milliseconds of Unix time.
	Leaving map[string]int64 `cbor:"12,keyasint,omitempty"`
	// ConfigurationAgeMillis is the time since the store last confirmed to the node that its
	// copy of the configuration is current, at least 1; zero if it never has.
	ConfigurationAgeMillis int64 `cbor:"13,keyasint,omitempty"`
	// Quarantine is what the node reports of requests that crash targets; nil if nothing.
	Quarantine *Quarantine `cbor:"14,keyasint,omitempty"`
	// Limits holds the limits that targets have recently named to the node, by target.
	Limits map[string]RateLimit `cbor:"15,keyasint,omitempty"`
	// Partial says that the rest of the digest is part of a Summary.
	Partial bool `cbor:"16,keyasint,omitempty"`
	// Idle says that the digest holds nothing that other nodes wait for.
	Idle bool `cbor:"17,keyasint,omitempty"`
	// RecentSpent says that Spent holds only the totals that have changed in the last digests.
	RecentSpent bool `cbor:"18,keyasint,omitempty"`
	// Key 19 holds the era of the versions.

	// NewerConfiguration is the version of the configuration that the node has in force if the
	// store was restored to an older one.
	NewerConfiguration int64 `cbor:"20,keyasint,omitempty"`
	// Paces holds the targets whose pace has recently differed from the usual one of their
	// service in requests of the node, at most pace.MaxReports.
	Paces []Pace `cbor:"21,keyasint,omitempty"`
	// ReturnedMillis holds the time since the evacuation of zones has ended, for a minute. KnowsReturns says
	// that these are all: the node did not start while others may have ended.
	ReturnedMillis map[string]int64 `cbor:"22,keyasint,omitempty"`
	KnowsReturns   bool             `cbor:"23,keyasint,omitempty"`
	// CopyAgeMillis holds the time since the store last confirmed to the node that its copy of
	// a table is current, by table, without the configuration and without old confirmations.
	CopyAgeMillis map[string]int64 `cbor:"24,keyasint,omitempty"`
	// StoreLost is set while the store does not answer the calls of the node.
	StoreLost bool `cbor:"25,keyasint,omitempty"`
}

// Events returns the part of the digest that no Summary of the node's zone holds, and whether
// there is any.
func (digest Digest) Events() (Digest, bool) {
	event := Digest{
		Node: digest.Node, Incarnation: digest.Incarnation, Ownerships: digest.Ownerships, Handovers: digest.Handovers,
		StoreOutage: digest.StoreOutage, Leaving: digest.Leaving, Quarantine: digest.Quarantine, Limits: digest.Limits, Partial: true,
		Paces: digest.Paces[:min(len(digest.Paces), pace.MaxReports)],
	}
	lists := len(event.Ownerships) + len(event.Handovers) + len(event.Leaving) + len(event.Limits) + len(event.Paces)
	return event, lists > 0 || event.StoreOutage || event.Quarantine != nil
}

// Load is the load that a node puts on a target.
type Load struct {
	// Running is the number of requests.
	Running int `cbor:"1,keyasint"`
	// PrefillMillis is the prefill time still needed for the requests' prompts.
	PrefillMillis int64 `cbor:"2,keyasint,omitempty"`
	// LongPrefills is the number of requests with long prompts that are in prefill.
	LongPrefills int `cbor:"3,keyasint,omitempty"`
	// Deferred is the number of requests with long prompts that are deferred.
	Deferred int `cbor:"4,keyasint,omitempty"`
	// Tokens are those of the target's cache that the requests take.
	Tokens int `cbor:"5,keyasint,omitempty"`
}

// Plus returns the sum of two loads.
func (load Load) Plus(more Load) Load {
	return Load{
		Running: load.Running + more.Running, PrefillMillis: load.PrefillMillis + more.PrefillMillis,
		LongPrefills: load.LongPrefills + more.LongPrefills, Deferred: load.Deferred + more.Deferred,
		Tokens: load.Tokens + more.Tokens,
	}
}

// Ownership is a lease on the orders to a service's targets.
type Ownership struct {
	Service string `cbor:"1,keyasint"`
	// Term is the lease's fencing token.
	Term uint64 `cbor:"2,keyasint"`
	// Row is the version of the lease's row.
	Row uint64 `cbor:"3,keyasint"`
	// Loads are the loads under way at the service's targets.
	Loads []LoadUnderWay `cbor:"4,keyasint,omitempty"`
	// RemoteLimit is the learned limit on concurrent loads from the weight store; zero if unknown.
	RemoteLimit int `cbor:"5,keyasint,omitempty"`
	// ExpectedMillis holds the expected time until a model is loaded, for those that wait for the
	// weight store or are being loaded.
	ExpectedMillis map[string]int64 `cbor:"6,keyasint,omitempty"`
}

// LoadUnderWay is a load that a target carries out.
type LoadUnderWay struct {
	Instance        string `cbor:"1,keyasint"`
	Model           string `cbor:"2,keyasint"`
	RemainingMillis int64  `cbor:"3,keyasint,omitempty"`
}

// Handover is a lease that its holder gave up before it expired.
type Handover struct {
	Service string `cbor:"1,keyasint"`
	// Row is the version of the lease's row.
	Row uint64 `cbor:"2,keyasint"`
	// IdleMillis is the time since the last order was sent.
	IdleMillis int64 `cbor:"3,keyasint"`
}

// Usage reports the demand for a service's models and adapters to the service's owner.
type Usage struct {
	Node    string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Models holds the use of the models that were requested since the last message.
	Models map[string]ModelUse `cbor:"3,keyasint,omitempty"`
	// Adapters lists the adapters that were used since the last message.
	Adapters []AdapterUse `cbor:"4,keyasint,omitempty"`
}

// ModelUse is a node's use of a model.
type ModelUse struct {
	// PrefillMillis is the running total of the prefill time of the prompts received.
	PrefillMillis float64 `cbor:"1,keyasint"`
	// Running is the number of running requests.
	Running int `cbor:"2,keyasint,omitempty"`
	// RecentMillis is the part of the total that was added since the node's last report to this owner.
	RecentMillis float64 `cbor:"3,keyasint,omitempty"`
}

// AdapterUse is an adapter that a request used at a target.
type AdapterUse struct {
	Instance string `cbor:"1,keyasint"`
	Model    string `cbor:"2,keyasint"`
	Adapter  string `cbor:"3,keyasint"`
}

// Need asks the owner of a service to load a model or adapter that a request waits for.
type Need struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Adapter string `cbor:"3,keyasint,omitempty"`
	// Instance is the target that is to load the adapter.
	Instance string `cbor:"4,keyasint,omitempty"`
	// First says that the request reports the need for the first time.
	First bool `cbor:"5,keyasint,omitempty"`
	// Software is the version of the target's software that the model is needed at; empty if any
	// will do.
	Software string `cbor:"6,keyasint,omitempty"`
	// Rank is the request's priority plus one, zero if it is not known.
	Rank int `cbor:"7,keyasint,omitempty"`
	// LeavesMillis is the time until the request's caller leaves; zero if it is not known or does not wait.
	LeavesMillis int64 `cbor:"8,keyasint,omitempty"`
	// PromptTokens is the size of the request.
	PromptTokens int `cbor:"9,keyasint,omitempty"`
	// Request identifies the request at all hosts; zero if it has no identifier.
	Request uint64 `cbor:"10,keyasint,omitempty"`
}

// HoldingsReport says what a target holds, published by its owner to all nodes.
type HoldingsReport struct {
	Instance string `cbor:"1,keyasint"`
	// Born is the start of the target's incarnation in milliseconds of Unix time, as the
	// target's row states it.
	Born int64 `cbor:"2,keyasint"`
	// Orders is the number of orders that the incarnation has accepted.
	Orders   int64     `cbor:"3,keyasint"`
	Holdings []Holding `cbor:"4,keyasint,omitempty"`
	// InMemory and OnDisk name the models whose weights are cached at the target.
	InMemory []string `cbor:"5,keyasint,omitempty"`
	OnDisk   []string `cbor:"6,keyasint,omitempty"`
}

// Holding is a model that a target holds, with its adapters.
type Holding struct {
	Model    string   `cbor:"1,keyasint"`
	Adapters []string `cbor:"2,keyasint,omitempty"`
}

// Reach is the set of nodes to which the receiver of a batch forwards it.
type Reach uint8

// The reaches of a batch.
const (
	// ReachSelf means that the receiver does not forward the batch.
	ReachSelf Reach = iota
	// ReachZone means all nodes of the receiver's zone.
	ReachZone
	// ReachAll means all nodes of all zones.
	ReachAll
)

// Batch holds messages of one or more nodes on their way through relays.
type Batch struct {
	Reach           Reach            `cbor:"1,keyasint,omitempty"`
	Digests         []Digest         `cbor:"2,keyasint,omitempty"`
	HoldingsReports []HoldingsReport `cbor:"3,keyasint,omitempty"`
	// Summaries holds the states of other availability zones, at most one of each relay.
	Summaries []Summary `cbor:"4,keyasint,omitempty"`
}

// Idle reports whether the batch holds nothing that other nodes wait for.
func (batch Batch) Idle() bool {
	for _, digest := range batch.Digests {
		if !digest.Idle {
			return false
		}
	}
	for _, summary := range batch.Summaries {
		if !summary.Idle {
			return false
		}
	}
	return len(batch.HoldingsReports) == 0
}

// Empty reports whether the batch holds no messages.
func (batch Batch) Empty() bool {
	return len(batch.Digests) == 0 && len(batch.HoldingsReports) == 0 && len(batch.Summaries) == 0
}

// With returns a batch that also holds the messages of another one.
func (batch Batch) With(more Batch) Batch {
	batch.Digests = append(batch.Digests, more.Digests...)
	batch.HoldingsReports = append(batch.HoldingsReports, more.HoldingsReports...)
	batch.Summaries = slices.Clone(batch.Summaries)
	for _, summary := range more.Summaries {
		earlier := func(known Summary) bool { return known.Relay == summary.Relay }
		batch.Summaries = append(slices.DeleteFunc(batch.Summaries, earlier), summary)
	}
	return batch
}

// BornTime returns the start of the target's incarnation.
func (message HoldingsReport) BornTime() time.Time {
	return time.UnixMilli(message.Born)
}

// kind identifies the type of a message on the wire.
type kind uint8

const (
	kindDigest kind = iota + 1
	kindUsage
	kindNeed
	kindHoldingsReport
	kindRowsRequest
	kindRowsResponse
	kindBatch
	// kindPlainChanges is received from nodes of versions that don't compress rows.
	kindPlainChanges
	kindChanges
	kindPermitRequest
	kindPermitResponse
	kindTurnRequest
	kindTurnResponse
)

// envelope is the encoding of a message with its kind.
type envelope struct {
	Kind kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// Codec encodes the messages between entry nodes.
type Codec struct{}

// Bulk implements peer.BulkCodec: whole tables and the changes of tables with large rows
// are bulk messages.
func (Codec) Bulk(message any) bool {
	switch message := message.(type) {
	case RowsResponse:
		return true
	case Changes:
		return message.Bulk
	default:
		return false
	}
}

// Encode encodes a message of this package; other types are not supported.
func (Codec) Encode(message any) ([]byte, error) {
	var messageKind kind
	switch typed := message.(type) {
	case Digest:
		messageKind, message = kindDigest, typed.wire()
	case Usage:
		messageKind = kindUsage
	case Need:
		messageKind = kindNeed
	case HoldingsReport:
		messageKind = kindHoldingsReport
	case RowsRequest:
		messageKind, message = kindRowsRequest, typed.wire()
	case RowsResponse:
		messageKind, message = kindRowsResponse, typed.wire()
	case Batch:
		messageKind, message = kindBatch, typed.wire()
	case Changes:
		messageKind, message = kindChanges, typed.wire()
	case PermitRequest:
		messageKind = kindPermitRequest
	case PermitResponse:
		messageKind = kindPermitResponse
	case TurnRequest:
		messageKind = kindTurnRequest
	case TurnResponse:
		messageKind = kindTurnResponse
	default:
		return nil, errors.NotSupportedf("message %T", message)
	}
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, errors.Trace(err)
	}
	data, err := cbor.Marshal(envelope{Kind: messageKind, Body: body})
	return data, errors.Trace(err)
}

// Decode decodes a message that Encode has encoded.
func (Codec) Decode(data []byte) (any, error) {
	var wrapped envelope
	if err := cbor.Unmarshal(data, &wrapped); err != nil {
		return nil, errors.Annotate(err, "decode peer message")
	}
	switch wrapped.Kind {
	case kindDigest:
		return decodeVersions[Digest, digestWire](wrapped.Body)
	case kindUsage:
		return decode[Usage](wrapped.Body)
	case kindNeed:
		return decode[Need](wrapped.Body)
	case kindHoldingsReport:
		return decode[HoldingsReport](wrapped.Body)
	case kindRowsRequest:
		return decodeVersions[RowsRequest, rowsRequestWire](wrapped.Body)
	case kindRowsResponse:
		return decodeVersions[RowsResponse, rowsResponseWire](wrapped.Body)
	case kindBatch:
		return decodeVersions[Batch, batchWire](wrapped.Body)
	case kindPlainChanges, kindChanges:
		return decodeVersions[Changes, changesWire](wrapped.Body)
	case kindPermitRequest:
		return decode[PermitRequest](wrapped.Body)
	case kindPermitResponse:
		return decode[PermitResponse](wrapped.Body)
	case kindTurnRequest:
		return decode[TurnRequest](wrapped.Body)
	case kindTurnResponse:
		return decode[TurnResponse](wrapped.Body)
	default:
		return nil, errors.NotSupportedf("message kind %d", wrapped.Kind)
	}
}

func decode[Message any](body []byte) (any, error) {
	var message Message
	err := cbor.Unmarshal(body, &message)
	return message, errors.Annotatef(err, "decode %T", message)
}

// versioned is the wire format of a message that holds versions of the store's rows.
type versioned[Message any] interface {
	message() (Message, error)
}

func decodeVersions[Message any, Wire versioned[Message]](body []byte) (any, error) {
	var wire Wire
	if err := cbor.Unmarshal(body, &wire); err != nil {
		return nil, errors.Annotatef(err, "decode %T", wire)
	}
	message, err := wire.message()
	return message, errors.Annotatef(err, "decode %T", message)
}
