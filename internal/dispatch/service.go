package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/configuration"
	"mimosatide.example/mimosatide/internal/journal"
	"mimosatide.example/mimosatide/internal/limit"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/internal/placement"
)

// The times and bounds of dispatching.
const (
	wantEvery      = 200 * time.Millisecond
	quietWantEvery = 2 * time.Second
	tendEvery      = 100 * time.Millisecond
	// maxTries bounds how often one request is sent.
	maxTries = 4
	// tryAgainAfter is how long a request goes to other targets than the one that failed it.
	tryAgainAfter   = 500 * time.Millisecond
	firstEventGrace = 200 * time.Millisecond
)

// Settings are the parameters of a Service.
type Settings struct {
	Zone string
	// MaxQueued bounds the requests that wait at this node.
	MaxQueued int
}

// DefaultMaxQueued is how many requests wait at a node at most.
const DefaultMaxQueued = 20000

// Dependencies are what a Service works with.
type Dependencies struct {
	Clock      mimosatide.Clock
	Table      mimosatide.Table
	Targets    mimosatide.Target
	Store      *configuration.Store
	Bank       *limit.Bank
	Gate       Gate
	Peers      Peers
	Placements Placements
	Meter      *metric.Meter
	Journal    *journal.Journal
	Log        logr.Logger
	Random     *rand.Rand
	NewNonce   func() string
}

// Service serves requests: it queues them, pays for them, sends them to
// targets, tries them again where that is allowed, and refuses the rest.
type Service struct {
	settings   Settings
	clock      mimosatide.Clock
	table      mimosatide.Table
	targets    mimosatide.Target
	store      *configuration.Store
	bank       *limit.Bank
	gate       Gate
	peers      Peers
	placements Placements
	meter      *metric.Meter
	journal    *journal.Journal
	log        logr.Logger
	newNonce   func() string

	lock    sync.Mutex
	chooser *Chooser
	// lines are the queues of the models, loans those for their requests.
	lines map[string]*line
	loans map[uint64]openLoan
	// payments are loans for calls of plain services, closed once they are answered.
	payments       map[uint64]chan struct{}
	lastLoan       uint64
	suspects       *Suspects
	affinity       *affinity
	health         *health
	running        map[string]*runningRequest
	accountBudgets map[string]*RetryBudget
	targetBudgets  map[string]*RetryBudget
	// services counts this node's calls at each plain service.
	services map[string]int
	draining bool
	// served is what each account got.
	served map[string]*Served
}

// runningRequest is a request that can be ended from outside.
type runningRequest struct {
	key    mimosatide.KeyDigest
	open   bool
	cancel context.CancelCauseFunc
}

// New returns a service that has not started.
func New(settings Settings, parts Dependencies) *Service {
	return &Service{
		settings:       settings,
		clock:          parts.Clock,
		table:          parts.Table,
		targets:        parts.Targets,
		store:          parts.Store,
		bank:           parts.Bank,
		gate:           parts.Gate,
		peers:          parts.Peers,
		placements:     parts.Placements,
		meter:          parts.Meter,
		journal:        parts.Journal,
		log:            parts.Log,
		newNonce:       parts.NewNonce,
		chooser:        NewChooser(parts.Random),
		lastLoan:       parts.Random.Uint64(),
		lines:          map[string]*line{},
		loans:          map[uint64]openLoan{},
		payments:       map[uint64]chan struct{}{},
		suspects:       NewSuspects(),
		affinity:       newAffinity(),
		health:         newHealth(),
		running:        map[string]*runningRequest{},
		accountBudgets: map[string]*RetryBudget{},
		targetBudgets:  map[string]*RetryBudget{},
		services:       map[string]int{},
		served:         map[string]*Served{},
	}
}

// newLoanID returns a number that no loan of any process has had; the lock is held.
func (service *Service) newLoanID() uint64 {
	service.lastLoan++
	return service.lastLoan
}

