package target

import (
	"crypto/tls"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/framing/hertzconn"
)

// maxHeadBytes bounds the head of an answer, and its trailers.
const maxHeadBytes = 16 << 10

var (
	errHeadTooLarge = errors.Errorf("the head of the answer is larger than %d bytes", maxHeadBytes)
	errBodyTooLarge = errors.New("the answer is too large")
)

// boundedDialer dials connections that bound what the HTTP library holds of an answer. It
// reads heads, trailers, and bodies without a length completely, and has no bounds for them.
type boundedDialer struct {
	hertzconn.Dialer
	maxAnswer int
}

// DialConnection dials a connection.
func (dialer boundedDialer) DialConnection(
	kind, address string, timeout time.Duration, config *tls.Config,
) (network.Conn, error) {
	dialled, err := dialer.Dial(kind, address, timeout, config)
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: dialled, maxAnswer: dialer.maxAnswer}, nil
}

// boundedConn is a connection that holds at most maxHeadBytes that nobody has consumed, and
// at most maxAnswer consumed ones whose memory was not released.
type boundedConn struct {
	*hertzconn.Conn
	maxAnswer int
	// consumed is what was consumed since the memory was last released, in bytes.
	consumed int
}

// Peek returns the next size bytes.
func (conn *boundedConn) Peek(size int) ([]byte, error) {
	if size > conn.Len() {
		if conn.Len() >= maxHeadBytes {
			return nil, errors.Trace(errHeadTooLarge)
		}
		if conn.consumed > conn.maxAnswer+maxHeadBytes {
			return nil, errors.Trace(errBodyTooLarge)
		}
	}
	return conn.Conn.Peek(size)
}

// Skip consumes the next size bytes.
func (conn *boundedConn) Skip(size int) error {
	conn.consumed += size
	return conn.Conn.Skip(size)
}

// Release releases the memory of what was consumed.
func (conn *boundedConn) Release() error {
	conn.consumed = 0
	return conn.Conn.Release()
}
