package dispatch

import (
	"context"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/limit"
	"mimosatide.example/mimosatide/internal/placement"
	"mimosatide.example/mimosatide/internal/queue"
)

// modelQueue holds the requests that wait for one model at this node, and the
// replicas that they may use.
type modelQueue struct {
	model mimosatide.Model
	// pending orders the waiting requests, waiters holds them by request ID.
	pending *queue.Queue
	waiters map[string]*waiter
	// list is the latest list of the model's placements, when hasList is set.
	list    placement.ModelPlacements
	hasList bool
	// outstanding counts this node's running requests by placement.
	outstanding map[string]int
	// blocked holds the time until which each account that lacked tokens is skipped.
	// An entry stays until a request of the account is granted.
	blocked map[string]time.Duration
	// borrowing holds the accounts that wait for a loan.
	borrowing map[string]bool
	// reportDue is when the model's demand is reported next.
	reportDue time.Duration
	// wasBusy is set when the last report stated requests, so that one more
	// report states that there are none left.
	wasBusy bool
}

// waiter is a request in a model queue.
type waiter struct {
	request Request
	// granted receives the grant or the refusal.
	granted chan grant
	// failed holds the time at which each target last failed this request.
	failed map[string]time.Duration
}

// grant allows a request to run at a replica.
type grant struct {
	candidate Candidate
	spec      mimosatide.TargetSpec
	receipt   limit.Receipt
	// refusal is set instead of the other fields when the request is refused while it waits.
	refusal mimosatide.Refusal
}

func newModelQueue() *modelQueue {
	return &modelQueue{
		pending:     queue.New(),
		waiters:     map[string]*waiter{},
		outstanding: map[string]int{},
		blocked:     map[string]time.Duration{},
		borrowing:   map[string]bool{},
	}
}

// totalOutstanding returns the number of requests that this node runs for the model.
func (modelQueue *modelQueue) totalOutstanding() int {
	sum := 0
	for _, count := range modelQueue.outstanding {
		sum += count
	}
	return sum
}

// requestsWithTokens counts the waiting requests whose accounts have tokens. A
// request that waits for its account's rate is no reason to load another replica.
// An account that is blocked or borrowing counts again once a request of it has
// been granted.
func (modelQueue *modelQueue) requestsWithTokens() int {
	count := 0
	for account, requests := range modelQueue.pending.Accounts() {
		_, lacking := modelQueue.blocked[account]
		if !lacking && !modelQueue.borrowing[account] {
			count += requests
		}
	}
	return count
}

// adapters returns the number of waiting requests by adapter.
func (modelQueue *modelQueue) adapters() map[string]int {
	counts := map[string]int{}
	for _, waiter := range modelQueue.waiters {
		if waiter.request.Adapter != "" {
			counts[waiter.request.Adapter]++
		}
	}
	return counts
}

// stake returns this node's part of the stake that ranks the models that wait for
// the weight store: the sum of the account weights of the waiting requests. A weight
// counts once at arrival and rises to twice at the end of the wait limit.
func (modelQueue *modelQueue) stake(now time.Duration) float64 {
	sum := 0.0
	for _, waiter := range modelQueue.waiters {
		waited := float64(now-waiter.request.Arrived) / float64(waiter.request.WaitLimit)
		sum += waiter.request.Account.Weight * (1 + waited)
	}
	return sum
}

// acquire queues the request and waits until it is granted a replica, its wait
// limit is over or the context ends.
func (service *Service) acquire(ctx context.Context, waiter *waiter) (grant, mimosatide.Refusal) {
	request := waiter.request
	service.lock.Lock()
	modelQueue := service.queueFor(request.Model)
	modelQueue.waiters[request.ID] = waiter
	modelQueue.pending.Push(queue.Item{
		ID:      request.ID,
		Account: request.Account.Name,
		Weight:  request.Account.Weight,
		Tokens:  request.Tokens,
	})
	service.grantSlots(modelQueue)
	service.reportDemand(modelQueue)
	service.lock.Unlock()
	timer := time.NewTimer(request.Arrived + request.WaitLimit - service.clock.Now())
	defer timer.Stop()
	select {
	case granted := <-waiter.granted:
		return granted, granted.refusal
	case <-timer.C:
		return service.cancelWait(waiter, mimosatide.ReasonWaitExpired)
	case <-ctx.Done():
		return service.cancelWait(waiter, service.cancelReason(ctx))
	}
}

