package httplisten

import (
	"context"
	"net"
	"syscall"
)

// Buffers are the sizes of the kernel's buffers of a connection, in bytes; 0 means the kernel's choice. The
// kernel doubles them for its own data.
type Buffers struct{ Send, Receive int }

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
	for _, buffer := range []struct{ option, size int }{{syscall.SO_SNDBUF, b.Send}, {syscall.SO_RCVBUF, b.Receive}} {
		if buffer.size == 0 {
			continue
		}
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, buffer.option, buffer.size); err != nil {
			return err
		}
	}
	return nil
}

const minReceiveBuffer = 8 << 10

// ReceiveBuffer returns the size of a connection's receive buffer with which all connections together hold at most
// the given number of unread bytes. 0 connections mean no limit.
func ReceiveBuffer(bytes, conns int) int {
	if conns == 0 {
		return 0
	}
	return min(max(bytes/conns, minReceiveBuffer), maxReceiveBuffer)
}

// maxReceiveBuffer is more than a link of 200 Mbit/s carries in 5 ms.
const maxReceiveBuffer = 256 << 10
