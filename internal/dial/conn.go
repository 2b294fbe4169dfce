package dial

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// conn is a connection on which each read after a reset fails. The kernel reports a reset once: if a write gets the
// error, a read that follows ends like one after the proper end of the connection.
type conn struct {
	*net.TCPConn
	// writeClosed is set once CloseWrite was called: the proper end of the connection then closes the socket, too.
	writeClosed atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF {
		err = c.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF after the proper end of the connection.
func (c *conn) checkEnd() error {
	broken, err := c.isBroken()
	switch {
	case err != nil:
		return err
	case broken && !c.writeClosed.Load():
		return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return io.EOF
}

// WriteTo implements io.WriterTo with Read.
func (c *conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// tcpClose is the kernel's state TCP_CLOSE, that of a socket without a connection.
const tcpClose = 7

// isBroken reports whether the connection has failed. One that the peer has properly ended still waits for its end by
// this process. The error is net.ErrClosed if that has come already, so that the state cannot be known.
func (c *conn) isBroken() (broken bool, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false, err
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		broken = err == nil && info.State == tcpClose
	})
	return broken, err
}

// CloseWrite ends what is sent on the connection.
func (c *conn) CloseWrite() error {
	c.writeClosed.Store(true)
	return c.TCPConn.CloseWrite()
}
