package chart_test

import (
	"testing"

	"mimosatide.example/mimosatide/internal/chart"
)

const lightFile = `{"Name":"Light","Initial":"Off","Transitions":[
 {"Event":"Press","From":["Off"],"To":"On"},
 {"Event":"Press","From":["On"],"To":"Off"}]}`

func TestChartFollowsItsFile(t *testing.T) {
	light := chart.MustLoad([]byte(lightFile))
	state := light.Next(light.Initial(), "Press")
	if state != "On" {
		t.Fatalf("state is %s", state)
	}
	if light.Can(state, "Smash") {
		t.Fatal("an event that the file doesn't name is allowed")
	}
}

func TestChartPanicsOnUndefinedTransition(t *testing.T) {
	light := chart.MustLoad([]byte(lightFile))
	defer func() {
		if recover() == nil {
			t.Fatal("an undefined transition went through")
		}
	}()
	light.Next(light.Initial(), "Smash")
}

func TestLoadRefusesDoubleTransition(t *testing.T) {
	twice := `{"Name":"Light","Initial":"Off","Transitions":[
 {"Event":"Press","From":["Off"],"To":"On"},{"Event":"Press","From":["Off"],"To":"Off"}]}`
	if _, err := chart.Load([]byte(twice)); err == nil {
		t.Fatal("two transitions for one event were accepted")
	}
}
