// Package exchange sends one request over one connection to a target and reads
// its answer.
//
// Connections are kept and used again, but never while anything of an earlier
// exchange may still be on its way. A request is written exactly once; what
// became of it after a failure is told as precisely as it is known.
//
// # Usage
//
//	targets := exchange.New(dialer, log)
//	reply, failure, err := targets.Send(ctx, exchange.Call{Address: address, Message: bytes})
//	defer reply.Close()
//	io.Copy(writer, reply.Body)
package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"mimosatide.example/mimosatide"
)

// The bounds of a connection.
const (
	dialTimeout = time.Second
	// reachTimeout bounds the check whether a target has crashed.
	reachTimeout = 300 * time.Millisecond
	// defaultIdle is how long a connection is kept whose target names no timeout.
	defaultIdle = 3 * time.Second
	// idleMargin is how long before a target's timeout its connection is given up.
	idleMargin = time.Second
	// maxIdle is the number of connections kept for one target.
	maxIdle    = 16
	readBuffer = 4 << 10
	// inlineWrite is the message size below which writing can't block on a target that does not read.
	inlineWrite = 2 << 10
)

// Call is a message on its way to a target.
type Call struct {
	Address string
	Method  string
	Message []byte
	// Careful calls use a kept connection only if it was used a moment ago.
	Careful bool
}

// Exchange keeps the connections to targets.
type Exchange struct {
	dialer *net.Dialer
	lock   sync.Mutex
	idle   map[string][]*connection
}

type connection struct {
	net.Conn
	reader *bufio.Reader
	idleAt time.Time
	keep   time.Duration
}

// New returns an exchange without connections.
func New(dialer *net.Dialer) *Exchange {
	return &Exchange{dialer: dialer, idle: map[string][]*connection{}}
}

// Reply is the answer to a call.
type Reply struct {
	Response *http.Response

	exchange   *Exchange
	address    string
	connection *connection
	stopWatch  func() bool
	written    <-chan error
	finished   bool
}

// Send writes a message and reads the head of its answer. A failure says how
// far the message had come.
func (exchange *Exchange) Send(ctx context.Context, call Call) (*Reply, mimosatide.CallFailure, error) {
	used, err := exchange.take(ctx, call)
	if err != nil {
		return nil, mimosatide.CallNotSent, errors.Trace(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = used.Close() })
	written, failure, err := write(used, call.Message)
	if failure != mimosatide.CallSucceeded {
		stop()
		_ = used.Close()
		return nil, failure, errors.Trace(err)
	}
	response, err := readHead(used.reader, call.Method)
	if err != nil {
		stop()
		_ = used.Close()
		if ctx.Err() != nil {
			return nil, mimosatide.CallCancelled, errors.Trace(ctx.Err())
		}
		return nil, mimosatide.CallCut, errors.Annotate(err, "answer")
	}
	return &Reply{
		Response:   response,
		exchange:   exchange,
		address:    call.Address,
		connection: used,
		stopWatch:  stop,
		written:    written,
	}, mimosatide.CallSucceeded, nil
}

// write sends the message; a long one is written beside the reading of the
// answer, because a target may answer before it has read all of it.
func write(used *connection, message []byte) (<-chan error, mimosatide.CallFailure, error) {
	written := make(chan error, 1)
	if len(message) > inlineWrite {
		go func() {
			_, err := used.Write(message)
			written <- err
		}()
		return written, mimosatide.CallSucceeded, nil
	}
	count, err := used.Write(message)
	written <- err
	if err == nil {
		return written, mimosatide.CallSucceeded, nil
	}
	if count == 0 {
		return nil, mimosatide.CallNotSent, errors.Trace(err)
	}
	return nil, mimosatide.CallCut, errors.Trace(err)
}

func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Trace(err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// take returns a kept connection that is still sound, or a new one.
func (exchange *Exchange) take(ctx context.Context, call Call) (*connection, error) {
	for {
		kept := exchange.pop(call.Address)
		if kept == nil {
			break
		}
		age := time.Since(kept.idleAt)
		if call.Careful {
			age *= 2
		}
		if age < kept.keep && kept.quiet() {
			return kept, nil
		}
		_ = kept.Close()
	}
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialled, err := exchange.dialer.DialContext(bounded, "tcp", call.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &connection{Conn: dialled, reader: bufio.NewReaderSize(dialled, readBuffer)}, nil
}

func (exchange *Exchange) pop(address string) *connection {
	exchange.lock.Lock()
	defer exchange.lock.Unlock()
	list := exchange.idle[address]
	if len(list) == 0 {
		return nil
	}
	kept := list[len(list)-1]
	exchange.idle[address] = list[:len(list)-1]
	return kept
}

// Sweep closes the connections that have been idle for too long.
func (exchange *Exchange) Sweep() {
	exchange.lock.Lock()
	defer exchange.lock.Unlock()
	for address, list := range exchange.idle {
		sound := list[:0]
		for _, kept := range list {
			if time.Since(kept.idleAt) < kept.keep {
				sound = append(sound, kept)
				continue
			}
			_ = kept.Close()
		}
		exchange.idle[address] = sound
		if len(sound) == 0 {
			delete(exchange.idle, address)
		}
	}
}

// quiet says whether nothing has arrived on an idle connection: neither its end
// nor bytes that belong to no request.
func (used *connection) quiet() bool {
	if used.reader.Buffered() > 0 {
		return false
	}
	source, ok := used.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, readErr := unix.Read(int(descriptor), one[:])
		quiet = readErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Reachable says whether a target accepts connections.
func (exchange *Exchange) Reachable(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	dialled, err := exchange.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = dialled.Close()
	return true
}

// Body returns the answer's body.
func (reply *Reply) Body() io.Reader {
	return reply.Response.Body
}

// Close ends the exchange. The connection is kept if the whole answer was read,
// the whole message was written and nothing else can arrive on it.
func (reply *Reply) Close(whole bool) {
	if reply.finished {
		return
	}
	reply.finished = true
	alive := reply.stopWatch()
	if !whole || !alive || reply.Response.Close || !reply.fullyWritten() || reply.connection.reader.Buffered() > 0 {
		_ = reply.connection.Close()
		return
	}
	keep := keepTime(reply.Response.Header)
	if keep <= 0 {
		_ = reply.connection.Close()
		return
	}
	reply.connection.idleAt = time.Now()
	reply.connection.keep = keep
	reply.exchange.lock.Lock()
	defer reply.exchange.lock.Unlock()
	list := reply.exchange.idle[reply.address]
	if len(list) >= maxIdle {
		_ = reply.connection.Close()
		return
	}
	reply.exchange.idle[reply.address] = append(list, reply.connection)
}

// Abort ends the exchange and its connection.
func (reply *Reply) Abort() {
	reply.Close(false)
}

func (reply *Reply) fullyWritten() bool {
	select {
	case err := <-reply.written:
		return err == nil
	default:
		return false
	}
}

// keepTime reads how long the target keeps an idle connection.
func keepTime(header http.Header) time.Duration {
	for _, item := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
