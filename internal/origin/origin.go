// Package origin knows which version of a service's software began a stream. A stream may go on
// at that version only: what two versions write doesn't fit together, and targets don't check it.
//
// A node remembers the streams that it has sent itself. Callers also take a stream up at another
// node, or after all nodes have ended, so that the rest is in the store:
//
//   - The versions of a service: one row a service. No stream begins at a version before the row
//     names it, and the row names it until no stream of it can be left. If a row that is read after
//     a stream was taken up names only one, the stream began there.
//   - The origins of streams: one row a stream, but only while a service has several versions.
//
// Without the store a node can't know of a version that has joined since, so that it knows the
// origins of its own streams only.
//
// # Usage
//
//	tracker := origin.New(origin.Settings{...}, versions, streams, log)
//	go tracker.Run(ctx)
//	tracker.Send(origin.Stream{ID: id, Service: "llm", Software: "v1"})
//	software, known := tracker.Find(ctx, "llm", id)
package origin

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
)

// Stream is a stream with the version of the software that it began at.
type Stream struct {
	// ID is the ID of the caller's request that brings the first event.
	ID       string
	Service  string
	Software string
	// Target is the target that the stream is sent to, Born the start of the incarnation that it is taken for.
	Target string
	Born   time.Time
}

// Table is a table of the store.
type Table interface {
	// Read returns the rows of the given keys that exist.
	Read(ctx context.Context, keys ...string) ([]mimosatide.Row, mimosatide.RowVersion, error)
	// Rows returns all rows.
	Rows(ctx context.Context) ([]mimosatide.Row, error)
	Commit(ctx context.Context, transaction mimosatide.Transaction) (mimosatide.CommitOutcome, mimosatide.RowVersion, error)
}

// Settings are the parameters of a Tracker.
type Settings struct {
	// Present returns the versions that the targets of a service have, and Services the services
	// whose streams may be resumed.
	Present  func(service string) []string
	Services func() []string
	// Lifetime returns how long after its begin a stream may be taken up.
	Lifetime func() time.Duration
	// Fresh reports whether this node's copy of the targets is as new as the store's.
	Fresh func() bool
	// Rank returns how many live nodes come before this one; the first one tidies the store.
	Rank func() int
	// Hosts returns the number of nodes, which share WritesPerSecond calls of the store.
	Hosts           func() int
	WritesPerSecond float64
	// Era returns the newest known era of the store, which rises with each restore.
	Era func() uint64
	// FirstStart says that no stream began before this process started.
	FirstStart bool
}

// maxKeyBytes is the largest key of a row. A stream with a longer ID can't be saved, and is not
// resumed.
const maxKeyBytes = 200

// record is what this node knows of a stream that it has sent.
type record struct {
	Stream
	sentAt time.Time
	// confirmed says that the caller has got the first event; before that the stream may still
	// begin at another version.
	confirmed bool
	// begunAt is when it was confirmed.
	begunAt time.Time
	// withdrawn says that the stream may have begun at another incarnation, and so at another version.
	withdrawn bool
	// saved says that the store has the record as it is.
	saved bool
}

// serviceState is what this node knows of the versions of a service.
type serviceState struct {
	// read says that the service's row was read or written in this era of the store.
	read bool
	// named are the versions that the service's row in the store names, as last read or written.
	named map[string]bool
	// everNamed are the versions that the row has named, also before a restore of the store, while
	// streams of them may be left.
	everNamed map[string]bool
	// lastPresent holds when targets of a version were last present, by version.
	lastPresent map[string]time.Time
	// checkFrom is the earliest time of the next look at the row; zero if none is due.
	checkFrom time.Time
}

// Tracker knows the origins of streams. It is safe for concurrent use.
type Tracker struct {
	settings Settings
	versions Table
	streams  Table
	log      logr.Logger
	// wake makes Run save records at once.
	wake chan struct{}

	// committing is held while streams are written, so that a withdrawal is not overwritten by what was
	// saved before.
	committing sync.Mutex

	lock    sync.Mutex
	records map[string]*record
	// incarnations holds the newest known incarnation of targets.
	incarnations map[string]incarnation
	// ended are the streams whose rows are no longer needed.
	ended    map[string]bool
	services map[string]*serviceState
	era      uint64
	// restoredAt is when this node learned that the store had been restored.
	restoredAt time.Time
	// writeTokens is the number of calls that may write now, as of writeTokensAt, deleteFrom the
	// earliest time of the next one that only deletes.
	writeTokens   float64
	writeTokensAt time.Time
	deleteFrom    time.Time
}

// New returns a tracker that saves nothing before Run is called. versions and streams are tables
// of the store that nothing else uses.
func New(settings Settings, versions, streams Table, log logr.Logger) *Tracker {
	return &Tracker{
		settings: settings, versions: versions, streams: streams, log: log,
		wake:     make(chan struct{}, 1),
		records:  map[string]*record{},
		ended:    map[string]bool{},
		services: map[string]*serviceState{},

		incarnations: map[string]incarnation{},
	}
}

