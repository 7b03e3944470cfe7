package metric_test

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/metric"
)

func TestRefusalsAndRetriesAreCountedByReason(t *testing.T) {
	meter := metric.New()
	meter.CountRefusal(mimosatide.ReasonOverRate)
	meter.CountRetry(metric.RetryCut)
	meter.CountOversize(metric.OversizeHead)
	meter.ObserveColdStart(1)
	if err := meter.Close(); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	meter.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	body, _ := io.ReadAll(recorder.Body)
	for _, line := range []string{
		`mimosatide_refusals{reason="OverRate"} 1`, `mimosatide_retries{reason="Cut"} 1`, "mimosatide_cold_start_count 1",
		`mimosatide_oversized_answers{reason="HeadTooLarge"} 1`,
	} {
		if !strings.Contains(string(body), line) {
			t.Errorf("want the line %q, got\n%s", line, body)
		}
	}
}
