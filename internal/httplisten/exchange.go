package httplisten

import (
	"io"
	"net/http"
	"os"
	"time"
)

// exchange is a request with a body, and the writer of its answer. If the handler answers before it has read the
// body, the exchange reads the rest, so that the client gets the answer, or makes the connection end after it: what
// follows may be part of the body. The HTTP server would read on before it sends the answer, without a time limit.
type exchange struct {
	http.ResponseWriter
	conn    *conn
	request *http.Request
	body    io.ReadCloser
	// read is set once the handler has read from the body, ended at its end, and failed after an error.
	read, ended, failed bool
	// answered is set once the head of the answer has been written.
	answered bool
}

func newExchange(c *conn, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{ResponseWriter: w, conn: c, body: r.Body}
	// The server looks at the type of its own request's body.
	request := *r
	request.Body = (*exchangeBody)(x)
	x.request = &request
	return x
}

// exchangeBody is the body that the handler reads.
type exchangeBody exchange

// Read implements io.Reader.
func (b *exchangeBody) Read(p []byte) (int, error) {
	b.read = true
	b.conn.beginBodyRead()
	n, err := b.body.Read(p)
	if b.conn.endBodyRead(n) {
		err = os.ErrDeadlineExceeded
	}
	b.ended = b.ended || err == io.EOF
	b.failed = b.failed || err != nil && err != io.EOF
	return n, err
}

// Close implements io.Closer. The server closes the body itself.
func (b *exchangeBody) Close() error { return nil }

// Unwrap returns the writer for http.ResponseController.
func (x *exchange) Unwrap() http.ResponseWriter { return x.ResponseWriter }

// FlushError is Flush for http.ResponseController.
func (x *exchange) FlushError() error {
	x.answer(http.StatusOK)
	return http.NewResponseController(x.ResponseWriter).Flush()
}

// Flush implements http.Flusher.
func (x *exchange) Flush() { _ = x.FlushError() }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if status < http.StatusOK {
		x.ResponseWriter.WriteHeader(status)
		return
	}
	x.answer(status)
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	x.answer(http.StatusOK)
	return x.ResponseWriter.Write(p)
}

// answer writes the head of the answer, unless that has been done. It announces the end of the connection if the rest
// of the body is not likely to be there already.
func (x *exchange) answer(status int) {
	if x.answered {
		return
	}
	x.answered = true
	if !x.ended && !(x.isShort() && x.discard(quickDiscard, quickDiscardTime)) {
		x.Header().Set("Connection", "close")
	}
	x.ResponseWriter.WriteHeader(status)
}

// isShort reports whether the client has likely sent the body together with the head.
func (x *exchange) isShort() bool {
	return x.request.ContentLength > 0 && x.request.ContentLength <= quickDiscard
}

// finish is called after the handler.
func (x *exchange) finish() {
	if !x.ended && !x.answered {
		x.answer(http.StatusOK)
	}
	if x.ended {
		return
	}
	x.Flush()
	if !x.discard(maxDiscard, discardTime) {
		metrics := x.conn.listener.options.Metrics
		metrics.Unfinished.Add(1)
		x.conn.listener.logs.Note("bodies.unfinished", 1, "declared", x.request.ContentLength)
	}
}

// discard reads the rest of the body. It returns false if that fails or takes too long.
func (x *exchange) discard(limit int64, timeout time.Duration) bool {
	if !x.read && x.request.Header.Get("Expect") != "" {
		// To read would ask the client for the body.
		return false
	}
	x.conn.setPhase(phaseRequest, phaseDiscard)
	if x.failed {
		timeout = 0
	}
	if x.conn.SetReadDeadline(time.Now().Add(timeout)) != nil || x.failed {
		return false
	}
	_, _ = io.CopyN(io.Discard, (*exchangeBody)(x), limit)
	if x.ended {
		x.conn.setPhase(phaseDiscard, phaseRequest)
		// An error shows itself at the next read.
		_ = x.conn.SetReadDeadline(time.Time{})
	}
	return x.ended
}
