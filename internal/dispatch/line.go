package dispatch

import (
	"context"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/limit"
	"mimosatide.example/mimosatide/internal/placement"
	"mimosatide.example/mimosatide/internal/queue"
)

// line is the queue of one model at this node, with the replicas it may use.
type line struct {
	model   mimosatide.Model
	waiting *queue.Queue
	waiters map[string]*waiter
	list    placement.List
	listed  bool
	// outstanding counts this node's requests by placement.
	outstanding map[string]int
	// blocked are accounts without tokens, until when they are passed over.
	blocked map[string]time.Duration
	// borrowing are accounts with a loan under way.
	borrowing map[string]bool
	wantDue   time.Duration
	wasBusy   bool
}

// waiter is a request in a line.
type waiter struct {
	request Request
	granted chan grant
	// failed is when each target last failed this request.
	failed map[string]time.Duration
}

// grant lets a request run.
type grant struct {
	candidate Candidate
	spec      mimosatide.TargetSpec
	receipt   limit.Receipt
	// refusal is set instead of the others where the wait is in vain.
	refusal mimosatide.Refusal
}

func newLine() *line {
	return &line{
		waiting:     queue.New(),
		waiters:     map[string]*waiter{},
		outstanding: map[string]int{},
		blocked:     map[string]time.Duration{},
		borrowing:   map[string]bool{},
	}
}

// total returns this node's running requests.
func (line *line) total() int {
	sum := 0
	for _, count := range line.outstanding {
		sum += count
	}
	return sum
}

// payable counts the waiting requests whose accounts have tokens: one that
// waits for its account's rate is no reason to load another replica. An account
// that lacked tokens or asks its peers for some counts again once a request of
// it was granted.
func (line *line) payable() int {
	count := 0
	for account, waiting := range line.waiting.Accounts() {
		_, lacking := line.blocked[account]
		if !lacking && !line.borrowing[account] {
			count += waiting
		}
	}
	return count
}

// adapters counts the waiting requests by the adapter that they need.
func (line *line) adapters() map[string]int {
	counts := map[string]int{}
	for _, waiter := range line.waiters {
		if waiter.request.Adapter != "" {
			counts[waiter.request.Adapter]++
		}
	}
	return counts
}

// stake is what the waiting accounts stand to lose: their weights, more the longer they wait.
func (line *line) stake(now time.Duration) float64 {
	sum := 0.0
	for _, waiter := range line.waiters {
		waited := float64(now-waiter.request.Arrived) / float64(waiter.request.WaitLimit)
		sum += waiter.request.Account.Weight * (1 + waited)
	}
	return sum
}

// acquire waits until the request may run, or until its wait limit is over.
func (service *Service) acquire(ctx context.Context, waiting *waiter) (grant, mimosatide.Refusal) {
	request := waiting.request
	service.lock.Lock()
	line := service.line(request.Model)
	line.waiters[request.ID] = waiting
	line.waiting.Push(queue.Item{
		ID:      request.ID,
		Account: request.Account.Name,
		Weight:  request.Account.Weight,
		Tokens:  request.Tokens,
	})
	service.pump(line)
	service.tellWant(line)
	service.lock.Unlock()
	timer := time.NewTimer(request.Arrived + request.WaitLimit - service.clock.Now())
	defer timer.Stop()
	select {
	case given := <-waiting.granted:
		return given, given.refusal
	case <-timer.C:
		return service.giveUp(waiting, mimosatide.ReasonWaitExpired)
	case <-ctx.Done():
		return service.giveUp(waiting, service.endReason(ctx))
	}
}

// giveUp takes a request out of its line, unless it was granted at this very moment.
func (service *Service) giveUp(waiting *waiter, reason mimosatide.Reason) (grant, mimosatide.Refusal) {
	service.lock.Lock()
	defer service.lock.Unlock()
	line := service.line(waiting.request.Model)
	line.waiting.Remove(waiting.request.ID)
	delete(line.waiters, waiting.request.ID)
	select {
	case given := <-waiting.granted:
		if given.refusal.Refused() {
			return grant{}, given.refusal
		}
		line.release(given.candidate.Placement)
	default:
	}
	detail := "no replica was free within the wait limit"
	if reason == mimosatide.ReasonWaitExpired {
		reason, detail = service.expiredReason(line, waiting.request)
	}
	return grant{}, mimosatide.Refuse(reason, detail)
}

// expiredReason says what a request has waited for in vain.
func (service *Service) expiredReason(line *line, request Request) (mimosatide.Reason, string) {
	_, blocked := line.blocked[request.Account.Name]
	switch {
	case blocked:
		return mimosatide.ReasonOverRate, "the account's rate was used up for the whole wait limit"
	case line.list.Holdup == string(placement.WaitForMemory):
		return mimosatide.ReasonNoCapacity, "no engine has room for the model"
	case line.list.Holdup == string(mimosatide.ReasonStoreUnavailable) && !line.hasReplica():
		return mimosatide.ReasonStoreUnavailable, "the platform's table does not answer, so that no model can be placed"
	default:
		return mimosatide.ReasonWaitExpired, "no replica was free within the wait limit"
	}
}

