package placement_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/configuration"
	"mimosatide.example/mimosatide/internal/journal"
	"mimosatide.example/mimosatide/internal/placement"
	"mimosatide.example/mimosatide/internal/platform"
)

const (
	gibibyte     = int64(1) << 30
	simStep      = 100 * time.Millisecond
	engineMemory = 80 * gibibyte
)

// testingT is a test of the standard library or of rapid.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// simulation runs the controllers of several nodes against one table and a few engines,
// with random choices from one seed.
type simulation struct {
	t       testingT
	seed    uint64
	random  *rand.Rand
	now     time.Duration
	table   *platform.MemoryTable
	store   *configuration.Store
	engines map[string]*simEngine
	nodes   []*simNode
	delayed []delayedOrder
	lastID  int
	// tableDown, commitAnswerLoss and orderDelayRate are faults: the table does not
	// answer, and the probabilities that a commit's answer is lost and that an order
	// arrives late, without an answer to its sender.
	tableDown        bool
	commitAnswerLoss float64
	orderDelayRate   float64
	loading          map[string]bool
}

// simNode is one node of the simulation, with the demand that it reports and the lists that it received.
type simNode struct {
	sim         *simulation
	address     string
	incarnation uint64
	controller  *placement.Controller
	submitted   []func()
	paused      bool
	dead        bool
	lists       map[string]placement.ModelPlacements
	demand      map[string]placement.DemandReport
}

type simEngine struct {
	checksFencing       bool
	highestFencingToken mimosatide.FencingToken
	replicas            map[string]*simReplica
	loads               map[string]int
	down                bool
	leaving             bool
	restarts            int
}

type simReplica struct {
	memory   int64
	readyAt  time.Duration
	adapters map[string]time.Duration
}

// delayedOrder is an order that arrives after its sender has got no answer.
type delayedOrder struct {
	at     time.Duration
	engine string
	order  mimosatide.Order
}

// newSimulation starts a number of nodes and one engine for each element of checksFencing.
// models holds the memory of each model in bytes.
func newSimulation(t testingT, seed uint64, nodes int, checksFencing []bool, models map[string]int64) *simulation {
	sim := &simulation{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), table: platform.NewMemoryTable(),
		store: configuration.NewStore(), engines: map[string]*simEngine{}, loading: map[string]bool{},
	}
	var changes []configuration.Change
	for index, checks := range checksFencing {
		name := fmt.Sprintf("engine-%d", index)
		sim.engines[name] = &simEngine{checksFencing: checks, replicas: map[string]*simReplica{}, loads: map[string]int{}}
		changes = append(changes, entity(configuration.TargetSection, name, map[string]any{
			"Kind": "Engine", "Address": "127.0.0.1:1", "Host": name, "Zone": "a", "MemoryBytes": engineMemory, "ChecksFencing": checks,
		}))
	}
	for _, name := range slices.Sorted(maps.Keys(models)) {
		memory := models[name]
		changes = append(changes, entity(configuration.ModelSection, name, map[string]any{
			"Version": "1", "MemoryBytes": memory, "LoadTime": "2s", "WaitLimit": "30s", "MaxReplicas": 2, "Concurrency": 8,
			"Adapters": map[string]any{"letters": map[string]any{"Version": "1", "MemoryBytes": gibibyte}},
		}))
	}
	if err := sim.store.Apply(1, changes); err != nil {
		t.Fatalf("apply the configuration: %v", err)
	}
	for index := range nodes {
		node := &simNode{sim: sim, address: fmt.Sprintf("node-%d", index)}
		sim.nodes = append(sim.nodes, node)
		sim.start(node)
	}
	return sim
}

func entity(section configuration.Section, name string, value any) configuration.Change {
	data, _ := json.Marshal(value)
	return configuration.Change{Section: section, Name: name, Value: data}
}

