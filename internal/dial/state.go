package dial

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connState is what the kernel knows of a connection.
type connState struct {
	// broken is set if the connection has failed. One that the peer has properly ended is not: it still waits for its end
	// by this process.
	broken bool
	// unacknowledged is the number of bytes written that the peer has not acknowledged.
	unacknowledged int
}

// tcpClose is the kernel's state TCP_CLOSE, that of a socket without a connection.
const tcpClose = 7

// stateOf returns the state of a connection, as far as the kernel tells. The error is net.ErrClosed if this process has
// closed the connection.
func stateOf(c syscall.Conn) (s connState, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return s, err
	}
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			s.broken = info.State == tcpClose
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			s.unacknowledged = n
		}
	})
	return s, err
}

// deliveryInterval is the time between two looks at what the peer has acknowledged.
const deliveryInterval = 2 * time.Millisecond

// AwaitDelivery waits until the peer has acknowledged all that was written to a connection. It returns an error if the
// connection fails, or the peer does not do so within timeout.
func AwaitDelivery(c net.Conn, timeout time.Duration) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	for deadline := time.Now().Add(timeout); ; time.Sleep(deliveryInterval) {
		state, err := stateOf(socket)
		switch {
		case err != nil:
			return err
		case state.broken:
			return syscall.ECONNRESET
		case state.unacknowledged == 0:
			return nil
		case time.Now().After(deadline):
			return io.ErrUnexpectedEOF
		}
	}
}
