package configuration

import (
	"sync/atomic"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// View is what is in force at one moment: a document, and beside it the one
// that a known proposal would make of it.
type View struct {
	Version  mimosatide.Version
	Document *Document
	// Proposed is nil when no proposal is known.
	Proposed *Document
}

// Store holds the view of a node. Reads take no lock.
type Store struct {
	view atomic.Pointer[View]
}

// NewStore returns a store with an empty document.
func NewStore() *Store {
	store := &Store{}
	store.view.Store(&View{Document: NewDocument()})
	return store
}

// View returns what is in force now.
func (store *Store) View() *View {
	return store.view.Load()
}

// Load puts a whole document in force, from a snapshot.
func (store *Store) Load(version mimosatide.Version, document *Document) {
	store.view.Store(&View{Version: version, Document: document})
}

// Apply puts accepted changes in force.
func (store *Store) Apply(version mimosatide.Version, changes []Change) error {
	document, err := store.View().Document.WithChanges(changes)
	if err != nil {
		return errors.Trace(err)
	}
	store.view.Store(&View{Version: version, Document: document})
	return nil
}

// Propose notes the changes of a proposal that may be accepted at any moment.
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

// Withdraw forgets a proposal that was rejected.
func (store *Store) Withdraw() {
	view := *store.View()
	view.Proposed = nil
	store.view.Store(&view)
}

// Authenticate returns the account of a key, or why the key is refused. A key
// must be good under the document in force and under a known proposal alike.
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