func (line *line) hasReplica() bool {
	for _, replica := range line.list.Placements {
		if replica.State == placement.Ready {
			return true
		}
	}
	return false
}

// release gives a slot back that is not used any more.
func (line *line) release(placement string) {
	line.outstanding[placement]--
	if line.outstanding[placement] <= 0 {
		delete(line.outstanding, placement)
	}
}

// line returns the line of a model; the lock is held.
func (service *Service) line(model mimosatide.Model) *line {
	known, found := service.lines[model.Name]
	if !found {
		known = newLine()
		service.lines[model.Name] = known
	}
	known.model = model
	return known
}

// pump grants free slots to the requests whose turn it is; the lock is held.
func (service *Service) pump(line *line) {
	now := service.clock.Now()
	passed := map[string]bool{}
	for line.waiting.Len() > 0 {
		item, found := line.waiting.Next(func(account string) bool {
			return passed[account] || line.borrowing[account] || now < line.blocked[account]
		})
		if !found {
			return
		}
		waiting := line.waiters[item.ID]
		candidate, free := service.chooseReplica(line, waiting)
		if !free {
			line.waiting.PushFront(item)
			// Another account's request may need another adapter or have fewer excluded targets.
			passed[item.Account] = true
			continue
		}
		if !service.payFor(line, item, waiting, candidate) {
			passed[item.Account] = true
		}
	}
}

// chooseReplica picks a replica that can run the request now.
func (service *Service) chooseReplica(line *line, waiting *waiter) (Candidate, bool) {
	candidates := service.candidates(line, waiting.request)
	return service.chooser.Choose(candidates, waiting.excluded(service.clock.Now()))
}

// excluded are the targets that the request isn't tried at again yet.
func (waiting *waiter) excluded(now time.Duration) map[string]bool {
	excluded := map[string]bool{}
	for target, at := range waiting.failed {
		excluded[target] = now-at < tryAgainAfter
	}
	return excluded
}

func (service *Service) candidates(line *line, request Request) []Candidate {
	now := service.clock.Now()
	limit := service.slotLimit(line)
	var candidates []Candidate
	for _, replica := range line.list.Placements {
		if replica.State != placement.Ready || service.placements.Leaving(replica.Target) {
			continue
		}
		if adapter, has := replica.FindAdapter(request.Adapter); request.Adapter != "" && (!has || !adapter.Ready) {
			continue
		}
		spec, known := service.store.View().Document.GetTarget(replica.Target)
		if !known || !service.suspects.MayStart(now, replica.Target, request.Digest) {
			continue
		}
		candidates = append(candidates, Candidate{
			Target:      replica.Target,
			Placement:   replica.ID,
			Number:      replica.Number,
			Outstanding: line.outstanding[replica.ID],
			Limit:       limit,
			Reported:    service.placements.Reported(replica.Target),
			Affinity:    service.affinity.has(request, replica.Target),
			Near:        spec.Zone == service.settings.Zone,
		})
	}
	return service.health.usable(now, candidates)
}

// slotLimit is how many requests this node may run at one replica: its fair
// part, or what the other nodes leave free.
func (service *Service) slotLimit(line *line) int {
	nodes := len(service.peers.Others()) + 1
	fair := (line.model.Concurrency + nodes - 1) / nodes
	replicas := max(1, len(line.list.Placements))
	others := max(0, line.list.Outstanding-line.total())
	spare := line.model.Concurrency - (others+replicas-1)/replicas
	return max(1, fair, spare)
}

// payFor debits the request's tokens and grants it the replica. When this node
// lacks tokens it asks the peers, and the account is passed over until they answer.
func (service *Service) payFor(line *line, item queue.Item, waiting *waiter, candidate Candidate) bool {
	now := service.clock.Now()
	receipt, paid := service.bank.Spend(now, item.Account, item.Tokens)
	if paid {
		service.grantTo(line, waiting, candidate, receipt)
		return true
	}
	line.waiting.PushFront(item)
	service.borrow(line, item, waiting)
	return false
}

func (service *Service) grantTo(line *line, waiting *waiter, candidate Candidate, receipt limit.Receipt) {
	spec, _ := service.store.View().Document.GetTarget(candidate.Target)
	line.outstanding[candidate.Placement]++
	delete(line.waiters, waiting.request.ID)
	delete(line.blocked, waiting.request.Account.Name)
	service.suspects.Start(service.clock.Now(), candidate.Target, waiting.request.Digest)
	waiting.granted <- grant{candidate: candidate, spec: spec, receipt: receipt}
}
