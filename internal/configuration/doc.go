// Package configuration holds the document that operators change by patches:
// client accounts, keys, models with their adapters, routes and targets.
//
// A document is immutable. A patch is checked against one version of it and is
// converted to a list of changes, each of which replaces or deletes one entity;
// nodes exchange and apply only changes.
//
// # Usage
//
//	changes, faults := configuration.Patch(document, configuration.MergePatch, body)
//	if len(faults) == 0 {
//		document, err = document.WithChanges(changes)
//	}
//	account, reason := store.View().Authenticate(digest)
package configuration
