// Package httpbody reads the bodies of callers' requests.
package httpbody

import (
	"io"
	"net/http"
	"time"
)

// ReadUntil reads body, the body of the request that w answers, to its end. If it does not end
// before the deadline, the error is os.ErrDeadlineExceeded: a caller that stops in the middle of
// a body would hold the request and its memory. A zero deadline means no limit.
func ReadUntil(w http.ResponseWriter, body io.Reader, deadline time.Time) ([]byte, error) {
	control := http.NewResponseController(w)
	hasDeadline := !deadline.IsZero() && control.SetReadDeadline(deadline) == nil
	data, err := io.ReadAll(body)
	if hasDeadline && err == nil {
		// Some writers do not support deadlines. One that accepted the first accepts this one
		// too.
		_ = control.SetReadDeadline(time.Time{})
	}
	return data, err
}
