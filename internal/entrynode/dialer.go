package entrynode

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = time.Second
	// A connection whose other end is gone is closed after keepAliveIdle without
	// traffic and keepAliveCount unanswered probes, keepAliveInterval apart.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is how long sent bytes may stay without acknowledgement (TCP_USER_TIMEOUT).
	userTimeout = 3 * time.Second
)

// newDialer returns a dialer whose connections fail soon after the other end stops responding.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw)
		},
	}
}

// newListenConfig returns the same settings for accepted connections.
func newListenConfig() net.ListenConfig {
	return net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw)
		},
	}
}

// setUserTimeout sets the TCP user timeout of a socket.
func setUserTimeout(raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
