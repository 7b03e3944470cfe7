package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// The timeouts and limits of peer connections.
const (
	// DefaultPingInterval is the usual value of Settings.PingInterval.
	DefaultPingInterval = time.Second
	// handshakeTimeout bounds a dial including its handshake. On the accepting side it
	// bounds the wait for the request header and then the handshake.
	handshakeTimeout = time.Second
	redialDelay      = 200 * time.Millisecond
	// DefaultQueueLength is the number of messages queued per peer if Settings.QueueLength is zero.
	DefaultQueueLength = 4096
	// bulkTimeout bounds the write of a bulk message and the wait for a pong behind it: a
	// message of maxMessageBytes takes seconds on a slow link.
	bulkTimeout = 5 * time.Second
	// maxMessageBytes bounds a received message, in bytes; a larger one ends the connection.
	maxMessageBytes = 4 << 20
	peerPath        = "/peer"
	// idleTimeout is the time without a message after which the receiving side closes a
	// connection, and after which a sender without a connection is removed.
	idleTimeout = time.Minute
	// unusedFactor times the bound of a write is the time without a message after which the
	// sending side closes a connection: a peer that is sent messages regularly gets several a
	// second, and each open connection costs both sides a ping a second.
	unusedFactor = 3
)

// Codec encodes and decodes the messages of a hub. It must be safe for concurrent use.
type Codec interface {
	Encode(message any) ([]byte, error)
	Decode(data []byte) (any, error)
}

// BulkCodec is a Codec that tells apart bulk messages, which may be large. The hub sends
// them over connections of their own, so that the other messages don't wait for them. Bulk
// messages keep their order among themselves.
type BulkCodec interface {
	Codec
	Bulk(message any) bool
}

// FleetCodec is the Codec of the messages that Encode and Decode of this package know.
type FleetCodec struct{}

// Encode calls the package's Encode.
func (FleetCodec) Encode(message any) ([]byte, error) { return Encode(message) }

// Decode calls the package's Decode.
func (FleetCodec) Decode(data []byte) (any, error) { return Decode(data) }

// Settings are the parameters of a Hub.
type Settings struct {
	// Codec defaults to FleetCodec.
	Codec Codec
	// Self is the address at which peers reach this node, as HOST:PORT.
	Self string
	// Listen is the address that the hub binds, as HOST:PORT.
	Listen string
	// Secret is the key with which nodes authenticate each other. All nodes need the
	// same one; an empty secret lets any process connect.
	Secret []byte
	// PingInterval is the interval between pings on a connection. It also bounds the wait
	// for a pong and for the write of a message that isn't bulk. It must be positive.
	PingInterval time.Duration
	// QueueLength bounds the messages queued per peer; a full queue drops its oldest
	// message. Zero or less means DefaultQueueLength.
	QueueLength int
}

// Hub sends to and receives from the peers of one node. It is safe for concurrent use.
type Hub struct {
	settings  Settings
	log       logr.Logger
	onReceive func(from string, message any)
	listener  net.Listener
	server    *http.Server

	lock    sync.Mutex
	senders map[destination]*sender
	// ctx is the context of Run; nil before Run is called.
	ctx context.Context

	dropped   atomic.Uint64
	sent      atomic.Uint64
	sentBytes atomic.Uint64
	failed    atomic.Uint64
	received  atomic.Uint64
	open      atomic.Int64
}

// Counts are numbers of messages since a hub was made.
type Counts struct {
	// Sent are the messages that the hub tried to write, SentBytes their bytes, and Failed
	// those of them whose write failed.
	Sent      uint64
	SentBytes uint64
	Failed    uint64
	// Received are the messages that the hub received and decoded.
	Received uint64
	// Dropped are the messages that full queues dropped.
	Dropped uint64
	// Open is the number of connections that are now open for sending.
	Open int64
}

// destination is a peer address and whether its bulk messages are meant, or the others.
type destination struct {
	address string
	bulk    bool
}

// sender holds the messages for one destination until they are written to a connection.
type sender struct {
	to    destination
	queue chan []byte
}

