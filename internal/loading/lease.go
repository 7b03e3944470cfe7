package loading

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// The times of a lease.
const (
	// renewEvery is how often the holder renews, several times within a term.
	renewEvery = 800 * time.Millisecond
	// renewTimeout bounds a renewal, and renewAgain is when one without an answer is repeated.
	renewTimeout = 600 * time.Millisecond
	renewAgain   = 200 * time.Millisecond
	// termTime is how long after the start of a renewal the holder may order.
	termTime = 3 * time.Second
	// termMargin covers clocks that run at different speeds.
	termMargin = 200 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 1500 * time.Millisecond
	// maxFailing is the number of renewals without an answer after which the lease is given up.
	maxFailing = 2
	// silentOwner is after how long without its word an owner is taken to be away.
	silentOwner = 1200 * time.Millisecond
	// rankDelay keeps the candidates from asking the store all at once.
	rankDelay = 250 * time.Millisecond
)

// LeaseTable is the table of the leases.
type LeaseTable interface {
	Read(ctx context.Context, keys ...string) ([]mimosatide.Row, error)
	Commit(ctx context.Context, transaction mimosatide.Transaction) (mimosatide.CommitOutcome, mimosatide.RowVersion, error)
}

// Clock reads a clock that counts the time in which the machine is suspended.
type Clock interface {
	Now() time.Duration
}

// leaseRow is the content of a lease's row.
type leaseRow struct {
	Holder   string
	Term     uint64
	Released bool
}

// Lease is the right to order the targets of a service.
type Lease struct {
	key    string
	holder string
	quiet  time.Duration
	table  LeaseTable
	clock  Clock
	log    logr.Logger

	lock sync.Mutex
	// term and row are those of the lease while this node holds it.
	term uint64
	row  mimosatide.RowVersion
	// until is when the right ends; from is when the first order may leave.
	until time.Duration
	from  time.Duration
	// seenRow and seenAt say since when the row of another holder has been known unchanged.
	seenRow mimosatide.RowVersion
	seenAt  time.Duration
	// orderedAt is when the last order left; givenUp is the row of another node's lease that it gave up.
	orderedAt time.Duration
	givenUp   mimosatide.RowVersion
	idleFor   time.Duration
	// failing counts the renewals without an answer.
	failing int
	// heardAt is when another node last said that it holds the lease.
	heardAt time.Duration
	heard   bool
}

// NewLease returns a lease on a row that this node does not hold yet. Two
// holders never order within quiet of each other. The holder's name has to tell
// its machine from every other one, also from one that comes in its place.
func NewLease(key, holder string, quiet time.Duration, table LeaseTable, clock Clock, log logr.Logger) *Lease {
	return &Lease{key: key, holder: holder, quiet: quiet, table: table, clock: clock, log: log}
}

// Term returns the fencing number if this node may order at this moment.
func (lease *Lease) Term() (mimosatide.FencingNumber, bool) {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	now := lease.clock.Now()
	if lease.term == 0 || now >= lease.until || now < lease.from {
		return 0, false
	}
	return mimosatide.FencingNumber(lease.term), true
}

// Held returns the lease's term and row version while this node holds it.
func (lease *Lease) Held() (term uint64, row mimosatide.RowVersion, held bool) {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	return lease.term, lease.row, lease.term != 0 && lease.clock.Now() < lease.until
}

// Hear takes another node's word that it holds the lease.
func (lease *Lease) Hear(row mimosatide.RowVersion) {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	lease.heardAt = lease.clock.Now()
	lease.heard = true
	lease.see(row)
}

// Ordered notes that an order is about to leave.
func (lease *Lease) Ordered() {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	lease.orderedAt = lease.clock.Now()
}

// HearGivenUp takes another node's word that it will not order under its lease
// again, and how long ago its last order left.
func (lease *Lease) HearGivenUp(row mimosatide.RowVersion, idle time.Duration) {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	if row < lease.seenRow {
		// Another node has taken the lease since; the one before goes on saying so.
		return
	}
	lease.heard = false
	lease.givenUp = row
	lease.idleFor = idle
}

// GivenUp returns the row of a lease that this node gave up because the store
// did not answer, and how long ago its last order left.
func (lease *Lease) GivenUp() (row mimosatide.RowVersion, idle time.Duration, given bool) {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	if lease.failing < maxFailing {
		return 0, 0, false
	}
	return lease.row, lease.clock.Now() - lease.orderedAt, true
}

// see notes since when a row version has been known.
func (lease *Lease) see(row mimosatide.RowVersion) {
	if row > lease.seenRow {
		lease.seenRow = row
		lease.seenAt = lease.clock.Now()
	}
}

// Run renews the lease or takes it over when its holder is away. rank orders the candidates.
func (lease *Lease) Run(ctx context.Context, rank func() int) {
	for ctx.Err() == nil {
		sleep(ctx, lease.Step(ctx, rank()))
	}
}

// Step does what is due and returns the time until the next step.
func (lease *Lease) Step(ctx context.Context, rank int) time.Duration {
	lease.lock.Lock()
	now := lease.clock.Now()
	holds := lease.term != 0 && now < lease.until
	away := !lease.heard || now-lease.heardAt > silentOwner+time.Duration(rank)*rankDelay
	lease.lock.Unlock()
	switch {
	case holds:
		return lease.renew(ctx)
	case away:
		return lease.takeOver(ctx)
	default:
		return rankDelay
	}
}

