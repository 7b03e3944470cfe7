package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/origin"
)

const (
	// incarnationTimeout bounds the question which incarnation a target is.
	incarnationTimeout = 500 * time.Millisecond
	// incarnationAge is how long the answer holds: a target that starts again meanwhile holds no
	// model yet.
	incarnationAge = 500 * time.Millisecond
	// originTimeout bounds the question which incarnation a stream has begun at, after it has broken off: its
	// caller waits meanwhile, and a target that has crashed refuses the connection at once.
	originTimeout = 250 * time.Millisecond
)

// confirmIncarnation checks by a target's own report that it is the incarnation whose version this
// node knows, before a stream goes on there. A node that is out of step doesn't hear that a target
// has started again under its ID with another version.
func (handler *requestHandler) confirmIncarnation(ctx context.Context, instance mimosatide.Instance) error {
	if !handler.continues || handler.service.Engine == nil || handler.limited(instance) {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	asked := time.Now()
	report, err := handler.gateway.Engines.Report(bounded, instance)
	if err != nil {
		return errors.Annotate(err, "the incarnation that a stream goes on at")
	}
	handler.gateway.Origins.Reported(ctx, instance.ID, report.Born)
	if !report.Born.Equal(instance.Born) {
		return errors.Errorf("the target has started again at %s, known is its start at %s",
			report.Born.Format(time.RFC3339Nano), instance.Born.Format(time.RFC3339Nano))
	}
	handler.confirmedAt = asked
	return nil
}

// checkOrigin asks the target at which this request's stream has begun for its incarnation, after the stream has
// broken off and before its caller learns of it. If that is a later one than this node knew, the recorded version
// may be wrong, and neither this node nor another one may use it. It reports whether the record stands.
func (handler *requestHandler) checkOrigin(ctx context.Context) bool {
	if !handler.continues || !handler.beginsStream() {
		return true
	}
	// A caller that has left may take the stream up at another node.
	ctx = context.WithoutCancel(ctx)
	// Without an answer there is nothing more that speaks against the record.
	born := handler.began.Born
	if handler.service.Engine != nil && !handler.limited(handler.began) {
		bounded, cancel := context.WithTimeout(ctx, originTimeout)
		defer cancel()
		if report, err := handler.gateway.Engines.Report(bounded, handler.began); err == nil {
			born = report.Born
		}
	}
	handler.gateway.Origins.Reported(ctx, handler.began.ID, born)
	return handler.gateway.Origins.Stands(handler.request.ID)
}

// isConfirmed reports whether the target's incarnation was confirmed just now, if it has to be.
func (handler *requestHandler) isConfirmed() bool {
	return handler.confirmedAt.IsZero() || time.Since(handler.confirmedAt) < incarnationAge
}

// bindSoftware finds the version that began the stream which the request takes up. A request whose
// stream's version is not known is refused: its answer could not be told from a joined one.
func (handler *requestHandler) bindSoftware(ctx context.Context) mimosatide.Refusal {
	if handler.route.Kind != mimosatide.StreamRoute || handler.request.LastEvent == "" {
		return mimosatide.Refusal{}
	}
	software, known := handler.gateway.Origins.Find(ctx, handler.service.Name, handler.request.Begun)
	if !known {
		return mimosatide.Refuse(mimosatide.ReasonOriginUnknown, "the software that began the stream is not known; send the request without the last event")
	}
	handler.continues, handler.software = true, software
	return mimosatide.Refusal{}
}

// candidates returns the targets of the request's service that it may be sent to: those of the
// version that began its stream, and for a new stream those of the versions at which streams may
// begin, even if no target is left: another node would take the stream for one of another version.
func (handler *requestHandler) candidates() []mimosatide.Instance {
	all := handler.gateway.Targets.View().Service(handler.service.Name)
	if handler.continues {
		return withSoftware(all, func(software string) bool { return software == handler.software })
	}
	if !handler.beginsStream() {
		return all
	}
	return withSoftware(all, func(software string) bool {
		return handler.gateway.Origins.MayBegin(handler.service.Name, software)
	})
}

// withSoftware returns the targets whose version is accepted, all of them without a copy.
func withSoftware(targets []mimosatide.Instance, accept func(software string) bool) []mimosatide.Instance {
	verdicts := map[string]bool{}
	rejected := func(target mimosatide.Instance) bool {
		verdict, known := verdicts[target.Software]
		if !known {
			verdict = accept(target.Software)
			verdicts[target.Software] = verdict
		}
		return !verdict
	}
	if !slices.ContainsFunc(targets, rejected) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), rejected)
}

// beginsStream reports whether the request begins a stream that may be resumed.
func (handler *requestHandler) beginsStream() bool {
	return handler.route.Kind == mimosatide.StreamRoute && handler.route.Resumable && handler.request.LastEvent == ""
}

// recordSend records at which version a new stream may begin, before it is sent there.
func (handler *requestHandler) recordSend(instance mimosatide.Instance) {
	if handler.beginsStream() && !handler.continues {
		handler.gateway.Origins.Send(origin.Stream{ID: handler.request.ID, Service: handler.service.Name, Software: instance.Software, Target: instance.ID, Born: instance.Born})
	}
}

// recordFirstEvent binds the stream to the version that has begun it.
func (handler *requestHandler) recordFirstEvent() {
	if handler.beginsStream() && !handler.continues {
		handler.gateway.Origins.Begin(handler.request.ID)
		handler.continues, handler.software, handler.began = true, handler.instance.Software, handler.instance
	}
}

// recordLastEvent records that the stream's caller has got all of it.
func (handler *requestHandler) recordLastEvent() {
	if handler.beginsStream() {
		handler.gateway.Origins.End(handler.request.ID)
	}
}