// Run tells homes of this node's demand until the context ends.
func (service *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tendEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			service.tendLines()
		}
	}
}

func (service *Service) tendLines() {
	service.lock.Lock()
	defer service.lock.Unlock()
	now := service.clock.Now()
	for _, line := range service.lines {
		service.pump(line)
		if now >= line.wantDue {
			service.tellWant(line)
		}
	}
}

// tellWant states the line's demand; the lock is held.
func (service *Service) tellWant(line *line) {
	now := service.clock.Now()
	want := placement.Want{
		Model:       line.model.Name,
		Waiting:     line.payable(),
		Outstanding: line.total(),
		Adapters:    line.adapters(),
		Stake:       line.stake(now),
	}
	busy := want.Waiting > 0 || want.Outstanding > 0
	line.wantDue = now + quietWantEvery
	if busy {
		line.wantDue = now + wantEvery
	}
	if busy || line.wasBusy {
		// The answer of a home on this node may come at once and needs the lock.
		go service.placements.TellWant(want)
	}
	line.wasBusy = busy
}

// TakeList takes in where a model is served.
func (service *Service) TakeList(list placement.List) {
	service.lock.Lock()
	defer service.lock.Unlock()
	line, known := service.lines[list.Model]
	if !known || (line.listed && list.Row < line.list.Row) {
		return
	}
	line.list, line.listed = list, true
	service.pump(line)
}

// Drain refuses new requests from now on.
func (service *Service) Drain() {
	service.lock.Lock()
	defer service.lock.Unlock()
	service.draining = true
}

// Idle says whether no request is left.
func (service *Service) Idle() bool {
	service.lock.Lock()
	defer service.lock.Unlock()
	return len(service.running) == 0
}

// EndWithdrawn ends the requests of keys that may no longer run.
func (service *Service) EndWithdrawn() {
	service.lock.Lock()
	defer service.lock.Unlock()
	view := service.store.View()
	for _, running := range service.running {
		if running.open {
			continue
		}
		if _, reason := view.Authenticate(running.key); reason != "" {
			running.cancel(endCause{reason: mimosatide.ReasonKeyWithdrawn})
		}
	}
}

// endCause is why a request was ended from outside.
type endCause struct {
	reason mimosatide.Reason
}

// Error returns the reason's name.
func (cause endCause) Error() string {
	return string(cause.reason)
}

// endReason says why a request's context has ended.
func (service *Service) endReason(ctx context.Context) mimosatide.Reason {
	if cause, ok := context.Cause(ctx).(endCause); ok {
		return cause.reason
	}
	return mimosatide.ReasonCallerGone
}

// begin admits a request, or says why not.
func (service *Service) begin(ctx context.Context, request Request) (context.Context, func(), mimosatide.Refusal) {
	service.meter.CountRequest(request.Account.Name)
	reason := service.gate.Admit(request.Key, request.Account.Name)
	service.lock.Lock()
	defer service.lock.Unlock()
	switch {
	case service.draining:
		return nil, nil, mimosatide.Refuse(mimosatide.ReasonDraining, "this node is shutting down").WithRetryAfter(time.Second)
	case reason != "":
		return nil, nil, mimosatide.Refuse(reason, "the key's request can't be admitted now").WithRetryAfter(time.Second)
	case len(service.running) >= service.settings.MaxQueued:
		return nil, nil, mimosatide.Refuse(mimosatide.ReasonOverloaded, "too many requests at this node").WithRetryAfter(time.Second)
	case service.suspects.Poisonous(service.clock.Now(), request.Digest):
		return nil, nil, mimosatide.Refuse(mimosatide.ReasonPoisonRequest, "targets have crashed under this request")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	service.running[request.ID] = &runningRequest{key: request.Key, open: request.Key == "", cancel: cancel}
	end := func() {
		cancel(nil)
		service.lock.Lock()
		defer service.lock.Unlock()
		delete(service.running, request.ID)
	}
	return ctx, end, mimosatide.Refusal{}
}
