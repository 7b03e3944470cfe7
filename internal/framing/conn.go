package framing

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
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
	// writing is held during a write.
	writing sync.Mutex
	// failure is the error of the first write that failed, ended says that the input has ended.
	failure error
	ended   bool
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

// Write writes to the connection. After the end of the input it fails: nothing would answer.
func (conn *Conn) Write(data []byte) (int, error) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	if conn.ended {
		return 0, errors.Trace(net.ErrClosed)
	}
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
	conn.ended = true
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

// hookTimeout bounds the wait for the report that a request has been written. The write has
// ended then, or has never begun, so that the bound only covers a process that gets no CPU.
const hookTimeout = 100 * time.Millisecond

// Upload tells whether a request has been written. It is safe for concurrent use.
type Upload struct {
	lock sync.Mutex
	// ended is closed when the latest attempt has been written, or not, by written.
	ended   chan struct{}
	written bool
}

// Trace returns a context for one request by an http.Client and the Upload that follows it.
func Trace(ctx context.Context) (context.Context, *Upload) {
	upload := &Upload{ended: make(chan struct{})}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { upload.begin() },
		WroteRequest: func(info httptrace.WroteRequestInfo) { upload.end(info.Err == nil) },
	}), upload
}

// begin begins an attempt; the client may make several.
func (upload *Upload) begin() {
	upload.lock.Lock()
	defer upload.lock.Unlock()
	upload.ended, upload.written = make(chan struct{}), false
}

func (upload *Upload) end(written bool) {
	upload.lock.Lock()
	defer upload.lock.Unlock()
	upload.written = written
	select {
	case <-upload.ended:
	default:
		close(upload.ended)
	}
}

// CheckBody checks a response whose body has been read completely over a Conn: without a length
// and chunks it is whole only if the request had been written before.
func (upload *Upload) CheckBody(response *http.Response) error {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return nil
	}
	upload.lock.Lock()
	ended := upload.ended
	upload.lock.Unlock()
	timer := time.NewTimer(hookTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
	upload.lock.Lock()
	defer upload.lock.Unlock()
	if !upload.written {
		return errors.Trace(ErrUnfinished)
	}
	return nil
}
