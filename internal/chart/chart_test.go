package chart_test

import (
	"testing"

	"mimosatide.example/mimosatide/internal/chart"
)

const lightFile = `{"Name":"Light","Initial":"Off","Transitions":[
 {"Event":"Press","From":["Off"],"To":"On"},
 {"Event":"Press","From":["On"],"To":"Off"}]}`

func TestNextFollowsTransitionsOfFile(t *testing.T) {
	light := chart.MustLoad([]byte(lightFile))
	state := light.Next(light.Initial(), "Press")
	if state != "On" {
		t.Fatalf("state after Press = %s, want On", state)
	}
	if light.Can(state, "Smash") {
		t.Fatal("Can = true for an event that the file does not list, want false")
	}
}

func TestNextPanicsOnUndefinedTransition(t *testing.T) {
	light := chart.MustLoad([]byte(lightFile))
	defer func() {
		if recover() == nil {
			t.Fatal("Next returned for an undefined transition, want a panic")
		}
	}()
	light.Next(light.Initial(), "Smash")
}

func TestLoadRejectsDuplicateTransition(t *testing.T) {
	duplicate := `{"Name":"Light","Initial":"Off","Transitions":[
 {"Event":"Press","From":["Off"],"To":"On"},{"Event":"Press","From":["Off"],"To":"Off"}]}`
	if _, err := chart.Load([]byte(duplicate)); err == nil {
		t.Fatal("Load accepted two transitions for one event, want an error")
	}
}
