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

// PatchRequested is an operator's patch, already validated against the version Base.
type PatchRequested struct {
	ID       string
	Operator string
	Base     mimosatide.Version
	Changes  []byte
}

// HostsListed is the platform's present list of hosts.
type HostsListed struct {
	Hosts []mimosatide.Host
}

// LeaveRequested starts the release of the node's shares, lease and membership.
type LeaveRequested struct{}

func (Tick) isEvent()           {}
func (TableRead) isEvent()      {}
func (TableCommitted) isEvent() {}
func (Received) isEvent()       {}
func (PatchRequested) isEvent() {}
func (HostsListed) isEvent()    {}
func (LeaveRequested) isEvent() {}

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

// PatchResult is the result of a PatchRequested.
type PatchResult struct {
	ID      string
	Outcome PatchOutcome
	// Version is the patch's own version if it was accepted, otherwise the newest known one.
	Version mimosatide.Version
}

// ReportShares reports how many shares the node holds.
type ReportShares struct {
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
func (PatchResult) isEffect()  {}
func (ReportShares) isEffect() {}
func (Left) isEffect()         {}
func (LoadSnapshot) isEffect() {}

// PatchOutcome says how a patch ended.
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

// Ping asks a peer for a HeadReport.
type Ping struct {
	Round uint64
	// Row is the newest head that the sender knows.
	Row mimosatide.RowVersion
}

// HeadReport reports which head its sender knows.
type HeadReport struct {
	// Round is that of the Ping or HeadPush that is answered.
	Round uint64
	Row   mimosatide.RowVersion
	// Host is the sender's host.
	Host string
	// Head is the encoded head if the receiver's is older.
	Head []byte
}

// HeadPush sends a peer a new head and asks it for a HeadReport.
type HeadPush struct {
	Round uint64
	Row   mimosatide.RowVersion
	Head  []byte
}

// SilentReport reports that a member watched by the sender does not answer.
type SilentReport struct {
	Address string
}

// ReadRequest asks a relay to read the head from the table.
type ReadRequest struct {
	Round uint64
	// Row is the newest head that the sender knows.
	Row mimosatide.RowVersion
}

// ReadResponse answers a ReadRequest with the result of a read that was begun after the request arrived.
type ReadResponse struct {
	Round uint64
	Row   mimosatide.RowVersion
	// Head is the encoded head if the receiver's is older.
	Head []byte
}

// EntriesRequest asks a peer for the accepted entries after a sequence.
type EntriesRequest struct {
	After uint64
}

// EntriesResponse answers an EntriesRequest with consecutive entries.
type EntriesResponse struct {
	// First is the sequence of the first entry.
	First   uint64
	Entries [][]byte
}

func (Ping) isMessage()            {}
func (HeadReport) isMessage()      {}
func (HeadPush) isMessage()        {}
func (SilentReport) isMessage()    {}
func (ReadRequest) isMessage()     {}
func (ReadResponse) isMessage()    {}
func (EntriesRequest) isMessage()  {}
func (EntriesResponse) isMessage() {}
