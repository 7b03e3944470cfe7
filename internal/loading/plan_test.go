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

func snapshot(engines []loading.Engine, demand map[string]loading.ModelDemand) loading.Snapshot {
	return loading.Snapshot{
		Class: class(), Engines: engines, Demand: demand, Loading: map[string]int{},
		RemoteLoadsToStart: 1, Now: time.Unix(1_700_000_000, 0),
	}
}

var waiting = loading.ModelDemand{Waiting: true}

func TestWaitingModelIsLoadedFromNearestTier(t *testing.T) {
	engines := []loading.Engine{engine("e0"), engine("e1"), engine("e2")}
	engines[1].Instance.OnDisk = []string{"m0"}
	engines[2].Instance.OnDisk = []string{"m0"}
	engines[2].Instance.InMemory = []string{"m0"}
	steps := loading.Plan(snapshot(engines, map[string]loading.ModelDemand{"m0": waiting}))
	if len(steps) != 1 || steps[0].Instance != "e2" || steps[0].Tier != mimosatide.TierMemory {
		t.Errorf("got steps %+v, want one on e2 from memory", steps)
	}
}

func TestIdlestModelIsEvicted(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m1", "m2")}
	demand := map[string]loading.ModelDemand{"m0": waiting, "m1": {Idle: 30 * time.Second}, "m2": {Idle: 5 * time.Second}}
	steps := loading.Plan(snapshot(engines, demand))
	if len(steps) != 1 || len(steps[0].Victims) != 1 || steps[0].Victims[0] != "m1" {
		t.Errorf("got steps %+v, want one that evicts m1", steps)
	}
}

func TestModelInUseIsNotEvicted(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m1", "m2")}
	demand := map[string]loading.ModelDemand{"m0": waiting, "m1": {Idle: time.Second}, "m2": waiting}
	if steps := loading.Plan(snapshot(engines, demand)); len(steps) != 0 {
		t.Errorf("got steps %+v, want none", steps)
	}
}

func TestModelIsNotPlacedTwice(t *testing.T) {
	engines := []loading.Engine{engine("e0"), engine("e1")}
	input := snapshot(engines, map[string]loading.ModelDemand{"m0": waiting})
	input.Loading["m0"] = 1
	if steps := loading.Plan(input); len(steps) != 0 {
		t.Errorf("got steps %+v, want none", steps)
	}
}

// TestLongestWaitingModelIsLoadedFirst guards against models that are never loaded while the
// weight store is busy, because of their names.
func TestLongestWaitingModelIsLoadedFirst(t *testing.T) {
	engines := []loading.Engine{engine("e0"), engine("e1")}
	demand := map[string]loading.ModelDemand{
		"m0": {Waiting: true, Waited: 100 * time.Millisecond},
		"m3": {Waiting: true, Waited: 900 * time.Millisecond},
	}
	if steps := loading.Plan(snapshot(engines, demand)); len(steps) != 1 || steps[0].Model != "m3" {
		t.Errorf("got steps %+v, want one that loads m3", steps)
	}
}

func TestPlanStartsNoMoreRemoteLoadsThanAllowed(t *testing.T) {
	engines := []loading.Engine{engine("e0"), engine("e1"), engine("e2")}
	demand := map[string]loading.ModelDemand{"m0": waiting, "m1": waiting, "m2": waiting}
	if steps := loading.Plan(snapshot(engines, demand)); len(steps) != 1 {
		t.Errorf("got %d loads from the weight store, want 1", len(steps))
	}
}

func TestBusyModelGetsReplicaInPlaceOfIdleModel(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m0", "m1"), engine("e1", "m2", "m3")}
	demand := map[string]loading.ModelDemand{
		"m0": {PrefillLoad: 0.9}, "m1": {Idle: time.Minute}, "m2": {Idle: time.Minute}, "m3": {Idle: 2 * time.Minute},
	}
	steps := loading.Plan(snapshot(engines, demand))
	if len(steps) != 1 || steps[0].Model != "m0" || steps[0].Instance != "e1" || steps[0].Victims[0] != "m3" {
		t.Errorf("got steps %+v, want one that loads m0 on e1 and evicts m3", steps)
	}
}

func TestOccupiedAndLeavingEnginesAreNotUsed(t *testing.T) {
	engines := []loading.Engine{engine("e0"), engine("e1")}
	engines[0].Occupied = true
	engines[1].Instance.Leaving = true
	if steps := loading.Plan(snapshot(engines, map[string]loading.ModelDemand{"m0": waiting})); len(steps) != 0 {
		t.Errorf("got steps %+v, want none", steps)
	}
}

