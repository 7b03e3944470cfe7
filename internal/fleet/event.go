package fleet

import (
	"time"

	"mimosatide.example/mimosatide"
)

// Event is an input of Core.Step.
type Event interface{ isEvent() }

// Tick reports that time has passed.
type Tick struct{}

// TableRead is the answer to a ReadTable effect.
type TableRead struct {
	Call   uint64
	Rows   []mimosatide.Row
	Failed bool
}

// TableCommitted is the answer to a CommitTable effect.
type TableCommitted struct {
	Call    uint64
	Outcome mimosatide.CommitOutcome
}

// Received is a message from a peer.
type Received struct {
	From    string
	Message Message
}

// PatchAsked is an operator's patch, already validated against the version Base.
type PatchAsked struct {
	ID       string
	Operator string
	Base     mimosatide.Version
	Changes  []byte
}

// HostsListed is the platform's present list of hosts.
type HostsListed struct {
	Hosts []mimosatide.Host
}

// LeaveAsked starts the release of the node's shares, lease and membership.
type LeaveAsked struct{}

func (Tick) isEvent()           {}
func (TableRead) isEvent()      {}
func (TableCommitted) isEvent() {}
func (Received) isEvent()       {}
func (PatchAsked) isEvent()     {}
func (HostsListed) isEvent()    {}
func (LeaveAsked) isEvent()     {}

// Effect is an action that the caller of Core.Step must carry out.
type Effect interface{ isEffect() }

// ReadTable reads rows; the caller answers with TableRead.
type ReadTable struct {
	Call uint64
	Keys []string
}

// CommitTable commits a transaction; the caller answers with TableCommitted.
type CommitTable struct {
	Call        uint64
	Transaction mimosatide.Transaction
}

// SendMessage sends a message to a peer. Delivery is not guaranteed.
type SendMessage struct {
	To      string
	Message Message
}

// ApplyEntry puts one accepted entry in force. Entries come in the order of their sequence.
type ApplyEntry struct {
	Sequence uint64
	Entry    Entry
}

// SettlePatch reports the outcome of a PatchAsked.
type SettlePatch struct {
	ID      string
	Outcome PatchOutcome
	// Version is the patch's own version if it was accepted, otherwise the newest known one.
	Version mimosatide.Version
}

// ChangeShares reports how many shares the node holds.
type ChangeShares struct {
	Held int
	// Until is when the node's lease ends, on the clock of Core.Step.
	Until time.Duration
}

// Left reports that the node has released everything it held, or has run out of time to.
type Left struct{}

// LoadSnapshot asks for a snapshot, because the table no longer has the entries that the node lacks.
type LoadSnapshot struct{}

func (ReadTable) isEffect()    {}
func (CommitTable) isEffect()  {}
func (SendMessage) isEffect()  {}
func (ApplyEntry) isEffect()   {}
func (SettlePatch) isEffect()  {}
func (ChangeShares) isEffect() {}
func (Left) isEffect()         {}
func (LoadSnapshot) isEffect() {}

// PatchOutcome is the final result of a patch.
type PatchOutcome string

// The outcomes of a patch.
const (
	// PatchAccepted means that every node that admits work has applied the patch.
	PatchAccepted PatchOutcome = "Accepted"
	// PatchStale means that the configuration is no longer at the patch's base version.
	PatchStale PatchOutcome = "Stale"
	// PatchRejected means that the patch missed its deadline and will never be in force.
	PatchRejected PatchOutcome = "Rejected"
	// PatchUnsettled means that the outcome is unknown, because the platform did not
	// answer. The operator may retry with the same id.
	PatchUnsettled PatchOutcome = "Unsettled"
)

// Message is a message between nodes about the fleet.
type Message interface{ isMessage() }

// Ping asks a peer for a Statement.
type Ping struct {
	Round uint64
	// Row is the newest head that the sender knows.
	Row mimosatide.RowVersion
}

// Statement reports which head its sender knows.
type Statement struct {
	// Round is that of the Ping or Push that is answered.
	Round uint64
	Row   mimosatide.RowVersion
	// Host is the sender's host.
	Host string
	// Head is the encoded head if the receiver's is older.
	Head []byte
}

// Push sends a peer a new head and asks it for a Statement.
type Push struct {
	Round uint64
	Row   mimosatide.RowVersion
	Head  []byte
}

// Silent reports that a member watched by the sender does not answer.
type Silent struct {
	Address string
}

// AskRead asks a relay to read the head from the table.
type AskRead struct {
	Round uint64
	// Row is the newest head that the sender knows.
	Row mimosatide.RowVersion
}

// ReadFor answers AskRead with the result of a read that was begun after the request arrived.
type ReadFor struct {
	Round uint64
	Row   mimosatide.RowVersion
	// Head is the encoded head if the receiver's is older.
	Head []byte
}

// AskEntries asks a peer for the accepted entries after a sequence.
type AskEntries struct {
	After uint64
}

// GiveEntries answers AskEntries with consecutive entries.
type GiveEntries struct {
	// First is the sequence of the first entry.
	First   uint64
	Entries [][]byte
}

func (Ping) isMessage()        {}
func (Statement) isMessage()   {}
func (Push) isMessage()        {}
func (Silent) isMessage()      {}
func (AskRead) isMessage()     {}
func (ReadFor) isMessage()     {}
func (AskEntries) isMessage()  {}
func (GiveEntries) isMessage() {}
