package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/balance"
)

// fillPrefillSlots reports so many long prompts of another node at an engine that it
// has no free prefill slot.
func fillPrefillSlots(fixture *fixture, id string) {
	fixture.tracker.SetPeerLoads("other", map[string]balance.Load{id: {Running: 9, LongPrefills: 9}}, time.Now().Add(time.Hour))
}

func newLongRequest(fixture *fixture) *http.Request {
	request := newChatRequest(fixture, "/long-timeout/", "m")
	request.Header.Set("Token-Usage", "9000,20")
	return request
}

// The load of another node leaves the engine no free prefill slot. A long prompt that is
// sent anyway would slow the engine's streams; a short one must not wait with it.
func TestLongPromptIsDeferredUntilItsEngineHasAFreeSlot(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("e-1", "llm", respondEvents(1, 1, true), "m")
	fillPrefillSlots(fixture, "e-1")
	answer := make(chan *http.Response, 1)
	go func() {
		response, _, _ := fixture.send(newLongRequest(fixture))
		answer <- response
	}()
	for started := time.Now(); fixture.tracker.Loads()["e-1"].Deferred == 0; time.Sleep(time.Millisecond) {
		if time.Since(started) > 10*time.Second {
			t.Fatal("the long prompt was not deferred within 10 s")
		}
	}
	if response, _, _ := fixture.send(newChatRequest(fixture, "/long-timeout/", "m")); response.StatusCode != http.StatusOK {
		t.Errorf("short prompt while the long one is deferred: got status %d, want 200", response.StatusCode)
	}
	if count := len(fixture.received()); count != 1 {
		t.Errorf("requests received while the long prompt is deferred: got %d, want 1", count)
	}
	fixture.tracker.SetPeerLoads("other", nil, time.Now().Add(time.Hour))
	if response := <-answer; response == nil || response.StatusCode != http.StatusOK {
		t.Errorf("long prompt once a slot is free: got response %v, want status 200", response)
	}
}

// The engine never gets a free prefill slot. A deferral without a bound would last until
// the request's deadline.
func TestLongPromptWithAShortDeadlineIsSentBeforeItsDeadline(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("e-1", "llm", respondEvents(1, 1, true), "m")
	fillPrefillSlots(fixture, "e-1")
	request := newLongRequest(fixture)
	request.Header.Set("Deadline-Ms", "2000")
	if response, _, _ := fixture.send(request); response == nil || response.StatusCode != http.StatusOK {
		t.Errorf("got response %v, want status 200", response)
	}
}