func TestReplicaThresholdIsLowerWithManyEngines(t *testing.T) {
	for count, want := range map[int]int{2: 0, 60: 1} {
		engines := []loading.Engine{engine("e0", "m0")}
		for len(engines) < count {
			engines = append(engines, engine(fmt.Sprintf("e%d", len(engines))))
		}
		steps := loading.Plan(snapshot(engines, map[string]loading.ModelDemand{"m0": {PrefillLoad: 0.28}}))
		if len(steps) != want {
			t.Errorf("%d engines: got steps %+v, want none with 2 engines and one with 60", count, steps)
		}
	}
}

func TestModelWithCopyIsFetchedRemotelyOnlyWhenUrgent(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m1", "m2"), engine("e1")}
	engines[0].Instance.OnDisk = []string{"m0"}
	demand := map[string]loading.ModelDemand{"m0": waiting, "m1": {Idle: time.Second}, "m2": {Idle: time.Second}}
	if steps := loading.Plan(snapshot(engines, demand)); len(steps) != 0 {
		t.Errorf("got steps %+v, want none, as e0 has a copy and a load from the weight store takes 6 s", steps)
	}
	demand["m0"] = loading.ModelDemand{Waiting: true, Waited: 2 * time.Second}
	if steps := loading.Plan(snapshot(engines, demand)); len(steps) != 1 {
		t.Errorf("got steps %+v for an urgent model, want one", steps)
	}
}

func TestModelInUseIsEvictedForUrgentModel(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m1", "m2")}
	engines[0].Instance.OnDisk = []string{"m0"}
	demand := map[string]loading.ModelDemand{
		"m0": {Waiting: true, Waited: 2 * time.Second}, "m1": {Idle: 100 * time.Millisecond}, "m2": {Idle: time.Second},
	}
	steps := loading.Plan(snapshot(engines, demand))
	if len(steps) != 1 || steps[0].Victims[0] != "m2" {
		t.Errorf("got steps %+v, want one that evicts m2", steps)
	}
}

func TestDemandReportsHowLongRequestsWaitForModel(t *testing.T) {
	demand := loading.NewDemand()
	now := time.Unix(1_700_000_000, 0)
	for range 4 {
		demand.AddNeed(loading.Need{Service: "s", Model: "m"}, true, now)
		now = now.Add(300 * time.Millisecond)
	}
	if waited := demand.Models(now)["m"].Waited; waited != 1200*time.Millisecond {
		t.Errorf("got waited %s, want 1.2s", waited)
	}
}

func TestBusyModelIsFetchedRemotelyWhenOnlyItsHolderHasCopy(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m0"), engine("e1")}
	engines[0].Instance.OnDisk = []string{"m0"}
	steps := loading.Plan(snapshot(engines, map[string]loading.ModelDemand{"m0": {PrefillLoad: 0.9}}))
	if len(steps) != 1 || steps[0].Instance != "e1" {
		t.Errorf("got steps %+v, want one on e1", steps)
	}
}

// TestBusyModelGetsItsReplicasOnEnginesWithoutALimit guards against requests that are
// refused because the holders of their model limit their requests, while other engines
// could hold it.
func TestBusyModelGetsItsReplicasOnEnginesWithoutALimit(t *testing.T) {
	limited, free := engine("e0", "m0"), engine("e1", "m1", "m2")
	free.Instance.OnDisk = []string{"m0"}
	other := engine("e2")
	other.Limited, other.Instance.InMemory = true, []string{"m0"}
	demand := map[string]loading.ModelDemand{
		"m0": {PrefillLoad: 0.2}, "m1": {PrefillLoad: 0.05}, "m2": {PrefillLoad: 0.01, Idle: 3 * time.Second},
	}
	for _, isLimited := range []bool{false, true} {
		limited.Limited = isLimited
		steps := loading.Plan(snapshot([]loading.Engine{limited, free, other}, demand))
		if !isLimited && len(steps) != 0 {
			t.Errorf("at a holder without a limit: got steps %+v, want none", steps)
		}
		if isLimited && (len(steps) != 1 || steps[0].Instance != "e1" || steps[0].Model != "m0") {
			t.Errorf("at a holder with a limit: got steps %+v, want m0 on e1", steps)
		}
	}
	limited.Limited = true
	if steps := loading.Plan(snapshot([]loading.Engine{limited, other}, map[string]loading.ModelDemand{"m1": waiting})); len(steps) != 1 {
		t.Errorf("a model without a replica beside limited engines only: got steps %+v, want one", steps)
	}
}

