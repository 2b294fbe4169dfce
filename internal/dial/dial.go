// Package dial makes TCP connections that detect an unresponsive peer, and report a reset to each reader. A host that lost power
// or is behind a network partition sends no reset; without keep-alive probes a request on an
// open connection to it waits until the deadline of the request.
package dial

import (
	"context"
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
	// IdleTimeout closes a connection on which sent data, or a probe, has not been acknowledged for
	// this time. The loss of an idle connection costs only a new one.
	IdleTimeout = 1200 * time.Millisecond
	// BusyTimeout is the same while a request is under way, whose loss cannot be made good if it must
	// not be repeated. A sound server may be silent for one and a half seconds; the kernel sends data
	// again 0.2, 0.6, 1.4 and 3.0 s after the first time.
	BusyTimeout = 3300 * time.Millisecond
)

// Dialer opens connections on which each read after a reset fails.
type Dialer struct{ dialer net.Dialer }

// New returns a dialer whose connections are established within timeout and closed soon
// after the peer becomes unresponsive.
func New(timeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setTimeout(c, IdleTimeout) },
	}}
}

// NewPlain returns a dialer whose connections are established within timeout.
func NewPlain(timeout time.Duration) *Dialer { return &Dialer{net.Dialer{Timeout: timeout}} }

// DialContext opens a connection, which is a Conn if it is a TCP connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &conn{TCPConn: tcp}, nil
	}
	return c, nil
}

// SetBusy sets whether a request is under way on a connection, and with it for how long the peer may
// be silent. It does nothing to connections that are not sockets.
func SetBusy(c net.Conn, busy bool) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	if busy {
		return setTimeout(raw, BusyTimeout)
	}
	return setTimeout(raw, IdleTimeout)
}

// setTimeout sets TCP_USER_TIMEOUT, which also decides when keep-alive probes give up.
func setTimeout(c syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

var errNotSocket = errors.New("not a socket")

// Peek returns the number of bytes, at most one, that have arrived on a connection and were not read yet. It
// is 0 without an error at the end of the connection, and the error is syscall.EAGAIN if nothing has arrived.
// Peek may be called while another goroutine reads.
func Peek(c net.Conn) (n int, err error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNotSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	// Control, unlike Read, does not wait for other readers.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return max(n, 0), peekErr
}
