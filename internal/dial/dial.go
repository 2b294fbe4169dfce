// Package dial makes TCP connections that detect an unresponsive peer. A host that lost power
// or is behind a network partition sends no reset; without keep-alive probes a request on an
// open connection to it waits until the deadline of the request.
package dial

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Keep-alive probes close an idle connection 400 + 3*300 ms after the peer became
	// unresponsive. That is less than the two seconds after which callers abandon a stalled
	// stream, and less than the time in which an accepted configuration must be active.
	probeIdle     = 400 * time.Millisecond
	probeInterval = 300 * time.Millisecond
	probeCount    = 3
	// UnackedTimeout closes a connection on which sent data has not been acknowledged for this
	// time. Probes do not cover this case: they are sent on idle connections only.
	UnackedTimeout = 1200 * time.Millisecond
)

// Dialer returns a dialer whose connections are established within timeout and closed soon
// after the peer becomes unresponsive.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: setUnackedTimeout,
	}
}

// setUnackedTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}
