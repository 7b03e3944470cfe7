package fleet

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// The keys of the table rows that the core reads and writes, and the prefixes of keys.
const (
	HeadKey        = "configuration/head"
	SharesKey      = "fleet/shares"
	leaseKeyPrefix = "fleet/lease/"
	entryKeyPrefix = "configuration/entry/"
	patchKeyPrefix = "configuration/patch/"
)

// EntryKey returns the key of a log entry's row.
func EntryKey(sequence uint64) string {
	return fmt.Sprintf("%s%016d", entryKeyPrefix, sequence)
}

// PatchKey returns the key of the row that records that the patch with this id was accepted.
func PatchKey(id string) string {
	return patchKeyPrefix + id
}

func leaseKey(address string) string {
	return leaseKeyPrefix + address
}

// Entry is one entry of the configuration log: a change of the configuration or of the members.
type Entry struct {
	// Nonce is unique to this proposal.
	Nonce    string
	PatchID  string
	Operator string
	// Version is the configuration version after the entry.
	Version mimosatide.Version
	// Changes is the encoded change of the configuration.
	Changes []byte
	// Members is the complete new member list, or nil if the entry does not change it.
	Members []mimosatide.Member
}

// Head is the newest state of the configuration log.
type Head struct {
	// Row is the version of the head's table row, which orders all heads.
	Row      mimosatide.RowVersion
	Sequence uint64
	Version  mimosatide.Version
	Members  []mimosatide.Member
	// Last is the entry numbered Sequence.
	Last *Entry
	// Proposal is the entry that awaits acceptance, or nil.
	Proposal *Entry
}

// WithProposal returns a copy with entry as its proposal.
func (head Head) WithProposal(entry Entry) Head {
	head.Proposal = &entry
	return head
}

// WithoutProposal returns a copy without the proposal.
func (head Head) WithoutProposal() Head {
	head.Proposal = nil
	return head
}

// WithAccepted returns a copy with the proposal accepted as the next entry.
func (head Head) WithAccepted() Head {
	entry := *head.Proposal
	head.Sequence++
	head.Version = entry.Version
	if entry.Members != nil {
		head.Members = entry.Members
	}
	head.Last = &entry
	head.Proposal = nil
	return head
}

// HasMember reports whether the address belongs to a member.
func (head Head) HasMember(address string) bool {
	return hasMember(head.Members, address)
}

func hasMember(members []mimosatide.Member, address string) bool {
	return slices.ContainsFunc(members, func(member mimosatide.Member) bool { return member.Address == address })
}

// memberSets returns the members in force and, if a proposal changes them, the proposed ones.
func (head Head) memberSets() [][]mimosatide.Member {
	sets := [][]mimosatide.Member{head.Members}
	if head.Proposal != nil && head.Proposal.Members != nil {
		sets = append(sets, head.Proposal.Members)
	}
	return sets
}

// witnessSets returns the sets of voting members, each of which must reach a
// quorum: the first limit members of every member set. They follow from the head
// alone, so that the witnesses change only with the members.
func (head Head) witnessSets(limit int) [][]mimosatide.Member {
	sets := head.memberSets()
	for index, set := range sets {
		sets[index] = set[:min(len(set), limit)]
	}
	return sets
}

type memberWire struct {
	Address string
	Host    string
	Zone    string
}

type entryWire struct {
	Nonce    string
	PatchID  string
	Operator string
	Version  uint64
	Changes  []byte
	Members  []memberWire
}

type headWire struct {
	Sequence uint64
	Version  uint64
	Members  []memberWire
	Last     *entryWire
	Proposal *entryWire
}

// EncodeHead encodes a head as a row value.
func EncodeHead(head Head) []byte {
	wire := headWire{
		Sequence: head.Sequence,
		Version:  uint64(head.Version),
		Members:  membersToWire(head.Members),
		Last:     entryToWire(head.Last),
		Proposal: entryToWire(head.Proposal),
	}
	return mustEncode(wire)
}

// DecodeHead decodes the value of the head's row at version row.
func DecodeHead(row mimosatide.RowVersion, value []byte) (Head, error) {
	var wire headWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return Head{}, errors.Annotate(err, "decode configuration head")
	}
	return Head{
		Row:      row,
		Sequence: wire.Sequence,
		Version:  mimosatide.Version(wire.Version),
		Members:  membersFromWire(wire.Members),
		Last:     entryFromWire(wire.Last),
		Proposal: entryFromWire(wire.Proposal),
	}, nil
}

// EncodeEntry encodes a log entry as a row value.
func EncodeEntry(entry Entry) []byte {
	return mustEncode(entryToWire(&entry))
}

// DecodeEntry decodes the row value of a log entry.
func DecodeEntry(value []byte) (Entry, error) {
	var wire entryWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return Entry{}, errors.Annotate(err, "decode configuration entry")
	}
	return *entryFromWire(&wire), nil
}

func mustEncode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		// The encoded types hold nothing that JSON can't represent.
		panic(err)
	}
	return data
}

func entryToWire(entry *Entry) *entryWire {
	if entry == nil {
		return nil
	}
	return &entryWire{
		Nonce:    entry.Nonce,
		PatchID:  entry.PatchID,
		Operator: entry.Operator,
		Version:  uint64(entry.Version),
		Changes:  entry.Changes,
		Members:  membersToWire(entry.Members),
	}
}

func entryFromWire(wire *entryWire) *Entry {
	if wire == nil {
		return nil
	}
	return &Entry{
		Nonce:    wire.Nonce,
		PatchID:  wire.PatchID,
		Operator: wire.Operator,
		Version:  mimosatide.Version(wire.Version),
		Changes:  wire.Changes,
		Members:  membersFromWire(wire.Members),
	}
}

func membersToWire(members []mimosatide.Member) []memberWire {
	if members == nil {
		return nil
	}
	wires := make([]memberWire, 0, len(members))
	for _, member := range members {
		wires = append(wires, memberWire{Address: member.Address, Host: member.Host, Zone: member.Zone})
	}
	return wires
}

func membersFromWire(wires []memberWire) []mimosatide.Member {
	if wires == nil {
		return nil
	}
	members := make([]mimosatide.Member, 0, len(wires))
	for _, wire := range wires {
		members = append(members, mimosatide.Member{Address: wire.Address, Host: wire.Host, Zone: wire.Zone})
	}
	return members
}
