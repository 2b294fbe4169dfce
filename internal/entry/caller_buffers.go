package entry

import (
	"context"
	"net"
	"syscall"
)

// callerSendBuffer is the size of the kernel's send buffer of a caller's connection where slow
// callers are bounded; the kernel doubles it for its own data. It holds what a link of 200 Mbit/s
// carries in 2.5 ms, about the longest delay between failure domains. By default, the buffer grows
// to some MB, which count as memory of the machine but not of the process.
const callerSendBuffer = 64 << 10

// listenForCallers listens for callers. Accepted connections inherit the size of the send buffer.
func (p *Process) listenForCallers() (net.Listener, error) {
	if !p.node.overload.SlowCallers() {
		return net.Listen("tcp", p.settings.CallerListen)
	}
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, callerSendBuffer)
		})
		if err == nil {
			err = optionErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", p.settings.CallerListen)
}
