// Package dial makes connections that notice a silent other side. A machine
// without power or behind a partition sends no reset: without probes a request
// on an open connection to it waits until its own deadline.
package dial

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Keep-alive probes notice a silent connection on which nothing is sent
	// after 400 + 3*300 ms: under half of the two seconds after which callers
	// abandon a silent stream, and inside the time in which an accepted
	// configuration must be in force.
	probeIdle     = 400 * time.Millisecond
	probeInterval = 300 * time.Millisecond
	probeCount    = 3
	// unackedTimeout closes a connection whose bytes are not acknowledged.
	unackedTimeout = 1200 * time.Millisecond
)

// Dialer returns a dialer whose connections are made within timeout and are
// closed soon after the other side falls silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: setUnackedTimeout,
	}
}

func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, set)
}
