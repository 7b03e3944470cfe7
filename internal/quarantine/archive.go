package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

const (
	// archiveTimeout bounds a call to the store.
	archiveTimeout = 1500 * time.Millisecond
	// archiveRetryDelay is the pause after a failed call. It doubles with each further one
	// up to maxArchiveRetryDelay.
	archiveRetryDelay    = time.Second
	maxArchiveRetryDelay = 8 * time.Second
	// eraInterval is how often the era of the store is looked at; that costs no call.
	eraInterval = 500 * time.Millisecond
	// maxSavedChanges is the largest number of rows that one call writes.
	maxSavedChanges = 100
)

// Table is the table of the store that holds the quarantines, one row each.
type Table interface {
	// Rows returns all rows.
	Rows(ctx context.Context) ([]mimosatide.Row, error)
	Commit(ctx context.Context, transaction mimosatide.Transaction) (mimosatide.CommitOutcome, mimosatide.RowVersion, error)
}

// archivedQuarantine is the value of a row, whose key is the feature.
type archivedQuarantine struct {
	// SinceMillis is when the quarantine began, in milliseconds of Unix time. Nodes' clocks
	// differ by far less than a quarantine lasts.
	SinceMillis int64
}

// ArchiveSettings are the parameters of an Archive.
type ArchiveSettings struct {
	// Era returns the newest known era of the store, which rises when the store is restored
	// from an older copy. A store that was never restored has era one or none.
	Era func() uint64
	// Spread is the time over which the nodes spread their calls after a restore.
	Spread time.Duration
}

// Archive keeps the quarantines of a tracker in the store, so that they outlast a restart
// of all nodes. A node reads them when it starts; later ones come from its peers. After a
// restore of the store, what it has lost is saved again, and rows that are back are deleted.
type Archive struct {
	tracker  *Tracker
	table    Table
	settings ArchiveSettings
	log      logr.Logger
}

// NewArchive returns an archive that does nothing before Run is called.
func NewArchive(tracker *Tracker, table Table, settings ArchiveSettings, log logr.Logger) *Archive {
	return &Archive{tracker: tracker, table: table, settings: settings, log: log}
}

// Run restores the quarantines of earlier processes, and then saves what this node
// decides, until ctx is cancelled. A call that fails is repeated.
func (archive *Archive) Run(ctx context.Context) {
	era := max(archive.settings.Era(), 1)
	archive.repeat(ctx, "quarantines not restored", archive.restore)
	ticker := time.NewTicker(eraInterval)
	defer ticker.Stop()
	var compareDue <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-archive.tracker.changed:
			archive.repeat(ctx, "quarantines not saved", archive.save)
		case <-ticker.C:
			if present := archive.settings.Era(); present > era {
				era = present
				compareDue = time.After(rand.N(archive.settings.Spread + 1))
			}
		case <-compareDue:
			compareDue = nil
			if archive.tracker.remembers() {
				archive.repeat(ctx, "quarantines not compared", archive.compare)
			}
		}
	}
}

// repeat calls a function until it returns no error or ctx is cancelled.
func (archive *Archive) repeat(ctx context.Context, failure string, call func(context.Context) error) {
	for delay := archiveRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxArchiveRetryDelay) {
		bounded, cancel := context.WithTimeout(ctx, archiveTimeout)
		err := call(bounded)
		cancel()
		if err == nil {
			return
		}
		archive.log.Info(failure, "reason", err.Error(), "retryIn", delay)
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// restore reads the quarantines from the store.
func (archive *Archive) restore(ctx context.Context) error {
	rows, err := archive.read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	for feature, since := range rows {
		archive.tracker.restore(feature, since, time.Now())
	}
	return nil
}

// compare marks what the store holds otherwise than this node as unsaved. The first node that
// does so writes for all others.
func (archive *Archive) compare(ctx context.Context) error {
	rows, err := archive.read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	lost, outdated := archive.tracker.compare(rows)
	archive.log.Info("quarantines compared", "era", archive.settings.Era(), "rows", len(rows), "lost", lost, "outdated", outdated)
	return nil
}

// read returns since when the features are quarantined that the store holds.
func (archive *Archive) read(ctx context.Context) (map[Feature]time.Time, error) {
	rows, err := archive.table.Rows(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	quarantined := make(map[Feature]time.Time, len(rows))
	for _, row := range rows {
		var archived archivedQuarantine
		if err := cbor.Unmarshal(row.Value, &archived); err != nil {
			archive.log.Error(err, "quarantine unreadable", "feature", row.Key, "row", row.Version)
			continue
		}
		quarantined[Feature(row.Key)] = time.UnixMilli(archived.SinceMillis)
	}
	return quarantined, nil
}

// save writes the quarantines that have begun or ended since the last call.
func (archive *Archive) save(ctx context.Context) error {
	changes := archive.tracker.changes(maxSavedChanges)
	writes := make([]mimosatide.Write, 0, len(changes))
	for feature, begin := range changes {
		write := mimosatide.Write{Key: string(feature), Delete: begin.IsZero()}
		if !write.Delete {
			value, err := cbor.Marshal(archivedQuarantine{SinceMillis: begin.UnixMilli()})
			if err != nil {
				return errors.Trace(err)
			}
			write.Value = value
		}
		writes = append(writes, write)
	}
	if len(writes) == 0 {
		return nil
	}
	outcome, row, err := archive.table.Commit(ctx, mimosatide.Transaction{Writes: writes})
	if err != nil {
		return errors.Trace(err)
	}
	archive.log.Info("quarantines saved", "count", len(writes), "outcome", outcome.String(), "row", row)
	archive.tracker.markSaved(changes)
	return nil
}
