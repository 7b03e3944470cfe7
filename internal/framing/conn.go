package framing

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// ErrUnfinished is the error of an answer whose connection ended before the other side had the
// whole request.
var ErrUnfinished = errors.New("the connection ended before the request had arrived")

// Acknowledged reports whether the other side of a TCP connection has acknowledged all that
// was written. It is true if the system can't tell.
func Acknowledged(connection net.Conn) bool {
	source, ok := connection.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	waiting := 0
	err = raw.Control(func(descriptor uintptr) {
		count, err := unix.IoctlGetInt(int(descriptor), unix.TIOCOUTQ)
		if err == nil {
			waiting = count
		}
	})
	return err != nil || waiting == 0
}

// Conn is a connection whose input ends with io.EOF only if no write has failed, none is in
// progress and all that was written is acknowledged; otherwise it ends with ErrUnfinished.
type Conn struct {
	net.Conn
	// writing is held during a write, failure is the error of the first that failed.
	writing sync.Mutex
	failure error
}

// Dial returns a dial function whose connections are of type Conn.
func Dial(
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dialled, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: dialled}, nil
	}
}

// Write writes to the connection.
func (conn *Conn) Write(data []byte) (int, error) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	count, err := conn.Conn.Write(data)
	if err != nil && conn.failure == nil {
		conn.failure = err
	}
	return count, err
}

// Read reads from the connection.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if err == io.EOF {
		err = conn.checkEnd()
	}
	return count, err
}

// checkEnd returns the error with which the input ends.
func (conn *Conn) checkEnd() error {
	if !conn.writing.TryLock() {
		// The write ends at once: what the other side has left may never end it.
		if err := conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
			return errors.Trace(err)
		}
		conn.writing.Lock()
	}
	defer conn.writing.Unlock()
	return EndOfInput(conn.Conn, conn.failure)
}

// EndOfInput returns the error with which the input of a connection ends that the other side
// has ended; failure is the error of writing the request, nil if it was written completely.
func EndOfInput(connection net.Conn, failure error) error {
	if failure != nil {
		return errors.Annotate(ErrUnfinished, failure.Error())
	}
	if !Acknowledged(connection) {
		return errors.Trace(ErrUnfinished)
	}
	return io.EOF
}

// Upload tells whether a request has been written. It is safe for concurrent use.
type Upload struct {
	written atomic.Bool
}

// Trace returns a context for one request by an http.Client and the Upload that follows it.
func Trace(ctx context.Context) (context.Context, *Upload) {
	upload := &Upload{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { upload.written.Store(info.Err == nil) },
	}), upload
}

// CheckResponse checks the status of a response whose body has been read completely over a
// Conn, and that a body without a length and chunks came after the whole request.
func (upload *Upload) CheckResponse(response *http.Response) error {
	if !CheckStatus(response.StatusCode) || response.StatusCode < http.StatusOK {
		return errors.Annotatef(ErrStatus, "%.16q", response.Status)
	}
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || upload.written.Load() {
		return nil
	}
	return errors.Trace(ErrUnfinished)
}