// start replaces the node's process by a new one with the next incarnation.
func (sim *simulation) start(node *simNode) {
	node.incarnation++
	node.submitted, node.dead, node.paused = nil, false, false
	node.lists, node.demand = map[string]placement.ModelPlacements{}, map[string]placement.DemandReport{}
	process := &simProcess{simNode: node, incarnation: node.incarnation}
	settings := placement.Settings{Self: node.address, Zone: "a", KeepFactor: 5, MinKeep: 10 * time.Second}
	node.controller = placement.New(settings, placement.Dependencies{
		Clock: sim, Table: process, Targets: process, Store: sim.store, Fleet: process, Peers: process,
		Journal: journal.New(100), Log: logr.Discard(), NewID: sim.newID,
		Submit: func(work func()) error {
			if process.alive() {
				node.submitted = append(node.submitted, work)
			}
			return nil
		},
		OnModelPlacements: func(list placement.ModelPlacements) { node.lists[list.Model] = list },
	})
}

// Now returns the simulated time, which all nodes share.
func (sim *simulation) Now() time.Duration { return sim.now }

func (sim *simulation) newID() string {
	sim.lastID++
	return fmt.Sprint(sim.lastID)
}

func (sim *simulation) run(duration time.Duration) {
	for end := sim.now + duration; sim.now < end; {
		sim.step()
	}
}

// step advances the time by simStep, and then runs what is due on every running node.
func (sim *simulation) step() {
	sim.now += simStep
	sim.deliverDelayed()
	for _, node := range sim.nodes {
		if node.dead || node.paused {
			continue
		}
		for _, model := range slices.Sorted(maps.Keys(node.demand)) {
			node.controller.ReportDemand(node.demand[model])
		}
		node.controller.Tick(context.Background())
	}
	sim.runSubmitted()
	sim.checkInvariants()
}

// runSubmitted runs the work that the nodes have submitted, in a random order.
func (sim *simulation) runSubmitted() {
	for range 5000 {
		var ready []*simNode
		for _, node := range sim.nodes {
			if !node.dead && !node.paused && len(node.submitted) > 0 {
				ready = append(ready, node)
			}
		}
		if len(ready) == 0 {
			return
		}
		node := ready[sim.random.IntN(len(ready))]
		index := sim.random.IntN(len(node.submitted))
		work := node.submitted[index]
		node.submitted = slices.Delete(node.submitted, index, index+1)
		work()
	}
}

func (sim *simulation) deliverDelayed() {
	due := sim.delayed
	sim.delayed = nil
	for _, delayed := range due {
		if delayed.at > sim.now {
			sim.delayed = append(sim.delayed, delayed)
			continue
		}
		sim.engines[delayed.engine].handleOrder(sim.now, delayed.order)
	}
}

// crash makes an engine lose its replicas and the highest fencing token. Orders
// in flight to it are lost with its connections.
func (sim *simulation) crash(name string) {
	engine := sim.engines[name]
	engine.replicas, engine.highestFencingToken = map[string]*simReplica{}, 0
	sim.delayed = slices.DeleteFunc(sim.delayed, func(delayed delayedOrder) bool { return delayed.engine == name })
}

// handleOrder carries out an order, unless the engine checks fencing tokens and has seen a higher one.
func (engine *simEngine) handleOrder(now time.Duration, order mimosatide.Order) mimosatide.OrderState {
	if engine.checksFencing && order.FencingToken < engine.highestFencingToken {
		return mimosatide.OrderStale
	}
	engine.highestFencingToken = max(engine.highestFencingToken, order.FencingToken)
	replica, held := engine.replicas[order.Placement]
	switch order.Kind {
	case mimosatide.OrderUnload:
		delete(engine.replicas, order.Placement)
		return mimosatide.OrderAbsent
	case mimosatide.OrderLoadAdapter:
		if held && replica.adapters[order.Adapter] == 0 {
			replica.memory += order.Memory
			replica.adapters[order.Adapter] = now + 500*time.Millisecond
		}
	case mimosatide.OrderLoad:
		if !held {
			replica = &simReplica{memory: order.Memory, readyAt: now + 2*time.Second, adapters: map[string]time.Duration{}}
			engine.replicas[order.Placement] = replica
			engine.loads[order.Placement]++
		}
	}
	if replica == nil {
		return mimosatide.OrderAbsent
	}
	if now >= replica.readyAt {
		return mimosatide.OrderReady
	}
	return mimosatide.OrderLoading
}

