// Package hertzconn has the checks of package framing for the client and the server of hertz. That client takes
// any error for the end of a body without a length, and the status 000 for 200. The server drops all but one of
// several statements about the end of a body.
//
// # Usage
//
//	client.NewClient(client.WithDialer(hertzconn.NewDialer()))
//	...
//	err := httpClient.Do(ctx, request, response)
//	if err == nil {
//		err = hertzconn.CheckEnd(response)
//	}
//
//	httpServer.Use(hertzconn.NewGuard(refuse))
package hertzconn

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/framing"
)

// Dialer dials connections of type Conn.
type Dialer struct {
	network.Dialer
}

// NewDialer returns a dialer.
func NewDialer() Dialer {
	return Dialer{Dialer: standard.NewDialer()}
}

// DialConnection dials a connection.
func (dialer Dialer) DialConnection(
	kind, address string, timeout time.Duration, config *tls.Config,
) (network.Conn, error) {
	return dialer.Dial(kind, address, timeout, config)
}

// Dial dials a connection.
func (dialer Dialer) Dial(kind, address string, timeout time.Duration, config *tls.Config) (*Conn, error) {
	dialled, err := dialer.Dialer.DialConnection(kind, address, timeout, config)
	if err != nil {
		return nil, err
	}
	conn, ok := dialled.(*standard.Conn)
	if !ok {
		_ = dialled.Close()
		return nil, errors.Errorf("connection of type %T", dialled)
	}
	socket, err := socketOf(conn)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	return &Conn{Conn: conn, socket: socket}, nil
}

// errNoSocket is the error of a connection whose socket can't be queried.
var errNoSocket = errors.New("the connection does not give its socket")

// socketOf returns the TCP connection that a connection of the library keeps to itself. The
// connection passes readers on to the ReadFrom of its TCP connection, which passes an
// io.WriterTo a writer that has all methods of the TCP connection but ReadFrom.
func socketOf(conn *standard.Conn) (net.Conn, error) {
	var taken socketTaker
	if _, err := conn.ReadFrom(&taken); err != nil {
		return nil, errors.Trace(err)
	}
	if _, ok := taken.socket.(syscall.Conn); !ok {
		return nil, errors.Trace(errNoSocket)
	}
	return taken.socket, nil
}

// socketTaker is an empty reader that keeps the connection to which it is written.
type socketTaker struct {
	socket net.Conn
}

// Read returns the end of the input.
func (*socketTaker) Read([]byte) (int, error) {
	return 0, io.EOF
}

// WriteTo writes nothing.
func (taken *socketTaker) WriteTo(writer io.Writer) (int64, error) {
	taken.socket, _ = writer.(net.Conn)
	return 0, nil
}

// Conn is a connection that checks the status of each answer and remembers how its input and
// its output ended. The client uses a connection for one request at a time.
type Conn struct {
	*standard.Conn
	// socket tells how much of the output has been acknowledged.
	socket net.Conn
	// statusDue says that a status has to come next, and interim that the last one was
	// informational, so that another follows its head.
	statusDue bool
	interim   bool
	// headDue says that the head of an answer has not been checked to its end.
	headDue bool
	// readErr and writeErr are the errors of the first read and write that failed. At the end of
	// the input, readErr is io.EOF only if the other side has acknowledged the whole output.
	readErr  error
	writeErr error
}

// endpoint is the address of a connection's other side. An answer of the library names its
// connection only by this address.
type endpoint struct {
	net.Addr
	conn *Conn
}

// RemoteAddr returns the address of the other side.
func (conn *Conn) RemoteAddr() net.Addr {
	return endpoint{Addr: conn.Conn.RemoteAddr(), conn: conn}
}

// Flush writes a request.
func (conn *Conn) Flush() error {
	conn.statusDue, conn.interim, conn.headDue = true, false, true
	err := conn.Conn.Flush()
	if err != nil && conn.writeErr == nil {
		conn.writeErr = err
	}
	return err
}

// Peek returns the next size bytes. It fails at a status that is none.
func (conn *Conn) Peek(size int) ([]byte, error) {
	next, err := conn.Conn.Peek(size)
	if err != nil {
		conn.remember(err)
		return next, err
	}
	if conn.statusDue {
		if err := conn.checkStatus(); err != nil {
			return nil, err
		}
	}
	if conn.headDue && !conn.statusDue {
		if err := conn.checkHead(); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// Read reads what comes next.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if err != nil {
		conn.remember(err)
	}
	return count, err
}

func (conn *Conn) remember(err error) {
	if conn.readErr != nil {
		return
	}
	if err == io.EOF {
		err = framing.EndOfInput(conn.socket, conn.writeErr)
	}
	conn.readErr = err
}

// checkStatus checks what has arrived of a status line.
func (conn *Conn) checkStatus() error {
	begin, err := conn.Conn.Peek(conn.Len())
	if err != nil {
		return err
	}
	// The library passes over empty lines before a status line.
	status, err := framing.CheckStatusLine(bytes.TrimLeft(begin, "\r\n"))
	if err != nil {
		return err
	}
	conn.statusDue = status == 0
	conn.interim = status != 0 && status < http.StatusOK
	return nil
}

// checkHead checks the head of an answer once it has arrived whole; that of an informational one has no body.
func (conn *Conn) checkHead() error {
	begin, err := conn.Conn.Peek(conn.Len())
	if err != nil {
		return err
	}
	var scan framing.HeaderScan
	scan.Add(begin)
	if !scan.Ended {
		return nil
	}
	conn.headDue = false
	if conn.interim {
		return nil
	}
	return scan.CheckAnswer()
}

// Skip consumes the next size bytes.
func (conn *Conn) Skip(size int) error {
	if conn.interim {
		// The library consumes a head at once.
		conn.statusDue, conn.interim, conn.headDue = true, false, true
	}
	return conn.Conn.Skip(size)
}

// CheckEnd returns an error if the connection of an answer has ended, and the answer is not
// known to be whole: the connection broke, or it ended before the other side had acknowledged
// the whole request.
// It must be called before the body of a streamed answer is closed.
func CheckEnd(response *protocol.Response) error {
	source, ok := response.RemoteAddr().(endpoint)
	if !ok || !response.ConnectionClose() {
		// The end of such a connection ends no body, and another request may use it already.
		return nil
	}
	switch conn := source.conn; {
	case conn.readErr == nil:
		return nil
	case errors.Is(conn.readErr, framing.ErrUnfinished):
		return conn.readErr
	case conn.writeErr != nil:
		return errors.Annotate(framing.ErrUnfinished, conn.writeErr.Error())
	case conn.readErr != io.EOF:
		return errors.Annotate(framing.ErrUnfinished, conn.readErr.Error())
	default:
		return nil
	}
}
