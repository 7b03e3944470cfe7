package gateway

import (
	"net/http"
	"strconv"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/platform"
)

// statusCallerGone is the status logged for a request whose caller has
// disconnected; it is never sent.
const statusCallerGone = 499

// refusalStatus maps the reason of a request that did not run to its HTTP status;
// other reasons get 503.
var refusalStatus = map[mimosatide.Reason]int{
	mimosatide.ReasonMalformed:    http.StatusBadRequest,
	mimosatide.ReasonTooLarge:     http.StatusRequestEntityTooLarge,
	mimosatide.ReasonNoKey:        http.StatusUnauthorized,
	mimosatide.ReasonUnknownKey:   http.StatusUnauthorized,
	mimosatide.ReasonUnknownRoute: http.StatusNotFound,
	mimosatide.ReasonOverRate:     http.StatusTooManyRequests,
	mimosatide.ReasonBodyStalled:  http.StatusRequestTimeout,
}

// refuse answers a request with a refusal. A request that may have run gets 502 or
// 504 and no Retry-After; one that did not run is refunded. If the caller has
// disconnected, its connection is closed without an answer; an answer that has begun is
// aborted.
func (handler *requestHandler) refuse(refusal mimosatide.Refusal) {
	if handler.headSent {
		handler.abort(sendOutcome{detail: string(refusal.Reason) + ": " + refusal.Detail})
	}
	status, found := refusalStatus[refusal.Reason]
	if !found {
		status = http.StatusServiceUnavailable
	}
	if refusal.Run != mimosatide.NotRun {
		status = http.StatusBadGateway
		if refusal.Reason == mimosatide.ReasonWaitExpired {
			status = http.StatusGatewayTimeout
		}
		refusal.RetryAfter = 0
	}
	if refusal.Run == mimosatide.NotRun {
		handler.refund()
	}
	handler.gateway.Meter.CountRefusal(refusal.Reason)
	handler.log(status, string(refusal.Reason), refusal.Detail)
	if refusal.Reason == mimosatide.ReasonCallerGone {
		panic(http.ErrAbortHandler)
	}
	header := handler.writer.Header()
	platform.WriteRefusalHead(header, handler.request.ID, refusal.RetryAfter)
	body := string(refusal.Reason) + ": " + refusal.Detail + "\n"
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if handler.bodyPending {
		// The server would otherwise read the rest of the body before it sends the refusal.
		header.Set("Connection", "close")
	}
	handler.writer.WriteHeader(status)
	_, err := handler.writer.Write([]byte(body))
	if err != nil {
		handler.gateway.log.V(1).Info("refusal not delivered", "request", handler.request.ID, "reason", err.Error())
	}
	if err == nil && handler.bodyPending {
		handler.dropBody()
	}
}

// abort closes the connection of an answer that has begun, so that the caller can't
// take it for complete.
func (handler *requestHandler) abort(outcome sendOutcome) {
	handler.gateway.Meter.CountRefusal(mimosatide.ReasonTargetFailed)
	handler.log(http.StatusBadGateway, "BrokenOff", outcome.detail)
	panic(http.ErrAbortHandler)
}

// log writes the log line of an ended request. The keys held, first and pause are older
// names of deferred, firstEvent and longestGap, kept for readers of the logs.
func (handler *requestHandler) log(status int, result, detail string) {
	handler.gateway.log.Info("request ended",
		"request", handler.request.ID, "route", handler.route.Name, "account", handler.account.Name,
		"service", handler.service.Name, "model", handler.request.Model, "adapter", handler.request.Adapter,
		"target", handler.instance.ID, "software", handler.instance.Software, "resumes", handler.request.Begun,
		"after", handler.request.LastEvent, "status", status, "result", result, "detail", detail,
		"sends", handler.sends, "mayHaveRun", handler.possibleRuns, "configuration", handler.version,
		"configurationAge", handler.versionAge.Round(time.Millisecond),
		"waited", handler.waited.Round(time.Millisecond/10), "held", handler.deferred.Round(time.Millisecond/10),
		"first", handler.firstEvent.Round(time.Millisecond/10), "pause", handler.longestGap.Round(time.Millisecond/10),
		"took", time.Since(handler.arrived).Round(time.Millisecond/10))
}
