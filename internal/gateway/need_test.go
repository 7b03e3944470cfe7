package gateway_test

import (
	"testing"
	"time"
)

// TestNeedSaysWhatTheRequestCanStillGain guards against loads for requests whose callers have left, and against a request that counts
// once more at each host: one that is refused does not wait, and its identifier is the caller's.
func TestNeedSaysWhatTheRequestCanStillGain(t *testing.T) {
	for model, waits := range map[string]bool{"m": true, "slow": false} {
		fixture := newFixture(t)
		fixture.addTarget("e-1", "llm", respondEvents(1, 1, true))
		request := newChatRequest(fixture, "/chat/", model)
		fixture.send(request)
		fixture.loader.lock.Lock()
		need := fixture.loader.needs[0]
		fixture.loader.lock.Unlock()
		if !need.HasPriority || need.Request == 0 || (need.Leaves > 0) != waits || need.Leaves > time.Minute {
			t.Errorf("model %s: got need %+v, want priority and request, and the time left only if it waits", model, need)
		}
	}
}
