package loading_test

import (
	"fmt"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/loading"
)

func class() mimosatide.EngineClass {
	models := map[string]mimosatide.EngineModel{}
	for _, name := range []string{"m0", "m1", "m2", "m3", "m4"} {
		models[name] = mimosatide.EngineModel{
			Name: name, MemoryMB: 70, LoadTime: 6 * time.Second, WarmLoadTime: 300 * time.Millisecond,
			DiskLoadTime: 450 * time.Millisecond, AdapterMemoryMB: 1,
		}
	}
	return mimosatide.EngineClass{MemoryMB: 160, AdapterSlots: 2, LoadsPerSecond: 2, Models: models}
}

func engine(id string, models ...string) loading.Engine {
	instance := mimosatide.Instance{ID: id}
	for _, model := range models {
		instance.Holdings = append(instance.Holdings, mimosatide.Holding{Model: model})
	}
	return loading.Engine{Instance: instance}
}

func picture(engines []loading.Engine, demand map[string]loading.ModelDemand) loading.Picture {
	return loading.Picture{
		Class: class(), Engines: engines, Demand: demand, Loading: map[string]int{},
		RemoteLoads: 1, Now: time.Unix(1_700_000_000, 0),
	}
}

var waiting = loading.ModelDemand{Waiting: true}

func TestWaitingModelGoesWhereItsWeightsAreNearest(t *testing.T) {
	engines := []loading.Engine{engine("e0"), engine("e1"), engine("e2")}
	engines[1].Instance.OnDisk = []string{"m0"}
	engines[2].Instance.OnDisk = []string{"m0"}
	engines[2].Instance.InMemory = []string{"m0"}
	steps := loading.Plan(picture(engines, map[string]loading.ModelDemand{"m0": waiting}))
	if len(steps) != 1 || steps[0].Instance != "e2" || steps[0].Tier != mimosatide.TierMemory {
		t.Errorf("steps: %+v", steps)
	}
}

func TestIdlestModelMakesWay(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m1", "m2")}
	demand := map[string]loading.ModelDemand{"m0": waiting, "m1": {Idle: 30 * time.Second}, "m2": {Idle: 5 * time.Second}}
	steps := loading.Plan(picture(engines, demand))
	if len(steps) != 1 || len(steps[0].Victims) != 1 || steps[0].Victims[0] != "m1" {
		t.Errorf("steps: %+v", steps)
	}
}

func TestModelInUseDoesNotMakeWay(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m1", "m2")}
	demand := map[string]loading.ModelDemand{"m0": waiting, "m1": {Idle: time.Second}, "m2": waiting}
	if steps := loading.Plan(picture(engines, demand)); len(steps) != 0 {
		t.Errorf("steps: %+v", steps)
	}
}

func TestModelIsNotPlacedTwice(t *testing.T) {
	engines := []loading.Engine{engine("e0"), engine("e1")}
	now := picture(engines, map[string]loading.ModelDemand{"m0": waiting})
	now.Loading["m0"] = 1
	if steps := loading.Plan(now); len(steps) != 0 {
		t.Errorf("steps: %+v", steps)
	}
}

func TestWeightStoresRateIsKept(t *testing.T) {
	engines := []loading.Engine{engine("e0"), engine("e1"), engine("e2")}
	demand := map[string]loading.ModelDemand{"m0": waiting, "m1": waiting, "m2": waiting}
	if steps := loading.Plan(picture(engines, demand)); len(steps) != 1 {
		t.Errorf("%d loads from the weight store where one was allowed", len(steps))
	}
}

func TestBusyModelGetsAnotherReplicaFromAnIdleOne(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m0", "m1"), engine("e1", "m2", "m3")}
	demand := map[string]loading.ModelDemand{
		"m0": {Prefill: 0.9}, "m1": {Idle: time.Minute}, "m2": {Idle: time.Minute}, "m3": {Idle: 2 * time.Minute},
	}
	steps := loading.Plan(picture(engines, demand))
	if len(steps) != 1 || steps[0].Model != "m0" || steps[0].Instance != "e1" || steps[0].Victims[0] != "m3" {
		t.Errorf("steps: %+v", steps)
	}
}

func TestOccupiedAndLeavingEnginesAreLeftAlone(t *testing.T) {
	engines := []loading.Engine{engine("e0"), engine("e1")}
	engines[0].Occupied = true
	engines[1].Instance.Leaving = true
	if steps := loading.Plan(picture(engines, map[string]loading.ModelDemand{"m0": waiting})); len(steps) != 0 {
		t.Errorf("steps: %+v", steps)
	}
}

func TestReplicaIsAddedEarlierWhereEnginesAreMany(t *testing.T) {
	for count, want := range map[int]int{2: 0, 60: 1} {
		engines := []loading.Engine{engine("e0", "m0")}
		for len(engines) < count {
			engines = append(engines, engine(fmt.Sprintf("e%d", len(engines))))
		}
		steps := loading.Plan(picture(engines, map[string]loading.ModelDemand{"m0": {Prefill: 0.28}}))
		if len(steps) != want {
			t.Errorf("%d engines: steps %+v", count, steps)
		}
	}
}

func TestModelWithACopyIsNotFetchedUnlessItIsWaitedForTooLong(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m1", "m2"), engine("e1")}
	engines[0].Instance.OnDisk = []string{"m0"}
	demand := map[string]loading.ModelDemand{"m0": waiting, "m1": {Idle: time.Second}, "m2": {Idle: time.Second}}
	if steps := loading.Plan(picture(engines, demand)); len(steps) != 0 {
		t.Errorf("6 s from the weight store instead of the engine's copy: %+v", steps)
	}
	demand["m0"] = loading.ModelDemand{Waiting: true, Waited: 2 * time.Second}
	if steps := loading.Plan(picture(engines, demand)); len(steps) != 1 {
		t.Errorf("steps for a model that is waited for too long: %+v", steps)
	}
}

func TestModelInUseMakesWayForOneWaitedForTooLong(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m1", "m2")}
	engines[0].Instance.OnDisk = []string{"m0"}
	demand := map[string]loading.ModelDemand{
		"m0": {Waiting: true, Waited: 2 * time.Second}, "m1": {Idle: 100 * time.Millisecond}, "m2": {Idle: time.Second},
	}
	steps := loading.Plan(picture(engines, demand))
	if len(steps) != 1 || steps[0].Victims[0] != "m2" {
		t.Errorf("steps: %+v", steps)
	}
}

func TestDemandTellsHowLongAModelIsWaitedFor(t *testing.T) {
	demand := loading.NewDemand()
	now := time.Unix(1_700_000_000, 0)
	for range 4 {
		demand.Need(loading.Need{Service: "s", Model: "m"}, now)
		now = now.Add(300 * time.Millisecond)
	}
	if waited := demand.Models(now)["m"].Waited; waited != 1200*time.Millisecond {
		t.Errorf("waited %s", waited)
	}
}

func TestBusyModelIsFetchedWhereOnlyItsHolderHasACopy(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m0"), engine("e1")}
	engines[0].Instance.OnDisk = []string{"m0"}
	steps := loading.Plan(picture(engines, map[string]loading.ModelDemand{"m0": {Prefill: 0.9}}))
	if len(steps) != 1 || steps[0].Instance != "e1" {
		t.Errorf("steps: %+v", steps)
	}
}
