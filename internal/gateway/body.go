package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/platform"
)

const (
	// dropTime and dropSlack bound what is read of a body after its request was refused: for
	// dropTime, dropSlack bytes more than the largest body has.
	dropTime  = 2 * time.Second
	dropSlack = 64 << 10
	// minDropped is read of a body whose limit is not known, because there is no configuration yet.
	minDropped = 4 << 20
	// noMemoryRetryAfter is the Retry-After of a request whose body found no memory.
	noMemoryRetryAfter = 500 * time.Millisecond
)

// readBody reads the request's body, until the request's deadline.
func (handler *requestHandler) readBody(memory platform.BodyMemory) mimosatide.Refusal {
	if !handler.bodyPending {
		return mimosatide.Refusal{}
	}
	// Once the body has been read, the server lifts the deadline.
	_ = http.NewResponseController(handler.writer).SetReadDeadline(handler.deadline)
	body, err := platform.ReadCallerBody(handler.incoming, handler.bodyLimit, memory)
	switch {
	case err == nil:
		handler.bodyPending = false
		handler.request.Body = body
		return mimosatide.Refusal{}
	case errors.Is(err, platform.ErrBodyTooLarge):
		return mimosatide.Refuse(mimosatide.ReasonTooLarge, err.Error())
	case errors.Is(err, platform.ErrNoMemory):
		return mimosatide.Refuse(mimosatide.ReasonNoMemory, err.Error()).WithRetryAfter(noMemoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(handler.deadline):
		return mimosatide.Refuse(mimosatide.ReasonBodyStalled, "the body stopped arriving")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return mimosatide.Refuse(mimosatide.ReasonWaitExpired, "the body did not arrive in time").WithRetryAfter(noCapacityRetryAfter)
	default:
		return mimosatide.Refuse(mimosatide.ReasonMalformed, err.Error())
	}
}

// dropBody sends the refusal and reads a bounded part of the body. A caller that sends its whole
// body before it reads the refusal would otherwise get a reset connection instead.
func (handler *requestHandler) dropBody() {
	controller := http.NewResponseController(handler.writer)
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(dropTime)) != nil {
		return
	}
	// After an error or the last byte the connection is closed.
	_, _ = io.CopyN(io.Discard, handler.incoming.Body, max(handler.bodyLimit, minDropped)+dropSlack)
	_ = controller.SetReadDeadline(time.Now())
}
