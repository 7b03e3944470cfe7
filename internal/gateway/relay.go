package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/buffer"
	"mimosatide.example/mimosatide/internal/exchange"
	"mimosatide.example/mimosatide/internal/framing"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/platform"
)

// maxBufferedBytes is the largest answer that is read completely before any of it is sent
// to the caller, and the largest event of a stream.
const maxBufferedBytes = 1 << 20

// relayBytes is the buffer of an answer that is sent while it arrives. It belongs to the memory of
// a caller's connection, because it doesn't count as one for answers.
const relayBytes = 8 << 10

// relay sends an answer to the caller. It returns a failed outcome if the request may
// have to be sent again: the answer broke off before any of it was sent, a stream broke
// off or could not be resumed, or a repeatable request got a server error.
func (handler *requestHandler) relay(ctx context.Context, outcome sendOutcome) sendOutcome {
	if handler.headSent && !handler.continuesStream(outcome.head) {
		outcome.reply.Abort()
		handler.inFlight.End(balance.Failed, time.Now())
		return sendOutcome{failure: mimosatide.CallCut, detail: "the stream could not be resumed", reason: metric.RetryResume}
	}
	if handler.streams(outcome) {
		return handler.relayStream(ctx, outcome)
	}
	return handler.relayBuffered(ctx, outcome)
}

// streams reports whether an answer is a stream of events.
func (handler *requestHandler) streams(outcome sendOutcome) bool {
	return handler.route.Kind == mimosatide.StreamRoute && outcome.head.Status == http.StatusOK
}

// continuesStream reports whether an answer goes on with the stream that the caller has
// begun to receive. Any other answer belongs to no place in it.
func (handler *requestHandler) continuesStream(head platform.AnswerHead) bool {
	begun, _, _ := strings.Cut(handler.writer.Header().Get("Content-Type"), ";")
	next, _, _ := strings.Cut(head.Header.Get("Content-Type"), ";")
	return head.Status == http.StatusOK && next == begun
}

// relayBuffered reads the whole answer before it sends it, so that a failed request
// can still be retried.
func (handler *requestHandler) relayBuffered(ctx context.Context, outcome sendOutcome) sendOutcome {
	handler.inFlight.PrefillDone()
	handler.buffer.Reset()
	err := handler.buffer.Fill(outcome.reply.Body())
	if errors.Is(err, buffer.ErrTooLarge) || errors.Is(err, buffer.ErrNoMemory) {
		handler.countOversize(err, metric.OversizeBody)
		return handler.relayLarge(outcome)
	}
	if err != nil {
		outcome.reply.Abort()
		handler.countBroken(err)
		return handler.failSend(ctx, mimosatide.CallCut, err.Error())
	}
	handler.acquit(time.Now())
	if outcome.head.Status < http.StatusMultipleChoices {
		handler.inFlight.MarkAnswered(time.Now())
	}
	answer := &bufferedAnswer{head: outcome.head, body: handler.buffer}
	if outcome.head.Status >= http.StatusInternalServerError && handler.route.Repeatable() {
		outcome.reply.Close(true)
		handler.inFlight.End(balance.Failed, time.Now())
		return sendOutcome{
			failure:      mimosatide.CallCut,
			detail:       "the target failed the request",
			reason:       metric.RetryCrash,
			targetAnswer: answer,
		}
	}
	handler.writeBuffered(answer)
	handler.finish(outcome)
	return outcome
}

func (handler *requestHandler) writeBuffered(answer *bufferedAnswer) {
	header := handler.writer.Header()
	platform.CopyAnswerHead(header, answer.head.Header)
	header.Set("Content-Length", strconv.Itoa(answer.body.Len()))
	handler.headSent = true
	handler.writer.WriteHeader(answer.head.Status)
	if _, err := answer.body.WriteTo(handler.writer); err != nil {
		handler.gateway.log.V(1).Info("answer not delivered", "request", handler.request.ID, "reason", err.Error())
	}
}

// relayLarge sends an answer that can't be buffered while it arrives, after the part that
// the buffer holds.
func (handler *requestHandler) relayLarge(outcome sendOutcome) sendOutcome {
	handler.inFlight.ForgetTiming()
	platform.CopyAnswerHead(handler.writer.Header(), outcome.head.Header)
	handler.headSent = true
	handler.writer.WriteHeader(outcome.head.Status)
	_, err := handler.buffer.WriteTo(handler.writer)
	handler.buffer.Release()
	if err == nil {
		_, err = io.CopyBuffer(struct{ io.Writer }{handler.writer}, outcome.reply.Body(), make([]byte, relayBytes))
	}
	if err != nil {
		outcome.reply.Abort()
		handler.countBroken(err)
		handler.inFlight.End(balance.Failed, time.Now())
		handler.abort(sendOutcome{detail: err.Error()})
	}
	handler.finish(outcome)
	return outcome
}

