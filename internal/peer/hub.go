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

// The times and bounds of peer links.
const (
	DefaultPingEvery = time.Second
	dialTimeout      = time.Second
	redialAfter      = 200 * time.Millisecond
	// DefaultQueue is how many messages wait for a link where the settings do not say.
	DefaultQueue = 4096
	maxMessage   = 4 << 20
	peerPath     = "/peer"
	// idleLink is after how long an unused link is closed.
	idleLink = time.Minute
)

// Codec makes bytes of messages and messages of bytes.
type Codec interface {
	Encode(message any) ([]byte, error)
	Decode(data []byte) (any, error)
}

// FleetCodec is the codec of the messages of package fleet and its users.
type FleetCodec struct{}

// Encode makes bytes of a message.
func (FleetCodec) Encode(message any) ([]byte, error) { return Encode(message) }

// Decode makes a message of bytes.
func (FleetCodec) Decode(data []byte) (any, error) { return Decode(data) }

// Settings are the parameters of a Hub.
type Settings struct {
	// Codec is FleetCodec where none is given.
	Codec Codec
	// Self is the address under which peers reach this node.
	Self   string
	Listen string
	Secret []byte
	// PingEvery is how often a link is checked, and how long the answer may take.
	PingEvery time.Duration
	// Queue is how many messages may wait for a link; beyond it the oldest ones are
	// dropped. Zero stands for DefaultQueue.
	Queue int
}

// Hub holds the links of one node.
type Hub struct {
	settings Settings
	log      logr.Logger
	onRecv   func(from string, message any)
	listener net.Listener
	server   *http.Server

	lock  sync.Mutex
	links map[string]*link
	ctx   context.Context

	dropped  atomic.Uint64
	sent     atomic.Uint64
	received atomic.Uint64
}

// link sends to one peer.
type link struct {
	to    string
	queue chan []byte
}

// New binds the peer port, exclusively, and returns a hub that has not started.
func New(settings Settings, log logr.Logger, onReceive func(from string, message any)) (*Hub, error) {
	if settings.Codec == nil {
		settings.Codec = FleetCodec{}
	}
	if settings.Queue <= 0 {
		settings.Queue = DefaultQueue
	}
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "peer port")
	}
	hub := &Hub{
		settings: settings,
		log:      log,
		onRecv:   onReceive,
		listener: listener,
		links:    map[string]*link{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc(peerPath, hub.accept)
	hub.server = &http.Server{Handler: mux, ReadHeaderTimeout: dialTimeout}
	return hub, nil
}

// Run serves links until the context ends.
func (hub *Hub) Run(ctx context.Context) {
	hub.lock.Lock()
	hub.ctx = ctx
	hub.lock.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = hub.server.Close() })
	defer stop()
	if err := hub.server.Serve(hub.listener); err != nil && ctx.Err() == nil {
		hub.log.Error(err, "peer port closed")
	}
}

// Counts returns the messages sent, received and dropped so far.
func (hub *Hub) Counts() (sent, received, dropped uint64) {
	return hub.sent.Load(), hub.received.Load(), hub.dropped.Load()
}

// Send queues a message for a peer; a full queue drops its oldest one.
func (hub *Hub) Send(to string, message any) {
	hub.SendAll([]string{to}, message)
}

// SendAll queues a message for several peers and encodes it once.
func (hub *Hub) SendAll(to []string, message any) {
	if len(to) == 0 {
		return
	}
	data, err := hub.settings.Codec.Encode(message)
	if err != nil {
		hub.log.Error(err, "peer message not sent")
		return
	}
	for _, address := range to {
		hub.queue(address, data)
	}
}

func (hub *Hub) queue(to string, data []byte) {
	hub.lock.Lock()
	known, found := hub.links[to]
	if !found && hub.ctx != nil && hub.ctx.Err() == nil {
		known = &link{to: to, queue: make(chan []byte, hub.settings.Queue)}
		hub.links[to] = known
		go hub.serveLink(hub.ctx, known)
	}
	hub.lock.Unlock()
	if known == nil {
		return
	}
	for !known.put(data) {
		// The newest news counts: what has waited longest makes way.
		select {
		case <-known.queue:
			hub.dropped.Add(1)
		default:
		}
	}
}

