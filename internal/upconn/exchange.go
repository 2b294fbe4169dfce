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

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
	"github.com/hornbeamsill/hornbeamsill/internal/httpanswer"
	"github.com/hornbeamsill/hornbeamsill/internal/httpbody"
	"github.com/hornbeamsill/hornbeamsill/internal/readlimit"
)

// Request is a request to one instance. Its body is in memory, so that it can be sent again to
// another instance.
type Request struct {
	// ID identifies the request in the logs of daemons that pass it on, and its answer.
	ID     string
	Method string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	// Header returns the headers. It is called when the connection is established, since they state
	// the time that is left.
	Header func() http.Header
	Body   httpbody.Body
	// HasBody is set for a request with a body, even an empty one.
	HasBody bool
	// IsWithdrawn is called when the connection is established and nothing has been sent. If it
	// returns true, the request is not sent. It may be nil.
	IsWithdrawn func() bool
}

// ErrWithdrawn means that a request was withdrawn before any of it was sent.
var ErrWithdrawn = errors.New("upstream: the request was withdrawn")

// Exchange is a request that was sent, and its answer.
//
// The connection is closed when the context ends. This makes a server stop work on a request
// whose caller has disconnected.
type Exchange struct {
	pool            *Pool
	address         string
	instance        string
	conn            *conn
	askedAt         time.Time
	resp            *http.Response
	stopCancelWatch func() bool
	writeDone       chan error
	// writeStarted is set before the first byte of the request is written.
	writeStarted atomic.Bool
	closed       bool
	// bodyRead is set once the body of the answer has been read to its end. endErr is the error of all reads from there on.
	bodyRead bool
	endErr   error
}

// errOtherAnswer means that an answer on the connection belongs to another request and could
// not be skipped.
var errOtherAnswer = errors.New("upstream: answer to another request")

// errNoAnswer means that none of the answers read from the connection was a final answer to
// this request.
var errNoAnswer = errors.New("upstream: not an answer")

// NotSentError wraps an error that occurred before any byte of the request was sent, so that
// the request has certainly not run.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NotSent reports whether err means that no byte of a request was sent.
func NotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// TunneledError wraps an error of an exchange that went through another daemon.
type TunneledError struct{ Cause error }

