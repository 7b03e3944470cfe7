// Package exchange is an HTTP/1.1 client that sends a request to a target at most
// once and reports how far a failed request got.
//
// Connections are pooled, but a connection is only reused once the whole request
// was written, the whole answer was read and no other bytes have arrived. It is not used
// for one of the latest requests that it has carried: a late copy of the first answer could
// not be told from the second one. The client never retries; that is left to its caller.
//
// An answer with a status outside 100 to 599 is none. An answer without a length and chunks
// is whole only if the connection ended cleanly in both directions.
//
// # Usage
//
//	client := exchange.New(&net.Dialer{})
//	call := exchange.Call{Address: address, Method: http.MethodGet, Message: message}
//	reply, failure, err := client.Send(ctx, call)
//	if failure != mimosatide.CallSucceeded {
//		return errors.Trace(err)
//	}
//	_, err = io.Copy(writer, reply.Body())
//	reply.Close(err == nil)
package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/framing"
)

// The bounds of a connection.
const (
	dialTimeout = time.Second
	// refusalTimeout bounds the check whether a target refuses connections.
	refusalTimeout = 200 * time.Millisecond
	// defaultIdleTimeout applies to targets that send no Keep-Alive timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is subtracted from the target's Keep-Alive timeout, so that
	// the target does not close the connection while a request is being written.
	idleTimeoutMargin = time.Second
	maxIdlePerTarget  = 16
	readBufferBytes   = 4 << 10
	// maxHeadBytes bounds the head of an answer, with the informational ones before it.
	maxHeadBytes = 32 << 10
	// maxHeadLines bounds its lines and its fields: in memory a short field takes many times
	// its bytes.
	maxHeadLines = 256
	// maxDiscardBytes and discardTimeout bound the body that Discard reads, so that the
	// connection can be reused.
	maxDiscardBytes = 4 << 10
	discardTimeout  = 10 * time.Millisecond
	// maxSkippedBytes and skipTimeout bound the body of a late answer that Skip reads. It was
	// written whole: what is missing will not come, and the bytes of the next answer would
	// be taken for it.
	maxSkippedBytes = 64 << 10
	skipTimeout     = 100 * time.Millisecond
	// maxInlineWriteBytes is the largest message that is written before the answer is
	// read: it can't block, even if the target does not read.
	maxInlineWriteBytes = 2 << 10
)

// Call is a request to one target.
type Call struct {
	// Address is the target's host and port.
	Address string
	// Method decides whether the answer has a body.
	Method string
	// Request is the ID by which the target's answers name the request. A connection that has
	// recently carried a request with this ID is not used.
	Request string
	// Message is the HTTP request; Body, if it is not empty, is written after it.
	Message []byte
	Body    []byte
	// LimitReuse restricts pooled connections to those idle for less than half of
	// their idle timeout. It is meant for requests that can't be retried after the
	// target has closed the connection.
	LimitReuse bool
	// NewConnection forbids a pooled connection. It is meant for a request that was sent to
	// the address before, however many other requests the connection has carried since.
	NewConnection bool
	// Permitted is called once a connection is open, directly before the message is
	// written. If it returns false, nothing is sent; nil always permits.
	Permitted func() bool
}

// ErrNotPermitted is the error of a call that was not sent because Permitted returned false.
var ErrNotPermitted = errors.New("the target may not be sent requests any more")

// Client sends requests over a pool of connections. It is safe for concurrent use.
type Client struct {
	dialer *net.Dialer
	lock   sync.Mutex
	idle   map[string][]*connection
	// opened is the number of connections opened so far.
	opened atomic.Uint64
}

type connection struct {
	net.Conn
	reader      *bufio.Reader
	idleSince   time.Time
	idleTimeout time.Duration
	// number identifies the connection in logs, calls counts the calls that it has carried.
	number uint64
	calls  int
	// carried are the requests of the latest calls.
	carried recentRequests
	// headLimit is what may still be read for the head of an answer; nil while no head is read.
	headLimit *headLimit
	// upload is the writing of the latest call's message.
	upload *upload
}

// upload is the writing of a message.
type upload struct {
	// ended is closed when the writing has ended, with the error err.
	ended chan struct{}
	err   error
}

// New returns a client with an empty pool.
func New(dialer *net.Dialer) *Client {
	return &Client{dialer: dialer, idle: map[string][]*connection{}}
}

// Reply is the answer to a call. The caller has to call Close or Abort.
type Reply struct {
	Response *http.Response
	// Connection identifies the connection among those of the client.
	Connection uint64
	// EarlierCalls is how many calls the connection has carried before this one. If there are
	// any, an answer that does not name its request may be a late one to one of them.
	EarlierCalls int

	client     *Client
	address    string
	connection *connection
	// stopWatch stops closing the connection when the call's context ends; false if
	// the context has ended already.
	stopWatch func() bool
	finished  bool
}

