package origin

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mimosatide.example/mimosatide"
)

// clockTolerance is by how much the start of an incarnation, by its target's clock, has to be later than the first
// event of a stream, by this node's, to have come after it: hosts synchronize their clocks.
const clockTolerance = time.Second

// incarnation is the newest known incarnation of a target.
type incarnation struct {
	born time.Time
	at   time.Time
}

// Reported records that a target is known to be an incarnation, by its own report or its row. Streams that were
// taken for ones of an earlier incarnation, but may have begun at this one, have no known version any more: their
// records are withdrawn, also from the store before Reported returns, so that no other node uses them. That holds
// for those withdrawn before too: callers of several streams of a target learn at the same time that these broke off.
func (tracker *Tracker) Reported(ctx context.Context, target string, born time.Time) {
	tracker.withdraw(target, born, time.Now())
	if len(tracker.unsavedWithdrawals(target)) > 0 {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		tracker.saveWithdrawals(bounded, target)
	}
}

// Known records an incarnation as Reported does, but leaves the store to Run.
func (tracker *Tracker) Known(target string, born time.Time) {
	if tracker.withdraw(target, born, time.Now()) {
		tracker.signal()
	}
}

// Stands reports whether the record of a stream that this node has sent was not withdrawn.
func (tracker *Tracker) Stands(id string) bool {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	known := tracker.records[id]
	return known == nil || !known.withdrawn
}

// withdraw withdraws the records that an incarnation puts in doubt, and reports whether there are any.
func (tracker *Tracker) withdraw(target string, born, now time.Time) bool {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if !born.After(tracker.incarnations[target].born) {
		return false
	}
	tracker.incarnations[target] = incarnation{born: born, at: now}
	withdrawn := false
	for _, known := range tracker.records {
		if known.Target == target && tracker.withdrawLocked(known) {
			withdrawn = true
		}
	}
	return withdrawn
}

// unsavedWithdrawals returns the streams of a target whose withdrawal the store may not have.
func (tracker *Tracker) unsavedWithdrawals(target string) []Stream {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	var unsaved []Stream
	for _, known := range tracker.records {
		if known.Target == target && known.withdrawn && !known.saved {
			unsaved = append(unsaved, known.Stream)
		}
	}
	return unsaved
}

// withdrawLocked withdraws a stream's record if it has begun, and may have done so at a later incarnation of its
// target than the one that it was sent to. It reports whether it did.
func (tracker *Tracker) withdrawLocked(known *record) bool {
	newest := tracker.incarnations[known.Target].born
	if known.withdrawn || !known.confirmed || !newest.After(known.Born) || newest.After(known.begunAt.Add(clockTolerance)) {
		return false
	}
	known.withdrawn, known.saved = true, false
	tracker.log.Info("origin of a stream withdrawn", "stream", known.ID, "service", known.Service, "target", known.Target,
		"software", known.Software, "born", known.Born.UnixMilli(), "reported", newest.UnixMilli())
	return true
}

// saveWithdrawals writes rows that say that the versions of a target's withdrawn streams are not known. Run writes
// those that this fails to write.
func (tracker *Tracker) saveWithdrawals(ctx context.Context, target string) {
	tracker.committing.Lock()
	defer tracker.committing.Unlock()
	streams := tracker.unsavedWithdrawals(target)
	if len(streams) == 0 {
		return
	}
	expires := time.Now().Add(tracker.settings.Lifetime()).UnixMilli()
	var writes []mimosatide.Write
	for _, stream := range streams[:min(len(streams), maxWrites)] {
		value, err := cbor.Marshal(streamRow{Service: stream.Service, Withdrawn: true, ExpiresMillis: expires})
		if err != nil {
			tracker.log.Error(err, "withdrawal of a stream not encoded", "stream", stream.ID)
			continue
		}
		writes = append(writes, mimosatide.Write{Key: stream.ID, Value: value})
	}
	outcome, _, err := tracker.streams.Commit(ctx, mimosatide.Transaction{Writes: writes})
	if outcome != mimosatide.CommitDone {
		tracker.log.Info("withdrawals of streams not saved", "count", len(writes), "outcome", outcome.String(), "reason", errorText(err))
		return
	}
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	for _, write := range writes {
		if known := tracker.records[write.Key]; known != nil && known.withdrawn {
			known.saved = true
		}
	}
}

// expireIncarnations forgets incarnations that no stream can have begun before.
func (tracker *Tracker) expireIncarnations(now time.Time, lifetime time.Duration) {
	for target, known := range tracker.incarnations {
		if now.Sub(known.at) > lifetime {
			delete(tracker.incarnations, target)
		}
	}
}
