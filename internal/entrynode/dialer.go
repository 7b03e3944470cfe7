package entrynode

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mimosatide.example/mimosatide/internal/ingress"
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
	// lateOrderTime is how long after its connection was closed an order may arrive, with slack.
	lateOrderTime = userTimeout + 200*time.Millisecond
	// callerUserTimeout is the same of callers, where it also ends a connection whose other end
	// reads nothing. 3 s cut callers that read slowly but steadily: over loopback, a reader of 10 KB
	// a second opens its window every 13 s. The server for callers decides first.
	callerUserTimeout = ingress.WriteTimeout + 2*time.Second
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
			return setUserTimeout(raw, userTimeout)
		},
	}
}

// newListenConfig returns the same settings for accepted connections, with a TCP user timeout of
// their own.
func newListenConfig(timeout time.Duration) net.ListenConfig {
	return net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, timeout)
		},
	}
}

// setUserTimeout sets the TCP user timeout of a socket.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
