package target

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// doneData is the data of the last event of a stream in the completions protocol.
var doneData = []byte("[DONE]")

// progressTimer cancels a context if no data arrives within the limit.
type progressTimer struct {
	limit   time.Duration
	timer   *time.Timer
	expired atomic.Bool
}

// startProgressTimer returns a context that the timer cancels, and a function that stops
// the timer and cancels the context.
func startProgressTimer(ctx context.Context, limit time.Duration) (context.Context, *progressTimer, context.CancelFunc) {
	watched, cancel := context.WithCancel(ctx)
	progress := &progressTimer{limit: limit}
	progress.timer = time.AfterFunc(limit, func() {
		progress.expired.Store(true)
		cancel()
	})
	return watched, progress, func() {
		progress.timer.Stop()
		cancel()
	}
}

// reset restarts the timer after data has arrived.
func (progress *progressTimer) reset() {
	progress.timer.Reset(progress.limit)
}

// failure classifies the error that ended the reading of an answer.
func (progress *progressTimer) failure(ctx context.Context, err error) mimosatide.CallFailure {
	switch {
	case err == nil:
		return mimosatide.CallSucceeded
	case progress.expired.Load():
		return mimosatide.CallSilent
	case ctx.Err() != nil:
		return mimosatide.CallCancelled
	default:
		return mimosatide.CallCut
	}
}

// readStream calls onEvent for each event of a stream, in the order of arrival. A
// stream that ends without its last event is cut.
func (target *Client) readStream(
	ctx context.Context, response *protocol.Response, onEvent func(mimosatide.Event) error,
) mimosatide.Answer {
	answer := mimosatide.Answer{Status: response.StatusCode(), ContentType: string(response.Header.ContentType())}
	limit := &eventLimit{source: response.BodyStream(), left: maxEventSize}
	var limited protocol.Response
	limited.Header.SetContentTypeBytes(response.Header.ContentType())
	limited.SetBodyStream(limit, -1)
	reader, err := sse.NewReader(&limited)
	if err != nil {
		forceClose(response)
		answer.Failure, answer.Detail = mimosatide.CallCut, err.Error()
		return answer
	}
	reader.SetMaxBufferSize(maxEventSize)
	watched, progress, stop := startProgressTimer(ctx, target.settings.ProgressTimeout)
	defer stop()
	complete := false
	err = reader.ForEach(watched, func(event *sse.Event) error {
		progress.reset()
		limit.left = maxEventSize
		last := bytes.Equal(event.Data, doneData)
		complete = complete || last
		index, _ := strconv.Atoi(event.ID)
		return onEvent(mimosatide.Event{Index: index, Data: bytes.Clone(event.Data), Last: last})
	})
	if err == nil && !complete {
		err = errors.New("the stream ended before its last event")
	}
	answer.Failure = progress.failure(ctx, err)
	if err != nil {
		answer.Detail = err.Error()
		forceClose(response)
		return answer
	}
	_ = response.CloseBodyStream()
	return answer
}

// errEventTooLarge is the error of a stream with an event above maxEventSize.
var errEventTooLarge = errors.Errorf("an event of the stream is larger than %d bytes", maxEventSize)

// eventLimit bounds the bytes between two events of a stream: the event reader bounds the
// lines of an event, but not their sum.
type eventLimit struct {
	source io.Reader
	// left is how many bytes may still be read before the next event.
	left int
}

// Read reads from the source.
func (limit *eventLimit) Read(buffer []byte) (int, error) {
	if limit.left <= 0 {
		return 0, errEventTooLarge
	}
	count, err := limit.source.Read(buffer[:min(len(buffer), limit.left)])
	limit.left -= count
	return count, err
}

// ForceClose closes the connection of the source.
func (limit *eventLimit) ForceClose() error {
	if closer, ok := limit.source.(forceCloser); ok {
		return closer.ForceClose()
	}
	return nil
}

// readBody reads the whole body of an answer that isn't streamed.
func (target *Client) readBody(ctx context.Context, response *protocol.Response) mimosatide.Answer {
	answer := mimosatide.Answer{Status: response.StatusCode(), ContentType: string(response.Header.ContentType())}
	if !response.IsBodyStream() {
		answer.Body = bytes.Clone(response.Body())
		return answer
	}
	watched, progress, stop := startProgressTimer(ctx, target.settings.ProgressTimeout)
	defer stop()
	stopClosing := context.AfterFunc(watched, func() { forceClose(response) })
	defer stopClosing()
	body, err := io.ReadAll(io.LimitReader(&progressReader{source: response.BodyStream(), progress: progress}, int64(target.settings.MaxAnswer)+1))
	if err == nil && len(body) > target.settings.MaxAnswer {
		err = errors.Errorf("the answer is larger than %d bytes", target.settings.MaxAnswer)
	}
	answer.Failure = progress.failure(ctx, err)
	if err != nil {
		answer.Detail = err.Error()
		forceClose(response)
		return answer
	}
	answer.Body = body
	stopClosing()
	_ = response.CloseBodyStream()
	return answer
}

// progressReader resets the progress timer whenever data arrives.
type progressReader struct {
	source   io.Reader
	progress *progressTimer
}

// Read reads from the source.
func (reader *progressReader) Read(buffer []byte) (int, error) {
	count, err := reader.source.Read(buffer)
	if count > 0 {
		reader.progress.reset()
	}
	return count, err
}
