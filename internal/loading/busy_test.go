package loading_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/loading"
)

// fleet returns engines that hold two models each that nobody uses, and copies of m in host memory.
func fleet(size int, own ...string) ([]loading.Engine, mimosatide.EngineClass) {
	class := class()
	engines := []loading.Engine{engine("e0", own...)}
	for len(engines) < size {
		first, second := fmt.Sprintf("a%d", len(engines)), fmt.Sprintf("b%d", len(engines))
		idle := engine(fmt.Sprintf("e%d", len(engines)), first, second)
		idle.Instance.InMemory = []string{"m0", first, second}
		for _, name := range []string{first, second} {
			class.Models[name] = mimosatide.EngineModel{
				Name: name, MemoryMB: 70, LoadTime: 8 * time.Second, WarmLoadTime: 400 * time.Millisecond, DiskLoadTime: 500 * time.Millisecond,
			}
		}
		engines = append(engines, idle)
	}
	return engines, class
}

// TestBusyModelGetsAllItsReplicasFromCopiesAtOnce guards against a model with six long prompts a second, each at
// another host, that has one or two engines for tens of seconds.
func TestBusyModelGetsAllItsReplicasFromCopiesAtOnce(t *testing.T) {
	engines, class := fleet(60, "m0")
	demand, now := loading.NewDemand(), time.Unix(1000, 0)
	for host := range 12 {
		now = now.Add(time.Second / 6)
		demand.RecordUsage(fmt.Sprintf("n%d", host), "m0", 0.23, 0.23, 0, now)
	}
	input := loading.Snapshot{Class: class, Engines: engines, Demand: demand.Models(now), Now: now}
	steps := loading.Plan(input)
	if len(steps) < 2 || len(steps) > 6 {
		t.Errorf("got %d replicas two seconds after a shift of demand, want two to six: %+v", len(steps), steps)
	}
	for _, step := range steps {
		if step.Model != "m0" || step.Tier != mimosatide.TierMemory {
			t.Errorf("got step %+v, want m0 from the copies in host memory", step)
		}
	}
}

// TestModelWithOneLongPromptASecondKeepsOneReplica guards against replicas that come and go because
// a few requests happen to come together, and displace models that others use.
func TestModelWithOneLongPromptASecondKeepsOneReplica(t *testing.T) {
	engines, class := fleet(60, "m0")
	source := rand.New(rand.NewPCG(7, 7))
	demand, now := loading.NewDemand(), time.Unix(1000, 0)
	placed, plans, next := 0, 0, 0.0
	for second := 0.0; second < 120; second += 0.05 {
		at := now.Add(time.Duration(second * float64(time.Second)))
		for ; next < second; next += source.ExpFloat64() {
			demand.RecordUsage(fmt.Sprint(next), "m0", 0.23, 0.23, 0, at)
		}
		input := loading.Snapshot{Class: class, Engines: engines, Demand: demand.Models(at), Now: at}
		placed += len(loading.Plan(input))
		plans++
	}
	if placed > plans/8 {
		t.Errorf("got replicas in %d of %d plans, want them in few", placed, plans)
	}
}

// TestBusyModelIsNotEvictedForASingleRequest guards against the eviction of the only replica of a model with
// several requests a second for one that a single request waits for. A model that was asked for four times is
// served all the same, so that none starves.
func TestBusyModelIsNotEvictedForASingleRequest(t *testing.T) {
	busy := loading.ModelDemand{PrefillLoad: 0.2, RequestRate: 5, Idle: 200 * time.Millisecond}
	for asked, want := range map[float64]int{1: 0, 4: 1} {
		demand := map[string]loading.ModelDemand{
			"m0": {Waiting: true, Waited: 2 * time.Second, Asked: asked}, "m1": busy, "m2": busy,
		}
		if steps := loading.Plan(snapshot([]loading.Engine{engine("e0", "m1", "m2")}, demand)); len(steps) != want {
			t.Errorf("asked for %.0f times: got steps %+v, want %d", asked, steps, want)
		}
	}
	// A replica among several is protected by the load that the others would get.
	paused := loading.ModelDemand{PrefillLoad: 0.1, LoadDeviation: 0.1, SteadyLoad: 0.3}
	demand := map[string]loading.ModelDemand{"m0": {Waiting: true, Asked: 1}, "m1": paused, "m2": paused}
	engines := []loading.Engine{engine("e0", "m1", "m2"), engine("e1", "m1", "m2")}
	if steps := loading.Plan(snapshot(engines, demand)); len(steps) != 0 {
		t.Errorf("got steps %+v, want none: a pause by chance does not make m1 and m2 idle", steps)
	}
}

