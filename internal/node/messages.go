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

// explainLimit bounds the wait for the other nodes' journals.
const explainLimit = time.Second

// receive hands a peer's message to the part that it is for.
func (node *Node) receive(from string, message any) {
	switch message := message.(type) {
	case fleet.Message:
		node.fleet.step(context.Background(), fleet.Received{From: from, Message: message})
	case limit.Ask:
		node.dispatch.TakeAsk(from, message)
	case limit.Give:
		node.dispatch.TakeGive(from, message)
	case limit.Return:
		node.dispatch.TakeReturn(from, message)
	case placement.Want:
		node.keeper.TakeWant(from, message)
	case placement.List:
		node.dispatch.TakeList(message)
	case placement.Stakes:
		node.keeper.TakeStakes(message)
	case placement.SlotFreed:
		node.keeper.TakeSlotFreed()
	case placement.AskHarmless:
		node.keeper.TakeAskHarmless(from, message)
	case placement.Harmless:
		node.keeper.TakeHarmless(from, message)
	case placement.AskEvict:
		node.keeper.TakeAskEvict(message)
	case placement.TargetLeaving:
		node.keeper.NoteLeaving(message.Target)
	case dispatch.Crash:
		node.dispatch.TakeCrash(message)
	case peer.AskJournal:
		node.hub.Send(from, peer.GiveJournal{ID: message.ID, Entries: node.journal.Get(message.Subject)})
	case peer.GiveJournal:
		node.takeJournal(from, message)
	}
}

type journalAnswer struct {
	from    string
	entries []journal.Entry
}

// Explain asks every live node what it decided about a subject.
func (node *Node) Explain(ctx context.Context, subject string) map[string][]journal.Entry {
	found := map[string][]journal.Entry{}
	if own := node.journal.Get(subject); len(own) > 0 {
		found[node.settings.Member.Address] = own
	}
	others := node.fleet.Others()
	id, answers := node.openAsk(len(others))
	defer node.closeAsk(id)
	for _, other := range others {
		node.hub.Send(other, peer.AskJournal{ID: id, Subject: subject})
	}
	timeout := time.After(explainLimit)
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

func (node *Node) openAsk(size int) (uint64, chan journalAnswer) {
	node.lock.Lock()
	defer node.lock.Unlock()
	node.lastAsk++
	answers := make(chan journalAnswer, size)
	node.asks[node.lastAsk] = answers
	return node.lastAsk, answers
}

func (node *Node) closeAsk(id uint64) {
	node.lock.Lock()
	defer node.lock.Unlock()
	delete(node.asks, id)
}

func (node *Node) takeJournal(from string, given peer.GiveJournal) {
	node.lock.Lock()
	defer node.lock.Unlock()
	answers, waiting := node.asks[given.ID]
	if !waiting {
		return
	}
	select {
	case answers <- journalAnswer{from: from, entries: given.Entries}:
	default:
	}
}

// noteHosts passes on which hosts are leaving and which are gone.
func (node *Node) noteHosts(hosts []mimosatide.Host) {
	leaving, present := map[string]bool{}, map[string]bool{}
	for _, host := range hosts {
		present[host.Name] = true
		leaving[host.Name] = host.State == mimosatide.HostLeaving
	}
	node.keeper.NoteHosts(leaving, node.lostHosts(present))
}

// lostHosts returns the hosts of targets that have been absent for longer than the list lags.
func (node *Node) lostHosts(present map[string]bool) map[string]bool {
	node.lock.Lock()
	defer node.lock.Unlock()
	now := node.clock.Now()
	lost := map[string]bool{}
	for _, spec := range node.store.View().Document.Targets() {
		if present[spec.Host] {
			delete(node.missing, spec.Host)
			continue
		}
		since, known := node.missing[spec.Host]
		if !known {
			node.missing[spec.Host] = now
			continue
		}
		lost[spec.Host] = now-since > node.settings.HostLag
	}
	return lost
}

// recordPatch keeps what became of a patch for the operators.
func (node *Node) recordPatch(asked fleet.PatchAsked, settled fleet.SettlePatch) {
	entry := journal.NewEntry(node.clock.Now(), "Patch"+string(settled.Outcome), "").
		With("Operator", asked.Operator).
		WithNumber("Base", uint64(asked.Base)).
		WithNumber("Version", uint64(settled.Version))
	node.journal.Add(asked.ID, entry)
	node.log.Info("patch settled", "patch", asked.ID, "operator", asked.Operator, "base", uint64(asked.Base),
		"outcome", string(settled.Outcome), "version", uint64(settled.Version))
}