// put queues a message; it returns false if the queue is full.
func (link *link) put(data []byte) bool {
	select {
	case link.queue <- data:
		return true
	default:
		return false
	}
}

// serveLink keeps a connection to the peer while there is something to send.
func (hub *Hub) serveLink(ctx context.Context, peer *link) {
	for ctx.Err() == nil {
		first, idle := hub.nextMessage(ctx, peer)
		if idle && hub.forget(peer) {
			return
		}
		if first == nil {
			continue
		}
		if err := hub.sendAll(ctx, peer, first); err != nil && ctx.Err() == nil {
			hub.log.V(1).Info("peer link lost", "peer", peer.to, "reason", err.Error())
			sleep(ctx, redialAfter)
		}
	}
}

func (hub *Hub) nextMessage(ctx context.Context, peer *link) ([]byte, bool) {
	select {
	case message := <-peer.queue:
		return message, false
	case <-time.After(idleLink):
		return nil, true
	case <-ctx.Done():
		return nil, false
	}
}

// forget drops a link without work.
func (hub *Hub) forget(peer *link) bool {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	if len(peer.queue) > 0 {
		return false
	}
	delete(hub.links, peer.to)
	return true
}

// sendAll dials and sends until the connection fails or idles.
func (hub *Hub) sendAll(ctx context.Context, peer *link, first []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connection, err := hub.dial(ctx, peer.to)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = connection.CloseNow() }()
	// Reading answers the pings and notices the other end's close.
	ctx = connection.CloseRead(ctx)
	go hub.checkLink(ctx, cancel, connection)
	if err := hub.write(ctx, connection, first); err != nil {
		return errors.Trace(err)
	}
	for {
		select {
		case message := <-peer.queue:
			if err := hub.write(ctx, connection, message); err != nil {
				return errors.Trace(err)
			}
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

func (hub *Hub) dial(ctx context.Context, to string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, _, err := websocket.Dial(ctx, "ws://"+to+peerPath, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := introduce(ctx, connection, hub.settings.Secret, hub.settings.Self); err != nil {
		_ = connection.CloseNow()
		return nil, errors.Trace(err)
	}
	return connection, nil
}

// checkLink ends a connection that has gone silent.
func (hub *Hub) checkLink(ctx context.Context, cancel context.CancelFunc, connection *websocket.Conn) {
	ticker := time.NewTicker(hub.settings.PingEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		ping, stop := context.WithTimeout(ctx, hub.settings.PingEvery)
		err := connection.Ping(ping)
		stop()
		if err != nil {
			cancel()
			return
		}
	}
}

func (hub *Hub) write(ctx context.Context, connection *websocket.Conn, data []byte) error {
	bounded, cancel := context.WithTimeout(ctx, hub.settings.PingEvery)
	defer cancel()
	hub.sent.Add(1)
	return errors.Trace(connection.Write(bounded, websocket.MessageBinary, data))
}

// accept receives from a peer that dialled.
func (hub *Hub) accept(writer http.ResponseWriter, request *http.Request) {
	connection, err := websocket.Accept(writer, request, nil)
	if err != nil {
		return
	}
	defer func() { _ = connection.CloseNow() }()
	connection.SetReadLimit(maxMessage)
	ctx := request.Context()
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	from, err := admit(bounded, connection, hub.settings.Secret)
	cancel()
	if err != nil {
		hub.log.Info("peer refused", "reason", err.Error())
		return
	}
	for {
		// A peer that lives sends far more often than this.
		waiting, cancel := context.WithTimeout(ctx, idleLink)
		_, data, err := connection.Read(waiting)
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
		hub.onRecv(from, message)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
