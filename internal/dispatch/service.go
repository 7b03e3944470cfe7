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

// The intervals and limits of dispatching.
const (
	busyReportInterval = 200 * time.Millisecond
	idleReportInterval = 2 * time.Second
	tickInterval       = 100 * time.Millisecond
	// maxAttempts bounds how often one request is sent.
	maxAttempts = 4
	// targetRetryDelay is how long a request excludes a target that failed it.
	targetRetryDelay = 500 * time.Millisecond
	// minFirstEventTimeout is the least time that a target gets for its first event,
	// even if the wait limit is nearly over.
	minFirstEventTimeout = 200 * time.Millisecond
)

// Settings are the parameters of a Service.
type Settings struct {
	Zone string
	// MaxQueued bounds the requests at this node, waiting and running.
	MaxQueued int
}

// DefaultMaxQueued is the default of Settings.MaxQueued.
const DefaultMaxQueued = 20000

// Dependencies are the collaborators of a Service. All of them are required.
type Dependencies struct {
	Clock      mimosatide.Clock
	Table      mimosatide.Table
	Targets    mimosatide.Target
	Store      *configuration.Store
	Limiter    *limit.Limiter
	Gate       Gate
	Peers      Peers
	Placements Placements
	Meter      *metric.Meter
	Journal    *journal.Journal
	Log        logr.Logger
	Random     *rand.Rand
	// NewNonce returns a string that no other claim has.
	NewNonce func() string
}

// Service serves requests: it queues them, debits their tokens, sends them to
// targets, retries them where that is allowed, and refuses the rest. It is safe
// for concurrent use.
type Service struct {
	settings   Settings
	clock      mimosatide.Clock
	table      mimosatide.Table
	targets    mimosatide.Target
	store      *configuration.Store
	limiter    *limit.Limiter
	gate       Gate
	peers      Peers
	placements Placements
	meter      *metric.Meter
	journal    *journal.Journal
	log        logr.Logger
	newNonce   func() string

	lock    sync.Mutex
	chooser *Chooser
	// modelQueues holds the queues by model, modelLoans the open loans for their
	// requests by loan ID.
	modelQueues map[string]*modelQueue
	modelLoans  map[uint64]openLoan
	// routeLoans holds the open loans for calls to plain services by loan ID. A
	// channel is closed once every peer has answered.
	routeLoans   map[uint64]chan struct{}
	lastLoanID   uint64
	crashTracker *CrashTracker
	affinity     *affinity
	health       *health
	// running holds the admitted requests by request ID.
	running        map[string]*runningRequest
	accountBudgets map[string]*RetryBudget
	targetBudgets  map[string]*RetryBudget
	// callsByService counts this node's calls in progress at each plain service.
	callsByService map[string]int
	draining       bool
	// accountStats holds the statistics by account.
	accountStats map[string]*AccountStats
}

// runningRequest is an admitted request that the service can cancel.
type runningRequest struct {
	key mimosatide.KeyDigest
	// open is set for a request without a key, to an open route.
	open   bool
	cancel context.CancelCauseFunc
}

// New returns a service; its periodic work starts with Run.
func New(settings Settings, dependencies Dependencies) *Service {
	return &Service{
		settings:       settings,
		clock:          dependencies.Clock,
		table:          dependencies.Table,
		targets:        dependencies.Targets,
		store:          dependencies.Store,
		limiter:        dependencies.Limiter,
		gate:           dependencies.Gate,
		peers:          dependencies.Peers,
		placements:     dependencies.Placements,
		meter:          dependencies.Meter,
		journal:        dependencies.Journal,
		log:            dependencies.Log,
		newNonce:       dependencies.NewNonce,
		chooser:        NewChooser(dependencies.Random),
		lastLoanID:     dependencies.Random.Uint64(),
		modelQueues:    map[string]*modelQueue{},
		modelLoans:     map[uint64]openLoan{},
		routeLoans:     map[uint64]chan struct{}{},
		crashTracker:   NewCrashTracker(),
		affinity:       newAffinity(),
		health:         newHealth(),
		running:        map[string]*runningRequest{},
		accountBudgets: map[string]*RetryBudget{},
		targetBudgets:  map[string]*RetryBudget{},
		callsByService: map[string]int{},
		accountStats:   map[string]*AccountStats{},
	}
}

