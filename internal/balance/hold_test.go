package balance_test

import (
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
)

var now = time.Unix(1_700_000_000, 0)

func prompt(tokens int) balance.Query {
	return balance.Query{Engine: true, Entry: mimosatide.Entry{Model: "m", PromptTokens: tokens}}
}

func TestShortPromptsAndPlainServicesAreNotHeldBack(t *testing.T) {
	tracker := balance.New("a")
	if !tracker.Long(prompt(9000), "e-1") || tracker.Long(prompt(500), "e-1") {
		t.Error("the length of a prompt does not decide")
	}
	if tracker.Long(balance.Query{Entry: mimosatide.Entry{PromptTokens: 9000}}, "d-1") {
		t.Error("a request for a plain service is held back")
	}
}

func TestPlacesAreTakenByPromptsOfAllNodesUntilTheyAreRead(t *testing.T) {
	tracker := balance.New("a")
	gap := 500 * time.Millisecond
	first := tracker.Begin("e-1", prompt(9000), now)
	tracker.Begin("e-1", prompt(500), now)
	if room := tracker.Room("e-1", gap, now); room.Free != 1 {
		t.Errorf("room %+v beside a long prompt and a short one", room)
	}
	tracker.Hear("other", map[string]balance.Load{"e-1": {Running: 3, Reading: 2, Waiting: 4}}, now.Add(time.Second))
	if room := tracker.Room("e-1", gap, now); room.Free != -1 || room.Waiting != 4 || room.Chance() != 0 {
		t.Errorf("room %+v beside another node's prompts", room)
	}
	first.Answered()
	if room := tracker.Room("e-1", gap, now.Add(2*time.Second)); room.Free != 2 || room.Waiting != 0 {
		t.Errorf("room %+v after the prompt was read and the other node fell silent", room)
	}
}

func TestShortPauseLeavesOnePlace(t *testing.T) {
	tracker := balance.New("a")
	if room := tracker.Room("e-1", 50*time.Millisecond, now); room.Free != 1 || room.Chance() != 1 {
		t.Errorf("room %+v at an idle engine", room)
	}
}

func TestRequestsThatWaitOnSeveralNodesDraw(t *testing.T) {
	tracker := balance.New("a")
	release := tracker.Hold("e-1")
	gap := 500 * time.Millisecond
	if chance := tracker.Room("e-1", gap, now).Chance(); chance != 1 {
		t.Errorf("chance %v of the only request that waits", chance)
	}
	tracker.Hear("other", map[string]balance.Load{"e-1": {Waiting: 3}}, now.Add(time.Second))
	if chance := tracker.Room("e-1", gap, now).Chance(); chance <= 0 || chance > 0.1 {
		t.Errorf("chance %v beside three requests on another node", chance)
	}
	if loads := tracker.Loads(); loads["e-1"].Waiting != 1 {
		t.Errorf("loads %v: the other nodes do not learn of the request", loads)
	}
	release()
	if loads := tracker.Loads(); len(loads) != 0 {
		t.Errorf("loads %v after the request was sent", loads)
	}
}