// New binds the peer port exclusively and returns a hub that Run must start. It returns an
// error if the port is in use. The hub calls onReceive with the address that the
// peer stated; calls for different connections run concurrently.
func New(settings Settings, log logr.Logger, onReceive func(from string, message any)) (*Hub, error) {
	if settings.Codec == nil {
		settings.Codec = FleetCodec{}
	}
	if settings.QueueLength <= 0 {
		settings.QueueLength = DefaultQueueLength
	}
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "listen on peer port")
	}
	hub := &Hub{
		settings:  settings,
		log:       log,
		onReceive: onReceive,
		listener:  listener,
		senders:   map[destination]*sender{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc(peerPath, hub.accept)
	hub.server = &http.Server{Handler: mux, ReadHeaderTimeout: handshakeTimeout}
	return hub, nil
}

// Run accepts connections and sends queued messages until the context ends.
// Connections accepted before that stay open and may still call onReceive after Run returns.
func (hub *Hub) Run(ctx context.Context) {
	hub.lock.Lock()
	hub.ctx = ctx
	hub.lock.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = hub.server.Close() })
	defer stop()
	if err := hub.server.Serve(hub.listener); err != nil && ctx.Err() == nil {
		hub.log.Error(err, "peer port stopped serving")
	}
}

// Counts returns the numbers of messages so far.
func (hub *Hub) Counts() Counts {
	return Counts{
		Sent: hub.sent.Load(), SentBytes: hub.sentBytes.Load(), Failed: hub.failed.Load(),
		Received: hub.received.Load(), Dropped: hub.dropped.Load(), Open: hub.open.Load(),
	}
}

// Send queues a message for a peer without blocking. A full queue drops its oldest
// message; before Run is called, messages are discarded.
func (hub *Hub) Send(to string, message any) {
	hub.SendAll([]string{to}, message)
}

// SendAll encodes a message once and queues it for several peers, as Send does.
func (hub *Hub) SendAll(to []string, message any) {
	if len(to) == 0 {
		return
	}
	data, err := hub.settings.Codec.Encode(message)
	if err != nil {
		hub.log.Error(err, "peer message not encoded")
		return
	}
	codec, ok := hub.settings.Codec.(BulkCodec)
	bulk := ok && codec.Bulk(message)
	for _, address := range to {
		hub.enqueue(destination{address: address, bulk: bulk}, data)
	}
}

// enqueue adds an encoded message to the queue of its destination and starts a sender if
// there is none.
func (hub *Hub) enqueue(to destination, data []byte) {
	hub.lock.Lock()
	peer, found := hub.senders[to]
	if !found && hub.ctx != nil && hub.ctx.Err() == nil {
		peer = &sender{to: to, queue: make(chan []byte, hub.settings.QueueLength)}
		hub.senders[to] = peer
		go hub.runSender(hub.ctx, peer)
	}
	hub.lock.Unlock()
	if peer == nil {
		return
	}
	for !peer.tryEnqueue(data) {
		// Newer messages supersede older ones, so the oldest one is dropped.
		select {
		case <-peer.queue:
			hub.dropped.Add(1)
		default:
		}
	}
}

// tryEnqueue adds a message; it returns false if the queue is full.
func (sender *sender) tryEnqueue(data []byte) bool {
	select {
	case sender.queue <- data:
		return true
	default:
		return false
	}
}

// runSender sends the messages for one destination and dials again after a connection fails. It
// returns when the context ends, or after idleTimeout without a connection and a message.
func (hub *Hub) runSender(ctx context.Context, peer *sender) {
	for ctx.Err() == nil {
		first, idle := hub.nextMessage(ctx, peer)
		if idle && hub.removeIdle(peer) {
			return
		}
		if first == nil {
			continue
		}
		if err := hub.dialAndSend(ctx, peer, first); err != nil && ctx.Err() == nil {
			hub.log.V(1).Info("peer connection failed", "peer", peer.to.address, "bulk", peer.to.bulk, "reason", err.Error())
			sleep(ctx, redialDelay)
		}
	}
}

