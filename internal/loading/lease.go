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

const (
	// renewInterval is short enough for several renewals within leaseDuration.
	renewInterval = 800 * time.Millisecond
	renewTimeout  = 600 * time.Millisecond
	// renewRetryDelay is the delay before a renewal without an answer is retried.
	renewRetryDelay = 200 * time.Millisecond
	// leaseDuration counts from the start of a renewal.
	leaseDuration = 3 * time.Second
	// clockDriftMargin covers clocks that run at different speeds.
	clockDriftMargin = 200 * time.Millisecond
	// tableTimeout bounds a call to the table.
	tableTimeout = 1500 * time.Millisecond
	// maxFailedRenewals is the number of renewals in a row without an answer, each although
	// the table has answered another call since the one before, after which the lease is
	// given up.
	maxFailedRenewals = 2
	// holderTimeout is the time without a message from the lease holder after which
	// other nodes try to take the lease over.
	holderTimeout = 1200 * time.Millisecond
	// rankDelay is added to holderTimeout for each rank, so that the candidates do not
	// all call the table at once.
	rankDelay = 250 * time.Millisecond
)

// LeaseTable is the table that holds the leases.
type LeaseTable interface {
	// Read returns the rows of the given keys that exist, and the newest version of the store.
	Read(ctx context.Context, keys ...string) ([]mimosatide.Row, mimosatide.RowVersion, error)
	// Commit returns the version of the store that its answer names: the written rows have this
	// version, or an earlier one if other rows were written before the answer.
	Commit(ctx context.Context, transaction mimosatide.Transaction) (mimosatide.CommitOutcome, mimosatide.RowVersion, error)
}

// Clock is a monotonic clock that keeps running while the machine is suspended.
type Clock interface {
	Now() time.Duration
}

// Lease is the right to send orders to the targets of a service. It is held by one
// node at a time and renewed by conditional writes to one table row. Its term is
// the fencing token: it grows with each takeover, also if the store forgets takeovers.
// Lease is safe for concurrent use.
type Lease struct {
	key           string
	holder        string
	handoverDelay time.Duration
	// ownOrdersUntil is until when orders of an earlier process of this machine may arrive at
	// engines that don't check fencing tokens; zero if they do.
	ownOrdersUntil time.Duration
	table          LeaseTable
	clock          Clock
	answeredAt     func() time.Duration
	log            logr.Logger

	lock sync.Mutex
	// term is that of the lease that this node last held; zero if it was lost, released or given up.
	term uint64
	// row is the version that the row was last read with, or that the answer to a later write
	// named: the row may have an earlier one then.
	row mimosatide.RowVersion
	// named is the newest version that an answer to a write of this node has named.
	named mimosatide.RowVersion
	// claimedTerm is the term that this node has taken and has neither released nor given up
	// since, or zero: no other node takes the lease before expiresAt.
	claimedTerm uint64
	// Orders may be sent from ordersFrom until expiresAt.
	expiresAt  time.Duration
	ordersFrom time.Duration
	// seenRow is the newest version that the row was read with, or that its holder has heard of
	// from the store. A row whose version isn't newer has not changed since seenRowAt.
	seenRow   mimosatide.RowVersion
	seenRowAt time.Duration
	// lastOrderAt is when this node last sent an order.
	lastOrderAt time.Duration
	// givenUpRow is a version of the store by which another node has given the lease up: if the row
	// isn't newer, nobody has taken the lease since.
	// givenUpIdle is how long before its message that node sent its last order.
	givenUpRow  mimosatide.RowVersion
	givenUpIdle time.Duration
	// failedAt is when the last renewal without an answer began, zero after one with an
	// answer; failedRenewals is counted as maxFailedRenewals says.
	failedAt       time.Duration
	failedRenewals int
	// stopped says that this node will send no more orders under row, and that the table
	// does not say so.
	stopped bool
	// holderSeenAt is when another node last reported that it holds the lease.
	holderSeenAt time.Duration
	holderSeen   bool
	// released says that Release was called: this node takes the lease no more.
	released bool
	// held receives a value after this node has taken or renewed the lease.
	held chan struct{}

	// waitedFor is the version of the row that logWait last logged. Only Step uses it.
	waitedFor mimosatide.RowVersion
}

// LeaseSettings are the parameters of a Lease.
type LeaseSettings struct {
	// Key is the key of the lease's row.
	Key string
	// Holder must be unique to this machine: a machine that replaces another one under the
	// same name needs a different holder.
	Holder string
	// HandoverDelay is the minimum time between the last order of one holder and the first
	// order of the next.
	HandoverDelay time.Duration
	// LateOrders is how long after the end of a send its order may arrive at an engine; zero if
	// the engines check fencing tokens, so that late orders have no effect.
	LateOrders time.Duration
}

