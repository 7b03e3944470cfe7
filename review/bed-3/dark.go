package main

import (
	"net"
	"sync"
)

// darkness is the state of one incarnation of a replica whose machine can fall silent.
type darkness struct {
	lock sync.Mutex
	dark bool
	// over is closed when the incarnation is over and its channels are reset.
	over  chan struct{}
	conns []*net.TCPConn
}

// darkListener accepts the channels of one incarnation.
type darkListener struct {
	net.Listener
	state *darkness
}

// Accept returns the next channel.
func (listener darkListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := accepted.(*net.TCPConn); ok {
		listener.state.lock.Lock()
		listener.state.conns = append(listener.state.conns, tcp)
		listener.state.lock.Unlock()
	}
	return darkConn{Conn: accepted, state: listener.state}, nil
}

// darkConn is a channel on which nothing is read, written or ended while the machine is silent.
type darkConn struct {
	net.Conn
	state *darkness
}

// fall lets the machine fall silent.
func (state *darkness) fall() {
	state.lock.Lock()
	defer state.lock.Unlock()
	state.dark = true
}

// end resets all channels, as a machine does that has started again.
func (state *darkness) end() {
	state.lock.Lock()
	defer state.lock.Unlock()
	close(state.over)
	for _, conn := range state.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// holds blocks while the machine is silent, and reports whether it was.
func (state *darkness) holds() bool {
	state.lock.Lock()
	dark := state.dark
	state.lock.Unlock()
	if dark {
		<-state.over
	}
	return dark
}

// Read reads unless the machine is silent.
func (conn darkConn) Read(into []byte) (int, error) {
	count, err := conn.Conn.Read(into)
	if conn.state.holds() {
		return 0, net.ErrClosed
	}
	return count, err
}

// Write writes unless the machine is silent.
func (conn darkConn) Write(data []byte) (int, error) {
	if conn.state.holds() {
		return 0, net.ErrClosed
	}
	return conn.Conn.Write(data)
}

// Close closes the channel unless the machine is silent: then it is reset later.
func (conn darkConn) Close() error {
	if conn.state.holds() {
		return nil
	}
	return conn.Conn.Close()
}
