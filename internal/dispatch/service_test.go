package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/dispatch"
)

func ignoreEvent(mimosatide.Event) error { return nil }

// TestFloodingAccountLeavesOthersTheirShare guards against unfair queueing: an
// account of weight 1 queues 500 requests before one of weight 4 queues 100. The
// first 125 requests served must be split by weight.
func TestFloodingAccountLeavesOthersTheirShare(t *testing.T) {
	harness := newHarness(t, 1)
	var lock sync.Mutex
	var order []string
	harness.target.answer = func(_ string, call mimosatide.Call, _ func(mimosatide.Event) error) mimosatide.Answer {
		lock.Lock()
		defer lock.Unlock()
		order = append(order, call.Request[:4])
		return success(call)
	}
	var running sync.WaitGroup
	enqueue := func(account mimosatide.Account, count int) {
		for index := range count {
			running.Add(1)
			go func() {
				defer running.Done()
				harness.service.RunModel(context.Background(), harness.modelRequest(fmt.Sprintf("%s-%d", account.Name, index), account), ignoreEvent)
			}()
		}
		for harness.service.Waiting()["model"][account.Name] < count {
			time.Sleep(time.Millisecond)
		}
	}
	enqueue(free, 500)
	enqueue(paid, 100)
	harness.placeReplicas(1)
	running.Wait()
	served := map[string]int{}
	for _, account := range order[:125] {
		served[account]++
	}
	if float64(served["paid"]) < 0.9*100 || float64(served["free"]) < 0.9*25 {
		t.Fatalf("first 125 requests served by account = %v, want at least 0.9 of the fair shares paid 100 and free 25", served)
	}
}

// TestRetriesKeepToTheirBudget guards against retry storms and against refusing
// requests that another target could serve: one of three targets always fails.
func TestRetriesKeepToTheirBudget(t *testing.T) {
	harness := newHarness(t, 3)
	harness.target.answer = func(target string, call mimosatide.Call, _ func(mimosatide.Event) error) mimosatide.Answer {
		if target == "Service-0" {
			return mimosatide.Answer{Failure: mimosatide.CallSilent}
		}
		return success(call)
	}
	const requests = 2000
	served := 0
	for index := range requests {
		result := harness.service.RunRoute(context.Background(), harness.routeRequest(fmt.Sprint("r", index), 3, true))
		if !result.Refusal.Refused() {
			served++
		}
	}
	retries := harness.target.count() - requests
	if float64(retries) > 0.1*requests {
		t.Errorf("retries = %d for %d requests, want at most a tenth", retries, requests)
	}
	if float64(served) < 0.98*requests {
		t.Errorf("served = %d of %d requests, want at least 0.98 of them", served, requests)
	}
}

// TestNonIdempotentCallIsNeverSentTwice guards against running a call twice: after
// each of these failures the target may have run it.
func TestNonIdempotentCallIsNeverSentTwice(t *testing.T) {
	for _, failure := range []mimosatide.CallFailure{mimosatide.CallCut, mimosatide.CallSilent, mimosatide.CallMismatched} {
		harness := newHarness(t, 3)
		harness.target.answer = func(_ string, call mimosatide.Call, _ func(mimosatide.Event) error) mimosatide.Answer {
			if !call.FreshConnection {
				t.Errorf("%s: got a call over a kept connection, want a new one", failure)
			}
			return mimosatide.Answer{Failure: failure}
		}
		result := harness.service.RunRoute(context.Background(), harness.routeRequest("once", 3, false))
		if harness.target.count() != 1 || result.Refusal.Run != mimosatide.RunUnknown {
			t.Errorf("%s: sent %d times with refusal %+v, want 1 time and run state Unknown", failure, harness.target.count(), result.Refusal)
		}
	}
}

