package peer

import "mimosatide.example/mimosatide/internal/journal"

// AskJournal asks a node what it decided about a subject.
type AskJournal struct {
	ID      uint64
	Subject string
}

// GiveJournal answers AskJournal.
type GiveJournal struct {
	ID      uint64
	Entries []journal.Entry
}
