package origin

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

const (
	// storeTimeout bounds the calls of the store for one stream or one step of Run.
	storeTimeout = 1500 * time.Millisecond
	// checkInterval is how often the versions of the targets are compared with the store's rows.
	checkInterval = 250 * time.Millisecond
	// checkSpread is the time, for each node, over which they spread their reads of a service's row.
	checkSpread = 10 * time.Millisecond
	// unreadSpreadDivisor shortens that time for a node that has not read the row: until then it may
	// let no streams begin.
	unreadSpreadDivisor = 4
	// recheckInterval is the time until a service's row is looked at again if it still lacks a
	// version, tidyInterval if it only names one that is gone.
	recheckInterval = time.Second
	tidyInterval    = 5 * time.Second
	// writeShare is the share of the store's writing calls that the nodes use for streams.
	writeShare = 0.3
	// writeBurst is the number of calls that a node may make at once after a pause: a stream that is
	// saved late is refused if its node ends before.
	writeBurst = 3
	// deleteInterval is the time between two calls that only delete rows.
	deleteInterval = 5 * time.Second
	// maxWrites is the largest number of rows that one call writes.
	maxWrites = 100
	// forgetAfterLifetimes is how many lifetimes of a stream after its last target a version stays
	// named: nodes that have lost touch may send it streams for some time.
	forgetAfterLifetimes = 3
)

// versionsRow is the value of a service's row.
type versionsRow struct {
	Software []string
	// CompleteMillis is the Unix time in milliseconds from which on the versions include those of
	// all streams that may be taken up.
	CompleteMillis int64 `cbor:",omitempty"`
}

// streamRow is the value of a stream's row, whose key is the stream's ID.
type streamRow struct {
	Service  string
	Software string
	// Withdrawn says that the version is not known, because the stream may have begun at another one.
	Withdrawn bool `cbor:",omitempty"`
	// ExpiresMillis is the Unix time in milliseconds after which the row may be deleted.
	ExpiresMillis int64
}

// Run keeps the rows of the store up to date until ctx is cancelled.
func (tracker *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-tracker.wake:
		}
		tracker.noticeRestore()
		for _, service := range tracker.settings.Services() {
			tracker.checkVersions(ctx, service)
		}
		tracker.expire(time.Now())
		tracker.saveStreams(ctx, time.Now())
	}
}

// noticeRestore forgets what the store has if it was restored from an older copy.
func (tracker *Tracker) noticeRestore() {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	era := max(tracker.settings.Era(), 1)
	if tracker.era != 0 && era > tracker.era {
		for _, state := range tracker.services {
			clear(state.named)
			state.read = false
			state.checkFrom = time.Time{}
		}
		for _, known := range tracker.records {
			known.saved = false
		}
	}
	if era > max(tracker.era, 1) {
		tracker.restoredAt = time.Now()
	}
	tracker.era = era
}

// checkVersions has the store name the versions of a service's targets, and no longer those that
// have been gone for long. The first node writes; the others read what it has written.
func (tracker *Tracker) checkVersions(ctx context.Context, service string) {
	first := tracker.settings.Rank() == 0
	missing, gone := tracker.versionChanges(service, time.Now())
	if !tracker.checkDue(service, first, len(missing) > 0, len(gone) > 0, time.Now()) {
		return
	}
	if !first {
		gone = nil
	}
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := tracker.updateVersions(bounded, service, missing, gone); err != nil {
		tracker.log.Info("versions of a service not saved", "service", service, "missing", missing, "gone", gone, "reason", err.Error())
		return
	}
	if len(gone) > 0 {
		tracker.deleteExpired(bounded, time.Now())
	}
}

// checkDue reports whether a service's row has to be read or written now, because it lacks versions
// or names some that are gone. All nodes see a new version at the same time: the first one comes
// first, and the others spread their calls.
func (tracker *Tracker) checkDue(service string, first, lacks, names bool, now time.Time) bool {
	spread := time.Duration(tracker.settings.Hosts()) * checkSpread
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	state := tracker.service(service)
	if !state.read {
		spread /= unreadSpreadDivisor
	}
	if !lacks && !names {
		state.checkFrom = time.Time{}
		return false
	}
	if state.checkFrom.IsZero() && !first {
		state.checkFrom = now.Add(checkSpread + rand.N(spread))
	}
	if now.Before(state.checkFrom) {
		return false
	}
	state.checkFrom = now.Add(recheckInterval)
	if !lacks {
		state.checkFrom = now.Add(tidyInterval)
	}
	return true
}

