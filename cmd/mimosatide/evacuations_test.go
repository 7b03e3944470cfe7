package main_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/entrynode"
)

// TestEvacuationsCommandShowsWhatANodeAnswers guards against a command that leaves out what the operator waits for:
// that a zone is empty, that its models are loaded elsewhere, and how long targets stay cold.
func TestEvacuationsCommandShowsWhatANodeAnswers(t *testing.T) {
	report := entrynode.EvacuationReport{
		Node: "n1", Part: 0.5,
		Zones: []entrynode.ZoneReport{{
			Zone: "a", Since: time.Unix(1000, 0), SinceMillis: 61500, Targets: 20, InFlight: 3,
			Models: []entrynode.ModelReport{{Service: "llm", Model: "m1", LoadedAt: []string{"e-7", "e-8"}}, {Service: "llm", Model: "m2"}},
		}},
		Cold: []entrynode.ColdReport{{Target: "e-9", Service: "llm", Zone: "b", LeftMillis: 2100, Rate: 8, Reason: entrynode.ColdZoneReturned}},
	}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/evacuations" {
			http.NotFound(writer, request)
			return
		}
		_ = json.NewEncoder(writer).Encode(report)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	out, err := exec.Command(binary, "evacuations", "--address", address).CombinedOutput()
	var got []string
	for line := range strings.Lines(string(out)) {
		got = append(got, strings.Join(strings.Fields(line), " "))
	}
	want := []string{
		"node n1: 1 evacuated zones, 1 cold targets, part 0.50",
		"ZONE SINCE FOR TARGETS IN FLIGHT MODELS LOADED ELSEWHERE", "a 1970-01-01T00:16:40Z 1m1.5s 20 3 2 1",
		"ONLY IN a SERVICE NOW AT", "m1 llm e-7,e-8", "m2 llm -",
		"COLD TARGET SERVICE ZONE LEFT RATE REASON", "e-9 llm b 2.1s 8 ZoneReturned",
	}
	if err != nil || strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got %v and\n%s\nwant\n%s", err, out, strings.Join(want, "\n"))
	}
	if out, err := exec.Command(binary, "evacuations", "--address", address, "--json").Output(); err != nil || !json.Valid(out) {
		t.Errorf("--json: got %v and %s, want the answer as JSON", err, out)
	}
	server.Close()
	if err := exec.Command(binary, "evacuations", "--address", address).Run(); err == nil {
		t.Error("node that does not answer: got success, want an error")
	}
}
