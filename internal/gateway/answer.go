package gateway

import (
	"net/http"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/exchange"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/platform"
)

// maxLateAnswers is how many late answers may come before the answer to the request.
const maxLateAnswers = 8

// undeclaredDetail describes an answer with a status that says that the request was not run,
// although the target does not declare it.
const undeclaredDetail = "the target turned the request away but may have run it"

// skipLateAnswers skips late answers to earlier requests on the connection. The target still
// works on the request; its own answer comes after them.
func (handler *requestHandler) skipLateAnswers(reply *exchange.Reply) error {
	for range maxLateAnswers {
		head := platform.DecodeAnswerHead(reply.Response)
		if head.RequestID == handler.request.ID || !reply.AnswersEarlier(head.RequestID) {
			return nil
		}
		handler.gateway.Meter.CountAnswer(metric.AnswerLate)
		handler.gateway.log.V(1).Info("late answer skipped", handler.describeAnswer(reply, head)...)
		if err := reply.Skip(); err != nil {
			return err
		}
	}
	return nil
}

// checkAnswer checks the head of an answer. The send has failed if the target says
// that it did not run the request, if the answer is not the target's own signed and
// unencoded answer to this request, or if its status would tell the caller that a request
// which must run once was not run although the target does not say so. An answer without a
// request id is only believed on a new connection, where it can't belong to an earlier
// request, and then only a refusal.
func (handler *requestHandler) checkAnswer(reply *exchange.Reply) sendOutcome {
	head := platform.DecodeAnswerHead(reply.Response)
	named := head.RequestID == handler.request.ID
	answersRequest := named || head.RequestID == "" && reply.EarlierCalls == 0
	if answersRequest {
		handler.recordWishes(head.Wishes)
	}
	if named && head.Wishes.Rate == 0 {
		handler.recordUnlimited()
	}
	if head.NotRun && answersRequest {
		return handler.takeRefusal(reply, head)
	}
	handler.possibleRuns++
	switch {
	case !named:
		return handler.rejectAnswer(reply, head, metric.AnswerMismatched, "the answer belongs to another request")
	case head.Encoded:
		return handler.rejectAnswer(reply, head, metric.AnswerMismatched, "the answer is encoded")
	case head.Status < http.StatusMultipleChoices && !head.Signed:
		return handler.rejectAnswer(reply, head, metric.AnswerMismatched, "the answer is not signed")
	case saysNotRun(head.Status) && !handler.route.Repeatable():
		return handler.rejectAnswer(reply, head, metric.AnswerUndeclared, undeclaredDetail)
	}
	return sendOutcome{reply: reply, head: head}
}

// takeRefusal ends a send that the target says it did not run.
func (handler *requestHandler) takeRefusal(reply *exchange.Reply, head platform.AnswerHead) sendOutcome {
	if head.RequestID == "" {
		// A copy of it could not be told from the answer to a later request.
		reply.Abort()
	} else {
		reply.Discard()
	}
	handler.gateway.Meter.CountAnswer(metric.AnswerRefused)
	handler.gateway.log.V(1).Info("target refused a request", handler.describeAnswer(reply, head)...)
	outcome := sendOutcome{failure: mimosatide.CallCut, notRun: true, detail: http.StatusText(head.Status), reason: metric.RetryBusy}
	if head.Status == http.StatusMisdirectedRequest {
		outcome.reason = metric.RetryNotLoaded
		handler.recordNotLoaded()
	}
	handler.inFlight.End(balance.Busy, time.Now())
	return outcome
}

// rejectAnswer ends a send whose answer is not passed on; the target may have run the request.
func (handler *requestHandler) rejectAnswer(
	reply *exchange.Reply, head platform.AnswerHead, kind metric.AnswerKind, detail string,
) sendOutcome {
	reply.Abort()
	handler.gateway.Meter.CountAnswer(kind)
	handler.gateway.log.Info("answer not taken", append(handler.describeAnswer(reply, head), "detail", detail)...)
	handler.inFlight.End(balance.Failed, time.Now())
	return sendOutcome{failure: mimosatide.CallMismatched, detail: detail, reason: metric.RetryMismatch}
}

// saysNotRun reports whether a status tells a caller that its request was not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// describeAnswer returns the keys and values of a log line about a target's answer.
func (handler *requestHandler) describeAnswer(reply *exchange.Reply, head platform.AnswerHead) []any {
	return []any{
		"request", handler.request.ID, "target", handler.instance.ID, "status", head.Status, "answers", head.RequestID,
		"notRun", head.NotRun, "connection", reply.Connection, "earlierCalls", reply.EarlierCalls,
		"sends", handler.sends, "mayHaveRun", handler.possibleRuns, "after", time.Since(handler.sent),
	}
}
