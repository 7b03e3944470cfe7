package soak_test

import (
	"net/http"
	"testing"
	"time"
)

// TestFallbackToOlderConfigurationIsMissed guards against a check that overlooks a node which
// handles a request by an older configuration than before, or that accuses a sound one.
func TestFallbackToOlderConfigurationIsMissed(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	keys := map[string]keyLifetime{
		"old": {version: 1, added: at(0), withdrawn: at(10)},
		"new": {version: 2, added: at(10)},
	}
	type handled struct {
		key    string
		sent   float64
		status int
	}
	for name, table := range map[string]struct {
		earlier, later handled
		changed        float64
		want           int
	}{
		"old key after the new one":              {earlier: handled{"new", 11, http.StatusOK}, later: handled{"old", 12, http.StatusOK}, want: 1},
		"old key in flight at the change":        {earlier: handled{"new", 11, http.StatusOK}, later: handled{"old", 11.1, http.StatusOK}},
		"old key at a node that has restarted":   {earlier: handled{"new", 11, http.StatusOK}, later: handled{"old", 12, http.StatusOK}, changed: 11.5},
		"current key denied after it was known":  {earlier: handled{"new", 11, http.StatusOK}, later: handled{"new", 12, http.StatusUnauthorized}, want: 1},
		"withdrawn key denied":                   {earlier: handled{"old", 9, http.StatusOK}, later: handled{"old", 12, http.StatusUnauthorized}},
		"key denied although not yet withdrawn":  {earlier: handled{"old", 5, http.StatusOK}, later: handled{"old", 9, http.StatusUnauthorized}, want: 1},
		"old key before the new one":             {earlier: handled{"old", 9, http.StatusOK}, later: handled{"new", 11, http.StatusOK}},
		"current key refused for another reason": {earlier: handled{"new", 11, http.StatusOK}, later: handled{"new", 12, http.StatusServiceUnavailable}},
	} {
		t.Run(name, func(t *testing.T) {
			handledBy := &node{name: "n0"}
			if table.changed > 0 {
				handledBy.changes = moments{at(table.changed)}
			}
			var results []result
			for _, handled := range []handled{table.earlier, table.later} {
				results = append(results, result{
					id: handled.key, key: handled.key, node: handledBy, status: handled.status,
					sent: at(handled.sent), ended: at(handled.sent + 0.01),
				})
			}
			if got := (&testbed{keys: keys}).checkConfigurations(results); len(got) != table.want {
				t.Errorf("got violations %q, want %d", got, table.want)
			}
		})
	}
}
