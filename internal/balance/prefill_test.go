package balance_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/pace"
)

var now = time.Unix(1_700_000_000, 0)

func engineQuery(promptTokens int) balance.Query {
	return balance.Query{Engine: true, Request: mimosatide.CallerRequest{Model: "m", PromptTokens: promptTokens}}
}

// Requests that slow no stream must not be deferred: short prompts, and requests to plain
// services, whatever their token count.
func TestOnlyLongPromptsOfEnginesCountAsLongPrefills(t *testing.T) {
	tracker := balance.New("a", pace.New(logr.Discard()))
	if !tracker.IsLongPrefill(engineQuery(9000), "e-1") || tracker.IsLongPrefill(engineQuery(500), "e-1") {
		t.Error("long prefill: want true for 9000 prompt tokens and false for 500")
	}
	if tracker.IsLongPrefill(balance.Query{Request: mimosatide.CallerRequest{PromptTokens: 9000}}, "d-1") {
		t.Error("long prefill: got true for a request to a plain service, want false")
	}
}

// Each node knows of the other nodes' prompts only from their reports. Without them, all
// nodes together would send more long prompts than the engine's streams allow. Reports of a
// node that stopped sending them must not block the slots for good.
func TestPrefillSlotsAreTakenByAllNodesUntilThePromptsAreRead(t *testing.T) {
	tracker := balance.New("a", pace.New(logr.Discard()))
	gap := 500 * time.Millisecond
	inFlight := tracker.Begin("e-1", engineQuery(9000), now)
	tracker.Begin("e-1", engineQuery(500), now)
	if slots := tracker.PrefillSlots("e-1", gap, now); slots.Free != 1 {
		t.Errorf("with a long and a short prompt in flight: got %+v, want 1 free slot", slots)
	}
	tracker.SetPeerLoads("other", map[string]balance.Load{"e-1": {Running: 3, LongPrefills: 2, Deferred: 4}}, now.Add(time.Second))
	if slots := tracker.PrefillSlots("e-1", gap, now); slots.Free != -1 || slots.Deferred != 4 || slots.SendProbability() != 0 {
		t.Errorf("with two long prompts of another node: got %+v, want -1 free, 4 deferred and send probability 0", slots)
	}
	inFlight.PrefillDone()
	if slots := tracker.PrefillSlots("e-1", gap, now.Add(2*time.Second)); slots.Free != 2 || slots.Deferred != 0 {
		t.Errorf("after the prompt was read and the other node's load expired: got %+v, want 2 free and 0 deferred", slots)
	}
}

// An engine with no slot at all would never get a long prompt before its deferral ends.
func TestShortGapObjectiveLeavesOnePrefillSlot(t *testing.T) {
	tracker := balance.New("a", pace.New(logr.Discard()))
	if slots := tracker.PrefillSlots("e-1", 50*time.Millisecond, now); slots.Free != 1 || slots.SendProbability() != 1 {
		t.Errorf("idle engine: got %+v, want 1 free slot and send probability 1", slots)
	}
}

// When a slot becomes free, the nodes with deferred requests learn of it at about the same
// time. If each sent a request, they would exceed the slots before they learn of each
// other's sends.
func TestSendProbabilityFallsWithRequestsDeferredOnOtherNodes(t *testing.T) {
	tracker := balance.New("a", pace.New(logr.Discard()))
	release := tracker.Defer("e-1")
	gap := 500 * time.Millisecond
	if probability := tracker.PrefillSlots("e-1", gap, now).SendProbability(); probability != 1 {
		t.Errorf("only deferred request: got send probability %v, want 1", probability)
	}
	tracker.SetPeerLoads("other", map[string]balance.Load{"e-1": {Deferred: 3}}, now.Add(time.Second))
	if probability := tracker.PrefillSlots("e-1", gap, now).SendProbability(); probability <= 0 || probability > 0.1 {
		t.Errorf("with three requests deferred on another node: got send probability %v, want above 0 and at most 0.1", probability)
	}
	if loads := tracker.Loads(); loads["e-1"].Deferred != 1 {
		t.Errorf("loads reported to the other nodes: got %v, want 1 deferred at e-1", loads)
	}
	release()
	if loads := tracker.Loads(); len(loads) != 0 {
		t.Errorf("loads after the request was sent: got %v, want none", loads)
	}
}

// TestLongPromptsWaitForEachOther guards against streams whose events are late because several long
// prompts are read between two of them: each alone would fit, and they have as many slots as they are.
func TestLongPromptsWaitForEachOther(t *testing.T) {
	tracker, gap := balance.New("a", pace.New(logr.Discard())), 600*time.Millisecond
	engine := mimosatide.Instance{ID: "e-1"}
	if !tracker.FitsGap(engineQuery(60_000), engine, gap, now) {
		t.Error("idle engine: got no room for a prompt, however long")
	}
	tracker.Begin("e-1", engineQuery(9000), now)
	if tracker.FitsGap(engineQuery(12_000), engine, gap, now) {
		t.Error("beside a prompt of 9,000 tokens: got room for another one of 12,000, want none")
	}
	if !tracker.FitsGap(engineQuery(4000), engine, gap, now) {
		t.Error("beside a prompt of 9,000 tokens: got no room for one of 4,000")
	}
	tracker.SetPeerLoads("other", map[string]balance.Load{"e-1": {Running: 1, LongPrefills: 1, Prefill: 200 * time.Millisecond}}, now.Add(time.Second))
	if tracker.FitsGap(engineQuery(4000), engine, gap, now) {
		t.Error("beside that and a prompt of another node: got room, want none")
	}
}