// Error implements error.
func (e *TunneledError) Error() string { return "by tunnel: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *TunneledError) Unwrap() error { return e.Cause }

// Do sends a request to an instance and reads the head of the answer. isAnswer reports whether an
// answer with the given status and headers is the one to this request. limit bounds the connections
// of this daemon to the instance; 0 means no limit.
func (p *Pool) Do(ctx context.Context, to Target, limit int, r *Request, isAnswer func(status int, h http.Header) bool) (*Exchange, error) {
	for {
		c, err := p.get(ctx, to, limit, r.ID)
		if err != nil {
			return nil, &NotSentError{Cause: err}
		}
		err = ctx.Err()
		if err == nil && r.IsWithdrawn != nil && r.IsWithdrawn() {
			err = ErrWithdrawn
		}
		if err != nil {
			p.putUnused(to.Address, c)
			return nil, &NotSentError{Cause: err}
		}
		link, tunneled, wasIdle := c.link(), c.tunnel != nil, c.wasIdle()
		e, err := p.exchange(ctx, to, c, r, isAnswer)
		if wasIdle && isGatewayRefusal(err) {
			// The instance has not been asked, and another gateway may reach it.
			continue
		}
		// A request that is rejected as meant for another instance has not reached its own.
		if err == nil && !tunneled && e.Status() != http.StatusMisdirectedRequest {
			p.noteAnswer(to, link)
		}
		return e, err
	}
}

// isGatewayRefusal reports whether a gateway has refused a request for reasons of its own.
func isGatewayRefusal(err error) bool {
	var refused refusal
	return errors.As(err, &refused) && !refused.IsOfInstance()
}

// exchange sends a request on a connection and reads the head of the answer.
func (p *Pool) exchange(ctx context.Context, to Target, c *conn, r *Request, isAnswer func(status int, h http.Header) bool) (*Exchange, error) {
	// A connection that is closed already fails when the request is written.
	_ = dial.SetBusy(c.Conn, true)
	c.lastID, c.hadHead = r.ID, c.hadHead || r.Method == http.MethodHead
	e := &Exchange{pool: p, address: to.Address, instance: to.Instance, conn: c, askedAt: time.Now(), writeDone: make(chan error, 1)}
	e.stopCancelWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	go e.write(r)
	if err := e.readHead(r, isAnswer); err != nil {
		e.discard()
		if ctxErr := ctx.Err(); ctxErr != nil {
			err = ctxErr
		} else if c.tunnel == nil && !errors.Is(err, errOtherAnswer) && !errors.Is(err, errNoAnswer) {
			p.noteFailure(to, c.link())
		}
		var refused refusal
		if errors.As(err, &refused) {
			// The request may be written again on another connection.
			<-e.writeDone
			return nil, &NotSentError{Cause: err}
		}
		if !e.writeStarted.Load() {
			return nil, &NotSentError{Cause: err}
		}
		err = fmt.Errorf("exchange with %s: %w", to.Address, err)
		if c.tunnel != nil {
			err = &TunneledError{Cause: err}
		}
		return nil, err
	}
	return e, nil
}

// maxCopiedBody is the longest body that is sent in one write with the head.
const maxCopiedBody = 16 << 10

// write sends the request. It runs concurrently with reading the answer, since a server may
// answer before it has read a long body.
func (e *Exchange) write(r *Request) {
	length, rest := r.Body.Len(), r.Body
	buf := make([]byte, 0, 1024+min(length, maxCopiedBody))
	buf = append(buf, r.Method...)
	buf = append(buf, ' ')
	buf = append(buf, r.Target...)
	buf = append(buf, " HTTP/1.1\r\nHost: "...)
	buf = append(buf, r.Host...)
	buf = append(buf, "\r\n"...)
	for name, values := range r.Header() {
		for _, value := range values {
			buf = append(buf, name...)
			buf = append(buf, ": "...)
			buf = append(buf, value...)
			buf = append(buf, "\r\n"...)
		}
	}
	if r.HasBody {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(length), 10)
		buf = append(buf, "\r\n"...)
	}
	buf = append(buf, "\r\n"...)
	if length <= maxCopiedBody {
		for _, piece := range r.Body {
			buf = append(buf, piece...)
		}
		rest = nil
	}
	if e.conn.tunnel != nil {
		if err := e.conn.tunnel.BeginRequest(r.ID); err != nil {
			_ = e.conn.Close()
			e.writeDone <- err
			return
		}
	}
	e.writeStarted.Store(true)
	_, err := e.conn.Write(buf)
	for i := 0; err == nil && i < len(rest); i++ {
		_, err = e.conn.Write(rest[i])
	}
	e.writeDone <- err
}

// maxSkippedAnswers bounds the answers that are skipped because they are informational or
// belong to other requests.
const maxSkippedAnswers = 3

// maxSkippedBytes bounds the body of an answer that is skipped. After a longer one the connection
// is not used further, since the rest of its body could be taken for the next answer.
const maxSkippedBytes = 64 << 10

func (e *Exchange) readHead(r *Request, isAnswer func(status int, h http.Header) bool) error {
	for range maxSkippedAnswers {
		resp, err := e.conn.readHead(r.Method)
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if isAnswer(resp.StatusCode, resp.Header) {
			e.resp = resp
			return nil
		}
		// A server may send an answer twice, or late on a connection that is already used for
		// another request. The request ID in the headers shows this. The answer to this
		// request may still follow.
		if resp.Close || e.conn.hadHead || resp.ContentLength < 0 || resp.ContentLength > maxSkippedBytes {
			return errOtherAnswer
		}
		if _, err := io.CopyN(io.Discard, resp.Body, resp.ContentLength); err != nil {
			return errOtherAnswer
		}
	}
	return fmt.Errorf("%w: %w", errNoAnswer, &readlimit.Error{Limit: maxSkippedAnswers, What: "answers to one request"})
}

