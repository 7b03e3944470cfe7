package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/fleet"
	"mimosatide.example/mimosatide/internal/placement"
)

const (
	fleetTick      = 50 * time.Millisecond
	hostListEvery  = 2 * time.Second
	freshWaitLimit = 5 * time.Second
	freshPoll      = 20 * time.Millisecond
	publishEvery   = 250 * time.Millisecond
)

// fleetRunner runs the fleet's core: it feeds it events and carries out its effects.
type fleetRunner struct {
	clock     mimosatide.Clock
	table     mimosatide.Table
	hostList  mimosatide.HostList
	send      func(to string, message any)
	pool      *ants.Pool
	log       logr.Logger
	callLimit time.Duration
	// onApply, onShares, onHead and onHosts take in what the core has learnt, in order.
	onApply  func(sequence uint64, entry fleet.Entry)
	onShares func(change fleet.ChangeShares)
	onHead   func(head fleet.Head)
	onHosts  func(hosts []mimosatide.Host)
	// onMissing loads a snapshot when entries are no longer to be had.
	onMissing func()

	lock       sync.Mutex
	core       *fleet.Core
	headRow    mimosatide.RowVersion
	settled    map[string]chan fleet.SettlePatch
	left       chan struct{}
	leftOnce   sync.Once
	freshUntil atomic.Int64
	processes  atomic.Pointer[fleet.Processes]
	// nextPublish is when the processes are published anew.
	nextPublish time.Duration
}

// run ticks the core until the context ends.
func (runner *fleetRunner) run(ctx context.Context) {
	ticker := time.NewTicker(fleetTick)
	defer ticker.Stop()
	hosts := time.NewTicker(hostListEvery)
	defer hosts.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			runner.step(ctx, fleet.Tick{})
		case <-hosts.C:
			runner.submit(func() { runner.listHosts(ctx) })
		}
	}
}

func (runner *fleetRunner) listHosts(ctx context.Context) {
	hosts, err := runner.hostList.ListHosts(ctx)
	if err != nil {
		return
	}
	runner.step(ctx, fleet.HostsListed{Hosts: hosts})
	runner.onHosts(hosts)
}

// step feeds one event to the core and starts the effects.
func (runner *fleetRunner) step(ctx context.Context, event fleet.Event) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	for _, effect := range runner.core.Step(runner.clock.Now(), event) {
		runner.perform(ctx, effect)
	}
	if head := runner.core.Head(); head.Row != runner.headRow {
		runner.headRow = head.Row
		runner.nextPublish = 0
		runner.onHead(head)
	}
	runner.publish()
	runner.freshUntil.Store(int64(runner.core.FreshUntil()))
}

func (runner *fleetRunner) perform(ctx context.Context, effect fleet.Effect) {
	switch effect := effect.(type) {
	case fleet.ReadTable:
		runner.submit(func() { runner.readTable(ctx, effect) })
	case fleet.CommitTable:
		runner.submit(func() { runner.commitTable(ctx, effect) })
	case fleet.SendMessage:
		runner.send(effect.To, effect.Message)
	case fleet.ApplyEntry:
		runner.onApply(effect.Sequence, effect.Entry)
	case fleet.ChangeShares:
		runner.nextPublish = 0
		runner.onShares(effect)
	case fleet.SettlePatch:
		runner.settle(effect)
	case fleet.LoadSnapshot:
		go runner.onMissing()
	case fleet.Left:
		runner.leftOnce.Do(func() { close(runner.left) })
	}
}

// submit runs work on the pool; every call of the core must be answered, so that a full pool is no excuse.
func (runner *fleetRunner) submit(work func()) {
	if err := runner.pool.Submit(work); err != nil {
		go work()
	}
}

func (runner *fleetRunner) readTable(ctx context.Context, effect fleet.ReadTable) {
	bounded, cancel := context.WithTimeout(ctx, runner.callLimit)
	defer cancel()
	rows, err := runner.table.Read(bounded, effect.Keys...)
	runner.step(ctx, fleet.TableRead{Call: effect.Call, Rows: rows, Failed: err != nil})
}

