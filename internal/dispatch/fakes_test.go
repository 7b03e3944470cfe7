package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/configuration"
	"mimosatide.example/mimosatide/internal/dispatch"
	"mimosatide.example/mimosatide/internal/journal"
	"mimosatide.example/mimosatide/internal/limit"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/internal/placement"
	"mimosatide.example/mimosatide/internal/platform"
)

// fakeGate admits every request except those of the keys passed to refuse.
type fakeGate struct {
	lock    sync.Mutex
	refused map[mimosatide.KeyDigest]mimosatide.Reason
}

func (gate *fakeGate) Admit(key mimosatide.KeyDigest, _ string) mimosatide.Reason {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	return gate.refused[key]
}

func (gate *fakeGate) WaitFresh(context.Context) bool { return true }

func (gate *fakeGate) refuse(key mimosatide.KeyDigest, reason mimosatide.Reason) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.refused[key] = reason
}

// noPeers is a fleet of one node.
type noPeers struct{}

func (noPeers) Send(string, any) {}

func (noPeers) Others() []string { return nil }

func (noPeers) Lenders() []string { return nil }

// fixedPlacements ignores demand; its targets never leave and report no load.
type fixedPlacements struct{}

func (fixedPlacements) ReportDemand(placement.DemandReport) {}

func (fixedPlacements) Leaving(string) bool { return false }

func (fixedPlacements) ReportedLoad(string) int { return 0 }

// fakeTarget answers calls with a function and records them.
type fakeTarget struct {
	mimosatide.Target
	lock   sync.Mutex
	calls  []string
	answer func(target string, call mimosatide.Call, onEvent func(mimosatide.Event) error) mimosatide.Answer
}

func (target *fakeTarget) Run(
	_ context.Context, spec mimosatide.TargetSpec, call mimosatide.Call, onEvent func(mimosatide.Event) error,
) mimosatide.Answer {
	target.lock.Lock()
	target.calls = append(target.calls, spec.Name+" "+call.Request)
	target.lock.Unlock()
	return target.answer(spec.Name, call, onEvent)
}

func (target *fakeTarget) Cancel(context.Context, mimosatide.TargetSpec, string) {}

func (target *fakeTarget) GetReport(_ context.Context, spec mimosatide.TargetSpec) (mimosatide.Report, error) {
	return mimosatide.Report{Placements: map[string]mimosatide.OrderState{"model@" + spec.Name: mimosatide.OrderReady}}, nil
}

func (target *fakeTarget) count() int {
	target.lock.Lock()
	defer target.lock.Unlock()
	return len(target.calls)
}

// testHarness is a service with fake dependencies.
type testHarness struct {
	service *dispatch.Service
	target  *fakeTarget
	gate    *fakeGate
	table   *platform.MemoryTable
	store   *configuration.Store
	clock   mimosatide.Clock
}

// newHarness returns a harness with the given number of engines and of plain services.
func newHarness(t *testing.T, targets int) *testHarness {
	t.Helper()
	harness := &testHarness{
		target: &fakeTarget{}, gate: &fakeGate{refused: map[mimosatide.KeyDigest]mimosatide.Reason{}},
		table: platform.NewMemoryTable(), store: configuration.NewStore(), clock: mimosatide.NewMonotonicClock(),
	}
	var changes []configuration.Change
	for index := range targets {
		for _, kind := range []string{"Engine", "Service"} {
			value := fmt.Sprintf(`{"Kind":"%s","Address":"127.0.0.1:1","Host":"h","Zone":"a","MemoryBytes":1,"ChecksFencing":true}`, kind)
			name := fmt.Sprintf("%s-%d", kind, index)
			changes = append(changes, configuration.Change{Section: configuration.TargetSection, Name: name, Value: []byte(value)})
		}
	}
	if err := harness.store.Apply(1, changes); err != nil {
		t.Fatal(err)
	}
	limiter := limit.New(limit.DefaultSettings())
	limiter.SetShares(0, limit.DefaultShareCount, time.Hour)
	meter := metric.New()
	t.Cleanup(func() { _ = meter.Close() })
	harness.service = dispatch.New(dispatch.Settings{Zone: "a", MaxQueued: 100000}, dispatch.Dependencies{
		Clock: harness.clock, Table: harness.table, Targets: harness.target, Store: harness.store, Limiter: limiter, Gate: harness.gate,
		Peers: noPeers{}, Placements: fixedPlacements{}, Meter: meter, Journal: journal.New(1000), Log: logr.Discard(),
		Random: rand.New(rand.NewPCG(1, 1)), NewNonce: func() string { return fmt.Sprint(time.Now().UnixNano()) },
	})
	for _, account := range []mimosatide.Account{paid, free, poor} {
		limiter.SetAccount(0, account)
	}
	return harness
}

var (
	paid  = mimosatide.Account{Name: "paid", Rate: 1e12, Burst: 2e12, Weight: 4}
	free  = mimosatide.Account{Name: "free", Rate: 1e12, Burst: 2e12, Weight: 1}
	poor  = mimosatide.Account{Name: "poor", Rate: 0.001, Burst: 20, Weight: 1}
	model = mimosatide.Model{Name: "model", Version: "1", WaitLimit: 20 * time.Second, MaxReplicas: 4, Concurrency: 4}
)

func (harness *testHarness) modelRequest(id string, account mimosatide.Account) dispatch.Request {
	return dispatch.Request{
		ID: id, Account: account, Key: mimosatide.KeyDigest(account.Name), Model: model, Path: "/v1/completions", Body: []byte(id),
		Tokens: 10, PromptTokens: 5, WaitLimit: model.WaitLimit, Digest: dispatch.Digest(id), Arrived: harness.clock.Now(),
	}
}

func (harness *testHarness) routeRequest(id string, targets int, idempotent bool) dispatch.Request {
	request := harness.modelRequest(id, paid)
	request.Model = mimosatide.Model{}
	request.Method = "POST"
	request.Route = mimosatide.Route{Name: "orders", Idempotent: idempotent, WaitLimit: 20 * time.Second, Tokens: 1}
	for index := range targets {
		request.Route.Targets = append(request.Route.Targets, fmt.Sprintf("Service-%d", index))
	}
	return request
}

// placeReplicas sends the service a list with one ready replica at each engine. The
// service ignores lists of models that have had no request.
func (harness *testHarness) placeReplicas(engines int) {
	list := placement.ModelPlacements{Model: "model", Row: 1}
	for index := range engines {
		name := fmt.Sprintf("Engine-%d", index)
		list.Placements = append(list.Placements, placement.Placement{
			ID: "model@" + name, Model: "model", Version: "1", Target: name, State: placement.Ready,
		})
	}
	harness.service.HandleModelPlacements(list)
}

func success(mimosatide.Call) mimosatide.Answer { return mimosatide.Answer{Status: 200} }
