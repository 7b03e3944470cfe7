package gateway

import (
	"net/http"
	"strconv"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/platform"
)

// statusCallerGone is logged for a request whose caller has left; nobody sees it.
const statusCallerGone = 499

// refusalStatus is the status of a refusal of a request that has not run.
var refusalStatus = map[mimosatide.Reason]int{
	mimosatide.ReasonMalformed:    http.StatusBadRequest,
	mimosatide.ReasonTooLarge:     http.StatusRequestEntityTooLarge,
	mimosatide.ReasonNoKey:        http.StatusUnauthorized,
	mimosatide.ReasonUnknownKey:   http.StatusUnauthorized,
	mimosatide.ReasonUnknownRoute: http.StatusNotFound,
	mimosatide.ReasonOverRate:     http.StatusTooManyRequests,
}

// refuse answers a request that was not served.
func (passage *passage) refuse(refusal mimosatide.Refusal) {
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
		passage.refund()
	}
	passage.gate.Meter.CountRefusal(refusal.Reason)
	passage.log(status, string(refusal.Reason), refusal.Detail)
	if refusal.Reason == mimosatide.ReasonCallerGone {
		panic(http.ErrAbortHandler)
	}
	header := passage.writer.Header()
	platform.WriteRefusalHead(header, passage.entry.ID, refusal.RetryAfter)
	body := string(refusal.Reason) + ": " + refusal.Detail + "\n"
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	passage.writer.WriteHeader(status)
	_, err := passage.writer.Write([]byte(body))
	if err != nil {
		passage.gate.log.V(1).Info("refusal not delivered", "request", passage.entry.ID, "reason", err.Error())
	}
}

// abort ends an answer that has begun, so that it can't be taken for a whole one.
func (passage *passage) abort(outcome sent) {
	passage.gate.Meter.CountRefusal(mimosatide.ReasonTargetFailed)
	passage.log(http.StatusBadGateway, "BrokenOff", outcome.detail)
	panic(http.ErrAbortHandler)
}

// log writes the one line of a request's end.
func (passage *passage) log(status int, result, detail string) {
	passage.gate.log.Info("request ended",
		"request", passage.entry.ID, "route", passage.route.Name, "account", passage.account.Name,
		"service", passage.service.Name, "model", passage.entry.Model, "adapter", passage.entry.Adapter,
		"target", passage.instance.ID, "status", status, "result", result, "detail", detail,
		"sends", passage.sends, "mayHaveRun", passage.runs, "configuration", passage.version,
		"waited", passage.waited.Round(time.Millisecond/10), "held", passage.held.Round(time.Millisecond/10),
		"first", passage.first.Round(time.Millisecond/10), "pause", passage.pause.Round(time.Millisecond/10),
		"took", time.Since(passage.arrived).Round(time.Millisecond/10))
}
