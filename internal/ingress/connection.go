package ingress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"mimosatide.example/mimosatide/internal/intake"
)

const (
	// lingerTime and lingerBytes bound what is read after a header was refused: a caller that
	// still sends would get a reset connection in place of the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// writePiece is the largest part of a response that is written at once: what the kernel has accepted
	// counts as progress where it does not tell what the caller has acknowledged.
	writePiece = 32 << 10
	// chunksPiece is the largest part of a body in chunks that is read at once, as large as the buffer of net/http: all
	// but its first line is kept unread.
	chunksPiece = 4 << 10
)

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// errHeaderRefused ends the reading of a header that has been refused.
var errHeaderRefused = errors.New("the header has been refused")

// connection is an open connection. Its stage decides which of two steps that exclude each other
// comes first: a request begins on it, or it is closed. So no request is handled whose answer
// can't be sent.
type connection struct {
	net.Conn
	*Member
	server *Server
	// header, hold, unread and body belong to the goroutine that reads the requests.
	header headerScan
	hold   *intake.Hold
	// unread is what has arrived and was not passed to the server, which gets no byte of a request before the
	// one in front of it has ended: only the connection sees the whole header as it was sent.
	unread []byte
	body   bodyEnd
	// acknowledged is the number of bytes that the caller had acknowledged when the sweep last
	// looked during a write.
	acknowledged uint64
	// overdue says that the sweep has ended the connection.
	overdue bool
}

// Read reads from the connection, and not beyond the end of a header or a body. It scans what belongs to a header, and
// refuses one that is too large.
func (connection *connection) Read(into []byte) (int, error) {
	read, err := connection.next(into)
	if len(read) == 0 {
		return 0, err
	}
	switch connection.Stage() {
	case StageNew, StageIdle:
		if !connection.Enter(StageHeader, connection.server.now(), StageNew, StageIdle) {
			return 0, readError(net.ErrClosed)
		}
	case StageHeader:
	default:
		return connection.pass(into, read, connection.body.cut(read)), nil
	}
	if connection.header.Ended {
		// The request has no body: the server waits for the end of the connection.
		return connection.pass(into, read, 1), nil
	}
	count := connection.pass(into, read, connection.header.Add(read))
	if limit := connection.server.settings.Limits().MaxHeader; connection.header.Bytes > limit+headerSlack {
		return 0, connection.refuseHeader(CauseHeaderLarge, http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
	}
	if !connection.hold.Grow(connection.header.memory()) {
		return 0, connection.refuseHeader(CauseHeaderMemory, http.StatusServiceUnavailable, "the memory for requests is used up")
	}
	return count, nil
}

// next returns what comes next, at most as much as into holds: from what was left unread, or from the network.
func (connection *connection) next(into []byte) ([]byte, error) {
	if len(connection.unread) > 0 {
		return connection.unread[:min(len(connection.unread), len(into))], nil
	}
	if connection.body.chunked {
		into = into[:min(len(into), chunksPiece)]
	}
	count, err := connection.Conn.Read(into)
	if count > 0 {
		// An error comes again with the next call.
		err = nil
	}
	return into[:max(count, 0)], err
}

// pass passes the first count bytes of read to the server and keeps the rest.
func (connection *connection) pass(into, read []byte, count int) int {
	if len(connection.unread) > 0 {
		copy(into, read[:count])
		connection.unread = connection.unread[count:]
	} else if count < len(read) {
		connection.unread = bytes.Clone(read[count:])
	}
	if len(connection.unread) == 0 {
		connection.unread = nil
	}
	return count
}

// refuseHeader answers a request that is refused for its header. It returns the error of a connection on which no
// answer is expected any more.
func (connection *connection) refuseHeader(cause Cause, status int, detail string) error {
	if !connection.Enter(StageClosed, connection.server.now(), StageHeader) {
		return readError(net.ErrClosed)
	}
	connection.server.count(cause, connection.source.address)
	text := string(cause) + ": " + detail + "\n"
	answer := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: " +
		strconv.Itoa(len(text)) + "\r\n\r\n" + text
	if connection.Conn.SetDeadline(time.Now().Add(lingerTime)) != nil {
		return readError(errHeaderRefused)
	}
	if _, err := io.WriteString(connection.Conn, answer); err == nil && connection.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, connection.Conn, lingerBytes)
	}
	return readError(errHeaderRefused)
}