// A model that many requests have found missing must not wait behind one that was asked for
// last, or it is never loaded while the weight store is busy.
func TestOftenRefusedModelIsLoadedBeforeOneAskedForOnce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	demand := loading.NewDemand()
	for second := range 6 {
		demand.AddNeed(loading.Need{Service: "s", Model: "m3"}, true, now.Add(time.Duration(second)*2*time.Second))
	}
	now = now.Add(14 * time.Second)
	demand.AddNeed(loading.Need{Service: "s", Model: "m0"}, true, now.Add(-time.Second))
	demand.AddNeed(loading.Need{Service: "s", Model: "m0"}, false, now)
	demand.Needs(now)
	input := snapshot([]loading.Engine{engine("e0"), engine("e1")}, demand.Models(now))
	if steps := loading.Plan(input); len(steps) != 1 || steps[0].Model != "m3" {
		t.Errorf("got steps %+v, want one that loads m3, which was refused six times", steps)
	}
}

// A further replica of a busy model must not take the weight store's place of a model that was
// refused a moment ago and that nobody can use yet.
func TestBusyModelLeavesTheWeightStoreToMissingModels(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	demand := loading.NewDemand()
	demand.AddNeed(loading.Need{Service: "s", Model: "m1"}, true, now.Add(-5*time.Second))
	demand.Needs(now)
	models := demand.Models(now)
	models["m0"] = loading.ModelDemand{PrefillLoad: 0.9}
	steps := loading.Plan(snapshot([]loading.Engine{engine("e0", "m0"), engine("e1"), engine("e2")}, models))
	if len(steps) != 1 || steps[0].Model != "m1" {
		t.Errorf("got steps %+v, want one that loads m1", steps)
	}
}

// A model that is found missing once is forgotten in time, so that an idle model is not loaded
// for nobody.
func TestRefusedRequestsAreForgotten(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	demand := loading.NewDemand()
	demand.AddNeed(loading.Need{Service: "s", Model: "m0"}, true, now)
	if models := demand.Models(now.Add(time.Minute)); models["m0"].Asked != 0 {
		t.Errorf("a minute after one request: got %+v, want nothing asked", models["m0"])
	}
}

// An engine with a copy is loading another model and will be free before the weight store could
// deliver the model once more, in the place of one that no engine has a copy of.
func TestModelIsNotFetchedAgainWhileItsCopyIsAboutToBeUsable(t *testing.T) {
	engines := []loading.Engine{engine("e0"), engine("e1")}
	engines[0].Occupied, engines[0].FreeIn = true, 4*time.Second
	engines[0].Instance.OnDisk = []string{"m0"}
	demand := map[string]loading.ModelDemand{"m0": {Waiting: true, Waited: 2 * time.Second, Asked: 5}}
	if steps := loading.Plan(snapshot(engines, demand)); len(steps) != 0 {
		t.Errorf("got steps %+v, want none: e0 is free in 4 s, a load from the weight store takes 6 s", steps)
	}
	engines[0].FreeIn = 0
	if steps := loading.Plan(snapshot(engines, demand)); len(steps) != 1 {
		t.Errorf("got steps %+v, want one, as nothing says when e0 is free", steps)
	}
}

// aheadSnapshot has 20 models, of which no engine has m19, and two places at the weight store.
func aheadSnapshot(demand map[string]loading.ModelDemand) loading.Snapshot {
	models := map[string]mimosatide.EngineModel{}
	engines := []loading.Engine{engine("e0", "m00", "m01"), engine("e1", "m00", "m02")}
	for index := range 20 {
		name := fmt.Sprintf("m%02d", index)
		models[name] = mimosatide.EngineModel{Name: name, MemoryMB: 70, LoadTime: 6 * time.Second, DiskLoadTime: 450 * time.Millisecond}
		if index < 19 {
			engines[1].Instance.OnDisk = append(engines[1].Instance.OnDisk, name)
		}
	}
	input := snapshot(engines, demand)
	input.Class.Models, input.RemoteLoadsToStart, input.LoadAhead, input.Quiet = models, 2, true, len(demand) == 0
	return input
}

