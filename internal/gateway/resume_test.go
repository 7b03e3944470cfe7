package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/loading"
)

// writeAs returns a handler of targets whose events name their version. They end a new stream
// after two events without its end if broken is set, and a resumed one after the fifth.
func writeAs(software string, broken bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		sign(writer, request)
		writer.Header().Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		for id := last + 1; id <= 5; id++ {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: written by %s\n\n", id, software)
			writer.(http.Flusher).Flush()
			if broken && last == 0 && id == 2 {
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// addSoftware adds a target of a version that holds the model m.
func (fixture *fixture) addSoftware(id, software string, broken bool, models ...string) {
	fixture.t.Helper()
	fixture.addTarget(id, "llm", writeAs(software, broken), models...)
	instance, _ := fixture.targets.View().Instance(id)
	instance.Software = software
	fixture.targets.Put(instance)
}

// newTakeUp returns a request that resumes the stream of an earlier request after its second event.
func newTakeUp(fixture *fixture, begun string) *http.Request {
	request := newChatRequest(fixture, "/resumable/", "m")
	request.Header.Set("Last-Event-Id", "2")
	if begun != "" {
		request.Header.Set("Resumes", begun)
	}
	return request
}

func TestBrokenStreamIsNotContinuedByAnotherVersion(t *testing.T) {
	for range 8 {
		fixture := newFixture(t)
		fixture.addSoftware("e-1", "v1", true, "m")
		for _, id := range []string{"e-2", "e-3", "e-4"} {
			fixture.addSoftware(id, "v2", true, "m")
		}
		_, body, _ := fixture.send(newChatRequest(fixture, "/resumable/", "m"))
		if strings.Contains(body, "v1") && strings.Contains(body, "v2") {
			t.Fatalf("got %q, want the events of one version", body)
		}
	}
}

func TestBrokenStreamIsContinuedByItsVersion(t *testing.T) {
	for range 8 {
		fixture := newFixture(t)
		for _, id := range []string{"e-1", "e-2", "e-3", "e-4"} {
			fixture.addSoftware(id, "v"+id[2:3], true, "m")
			fixture.addSoftware(id+"b", "v"+id[2:3], true, "m")
		}
		_, body, whole := fixture.send(newChatRequest(fixture, "/resumable/", "m"))
		first, _, _ := strings.Cut(body, "\n\n")
		_, software, _ := strings.Cut(first, "written by ")
		if !whole || strings.Count(body, "written by "+software+"\n") != 5 {
			t.Fatalf("got complete %t and %q, want five events of one version", whole, body)
		}
	}
}

func TestTakenUpStreamGoesToTheVersionThatBeganIt(t *testing.T) {
	fixture := newFixture(t)
	fixture.addSoftware("e-4", "v1", false, "m")
	for _, id := range []string{"e-1", "e-2", "e-3"} {
		fixture.addSoftware(id, "v2", false, "m")
	}
	fixture.origins.known["begun"] = "v1"
	for range 8 {
		response, body, whole := fixture.send(newTakeUp(fixture, "begun"))
		if response.StatusCode != http.StatusOK || !whole || strings.Count(body, "written by v1") != 3 {
			t.Fatalf("got status %d and %q, want the other three events from v1", response.StatusCode, body)
		}
	}
}

// No version may be guessed, and nothing has run.
func TestTakenUpStreamOfUnknownOriginIsRefusedAsNotRun(t *testing.T) {
	fixture := newFixture(t)
	fixture.addSoftware("e-1", "v1", false, "m")
	for _, begun := range []string{"", "another", "gone"} {
		if begun == "gone" {
			fixture.origins.known[begun] = "v0"
		}
		response, body, _ := fixture.send(newTakeUp(fixture, begun))
		if response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("stream %q: got status %d and %q, want 503", begun, response.StatusCode, body)
		}
	}
	if len(fixture.requests) != 0 {
		t.Errorf("got %d requests at targets, want none", len(fixture.requests))
	}
}

// The model of a stream that is taken up may have no replica at its version. It has to be loaded
// there, although targets of the other version have it.
func TestModelOfATakenUpStreamIsLoadedAtItsVersion(t *testing.T) {
	fixture := newFixture(t)
	fixture.addSoftware("e-1", "v1", false)
	fixture.addSoftware("e-2", "v2", false, "m")
	fixture.origins.known["begun"] = "v1"
	fixture.loader.onNeed = func(need loading.Need) {
		if need.Software == "v1" {
			fixture.addSoftware("e-3", "v1", false, "m")
		}
	}
	response, body, _ := fixture.send(newTakeUp(fixture, "begun"))
	if response.StatusCode != http.StatusOK || strings.Count(body, "written by v1") != 3 {
		t.Errorf("got status %d and %q, want the other three events from v1", response.StatusCode, body)
	}
}

// A stream at a version that the store does not name could not be told from one of the others.
func TestStreamBeginsAtANamedVersion(t *testing.T) {
	fixture := newFixture(t)
	fixture.addSoftware("e-4", "v1", false, "m")
	for _, id := range []string{"e-1", "e-2", "e-3"} {
		fixture.addSoftware(id, "not named", false, "m")
	}
	for range 4 {
		_, body, _ := fixture.send(newChatRequest(fixture, "/resumable/", "m"))
		if !strings.Contains(body, "v1") {
			t.Errorf("got %q, want the events of v1", body)
		}
	}
}

// A look-up of a stream's origin may last until its node refuses what it may not live to answer.
// Sent then, the request would be cut.
func TestTakeUpThatIsNotSentWhenItsNodeDrainsIsNotRun(t *testing.T) {
	fixture := newFixture(t)
	fixture.addSoftware("e-1", "v1", false, "m")
	fixture.origins.known["begun"] = "v1"
	fixture.origins.onFind = func() { close(fixture.draining) }
	response, body, _ := fixture.send(newTakeUp(fixture, "begun"))
	if response == nil || response.StatusCode != http.StatusServiceUnavailable || !strings.HasPrefix(body, "Draining") {
		t.Errorf("got response %v and body %q, want status 503 and a body that starts with Draining", response, body)
	}
	if got := len(fixture.received()); got != 0 {
		t.Errorf("got %d sends, want none", got)
	}
}

// A node whose copy is old reads a row that names one version, and takes a stream which began at a
// version without a row for one of it.
func TestStreamDoesNotBeginAtAVersionThatNoRowNames(t *testing.T) {
	fixture := newFixture(t)
	fixture.addSoftware("e-1", "not named", false, "m")
	response, body, _ := fixture.send(newChatRequest(fixture, "/resumable/", "m"))
	if response == nil || response.StatusCode != http.StatusServiceUnavailable || len(fixture.received()) != 0 {
		t.Errorf("got response %v, body %q and %d sends, want status 503 and none", response, body, len(fixture.received()))
	}
}

// A target has started again under its ID, with another version, and a node that is out of step has
// not heard of it: neither a stream under way nor one that is taken up may go on there.
func TestStreamIsNotContinuedByAnotherIncarnation(t *testing.T) {
	fixture := newFixture(t)
	fixture.addSoftware("e-1", "v1", true, "m")
	fixture.addSoftware("e-2", "v1", true, "m")
	fixture.engines.born["e-1"], fixture.engines.born["e-2"] = time.Now(), time.Now()
	fixture.send(newChatRequest(fixture, "/resumable/", "m"))
	if got := len(fixture.received()); got != 1 {
		t.Errorf("stream that broke off: got %d sends, want that of its begin only", got)
	}
	fixture.origins.known["begun"] = "v1"
	response, body, _ := fixture.send(newTakeUp(fixture, "begun"))
	if response == nil || response.StatusCode != http.StatusServiceUnavailable || len(fixture.received()) != 1 {
		t.Errorf("stream that was taken up: got response %v, body %q and %d sends, want status 503 and none more",
			response, body, len(fixture.received()))
	}
	fixture.engines.born = map[string]time.Time{}
	if response, _, _ := fixture.send(newTakeUp(fixture, "begun")); response == nil || response.StatusCode != http.StatusOK {
		t.Errorf("stream that was taken up, targets as known: got response %v, want status 200", response)
	}
}

// A target has started again under its ID, with another version, before a stream began there, and the node had not
// heard of it: the stream was recorded with the version of the incarnation before, and went on at a target of that.
func TestStreamOfAnUnknownIncarnationIsNotContinued(t *testing.T) {
	for range 4 {
		fixture := newFixture(t)
		for _, id := range []string{"e-1", "e-2"} {
			fixture.addSoftware(id, "v1", false, "m")
		}
		fixture.addTarget("e-0", "llm", writeAs("v2", true), "m")
		instance, _ := fixture.targets.View().Instance("e-0")
		instance.Software = "v1"
		fixture.targets.Put(instance)
		fixture.engines.born["e-0"] = time.Now()
		request := newChatRequest(fixture, "/resumable/", "m")
		_, body, whole := fixture.send(request)
		if strings.Contains(body, "v1") && strings.Contains(body, "v2") {
			t.Fatalf("got %q, want the events of one version", body)
		}
		if strings.Contains(body, "v2") && (whole || len(fixture.origins.known) > 0) {
			t.Errorf("stream of v2: got complete %t and the record %v, want it broken off and no record", whole, fixture.origins.known)
		}
	}
}
