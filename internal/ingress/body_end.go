package ingress

import (
	"bytes"
	"net/http"
)

// bodyEnd says where the body of a request ends, as far as the server has to be kept from reading on. The zero value
// is that of a request without a body.
type bodyEnd struct {
	// left is what is left of a body with a length, in bytes.
	left int64
	// chunked says that the body comes in chunks.
	chunked bool
}

// newBodyEnd returns the end by which the server reads the body of a request.
func newBodyEnd(request *http.Request) bodyEnd {
	return bodyEnd{left: max(request.ContentLength, 0), chunked: request.ContentLength < 0}
}

// cut returns how much of the bytes that come next the server may get. Chunks end with a line feed, so that the server
// has none of the next request if it gets one line at a time; it reads on only if it needs more. Once the body has
// ended, a byte of the next request may tell the server that the connection is still open.
func (end *bodyEnd) cut(next []byte) int {
	switch {
	case end.chunked:
		if end := bytes.IndexByte(next, '\n'); end >= 0 {
			return end + 1
		}
		return len(next)
	case end.left > 0:
		count := min(end.left, int64(len(next)))
		end.left -= count
		return int(count)
	default:
		return min(1, len(next))
	}
}
