package httplisten

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
)

// connPhase is what a caller's connection is used for.
type connPhase int

const (
	// phaseIdle lasts until the first byte of the next request has been read, and phaseHeader until the
	// end of its header.
	phaseIdle connPhase = iota
	phaseHeader
	// phaseAhead lasts while a request that was sent before the answer to the one before waits for its turn.
	phaseAhead
	// phaseRequest lasts until the answer has been written. In phaseDiscard, the rest of a refused body is read.
	phaseRequest
	phaseDiscard
	// phaseClosing means that it was decided to close the connection. No request begins on it.
	phaseClosing
)

// conn closes itself when it has been idle for too long or when the header of a request
// takes too long to arrive. A request begins and a close is decided under the same lock, so that no
// connection is closed under a request that has begun.
//
// Lock order: no other lock is taken while mu is held.
type conn struct {
	net.Conn
	listener   *Listener
	acceptedAt time.Time
	address    netip.Addr
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once
	// cancel ends the contexts of all requests on the connection. It is set before the first one.
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	phase connPhase
	// idleSince is when the current phaseIdle began. used is set once a request has begun.
	idleSince time.Time
	used      bool
	// request is the ID of the last request, and writeFailed is set once an answer to it could not be
	// written.
	request     string
	writeFailed bool
	timer       *time.Timer
	// timerID identifies the current timer. One that fires when it has been replaced has no effect.
	timerID int
	// scanner measures the head that arrives since headSince.
	scanner   headScanner
	headSince time.Time
	// ahead is set if the current request was sent before the answer to the one before.
	ahead bool
	// head is the part of the current head in the listener's HeadMemory; nil if it has none.
	head *limit.Holding
	// heldCost is what the current head counts there. Only the goroutine that serves the connection uses it.
	heldCost int
	// bodyRead is the wait for the client's body and answerWrite that for the client to take the answer.
	bodyRead, answerWrite clientWait
	// bodyEvicted and answerEvicted are set once it was decided to end a request while the client was waited for
	// to send its body or to take its answer.
	bodyEvicted, answerEvicted bool
}

// Read implements net.Conn. It drops what is read after it was decided to close the connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		head := c.currentHead()
		if head != nil {
			head.BeginWait(time.Now())
		}
		n, err := c.Conn.Read(p)
		if head != nil {
			head.EndWait(n, time.Now())
		}
		if n == 0 {
			return n, err
		}
		kept, refusal := c.noteBytes(p[:n])
		if refusal != "" {
			c.refuse(refusal)
			return 0, io.EOF
		}
		if kept {
			return n, err
		}
	}
}

// CloseWrite ends the sending side of the connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. The deadline of an eviction stays.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bodyEvicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. The deadline of an eviction stays.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answerEvicted {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.beginClose()
	c.mu.Unlock()
	c.releaseHead()
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.remove(c)
	})
	return err
}

// resetOnClose determines whether a close resets the connection, also that by the end of the process. An answer
// in HTTP/1.0 may have neither a length nor chunks, so that any other close would end it like a whole one.
func (c *conn) resetOnClose(reset bool) {
	tcp, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return
	}
	linger := -1
	if reset {
		linger = 0
	}
	// An error means that the connection is closed already.
	_ = tcp.SetLinger(linger)
}

// setPhase changes the phase, unless it is another one than expected.
func (c *conn) setPhase(from, to connPhase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != from {
		return false
	}
	c.phase = to
	return true
}

// noteIdle starts the idle timeout.
func (c *conn) noteIdle() {
	c.releaseHead()
	c.heldCost = 0
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClosing {
		c.phase, c.idleSince = phaseIdle, time.Now()
		c.bodyRead, c.answerWrite = clientWait{}, clientWait{}
		c.startTimer(orDefault(c.listener.options.Limits().IdleTimeout, defaultIdleTimeout), c.closeIdle)
	}
}

// Write implements net.Conn. The HTTP server does not tell the handler of an answer that fails when its
// buffer is flushed.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.answerWrite.begin(time.Now())
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.answerWrite.end(n, time.Now())
	c.mu.Unlock()
	if err != nil {
		c.noteWriteFailed(err)
	}
	return n, err
}

