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

// doneData is the data of the event that ends a stream of the completions protocol.
var doneData = []byte("[DONE]")

// progress cancels a context when nothing has moved for too long.
type progress struct {
	limit  time.Duration
	timer  *time.Timer
	silent atomic.Bool
}

func watchProgress(ctx context.Context, limit time.Duration) (context.Context, *progress, context.CancelFunc) {
	watched, cancel := context.WithCancel(ctx)
	watch := &progress{limit: limit}
	watch.timer = time.AfterFunc(limit, func() {
		watch.silent.Store(true)
		cancel()
	})
	return watched, watch, func() {
		watch.timer.Stop()
		cancel()
	}
}

func (watch *progress) moved() {
	watch.timer.Reset(watch.limit)
}

// outcome names the failure of a read that ended with the error.
func (watch *progress) outcome(ctx context.Context, err error) mimosatide.CallFailure {
	switch {
	case err == nil:
		return mimosatide.CallSucceeded
	case watch.silent.Load():
		return mimosatide.CallSilent
	case ctx.Err() != nil:
		return mimosatide.CallCancelled
	default:
		return mimosatide.CallCut
	}
}

// readStream hands on the events of a stream, in order and each once. The
// stream is whole only when its last event came.
func (target *Client) readStream(
	ctx context.Context, response *protocol.Response, onEvent func(mimosatide.Event) error,
) mimosatide.Answer {
	answer := mimosatide.Answer{Status: response.StatusCode(), ContentType: string(response.Header.ContentType())}
	reader, err := sse.NewReader(response)
	if err != nil {
		forceClose(response)
		answer.Failure, answer.Detail = mimosatide.CallCut, err.Error()
		return answer
	}
	reader.SetMaxBufferSize(maxEventSize)
	watched, watch, stop := watchProgress(ctx, target.settings.ProgressLimit)
	defer stop()
	whole := false
	err = reader.ForEach(watched, func(event *sse.Event) error {
		watch.moved()
		last := bytes.Equal(event.Data, doneData)
		whole = whole || last
		index, _ := strconv.Atoi(event.ID)
		return onEvent(mimosatide.Event{Index: index, Data: bytes.Clone(event.Data), Last: last})
	})
	if err == nil && !whole {
		err = errors.New("the stream ended before its last event")
	}
	answer.Failure = watch.outcome(ctx, err)
	if err != nil {
		answer.Detail = err.Error()
		forceClose(response)
		return answer
	}
	_ = reader.Close()
	return answer
}

// readBody reads an answer that isn't streamed to its end.
func (target *Client) readBody(ctx context.Context, response *protocol.Response) mimosatide.Answer {
	answer := mimosatide.Answer{Status: response.StatusCode(), ContentType: string(response.Header.ContentType())}
	if !response.IsBodyStream() {
		answer.Body = bytes.Clone(response.Body())
		return answer
	}
	watched, watch, stop := watchProgress(ctx, target.settings.ProgressLimit)
	defer stop()
	ended := context.AfterFunc(watched, func() { forceClose(response) })
	defer ended()
	body, err := io.ReadAll(io.LimitReader(&movingReader{reader: response.BodyStream(), watch: watch}, int64(target.settings.MaxAnswer)+1))
	if err == nil && len(body) > target.settings.MaxAnswer {
		err = errors.Errorf("the answer is larger than %d bytes", target.settings.MaxAnswer)
	}
	answer.Failure = watch.outcome(ctx, err)
	if err != nil {
		answer.Detail = err.Error()
		forceClose(response)
		return answer
	}
	answer.Body = body
	ended()
	_ = response.CloseBodyStream()
	return answer
}

// movingReader reports each read as progress.
type movingReader struct {
	reader io.Reader
	watch  *progress
}

// Read reads from the answer.
func (moving *movingReader) Read(buffer []byte) (int, error) {
	count, err := moving.reader.Read(buffer)
	if count > 0 {
		moving.watch.moved()
	}
	return count, err
}