// Gateway returns the address of the daemon through which the request was sent; empty if it was sent
// directly.
func (e *Exchange) Gateway() string {
	if e.conn.tunnel == nil {
		return ""
	}
	return e.conn.tunnel.Gateway()
}

// ConfirmInstance records that the answer is known to come from the instance that was asked, and to be
// the answer to this request. Without it, the connection is no evidence that the instance lives.
func (e *Exchange) ConfirmInstance() { e.conn.instance, e.conn.askedAt = e.instance, e.askedAt }

// Status returns the HTTP status of the answer.
func (e *Exchange) Status() int { return e.resp.StatusCode }

// Header returns the headers of the answer.
func (e *Exchange) Header() http.Header { return e.resp.Header }

// IsSelfDelimited reports whether the answer marks the end of its body, by a length or by a
// transfer encoding. Otherwise only the end of the connection ends the body.
func (e *Exchange) IsSelfDelimited() bool {
	return e.resp.ContentLength >= 0 || len(e.resp.TransferEncoding) > 0
}

// HasLength reports whether the answer states the length of its body.
func (e *Exchange) HasLength() bool { return e.resp.ContentLength >= 0 }

// Read reads the body. If the answer marks the end of its body, Read returns io.EOF only
// there, and io.ErrUnexpectedEOF if the body is shorter than stated. Otherwise it returns io.EOF
// when the server closes the connection after it has received the whole request, and an error if it
// closes the connection before, or resets it.
func (e *Exchange) Read(p []byte) (int, error) {
	if e.endErr != nil {
		return 0, e.endErr
	}
	n, err := e.resp.Body.Read(p)
	if err == io.EOF {
		e.endErr = e.checkEnd()
		e.bodyRead = e.endErr == io.EOF
		err = e.endErr
	}
	return n, err
}

// checkEnd returns io.EOF if the body that has ended is whole.
func (e *Exchange) checkEnd() error {
	if err := httpanswer.CheckFields(e.resp.Trailer); err != nil {
		return err
	}
	if e.IsSelfDelimited() || e.resp.Body == http.NoBody {
		return io.EOF
	}
	if err := e.awaitWritten(); err != nil {
		return fmt.Errorf("the answer ended before the request: %w", err)
	}
	return io.EOF
}

// writeTimeout bounds the wait for the rest of a request after the end of an answer without a length. A sound server
// may be silent for one and a half seconds.
const writeTimeout = 2 * time.Second

// awaitWritten waits until the server has received the whole request. It returns an error if it does not take it.
func (e *Exchange) awaitWritten() error {
	timer := time.NewTimer(writeTimeout)
	defer timer.Stop()
	select {
	case err := <-e.writeDone:
		if err != nil {
			return err
		}
	case <-timer.C:
		return io.ErrUnexpectedEOF
	}
	if e.conn.tunnel != nil {
		return e.conn.tunnel.ConfirmEnd()
	}
	return dial.AwaitDelivery(e.conn.Conn, writeTimeout)
}

// IsWhole reports whether the body of the answer has been read to its end.
func (e *Exchange) IsWhole() bool { return e.bodyRead }

// Close ends the exchange. The connection is kept if the whole answer was read, the whole
// request was written and no other bytes have arrived. Otherwise it is closed, which also
// tells the server to stop.
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
		// The server answered before it had read the whole request. It could take the rest for
		// another request, so the connection is closed.
		e.discard()
		return
	}
	if e.conn.reader.Buffered() > 0 || !e.stopCancelWatch() {
		e.discard()
		return
	}
	if e.conn.tunnel != nil && e.conn.tunnel.EndRequest() != nil {
		e.discard()
		return
	}
	if dial.SetBusy(e.conn.Conn, false) != nil {
		e.discard()
		return
	}
	e.closed = true
	e.conn.answeredAt = time.Now()
	idle := idleTimeout(e.resp.Header)
	if e.conn.tunnel != nil {
		idle = min(idle, maxTunnelIdleTime)
	}
	e.conn.usableUntil = time.Now().Add(idle)
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
