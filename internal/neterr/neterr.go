// Package neterr classifies network errors by what they imply for the request or the process.
package neterr

import (
	"errors"
	"net"
	"syscall"
)

// NotSent reports whether err is a failure to establish the connection, so that no byte of the
// request has reached the server.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// IsDescriptorLimit reports whether err means that the process or the machine has no descriptors left.
func IsDescriptorLimit(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