// Send writes a message and reads the status line and header of its answer. A
// failed call returns no reply but how far the call got: CallNotSent, CallCut, or
// CallCancelled if the context ended while the answer was awaited.
func (client *Client) Send(ctx context.Context, call Call) (*Reply, mimosatide.CallFailure, error) {
	acquired, err := client.acquire(ctx, call)
	if err != nil {
		return nil, mimosatide.CallNotSent, errors.Trace(err)
	}
	if call.Permitted != nil && !call.Permitted() {
		_ = acquired.Close()
		return nil, mimosatide.CallNotSent, errors.Trace(ErrNotPermitted)
	}
	earlierCalls := acquired.calls
	acquired.calls++
	acquired.carried.add(call.Request)
	stop := context.AfterFunc(ctx, func() { _ = acquired.Close() })
	failure, err := acquired.send(call.Message, call.Body)
	if failure != mimosatide.CallSucceeded {
		stop()
		_ = acquired.Close()
		return nil, failure, errors.Trace(err)
	}
	response, err := acquired.readHead(call.Method)
	if err != nil {
		stop()
		_ = acquired.Close()
		if ctx.Err() != nil {
			return nil, mimosatide.CallCancelled, errors.Trace(ctx.Err())
		}
		return nil, mimosatide.CallCut, errors.Annotate(err, "answer")
	}
	return &Reply{
		Response:     response,
		Connection:   acquired.number,
		EarlierCalls: earlierCalls,
		client:       client,
		address:      call.Address,
		connection:   acquired,
		stopWatch:    stop,
	}, mimosatide.CallSucceeded, nil
}

// send writes the message. A long message is written concurrently with reading the
// answer, because a target may answer before it has read the whole message. Its body is not
// copied, because it may be large.
func (open *connection) send(message, body []byte) (mimosatide.CallFailure, error) {
	started := &upload{ended: make(chan struct{})}
	open.upload = started
	if len(message)+len(body) > maxInlineWriteBytes {
		go func() {
			defer close(started.ended)
			_, started.err = (&net.Buffers{message, body}).WriteTo(open.Conn)
		}()
		return mimosatide.CallSucceeded, nil
	}
	count, err := open.Write(append(message, body...))
	started.err = err
	close(started.ended)
	if err == nil {
		return mimosatide.CallSucceeded, nil
	}
	if count == 0 {
		return mimosatide.CallNotSent, errors.Trace(err)
	}
	return mimosatide.CallCut, errors.Trace(err)
}

// endOfInput returns the error with which the input ends that the target has ended: io.EOF
// only if the target has all of the message. The end of an answer without a length is its
// only framing, and the write of the message may have taken the error of a reset.
func (open *connection) endOfInput() error {
	// The writing ends at once: a target that has left may never end it.
	if err := open.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return errors.Trace(err)
	}
	<-open.upload.ended
	return framing.EndOfInput(open.Conn, open.upload.err)
}

// acquire returns a reusable connection from the pool, or a new one.
func (client *Client) acquire(ctx context.Context, call Call) (*connection, error) {
	for !call.NewConnection {
		pooled := client.popIdle(call.Address, call.Request)
		if pooled == nil {
			break
		}
		if pooled.isFresh(call.LimitReuse) && pooled.noPendingInput() {
			return pooled, nil
		}
		_ = pooled.Close()
	}
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialled, err := client.dialer.DialContext(bounded, "tcp", call.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	opened := &connection{Conn: dialled, number: client.opened.Add(1)}
	opened.reader = bufio.NewReaderSize(opened, readBufferBytes)
	return opened, nil
}

// isFresh reports whether the target keeps the idle connection open; with limitReuse, whether it has
// been idle for less than half of that time.
func (open *connection) isFresh(limitReuse bool) bool {
	age := time.Since(open.idleSince)
	if limitReuse {
		age *= 2
	}
	return age < open.idleTimeout
}

// HasIdle reports whether a call to the address would probably get a pooled connection, under the restriction of
// Call.LimitReuse.
func (client *Client) HasIdle(address string, limitReuse bool) bool {
	client.lock.Lock()
	defer client.lock.Unlock()
	list := client.idle[address]
	return len(list) > 0 && list[len(list)-1].isFresh(limitReuse)
}

// popIdle takes the most recently used connection to an address from the pool that has not
// carried the request, nil if there is none.
func (client *Client) popIdle(address, request string) *connection {
	client.lock.Lock()
	defer client.lock.Unlock()
	list := client.idle[address]
	for index := len(list) - 1; index >= 0; index-- {
		if pooled := list[index]; !pooled.carried.has(request) {
			client.idle[address] = slices.Delete(list, index, index+1)
			return pooled
		}
	}
	return nil
}

// CloseExpired closes the pooled connections whose idle timeout has passed, and those that
// can't be used again because bytes or their end have arrived.
func (client *Client) CloseExpired() {
	client.lock.Lock()
	defer client.lock.Unlock()
	for address, list := range client.idle {
		remaining := list[:0]
		for _, pooled := range list {
			if time.Since(pooled.idleSince) < pooled.idleTimeout && pooled.noPendingInput() {
				remaining = append(remaining, pooled)
				continue
			}
			_ = pooled.Close()
		}
		client.idle[address] = remaining
		if len(remaining) == 0 {
			delete(client.idle, address)
		}
	}
}

// noPendingInput reports whether nothing has arrived on an idle connection: neither
// its end nor bytes that belong to no request.
func (open *connection) noPendingInput() bool {
	if open.reader.Buffered() > 0 {
		return false
	}
	source, ok := open.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		// The socket is non-blocking: EAGAIN means that there is nothing to read.
		_, readErr := unix.Read(int(descriptor), one[:])
		empty = readErr == unix.EAGAIN
		return true
	})
	return err == nil && empty
}

