package httplisten

import (
	"context"
	"net"
	"syscall"
)

// Buffers are the sizes of the kernel's buffers of a connection, in bytes; 0 means the kernel's choice. The
// kernel doubles them for its own data.
type Buffers struct{ Send int }

// Listen listens on a TCP address. Accepted connections inherit the sizes of the buffers.
func Listen(address string, b Buffers) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) { optionErr = b.set(int(fd)) })
		if err == nil {
			err = optionErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", address)
}

func (b Buffers) set(fd int) error {
	if b.Send == 0 {
		return nil
	}
	return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, b.Send)
}
