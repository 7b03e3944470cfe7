package loading_test

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/loading"
)

// TestForecastFollowsTheLine replays states of the weight store in which more models wait than
// it loads at once.
func TestForecastFollowsTheLine(t *testing.T) {
	waiting := func(name string, local time.Duration) loading.WaitingModel {
		return loading.WaitingModel{EngineModel: mimosatide.EngineModel{Name: name, LoadTime: 6 * time.Second}, Local: local}
	}
	for _, test := range []struct {
		name string
		line loading.Line
		want map[string]time.Duration
	}{
		{
			name: "two at once, four wait",
			line: loading.Line{Limit: 2, Waiting: []loading.WaitingModel{waiting("a", 0), waiting("b", 0), waiting("c", 0), waiting("d", 0)}},
			want: map[string]time.Duration{"a": 6 * time.Second, "b": 6 * time.Second, "c": 12 * time.Second, "d": 12 * time.Second},
		},
		{
			name: "both places taken, one load nearly done, a copy at an engine",
			line: loading.Line{
				Limit:      2,
				Loads:      []loading.LoadUnderWay{{Model: "x", Remaining: time.Second}, {Model: "y", Remaining: 4 * time.Second}},
				RemoteEnds: []time.Duration{4 * time.Second, time.Second},
				Waiting:    []loading.WaitingModel{waiting("x", 0), waiting("a", 0), waiting("b", 700*time.Millisecond), waiting("c", 0)},
			},
			want: map[string]time.Duration{
				"x": time.Second, "y": 4 * time.Second, "a": 7 * time.Second, "b": 700 * time.Millisecond, "c": 10 * time.Second,
			},
		},
		{
			name: "more loads under way than the limit",
			line: loading.Line{
				Limit: 1, RemoteEnds: []time.Duration{time.Second, 3 * time.Second}, Waiting: []loading.WaitingModel{waiting("a", 0)},
			},
			want: map[string]time.Duration{"a": 9 * time.Second},
		},
	} {
		if got := loading.Forecast(test.line); !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestNextHolderCountsTheLoadsOfTheLast hands the lease over while the weight store is at its
// capacity. The next holder must not add as many loads: all would take several times as long,
// and end after the requests for them.
func TestNextHolderCountsTheLoadsOfTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ids []string
		models := map[string]mimosatide.EngineModel{}
		for index := range 20 {
			name := fmt.Sprintf("m%02d", index)
			ids = append(ids, fmt.Sprintf("e%02d", index))
			models[name] = mimosatide.EngineModel{Name: name, MemoryMB: 100, LoadTime: 30 * time.Second}
		}
		engines := newEngines(1, ids...)
		engines.class = mimosatide.EngineClass{MemoryMB: 160, LoadsPerSecond: 10, Models: models}
		engines.storeCapacity = 3
		table := newTable()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		need := func(controller *loading.Controller, steps int) {
			for range steps {
				for _, model := range engines.missing(10) {
					controller.AddNeed(loading.Need{Service: "llm", Model: model}, true, time.Now())
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		firstCtx, stop := context.WithCancel(ctx)
		first, _ := runCandidate(firstCtx, engines, "a", table)
		need(first, 40)
		progress := first.Progress(time.Now())
		if len(progress.Loads) == 0 || len(progress.Loads) > 3 || len(progress.Expected) < 10 {
			t.Errorf("progress of the first holder: got %d loads and %d expected models, want 1 to 3 and at least 10",
				len(progress.Loads), len(progress.Expected))
		}
		first.Lease().Release(firstCtx)
		stop()
		// New engines come first in the next holder's plan.
		for index := range 5 {
			engines.engines[fmt.Sprintf("d%02d", index)] = &fakeEngine{holdings: map[string][]string{}}
		}
		engines.maxLoads = 0
		second, _ := runCandidate(ctx, engines, "b", table)
		second.ObserveProgress(progress, time.Now())
		need(second, 100)
		if engines.maxLoads > 3 {
			t.Errorf("loads at once after the hand-over: got %d, want at most the 3 of the first holder's limit", engines.maxLoads)
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// TestNextHolderDoesNotRepeatTheLoadsOfTheLast hands the lease over while models are being loaded.
// A second load of such a model would take the weight store's place of another.
func TestNextHolderDoesNotRepeatTheLoadsOfTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		models := map[string]mimosatide.EngineModel{}
		for _, name := range []string{"m0", "m1"} {
			models[name] = mimosatide.EngineModel{Name: name, MemoryMB: 100, LoadTime: 10 * time.Second}
		}
		engines := newEngines(1, "e0", "e1", "e2", "e3")
		engines.class = mimosatide.EngineClass{MemoryMB: 160, LoadsPerSecond: 10, Models: models}
		engines.storeCapacity = 2
		table := newTable()
		ctx, cancel := context.WithCancel(context.Background())
		need := func(controller *loading.Controller, steps int) {
			for range steps {
				for model := range models {
					controller.AddNeed(loading.Need{Service: "llm", Model: model}, true, time.Now())
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		firstCtx, stop := context.WithCancel(ctx)
		first, _ := runCandidate(firstCtx, engines, "a", table)
		need(first, 30)
		progress := first.Progress(time.Now())
		first.Lease().Release(firstCtx)
		stop()
		second, targets := runCandidate(ctx, engines, "b", table)
		second.ObserveProgress(progress, time.Now())
		need(second, 150)
		for model := range models {
			replicas := 0
			for _, engine := range engines.engines {
				if _, held := engine.holdings[model]; held {
					replicas++
				}
			}
			if replicas != 1 {
				t.Errorf("model %s: got %d loads, want the one of the first holder only", model, replicas)
			}
			known := slices.ContainsFunc(targets.View().Service("llm"), func(instance mimosatide.Instance) bool { return instance.Holds(model) })
			if !known {
				t.Errorf("model %s: its load has ended, but the next holder does not know it", model)
			}
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}
