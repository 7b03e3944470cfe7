package main

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// retransmitAfter is the first retransmission time of TCP; it doubles with each further loss.
	retransmitAfter = 200 * time.Millisecond
	// gaveUp is how long TCP sends a segment again for a node, which sets that bound for its connections.
	gaveUp = 3 * time.Second
)

// link is the path of one node to one engine. While it is lossy, it loses packets.
type link struct {
	to     string
	lossy  *atomic.Bool
	loss   float64
	listen net.Listener
	lock   sync.Mutex
	random *rand.Rand
}

func newLink(listen, to string, lossy *atomic.Bool, loss float64, seed uint64) *link {
	listener, err := net.Listen("tcp", listen)
	check(err)
	created := &link{to: to, lossy: lossy, loss: loss, listen: listener, random: rand.New(rand.NewPCG(seed, 1))}
	go created.accept()
	return created
}

func (link *link) address() string {
	return link.listen.Addr().String()
}

// delay returns for how long the losses of one segment hold it up, and whether it arrives.
func (link *link) delay() (time.Duration, bool) {
	if !link.lossy.Load() {
		return 0, true
	}
	link.lock.Lock()
	defer link.lock.Unlock()
	held, next := time.Duration(0), retransmitAfter
	for link.random.Float64() < link.loss {
		held += next
		next *= 2
	}
	return held, held < gaveUp
}

func (link *link) accept() {
	for {
		from, err := link.listen.Accept()
		if err != nil {
			return
		}
		go link.forward(from)
	}
}

// forward forwards one connection. A lost opening packet comes again after a second, when no node waits for it any more.
func (link *link) forward(from net.Conn) {
	defer func() { _ = from.Close() }()
	if held, _ := link.delay(); held > 0 {
		_, _ = io.Copy(io.Discard, from)
		return
	}
	to, err := net.Dial("tcp", link.to)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	back := make(chan struct{})
	go func() {
		defer close(back)
		link.pump(from, to)
		_ = from.Close()
	}()
	// What the node has sent arrives although it closes the connection.
	link.pump(to, from)
	_ = to.(*net.TCPConn).CloseWrite()
	<-back
}

func (link *link) pump(to, from net.Conn) {
	segment := make([]byte, 1400)
	for {
		count, err := from.Read(segment)
		if count > 0 {
			held, arrives := link.delay()
			time.Sleep(held)
			if !arrives {
				return
			}
			if _, err := to.Write(segment[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// storeLink passes a node's calls on to the store. While it loses answers, a share of the writes is done and not
// answered, and the channel of such a call delivers nothing further.
type storeLink struct {
	to     string
	losing atomic.Bool
	share  float64
	lock   sync.Mutex
	random *rand.Rand
	lost   int
}

func (link *storeLink) lose(write bool) bool {
	link.lock.Lock()
	defer link.lock.Unlock()
	lost := write && link.losing.Load() && link.random.Float64() < link.share
	if lost {
		link.lost++
	}
	return lost
}

func (link *storeLink) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	lost := link.lose(request.Method == http.MethodPost)
	forwarded := request.Clone(request.Context())
	forwarded.URL.Scheme, forwarded.URL.Host, forwarded.RequestURI = "http", link.to, ""
	answer, err := http.DefaultTransport.RoundTrip(forwarded)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = answer.Body.Close() }()
	if lost {
		_, _ = io.Copy(io.Discard, answer.Body)
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(answer.StatusCode)
	_, _ = io.Copy(writer, answer.Body)
}