// TestCallThatReachedNoTargetIsNotRun guards against telling the caller that a call
// may have run: all three targets fail before the first byte of it is sent.
func TestCallThatReachedNoTargetIsNotRun(t *testing.T) {
	harness := newHarness(t, 3)
	harness.target.answer = func(string, mimosatide.Call, func(mimosatide.Event) error) mimosatide.Answer {
		return mimosatide.Answer{Failure: mimosatide.CallNotSent}
	}
	result := harness.service.RunRoute(context.Background(), harness.routeRequest("never", 3, false))
	if result.Refusal.Reason != mimosatide.ReasonTargetFailed || result.Refusal.Run != mimosatide.NotRun {
		t.Fatalf("refusal = %+v, want TargetFailed and NotRun", result.Refusal)
	}
}

// TestSameIdempotencyKeyRunsOnce guards against running a repeated request again: 20
// requests with one idempotency key arrive together, and another one later, which must
// get the stored answer. A different request with the key must be refused.
func TestSameIdempotencyKeyRunsOnce(t *testing.T) {
	harness := newHarness(t, 1)
	harness.target.answer = func(_ string, call mimosatide.Call, _ func(mimosatide.Event) error) mimosatide.Answer {
		time.Sleep(5 * time.Millisecond)
		return mimosatide.Answer{Status: 201, ContentType: "text/plain", Body: []byte("parcel 7")}
	}
	var running sync.WaitGroup
	for index := range 20 {
		running.Add(1)
		go func() {
			defer running.Done()
			request := harness.routeRequest(fmt.Sprint("parcel-", index), 1, false)
			request.IdempotencyKey, request.Digest = "parcel", "same"
			harness.service.RunRoute(context.Background(), request)
		}()
	}
	running.Wait()
	if harness.target.count() != 1 {
		t.Fatalf("the request ran %d times, want 1", harness.target.count())
	}
	again := harness.routeRequest("again", 1, false)
	again.IdempotencyKey, again.Digest = "parcel", "same"
	deadline := time.Now().Add(10 * time.Second)
	for {
		result := harness.service.RunRoute(context.Background(), again)
		if result.Replayed && string(result.Answer.Body) == "parcel 7" {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("last result after 10 s = %+v, want the replayed answer", result)
		}
		time.Sleep(time.Millisecond)
	}
	other := harness.routeRequest("other", 1, false)
	other.IdempotencyKey, other.Digest = "parcel", "another body"
	if result := harness.service.RunRoute(context.Background(), other); result.Refusal.Reason != mimosatide.ReasonDuplicateRequest {
		t.Fatalf("another request with the same idempotency key: result = %+v, want refusal DuplicateRequest", result)
	}
}

// TestServicesOwnRejectionKeepsTheClaim guards against running a repeated request again after
// the service answered the first one with a status that does not say whether it has run.
func TestServicesOwnRejectionKeepsTheClaim(t *testing.T) {
	for _, status := range []int{408, 409, 421, 429, 500, 503} {
		harness := newHarness(t, 2)
		harness.target.answer = func(string, mimosatide.Call, func(mimosatide.Event) error) mimosatide.Answer {
			return mimosatide.Answer{Status: status, ContentType: "text/plain", Body: []byte("busy")}
		}
		deadline := time.Now().Add(10 * time.Second)
		for result := (dispatch.Result{}); !result.Replayed; time.Sleep(time.Millisecond) {
			request := harness.routeRequest("parcel", 2, false)
			request.IdempotencyKey, request.Digest = "parcel", "same"
			result = harness.service.RunRoute(context.Background(), request)
			if result.Refusal.Refused() && result.Refusal.Run == mimosatide.NotRun || time.Now().After(deadline) {
				t.Fatalf("status %d: got %+v after %d calls, want the service's answer replayed", status, result, harness.target.count())
			}
		}
		if harness.target.count() != 1 {
			t.Errorf("status %d: got %d calls, want 1", status, harness.target.count())
		}
	}
}

