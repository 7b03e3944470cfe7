package soak_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// flow is what a proxy does with the bytes of one direction.
type flow struct {
	blocked bool
	delay   time.Duration
}

// proxy leads connections to one address and disturbs them.
type proxy struct {
	listener net.Listener
	to       string

	lock  sync.Mutex
	flows [2]flow
	open  map[net.Conn]bool
	// touched is when the proxy last disturbed anything.
	touched time.Time
}

// The directions through a proxy.
const (
	there = 0
	back  = 1
)

// blockedPoll is how often a blocked direction looks whether it is free again.
const blockedPoll = 10 * time.Millisecond

func newProxy(t *testing.T, listen, to string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	created := &proxy{listener: listener, to: to, open: map[net.Conn]bool{}}
	go created.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		created.reset()
	})
	return created
}

func (proxy *proxy) address() string {
	return proxy.listener.Addr().String()
}

func (proxy *proxy) accept() {
	for {
		caller, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", proxy.to)
		if err != nil {
			_ = caller.Close()
			continue
		}
		proxy.lock.Lock()
		proxy.open[caller], proxy.open[target] = true, true
		proxy.lock.Unlock()
		go proxy.pass(caller, target, there)
		go proxy.pass(target, caller, back)
	}
}

// pass copies one direction; a blocked one holds its bytes until it is free again.
func (proxy *proxy) pass(from, to net.Conn, direction int) {
	defer proxy.end(from, to)
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		now := proxy.flow(direction)
		for now.blocked && proxy.isOpen(from) {
			time.Sleep(blockedPoll)
			now = proxy.flow(direction)
		}
		if now.delay > 0 {
			time.Sleep(now.delay)
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (proxy *proxy) flow(direction int) flow {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	return proxy.flows[direction]
}

func (proxy *proxy) isOpen(connection net.Conn) bool {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	return proxy.open[connection]
}

func (proxy *proxy) end(connections ...net.Conn) {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	for _, connection := range connections {
		delete(proxy.open, connection)
		_ = connection.Close()
	}
}

// set disturbs both directions, or lets them pass again.
func (proxy *proxy) set(there, back flow) {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	proxy.flows = [2]flow{there, back}
	proxy.touched = time.Now()
}

// reset resets all open connections.
func (proxy *proxy) reset() {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	proxy.touched = time.Now()
	for connection := range proxy.open {
		if tcp, ok := connection.(*net.TCPConn); ok {
			// Without lingering the close is a reset.
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
		delete(proxy.open, connection)
	}
}
