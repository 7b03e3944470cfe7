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

type pingWire struct {
	Round uint64 `cbor:"1,keyasint"`
	Row   uint64 `cbor:"2,keyasint"`
}

type headWire struct {
	Round uint64 `cbor:"1,keyasint"`
	Row   uint64 `cbor:"2,keyasint"`
	Head  []byte `cbor:"3,keyasint,omitempty"`
}

type statementWire struct {
	Round uint64 `cbor:"1,keyasint"`
	Row   uint64 `cbor:"2,keyasint"`
	Head  []byte `cbor:"3,keyasint,omitempty"`
	Host  string `cbor:"4,keyasint"`
}

type askEntriesWire struct {
	After uint64
}

type giveEntriesWire struct {
	First   uint64
	Entries [][]byte
}

type tokensWire struct {
	ID      uint64  `cbor:"1,keyasint"`
	Account string  `cbor:"2,keyasint"`
	Tokens  float64 `cbor:"3,keyasint"`
	Balance float64 `cbor:"4,keyasint,omitempty"`
}

type wantWire struct {
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

type listWire struct {
	Model       string
	Row         uint64
	Placements  []placementWire
	Outstanding int
	Holdup      string
}

type stakesWire struct {
	ByModel map[string]float64
}

type nameWire struct {
	Name        string
	Incarnation uint64
}

type crashWire struct {
	Digest string
	Crash  string
}

type askJournalWire struct {
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

type giveJournalWire struct {
	ID      uint64
	Entries []entryWire
}

// The kinds of messages, named after the message types.
const (
	kindPing          kind = 1
	kindStatement     kind = 2
	kindPush          kind = 3
	kindSilent        kind = 4
	kindAskRead       kind = 5
	kindReadFor       kind = 6
	kindAskEntries    kind = 7
	kindGiveEntries   kind = 8
	kindAskTokens     kind = 9
	kindGiveTokens    kind = 10
	kindReturnTokens  kind = 11
	kindWant          kind = 12
	kindList          kind = 13
	kindStakes        kind = 14
	kindSlotFreed     kind = 15
	kindAskHarmless   kind = 16
	kindHarmless      kind = 17
	kindAskEvict      kind = 18
	kindTargetLeaving kind = 19
	kindCrash         kind = 20
	kindAskJournal    kind = 21
	kindGiveJournal   kind = 22
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
		return kindStatement, statementWire{
			Round: message.Round, Row: uint64(message.Row), Head: message.Head, Host: message.Host,
		}, nil
	case fleet.HeadPush:
		return kindPush, headWire{Round: message.Round, Row: uint64(message.Row), Head: message.Head}, nil
	case fleet.SilentReport:
		return kindSilent, nameWire{Name: message.Address}, nil
	case fleet.ReadRequest:
		return kindAskRead, pingWire{Round: message.Round, Row: uint64(message.Row)}, nil
	case fleet.ReadResponse:
		return kindReadFor, headWire{Round: message.Round, Row: uint64(message.Row), Head: message.Head}, nil
	case fleet.EntriesRequest:
		return kindAskEntries, askEntriesWire(message), nil
	case fleet.EntriesResponse:
		return kindGiveEntries, giveEntriesWire(message), nil
	case limit.LoanRequest:
		return kindAskTokens, tokensWire{ID: message.ID, Account: message.Account, Tokens: message.Tokens}, nil
	case limit.LoanGrant:
		return kindGiveTokens, tokensWire(message), nil
	case limit.LoanReturn:
		return kindReturnTokens, tokensWire{ID: message.ID, Account: message.Account, Tokens: message.Tokens}, nil
	case placement.Want:
		return kindWant, wantWire(message), nil
	case placement.List:
		return kindList, listToWire(message), nil
	case placement.Stakes:
		return kindStakes, stakesWire(message), nil
	case placement.SlotFreed:
		return kindSlotFreed, nameWire{}, nil
	case placement.AskHarmless:
		return kindAskHarmless, nameWire{Name: message.Placement}, nil
	case placement.Harmless:
		return kindHarmless, nameWire{Name: message.Placement, Incarnation: message.Incarnation}, nil
	case placement.AskEvict:
		return kindAskEvict, nameWire{Name: message.Placement}, nil
	case placement.TargetLeaving:
		return kindTargetLeaving, nameWire{Name: message.Target}, nil
	case dispatch.CrashReport:
		return kindCrash, crashWire{Digest: string(message.Digest), Crash: message.ID}, nil
	case AskJournal:
		return kindAskJournal, askJournalWire(message), nil
	case GiveJournal:
		return kindGiveJournal, journalToWire(message), nil
	default:
		return 0, nil, errors.NotSupportedf("peer message %T", message)
	}
}

var decoders = map[kind]func([]byte) (any, error){
	kindPing: decoder(func(wire pingWire) any {
		return fleet.Ping{Round: wire.Round, Row: mimosatide.RowVersion(wire.Row)}
	}),
	kindStatement: decoder(func(wire statementWire) any {
		return fleet.HeadReport{Round: wire.Round, Row: mimosatide.RowVersion(wire.Row), Head: wire.Head, Host: wire.Host}
	}),
	kindPush: decoder(func(wire headWire) any {
		return fleet.HeadPush{Round: wire.Round, Row: mimosatide.RowVersion(wire.Row), Head: wire.Head}
	}),
	kindSilent: decoder(func(wire nameWire) any { return fleet.SilentReport{Address: wire.Name} }),
	kindAskRead: decoder(func(wire pingWire) any {
		return fleet.ReadRequest{Round: wire.Round, Row: mimosatide.RowVersion(wire.Row)}
	}),
	kindReadFor: decoder(func(wire headWire) any {
		return fleet.ReadResponse{Round: wire.Round, Row: mimosatide.RowVersion(wire.Row), Head: wire.Head}
	}),
	kindAskEntries:  decoder(func(wire askEntriesWire) any { return fleet.EntriesRequest(wire) }),
	kindGiveEntries: decoder(func(wire giveEntriesWire) any { return fleet.EntriesResponse(wire) }),
	kindAskTokens: decoder(func(wire tokensWire) any {
		return limit.LoanRequest{ID: wire.ID, Account: wire.Account, Tokens: wire.Tokens}
	}),
	kindGiveTokens: decoder(func(wire tokensWire) any { return limit.LoanGrant(wire) }),
	kindReturnTokens: decoder(func(wire tokensWire) any {
		return limit.LoanReturn{ID: wire.ID, Account: wire.Account, Tokens: wire.Tokens}
	}),
	kindWant:        decoder(func(wire wantWire) any { return placement.Want(wire) }),
	kindList:        decoder(func(wire listWire) any { return listFromWire(wire) }),
	kindStakes:      decoder(func(wire stakesWire) any { return placement.Stakes(wire) }),
	kindSlotFreed:   decoder(func(nameWire) any { return placement.SlotFreed{} }),
	kindAskHarmless: decoder(func(wire nameWire) any { return placement.AskHarmless{Placement: wire.Name} }),
	kindHarmless: decoder(func(wire nameWire) any {
		return placement.Harmless{Placement: wire.Name, Incarnation: wire.Incarnation}
	}),
	kindAskEvict:      decoder(func(wire nameWire) any { return placement.AskEvict{Placement: wire.Name} }),
	kindTargetLeaving: decoder(func(wire nameWire) any { return placement.TargetLeaving{Target: wire.Name} }),
	kindCrash: decoder(func(wire crashWire) any {
		return dispatch.CrashReport{Digest: dispatch.Digest(wire.Digest), ID: wire.Crash}
	}),
	kindAskJournal:  decoder(func(wire askJournalWire) any { return AskJournal(wire) }),
	kindGiveJournal: decoder(func(wire giveJournalWire) any { return journalFromWire(wire) }),
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

func listToWire(list placement.List) listWire {
	wire := listWire{Model: list.Model, Row: uint64(list.Row), Outstanding: list.Outstanding, Holdup: list.Holdup}
	for _, item := range list.Placements {
		replica := placementWire{
			ID:      item.ID,
			Model:   item.Model,
			Version: item.Version,
			Target:  item.Target,
			State:   string(item.State),
			Number:  uint64(item.Number),
		}
		for _, adapter := range item.Adapters {
			replica.Adapters = append(replica.Adapters, adapterWire(adapter))
		}
		wire.Placements = append(wire.Placements, replica)
	}
	return wire
}

func listFromWire(wire listWire) placement.List {
	list := placement.List{
		Model:       wire.Model,
		Row:         mimosatide.RowVersion(wire.Row),
		Outstanding: wire.Outstanding,
		Holdup:      wire.Holdup,
	}
	for _, item := range wire.Placements {
		replica := placement.Placement{
			ID:      item.ID,
			Model:   item.Model,
			Version: item.Version,
			Target:  item.Target,
			State:   chart.State(item.State),
			Number:  mimosatide.FencingToken(item.Number),
		}
		for _, adapter := range item.Adapters {
			replica.Adapters = append(replica.Adapters, placement.AdapterState(adapter))
		}
		list.Placements = append(list.Placements, replica)
	}
	return list
}

func journalToWire(answer GiveJournal) giveJournalWire {
	wire := giveJournalWire{ID: answer.ID}
	for _, entry := range answer.Entries {
		item := entryWire{At: entry.At, What: entry.What, Reason: entry.Reason}
		for _, field := range entry.Fields {
			item.Fields = append(item.Fields, fieldWire(field))
		}
		wire.Entries = append(wire.Entries, item)
	}
	return wire
}

func journalFromWire(wire giveJournalWire) GiveJournal {
	answer := GiveJournal{ID: wire.ID}
	for _, item := range wire.Entries {
		entry := journal.Entry{At: item.At, What: item.What, Reason: item.Reason}
		for _, field := range item.Fields {
			entry.Fields = append(entry.Fields, journal.Field(field))
		}
		answer.Entries = append(answer.Entries, entry)
	}
	return answer
}