// Send records that a new stream is sent to a target of a version, before it is.
func (tracker *Tracker) Send(stream Stream) {
	if len(stream.ID) > maxKeyBytes {
		return
	}
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	known := tracker.records[stream.ID]
	if known != nil && known.Software == stream.Software && known.Target == stream.Target && known.Born.Equal(stream.Born) {
		return
	}
	tracker.records[stream.ID] = &record{Stream: stream, sentAt: time.Now()}
	tracker.signalIfMixed(stream.Service)
}

// Begin records that the caller of a stream gets its first event from the version that the stream
// was last sent to.
func (tracker *Tracker) Begin(id string) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if known := tracker.records[id]; known != nil {
		if !known.confirmed {
			known.confirmed, known.begunAt = true, time.Now()
		}
		if tracker.withdrawLocked(known) {
			tracker.signal()
		}
	}
}

// End forgets a stream that its caller has got to the end.
func (tracker *Tracker) End(id string) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	known := tracker.records[id]
	if known == nil {
		return
	}
	delete(tracker.records, id)
	if known.saved {
		tracker.ended[id] = true
	}
}

// MayBegin reports whether streams may begin at a version: the store names it among those of the
// service. If not, the tracker has it named; that takes a call of the store. Until this node has
// read the row, streams begin at a version that is the only one as far as it knows.
func (tracker *Tracker) MayBegin(service, software string) bool {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	state := tracker.service(service)
	if state.named[software] {
		return true
	}
	tracker.signal()
	if state.read {
		return false
	}
	for _, present := range tracker.settings.Present(service) {
		if present != software {
			return false
		}
	}
	return len(state.everNamed) == 0 || len(state.everNamed) == 1 && state.everNamed[software]
}

// Find returns the version that began the stream of a caller's request, and whether that is known.
// It asks the store unless this node has sent the request itself.
func (tracker *Tracker) Find(ctx context.Context, service, id string) (string, bool) {
	if software, known := tracker.findOwn(id); known {
		return software, tracker.Stands(id) && tracker.Continues(service, software)
	}
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	named, err := tracker.readVersions(bounded, service)
	if err != nil {
		tracker.log.Info("versions of a service not read", "service", service, "stream", id, "reason", err.Error())
		return "", false
	}
	software, single := tracker.only(service, named)
	if id == "" {
		return software, single
	}
	stream, found, err := tracker.readStream(bounded, id)
	switch {
	case err == nil && !found && single:
		return software, true
	case err != nil || !found || stream.Withdrawn || stream.Service != service:
		tracker.log.Info("origin of a stream not known", "service", service, "stream", id, "reason", errorText(err))
		return "", false
	case single:
		return software, stream.Software == software
	default:
		return stream.Software, tracker.Continues(service, stream.Software)
	}
}

// Continues reports whether a stream that a version began may go on at the other targets of that
// version. Targets that name no version may differ, unless none of the service names one.
func (tracker *Tracker) Continues(service, software string) bool {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	return software != "" || !tracker.mixed(service)
}

// findOwn returns the version of a stream that this node has sent itself.
func (tracker *Tracker) findOwn(id string) (string, bool) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	known := tracker.records[id]
	if known == nil || !known.confirmed {
		return "", false
	}
	return known.Software, true
}

// only returns the version of a service if there is one only, by its row and by what this node has
// read before. A version that no row has named has begun no stream; but after a restore of the store
// the row may lack one that was named.
func (tracker *Tracker) only(service string, named versionsRow) (string, bool) {
	now := time.Now()
	if now.UnixMilli() < named.CompleteMillis || len(named.Software) != 1 {
		return "", false
	}
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	software := named.Software[0]
	for other := range tracker.service(service).everNamed {
		if other != software {
			return "", false
		}
	}
	if !tracker.restoredAt.IsZero() && now.Sub(tracker.restoredAt) <= forgetAfterLifetimes*tracker.settings.Lifetime() {
		for _, present := range tracker.settings.Present(service) {
			if present != software {
				return "", false
			}
		}
	}
	return software, true
}

func (tracker *Tracker) service(name string) *serviceState {
	state := tracker.services[name]
	if state == nil {
		state = &serviceState{named: map[string]bool{}, everNamed: map[string]bool{}, lastPresent: map[string]time.Time{}}
		tracker.services[name] = state
	}
	return state
}

// mixed reports whether the streams of a service may have begun at several versions. The caller
// holds the lock.
func (tracker *Tracker) mixed(service string) bool {
	return len(tracker.service(service).named) > 1
}

func (tracker *Tracker) signalIfMixed(service string) {
	if tracker.mixed(service) {
		tracker.signal()
	}
}

func (tracker *Tracker) signal() {
	select {
	case tracker.wake <- struct{}{}:
	default:
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