// simProcess is one incarnation of a node, with its view of the table, the engines, the fleet and the peers.
type simProcess struct {
	*simNode
	incarnation uint64
}

func (process *simProcess) alive() bool {
	return !process.dead && process.simNode.incarnation == process.incarnation
}

// Read reads the simulated table, unless it is down.
func (process *simProcess) Read(ctx context.Context, keys ...string) ([]mimosatide.Row, error) {
	if process.sim.tableDown || !process.alive() {
		return nil, errors.New("table down")
	}
	return process.sim.table.Read(ctx, keys...)
}

// Scan is not used by controllers.
func (process *simProcess) Scan(ctx context.Context, prefix string) ([]mimosatide.Row, error) {
	return process.sim.table.Scan(ctx, prefix)
}

// Commit writes to the simulated table; the answer may be lost.
func (process *simProcess) Commit(ctx context.Context, transaction mimosatide.Transaction) mimosatide.CommitOutcome {
	if process.sim.tableDown || !process.alive() {
		return mimosatide.CommitUnknown
	}
	outcome := process.sim.table.Commit(ctx, transaction)
	if process.sim.random.Float64() < process.sim.commitAnswerLoss {
		return mimosatide.CommitUnknown
	}
	return outcome
}

// SendOrder delivers an order to an engine, or delays it and returns an error.
func (process *simProcess) SendOrder(_ context.Context, spec mimosatide.TargetSpec, order mimosatide.Order) (mimosatide.OrderState, error) {
	sim := process.sim
	engine := sim.engines[spec.Name]
	if !process.alive() || engine.down {
		return "", errors.New("no answer")
	}
	if sim.random.Float64() < sim.orderDelayRate {
		delay := time.Duration(sim.random.Int64N(int64(25 * time.Second)))
		sim.delayed = append(sim.delayed, delayedOrder{at: sim.now + delay, engine: spec.Name, order: order})
		return "", errors.New("no answer")
	}
	return engine.handleOrder(sim.now, order), nil
}

// GetReport returns an engine's current report.
func (process *simProcess) GetReport(_ context.Context, spec mimosatide.TargetSpec) (mimosatide.Report, error) {
	sim := process.sim
	engine := sim.engines[spec.Name]
	if engine.down {
		return mimosatide.Report{}, errors.New("no answer")
	}
	report := mimosatide.Report{
		Placements: map[string]mimosatide.OrderState{}, Adapters: map[string][]string{},
		Cached: map[string]mimosatide.CacheTier{}, Leaving: engine.leaving,
	}
	for id, replica := range engine.replicas {
		report.Placements[id] = mimosatide.OrderLoading
		if sim.now >= replica.readyAt {
			report.Placements[id] = mimosatide.OrderReady
		}
		for adapter, readyAt := range replica.adapters {
			if sim.now >= readyAt {
				report.Adapters[id] = append(report.Adapters[id], adapter)
			}
		}
	}
	return report, nil
}

// Run is not used by controllers.
func (process *simProcess) Run(context.Context, mimosatide.TargetSpec, mimosatide.Call, func(mimosatide.Event) error) mimosatide.Answer {
	return mimosatide.Answer{}
}

// Cancel is not used by controllers.
func (process *simProcess) Cancel(context.Context, mimosatide.TargetSpec, string) {}

// Self returns the process as an orderer.
func (process *simProcess) Self() placement.Orderer {
	return placement.Orderer{Address: process.address, Incarnation: process.incarnation}
}

// Live returns the nodes that are neither paused nor dead.
func (process *simProcess) Live() []string {
	var live []string
	for _, node := range process.sim.nodes {
		if !node.dead && !node.paused {
			live = append(live, node.address)
		}
	}
	return live
}

