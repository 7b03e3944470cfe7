package balance_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/pace"
)

// TestChoiceCountsTheGapsThatARequestSeesAndCauses guards against streams with late events because long
// prompts are sent to the engine that has their prefix cached, whatever it streams, and questions to
// engines that read several long prompts; and against prompts that leave their prefix for no stream's sake.
func TestChoiceCountsTheGapsThatARequestSeesAndCauses(t *testing.T) {
	draft := balance.Query{Engine: true, Request: mimosatide.CallerRequest{
		Model: "m", PromptTokens: 9190, Parts: []mimosatide.PromptPart{{ID: "shared", Tokens: 6300}, {ID: "own", Tokens: 2890}},
	}}
	question := engineQuery(826)
	engines := []mimosatide.Instance{{ID: "e-1", Zone: "a"}, {ID: "e-2", Zone: "a"}}
	usual, _, _ := balance.New("a", pace.New(logr.Discard())).Choose(draft, engines, now)
	other := engines[0]
	if usual.ID == other.ID {
		other = engines[1]
	}
	load := func(streams, prompts int, prefill time.Duration) balance.Load {
		return balance.Load{Running: streams + prompts, LongPrefills: prompts, Prefill: prefill}
	}
	const cached, uncached = 72 * time.Millisecond, 230 * time.Millisecond
	for name, test := range map[string]struct {
		query            balance.Query
		atUsual, atOther balance.Load
		objective        time.Duration
		failed, leaves   bool
	}{
		"draft beside many streams":     {query: draft, atUsual: load(20, 1, cached), atOther: load(2, 1, cached), objective: 500 * time.Millisecond, leaves: true},
		"no objective":                  {query: draft, atUsual: load(20, 1, cached), atOther: load(2, 1, cached)},
		"draft beside few streams":      {query: draft, atUsual: load(2, 1, cached), atOther: load(2, 0, 0), objective: 500 * time.Millisecond},
		"draft at an engine that idles": {query: draft, atUsual: load(7, 0, 0), objective: 500 * time.Millisecond},
		"question beside long prompts":  {query: question, atUsual: load(7, 3, 3*cached), atOther: load(7, 1, uncached), objective: 500 * time.Millisecond, leaves: true},
		"question, no objective":        {query: question, atUsual: load(7, 3, 3*cached), atOther: load(7, 1, uncached)},
		"question beside many streams":  {query: question, atUsual: load(60, 0, 0), atOther: load(30, 0, 40*time.Millisecond), objective: 500 * time.Millisecond, leaves: true},
		"the other engine fails":        {query: draft, atUsual: load(60, 9, 9*cached), objective: 500 * time.Millisecond, failed: true},
	} {
		tracker := balance.New("a", pace.New(logr.Discard()))
		if test.failed {
			tracker.Begin(other.ID, engineQuery(1), now).End(balance.Failed, now)
		}
		tracker.SetPeerLoads("peer", map[string]balance.Load{usual.ID: test.atUsual, other.ID: test.atOther}, now.Add(time.Second))
		test.query.GapObjective = test.objective
		chosen, _, _ := tracker.Choose(test.query, engines, now)
		if got := chosen.ID != usual.ID; got != test.leaves {
			t.Errorf("%s: left its usual engine: got %v, want %v; estimates %+v", name, got, test.leaves, tracker.Explain(test.query, engines, now))
		}
	}
}