// cancelWait removes a request from its queue. The slot of a grant that arrived at
// the same moment is freed, and a refusal that arrived is returned.
func (service *Service) cancelWait(waiter *waiter, reason mimosatide.Reason) (grant, mimosatide.Refusal) {
	service.lock.Lock()
	defer service.lock.Unlock()
	modelQueue := service.queueFor(waiter.request.Model)
	modelQueue.pending.Remove(waiter.request.ID)
	delete(modelQueue.waiters, waiter.request.ID)
	select {
	case granted := <-waiter.granted:
		if granted.refusal.Refused() {
			return grant{}, granted.refusal
		}
		modelQueue.releaseSlot(granted.candidate.Placement)
	default:
	}
	detail := "no replica was free within the wait limit"
	if reason == mimosatide.ReasonWaitExpired {
		reason, detail = service.expiredReason(modelQueue, waiter.request)
	}
	return grant{}, mimosatide.Refuse(reason, detail)
}

// expiredReason returns the reason and the detail for a request whose wait limit is over.
func (service *Service) expiredReason(modelQueue *modelQueue, request Request) (mimosatide.Reason, string) {
	_, lacking := modelQueue.blocked[request.Account.Name]
	switch {
	case lacking:
		return mimosatide.ReasonOverRate, "the account's rate was used up for the whole wait limit"
	case modelQueue.list.BlockedReason == string(placement.WaitForMemory):
		return mimosatide.ReasonNoCapacity, "no engine has room for the model"
	case modelQueue.list.BlockedReason == string(mimosatide.ReasonStoreUnavailable) && !modelQueue.hasReadyReplica():
		return mimosatide.ReasonStoreUnavailable, "the platform's table does not answer, so that no model can be placed"
	default:
		return mimosatide.ReasonWaitExpired, "no replica was free within the wait limit"
	}
}

func (modelQueue *modelQueue) hasReadyReplica() bool {
	for _, replica := range modelQueue.list.Placements {
		if replica.State == placement.Ready {
			return true
		}
	}
	return false
}

// releaseSlot frees a slot of a placement.
func (modelQueue *modelQueue) releaseSlot(placementID string) {
	modelQueue.outstanding[placementID]--
	if modelQueue.outstanding[placementID] <= 0 {
		delete(modelQueue.outstanding, placementID)
	}
}

// queueFor returns the queue of a model and updates its model. The caller must hold service.lock.
func (service *Service) queueFor(model mimosatide.Model) *modelQueue {
	known, found := service.modelQueues[model.Name]
	if !found {
		known = newModelQueue()
		service.modelQueues[model.Name] = known
	}
	known.model = model
	return known
}

// grantSlots grants free slots to waiting requests in fair order. The caller must hold service.lock.
func (service *Service) grantSlots(modelQueue *modelQueue) {
	now := service.clock.Now()
	skipped := map[string]bool{}
	for modelQueue.pending.Len() > 0 {
		item, found := modelQueue.pending.Next(func(account string) bool {
			return skipped[account] || modelQueue.borrowing[account] || now < modelQueue.blocked[account]
		})
		if !found {
			return
		}
		waiter := modelQueue.waiters[item.ID]
		candidate, free := service.chooseReplica(modelQueue, waiter)
		if !free {
			modelQueue.pending.PushFront(item)
			// A request of another account may need another adapter or exclude fewer targets.
			skipped[item.Account] = true
			continue
		}
		if !service.debitAndGrant(modelQueue, item, waiter, candidate) {
			skipped[item.Account] = true
		}
	}
}