// TestBusyModelIsNotLoadedInPlaceOfOneThatWouldBeMissedMore guards against a further replica, which shortens a queue a
// little, in place of the only replica of a model that takes seconds to come back.
func TestBusyModelIsNotLoadedInPlaceOfOneThatWouldBeMissedMore(t *testing.T) {
	for _, copied := range []bool{false, true} {
		other := engine("e1", "m1", "m2")
		other.Instance.InMemory = []string{"m0"}
		if copied {
			other.Instance.InMemory = []string{"m0", "m1", "m2"}
		}
		used := loading.ModelDemand{PrefillLoad: 0.05, RequestRate: 0.5, Idle: 1600 * time.Millisecond}
		demand := map[string]loading.ModelDemand{"m0": {PrefillLoad: 0.4, RequestRate: 2}, "m1": used, "m2": used}
		steps := loading.Plan(snapshot([]loading.Engine{engine("e0", "m0"), other}, demand))
		if (len(steps) == 1) != copied {
			t.Errorf("other models with copies %t: got steps %+v, want a replica only if they are back at once", copied, steps)
		}
	}
}

// TestModelsThatShareABusyEngineAreSpread guards against engines that hold several busy models, each below the
// threshold, while others hold none.
func TestModelsThatShareABusyEngineAreSpread(t *testing.T) {
	engines, class := fleet(60, "m0", "m1")
	demand := map[string]loading.ModelDemand{"m0": {PrefillLoad: 0.26, RequestRate: 1}, "m1": {PrefillLoad: 0.26, RequestRate: 1}}
	steps := loading.Plan(loading.Snapshot{Class: class, Engines: engines, Demand: demand, Now: time.Unix(1000, 0)})
	if len(steps) != 1 || steps[0].Model != "m0" {
		t.Errorf("got steps %+v, want one that loads m0, which relieves m1 too", steps)
	}
}

// BenchmarkPlan is a plan with 300 engines and models, of which 20 are busy and 49 waited for.
func BenchmarkPlan(b *testing.B) {
	class := class()
	var engines []loading.Engine
	demand := map[string]loading.ModelDemand{}
	for index := range 300 {
		name := fmt.Sprintf("model-number-%d", index)
		class.Models[name] = mimosatide.EngineModel{
			Name: name, MemoryMB: 50, LoadTime: 8 * time.Second, WarmLoadTime: 400 * time.Millisecond, DiskLoadTime: 500 * time.Millisecond,
		}
		switch {
		case index < 20:
			demand[name] = loading.ModelDemand{PrefillLoad: 2, RequestRate: 10}
		case index < 69:
			demand[name] = loading.ModelDemand{Waiting: true, Asked: 1}
		default:
			demand[name] = loading.ModelDemand{PrefillLoad: 0.1, RequestRate: 1, Idle: time.Second}
		}
	}
	for index := range 300 {
		at := func(offset int) string { return fmt.Sprintf("model-number-%d", (index*7+offset)%300) }
		held := engine(fmt.Sprintf("e%d", index), at(0), at(1), at(2))
		for offset := range 10 {
			held.Instance.InMemory = append(held.Instance.InMemory, at(offset))
			held.Instance.OnDisk = append(held.Instance.OnDisk, at(offset), at(offset+10))
		}
		engines = append(engines, held)
	}
	for b.Loop() {
		copied := append([]loading.Engine{}, engines...)
		loading.Plan(loading.Snapshot{Class: class, Engines: copied, Demand: demand, Now: time.Unix(1000, 0), RemoteLoadsToStart: 2})
	}
}

// TestDisplacedModelIsWorthItsExpectedRequests guards against a busy model of an evacuated zone that gets no place, as nobody
// waits for it yet, beside models that are used less.
func TestDisplacedModelIsWorthItsExpectedRequests(t *testing.T) {
	used := loading.ModelDemand{PrefillLoad: 0.01, RequestRate: 0.2, Idle: 2 * time.Second}
	for rate, want := range map[float64]int{0.1: 0, 3: 1} {
		demand := map[string]loading.ModelDemand{"m0": {PrefillLoad: 0.02, RequestRate: rate}, "m1": used, "m2": used}
		input := snapshot([]loading.Engine{engine("e0", "m1", "m2")}, demand)
		input.Displaced = map[string]bool{"m0": true}
		if steps := loading.Plan(input); len(steps) != want {
			t.Errorf("%.1f requests a second: got steps %+v, want %d", rate, steps, want)
		}
	}
}
