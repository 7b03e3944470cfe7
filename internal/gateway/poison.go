package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/quarantine"
)

// provenAfter is how long a target must have gone on after it began to answer a request,
// until the request counts as one that does not crash it.
const provenAfter = 150 * time.Millisecond

// features returns what a request may have in common with others that crash targets. The
// last part of a prompt belongs to the request alone.
func features(request mimosatide.CallerRequest) quarantine.Features {
	var parts []string
	for index := 0; index+1 < len(request.Parts); index++ {
		parts = append(parts, request.Parts[index].ID)
	}
	return quarantine.NewFeatures(contentDigest(request), parts)
}

// contentDigest returns the digest of everything that a caller's retry has in
// common with the first request.
func contentDigest(request mimosatide.CallerRequest) uint64 {
	digest := xxhash.New()
	for _, part := range []string{request.Method, request.Host, request.Target, request.Key, request.Model, request.Adapter} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// quarantined reports whether the request must not be sent, because it has crashed targets
// or has a prompt part that does.
func (handler *requestHandler) quarantined() bool {
	return handler.gateway.Quarantine.Holds(handler.features, time.Now())
}

func poisonRefusal() mimosatide.Refusal {
	return mimosatide.Refuse(mimosatide.ReasonPoisonRequest, "targets crashed while they answered such requests")
}

// checkCrash puts the request under suspicion if its connection was cut because the target
// has crashed: nothing accepts connections at its address any more. A request that the
// target had been answering for some time is not suspected.
func (handler *requestHandler) checkCrash(ctx context.Context) {
	instance := handler.instance
	answering := time.Duration(0)
	if !handler.answerBegan.IsZero() {
		answering = time.Since(handler.answerBegan)
	}
	known, found := handler.gateway.Targets.View().Instance(instance.ID)
	if ctx.Err() != nil || found && (known.Leaving || known.Evacuated) || !handler.gateway.Client.Refuses(ctx, instance.Address) {
		return
	}
	suspected := answering < provenAfter
	handler.gateway.log.Info("target crashed under a request", "request", handler.request.ID, "target", instance.ID,
		"parts", handler.features.Parts, "content", handler.features.Content, "answering", answering, "suspected", suspected)
	if suspected {
		crash := xxhash.Sum64String(instance.ID + "@" + strconv.FormatInt(instance.Born.UnixMilli(), 10))
		handler.gateway.Quarantine.Suspect(crash, handler.features, time.Now())
	}
}

// recordAnswering records that the target sends its answer, and acquits the request once
// that has gone on for long enough.
func (handler *requestHandler) recordAnswering(now time.Time) {
	if handler.answerBegan.IsZero() {
		handler.answerBegan = now
	}
	if !handler.acquitted && now.Sub(handler.answerBegan) >= provenAfter {
		handler.acquit(now)
	}
}

// acquit records that the target answered the request without a crash.
func (handler *requestHandler) acquit(now time.Time) {
	if handler.acquitted {
		return
	}
	handler.acquitted = true
	handler.gateway.Quarantine.Acquit(handler.features, now)
}
