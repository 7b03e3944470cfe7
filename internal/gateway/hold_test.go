package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/balance"
)

// fill has another node read more long prompts at an engine than its streams bear.
func fill(world *world, id string) {
	world.tracker.Hear("other", map[string]balance.Load{id: {Running: 9, Reading: 9}}, time.Now().Add(time.Hour))
}

func longPrompt(world *world) *http.Request {
	request := chat(world, "/patient/", "m")
	request.Header.Set("Token-Usage", "9000,20")
	return request
}

func TestLongPromptIsHeldBackUntilItsEngineHasRoom(t *testing.T) {
	world := newWorld(t)
	world.target("e-1", "llm", events(1, 1, true), "m")
	fill(world, "e-1")
	answered := make(chan *http.Response, 1)
	go func() {
		response, _, _ := world.send(longPrompt(world))
		answered <- response
	}()
	for begun := time.Now(); world.tracker.Loads()["e-1"].Waiting == 0; time.Sleep(time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the request is not held back")
		}
	}
	if response, _, _ := world.send(chat(world, "/patient/", "m")); response.StatusCode != http.StatusOK {
		t.Errorf("status %d of a short prompt beside it", response.StatusCode)
	}
	if arrivals := len(world.seen()); arrivals != 1 {
		t.Errorf("%d requests have arrived", arrivals)
	}
	world.tracker.Hear("other", nil, time.Now().Add(time.Hour))
	if response := <-answered; response == nil || response.StatusCode != http.StatusOK {
		t.Errorf("response %v once there is room", response)
	}
}

func TestRequestThatHasLittleTimeIsNotHeldUntilItsEnd(t *testing.T) {
	world := newWorld(t)
	world.target("e-1", "llm", events(1, 1, true), "m")
	fill(world, "e-1")
	request := longPrompt(world)
	request.Header.Set("Deadline-Ms", "2000")
	if response, _, _ := world.send(request); response == nil || response.StatusCode != http.StatusOK {
		t.Errorf("response %v", response)
	}
}