// TestRefusalAfterAnUnknownAttemptIsNotNotRun guards against 'not run' for a request that a
// target may have run before another attempt at it was refused or not sent.
func TestRefusalAfterAnUnknownAttemptIsNotNotRun(t *testing.T) {
	later := []mimosatide.Answer{{Failure: mimosatide.CallNotSent}, {Status: 409}, {Status: 429}, {Status: 503}}
	for _, failure := range []mimosatide.CallFailure{mimosatide.CallCut, mimosatide.CallSilent, mimosatide.CallMismatched} {
		for _, answer := range later {
			harness := newHarness(t, 3)
			harness.target.answer = func(_ string, call mimosatide.Call, _ func(mimosatide.Event) error) mimosatide.Answer {
				if harness.target.count() == 1 || call.Resume {
					return mimosatide.Answer{Failure: failure}
				}
				return answer
			}
			results := make(chan dispatch.Result, 1)
			go func() {
				results <- harness.service.RunModel(context.Background(), harness.modelRequest("model", paid), ignoreEvent)
			}()
			placeAfterDemand(harness, 3)
			if result := <-results; result.Refusal.Run != mimosatide.RunUnknown {
				t.Errorf("model, %s and then %+v: got %+v, want a refusal as possibly run", failure, answer, result)
			}
		}
		harness := newHarness(t, 3)
		harness.target.answer = func(string, mimosatide.Call, func(mimosatide.Event) error) mimosatide.Answer {
			if harness.target.count() == 1 {
				return mimosatide.Answer{Failure: failure}
			}
			return mimosatide.Answer{Failure: mimosatide.CallNotSent}
		}
		result := harness.service.RunRoute(context.Background(), harness.routeRequest("route", 3, true))
		if result.Refusal.Run != mimosatide.RunUnknown || harness.target.count() < 2 {
			t.Errorf("route, %s and then not sent: got %+v after %d calls, want a refusal as possibly run after 2 or more",
				failure, result, harness.target.count())
		}
	}
}

// TestStreamIsResumedWithoutLossOrDuplicates guards against lost and repeated
// events: the connection is cut after each number of events in turn.
func TestStreamIsResumedWithoutLossOrDuplicates(t *testing.T) {
	const tokens = 12
	for cut := range tokens + 1 {
		harness := newHarness(t, 1)
		harness.target.answer = func(_ string, call mimosatide.Call, onEvent func(mimosatide.Event) error) mimosatide.Answer {
			first := max(1, call.After) // a resumed stream repeats the last event
			for index := first; index <= tokens; index++ {
				if !call.Resume && index > cut {
					return mimosatide.Answer{Status: 200, Failure: mimosatide.CallCut}
				}
				if err := onEvent(mimosatide.Event{Index: index}); err != nil {
					return mimosatide.Answer{Failure: mimosatide.CallCancelled}
				}
			}
			_ = onEvent(mimosatide.Event{Last: true})
			return mimosatide.Answer{Status: 200}
		}
		var got []int
		var result dispatch.Result
		done := make(chan struct{})
		go func() {
			defer close(done)
			result = harness.service.RunModel(context.Background(), harness.modelRequest("stream", paid), func(event mimosatide.Event) error {
				if !event.Last {
					got = append(got, event.Index)
				}
				return nil
			})
		}()
		placeAfterDemand(harness, 1)
		<-done
		if result.Refusal.Refused() || len(got) != tokens || got[0] != 1 || got[tokens-1] != tokens {
			t.Fatalf("cut after %d events: events = %v, result = %+v, want events 1 to 12 without refusal", cut, got, result)
		}
	}
}

// TestAnswerToAResumptionIsNotTakenForTheRequests guards against streams that end as if
// they were complete, and against refusals as not run, after the target answered the
// resumption of a cut stream with an error or a rejection.
func TestAnswerToAResumptionIsNotTakenForTheRequests(t *testing.T) {
	for _, status := range []int{204, 302, 400, 404, 409, 429, 500, 503} {
		for _, events := range []int{0, 2} {
			harness := newHarness(t, 1)
			harness.target.answer = func(_ string, call mimosatide.Call, onEvent func(mimosatide.Event) error) mimosatide.Answer {
				if call.Resume {
					return mimosatide.Answer{Status: status, Body: []byte("error")}
				}
				for index := range events {
					_ = onEvent(mimosatide.Event{Index: index + 1})
				}
				return mimosatide.Answer{Status: 200, Failure: mimosatide.CallCut}
			}
			var result dispatch.Result
			done := make(chan struct{})
			go func() {
				defer close(done)
				request := harness.modelRequest("stream", paid)
				request.WaitLimit = time.Second
				result = harness.service.RunModel(context.Background(), request, ignoreEvent)
			}()
			placeAfterDemand(harness, 1)
			<-done
			if !result.Refusal.Refused() || result.Refusal.Run != mimosatide.RunUnknown {
				t.Errorf("resumption answered %d after %d events: result = %+v, want a refusal as possibly run", status, events, result)
			}
		}
	}
}

