package peer

import "mimosatide.example/mimosatide/internal/journal"

// AskJournal asks a node for its journal entries on a subject.
type AskJournal struct {
	// ID is chosen by the asking node and returned in the answer.
	ID      uint64
	Subject string
}

// GiveJournal answers the AskJournal message with the same ID.
type GiveJournal struct {
	ID      uint64
	Entries []journal.Entry
}
