package loading

import (
	"context"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// takeOver takes the lease if nothing says that another node may hold it.
func (lease *Lease) takeOver(ctx context.Context) time.Duration {
	found, err := lease.read(ctx)
	if err != nil {
		lease.log.V(1).Info("cannot read the lease row", "lease", lease.key, "reason", err.Error())
		return renewInterval
	}
	vacancy, unchangedFor := lease.vacancy(found)
	if vacancy == vacancyNone {
		lease.logWait(found, unchangedFor)
		return min(leaseDuration+clockDriftMargin-unchangedFor, renewInterval)
	}
	lease.log.Info("lease free", "lease", lease.key, "era", found.newest.Era(), "row", found.version, "rowEra", found.Era,
		"before", found.Holder, "term", found.Term, "reason", vacancy, "unchangedFor", unchangedFor)
	lease.take(ctx, found, vacancy)
	return renewInterval
}

// vacancy returns why the lease may be taken, and since when its row is known not to have
// changed. A row that doesn't belong to the store's present era says nothing about who has
// taken the lease since it was written.
func (lease *Lease) vacancy(found foundRow) (vacancy, time.Duration) {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	lease.observeRow(found.seenAs())
	now := lease.clock.Now()
	unchangedFor := now - lease.seenRowAt
	switch {
	case found.newest < lease.seenRow:
		// The row may have been written since it was read.
		return vacancyNone, 0
	case found.belongsToEra() && found.version == 0 && found.seenAs() == lease.seenRow:
		return vacancyNew, unchangedFor
	case found.belongsToEra() && found.Holder == lease.holder:
		return vacancyOwn, unchangedFor
	case found.belongsToEra() && found.version != 0 && found.version <= lease.givenUpRow && lease.givenUpRow <= found.newest:
		return vacancyGivenUp, unchangedFor
	case found.belongsToEra() && found.Released:
		return vacancyReleased, unchangedFor
	case !found.belongsToEra() && lease.claimedTerm != 0 && now < lease.expiresAt:
		// Before the restore no other node could take the lease, and since then none has.
		return vacancyKept, unchangedFor
	case unchangedFor >= leaseDuration+clockDriftMargin:
		return vacancyExpired, unchangedFor
	default:
		return vacancyNone, unchangedFor
	}
}

// logWait logs once for each version of the row that it may still be in force.
func (lease *Lease) logWait(found foundRow, unchangedFor time.Duration) {
	if found.seenAs() == lease.waitedFor {
		return
	}
	lease.waitedFor = found.seenAs()
	lease.log.Info("lease not free", "lease", lease.key, "era", found.newest.Era(), "row", found.version, "rowEra", found.Era,
		"before", found.Holder, "term", found.Term, "unchangedFor", unchangedFor)
}

// take writes the row with the next term. After a different holder, the first order
// waits until handoverDelay has passed since that holder may have sent its last
// one. After a process of this machine no delay is needed unless that process was still
// waiting: the new term and the engines' count of accepted orders make its late orders void.
// Engines that don't check terms get none until these have arrived.
func (lease *Lease) take(ctx context.Context, found foundRow, vacancy vacancy) {
	term, err := lease.nextTerm(found, vacancy)
	if err != nil {
		lease.log.Error(err, "lease not taken", "lease", lease.key, "row", found.version)
		return
	}
	begun := lease.clock.Now()
	next := leaseRow{Holder: lease.holder, Term: term, Waiting: lease.waitsAfter(found, vacancy), Era: found.newest.Era()}
	outcome, row, err := lease.write(ctx, found.version, next)
	if outcome != mimosatide.CommitDone {
		lease.log.Info("lease not taken", "lease", lease.key, "term", term, "row", found.version, "outcome", outcome.String(), "reason", errorText(err))
	}
	switch outcome {
	case mimosatide.CommitDone:
		if lease.recordTaken(found, vacancy, term, row, begun) {
			// The node began to drain while the row was written.
			lease.Release(ctx)
		}
	case mimosatide.CommitUnknown:
		// If the row was written, this node will find it to be its own.
		lease.lock.Lock()
		lease.delayOrders(found, vacancy)
		lease.lock.Unlock()
	}
}

// waitsAfter reports whether this node may not order at once after it has taken the lease.
func (lease *Lease) waitsAfter(found foundRow, vacancy vacancy) bool {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	switch vacancy {
	case vacancyNew:
		return false
	case vacancyOwn:
		return found.Waiting || lease.clock.Now() < lease.ordersFrom
	case vacancyKept:
		return lease.clock.Now() < lease.ordersFrom
	default:
		return true
	}
}

// nextTerm returns the term of a takeover. A lease that this node has kept goes on with its own:
// the orders under way are still its own.
func (lease *Lease) nextTerm(found foundRow, vacancy vacancy) (uint64, error) {
	if vacancy != vacancyKept {
		return found.nextTerm()
	}
	lease.lock.Lock()
	defer lease.lock.Unlock()
	if lease.claimedTerm == 0 {
		return 0, errors.New("the lease was released since its row was read")
	}
	return lease.claimedTerm, nil
}

// recordTaken records that this node has taken the lease, and reports whether Release was
// called meanwhile. found is the row before, begun is when the write of the new row began.
func (lease *Lease) recordTaken(found foundRow, vacancy vacancy, term uint64, row mimosatide.RowVersion, begun time.Duration) bool {
	lease.lock.Lock()
	defer lease.lock.Unlock()
	lease.term = term
	lease.claimedTerm = term
	lease.failedAt, lease.failedRenewals = 0, 0
	lease.stopped = false
	lease.row, lease.named = row, max(lease.named, row)
	lease.expiresAt = begun + leaseDuration
	lease.delayOrders(found, vacancy)
	lease.signalHeld()
	lease.log.Info("lease taken", "lease", lease.key, "term", lease.term, "row", row, "before", found.Holder,
		"released", found.Released, "reason", vacancy, "ordersIn", lease.ordersFrom-lease.clock.Now())
	return lease.released
}

// delayOrders sets the earliest time of the next order after a takeover.
func (lease *Lease) delayOrders(found foundRow, vacancy vacancy) {
	now := lease.clock.Now()
	full := now + lease.handoverDelay + clockDriftMargin
	switch vacancy {
	case vacancyKept:
		// What this node waits for has not changed.
	case vacancyOwn:
		if found.Waiting && lease.ordersFrom == 0 {
			// An earlier process of this machine has not waited to the end.
			lease.ordersFrom = full
		}
		// An earlier process may have ordered until now.
		lease.lastOrderAt = now
		lease.ordersFrom = max(lease.ordersFrom, lease.ownOrdersUntil)
	case vacancyNew:
		lease.ordersFrom = max(lease.ordersFrom, now)
	case vacancyGivenUp:
		lease.ordersFrom = max(lease.ordersFrom, full-min(lease.givenUpIdle, lease.handoverDelay))
	default:
		lease.ordersFrom = max(lease.ordersFrom, full)
	}
}