// ProcessEnded reports whether a later process has started at the address.
func (process *simProcess) ProcessEnded(orderer placement.Orderer) bool {
	for _, node := range process.sim.nodes {
		if node.address == orderer.Address {
			return node.incarnation > orderer.Incarnation
		}
	}
	return true
}

// Send delivers a message to another node; a paused node handles it when it resumes.
func (process *simProcess) Send(to string, message any) {
	for _, node := range process.sim.nodes {
		if node.address != to || node.dead || !process.alive() {
			continue
		}
		controller, from := node.controller, process.address
		node.submitted = append(node.submitted, func() { receive(node, controller, from, message) })
	}
}

func receive(node *simNode, controller *placement.Controller, from string, message any) {
	switch message := message.(type) {
	case placement.DemandReport:
		controller.HandleDemandReport(from, message)
	case placement.ModelPlacements:
		node.lists[message.Model] = message
	case placement.Stakes:
		controller.HandleStakes(message)
	case placement.SlotFreed:
		controller.HandleSlotFreed()
	case placement.QuiesceRequest:
		controller.HandleQuiesceRequest(from, message)
	case placement.QuiesceConfirmation:
		controller.HandleQuiesceConfirmation(from, message)
	case placement.EvictRequest:
		controller.HandleEvictRequest(message)
	case placement.TargetLeaving:
		controller.NoteLeaving(message.Target)
	}
}

// checkInvariants fails the test if an engine holds more than its memory, or if
// more models load at once than the weight store's budget allows.
func (sim *simulation) checkInvariants() {
	for name, engine := range sim.engines {
		sum := int64(0)
		for _, replica := range engine.replicas {
			sum += replica.memory
		}
		if sum > engineMemory {
			sim.fatalf("%s holds %d bytes, more than its memory: %v", name, sum, engine.replicaIDs())
		}
	}
	store, err := placement.DecodeStoreRow(sim.row(placement.StoreKey))
	if err != nil {
		sim.fatalf("decode the store row: %v", err)
	}
	if store.Models() > configuration.DefaultLoadSlots {
		sim.fatalf("%d models load at once, more than the weight store's budget", store.Models())
	}
}

func (engine *simEngine) replicaIDs() []string {
	var ids []string
	for id := range engine.replicas {
		ids = append(ids, id)
	}
	return ids
}

func (sim *simulation) row(key string) []byte {
	rows, _ := sim.table.Read(context.Background(), key)
	if len(rows) == 0 {
		return nil
	}
	return rows[0].Value
}

func (sim *simulation) placements(model string) []placement.Placement {
	row, err := placement.DecodeModelRow(sim.row(placement.ModelKey(model)))
	if err != nil {
		sim.fatalf("decode the model row: %v", err)
	}
	return row.Placements
}

func (sim *simulation) fatalf(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf("seed %d at %s: %s", sim.seed, sim.now, fmt.Sprintf(format, args...))
}

// loads counts the loads of a model on all engines.
func (sim *simulation) loads(model string) int {
	count := 0
	for _, engine := range sim.engines {
		for id, loads := range engine.loads {
			if placement.ModelOfID(id) == model {
				count += loads
			}
		}
	}
	return count
}

// setWaiting makes every node report a number of requests that wait for a model.
func (sim *simulation) setWaiting(model string, waiting int) {
	for _, node := range sim.nodes {
		if waiting == 0 {
			delete(node.demand, model)
			node.controller.ReportDemand(placement.DemandReport{Model: model})
			continue
		}
		node.demand[model] = placement.DemandReport{Model: model, Waiting: waiting, Stake: 1}
	}
}

func (sim *simulation) ready(model string) int {
	count := 0
	for _, known := range sim.placements(model) {
		if known.State == placement.Ready {
			count++
		}
	}
	return count
}

func (sim *simulation) home(model string) *simNode {
	process := &simProcess{simNode: sim.nodes[0]}
	address := placement.HomeOf(model, process.Live())
	for _, node := range sim.nodes {
		if node.address == address {
			return node
		}
	}
	return nil
}
