// Package neterr tells what a failed connection says about the request.
package neterr

import (
	"errors"
	"net"
)

// NotSent reports whether the connection was never made, so that no byte of the
// request can have reached the other side.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