func (c *conn) noteWriteFailed(err error) {
	c.mu.Lock()
	logged, request := c.writeFailed, c.request
	c.writeFailed = true
	c.mu.Unlock()
	if !logged {
		c.listener.options.Metrics.NotWritten.Add(1)
		slog.Info("answer.not_written", "request", request, "address", c.RemoteAddr().String(), "error", err)
	}
}

// beginRequest is called when the header of a request has been read. It returns false if the connection is
// being closed.
func (c *conn) beginRequest(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosing {
		return false
	}
	// A head that was not waited for was read together with the request before.
	c.ahead = c.used && c.phase == phaseIdle
	c.phase, c.used, c.request, c.writeFailed = phaseRequest, true, id, false
	c.stopTimer()
	return true
}

// claimIdle reports whether the connection has no request, and decides to close it if so.
func (c *conn) claimIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The HTTP server may have read the next request together with the one before.
	settled := time.Since(c.idleSince) >= closePoll
	if c.phase != phaseIdle || !settled || c.hasUnread() || !c.used && time.Since(c.acceptedAt) < firstRequestTime {
		return false
	}
	c.beginClose()
	return true
}

// beginClose records the decision to close the connection. The lock is held.
func (c *conn) beginClose() {
	c.phase = phaseClosing
	c.stopTimer()
}

// socketOf returns the socket below a connection.
func socketOf(c net.Conn) net.Conn {
	if layer, ok := c.(interface{ NetConn() net.Conn }); ok {
		return layer.NetConn()
	}
	return c
}

// hasUnread reports whether bytes have arrived that were not read yet.
func (c *conn) hasUnread() bool {
	n, _ := dial.Peek(socketOf(c.Conn))
	return n > 0
}

// startTimer replaces the current timer by one that closes the connection with the given function. The
// lock is held.
func (c *conn) startTimer(d time.Duration, closeBy func()) { c.replaceTimer(d, closeBy, true) }

// replaceTimer is startTimer, with mayWait set if unread bytes put off the close. The lock is held.
func (c *conn) replaceTimer(d time.Duration, closeBy func(), mayWait bool) {
	c.stopTimer()
	id := c.timerID
	c.timer = time.AfterFunc(d, func() {
		if c.claimExpired(id, closeBy, mayWait) {
			closeBy()
		}
	})
}

// claimExpired decides to close the connection if the timer that expired is still the current one. Unread
// bytes put this off by unreadGrace, once: a daemon that did not run for a moment finds its timers
// expired before it has read them.
func (c *conn) claimExpired(id int, closeBy func(), mayWait bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timerID != id {
		return false
	}
	if mayWait && c.hasUnread() {
		c.listener.options.Metrics.Unread.Add(1)
		c.replaceTimer(unreadGrace, closeBy, false)
		return false
	}
	c.beginClose()
	return true
}

// stopTimer stops the current timer. The lock is held.
func (c *conn) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.timerID++
}

func (c *conn) closeIdle() {
	c.listener.options.Metrics.Idle.Add(1)
	_ = c.Close()
}

// rejectSlow responds to a caller whose request header did not arrive in time and closes the
// connection.
func (c *conn) rejectSlow() {
	c.listener.options.Metrics.Slow.Add(1)
	slog.Info("caller.slow", "address", c.RemoteAddr().String())
	c.respondAndClose(requestTimeoutResponse)
}

// respondAndClose writes a response without the HTTP server and closes the connection.
func (c *conn) respondAndClose(response string) {
	// Errors are ignored: the connection is closed in any case.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rawResponseTimeout))
	_, _ = io.WriteString(c.Conn, response)
	_ = c.Close()
}

func orDefault(d, byDefault time.Duration) time.Duration {
	if d <= 0 {
		return byDefault
	}
	return d
}

// newContext returns the context of the connection's requests.
func (c *conn) newContext(ctx context.Context) context.Context {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	ctx, c.cancel = context.WithCancelCause(ctx)
	return ctx
}