// The weight store has nothing to do before the first requests come. A model that no engine has
// a copy of must not wait for them: their callers leave before it is loaded.
func TestModelWithoutCopyIsLoadedWhileTheWeightStoreIsIdle(t *testing.T) {
	steps := loading.Plan(aheadSnapshot(nil))
	if len(steps) != 1 || steps[0].Model != "m19" || steps[0].Instance != "e1" && steps[0].Victims[0] != "m00" {
		t.Errorf("got steps %+v, want one that loads m19 in place of a model with a copy or another replica", steps)
	}
}

func TestModelIsNotLoadedAheadOfDemand(t *testing.T) {
	demand := map[string]loading.ModelDemand{"m00": {}, "m01": {}, "m02": {}, "m03": {Waiting: true}}
	for _, step := range loading.Plan(aheadSnapshot(demand)) {
		if step.Model == "m19" {
			t.Errorf("got step %+v, want none for m19 while requests wait for m03 and all others are in use", step)
		}
	}
	input := aheadSnapshot(nil)
	input.Engines[1].Instance.OnDisk = input.Engines[1].Instance.OnDisk[:10]
	if steps := loading.Plan(input); len(steps) != 0 {
		t.Errorf("got steps %+v, want none: half of the models have no copy, and nothing says which will be asked for", steps)
	}
	input = aheadSnapshot(map[string]loading.ModelDemand{"m00": {Idle: time.Minute}})
	input.RemoteLoadsToStart = 1
	if steps := loading.Plan(input); len(steps) != 0 {
		t.Errorf("got steps %+v, want none: the last place is kept for the next request", steps)
	}
}

// A stream that is taken up waits for its model at the version that began it. The replica of
// another version is no use to it.
func TestModelIsLoadedAtTheVersionThatAStreamNeeds(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m0"), engine("e1"), engine("e2")}
	engines[0].Instance.Software, engines[1].Instance.Software, engines[2].Instance.Software = "v2", "v2", "v1"
	now := time.Unix(1_700_000_000, 0)
	demand := loading.NewDemand()
	demand.AddNeed(loading.Need{Service: "s", Model: "m0", Software: "v1"}, true, now)
	steps := loading.Plan(snapshot(engines, demand.Models(now)))
	if len(steps) != 1 || steps[0].Instance != "e2" || steps[0].Model != "m0" {
		t.Errorf("got steps %+v, want one that loads m0 on e2", steps)
	}
	engines[2].Loading = "m0"
	if steps := loading.Plan(snapshot(engines, demand.Models(now))); len(steps) != 0 {
		t.Errorf("got steps %+v, want none while e2 is loading m0", steps)
	}
}

// TestModelsOfAnEvacuatedZoneAreLoadedElsewhere guards against requests that wait for models in use
// whose replicas were all in a zone that is evacuated. Requests that wait already come first.
func TestModelsOfAnEvacuatedZoneAreLoadedElsewhere(t *testing.T) {
	engines := []loading.Engine{engine("e0"), engine("e1"), engine("e2", "m3")}
	demand := map[string]loading.ModelDemand{
		"m0": waiting, "m1": {PrefillLoad: 0.2}, "m2": {PrefillLoad: 0.1}, "m3": {PrefillLoad: 0.1}, "m4": {Idle: time.Minute},
	}
	input := snapshot(engines, demand)
	input.RemoteLoadsToStart = 2
	input.Displaced = map[string]bool{"m1": true, "m2": true, "m3": true, "m4": true}
	steps := loading.Plan(input)
	if len(steps) != 2 || steps[0].Model != "m0" || steps[1].Model != "m1" {
		t.Errorf("got steps %+v, want m0, which requests wait for, then m1, the busiest without a replica", steps)
	}
}

// TestBusyModelsAreSpreadOverEngines guards against engines that hold several busy models while others
// that could take one read few prompts.
func TestBusyModelsAreSpreadOverEngines(t *testing.T) {
	engines := []loading.Engine{engine("e0", "m1"), engine("e1", "m2")}
	demand := map[string]loading.ModelDemand{"m0": waiting, "m1": {PrefillLoad: 0.3}, "m2": {PrefillLoad: 0.05}}
	steps := loading.Plan(snapshot(engines, demand))
	if len(steps) != 1 || steps[0].Instance != "e1" {
		t.Errorf("got steps %+v, want m0 loaded on e1, which reads fewer prompts", steps)
	}
}
