package upconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Request is a request to one instance. Its body is in memory, so that it can
// be sent to another instance as it is.
type Request struct {
	Method string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is true for a request with a body, even an empty one.
	HasBody bool
	// Withdrawn is asked when the connection is there and nothing of the request has gone
	// out. If it says so, nothing does. It may be nil.
	IsWithdrawn func() bool
}

// ErrWithdrawn says that a request was withdrawn before any of it went out.
var ErrWithdrawn = errors.New("upstream: the request was withdrawn")

// Exchange is a request sent and the answer that comes back.
//
// The connection is closed when the context ends, which is what makes a server
// stop work on a request whose caller has left.
type Exchange struct {
	pool    *Pool
	address string
	conn    *conn
	resp    *http.Response
	stopCancelWatch    func() bool
	writeDone chan error
	// wrote is set before the first byte of the request goes out.
	writeStarted atomic.Bool
	closed bool
	// whole is set when the body was read to its end.
	bodyRead bool
}

// errStray says that the answer on a connection belongs to another request.
var errOtherAnswer = errors.New("upstream: answer to another request")

// errUnframed says that bytes on the connection are no answer.
var errNoAnswer = errors.New("upstream: not an answer")

// NotSentError wraps the cause of a failure before any byte of the request went
// out, so that the request has certainly not run.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NotSent reports whether err says that no byte of a request went out.
func NotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// Do sends a request to the instance at address and reads the head of the
// answer. ours tells by status and head whether an answer is that of this
// request; limit bounds the connections of this daemon to the instance.
func (p *Pool) Do(ctx context.Context, address string, limit int, r *Request, ours func(status int, h http.Header) bool) (*Exchange, error) {
	c, err := p.get(ctx, address, limit)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	err = ctx.Err()
	if err == nil && r.IsWithdrawn != nil && r.IsWithdrawn() {
		err = ErrWithdrawn
	}
	if err != nil {
		p.putUnused(address, c)
		return nil, &NotSentError{Cause: err}
	}
	e := &Exchange{pool: p, address: address, conn: c, writeDone: make(chan error, 1)}
	e.stopCancelWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	go e.write(r)
	if err := e.readHead(r, ours); err != nil {
		e.discard()
		if werr := ctx.Err(); werr != nil {
			err = werr
		}
		if !e.writeStarted.Load() {
			return nil, &NotSentError{Cause: err}
		}
		return nil, fmt.Errorf("exchange with %s: %w", address, err)
	}
	return e, nil
}

// write sends the request. It runs beside the reading of the answer, since a
// server may answer before it has read a long body.
func (e *Exchange) write(r *Request) {
	buf := make([]byte, 0, 1024+len(r.Body))
	buf = append(buf, r.Method...)
	buf = append(buf, ' ')
	buf = append(buf, r.Target...)
	buf = append(buf, " HTTP/1.1\r\nHost: "...)
	buf = append(buf, r.Host...)
	buf = append(buf, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			buf = append(buf, name...)
			buf = append(buf, ": "...)
			buf = append(buf, value...)
			buf = append(buf, "\r\n"...)
		}
	}
	if r.HasBody {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(r.Body)), 10)
		buf = append(buf, "\r\n"...)
	}
	buf = append(buf, "\r\n"...)
	buf = append(buf, r.Body...)
	e.writeStarted.Store(true)
	_, err := e.conn.Write(buf)
	e.writeDone <- err
}

// maxStray bounds the answers to other requests that are skipped.
const maxSkippedAnswers = 3

// maxStrayBytes bounds the body of an answer that is skipped.
const maxSkippedBytes = 64 << 10

func (e *Exchange) readHead(r *Request, ours func(status int, h http.Header) bool) error {
	for range maxSkippedAnswers {
		resp, err := http.ReadResponse(e.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if ours(resp.StatusCode, resp.Header) {
			e.resp = resp
			return nil
		}
		// A server may send an answer twice, or late on a connection that has
		// gone on to another request. The id in its head tells; the answer to
		// this request may still follow.
		if resp.ContentLength < 0 {
			return errOtherAnswer
		}
		if _, err := io.CopyN(io.Discard, resp.Body, min(resp.ContentLength, maxSkippedBytes)); err != nil {
			return errOtherAnswer
		}
	}
	return errNoAnswer
}

// Status is the status of the answer.
func (e *Exchange) Status() int { return e.resp.StatusCode }

// Header is the head of the answer.
func (e *Exchange) Header() http.Header { return e.resp.Header }

// Framed reports whether the end of the body can be told from the end of the connection.
func (e *Exchange) IsSelfDelimited() bool {
	return e.resp.ContentLength >= 0 || len(e.resp.TransferEncoding) > 0
}

// Read reads the body. It returns io.EOF only at the end of a whole body: one
// that is shorter than stated ends with io.ErrUnexpectedEOF, and one without a
// length that is reset ends with the reset.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.resp.Body.Read(p)
	if err == io.EOF {
		e.bodyRead = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the whole answer was read,
// the whole request was written and nothing else came; otherwise it is closed,
// which also tells the server to stop.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	if !e.bodyRead || e.resp.Close || !e.IsSelfDelimited() {
		e.discard()
		return
	}
	select {
	case err := <-e.writeDone:
		if err != nil {
			e.discard()
			return
		}
	default:
		// The server answered before it had read the whole body. The rest of
		// it must not be taken for another request, so the connection ends.
		e.discard()
		return
	}
	if e.conn.reader.Buffered() > 0 || !e.stopCancelWatch() {
		e.discard()
		return
	}
	e.closed = true
	e.conn.usableUntil = time.Now().Add(idleTimeout(e.resp.Header))
	e.pool.put(e.address, e.conn)
}

func (e *Exchange) discard() {
	if e.closed {
		return
	}
	e.closed = true
	e.stopCancelWatch()
	e.pool.discard(e.address, e.conn)
}