// NewLease returns a lease that this node does not hold yet. answeredAt returns a reading of
// the clock after which the store has answered this node or another one; it is called without
// the lease's lock.
func NewLease(
	settings LeaseSettings, table LeaseTable, clock Clock, answeredAt func() time.Duration, log logr.Logger,
) *Lease {
	lease := &Lease{
		key: settings.Key, holder: settings.Holder, handoverDelay: settings.HandoverDelay,
		table: table, clock: clock, answeredAt: answeredAt, log: log,
		held: make(chan struct{}, 1),
	}
	if settings.LateOrders > 0 {
		lease.handoverDelay = max(settings.HandoverDelay, engineTimeout+settings.LateOrders)
		lease.ownOrdersUntil = clock.Now() + settings.LateOrders + clockDriftMargin
	}
	return lease
}

// FencingToken returns the fencing token if this node may send orders now.
func (lease *Lease) FencingToken() (mimosatide.FencingToken, bool) {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	now := lease.clock.Now()
	if lease.term == 0 || now >= lease.expiresAt || now < lease.ordersFrom {
		return 0, false
	}
	return mimosatide.FencingToken(lease.term), true
}

// Held returns the term and a version of the store than which the row is not newer, while this
// node holds the lease. A new holder may not be allowed to send orders yet; see FencingToken.
func (lease *Lease) Held() (term uint64, row mimosatide.RowVersion, held bool) {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	return lease.term, lease.named, lease.term != 0 && lease.clock.Now() < lease.expiresAt
}

// Renewed returns a channel that receives a value after this node has taken or renewed the lease.
func (lease *Lease) Renewed() <-chan struct{} {
	return lease.held
}

// signalHeld wakes the receiver of Renewed.
func (lease *Lease) signalHeld() {
	select {
	case lease.held <- struct{}{}:
	default:
	}
}

// ObserveHolder records another node's message that it holds the lease.
func (lease *Lease) ObserveHolder(row mimosatide.RowVersion) {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	lease.holderSeenAt = lease.clock.Now()
	lease.holderSeen = true
	lease.observeRow(row)
}

// RecordOrder records that an order is about to be sent.
func (lease *Lease) RecordOrder() {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	lease.lastOrderAt = lease.clock.Now()
}

// ObserveGivenUp records another node's message that it will send no more orders
// under its lease, and how long before the message it sent its last one.
func (lease *Lease) ObserveGivenUp(row mimosatide.RowVersion, idle time.Duration) {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	if row < lease.seenRow {
		// The lease has been taken since; its former holder keeps repeating the message.
		return
	}
	lease.holderSeen = false
	lease.givenUpRow = row
	lease.givenUpIdle = idle
}

// GivenUp returns the row version of a lease that this node gave up or let expire because
// the table did not answer, or whose release the table did not confirm, and the time
// since this node's last order, or that of a holder before it for which it was waiting.
func (lease *Lease) GivenUp() (row mimosatide.RowVersion, idle time.Duration, givenUp bool) {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	expired := lease.failedAt != 0 && lease.clock.Now() >= lease.expiresAt
	if !lease.stopped && !expired {
		return 0, 0, false
	}
	last := max(lease.lastOrderAt, lease.ordersFrom-lease.handoverDelay-clockDriftMargin)
	return lease.named, lease.clock.Now() - last, true
}

// observeRow records a row version and since when it is known.
func (lease *Lease) observeRow(row mimosatide.RowVersion) {
	if row > lease.seenRow {
		lease.seenRow = row
		lease.seenRowAt = lease.clock.Now()
	}
}

// Run renews the lease, or takes it over when its holder is gone, until ctx is
// cancelled. rank returns this node's position among the candidates, from zero.
func (lease *Lease) Run(ctx context.Context, rank func() int) {
	for ctx.Err() == nil {
		sleep(ctx, lease.Step(ctx, rank()))
	}
}

// Step renews the lease or tries to take it over, if either is due, and returns
// the time until the next step.
func (lease *Lease) Step(ctx context.Context, rank int) time.Duration {
	lease.lock.Lock()
	now := lease.clock.Now()
	held := lease.term != 0 && now < lease.expiresAt
	holderGone := !lease.holderSeen || now-lease.holderSeenAt > holderTimeout+time.Duration(rank)*rankDelay
	released := lease.released
	lease.lock.Unlock()
	switch {
	case released:
		return renewInterval
	case held:
		return lease.renew(ctx)
	case holderGone:
		return lease.takeOver(ctx)
	default:
		return rankDelay
	}
}