// relayStream sends each event once it has arrived completely.
func (handler *requestHandler) relayStream(ctx context.Context, outcome sendOutcome) sendOutcome {
	reader := bufio.NewReader(outcome.reply.Body())
	for {
		handler.buffer.Reset()
		id, err := readEvent(reader, handler.buffer)
		if !handler.headSent && handler.endWatch() && ctx.Err() == nil {
			outcome.reply.Abort()
			return handler.failMoved(mimosatide.CallCut)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return handler.failStream(ctx, outcome, err)
		}
		handler.inFlight.MarkAnswered(time.Now())
		handler.recordEvent(time.Now())
		handler.recordAnswering(time.Now())
		handler.recordFirstEvent()
		if err := handler.writeEvent(outcome); err != nil {
			outcome.reply.Abort()
			handler.inFlight.End(balance.Withdrawn, time.Now())
			handler.checkOrigin(ctx)
			handler.log(statusCallerGone, "CallerGone", err.Error())
			panic(http.ErrAbortHandler)
		}
		if id != "" {
			handler.lastEventID = id
		}
	}
	if !handler.headSent {
		platform.CopyAnswerHead(handler.writer.Header(), outcome.head.Header)
		handler.headSent = true
		handler.writer.WriteHeader(outcome.head.Status)
	}
	handler.recordLastEvent()
	handler.finish(outcome)
	return outcome
}

// recordEvent updates the time to the first event and the longest gap, by which a
// stream is judged to be on time.
func (handler *requestHandler) recordEvent(now time.Time) {
	if handler.lastEventTime.IsZero() {
		handler.firstEvent = now.Sub(handler.arrived)
	} else {
		handler.longestGap = max(handler.longestGap, now.Sub(handler.lastEventTime))
	}
	handler.lastEventTime = now
}

func (handler *requestHandler) writeEvent(outcome sendOutcome) error {
	if !handler.headSent {
		platform.CopyAnswerHead(handler.writer.Header(), outcome.head.Header)
		handler.headSent = true
		handler.writer.WriteHeader(outcome.head.Status)
		handler.gateway.Meter.ObserveFirstToken(time.Since(handler.arrived))
	}
	if _, err := handler.buffer.WriteTo(handler.writer); err != nil {
		return err
	}
	return http.NewResponseController(handler.writer).Flush()
}

// failStream ends the send of a stream that broke off; an incomplete event is dropped.
func (handler *requestHandler) failStream(ctx context.Context, outcome sendOutcome, err error) sendOutcome {
	outcome.reply.Abort()
	handler.countOversize(err, metric.OversizeEvent)
	handler.countBroken(err)
	failed := handler.failSend(ctx, mimosatide.CallCut, err.Error())
	failed.reason = metric.RetryResume
	return failed
}

// countOversize counts an answer whose error says that it exceeded a bound; limit is the
// one of its buffer.
func (handler *requestHandler) countOversize(err error, limit metric.OversizeReason) {
	switch {
	case errors.Is(err, exchange.ErrHeadTooLarge):
		handler.gateway.Meter.CountOversize(metric.OversizeHead)
	case errors.Is(err, buffer.ErrTooLarge):
		handler.gateway.Meter.CountOversize(limit)
	case errors.Is(err, buffer.ErrNoMemory):
		handler.gateway.Meter.CountOversize(metric.OversizeMemory)
	}
}

// countBroken counts and logs an answer whose error says that it does not keep to the protocol.
func (handler *requestHandler) countBroken(err error) {
	kind := metric.AnswerBroken
	switch {
	case errors.Is(err, framing.ErrStatus):
		kind = metric.AnswerInvalidStatus
	case errors.Is(err, framing.ErrAmbiguousAnswer):
		kind = metric.AnswerAmbiguous
	case !errors.Is(err, framing.ErrUnfinished):
		return
	}
	handler.gateway.Meter.CountAnswer(kind)
	handler.gateway.log.Info("answer broken", "request", handler.request.ID, "target", handler.instance.ID, "kind", kind,
		"detail", err.Error(), "sends", handler.sends, "after", time.Since(handler.sent))
}

// readEvent reads one server-sent event up to and including the empty line that
// ends it into an empty buffer, and returns its id. It returns io.EOF only
// between events.
func readEvent(reader *bufio.Reader, into *buffer.Buffer) (string, error) {
	id := ""
	// line holds the start of a line that names an id and exceeds the reader; begins says that the
	// next piece begins a line, empty that the line has no text so far.
	var line []byte
	begins, empty := true, true
	for {
		piece, err := reader.ReadSlice('\n')
		if err := into.Append(piece); err != nil {
			return "", errors.Annotate(err, "an event of the stream")
		}
		named := len(line) > 0 || begins && bytes.HasPrefix(piece, idField)
		empty = empty && len(bytes.TrimRight(piece, "\r\n")) == 0
		begins = false
		if err == bufio.ErrBufferFull {
			if named {
				line = append(line, piece...)
			}
			continue
		}
		if err == io.EOF && into.Len() > 0 {
			return "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return "", err
		}
		if empty {
			return id, nil
		}
		if named && len(line) > 0 {
			piece = append(line, piece...)
		}
		if named {
			id = string(bytes.TrimSpace(piece[len(idField):]))
		}
		line, begins, empty = line[:0], true, true
	}
}

// idField begins the line of an event that names its id.
var idField = []byte("id:")

// finish ends a request whose complete answer was relayed.
func (handler *requestHandler) finish(outcome sendOutcome) {
	outcome.reply.Close(true)
	result := balance.Served
	if outcome.head.Status >= http.StatusInternalServerError {
		result = balance.Failed
	}
	handler.inFlight.End(result, time.Now())
	handler.acquit(time.Now())
	handler.gateway.Meter.ObserveAnswer(time.Since(handler.arrived))
	handler.log(outcome.head.Status, "Served", "")
}