// Refuses reports whether nothing accepts connections at a target's address, because its
// process has ended. A target that does not respond is not known to have ended.
func (client *Client) Refuses(ctx context.Context, address string) bool {
	bounded, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	dialled, err := client.dialer.DialContext(bounded, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = dialled.Close()
	return false
}

// AnswersEarlier reports whether the answer, which names the given request, is a late one to
// an earlier call of the connection.
func (reply *Reply) AnswersEarlier(request string) bool {
	return reply.EarlierCalls > 0 && reply.connection.carried.has(request)
}

// Skip reads a late answer to its end and replaces it by the next one on the connection. An
// answer that is long, that stops short or that ends with the connection is an error. After an error the caller
// still has to call Close or Abort.
func (reply *Reply) Skip() error {
	if reply.Response.Close || reply.Response.ContentLength > maxSkippedBytes {
		return errors.New("a late answer can't be skipped")
	}
	if err := reply.connection.SetReadDeadline(time.Now().Add(skipTimeout)); err != nil {
		return errors.Trace(err)
	}
	count, err := io.Copy(io.Discard, io.LimitReader(reply.Response.Body, maxSkippedBytes+1))
	if err != nil {
		return errors.Annotate(err, "late answer")
	}
	if count > maxSkippedBytes {
		return errors.New("a late answer is too long")
	}
	if err := reply.connection.SetReadDeadline(time.Time{}); err != nil {
		return errors.Trace(err)
	}
	response, err := reply.connection.readHead(reply.Response.Request.Method)
	if err != nil {
		return errors.Annotate(err, "answer after a late one")
	}
	reply.Response = response
	return nil
}

// Body returns the answer's body. It ends with io.EOF only if it is whole: a body without a
// length and chunks is so only if its target had the whole message and ended the connection
// cleanly.
func (reply *Reply) Body() io.Reader {
	return reply.Response.Body
}

// Close releases the connection; whole says whether the caller has read the whole
// body. The connection returns to the pool only if it did, the whole message was
// written and no further bytes have arrived. Only the first call has an effect.
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
	timeout := idleTimeout(reply.Response.Header)
	if timeout <= 0 {
		_ = reply.connection.Close()
		return
	}
	reply.connection.idleSince = time.Now()
	reply.connection.idleTimeout = timeout
	reply.client.lock.Lock()
	defer reply.client.lock.Unlock()
	list := reply.client.idle[reply.address]
	if len(list) >= maxIdlePerTarget {
		_ = reply.connection.Close()
		return
	}
	reply.client.idle[reply.address] = append(list, reply.connection)
}

// Abort closes the connection, which cancels the request at the target.
func (reply *Reply) Abort() {
	reply.Close(false)
}

// Discard releases the connection of an answer whose body isn't needed. The connection
// returns to the pool only if the body is short and arrives at once.
func (reply *Reply) Discard() {
	length := reply.Response.ContentLength
	if length < 0 || length > maxDiscardBytes {
		reply.Close(false)
		return
	}
	err := reply.connection.SetReadDeadline(time.Now().Add(discardTimeout))
	if err == nil {
		_, err = io.Copy(io.Discard, reply.Response.Body)
	}
	if err == nil {
		err = reply.connection.SetReadDeadline(time.Time{})
	}
	reply.Close(err == nil)
}

func (reply *Reply) fullyWritten() bool {
	written := reply.connection.upload
	select {
	case <-written.ended:
		return written.err == nil
	default:
		return false
	}
}

// idleTimeout returns how long a connection may stay in the pool, from the target's
// Keep-Alive header; not positive if it must not be pooled.
func idleTimeout(header http.Header) time.Duration {
	for _, item := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}
