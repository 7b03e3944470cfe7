package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/chart"
	"mimosatide.example/mimosatide/internal/dispatch"
	"mimosatide.example/mimosatide/internal/fleet"
	"mimosatide.example/mimosatide/internal/journal"
	"mimosatide.example/mimosatide/internal/limit"
	"mimosatide.example/mimosatide/internal/placement"
)

// kind identifies the type of a message on the wire. The number of a removed kind must not be reused.
type kind uint8

// Frequent messages use numbered fields to keep their encoding short.

// envelope is the outer layer of every message; Body is the encoded wire type of its Kind.
type envelope struct {
	Kind kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// pingWire is the encoding of Ping and ReadRequest.
type pingWire struct {
	Round uint64 `cbor:"1,keyasint"`
	Row   uint64 `cbor:"2,keyasint"`
}

// headWire is the encoding of HeadPush and ReadResponse.
type headWire struct {
	Round uint64 `cbor:"1,keyasint"`
	Row   uint64 `cbor:"2,keyasint"`
	Head  []byte `cbor:"3,keyasint,omitempty"`
}

type headReportWire struct {
	Round uint64 `cbor:"1,keyasint"`
	Row   uint64 `cbor:"2,keyasint"`
	Head  []byte `cbor:"3,keyasint,omitempty"`
	Host  string `cbor:"4,keyasint"`
}

type entriesRequestWire struct {
	After uint64
}

type entriesResponseWire struct {
	First   uint64
	Entries [][]byte
}

// tokensWire is the encoding of the messages about token loans.
type tokensWire struct {
	ID      uint64  `cbor:"1,keyasint"`
	Account string  `cbor:"2,keyasint"`
	Tokens  float64 `cbor:"3,keyasint"`
	Balance float64 `cbor:"4,keyasint,omitempty"`
}

type demandReportWire struct {
	Model       string
	Waiting     int
	Outstanding int
	Adapters    map[string]int
	Zone        string
	Stake       float64
}

type adapterWire struct {
	Name    string
	Version string
	Ready   bool
}

type placementWire struct {
	ID       string
	Model    string
	Version  string
	Target   string
	State    string
	Number   uint64
	Adapters []adapterWire
}

type modelPlacementsWire struct {
	Model       string
	Row         uint64
	Placements  []placementWire
	Outstanding int
	// Holdup is ModelPlacements.BlockedReason.
	Holdup string
}

type stakesWire struct {
	ByModel map[string]float64
}

// nameWire is the encoding of the messages that carry no more than a name and an incarnation.
type nameWire struct {
	Name        string
	Incarnation uint64
}

type crashReportWire struct {
	Digest string
	Crash  string
}

type journalRequestWire struct {
	ID      uint64
	Subject string
}

type fieldWire struct {
	Name  string
	Value string
}

type entryWire struct {
	At     time.Duration
	What   string
	Reason string
	Fields []fieldWire
}

type journalResponseWire struct {
	ID      uint64
	Entries []entryWire
}

// The kinds of messages, named after the message types.
const (
	kindPing                kind = 1
	kindHeadReport          kind = 2
	kindHeadPush            kind = 3
	kindSilentReport        kind = 4
	kindReadRequest         kind = 5
	kindReadResponse        kind = 6
	kindEntriesRequest      kind = 7
	kindEntriesResponse     kind = 8
	kindLoanRequest         kind = 9
	kindLoanGrant           kind = 10
	kindLoanReturn          kind = 11
	kindDemandReport        kind = 12
	kindModelPlacements     kind = 13
	kindStakes              kind = 14
	kindSlotFreed           kind = 15
	kindQuiesceRequest      kind = 16
	kindQuiesceConfirmation kind = 17
	kindEvictRequest        kind = 18
	kindTargetLeaving       kind = 19
	kindCrashReport         kind = 20
	kindJournalRequest      kind = 21
	kindJournalResponse     kind = 22
)

// Encode returns the CBOR encoding of a message. It returns a NotSupported error
// for a type that is not a message between nodes.
func Encode(message any) ([]byte, error) {
	messageKind, wire, err := toWire(message)
	if err != nil {
		return nil, errors.Trace(err)
	}
	body, err := cbor.Marshal(wire)
	if err != nil {
		return nil, errors.Annotatef(err, "encode peer message %T", message)
	}
	return cbor.Marshal(envelope{Kind: messageKind, Body: body})
}

// Decode returns the message that Encode encoded. It returns a NotSupported error
// for a kind that this version does not know.
func Decode(data []byte) (any, error) {
	var outer envelope
	if err := cbor.Unmarshal(data, &outer); err != nil {
		return nil, errors.Annotate(err, "decode envelope of peer message")
	}
	decode, known := decoders[outer.Kind]
	if !known {
		return nil, errors.NotSupportedf("peer message of kind %d", outer.Kind)
	}
	message, err := decode(outer.Body)
	return message, errors.Annotatef(err, "decode peer message of kind %d", outer.Kind)
}

func toWire(message any) (kind, any, error) {
	switch message := message.(type) {
	case fleet.Ping:
		return kindPing, pingWire{Round: message.Round, Row: uint64(message.Row)}, nil
	case fleet.HeadReport:
		return kindHeadReport, headReportWire{
			Round: message.Round, Row: uint64(message.Row), Head: message.Head, Host: message.Host,
		}, nil
	case fleet.HeadPush:
		return kindHeadPush, headWire{Round: message.Round, Row: uint64(message.Row), Head: message.Head}, nil
	case fleet.SilentReport:
		return kindSilentReport, nameWire{Name: message.Address}, nil
	case fleet.ReadRequest:
		return kindReadRequest, pingWire{Round: message.Round, Row: uint64(message.Row)}, nil
	case fleet.ReadResponse:
		return kindReadResponse, headWire{Round: message.Round, Row: uint64(message.Row), Head: message.Head}, nil
	case fleet.EntriesRequest:
		return kindEntriesRequest, entriesRequestWire(message), nil
	case fleet.EntriesResponse:
		return kindEntriesResponse, entriesResponseWire(message), nil
	case limit.LoanRequest:
		return kindLoanRequest, tokensWire{ID: message.ID, Account: message.Account, Tokens: message.Tokens}, nil
	case limit.LoanGrant:
		return kindLoanGrant, tokensWire(message), nil
	case limit.LoanReturn:
		return kindLoanReturn, tokensWire{ID: message.ID, Account: message.Account, Tokens: message.Tokens}, nil
	case placement.DemandReport:
		return kindDemandReport, demandReportWire(message), nil
	case placement.ModelPlacements:
		return kindModelPlacements, modelPlacementsToWire(message), nil
	case placement.Stakes:
		return kindStakes, stakesWire(message), nil
	case placement.SlotFreed:
		return kindSlotFreed, nameWire{}, nil
	case placement.QuiesceRequest:
		return kindQuiesceRequest, nameWire{Name: message.Placement}, nil
	case placement.QuiesceConfirmation:
		return kindQuiesceConfirmation, nameWire{Name: message.Placement, Incarnation: message.Incarnation}, nil
	case placement.EvictRequest:
		return kindEvictRequest, nameWire{Name: message.Placement}, nil
	case placement.TargetLeaving:
		return kindTargetLeaving, nameWire{Name: message.Target}, nil
	case dispatch.CrashReport:
		return kindCrashReport, crashReportWire{Digest: string(message.Digest), Crash: message.ID}, nil
	case JournalRequest:
		return kindJournalRequest, journalRequestWire(message), nil
	case JournalResponse:
		return kindJournalResponse, journalToWire(message), nil
	default:
		return 0, nil, errors.NotSupportedf("peer message %T", message)
	}
}

var decoders = map[kind]func([]byte) (any, error){
	kindPing: decoder(func(wire pingWire) any {
		return fleet.Ping{Round: wire.Round, Row: mimosatide.RowVersion(wire.Row)}
	}),
	kindHeadReport: decoder(func(wire headReportWire) any {
		return fleet.HeadReport{Round: wire.Round, Row: mimosatide.RowVersion(wire.Row), Head: wire.Head, Host: wire.Host}
	}),
	kindHeadPush: decoder(func(wire headWire) any {
		return fleet.HeadPush{Round: wire.Round, Row: mimosatide.RowVersion(wire.Row), Head: wire.Head}
	}),
	kindSilentReport: decoder(func(wire nameWire) any { return fleet.SilentReport{Address: wire.Name} }),
	kindReadRequest: decoder(func(wire pingWire) any {
		return fleet.ReadRequest{Round: wire.Round, Row: mimosatide.RowVersion(wire.Row)}
	}),
	kindReadResponse: decoder(func(wire headWire) any {
		return fleet.ReadResponse{Round: wire.Round, Row: mimosatide.RowVersion(wire.Row), Head: wire.Head}
	}),
	kindEntriesRequest:  decoder(func(wire entriesRequestWire) any { return fleet.EntriesRequest(wire) }),
	kindEntriesResponse: decoder(func(wire entriesResponseWire) any { return fleet.EntriesResponse(wire) }),
	kindLoanRequest: decoder(func(wire tokensWire) any {
		return limit.LoanRequest{ID: wire.ID, Account: wire.Account, Tokens: wire.Tokens}
	}),
	kindLoanGrant: decoder(func(wire tokensWire) any { return limit.LoanGrant(wire) }),
	kindLoanReturn: decoder(func(wire tokensWire) any {
		return limit.LoanReturn{ID: wire.ID, Account: wire.Account, Tokens: wire.Tokens}
	}),
	kindDemandReport:    decoder(func(wire demandReportWire) any { return placement.DemandReport(wire) }),
	kindModelPlacements: decoder(func(wire modelPlacementsWire) any { return modelPlacementsFromWire(wire) }),
	kindStakes:          decoder(func(wire stakesWire) any { return placement.Stakes(wire) }),
	kindSlotFreed:       decoder(func(nameWire) any { return placement.SlotFreed{} }),
	kindQuiesceRequest:  decoder(func(wire nameWire) any { return placement.QuiesceRequest{Placement: wire.Name} }),
	kindQuiesceConfirmation: decoder(func(wire nameWire) any {
		return placement.QuiesceConfirmation{Placement: wire.Name, Incarnation: wire.Incarnation}
	}),
	kindEvictRequest:  decoder(func(wire nameWire) any { return placement.EvictRequest{Placement: wire.Name} }),
	kindTargetLeaving: decoder(func(wire nameWire) any { return placement.TargetLeaving{Target: wire.Name} }),
	kindCrashReport: decoder(func(wire crashReportWire) any {
		return dispatch.CrashReport{Digest: dispatch.Digest(wire.Digest), ID: wire.Crash}
	}),
	kindJournalRequest:  decoder(func(wire journalRequestWire) any { return JournalRequest(wire) }),
	kindJournalResponse: decoder(func(wire journalResponseWire) any { return journalFromWire(wire) }),
}

// decoder returns a function that decodes a Wire and converts it to a message.
func decoder[Wire any](convert func(Wire) any) func([]byte) (any, error) {
	return func(data []byte) (any, error) {
		var wire Wire
		if err := cbor.Unmarshal(data, &wire); err != nil {
			return nil, errors.Trace(err)
		}
		return convert(wire), nil
	}
}

func modelPlacementsToWire(list placement.ModelPlacements) modelPlacementsWire {
	wire := modelPlacementsWire{Model: list.Model, Row: uint64(list.Row), Outstanding: list.Outstanding, Holdup: list.BlockedReason}
	for _, item := range list.Placements {
		replica := placementWire{
			ID:      item.ID,
			Model:   item.Model,
			Version: item.Version,
			Target:  item.Target,
			State:   string(item.State),
			Number:  uint64(item.FencingToken),
		}
		for _, adapter := range item.Adapters {
			replica.Adapters = append(replica.Adapters, adapterWire(adapter))
		}
		wire.Placements = append(wire.Placements, replica)
	}
	return wire
}

func modelPlacementsFromWire(wire modelPlacementsWire) placement.ModelPlacements {
	list := placement.ModelPlacements{
		Model:         wire.Model,
		Row:           mimosatide.RowVersion(wire.Row),
		Outstanding:   wire.Outstanding,
		BlockedReason: wire.Holdup,
	}
	for _, item := range wire.Placements {
		replica := placement.Placement{
			ID:           item.ID,
			Model:        item.Model,
			Version:      item.Version,
			Target:       item.Target,
			State:        chart.State(item.State),
			FencingToken: mimosatide.FencingToken(item.Number),
		}
		for _, adapter := range item.Adapters {
			replica.Adapters = append(replica.Adapters, placement.AdapterState(adapter))
		}
		list.Placements = append(list.Placements, replica)
	}
	return list
}

func journalToWire(answer JournalResponse) journalResponseWire {
	wire := journalResponseWire{ID: answer.ID}
	for _, entry := range answer.Entries {
		item := entryWire{At: entry.At, What: entry.What, Reason: entry.Reason}
		for _, field := range entry.Fields {
			item.Fields = append(item.Fields, fieldWire(field))
		}
		wire.Entries = append(wire.Entries, item)
	}
	return wire
}

func journalFromWire(wire journalResponseWire) JournalResponse {
	answer := JournalResponse{ID: wire.ID}
	for _, item := range wire.Entries {
		entry := journal.Entry{At: item.At, What: item.What, Reason: item.Reason}
		for _, field := range item.Fields {
			entry.Fields = append(entry.Fields, journal.Field(field))
		}
		answer.Entries = append(answer.Entries, entry)
	}
	return answer
}
