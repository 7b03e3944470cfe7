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
	gigabyte   = int64(1) << 30
	worldStep  = 100 * time.Millisecond
	engineSize = 80 * gigabyte
)

// failer is a test of the standard library or of rapid.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// world runs the keepers of several nodes against one table and a few engines, from one seed.
type world struct {
	t       failer
	seed    uint64
	random  *rand.Rand
	now     time.Duration
	table   *platform.MemoryTable
	store   *configuration.Store
	engines map[string]*worldEngine
	nodes   []*worldNode
	late    []lateOrder
	ids     int
	// tableDown, loseAnswers and loseOrders are faults.
	tableDown   bool
	loseAnswers float64
	loseOrders  float64
	loading     map[string]bool
}

// worldNode is one node; it is also the node's clock, table, fleet and messenger.
type worldNode struct {
	world       *world
	address     string
	incarnation uint64
	keeper      *placement.Keeper
	work        []func()
	paused      bool
	dead        bool
	lists       map[string]placement.List
	wants       map[string]placement.Want
}

type worldEngine struct {
	checks   bool
	number   mimosatide.FencingNumber
	held     map[string]*worldReplica
	loads    map[string]int
	down     bool
	leaving  bool
	restarts int
}

type worldReplica struct {
	memory   int64
	readyAt  time.Duration
	adapters map[string]time.Duration
}

// lateOrder is an order that the network delivers after its sender gave it up.
type lateOrder struct {
	at     time.Duration
	engine string
	order  mimosatide.Order
}

func newWorld(t failer, seed uint64, nodes int, checks []bool, models map[string]int64) *world {
	w := &world{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), table: platform.NewMemoryTable(),
		store: configuration.NewStore(), engines: map[string]*worldEngine{}, loading: map[string]bool{},
	}
	var changes []configuration.Change
	for index, check := range checks {
		name := fmt.Sprintf("engine-%d", index)
		w.engines[name] = &worldEngine{checks: check, held: map[string]*worldReplica{}, loads: map[string]int{}}
		changes = append(changes, entity(configuration.TargetSection, name, map[string]any{
			"Kind": "Engine", "Address": "127.0.0.1:1", "Host": name, "Zone": "a", "MemoryBytes": engineSize, "ChecksFencing": check,
		}))
	}
	for _, name := range slices.Sorted(maps.Keys(models)) {
		memory := models[name]
		changes = append(changes, entity(configuration.ModelSection, name, map[string]any{
			"Version": "1", "MemoryBytes": memory, "LoadTime": "2s", "WaitLimit": "30s", "MaxReplicas": 2, "Concurrency": 8,
			"Adapters": map[string]any{"letters": map[string]any{"Version": "1", "MemoryBytes": gigabyte}},
		}))
	}
	if err := w.store.Apply(1, changes); err != nil {
		t.Fatalf("document: %v", err)
	}
	for index := range nodes {
		node := &worldNode{world: w, address: fmt.Sprintf("node-%d", index)}
		w.nodes = append(w.nodes, node)
		w.start(node)
	}
	return w
}

func entity(section configuration.Section, name string, value any) configuration.Change {
	data, _ := json.Marshal(value)
	return configuration.Change{Section: section, Name: name, Value: data}
}

// start runs a new process at the node's address.
func (w *world) start(node *worldNode) {
	node.incarnation++
	node.work, node.dead, node.paused = nil, false, false
	node.lists, node.wants = map[string]placement.List{}, map[string]placement.Want{}
	process := &worldProcess{worldNode: node, incarnation: node.incarnation}
	settings := placement.Settings{Self: node.address, Zone: "a", KeepFactor: 5, MinKeep: 10 * time.Second}
	node.keeper = placement.New(settings, placement.Dependencies{
		Clock: w, Table: process, Targets: process, Store: w.store, Fleet: process, Peers: process,
		Journal: journal.New(100), Log: logr.Discard(), NewID: w.newID,
		Submit: func(work func()) error {
			if process.alive() {
				node.work = append(node.work, work)
			}
			return nil
		},
		OnList: func(list placement.List) { node.lists[list.Model] = list },
	})
}

// Now returns the world's time, which all nodes share here.
func (w *world) Now() time.Duration { return w.now }

func (w *world) newID() string {
	w.ids++
	return fmt.Sprint(w.ids)
}

func (w *world) run(duration time.Duration) {
	for end := w.now + duration; w.now < end; {
		w.step()
	}
}

func (w *world) step() {
	w.now += worldStep
	w.deliverLate()
	for _, node := range w.nodes {
		if node.dead || node.paused {
			continue
		}
		for _, model := range slices.Sorted(maps.Keys(node.wants)) {
			node.keeper.TellWant(node.wants[model])
		}
		node.keeper.Tick(context.Background())
	}
	w.work()
	w.check()
}