// renew rewrites the row on the condition that it has not changed.
func (lease *Lease) renew(ctx context.Context) time.Duration {
	bounded, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	lease.lock.Lock()
	term, row, ordersFrom := lease.term, lease.row, lease.ordersFrom
	lease.lock.Unlock()
	begun := lease.clock.Now()
	outcome, version, err := lease.write(bounded, row, leaseRow{
		Holder: lease.holder, Term: term, Waiting: begun < ordersFrom, Era: row.Era(),
	})
	var found foundRow
	own := false
	if outcome == mimosatide.CommitConflict {
		// The answer to an earlier renewal may have named a newer version than the row's, or may be lost.
		if found, err = lease.read(bounded); err != nil {
			outcome = mimosatide.CommitUnknown
		}
		own = found.isOf(lease.holder, term)
	}
	// The caller's function may wait for who waits for this lease's lock.
	answeredAt := lease.answeredAt()
	lease.lock.Lock()
	defer lease.lock.Unlock()
	switch outcome {
	case mimosatide.CommitDone:
		lease.failedAt, lease.failedRenewals = 0, 0
		lease.row, lease.named = version, max(lease.named, version)
		lease.expiresAt = begun + leaseDuration
		lease.signalHeld()
	case mimosatide.CommitConflict:
		lease.failedAt, lease.failedRenewals = 0, 0
		if own {
			lease.log.Info("own lease row found", "lease", lease.key, "term", term, "row", found.version, "before", row)
			lease.row, lease.named = found.version, max(lease.named, found.version)
			return 0
		}
		// Another node took the lease, or the store was restored.
		lease.log.Info("lease lost", "lease", lease.key, "term", term, "row", row)
		lease.term = 0
		return 0
	default:
		lease.log.Info("lease not renewed", "lease", lease.key, "term", term, "row", row, "outcome", outcome.String(),
			"left", lease.expiresAt-lease.clock.Now(), "reason", errorText(err))
		if lease.failedAt != 0 && answeredAt > lease.failedAt {
			lease.failedRenewals++
		}
		lease.failedAt = begun
		if lease.failedRenewals >= maxFailedRenewals {
			// The table answers another node, which then need not wait for the lease to expire.
			lease.log.Info("lease given up", "lease", lease.key, "term", term, "row", row)
			lease.term = 0
			lease.claimedTerm = 0
			lease.stopped = true
		}
		return renewRetryDelay
	}
	return renewInterval
}

// Release gives up the lease for good, so that another node can take it before it expires.
// If the table does not confirm the release, GivenUp reports the lease instead.
func (lease *Lease) Release(ctx context.Context) {
	lease.lock.Lock()
	term, row := lease.term, lease.row
	waiting := lease.clock.Now() < lease.ordersFrom
	lease.term = 0
	lease.claimedTerm = 0
	lease.released = true
	lease.lock.Unlock()
	if term == 0 {
		return
	}
	content := leaseRow{Holder: lease.holder, Term: term, Released: true, Waiting: waiting, Era: row.Era()}
	outcome, _, err := lease.write(ctx, row, content)
	if outcome == mimosatide.CommitConflict {
		// As in renew, the row may still be this node's.
		if found, readErr := lease.read(ctx); readErr == nil && found.isOf(lease.holder, term) {
			row = found.version
			outcome, _, err = lease.write(ctx, row, content)
		}
	}
	lease.log.Info("lease released", "lease", lease.key, "term", term, "row", row, "outcome", outcome.String(), "reason", errorText(err))
	if outcome != mimosatide.CommitDone {
		// The other nodes cannot learn of the release from the table, so GivenUp
		// reports the lease for the messages to the peers.
		lease.lock.Lock()
		lease.stopped = true
		lease.lock.Unlock()
	}
}

// read reads the row. If it can't be decoded, its version is known all the same.
func (lease *Lease) read(ctx context.Context) (foundRow, error) {
	bounded, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, newest, err := lease.table.Read(bounded, lease.key)
	if err != nil {
		return foundRow{}, errors.Trace(err)
	}
	found, err := decodeRow(rows, newest)
	if err != nil {
		lease.log.Error(err, "cannot decode the lease row", "lease", lease.key, "row", found.version)
	}
	return found, nil
}

// write replaces the row on the condition that it still has the given version. The outcome is
// unknown if the store was restored meanwhile.
func (lease *Lease) write(
	ctx context.Context, row mimosatide.RowVersion, content leaseRow,
) (mimosatide.CommitOutcome, mimosatide.RowVersion, error) {
	value, err := cbor.Marshal(content)
	if err != nil {
		return mimosatide.CommitRefused, 0, errors.Trace(err)
	}
	bounded, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	outcome, version, err := lease.table.Commit(bounded, mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: lease.key, Version: row}},
		Writes:     []mimosatide.Write{{Key: lease.key, Value: value}},
	})
	if outcome == mimosatide.CommitDone && version.Era() != content.Era {
		return mimosatide.CommitUnknown, 0, errors.Errorf("row %s was written in a later era than %d", version, content.Era)
	}
	return outcome, version, errors.Trace(err)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// sleep waits for the duration or until ctx is cancelled.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
