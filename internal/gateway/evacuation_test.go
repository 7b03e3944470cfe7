package gateway_test

import (
	"net/http"
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