func (runner *fleetRunner) commitTable(ctx context.Context, effect fleet.CommitTable) {
	bounded, cancel := context.WithTimeout(ctx, runner.callLimit)
	defer cancel()
	outcome := runner.table.Commit(bounded, effect.Transaction)
	runner.step(ctx, fleet.TableCommitted{Call: effect.Call, Outcome: outcome})
}

func (runner *fleetRunner) settle(effect fleet.SettlePatch) {
	waiting, known := runner.settled[effect.ID]
	if !known {
		return
	}
	delete(runner.settled, effect.ID)
	waiting <- effect
}

// propose hands a patch to the core and waits until it is settled.
func (runner *fleetRunner) propose(ctx context.Context, asked fleet.PatchAsked) fleet.SettlePatch {
	runner.lock.Lock()
	waiting, known := runner.settled[asked.ID]
	if !known {
		waiting = make(chan fleet.SettlePatch, 1)
		runner.settled[asked.ID] = waiting
	}
	runner.lock.Unlock()
	if !known {
		runner.step(ctx, asked)
	}
	select {
	case settled := <-waiting:
		// Another call with the same patch id may wait for the same answer.
		waiting <- settled
		return settled
	case <-ctx.Done():
		return fleet.SettlePatch{ID: asked.ID, Outcome: fleet.PatchUnsettled}
	}
}

// fresh says whether work may be admitted.
func (runner *fleetRunner) fresh() bool {
	return int64(runner.clock.Now()) < runner.freshUntil.Load()
}

// waitFresh waits until work may be admitted again.
func (runner *fleetRunner) waitFresh(ctx context.Context) bool {
	if runner.fresh() {
		return true
	}
	limit := time.Now().Add(freshWaitLimit)
	for time.Now().Before(limit) && ctx.Err() == nil {
		time.Sleep(freshPoll)
		if runner.fresh() {
			return true
		}
	}
	return false
}

// skipTo loads a snapshot and continues behind it, unless newer entries are in force already.
func (runner *fleetRunner) skipTo(sequence uint64, load func()) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	if runner.core.Applied() >= sequence {
		return
	}
	load()
	runner.core.SkipTo(sequence)
}

func (runner *fleetRunner) head() fleet.Head {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	return runner.core.Head()
}

func (runner *fleetRunner) applied() uint64 {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	return runner.core.Applied()
}

// Self returns this process as an orderer.
func (runner *fleetRunner) Self() placement.Orderer {
	return placement.Orderer(runner.processes.Load().Self)
}

// Live returns the addresses of the live members.
func (runner *fleetRunner) Live() []string {
	return runner.processes.Load().Live
}

// ProcessEnded says whether a process is known to have ended.
func (runner *fleetRunner) ProcessEnded(orderer placement.Orderer) bool {
	return runner.processes.Load().Ended(fleet.Holder(orderer))
}

// Others returns the addresses of the other live members.
func (runner *fleetRunner) Others() []string {
	known := runner.processes.Load()
	var others []string
	for _, address := range known.Live {
		if address != known.Self.Address {
			others = append(others, address)
		}
	}
	return others
}

// Lenders returns the addresses of the other live members that hold shares.
func (runner *fleetRunner) Lenders() []string {
	return runner.processes.Load().Lenders
}

// Send sends a message to a peer.
func (runner *fleetRunner) Send(to string, message any) {
	runner.send(to, message)
}

// publish lets other parts read what is known of the processes without a lock.
func (runner *fleetRunner) publish() {
	now := runner.clock.Now()
	if now < runner.nextPublish {
		return
	}
	runner.nextPublish = now + publishEvery
	next, last := runner.core.Processes(now), runner.processes.Load()
	if last != nil && slices.Equal(last.Live, next.Live) {
		// Others tell by the slice itself whether the members have changed.
		next.Live = last.Live
	}
	runner.processes.Store(next)
}

// shares returns how many shares each process holds, as this node knows them.
func (runner *fleetRunner) shares() map[fleet.Holder]int {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	counts := map[fleet.Holder]int{}
	for _, holder := range runner.core.Holders() {
		counts[holder]++
	}
	return counts
}