// deleteExpired deletes the rows of streams that nodes have left behind.
func (tracker *Tracker) deleteExpired(ctx context.Context, now time.Time) {
	rows, err := tracker.streams.Rows(ctx)
	var writes []mimosatide.Write
	for _, row := range rows {
		var stream streamRow
		if cbor.Unmarshal(row.Value, &stream) != nil || stream.ExpiresMillis < now.UnixMilli() {
			writes = append(writes, mimosatide.Write{Key: row.Key, Delete: true})
		}
	}
	for batch := range slices.Chunk(writes, maxWrites) {
		if err == nil {
			_, _, err = tracker.streams.Commit(ctx, mimosatide.Transaction{Writes: batch})
		}
	}
	tracker.log.Info("expired streams deleted", "rows", len(rows), "expired", len(writes), "reason", errorText(err))
}

// versionChanges returns the versions that the store has to name and those that it should forget.
func (tracker *Tracker) versionChanges(service string, now time.Time) (missing, gone []string) {
	present := tracker.settings.Present(service)
	fresh := tracker.settings.Fresh()
	term := forgetAfterLifetimes * tracker.settings.Lifetime()
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	state := tracker.service(service)
	for _, software := range present {
		state.lastPresent[software] = now
	}
	for software := range state.named {
		if state.lastPresent[software].IsZero() {
			state.lastPresent[software] = now
		}
	}
	for _, software := range slices.Sorted(maps.Keys(state.lastPresent)) {
		recent := now.Sub(state.lastPresent[software]) <= term
		switch {
		case recent && !state.named[software]:
			missing = append(missing, software)
		case !recent && !state.named[software]:
			delete(state.lastPresent, software)
			delete(state.everNamed, software)
		case !recent && fresh && len(present) > 0:
			gone = append(gone, software)
		}
	}
	return missing, gone
}

// updateVersions changes the versions that a service's row names.
func (tracker *Tracker) updateVersions(ctx context.Context, service string, missing, gone []string) error {
	for ctx.Err() == nil {
		rows, _, err := tracker.versions.Read(ctx, service)
		if err != nil {
			return errors.Trace(err)
		}
		before, version := decodeVersions(rows)
		next := versionsRow{CompleteMillis: before.CompleteMillis}
		if version == 0 && !tracker.settings.FirstStart {
			next.CompleteMillis = time.Now().Add(tracker.settings.Lifetime()).UnixMilli()
		}
		for _, software := range append(slices.Clone(before.Software), missing...) {
			if !slices.Contains(gone, software) && !slices.Contains(next.Software, software) {
				next.Software = append(next.Software, software)
			}
		}
		if slices.Equal(next.Software, before.Software) {
			tracker.setNamed(service, before.Software)
			return nil
		}
		value, err := cbor.Marshal(next)
		if err != nil {
			return errors.Trace(err)
		}
		outcome, row, err := tracker.versions.Commit(ctx, mimosatide.Transaction{
			Conditions: []mimosatide.Condition{{Key: service, Version: version}},
			Writes:     []mimosatide.Write{{Key: service, Value: value}},
		})
		switch outcome {
		case mimosatide.CommitDone:
			tracker.log.Info("versions of a service saved", "service", service, "software", next.Software, "before", before.Software, "row", row)
			tracker.setNamed(service, next.Software)
			return nil
		case mimosatide.CommitConflict, mimosatide.CommitUnknown:
			// The row says what holds.
		default:
			return errors.Annotatef(err, "outcome %s", outcome)
		}
	}
	return errors.Trace(ctx.Err())
}

// setNamed records the versions that a service's row names. Once there are several, the origins of
// the streams under way have to be saved.
func (tracker *Tracker) setNamed(service string, software []string) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	state := tracker.service(service)
	clear(state.named)
	state.read = true
	for _, each := range software {
		state.named[each] = true
		state.everNamed[each] = true
	}
	tracker.signalIfMixed(service)
}

// readVersions returns the versions that a service's row names.
func (tracker *Tracker) readVersions(ctx context.Context, service string) (versionsRow, error) {
	rows, _, err := tracker.versions.Read(ctx, service)
	if err != nil {
		return versionsRow{}, errors.Trace(err)
	}
	named, _ := decodeVersions(rows)
	return named, nil
}

