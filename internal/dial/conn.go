package dial

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// Conn is a TCP connection of a Dialer.
type Conn interface {
	net.Conn
	// CloseWrite ends what is sent on the connection.
	CloseWrite() error
	// SetEndCheck sets a function that is called when the peer has properly ended the connection. Its error, if any, takes
	// the place of io.EOF.
	SetEndCheck(check func() error)
}

// conn is a connection on which each read after a reset fails. The kernel reports a reset once: if a write gets the
// error, a read that follows ends like one after the proper end of the connection.
type conn struct {
	*net.TCPConn
	// writeClosed is set once CloseWrite was called: the proper end of the connection then closes the socket, too.
	writeClosed atomic.Bool
	endCheck    atomic.Pointer[func() error]
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
	state, err := stateOf(c)
	switch {
	case err != nil:
		return err
	case state.broken && !c.writeClosed.Load():
		return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	if check := c.endCheck.Load(); check != nil {
		if err := (*check)(); err != nil {
			return err
		}
	}
	return io.EOF
}

// WriteTo implements io.WriterTo with Read.
func (c *conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// CloseWrite implements Conn.
func (c *conn) CloseWrite() error {
	c.writeClosed.Store(true)
	return c.TCPConn.CloseWrite()
}

// SetEndCheck implements Conn.
func (c *conn) SetEndCheck(check func() error) { c.endCheck.Store(&check) }
