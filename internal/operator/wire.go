package operator

import (
	"encoding/json"

	"mimosatide.example/mimosatide/internal/configuration"
	"mimosatide.example/mimosatide/internal/journal"
)

// The types below are the JSON encoding of the operators' API. The package
// pkg/client has its own copies of them.

type faultWire struct {
	Path    string
	Message string
}

type errorWire struct {
	Error   string
	Message string
	// Current and Given are set for a stale patch: the version in force and the
	// version that the patch is based on.
	Current uint64 `json:",omitempty"`
	Given   uint64 `json:",omitempty"`
	Faults  []faultWire
}

type configWire struct {
	Version  uint64
	Document json.RawMessage
}

type patchedWire struct {
	Version uint64
	Patch   string
	Changes int
}

type historyEntryWire struct {
	Version  uint64
	Patch    string
	Operator string
	Changes  []changeWire
}

type changeWire struct {
	Section string
	Name    string
	Deleted bool
}

type historyWire struct {
	Entries []historyEntryWire
}

type fieldWire struct {
	Name  string
	Value string
}

type explanationWire struct {
	Node string
	// AtMs is the time of the decision by the clock of its node, in milliseconds.
	AtMs    int64
	What    string
	Reason  string
	Details []fieldWire
}

type explainWire struct {
	Subject string
	Entries []explanationWire
}

func faultsToWire(faults []configuration.Fault) []faultWire {
	wires := make([]faultWire, 0, len(faults))
	for _, fault := range faults {
		wires = append(wires, faultWire(fault))
	}
	return wires
}

func entryToWire(node string, entry journal.Entry) explanationWire {
	wire := explanationWire{Node: node, AtMs: entry.At.Milliseconds(), What: entry.What, Reason: entry.Reason}
	for _, field := range entry.Fields {
		wire.Details = append(wire.Details, fieldWire(field))
	}
	return wire
}