// renew writes the row again under the condition that nobody else has.
func (lease *Lease) renew(ctx context.Context) time.Duration {
	bounded, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	lease.lock.Lock()
	term, row := lease.term, lease.row
	lease.lock.Unlock()
	begun := lease.clock.Now()
	outcome, version, err := lease.write(bounded, row, leaseRow{Holder: lease.holder, Term: term})
	lease.lock.Lock()
	defer lease.lock.Unlock()
	switch outcome {
	case mimosatide.CommitDone:
		lease.failing = 0
		lease.row = version
		lease.until = begun + termTime
	case mimosatide.CommitConflict:
		// Either another node has the lease, or an answer was lost and the row is this node's own.
		lease.log.Info("lease lost", "lease", lease.key, "term", term, "row", row)
		lease.term = 0
	default:
		lease.log.Info("lease not renewed", "lease", lease.key, "term", term, "outcome", outcome.String(),
			"left", lease.until-lease.clock.Now(), "reason", text(err))
		lease.failing++
		if lease.failing >= maxFailing {
			// The store may answer another node: it need not wait for the term's end.
			lease.log.Info("lease given up", "lease", lease.key, "term", term, "row", row)
			lease.term = 0
		}
		return renewAgain
	}
	return renewEvery
}

// takeOver takes the lease if its holder has released it or has been away for a whole term.
func (lease *Lease) takeOver(ctx context.Context) time.Duration {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	rows, err := lease.table.Read(bounded, lease.key)
	cancel()
	if err != nil {
		lease.log.V(1).Info("lease not read", "lease", lease.key, "reason", err.Error())
		return renewEvery
	}
	var present leaseRow
	var version mimosatide.RowVersion
	if len(rows) > 0 {
		version = rows[0].Version
		if err := cbor.Unmarshal(rows[0].Value, &present); err != nil {
			lease.log.Error(err, "lease row unreadable", "lease", lease.key, "row", version)
		}
	}
	lease.lock.Lock()
	lease.see(version)
	waited := lease.clock.Now() - lease.seenAt
	lease.lock.Unlock()
	own := present.Holder == lease.holder
	lease.lock.Lock()
	given := version != 0 && version == lease.givenUp
	lease.lock.Unlock()
	if version != 0 && !present.Released && !own && !given && waited < termTime+termMargin {
		return min(termTime+termMargin-waited, renewEvery)
	}
	lease.take(ctx, version, present)
	return renewEvery
}

// take writes the row with the next term. Unless this machine was the last holder
// or there was none, the first order waits until an order of the last holder is
// long past: of a process that ran here before, orders are void by the new term
// and by the engine's count of orders.
func (lease *Lease) take(ctx context.Context, version mimosatide.RowVersion, before leaseRow) {
	begun := lease.clock.Now()
	next := leaseRow{Holder: lease.holder, Term: before.Term + 1}
	outcome, row, err := lease.write(ctx, version, next)
	if outcome != mimosatide.CommitDone {
		lease.log.Info("lease not taken", "lease", lease.key, "term", next.Term, "outcome", outcome.String(), "reason", text(err))
		return
	}
	lease.lock.Lock()
	defer lease.lock.Unlock()
	lease.term = next.Term
	lease.failing = 0
	lease.row = row
	lease.until = begun + termTime
	if before.Holder != lease.holder || version == 0 {
		lease.from = lease.clock.Now()
		if version != 0 {
			lease.from += lease.quiet + termMargin
		}
		if version != 0 && version == lease.givenUp {
			lease.from -= min(lease.idleFor, lease.quiet)
		}
	}
	lease.log.Info("lease taken", "lease", lease.key, "term", next.Term, "row", row, "before", before.Holder,
		"released", before.Released, "ordersIn", lease.from-lease.clock.Now())
}

// Release gives the lease up, so that another node need not wait for its end.
func (lease *Lease) Release(ctx context.Context) {
	lease.lock.Lock()
	term, row := lease.term, lease.row
	lease.term = 0
	lease.lock.Unlock()
	if term == 0 {
		return
	}
	outcome, _, err := lease.write(ctx, row, leaseRow{Holder: lease.holder, Term: term, Released: true})
	lease.log.Info("lease released", "lease", lease.key, "term", term, "outcome", outcome.String(), "reason", text(err))
	if outcome != mimosatide.CommitDone {
		// The store does not tell the others, so the peers are told.
		lease.lock.Lock()
		lease.failing = maxFailing
		lease.lock.Unlock()
	}
}

func (lease *Lease) write(
	ctx context.Context, row mimosatide.RowVersion, content leaseRow,
) (mimosatide.CommitOutcome, mimosatide.RowVersion, error) {
	value, err := cbor.Marshal(content)
	if err != nil {
		return mimosatide.CommitRefused, 0, errors.Trace(err)
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return lease.table.Commit(bounded, mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: lease.key, Version: row}},
		Writes:     []mimosatide.Write{{Key: lease.key, Value: value}},
	})
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