// newLoanID returns the next loan ID. IDs start at a random number, so that they
// don't collide with those of other processes. The caller must hold service.lock.
func (service *Service) newLoanID() uint64 {
	service.lastLoanID++
	return service.lastLoanID
}

// Run grants free slots and reports this node's demand periodically until the context ends.
func (service *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			service.tick()
		}
	}
}

func (service *Service) tick() {
	service.lock.Lock()
	defer service.lock.Unlock()
	now := service.clock.Now()
	for _, modelQueue := range service.modelQueues {
		service.grantSlots(modelQueue)
		if now >= modelQueue.reportDue {
			service.reportDemand(modelQueue)
		}
	}
}

// reportDemand reports the demand for the queue's model. The caller must hold service.lock.
func (service *Service) reportDemand(modelQueue *modelQueue) {
	now := service.clock.Now()
	demand := placement.DemandReport{
		Model:       modelQueue.model.Name,
		Waiting:     modelQueue.requestsWithTokens(),
		Outstanding: modelQueue.total(),
		Adapters:    modelQueue.adapters(),
		Stake:       modelQueue.stake(now),
	}
	busy := demand.Waiting > 0 || demand.Outstanding > 0
	modelQueue.reportDue = now + idleReportInterval
	if busy {
		modelQueue.reportDue = now + busyReportInterval
	}
	if busy || modelQueue.wasBusy {
		// When this node decides the model's placements, ReportDemand may call HandleModelPlacements
		// at once, which takes the lock.
		go service.placements.ReportDemand(demand)
	}
	modelQueue.wasBusy = busy
}

// HandleModelPlacements handles a new list of a model's placements. It ignores a list that is
// older than the present one, and lists of models without a queue.
func (service *Service) HandleModelPlacements(list placement.ModelPlacements) {
	service.lock.Lock()
	defer service.lock.Unlock()
	modelQueue, known := service.modelQueues[list.Model]
	if !known || (modelQueue.hasList && list.Row < modelQueue.list.Row) {
		return
	}
	modelQueue.list, modelQueue.hasList = list, true
	service.grantSlots(modelQueue)
}

// Drain makes the service refuse new requests; requests in progress continue.
func (service *Service) Drain() {
	service.lock.Lock()
	defer service.lock.Unlock()
	service.draining = true
}

// Idle reports whether no request waits or runs.
func (service *Service) Idle() bool {
	service.lock.Lock()
	defer service.lock.Unlock()
	return len(service.running) == 0
}

// CancelWithdrawnKeys cancels the requests whose keys are no longer valid.
func (service *Service) CancelWithdrawnKeys() {
	service.lock.Lock()
	defer service.lock.Unlock()
	view := service.store.View()
	for _, running := range service.running {
		if running.open {
			continue
		}
		if _, reason := view.Authenticate(running.key); reason != "" {
			running.cancel(cancelCause{reason: mimosatide.ReasonKeyWithdrawn})
		}
	}
}

// cancelCause is the reason why this node cancelled a request.
type cancelCause struct {
	reason mimosatide.Reason
}

// Error returns the reason's name.
func (cause cancelCause) Error() string {
	return string(cause.reason)
}

// cancelReason returns why a request's context has ended: the reason of this node,
// or that the caller is gone.
func (service *Service) cancelReason(ctx context.Context) mimosatide.Reason {
	if cause, ok := context.Cause(ctx).(cancelCause); ok {
		return cause.reason
	}
	return mimosatide.ReasonCallerGone
}

// admit registers a request, or returns the refusal. The returned function must
// be called when the request has ended.
func (service *Service) admit(ctx context.Context, request Request) (context.Context, func(), mimosatide.Refusal) {
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
	case service.crashTracker.IsPoison(service.clock.Now(), request.Digest):
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