// nextMessage waits for a message; it returns true if none came within idleTimeout.
func (hub *Hub) nextMessage(ctx context.Context, peer *sender) ([]byte, bool) {
	select {
	case message := <-peer.queue:
		return message, false
	case <-time.After(idleTimeout):
		return nil, true
	case <-ctx.Done():
		return nil, false
	}
}

// removeIdle removes a sender unless a message has been queued meanwhile.
func (hub *Hub) removeIdle(peer *sender) bool {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	if len(peer.queue) > 0 {
		return false
	}
	delete(hub.senders, peer.to)
	return true
}

// dialAndSend dials the peer and writes messages until the connection fails or is no longer
// used. A message whose write fails is lost, also the first one if the dial fails.
func (hub *Hub) dialAndSend(ctx context.Context, peer *sender, first []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connection, err := hub.dial(ctx, peer.to.address)
	if err != nil {
		return errors.Trace(err)
	}
	hub.open.Add(1)
	defer hub.open.Add(-1)
	defer func() { _ = connection.CloseNow() }()
	// The peer sends no messages on this connection, but pongs and the close frame must be read.
	ctx = connection.CloseRead(ctx)
	limit := hub.settings.PingInterval
	if peer.to.bulk {
		limit = bulkTimeout
	}
	go hub.pingUntilDone(ctx, cancel, connection, limit)
	if err := hub.write(ctx, connection, first, limit); err != nil {
		return errors.Trace(err)
	}
	unused := time.NewTimer(unusedFactor * limit)
	defer unused.Stop()
	for {
		select {
		case message := <-peer.queue:
			if err := hub.write(ctx, connection, message, limit); err != nil {
				return errors.Trace(err)
			}
			unused.Reset(unusedFactor * limit)
		case <-unused.C:
			return nil
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

func (hub *Hub) dial(ctx context.Context, to string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	connection, _, err := websocket.Dial(ctx, "ws://"+to+peerPath, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := authenticateListener(ctx, connection, hub.settings.Secret, hub.settings.Self); err != nil {
		_ = connection.CloseNow()
		return nil, errors.Trace(err)
	}
	return connection, nil
}

// pingUntilDone pings the peer until the context ends; it cancels the context when a pong
// does not arrive within limit.
func (hub *Hub) pingUntilDone(
	ctx context.Context, cancel context.CancelFunc, connection *websocket.Conn, limit time.Duration,
) {
	ticker := time.NewTicker(hub.settings.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		pingCtx, stop := context.WithTimeout(ctx, limit)
		err := connection.Ping(pingCtx)
		stop()
		if err != nil {
			cancel()
			return
		}
	}
}

func (hub *Hub) write(ctx context.Context, connection *websocket.Conn, data []byte, limit time.Duration) error {
	writeCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	hub.sent.Add(1)
	hub.sentBytes.Add(uint64(len(data)))
	err := connection.Write(writeCtx, websocket.MessageBinary, data)
	if err != nil {
		hub.failed.Add(1)
	}
	return errors.Trace(err)
}

// accept authenticates a peer that dialled and receives its messages until the connection ends.
func (hub *Hub) accept(writer http.ResponseWriter, request *http.Request) {
	connection, err := websocket.Accept(writer, request, nil)
	if err != nil {
		return
	}
	defer func() { _ = connection.CloseNow() }()
	connection.SetReadLimit(maxMessageBytes)
	ctx := request.Context()
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	from, err := authenticateDialer(handshakeCtx, connection, hub.settings.Secret)
	cancel()
	if err != nil {
		hub.log.Info("peer connection refused", "reason", err.Error())
		return
	}
	for {
		// A live peer sends far more often than this.
		readCtx, cancel := context.WithTimeout(ctx, idleTimeout)
		_, data, err := connection.Read(readCtx)
		cancel()
		if err != nil {
			return
		}
		message, err := hub.settings.Codec.Decode(data)
		if err != nil {
			hub.log.Info("peer message discarded", "peer", from, "reason", err.Error())
			continue
		}
		hub.received.Add(1)
		hub.onReceive(from, message)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