// placeAfterDemand places replicas once a request waits for the model.
func placeAfterDemand(harness *testHarness, engines int) {
	for len(harness.service.Waiting()) == 0 {
		time.Sleep(time.Millisecond)
	}
	harness.placeReplicas(engines)
}

// TestOnlyReplicaIsRetried guards against excluding the only replica for good: it
// refuses the first attempt with status 429.
func TestOnlyReplicaIsRetried(t *testing.T) {
	harness := newHarness(t, 1)
	harness.target.answer = func(_ string, call mimosatide.Call, _ func(mimosatide.Event) error) mimosatide.Answer {
		if harness.target.count() == 1 {
			return mimosatide.Answer{Status: 429}
		}
		if !call.FreshConnection {
			// The target may write the rejection once more where it wrote the first.
			t.Error("retry at the same replica: got a kept connection, want a new one")
		}
		return success(call)
	}
	results := make(chan dispatch.Result)
	go func() {
		results <- harness.service.RunModel(context.Background(), harness.modelRequest("busy", paid), ignoreEvent)
	}()
	placeAfterDemand(harness, 1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go harness.service.Run(ctx)
	if result := <-results; result.Refusal.Refused() {
		t.Fatalf("refusal = %+v, want none", result.Refusal)
	}
}

// TestEveryWaitingRequestIsAnsweredInTime guards against a request that stays in the
// queue after its wait limit: no replica is ever placed.
func TestEveryWaitingRequestIsAnsweredInTime(t *testing.T) {
	harness := newHarness(t, 1)
	request := harness.modelRequest("waits", paid)
	request.WaitLimit = 30 * time.Millisecond
	// The caller waits longer than any timer of the node.
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	result := harness.service.RunModel(ctx, request, ignoreEvent)
	if result.Refusal.Reason != mimosatide.ReasonWaitExpired || result.Refusal.Run != mimosatide.NotRun {
		t.Fatalf("refusal = %+v, want WaitExpired and NotRun", result.Refusal)
	}
	if len(harness.service.Waiting()) != 0 || !harness.service.Idle() {
		t.Fatal("the request is still registered, want no waiting and no running request")
	}
}

// TestRequestBeyondAccountRateIsRefusedAtOnce guards against holding a request until
// its wait limit although the account's rate can't cover it by then.
func TestRequestBeyondAccountRateIsRefusedAtOnce(t *testing.T) {
	harness := newHarness(t, 1)
	harness.target.answer = func(string, mimosatide.Call, func(mimosatide.Event) error) mimosatide.Answer {
		return mimosatide.Answer{Status: 200}
	}
	request := harness.modelRequest("hopeless", poor)
	request.Tokens = 19
	request.WaitLimit = 10 * time.Minute
	// The caller leaves long before the wait limit, which used to be the only end of
	// such a request.
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	results := make(chan dispatch.Result)
	go func() { results <- harness.service.RunModel(ctx, request, ignoreEvent) }()
	// A new node starts with no tokens, and the account's rate is almost zero.
	placeAfterDemand(harness, 1)
	refusal := (<-results).Refusal
	if refusal.Reason != mimosatide.ReasonOverRate || refusal.Run != mimosatide.NotRun || refusal.RetryAfter <= 0 {
		t.Fatalf("refusal = %+v, want OverRate and NotRun with a positive RetryAfter", refusal)
	}
	if len(harness.service.Waiting()) != 0 || !harness.service.Idle() {
		t.Fatal("the request is still registered, want no waiting and no running request")
	}
}

// TestKeyWithdrawnWhileWaitingIsNotServed guards against checking a key only on
// arrival: it is withdrawn before a replica is placed.
func TestKeyWithdrawnWhileWaitingIsNotServed(t *testing.T) {
	harness := newHarness(t, 1)
	harness.target.answer = func(_ string, call mimosatide.Call, _ func(mimosatide.Event) error) mimosatide.Answer {
		return success(call)
	}
	results := make(chan dispatch.Result)
	go func() {
		results <- harness.service.RunModel(context.Background(), harness.modelRequest("waits", paid), ignoreEvent)
	}()
	for len(harness.service.Waiting()) == 0 {
		time.Sleep(time.Millisecond)
	}
	harness.gate.refuse("paid", mimosatide.ReasonKeyWithdrawn)
	harness.placeReplicas(1)
	if result := <-results; result.Refusal.Reason != mimosatide.ReasonKeyWithdrawn || result.Refusal.Run != mimosatide.NotRun {
		t.Fatalf("refusal = %+v, want KeyWithdrawn and NotRun", result.Refusal)
	}
	if harness.target.count() != 0 {
		t.Fatal("the request of a withdrawn key was sent to a target, want no call")
	}
}

// TestCrashesReportedByPeersStopRequest guards against sending a request that has
// crashed the targets of other nodes: peers report two crashes, one of them twice.
func TestCrashesReportedByPeersStopRequest(t *testing.T) {
	harness := newHarness(t, 1)
	for _, crash := range []string{"model@1", "model@1", "model@2"} {
		harness.service.HandleCrashReport(dispatch.CrashReport{Digest: "bad", ID: crash})
	}
	request := harness.modelRequest("bad", paid)
	if result := harness.service.RunModel(context.Background(), request, ignoreEvent); result.Refusal.Reason != mimosatide.ReasonPoisonRequest {
		t.Fatalf("refusal after two crashes = %+v, want PoisonRequest", result.Refusal)
	}
	harmless := harness.modelRequest("good", paid)
	harmless.WaitLimit = time.Millisecond
	if result := harness.service.RunModel(context.Background(), harmless, ignoreEvent); result.Refusal.Reason == mimosatide.ReasonPoisonRequest {
		t.Fatalf("refusal without crashes = %+v, want another reason than PoisonRequest", result.Refusal)
	}
}

// TestSuspectsNeverShareTarget guards against refusing a harmless request: if it shared
// a second target with the request that crashes targets, that crash would count
// against it too.
func TestSuspectsNeverShareTarget(t *testing.T) {
	tracker := dispatch.NewCrashTracker()
	for _, digest := range []dispatch.Digest{"crashing", "harmless"} {
		tracker.Record(0, dispatch.CrashReport{Digest: digest, ID: "engine"})
	}
	tracker.Start(0, "other", "crashing")
	if tracker.MayStart(0, "other", "harmless") {
		t.Fatal("MayStart = true at a target that runs another suspect, want false")
	}
	tracker.Finish("other", "crashing")
	if !tracker.MayStart(0, "other", "harmless") {
		t.Fatal("MayStart = false after the other suspect finished, want true")
	}
}

// TestDrainingRefusesNewWorkOnly guards against admitting requests during shutdown,
// and against refusing those in progress.
func TestDrainingRefusesNewWorkOnly(t *testing.T) {
	harness := newHarness(t, 1)
	started, release := make(chan struct{}), make(chan struct{})
	harness.target.answer = func(_ string, call mimosatide.Call, _ func(mimosatide.Event) error) mimosatide.Answer {
		close(started)
		<-release
		return success(call)
	}
	results := make(chan dispatch.Result)
	go func() {
		results <- harness.service.RunRoute(context.Background(), harness.routeRequest("first", 1, false))
	}()
	<-started
	harness.service.Drain()
	late := harness.service.RunRoute(context.Background(), harness.routeRequest("late", 1, false))
	if late.Refusal.Reason != mimosatide.ReasonDraining || late.Refusal.Run != mimosatide.NotRun {
		t.Fatalf("refusal while draining = %+v, want Draining and NotRun", late.Refusal)
	}
	close(release)
	if first := <-results; first.Refusal.Refused() {
		t.Fatalf("refusal of the request in progress = %+v, want none", first.Refusal)
	}
}
