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
	tickInterval     = 50 * time.Millisecond
	hostListInterval = 2 * time.Second
	// freshnessTimeout bounds the wait of a request for a fresh configuration.
	freshnessTimeout      = 5 * time.Second
	freshnessPollInterval = 20 * time.Millisecond
	publishInterval       = 250 * time.Millisecond
)

// fleetRunner runs the fleet's core: it passes events to the core and carries out the effects
// that the core returns.
type fleetRunner struct {
	clock    mimosatide.Clock
	table    mimosatide.Table
	hostList mimosatide.HostList
	send     func(to string, message any)
	pool     *ants.Pool
	log      logr.Logger
	// callTimeout bounds a call of the table.
	callTimeout time.Duration
	// onApply, onShares and onHead are called in the order of the core's effects and with
	// lock held, so they must not call a method that takes it.
	onApply  func(sequence uint64, entry fleet.Entry)
	onShares func(report fleet.ReportShares)
	onHead   func(head fleet.Head)
	// onHosts is called after each read of the host list.
	onHosts func(hosts []mimosatide.Host)
	// onEntriesMissing loads a snapshot when entries that this node lacks were deleted from the table.
	onEntriesMissing func()

	lock    sync.Mutex
	core    *fleet.Core
	headRow mimosatide.RowVersion
	// patchResults are the channels of the patches that wait for an outcome, by patch ID.
	patchResults map[string]chan fleet.PatchResult
	// left is closed when the node has left the fleet.
	left     chan struct{}
	leftOnce sync.Once
	// freshUntil is the time by clock until which the configuration is confirmed, in nanoseconds.
	freshUntil atomic.Int64
	processes  atomic.Pointer[fleet.Processes]
	// nextPublish is when processes is due to be updated, by clock.
	nextPublish time.Duration
}

// run passes ticks and host lists to the core until the context ends.
func (runner *fleetRunner) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	hosts := time.NewTicker(hostListInterval)
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

// step passes one event to the core and starts the effects that it returns.
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
	runner.publishProcesses()
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
	case fleet.ReportShares:
		runner.nextPublish = 0
		runner.onShares(effect)
	case fleet.PatchResult:
		runner.deliverPatchResult(effect)
	case fleet.LoadSnapshot:
		go runner.onEntriesMissing()
	case fleet.Left:
		runner.leftOnce.Do(func() { close(runner.left) })
	}
}

// submit runs work on the pool, or on a goroutine of its own if the pool is full: the core must get
// an answer to every call.
func (runner *fleetRunner) submit(work func()) {
	if err := runner.pool.Submit(work); err != nil {
		go work()
	}
}

func (runner *fleetRunner) readTable(ctx context.Context, effect fleet.ReadTable) {
	callCtx, cancel := context.WithTimeout(ctx, runner.callTimeout)
	defer cancel()
	rows, err := runner.table.Read(callCtx, effect.Keys...)
	runner.step(ctx, fleet.TableRead{Call: effect.Call, Rows: rows, Failed: err != nil})
}

func (runner *fleetRunner) commitTable(ctx context.Context, effect fleet.CommitTable) {
	callCtx, cancel := context.WithTimeout(ctx, runner.callTimeout)
	defer cancel()
	outcome := runner.table.Commit(callCtx, effect.Transaction)
	runner.step(ctx, fleet.TableCommitted{Call: effect.Call, Outcome: outcome})
}

func (runner *fleetRunner) deliverPatchResult(result fleet.PatchResult) {
	results, known := runner.patchResults[result.ID]
	if !known {
		return
	}
	delete(runner.patchResults, result.ID)
	results <- result
}

// propose passes a patch to the core and waits for its outcome, which is PatchUnsettled if the
// context ends first.
func (runner *fleetRunner) propose(ctx context.Context, patch fleet.PatchRequested) fleet.PatchResult {
	runner.lock.Lock()
	results, known := runner.patchResults[patch.ID]
	if !known {
		results = make(chan fleet.PatchResult, 1)
		runner.patchResults[patch.ID] = results
	}
	runner.lock.Unlock()
	if !known {
		runner.step(ctx, patch)
	}
	select {
	case result := <-results:
		// Another call with the same patch ID may wait for the same result.
		results <- result
		return result
	case <-ctx.Done():
		return fleet.PatchResult{ID: patch.ID, Outcome: fleet.PatchUnsettled}
	}
}

// fresh reports whether the configuration is confirmed fresh, so that requests may be admitted.
func (runner *fleetRunner) fresh() bool {
	return int64(runner.clock.Now()) < runner.freshUntil.Load()
}

// waitFresh waits until the configuration is confirmed fresh. It returns false if that takes longer
// than freshnessTimeout or the context ends first.
func (runner *fleetRunner) waitFresh(ctx context.Context) bool {
	if runner.fresh() {
		return true
	}
	deadline := time.Now().Add(freshnessTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(freshnessPollInterval)
		if runner.fresh() {
			return true
		}
	}
	return false
}

// skipTo calls load to apply the snapshot of a sequence and continues with the entries after it. It
// does nothing if the entry of that sequence is already applied.
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

// ProcessEnded reports whether a process is known to have ended.
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

// Lenders returns the addresses of the other live members that hold rate shares.
func (runner *fleetRunner) Lenders() []string {
	return runner.processes.Load().Lenders
}

// Send sends a message to a peer.
func (runner *fleetRunner) Send(to string, message any) {
	runner.send(to, message)
}

// publishProcesses updates the processes that other components read without the lock, at most once per
// publishInterval unless the head or the shares have changed.
func (runner *fleetRunner) publishProcesses() {
	now := runner.clock.Now()
	if now < runner.nextPublish {
		return
	}
	runner.nextPublish = now + publishInterval
	next, last := runner.core.Processes(now), runner.processes.Load()
	if last != nil && slices.Equal(last.Live, next.Live) {
		// Readers compare slice identity to detect a change of members, so an equal slice is kept.
		next.Live = last.Live
	}
	runner.processes.Store(next)
}

// shares returns the number of rate shares that each process is known to hold.
func (runner *fleetRunner) shares() map[fleet.Holder]int {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	counts := map[fleet.Holder]int{}
	for _, holder := range runner.core.Holders() {
		counts[holder]++
	}
	return counts
}