// decodeVersions returns the content of a service's row and its version, zero if there is none. A
// row that can't be read names no version.
func decodeVersions(rows []mimosatide.Row) (versionsRow, mimosatide.RowVersion) {
	if len(rows) == 0 {
		return versionsRow{}, 0
	}
	var named versionsRow
	if err := cbor.Unmarshal(rows[0].Value, &named); err != nil {
		named = versionsRow{}
	}
	return named, rows[0].Version
}

// readStream returns the row of the stream that the store knows by an ID.
func (tracker *Tracker) readStream(ctx context.Context, id string) (streamRow, bool, error) {
	rows, _, err := tracker.streams.Read(ctx, id)
	if err != nil || len(rows) == 0 {
		return streamRow{}, false, errors.Trace(err)
	}
	var row streamRow
	if err := cbor.Unmarshal(rows[0].Value, &row); err != nil {
		return streamRow{}, false, errors.Annotatef(err, "row of stream %q", id)
	}
	return row, true, nil
}

// expire forgets the streams that can't be taken up any more.
func (tracker *Tracker) expire(now time.Time) {
	lifetime := tracker.settings.Lifetime()
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	for id, known := range tracker.records {
		if now.Sub(known.sentAt) <= lifetime {
			continue
		}
		delete(tracker.records, id)
		if known.saved {
			tracker.ended[id] = true
		}
	}
	tracker.expireIncarnations(now, lifetime)
}

// saveStreams writes the origins that the store lacks and deletes those that are not needed any
// more, in one call of at most maxWrites rows.
func (tracker *Tracker) saveStreams(ctx context.Context, now time.Time) {
	tracker.committing.Lock()
	defer tracker.committing.Unlock()
	writes, saving := tracker.pendingWrites(now)
	if len(writes) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	outcome, _, err := tracker.streams.Commit(bounded, mimosatide.Transaction{Writes: writes})
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if outcome != mimosatide.CommitDone {
		tracker.log.Info("origins of streams not saved", "count", len(writes), "outcome", outcome.String(), "reason", errorText(err))
		return
	}
	for id, before := range saving {
		if known := tracker.records[id]; known != nil && known.Software == before.Software && known.withdrawn == before.withdrawn {
			known.saved = true
		} else if known == nil {
			tracker.ended[id] = true
		}
	}
	for _, write := range writes {
		if write.Delete {
			delete(tracker.ended, write.Key)
		}
	}
}

// pendingWrites returns the rows to write now, and the versions of those that are saved by ID. The
// nodes share the calls of the store; what comes too early waits for the next call.
func (tracker *Tracker) pendingWrites(now time.Time) ([]mimosatide.Write, map[string]record) {
	rate := writeShare * tracker.settings.WritesPerSecond / float64(tracker.settings.Hosts())
	expires := now.Add(tracker.settings.Lifetime()).UnixMilli()
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	tracker.writeTokens = min(tracker.writeTokens+rate*now.Sub(tracker.writeTokensAt).Seconds(), writeBurst)
	tracker.writeTokensAt = now
	if tracker.writeTokens < 1 {
		return nil, nil
	}
	var writes []mimosatide.Write
	saving := map[string]record{}
	for id, known := range tracker.records {
		if len(writes) == maxWrites {
			break
		}
		if known.saved || !known.withdrawn && !tracker.mixed(known.Service) {
			continue
		}
		row := streamRow{Service: known.Service, Software: known.Software, ExpiresMillis: expires}
		if known.withdrawn {
			row.Software, row.Withdrawn = "", true
		}
		value, err := cbor.Marshal(row)
		if err != nil {
			tracker.log.Error(err, "origin of a stream not encoded", "stream", id)
			continue
		}
		writes = append(writes, mimosatide.Write{Key: id, Value: value})
		saving[id] = *known
	}
	if len(writes) == 0 && now.Before(tracker.deleteFrom) {
		return nil, nil
	}
	tracker.deleteFrom = now.Add(deleteInterval)
	for id := range tracker.ended {
		if len(writes) == maxWrites {
			break
		}
		writes = append(writes, mimosatide.Write{Key: id, Delete: true})
	}
	if len(writes) > 0 {
		tracker.writeTokens--
	}
	return writes, saving
}
