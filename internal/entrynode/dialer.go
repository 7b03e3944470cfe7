package entrynode

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The bounds after which a silent connection is given up.
const (
	dialTimeout = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount end a connection whose other end is gone.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedLimit is how long written bytes may stay without acknowledgement.
	unackedLimit = 3 * time.Second
)

// newDialer returns a dialer whose connections notice a silent other end.
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
			return limitUnacked(raw)
		},
	}
}

// newListenConfig returns the same for accepted connections.
func newListenConfig() net.ListenConfig {
	return net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return limitUnacked(raw)
		},
	}
}

func limitUnacked(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
