package node

import (
	"context"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/dispatch"
	"mimosatide.example/mimosatide/internal/fleet"
	"mimosatide.example/mimosatide/internal/journal"
	"mimosatide.example/mimosatide/internal/limit"
	"mimosatide.example/mimosatide/internal/peer"
	"mimosatide.example/mimosatide/internal/placement"
)

// explainTimeout bounds the wait for journal entries of the other nodes.
const explainTimeout = time.Second

// receive passes a message of a peer to the component that handles it.
func (node *Node) receive(from string, message any) {
	switch message := message.(type) {
	case fleet.Message:
		node.fleet.step(context.Background(), fleet.Received{From: from, Message: message})
	case limit.LoanRequest:
		node.dispatch.HandleLoanRequest(from, message)
	case limit.LoanGrant:
		node.dispatch.HandleLoanGrant(from, message)
	case limit.LoanReturn:
		node.dispatch.HandleLoanReturn(from, message)
	case placement.DemandReport:
		node.controller.HandleDemandReport(from, message)
	case placement.ModelPlacements:
		node.dispatch.HandleModelPlacements(message)
	case placement.Stakes:
		node.controller.HandleStakes(message)
	case placement.SlotFreed:
		node.controller.HandleSlotFreed()
	case placement.QuiesceRequest:
		node.controller.HandleQuiesceRequest(from, message)
	case placement.QuiesceConfirmation:
		node.controller.HandleQuiesceConfirmation(from, message)
	case placement.EvictRequest:
		node.controller.HandleEvictRequest(message)
	case placement.TargetLeaving:
		node.controller.NoteLeaving(message.Target)
	case dispatch.CrashReport:
		node.dispatch.HandleCrashReport(message)
	case peer.JournalRequest:
		node.hub.Send(from, peer.JournalResponse{ID: message.ID, Entries: node.journal.Get(message.Subject)})
	case peer.JournalResponse:
		node.receiveJournal(from, message)
	}
}

// journalAnswer is the answer of one node to a journal request.
type journalAnswer struct {
	from    string
	entries []journal.Entry
}

// Explain returns the journal entries on a subject by node address. It asks every live node, waits
// at most explainTimeout, and leaves out nodes that did not answer or have no entries.
func (node *Node) Explain(ctx context.Context, subject string) map[string][]journal.Entry {
	found := map[string][]journal.Entry{}
	if own := node.journal.Get(subject); len(own) > 0 {
		found[node.settings.Member.Address] = own
	}
	others := node.fleet.Others()
	id, answers := node.openJournalRequest(len(others))
	defer node.closeJournalRequest(id)
	for _, other := range others {
		node.hub.Send(other, peer.JournalRequest{ID: id, Subject: subject})
	}
	timeout := time.After(explainTimeout)
	for range others {
		select {
		case answer := <-answers:
			if len(answer.entries) > 0 {
				found[answer.from] = answer.entries
			}
		case <-timeout:
			return found
		case <-ctx.Done():
			return found
		}
	}
	return found
}

// openJournalRequest registers a journal request with room for size answers and returns its ID.
func (node *Node) openJournalRequest(size int) (uint64, chan journalAnswer) {
	node.lock.Lock()
	defer node.lock.Unlock()
	node.lastJournalRequest++
	answers := make(chan journalAnswer, size)
	node.journalRequests[node.lastJournalRequest] = answers
	return node.lastJournalRequest, answers
}

func (node *Node) closeJournalRequest(id uint64) {
	node.lock.Lock()
	defer node.lock.Unlock()
	delete(node.journalRequests, id)
}

// receiveJournal passes a node's answer to the request that waits for it, if there still is one.
func (node *Node) receiveJournal(from string, message peer.JournalResponse) {
	node.lock.Lock()
	defer node.lock.Unlock()
	answers, waiting := node.journalRequests[message.ID]
	if !waiting {
		return
	}
	select {
	case answers <- journalAnswer{from: from, entries: message.Entries}:
	default:
	}
}

// updateHosts passes the leaving and the lost hosts of a host list to the placement controller.
func (node *Node) updateHosts(hosts []mimosatide.Host) {
	leaving, present := map[string]bool{}, map[string]bool{}
	for _, host := range hosts {
		present[host.Name] = true
		leaving[host.Name] = host.State == mimosatide.HostLeaving
	}
	node.controller.UpdateHosts(leaving, node.lostHosts(present))
}

// lostHosts returns the hosts of targets that have been absent from the host list for longer than
// Settings.HostLag.
func (node *Node) lostHosts(present map[string]bool) map[string]bool {
	node.lock.Lock()
	defer node.lock.Unlock()
	now := node.clock.Now()
	lost := map[string]bool{}
	for _, spec := range node.store.View().Document.Targets() {
		if present[spec.Host] {
			delete(node.absentSince, spec.Host)
			continue
		}
		since, known := node.absentSince[spec.Host]
		if !known {
			node.absentSince[spec.Host] = now
			continue
		}
		lost[spec.Host] = now-since > node.settings.HostLag
	}
	return lost
}

// recordPatch records the outcome of a patch in the journal and the log.
func (node *Node) recordPatch(patch fleet.PatchRequested, result fleet.PatchResult) {
	entry := journal.NewEntry(node.clock.Now(), "Patch"+string(result.Outcome), "").
		With("Operator", patch.Operator).
		WithNumber("Base", uint64(patch.Base)).
		WithNumber("Version", uint64(result.Version))
	node.journal.Add(patch.ID, entry)
	node.log.Info("patch settled", "patch", patch.ID, "operator", patch.Operator, "base", uint64(patch.Base),
		"outcome", string(result.Outcome), "version", uint64(result.Version))
}