// work runs what the nodes have submitted, in a random order.
func (w *world) work() {
	for range 5000 {
		var ready []*worldNode
		for _, node := range w.nodes {
			if !node.dead && !node.paused && len(node.work) > 0 {
				ready = append(ready, node)
			}
		}
		if len(ready) == 0 {
			return
		}
		node := ready[w.random.IntN(len(ready))]
		index := w.random.IntN(len(node.work))
		work := node.work[index]
		node.work = slices.Delete(node.work, index, index+1)
		work()
	}
}

func (w *world) deliverLate() {
	due := w.late
	w.late = nil
	for _, late := range due {
		if late.at > w.now {
			w.late = append(w.late, late)
			continue
		}
		w.engines[late.engine].obey(w.now, late.order)
	}
}

// crash makes an engine forget what it holds, and the newest number too. The
// orders in its sockets end with its connections.
func (w *world) crash(name string) {
	engine := w.engines[name]
	engine.held, engine.number = map[string]*worldReplica{}, 0
	w.late = slices.DeleteFunc(w.late, func(late lateOrder) bool { return late.engine == name })
}

func (engine *worldEngine) obey(now time.Duration, order mimosatide.Order) mimosatide.OrderState {
	if engine.checks && order.Number < engine.number {
		return mimosatide.OrderStale
	}
	engine.number = max(engine.number, order.Number)
	replica, held := engine.held[order.Placement]
	switch order.Kind {
	case mimosatide.OrderUnload:
		delete(engine.held, order.Placement)
		return mimosatide.OrderAbsent
	case mimosatide.OrderLoadAdapter:
		if held && replica.adapters[order.Adapter] == 0 {
			replica.memory += order.Memory
			replica.adapters[order.Adapter] = now + 500*time.Millisecond
		}
	case mimosatide.OrderLoad:
		if !held {
			replica = &worldReplica{memory: order.Memory, readyAt: now + 2*time.Second, adapters: map[string]time.Duration{}}
			engine.held[order.Placement] = replica
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

// worldProcess is one incarnation of a node.
type worldProcess struct {
	*worldNode
	incarnation uint64
}

func (process *worldProcess) alive() bool {
	return !process.dead && process.worldNode.incarnation == process.incarnation
}

// Read reads the world's table, unless it is down.
func (process *worldProcess) Read(ctx context.Context, keys ...string) ([]mimosatide.Row, error) {
	if process.world.tableDown || !process.alive() {
		return nil, errors.New("table down")
	}
	return process.world.table.Read(ctx, keys...)
}

// Scan is not used by keepers.
func (process *worldProcess) Scan(ctx context.Context, prefix string) ([]mimosatide.Row, error) {
	return process.world.table.Scan(ctx, prefix)
}

// Commit writes to the world's table; the answer may be lost.
func (process *worldProcess) Commit(ctx context.Context, transaction mimosatide.Transaction) mimosatide.CommitOutcome {
	if process.world.tableDown || !process.alive() {
		return mimosatide.CommitUnknown
	}
	outcome := process.world.table.Commit(ctx, transaction)
	if process.world.random.Float64() < process.world.loseAnswers {
		return mimosatide.CommitUnknown
	}
	return outcome
}

// SendOrder hands an order to an engine, or leaves it in the network for a while.
func (process *worldProcess) SendOrder(_ context.Context, spec mimosatide.TargetSpec, order mimosatide.Order) (mimosatide.OrderState, error) {
	w := process.world
	engine := w.engines[spec.Name]
	if !process.alive() || engine.down {
		return "", errors.New("no answer")
	}
	if w.random.Float64() < w.loseOrders {
		delay := time.Duration(w.random.Int64N(int64(25 * time.Second)))
		w.late = append(w.late, lateOrder{at: w.now + delay, engine: spec.Name, order: order})
		return "", errors.New("no answer")
	}
	return engine.obey(w.now, order), nil
}

// GetReport describes an engine.
func (process *worldProcess) GetReport(_ context.Context, spec mimosatide.TargetSpec) (mimosatide.Report, error) {
	w := process.world
	engine := w.engines[spec.Name]
	if engine.down {
		return mimosatide.Report{}, errors.New("no answer")
	}
	report := mimosatide.Report{
		Placements: map[string]mimosatide.OrderState{}, Adapters: map[string][]string{},
		Cached: map[string]mimosatide.CacheTier{}, Leaving: engine.leaving,
	}
	for id, replica := range engine.held {
		report.Placements[id] = mimosatide.OrderLoading
		if w.now >= replica.readyAt {
			report.Placements[id] = mimosatide.OrderReady
		}
		for adapter, readyAt := range replica.adapters {
			if w.now >= readyAt {
				report.Adapters[id] = append(report.Adapters[id], adapter)
			}
		}
	}
	return report, nil
}

// Run is not used by keepers.
func (process *worldProcess) Run(context.Context, mimosatide.TargetSpec, mimosatide.Call, func(mimosatide.Event) error) mimosatide.Answer {
	return mimosatide.Answer{}
}

// Cancel is not used by keepers.
func (process *worldProcess) Cancel(context.Context, mimosatide.TargetSpec, string) {}

// Self returns the process as an orderer.
func (process *worldProcess) Self() placement.Orderer {
	return placement.Orderer{Address: process.address, Incarnation: process.incarnation}
}

// Live returns the nodes that aren't paused or dead.
func (process *worldProcess) Live() []string {
	var live []string
	for _, node := range process.world.nodes {
		if !node.dead && !node.paused {
			live = append(live, node.address)
		}
	}
	return live
}

// ProcessEnded knows for certain which processes have ended.
func (process *worldProcess) ProcessEnded(orderer placement.Orderer) bool {
	for _, node := range process.world.nodes {
		if node.address == orderer.Address {
			return node.incarnation > orderer.Incarnation
		}
	}
	return true
}

// Send hands a message to another node; a paused one gets it when it goes on.
func (process *worldProcess) Send(to string, message any) {
	for _, node := range process.world.nodes {
		if node.address != to || node.dead || !process.alive() {
			continue
		}
		keeper, from := node.keeper, process.address
		node.work = append(node.work, func() { receive(node, keeper, from, message) })
	}
}

func receive(node *worldNode, keeper *placement.Keeper, from string, message any) {
	switch message := message.(type) {
	case placement.Want:
		keeper.TakeWant(from, message)
	case placement.List:
		node.lists[message.Model] = message
	case placement.Stakes:
		keeper.TakeStakes(message)
	case placement.SlotFreed:
		keeper.TakeSlotFreed()
	case placement.AskHarmless:
		keeper.TakeAskHarmless(from, message)
	case placement.Harmless:
		keeper.TakeHarmless(from, message)
	case placement.AskEvict:
		keeper.TakeAskEvict(message)
	case placement.TargetLeaving:
		keeper.NoteLeaving(message.Target)
	}
}

// check demands that no engine holds more than its memory, that no placement
// is decided twice for one need, and that the weight store's budget holds.
func (w *world) check() {
	for name, engine := range w.engines {
		sum := int64(0)
		for _, replica := range engine.held {
			sum += replica.memory
		}
		if sum > engineSize {
			w.fail("%s holds %d bytes: %v", name, sum, engine.heldIDs())
		}
	}
	store, err := placement.DecodeStoreRow(w.row(placement.StoreKey))
	if err != nil {
		w.fail("store row: %v", err)
	}
	if store.Models() > configuration.DefaultLoadSlots {
		w.fail("%d models load at once", store.Models())
	}
}

func (engine *worldEngine) heldIDs() []string {
	var ids []string
	for id := range engine.held {
		ids = append(ids, id)
	}
	return ids
}

func (w *world) row(key string) []byte {
	rows, _ := w.table.Read(context.Background(), key)
	if len(rows) == 0 {
		return nil
	}
	return rows[0].Value
}

func (w *world) placements(model string) []placement.Placement {
	row, err := placement.DecodeModelRow(w.row(placement.ModelKey(model)))
	if err != nil {
		w.fail("model row: %v", err)
	}
	return row.Placements
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d at %s: %s", w.seed, w.now, fmt.Sprintf(format, args...))
}

// loads counts the loads of a model at all engines.
func (w *world) loads(model string) int {
	count := 0
	for _, engine := range w.engines {
		for id, loads := range engine.loads {
			if placement.ModelOfID(id) == model {
				count += loads
			}
		}
	}
	return count
}

// want lets every node state requests that wait for a model.
func (w *world) want(model string, waiting int) {
	for _, node := range w.nodes {
		if waiting == 0 {
			delete(node.wants, model)
			node.keeper.TellWant(placement.Want{Model: model})
			continue
		}
		node.wants[model] = placement.Want{Model: model, Waiting: waiting, Stake: 1}
	}
}

func (w *world) ready(model string) int {
	count := 0
	for _, known := range w.placements(model) {
		if known.State == placement.Ready {
			count++
		}
	}
	return count
}

func (w *world) home(model string) *worldNode {
	process := &worldProcess{worldNode: w.nodes[0]}
	address := placement.HomeOf(model, process.Live())
	for _, node := range w.nodes {
		if node.address == address {
			return node
		}
	}
	return nil
}