// readError returns an error after which net/http closes the connection without an answer.
func readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// Write writes to the connection. The sweep closes it if its caller accepts nothing for too long.
func (connection *connection) Write(data []byte) (int, error) {
	defer connection.EndWrite()
	total := 0
	for {
		connection.BeginWrite(connection.server.now())
		count, err := connection.Conn.Write(data[total:min(len(data), total+writePiece)])
		total += count
		if err != nil || total >= len(data) {
			return total, err
		}
	}
}

// CloseWrite closes the direction towards the caller.
func (connection *connection) CloseWrite() error {
	if half, ok := connection.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// begin reports whether a request may be handled: the connection has not been closed.
func (connection *connection) begin() bool {
	return connection.Enter(StageRunning, connection.server.now(), StageHeader, StageIdle, StageNew)
}

// rest begins the time between two requests.
func (connection *connection) rest() {
	connection.header, connection.body = headerScan{}, bodyEnd{}
	connection.hold.Release()
	connection.Enter(StageIdle, connection.server.now(), StageRunning, StageBody)
}

// closeFrom closes the connection unless its stage has changed, and reports whether it did.
func (connection *connection) closeFrom(stage Stage) bool {
	if !connection.Enter(StageClosed, connection.server.now(), stage) {
		return false
	}
	// The server's goroutine for the connection gets the error.
	_ = connection.Close()
	return true
}

// reset closes the connection and drops what its caller has not accepted.
func (connection *connection) reset() {
	if tcp, ok := connection.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// noteAcknowledged records progress of a write if the caller has acknowledged bytes since the
// last call. The number of bytes that the kernel has accepted says less: it accepts more only
// when a third of its buffer has become free.
func (connection *connection) noteAcknowledged(now time.Duration) {
	source, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the connection is closed.
	_ = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Bytes_acked != connection.acknowledged {
			connection.acknowledged = info.Bytes_acked
			connection.noteWritten(now)
		}
	})
}

// noteWritten records progress of a write that is still in progress.
func (connection *connection) noteWritten(now time.Duration) {
	if began := connection.writing.Load(); began != 0 {
		connection.writing.CompareAndSwap(began, int64(now)+1)
	}
}

// stall ends the reading of a body, whose request is then refused. It reports whether the body
// was still being read.
func (connection *connection) stall() bool {
	if !connection.Enter(StageClosed, connection.server.now(), StageBody) {
		return false
	}
	// An error means that the connection is closed.
	_ = connection.Conn.SetReadDeadline(longAgo)
	return true
}

// body is the body of a request. Its connection is in StageBody while the handler waits for it.
type body struct {
	io.ReadCloser
	connection *connection
	// arrived is the number of bytes since the last progress.
	arrived int
	// marked is when the body last made progress; begun says that it has been read from.
	marked time.Duration
	begun  bool
}

// Read implements io.Reader. A body that stalls ends with os.ErrDeadlineExceeded.
func (body *body) Read(into []byte) (int, error) {
	connection := body.connection
	if !body.begun {
		body.begun, body.marked = true, connection.server.now()
	}
	if !connection.Enter(StageBody, body.marked, StageRunning) {
		return 0, os.ErrDeadlineExceeded
	}
	count, err := body.ReadCloser.Read(into)
	now := connection.server.now()
	body.arrived += count
	if body.arrived >= minProgress {
		body.arrived, body.marked = 0, now
	}
	if !connection.Enter(StageRunning, now, StageBody) {
		return 0, os.ErrDeadlineExceeded
	}
	return count, err
}
