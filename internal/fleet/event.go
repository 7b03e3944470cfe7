package fleet

import (
	"time"

	"mimosatide.example/mimosatide"
)

// Event is something that happened to a node.
type Event interface{ isEvent() }

// Tick says that time has passed.
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

// PatchAsked is an operator's patch, already checked against Base.
type PatchAsked struct {
	ID       string
	Operator string
	Base     mimosatide.Version
	Changes  []byte
}

// HostsListed is the platform's list of hosts.
type HostsListed struct {
	Hosts []mimosatide.Host
}

// LeaveAsked starts the release of all that the node holds.
type LeaveAsked struct{}

func (Tick) isEvent()           {}
func (TableRead) isEvent()      {}
func (TableCommitted) isEvent() {}
func (Received) isEvent()       {}
func (PatchAsked) isEvent()     {}
func (HostsListed) isEvent()    {}
func (LeaveAsked) isEvent()     {}

// Effect is something that the shell must do.
type Effect interface{ isEffect() }

// ReadTable asks for rows; the shell answers with TableRead.
type ReadTable struct {
	Call uint64
	Keys []string
}

// CommitTable asks for a transaction; the shell answers with TableCommitted.
type CommitTable struct {
	Call        uint64
	Transaction mimosatide.Transaction
}

// SendMessage sends a message to a peer; it may be lost.
type SendMessage struct {
	To      string
	Message Message
}

// ApplyEntry puts one accepted entry in force; entries come in order.
type ApplyEntry struct {
	Sequence uint64
	Entry    Entry
}

// SettlePatch answers a PatchAsked.
type SettlePatch struct {
	ID      string
	Outcome PatchOutcome
	Version mimosatide.Version
}

// ChangeShares tells how many shares the node holds, and until when.
type ChangeShares struct {
	Held  int
	Until time.Duration
}

// Left says that everything the node held is released.
type Left struct{}

// LoadSnapshot says that entries are missing that the table no longer has.
type LoadSnapshot struct{}

func (ReadTable) isEffect()    {}
func (CommitTable) isEffect()  {}
func (SendMessage) isEffect()  {}
func (ApplyEntry) isEffect()   {}
func (SettlePatch) isEffect()  {}
func (ChangeShares) isEffect() {}
func (Left) isEffect()         {}
func (LoadSnapshot) isEffect() {}

// PatchOutcome says what became of a patch.
type PatchOutcome string

// The outcomes of a patch.
const (
	// PatchAccepted means that the patch is in force at every node that admits work.
	PatchAccepted PatchOutcome = "Accepted"
	// PatchStale means that the configuration has another version by now.
	PatchStale PatchOutcome = "Stale"
	// PatchRejected means that the patch could not be put in force in time and never will be.
	PatchRejected PatchOutcome = "Rejected"
	// PatchUnsettled means that the platform gave no answer: ask again with the same id.
	PatchUnsettled PatchOutcome = "Unsettled"
)

// Message is what nodes tell each other about the fleet.
type Message interface{ isMessage() }

// Ping asks a peer for a Statement.
type Ping struct {
	Round uint64
	// Row is the newest head that the sender knows.
	Row mimosatide.RowVersion
}

// Statement says which head its sender knows.
type Statement struct {
	// Round repeats the Ping's, or is zero for a push.
	Round uint64
	Row   mimosatide.RowVersion
	// Host is where the sender runs.
	Host string
	// Head is the encoded head when the receiver's is older.
	Head []byte
}

// Push hands a peer a new head and asks it for a Statement.
type Push struct {
	Round uint64
	Row   mimosatide.RowVersion
	Head  []byte
}

// Silent tells that its sender watches a member that doesn't answer.
type Silent struct {
	Address string
}

// AskRead asks a witness to read the head from the table.
type AskRead struct {
	Round uint64
	// Row is the newest head that the sender knows.
	Row mimosatide.RowVersion
}

// ReadFor answers AskRead with a read that was begun after it came.
type ReadFor struct {
	Round uint64
	Row   mimosatide.RowVersion
	// Head is the encoded head when the receiver's is older.
	Head []byte
}

// AskEntries asks a peer for the accepted entries behind a sequence.
type AskEntries struct {
	After uint64
}

// GiveEntries answers AskEntries.
type GiveEntries struct {
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
