package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/exchange"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/platform"
)

// The bounds of a relayed answer.
const (
	// wholeAnswer is the size up to which an answer is read before any of it is passed on.
	wholeAnswer = 1 << 20
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// smallRest is the size of a body that is read to keep its connection.
	smallRest = 4 << 10
)

// relay passes an answer on. An answer that breaks off before any of it was
// passed on, or a stream that may be resumed, comes back as a failure.
func (passage *passage) relay(ctx context.Context, outcome sent) sent {
	if outcome.head.Status >= http.StatusInternalServerError && passage.headSent {
		outcome.reply.Abort()
		passage.ticket.End(balance.Failed, time.Now())
		return sent{failure: mimosatide.CallCut, detail: "the stream could not be resumed", reason: metric.RetryResume}
	}
	if passage.route.Kind == mimosatide.StreamRoute && outcome.head.Status == http.StatusOK {
		return passage.relayStream(ctx, outcome)
	}
	return passage.relayWhole(ctx, outcome)
}

// relayWhole reads the whole answer and then passes it on.
func (passage *passage) relayWhole(ctx context.Context, outcome sent) sent {
	passage.ticket.PrefillDone()
	body, err := io.ReadAll(io.LimitReader(outcome.reply.Body(), wholeAnswer+1))
	if err != nil {
		outcome.reply.Abort()
		return passage.failed(ctx, mimosatide.CallCut, err.Error())
	}
	if len(body) > wholeAnswer {
		return passage.relayLarge(outcome, body)
	}
	answer := &heldAnswer{head: outcome.head, body: body}
	if outcome.head.Status >= http.StatusInternalServerError && passage.route.Repeatable() {
		outcome.reply.Close(true)
		passage.ticket.End(balance.Failed, time.Now())
		return sent{
			failure: mimosatide.CallCut,
			detail:  "the target failed the request",
			reason:  metric.RetryCrash,
			held:    answer,
		}
	}
	passage.writeWhole(answer)
	passage.finish(outcome)
	return outcome
}

func (passage *passage) writeWhole(answer *heldAnswer) {
	header := passage.writer.Header()
	platform.CopyAnswerHead(header, answer.head.Header)
	header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	passage.headSent = true
	passage.writer.WriteHeader(answer.head.Status)
	if _, err := passage.writer.Write(answer.body); err != nil {
		passage.gate.log.V(1).Info("answer not delivered", "request", passage.entry.ID, "reason", err.Error())
	}
}

// relayLarge passes an answer on while it arrives.
func (passage *passage) relayLarge(outcome sent, begin []byte) sent {
	platform.CopyAnswerHead(passage.writer.Header(), outcome.head.Header)
	passage.headSent = true
	passage.writer.WriteHeader(outcome.head.Status)
	whole := io.MultiReader(bytes.NewReader(begin), outcome.reply.Body())
	if _, err := io.Copy(passage.writer, whole); err != nil {
		outcome.reply.Abort()
		passage.ticket.End(balance.Failed, time.Now())
		passage.abort(sent{detail: err.Error()})
	}
	passage.finish(outcome)
	return outcome
}

// relayStream passes whole events on as they arrive.
func (passage *passage) relayStream(ctx context.Context, outcome sent) sent {
	reader := bufio.NewReader(outcome.reply.Body())
	for {
		event, id, err := readEvent(reader)
		if err == io.EOF {
			break
		}
		if err != nil {
			return passage.brokenStream(ctx, outcome, err)
		}
		passage.ticket.PrefillDone()
		passage.noteEvent(time.Now())
		if err := passage.passEvent(outcome, event); err != nil {
			outcome.reply.Abort()
			passage.ticket.End(balance.Withdrawn, time.Now())
			passage.log(statusCallerGone, "CallerGone", err.Error())
			panic(http.ErrAbortHandler)
		}
		if id != "" {
			passage.lastEvent = id
		}
	}
	if !passage.headSent {
		platform.CopyAnswerHead(passage.writer.Header(), outcome.head.Header)
		passage.headSent = true
		passage.writer.WriteHeader(outcome.head.Status)
	}
	passage.finish(outcome)
	return outcome
}

// noteEvent keeps the times that decide whether a stream is on time.
func (passage *passage) noteEvent(now time.Time) {
	if passage.eventAt.IsZero() {
		passage.first = now.Sub(passage.arrived)
	} else {
		passage.pause = max(passage.pause, now.Sub(passage.eventAt))
	}
	passage.eventAt = now
}

func (passage *passage) passEvent(outcome sent, event []byte) error {
	if !passage.headSent {
		platform.CopyAnswerHead(passage.writer.Header(), outcome.head.Header)
		passage.headSent = true
		passage.writer.WriteHeader(outcome.head.Status)
		passage.gate.Meter.ObserveFirstToken(time.Since(passage.arrived))
	}
	if _, err := passage.writer.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(passage.writer).Flush()
}

// brokenStream ends a stream that its target broke off; the bytes of a part of an event are dropped.
func (passage *passage) brokenStream(ctx context.Context, outcome sent, err error) sent {
	outcome.reply.Abort()
	failed := passage.failed(ctx, mimosatide.CallCut, err.Error())
	failed.reason = metric.RetryResume
	return failed
}

// readEvent reads one event with its empty line, and its id.
func readEvent(reader *bufio.Reader) ([]byte, string, error) {
	var event []byte
	id := ""
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if err == bufio.ErrBufferFull && len(event) < maxEvent {
			continue
		}
		if err == io.EOF && len(event) > 0 {
			return nil, "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, "", err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return event, id, nil
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// drained reads a short body to its end, so that its connection can be kept.
func drained(reply *exchange.Reply) bool {
	rest, err := io.ReadAll(io.LimitReader(reply.Body(), smallRest))
	return err == nil && len(rest) < smallRest
}

// finish ends a request that was answered by its target.
func (passage *passage) finish(outcome sent) {
	outcome.reply.Close(true)
	result := balance.Served
	if outcome.head.Status >= http.StatusInternalServerError {
		result = balance.Failed
	}
	passage.ticket.End(result, time.Now())
	passage.gate.Suspects.Served(passage.digest)
	passage.gate.Meter.ObserveAnswer(time.Since(passage.arrived))
	passage.log(outcome.head.Status, "Served", "")
}
