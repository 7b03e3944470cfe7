package configuration

import (
	"sync/atomic"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// View is the configuration in force and, if a proposal is pending, the document
// that would result from accepting it.
type View struct {
	Version  mimosatide.Version
	Document *Document
	// Proposed is nil if no proposal is pending.
	Proposed *Document
}

// Store holds the configuration that a node has in force. Reads take no lock; calls
// that change the view must not run concurrently.
type Store struct {
	view atomic.Pointer[View]
}

// NewStore returns a store with an empty document.
func NewStore() *Store {
	store := &Store{}
	store.view.Store(&View{Document: NewDocument()})
	return store
}

// View returns the current view.
func (store *Store) View() *View {
	return store.view.Load()
}

// Load puts a whole document in force, such as one read from a snapshot, and drops
// a pending proposal.
func (store *Store) Load(version mimosatide.Version, document *Document) {
	store.view.Store(&View{Version: version, Document: document})
}

// Apply puts accepted changes in force and drops a pending proposal.
func (store *Store) Apply(version mimosatide.Version, changes []Change) error {
	document, err := store.View().Document.WithChanges(changes)
	if err != nil {
		return errors.Trace(err)
	}
	store.view.Store(&View{Version: version, Document: document})
	return nil
}

// Propose sets the pending proposal, which may be accepted before this node learns of it.
func (store *Store) Propose(changes []Change) error {
	view := *store.View()
	proposed, err := view.Document.WithChanges(changes)
	if err != nil {
		return errors.Trace(err)
	}
	view.Proposed = proposed
	store.view.Store(&view)
	return nil
}

// DropProposal drops the pending proposal.
func (store *Store) DropProposal() {
	view := *store.View()
	view.Proposed = nil
	store.view.Store(&view)
}

// Authenticate returns the account of a key, or the reason for which the key is
// refused. A key must be valid both in the document in force and in the proposed one.
func (view *View) Authenticate(digest mimosatide.KeyDigest) (mimosatide.Account, mimosatide.Reason) {
	account, reason := view.Document.authenticate(digest)
	if reason != "" || view.Proposed == nil {
		return account, reason
	}
	_, reason = view.Proposed.authenticate(digest)
	return account, reason
}

func (document *Document) authenticate(digest mimosatide.KeyDigest) (mimosatide.Account, mimosatide.Reason) {
	key, found := document.keys[digest]
	if !found {
		return mimosatide.Account{}, mimosatide.ReasonUnknownKey
	}
	if key.Withdrawn {
		return mimosatide.Account{}, mimosatide.ReasonKeyWithdrawn
	}
	account, found := document.accounts[key.Account]
	if !found {
		return mimosatide.Account{}, mimosatide.ReasonUnknownKey
	}
	return account, ""
}
