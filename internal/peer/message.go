package peer

import "mimosatide.example/mimosatide/internal/journal"

// JournalRequest asks a node for its journal entries on a subject.
type JournalRequest struct {
	// ID is chosen by the asking node and returned in the answer.
	ID      uint64
	Subject string
}

// JournalResponse answers the JournalRequest with the same ID.
type JournalResponse struct {
	ID      uint64
	Entries []journal.Entry
}