// chooseReplica returns a replica that can run the request now, if there is one.
func (service *Service) chooseReplica(modelQueue *modelQueue, waiter *waiter) (Candidate, bool) {
	candidates := service.candidates(modelQueue, waiter.request)
	return service.chooser.Choose(candidates, waiter.excluded(service.clock.Now()))
}

// excluded returns the targets that failed the request less than targetRetryDelay ago.
func (waiter *waiter) excluded(now time.Duration) map[string]bool {
	excluded := map[string]bool{}
	for target, at := range waiter.failed {
		excluded[target] = now-at < targetRetryDelay
	}
	return excluded
}

// candidates returns the replicas that are ready to run the request, with and
// without free slots.
func (service *Service) candidates(modelQueue *modelQueue, request Request) []Candidate {
	now := service.clock.Now()
	slotLimit := service.slotLimit(modelQueue)
	var candidates []Candidate
	for _, replica := range modelQueue.list.Placements {
		if replica.State != placement.Ready || service.placements.Leaving(replica.Target) {
			continue
		}
		if adapter, has := replica.FindAdapter(request.Adapter); request.Adapter != "" && (!has || !adapter.Ready) {
			continue
		}
		spec, known := service.store.View().Document.GetTarget(replica.Target)
		if !known || !service.crashTracker.MayStart(now, replica.Target, request.Digest) {
			continue
		}
		candidates = append(candidates, Candidate{
			Target:         replica.Target,
			Placement:      replica.ID,
			FencingToken:   replica.FencingToken,
			Outstanding:    modelQueue.outstanding[replica.ID],
			MaxOutstanding: slotLimit,
			ReportedLoad:   service.placements.ReportedLoad(replica.Target),
			Affinity:       service.affinity.has(request, replica.Target),
			SameZone:       spec.Zone == service.settings.Zone,
		})
	}
	return service.health.usable(now, candidates)
}

// slotLimit returns how many requests this node may run at one replica: the larger
// of its even share of the slots and the slots that the other nodes leave free,
// and at least one.
func (service *Service) slotLimit(modelQueue *modelQueue) int {
	nodes := len(service.peers.Others()) + 1
	fair := (modelQueue.model.Concurrency + nodes - 1) / nodes
	replicas := max(1, len(modelQueue.list.Placements))
	others := max(0, modelQueue.list.Outstanding-modelQueue.totalOutstanding())
	spare := modelQueue.model.Concurrency - (others+replicas-1)/replicas
	return max(1, fair, spare)
}

// debitAndGrant debits the request's tokens and grants it the replica. When the
// node lacks tokens, it puts the request back and borrows from peers; the account
// is skipped until they reply. It returns false when the request was put back.
func (service *Service) debitAndGrant(modelQueue *modelQueue, item queue.Item, waiter *waiter, candidate Candidate) bool {
	now := service.clock.Now()
	receipt, paid := service.limiter.Spend(now, item.Account, item.Tokens)
	if paid {
		service.grantReplica(modelQueue, waiter, candidate, receipt)
		return true
	}
	modelQueue.pending.PushFront(item)
	service.borrow(modelQueue, item, waiter)
	return false
}

// grantReplica takes a slot of the replica for the request and wakes its waiter.
func (service *Service) grantReplica(modelQueue *modelQueue, waiter *waiter, candidate Candidate, receipt limit.Receipt) {
	spec, _ := service.store.View().Document.GetTarget(candidate.Target)
	modelQueue.outstanding[candidate.Placement]++
	delete(modelQueue.waiters, waiter.request.ID)
	delete(modelQueue.blocked, waiter.request.Account.Name)
	service.crashTracker.Start(service.clock.Now(), candidate.Target, waiter.request.Digest)
	waiter.granted <- grant{candidate: candidate, spec: spec, receipt: receipt}
}
