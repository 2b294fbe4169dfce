// Package neterr classifies network errors by what they imply for the request.
package neterr

import (
	"errors"
	"net"
)

// NotSent reports whether err is a failure to establish the connection, so that no byte of the
// request has reached the server.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
