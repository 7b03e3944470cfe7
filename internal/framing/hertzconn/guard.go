package hertzconn

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/framing"
)

// bodyReadKey is the key of a request context under which MarkBodyRead keeps its mark.
const bodyReadKey = "hertzconn.bodyRead"

// NewGuard returns a handler that has to be in front of all others of a server. It calls refuse for a request that
// leaves in doubt where its body ends, and closes the connection after that: the server takes one of several
// statements about the end, and the rest of the body for the next request. It also closes the connection after a
// request whose body comes as a stream and that no handler has read to its end, since the server does not close it
// after chunks that are malformed.
func NewGuard(refuse func(c *app.RequestContext, err error)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		length, err := checkRequest(c)
		if err != nil {
			c.SetConnectionClose()
			refuse(c, err)
			c.Abort()
			return
		}
		c.Next(ctx)
		if length != 0 && c.Request.IsBodyStream() && !c.GetBool(bodyReadKey) {
			c.SetConnectionClose()
		}
	}
}

// MarkBodyRead records that a handler has read the body of its request to the end, without an error.
func MarkBodyRead(c *app.RequestContext) {
	c.Set(bodyReadKey, true)
}

// checkRequest returns the length of a request's body, or an error if that is in doubt or differs from what the server
// has read.
func checkRequest(c *app.RequestContext) (int64, error) {
	header := &c.Request.Header
	length, err := framing.CheckRequest(header.GetProtocol(), header.RawHeaders())
	if err != nil {
		return 0, errors.Trace(err)
	}
	// The server gives a body in chunks the length of what it has read, and a request without one a negative length.
	if read := int64(max(header.ContentLength(), 0)); length != framing.ChunkedBody && read != length {
		return 0, errors.Annotate(framing.ErrAmbiguousBody, "the server has read another length")
	}
	return length, nil
}
