package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/permit"
)

// TestRequestThatWaitsForItsTurnGoesElsewhere guards against requests that reach an evacuated zone
// because they had chosen a target there, and waited for a permit, before the evacuation.
func TestRequestThatWaitsForItsTurnGoesElsewhere(t *testing.T) {
	fixture := newFixture(t)
	fixture.addTarget("d-1", "desk", respond("done"))
	instance, _ := fixture.targets.View().Instance("d-1")
	instance.Zone = "b"
	fixture.targets.Put(instance)
	fixture.limits.SetCold(map[string]permit.ColdLimit{"desk": permit.NewColdLimit(time.Minute, 0.1, 1, 1)})
	fixture.targets.MarkCold(instance, time.Now().Add(time.Minute), time.Now())
	statuses := make(chan int, 3)
	for range 3 {
		go func() {
			status := 0
			if response, _, _ := fixture.send(fixture.newRequest(http.MethodPost, "/slow/1")); response != nil {
				status = response.StatusCode
			}
			statuses <- status
		}()
	}
	if status := <-statuses; status != http.StatusOK {
		t.Fatalf("first request: got status %d, want 200", status)
	}
	time.Sleep(100 * time.Millisecond)
	fixture.targets.Evacuate("b", mimosatide.RowVersion(1), time.Now())
	received := len(fixture.received())
	for range 2 {
		if status := <-statuses; status != http.StatusServiceUnavailable {
			t.Errorf("request that waited: got status %d, want 503, since it has not run", status)
		}
	}
	if more := len(fixture.received()) - received; more > 0 {
		t.Errorf("requests at the evacuated target: got %d more, want none", more)
	}
}

// TestEvacuationWithinARelease guards against streams of a version that only the evacuated zone has: they must not go
// on there, nor at the other version, and go on once the zone is taken back.
func TestEvacuationWithinARelease(t *testing.T) {
	fixture := newFixture(t)
	inZone := func(id, software, zone string) {
		fixture.addSoftware(id, software, false, "m")
		instance, _ := fixture.targets.View().Instance(id)
		instance.Zone = zone
		fixture.targets.Put(instance)
	}
	inZone("e-1", "v1", "a")
	inZone("e-2", "v2", "b")
	fixture.origins.known["begun"] = "v1"
	fixture.targets.Evacuate("a", 1, time.Now())
	if versions := fixture.targets.View().Software("llm"); len(versions) != 2 {
		t.Errorf("versions while a is evacuated: got %v, want v1 kept, since its streams may go on later", versions)
	}
	response, body, _ := fixture.send(newTakeUp(fixture, "begun"))
	if response == nil || response.StatusCode != http.StatusServiceUnavailable || len(fixture.received()) != 0 {
		t.Errorf("stream of v1: got response %v, body %q and %d sends, want status 503 and none", response, body, len(fixture.received()))
	}
	response, body, _ = fixture.send(newChatRequest(fixture, "/resumable/", "m"))
	if response == nil || response.StatusCode != http.StatusOK || !strings.Contains(body, "v2") || strings.Contains(body, "v1") {
		t.Errorf("new stream: got response %v and %q, want all of it from v2", response, body)
	}
	fixture.targets.EndEvacuation("a", 2, false, time.Now())
	response, body, _ = fixture.send(newTakeUp(fixture, "begun"))
	if response == nil || response.StatusCode != http.StatusOK || strings.Count(body, "written by v1") != 3 {
		t.Errorf("stream of v1, zone taken back: got response %v and %q, want the other three events from v1", response, body)
	}
}
